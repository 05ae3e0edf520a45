"""The settings of ``serve --storage``: where results with an idempotency key are kept over restarts."""

from __future__ import annotations

from dataclasses import dataclass

from lapishaven.config.values import ConfigError, positive_number, read_toml

KEYS = {"directory", "life_s", "total_mb", "limit"}
MIN_RESULT_TTL_S = 900  # a retry may come back for this long


@dataclass(frozen=True, slots=True)
class StorageRules:
    """Where results with an idempotency key are kept, how many and for how long."""

    directory: str  # absolute path of the embedded store
    result_ttl: float  # seconds for which a result is kept
    max_size_mb: float  # size of the store on disk
    max_results: int


def load_storage_rules(path: str) -> StorageRules:
    """The checked settings of a storage file. Raises ``ConfigError``."""
    table = read_toml(path)
    if set(table) != KEYS:
        raise ConfigError(f"{path}: it needs exactly {', '.join(sorted(KEYS))}")
    directory = table["directory"]
    if not isinstance(directory, str) or not directory.startswith("/"):
        raise ConfigError(f"{path}: directory is no path from the root")
    try:
        result_ttl = positive_number(table, "life_s")
        max_size_mb = positive_number(table, "total_mb")
        max_results = int(positive_number(table, "limit"))
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None
    if result_ttl < MIN_RESULT_TTL_S:
        raise ConfigError(f"{path}: life_s is under the 900 s for which a try may return")
    return StorageRules(directory, result_ttl, max_size_mb, max_results)
