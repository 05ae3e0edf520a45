"""Readers of single values, shared by all configuration files."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

Address = tuple[str, int]  # host, port

MAX_PORT = 65535


class ConfigError(ValueError):
    """A configuration file is wrong; the message is one plain line for the operator."""


def parse_address(value: Any, name: str) -> Address:
    """Parse ``HOST:PORT``. Raises ``ConfigError`` that names ``name``."""
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not host or not port.isdigit() or int(port) > MAX_PORT:
        raise ConfigError(f"{name} is not HOST:PORT")
    return host, int(port)


def positive_number(table: Mapping[str, Any], key: str) -> float:
    """The number above 0 at ``key``. Raises ``ConfigError`` where there is none."""
    value = table.get(key)
    if isinstance(value, bool) or not isinstance(value, int | float) or not value > 0:
        raise ConfigError(f"{key} is not a number above 0")
    return float(value)


def read_text(path: str) -> str:
    """The text of a file. Raises ``ConfigError`` where it cannot be read."""
    try:
        return Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"cannot read {path}: {getattr(error, 'strerror', None) or error}") from None


def read_toml(path: str) -> dict[str, Any]:
    """The tables of a TOML file. Raises ``ConfigError`` where it cannot be read or is not TOML."""
    try:
        return tomllib.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise ConfigError(f"cannot read {path}: {getattr(error, 'strerror', None) or error}") from None
