"""xxhash, imported only where a subset or a ring needs it, as it is an optional dependency."""

from __future__ import annotations

from lapishaven.client.settings import SettingsError

try:
    import xxhash
except ImportError:
    raise SettingsError("a subset or affinity needs xxhash: install lapishaven[client]") from None

SEED_MASK = (1 << 64) - 1


def hash64(text: str, seed: int = 0) -> int:
    """A 64-bit hash (XXH3), the same in every process and version."""
    return int(xxhash.xxh3_64_intdigest(text.encode(), seed & SEED_MASK))
