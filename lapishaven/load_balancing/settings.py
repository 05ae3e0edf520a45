"""Reads and validates the load balancing settings: the TOML file given to ``serve --spread``."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

from lapishaven.load_balancing.rules import BalancingRules

MAX_PORT = 65535
DEFAULT_PATH = "/match/"
DEFAULT_CONNECTIONS = 64
MIN_CONNECTIONS, MAX_CONNECTIONS = 1, 10_000
PROCESS_KEYS = {"addresses", "file", "path", "attempts"}


class BalancingSettingsError(ValueError):
    """The settings file or the address of an admin server is invalid, or the admin server cannot be queried.

    The message is a single line.
    """


class NumberKey(NamedTuple):
    """The value of a numeric key: the field of ``BalancingRules`` that it sets, and its bounds (inclusive)."""

    rule: str
    minimum: float
    maximum: float
    integer: bool = False


# By table and key of the settings file.
NUMERIC_KEYS: dict[str, dict[str, NumberKey]] = {
    "probes": {
        "a_choice": NumberKey("probes_per_choice", 0, 8, integer=True),
        "wait_s": NumberKey("probe_wait_s", 0.001, 1.0),
        "kept": NumberKey("cached_reports", 0, 256, integer=True),
        "uses": NumberKey("report_uses", 1, 16, integer=True),
        "kept_s": NumberKey("cached_report_life_s", 0.01, 60.0),
        "memory": NumberKey("report_decay_requests", 0.01, 100.0),
    },
    "silence": {
        "watch_s": NumberKey("watch_interval_s", 0.01, 60.0),
        "silent_s": NumberKey("probe_timeout_s", 0.01, 10.0),
        "uncertain_s": NumberKey("uncertain_after_s", 0.01, 60.0),
        "panic": NumberKey("panic_fraction", 0.05, 1.0),
    },
    "faults": {
        "in_a_row": NumberKey("ejection_failures", 1, 100, integer=True),
        "out_s": NumberKey("base_ejection_s", 0.01, 600.0),
        "out_most_s": NumberKey("max_ejection_s", 0.01, 3600.0),
        "part": NumberKey("max_ejected_fraction", 0.0, 1.0),
    },
    "second_tries": {
        "part": NumberKey("retry_ratio", 0.0, 1.0),
        "part_high": NumberKey("raised_retry_ratio", 0.0, 1.0),
        "high_s": NumberKey("raised_ratio_s", 0.0, 60.0),
    },
}


@dataclass(frozen=True, slots=True)
class BalancingSettings:
    """The settings of ``serve --spread``.

    Attributes:
        addresses: host and port of each endpoint.
        path: the request path, to which the class of the request is appended.
        attempts: the maximum number of concurrent attempts; each has its own connection.
        rules: limits of the load balancer.
    """

    addresses: tuple[tuple[str, int], ...]
    path: str
    attempts: int
    rules: BalancingRules


def parse_address(text: str) -> tuple[str, int] | None:
    """Split ``HOST:PORT`` into host and port; return ``None`` if it is malformed."""
    host, _, port = text.rpartition(":")
    return (host, int(port)) if host and port.isdecimal() and 0 < int(port) <= MAX_PORT else None


def load_settings(path: str) -> BalancingSettings:
    """Read and validate the settings file. Raises ``BalancingSettingsError``."""
    tables = _read_tables(path)
    processes = tables.get("processes", {})
    if unknown := set(processes) - PROCESS_KEYS:
        raise BalancingSettingsError(
            f"{path}: unknown key processes.{min(unknown):.80}; known keys: {', '.join(sorted(PROCESS_KEYS))}"
        )
    request_path = processes.get("path", DEFAULT_PATH)
    if not isinstance(request_path, str) or not request_path.startswith("/"):
        raise BalancingSettingsError(f"{path}: processes.path is {request_path!r:.80}, not a string that starts with /")
    connections = processes.get("attempts", DEFAULT_CONNECTIONS)
    bounds = NumberKey("attempts", MIN_CONNECTIONS, MAX_CONNECTIONS, integer=True)
    attempts = int(_validated_number(path, "processes.attempts", connections, bounds))
    rules = _balancing_rules(path, tables)
    return BalancingSettings(_addresses(path, processes), request_path, attempts, rules)


def _read(path: str) -> str:
    try:
        return Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or error
        raise BalancingSettingsError(f"cannot read {path}: {reason}") from None


def _read_tables(path: str) -> dict[str, dict[str, Any]]:
    try:
        tables = tomllib.loads(_read(path))
    except tomllib.TOMLDecodeError as error:
        raise BalancingSettingsError(f"{path}: not valid TOML: {error}") from None
    if unknown := set(tables) - {"processes", *NUMERIC_KEYS}:
        raise BalancingSettingsError(
            f"{path}: unknown table {min(unknown):.80}; known tables: {', '.join(['processes', *NUMERIC_KEYS])}"
        )
    for name, table in tables.items():
        if not isinstance(table, dict):
            raise BalancingSettingsError(f"{path}: {name} is {table!r:.80}, not a table")
    return tables


def _addresses(path: str, table: Mapping[str, Any]) -> tuple[tuple[str, int], ...]:
    source, texts = _address_texts(path, table)
    addresses = []
    for text in texts:
        address = parse_address(text)
        if address is None:
            raise BalancingSettingsError(f"{source}: {text!r:.80} is not HOST:PORT with a port from 1 to {MAX_PORT}")
        addresses.append(address)
    if not addresses:
        raise BalancingSettingsError(f"{source}: lists no process address; at least one HOST:PORT is required")
    if len(set(addresses)) != len(addresses):
        raise BalancingSettingsError(
            f"{source}: lists an address more than once: "
            f"{next(f'{host}:{port}' for host, port in addresses if addresses.count((host, port)) > 1)}"
        )
    return tuple(addresses)


def _address_texts(path: str, table: Mapping[str, Any]) -> tuple[str, list[str]]:
    """The path of the file that lists the addresses, and the addresses as written there."""
    if ("addresses" in table) == ("file" in table):
        raise BalancingSettingsError(
            f"{path}: processes needs either addresses or file, found {'both' if 'file' in table else 'neither'}"
        )
    if "file" in table:
        list_path = str(table["file"])
        lines = [line.partition("#")[0].strip() for line in _read(list_path).splitlines()]
        return list_path, [line for line in lines if line]
    if not isinstance(table["addresses"], list):
        raise BalancingSettingsError(
            f"{path}: processes.addresses is {table['addresses']!r:.80}, not a list of HOST:PORT"
        )
    return path, [str(text) for text in table["addresses"]]


def _balancing_rules(path: str, tables: Mapping[str, Mapping[str, Any]]) -> BalancingRules:
    values: dict[str, Any] = {}
    for table, keys in NUMERIC_KEYS.items():
        for key, value in tables.get(table, {}).items():
            if key not in keys:
                raise BalancingSettingsError(f"{path}: unknown key {table}.{key:.80}; known keys: {', '.join(keys)}")
            values[keys[key].rule] = _validated_number(path, f"{table}.{key}", value, keys[key])
    rules = BalancingRules(**values)
    if rules.raised_retry_ratio < rules.retry_ratio:
        raise BalancingSettingsError(
            f"{path}: second_tries.part_high is {rules.raised_retry_ratio:g}, less than "
            f"second_tries.part, {rules.retry_ratio:g}"
        )
    return rules


def _validated_number(path: str, name: str, value: Any, bounds: NumberKey) -> float:
    allowed_types = int if bounds.integer else int | float
    is_number = isinstance(value, allowed_types) and not isinstance(value, bool)
    if not is_number or not bounds.minimum <= value <= bounds.maximum:
        expected = "an integer" if bounds.integer else "a number"
        raise BalancingSettingsError(
            f"{path}: {name} is {value!r:.80}, not {expected} from {bounds.minimum:g} to {bounds.maximum:g}"
        )
    return int(value) if bounds.integer else float(value)
