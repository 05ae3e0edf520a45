"""The file of ``serve --uwsgi``: one table for the uwsgi frontend, one for the uwsgi backend."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from lapishaven.config.values import Address, ConfigError, parse_address, positive_number, read_toml

FRONTEND_KEYS = {"listen", "path", "held_kb"}
BACKEND_KEYS = {"address", "path"}


@dataclass(frozen=True, slots=True)
class UwsgiFrontendConfig:
    """The uwsgi frontend."""

    listen: Address
    path: str  # prefix of PATH_INFO, followed by the class
    queued_kb: float  # memory that is accounted for each queued request
    load_reports: bool = False  # whether responses carry a load report and UDP probes on the same port are answered


@dataclass(frozen=True, slots=True)
class UwsgiBackendConfig:
    """The uwsgi server that attempts are sent to."""

    address: Address
    path: str  # prefix of PATH_INFO, followed by the class


def load_uwsgi(path: str) -> tuple[UwsgiFrontendConfig | None, UwsgiBackendConfig | None]:
    """Load the frontend and the backend from a file; each is ``None`` if its table is missing.

    Raises ``ConfigError``.
    """
    tables = read_toml(path)
    if unknown := set(tables) - {"front", "backend"}:
        raise ConfigError(f"{path}: unknown table {sorted(unknown)[0]!r:.60}, expected front or backend")
    frontend = tables.get("front")
    backend = tables.get("backend")
    if frontend is not None:
        _check_table(frontend, "front", FRONTEND_KEYS, path)
    if backend is not None:
        _check_table(backend, "backend", BACKEND_KEYS, path)
    try:
        return (
            _parse_frontend(frontend) if frontend is not None else None,
            _parse_backend(backend) if backend is not None else None,
        )
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None


def _check_table(table: Any, name: str, keys: set[str], path: str) -> None:
    if not isinstance(table, dict) or set(table) - {"load"} != keys:
        raise ConfigError(
            f"{path}: {name} must be a table of exactly the keys {', '.join(sorted(keys))}, found {table!r:.120}"
        )
    if "load" in table and (name != "front" or not isinstance(table["load"], bool)):
        raise ConfigError(
            f"{path}: {name}.load must be true or false, and only front may have it, found {table['load']!r:.60}"
        )
    if not str(table["path"]).startswith("/"):
        raise ConfigError(f"{path}: {name}.path must start with /, found {table['path']!r:.80}")


def _parse_frontend(table: dict[str, Any]) -> UwsgiFrontendConfig:
    return UwsgiFrontendConfig(
        listen=parse_address(table["listen"], "front.listen"),
        path=table["path"],
        queued_kb=positive_number(table, "held_kb"),
        load_reports=table.get("load", False),
    )


def _parse_backend(table: dict[str, Any]) -> UwsgiBackendConfig:
    return UwsgiBackendConfig(parse_address(table["address"], "backend.address"), table["path"])
