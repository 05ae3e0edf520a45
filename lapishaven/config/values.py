"""Parsers and readers that all configuration files share."""

from __future__ import annotations

import sys
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

Address = tuple[str, int]  # host, port

MAX_PORT = 65535
MAX_NUMBER = sys.float_info.max  # JSON and TOML also allow infinities, and whole numbers that no float can hold


class ConfigError(ValueError):
    """A configuration file is invalid; the message is one line for the operator."""


def parse_address(value: Any, name: str) -> Address:
    """Parse ``HOST:PORT``. Raises ``ConfigError`` with ``name``, the setting of the value."""
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not host or not port.isdecimal() or int(port) > MAX_PORT:
        raise ConfigError(f"{name}: {value!r:.60} is not HOST:PORT with a port from 0 to {MAX_PORT}")
    return host, int(port)


def positive_number(table: Mapping[str, Any], key: str) -> float:
    """The positive number at ``key``. Raises ``ConfigError`` if it is missing or invalid."""
    value = table.get(key)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value <= MAX_NUMBER:
        raise ConfigError(f"{key} must be a number above 0, found {value!r:.60}")
    return float(value)


def read_text(path: str) -> str:
    """The text of a file. Raises ``ConfigError`` if it cannot be read."""
    try:
        return Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"cannot read {path}: {getattr(error, 'strerror', None) or error}") from None


def read_toml(path: str) -> dict[str, Any]:
    """The content of a TOML file. Raises ``ConfigError`` if it cannot be read or parsed."""
    try:
        return tomllib.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise ConfigError(f"cannot read {path}: {getattr(error, 'strerror', None) or error}") from None
