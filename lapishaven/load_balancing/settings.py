"""The checked settings of load balancing, from the TOML file of ``serve --spread``."""

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
    """A mistake in the file, as one plain line."""


class NumberKey(NamedTuple):
    """A numeric key of the file: the field of ``BalancingRules`` that it sets, and its bounds."""

    field: str
    least: float
    most: float
    whole: bool = False


# By table and key of the file.
NUMBERS: dict[str, dict[str, NumberKey]] = {
    "probes": {
        "a_choice": NumberKey("probes_per_choice", 0, 8, whole=True),
        "wait_s": NumberKey("probe_wait_s", 0.001, 1.0),
        "kept": NumberKey("cached_reports", 0, 256, whole=True),
        "uses": NumberKey("report_uses", 1, 16, whole=True),
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
        "in_a_row": NumberKey("ejection_failures", 1, 100, whole=True),
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
    """What ``serve --spread`` is told.

    Attributes:
        addresses: host and port of each endpoint.
        path: to which the class of a request is appended.
        attempts: connections to endpoints at one time at most.
        rules: limits of the load balancer.
    """

    addresses: tuple[tuple[str, int], ...]
    path: str
    attempts: int
    rules: BalancingRules


def parse_address(text: str) -> tuple[str, int] | None:
    """The host and port of ``HOST:PORT``; ``None`` where it is not that."""
    host, _, port = text.rpartition(":")
    return (host, int(port)) if host and port.isdigit() and 0 < int(port) <= MAX_PORT else None


def load_settings(path: str) -> BalancingSettings:
    """Read and check the file. Raises ``BalancingSettingsError``."""
    tables = _read_tables(path)
    processes = tables.get("processes", {})
    if unknown := set(processes) - PROCESS_KEYS:
        raise BalancingSettingsError(f"{path}: unknown key processes.{min(unknown)}")
    request_path = processes.get("path", DEFAULT_PATH)
    if not isinstance(request_path, str) or not request_path.startswith("/"):
        raise BalancingSettingsError(f"{path}: processes.path does not start with /")
    connections = processes.get("attempts", DEFAULT_CONNECTIONS)
    bounds = NumberKey("attempts", MIN_CONNECTIONS, MAX_CONNECTIONS, whole=True)
    attempts = int(_number(path, "processes.attempts", connections, bounds))
    rules = _rules(path, tables)
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
        raise BalancingSettingsError(f"{path}: {error}") from None
    if unknown := set(tables) - {"processes", *NUMBERS}:
        raise BalancingSettingsError(f"{path}: unknown table {min(unknown)}")
    for name, table in tables.items():
        if not isinstance(table, dict):
            raise BalancingSettingsError(f"{path}: {name} is no table")
    return tables


def _addresses(path: str, table: Mapping[str, Any]) -> tuple[tuple[str, int], ...]:
    where, texts = _address_texts(path, table)
    found = []
    for text in texts:
        address = parse_address(text)
        if address is None:
            raise BalancingSettingsError(f"{where}: {text!r} is not HOST:PORT")
        found.append(address)
    if not found:
        raise BalancingSettingsError(f"{where}: no process is named")
    if len(set(found)) != len(found):
        raise BalancingSettingsError(f"{where}: a process is named twice")
    return tuple(found)


def _address_texts(path: str, table: Mapping[str, Any]) -> tuple[str, list[str]]:
    """The file in which the addresses stand, and each of them as written."""
    if ("addresses" in table) == ("file" in table):
        raise BalancingSettingsError(f"{path}: processes needs either addresses or file")
    if "file" in table:
        where = str(table["file"])
        lines = [line.partition("#")[0].strip() for line in _read(where).splitlines()]
        return where, [line for line in lines if line]
    if not isinstance(table["addresses"], list):
        raise BalancingSettingsError(f"{path}: processes.addresses is no list")
    return path, [str(text) for text in table["addresses"]]


def _rules(path: str, tables: Mapping[str, Mapping[str, Any]]) -> BalancingRules:
    values: dict[str, Any] = {}
    for table, keys in NUMBERS.items():
        for key, value in tables.get(table, {}).items():
            if key not in keys:
                raise BalancingSettingsError(f"{path}: unknown key {table}.{key}")
            values[keys[key].field] = _number(path, f"{table}.{key}", value, keys[key])
    rules = BalancingRules(**values)
    if rules.raised_retry_ratio < rules.retry_ratio:
        raise BalancingSettingsError(f"{path}: second_tries.part_high is under second_tries.part")
    return rules


def _number(path: str, name: str, value: Any, bounds: NumberKey) -> float:
    allowed = int if bounds.whole else int | float
    is_number = isinstance(value, allowed) and not isinstance(value, bool)
    if not is_number or not bounds.least <= value <= bounds.most:
        kind = "a whole number" if bounds.whole else "a number"
        raise BalancingSettingsError(f"{path}: {name} is not {kind} from {bounds.least:g} to {bounds.most:g}")
    return int(value) if bounds.whole else float(value)
