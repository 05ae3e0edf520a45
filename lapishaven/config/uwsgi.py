"""The file of ``serve --uwsgi``: the uwsgi frontend and the uwsgi backend, each in a table of its own."""

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
    path: str  # prefix of PATH_INFO; the class follows it
    queued_kb: float  # memory booked for a queued request
    load_reports: bool = False  # whether answers carry the server's load, and UDP probes on the same port are answered


@dataclass(frozen=True, slots=True)
class UwsgiBackendConfig:
    """The uwsgi server that attempts are sent to."""

    address: Address
    path: str  # prefix of PATH_INFO; the class follows it


def load_uwsgi(path: str) -> tuple[UwsgiFrontendConfig | None, UwsgiBackendConfig | None]:
    """The frontend and the backend that a file names; a table that is missing leaves that side off.

    Raises ``ConfigError``.
    """
    tables = read_toml(path)
    if unknown := set(tables) - {"front", "backend"}:
        raise ConfigError(f"{path}: unknown table {sorted(unknown)[0]}")
    frontend = tables.get("front")
    backend = tables.get("backend")
    if frontend is not None:
        _check_table(frontend, "front", FRONTEND_KEYS, path)
    if backend is not None:
        _check_table(backend, "backend", BACKEND_KEYS, path)
    return (
        _frontend(frontend) if frontend is not None else None,
        _backend(backend) if backend is not None else None,
    )


def _check_table(table: Any, name: str, keys: set[str], path: str) -> None:
    if not isinstance(table, dict) or set(table) - {"load"} != keys:
        raise ConfigError(f"{path}: {name} needs exactly {', '.join(sorted(keys))}")
    if "load" in table and (name != "front" or not isinstance(table["load"], bool)):
        raise ConfigError(f"{path}: {name}.load is neither true nor false, or not the front's")
    if not str(table["path"]).startswith("/"):
        raise ConfigError(f"{path}: {name}.path does not start with /")


def _frontend(table: dict[str, Any]) -> UwsgiFrontendConfig:
    return UwsgiFrontendConfig(
        listen=parse_address(table["listen"], "front.listen"),
        path=table["path"],
        queued_kb=positive_number(table, "held_kb"),
        load_reports=table.get("load", False),
    )


def _backend(table: dict[str, Any]) -> UwsgiBackendConfig:
    return UwsgiBackendConfig(parse_address(table["address"], "backend.address"), table["path"])
