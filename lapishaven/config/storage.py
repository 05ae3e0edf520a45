"""The file of ``serve --storage``: the embedded store that keeps results with an idempotency key across restarts."""

from __future__ import annotations

from dataclasses import dataclass

from lapishaven.config.values import ConfigError, positive_number, read_toml

KEYS = {"directory", "life_s", "total_mb", "limit"}
MIN_RESULT_TTL_S = 900  # a retry may arrive within this time


@dataclass(frozen=True, slots=True)
class StorageRules:
    """The location and the limits of the store of results."""

    directory: str  # absolute path of the embedded store
    result_ttl_s: float
    max_size_mb: float  # on disk
    max_results: int


def load_storage_rules(path: str) -> StorageRules:
    """Load and validate a storage file. Raises ``ConfigError``."""
    table = read_toml(path)
    if set(table) != KEYS:
        raise ConfigError(
            f"{path}: expected exactly the keys {', '.join(sorted(KEYS))}, found {', '.join(table) or 'none':.200}"
        )
    directory = table["directory"]
    if not isinstance(directory, str) or not directory.startswith("/"):
        raise ConfigError(f"{path}: directory must be an absolute path, found {directory!r:.80}")
    try:
        result_ttl_s = positive_number(table, "life_s")
        max_size_mb = positive_number(table, "total_mb")
        max_results = int(positive_number(table, "limit"))
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None
    if result_ttl_s < MIN_RESULT_TTL_S:
        raise ConfigError(
            f"{path}: life_s is {result_ttl_s:g}, must be at least {MIN_RESULT_TTL_S}, as a retry may arrive until then"
        )
    return StorageRules(directory, result_ttl_s, max_size_mb, max_results)
