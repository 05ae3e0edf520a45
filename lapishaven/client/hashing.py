"""Hashing by xxhash, an optional dependency: imported only where a subset or a hash ring needs it."""

from __future__ import annotations

from lapishaven.client.settings import SettingsError

try:
    import xxhash
except ImportError:
    raise SettingsError("subsetting and affinity routing require xxhash: install lapishaven[client]") from None

SEED_MASK = (1 << 64) - 1


def hash64(text: str, seed: int = 0) -> int:
    """Return a 64-bit hash (XXH3) that is the same in every process and version."""
    return int(xxhash.xxh3_64_intdigest(text.encode(), seed & SEED_MASK))
