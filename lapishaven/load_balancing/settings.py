"""The checked settings of spreading, from a TOML file."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

from lapishaven.load_balancing.model import Rules


class SpreadError(ValueError):
    """A mistake in the file, as one plain line."""


# Name in the file, field of ``Rules``, least, most.
NUMBERS = {
    "probes": {
        "a_choice": ("probes", 0, 8),
        "wait_s": ("wait", 0.001, 1.0),
        "kept": ("pool", 0, 256),
        "uses": ("uses", 1, 16),
        "kept_s": ("pool_life", 0.01, 60.0),
        "memory": ("memory", 0.01, 100.0),
    },
    "silence": {
        "watch_s": ("watch", 0.01, 60.0),
        "silent_s": ("silent", 0.01, 10.0),
        "uncertain_s": ("uncertain", 0.01, 60.0),
        "panic": ("panic", 0.05, 1.0),
    },
    "faults": {
        "in_a_row": ("faults", 1, 100),
        "out_s": ("out", 0.01, 600.0),
        "out_most_s": ("out_most", 0.01, 3600.0),
        "part": ("out_part", 0.0, 1.0),
    },
    "second_tries": {
        "part": ("budget", 0.0, 1.0),
        "part_high": ("budget_high", 0.0, 1.0),
        "high_s": ("high_span", 0.0, 60.0),
    },
}
WHOLE = ("probes", "pool", "uses", "faults")


@dataclass(frozen=True, slots=True)
class Settings:
    """``attempts``: connections to processes at one time at most."""

    addresses: tuple[tuple[str, int], ...]
    path: str
    attempts: int
    rules: Rules


def address(word: str) -> tuple[str, int] | None:
    """``HOST:PORT``, or none where it is not that."""
    host, _, port = word.rpartition(":")
    return (host, int(port)) if host and port.isdigit() and 0 < int(port) < 65536 else None


def _read(path: str) -> str:
    try:
        return Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise SpreadError(f"cannot read {path}: {getattr(error, 'strerror', None) or error}") from None


def _addresses(path: str, table: Mapping[str, Any]) -> tuple[tuple[str, int], ...]:
    if ("addresses" in table) == ("file" in table):
        raise SpreadError(f"{path}: processes needs either addresses or file")
    if "file" in table:
        where = str(table["file"])
        words = [line.partition("#")[0].strip() for line in _read(where).splitlines()]
        words = [word for word in words if word]
    else:
        where = path
        if not isinstance(table["addresses"], list):
            raise SpreadError(f"{path}: processes.addresses is no list")
        words = [str(word) for word in table["addresses"]]
    found = []
    for word in words:
        if (each := address(word)) is None:
            raise SpreadError(f"{where}: {word!r} is not HOST:PORT")
        found.append(each)
    if not found or len(set(found)) != len(found):
        raise SpreadError(f"{where}: {'no process is named' if not found else 'a process is named twice'}")
    return tuple(found)


def load(path: str) -> Settings:
    """Raises ``SpreadError``."""
    try:
        data = tomllib.loads(_read(path))
    except tomllib.TOMLDecodeError as error:
        raise SpreadError(f"{path}: {error}") from None
    if odd := set(data) - {"processes", *NUMBERS}:
        raise SpreadError(f"{path}: unknown table {sorted(odd)[0]}")
    for name, value in data.items():
        if not isinstance(value, dict):
            raise SpreadError(f"{path}: {name} is no table")
    processes = data.get("processes", {})
    if odd := set(processes) - {"addresses", "file", "path", "attempts"}:
        raise SpreadError(f"{path}: unknown key processes.{sorted(odd)[0]}")
    where = processes.get("path", "/match/")
    if not isinstance(where, str) or not where.startswith("/"):
        raise SpreadError(f"{path}: processes.path does not start with /")
    attempts = _number(path, "processes.attempts", processes.get("attempts", 64), 1, 10_000, True)
    found: dict[str, Any] = {}
    for table, keys in NUMBERS.items():
        for key, value in data.get(table, {}).items():
            if key not in keys:
                raise SpreadError(f"{path}: unknown key {table}.{key}")
            name, least, most = keys[key]
            found[name] = _number(path, f"{table}.{key}", value, least, most, name in WHOLE)
    rules = Rules(**found)
    if rules.budget_high < rules.budget:
        raise SpreadError(f"{path}: second_tries.part_high is under second_tries.part")
    return Settings(_addresses(path, processes), where, int(attempts), rules)


def _number(path: str, name: str, value: Any, least: float, most: float, whole: bool) -> float:
    good = isinstance(value, int if whole else int | float) and not isinstance(value, bool)
    if not good or not least <= value <= most:
        kind = "a whole number" if whole else "a number"
        raise SpreadError(f"{path}: {name} is not {kind} from {least:g} to {most:g}")
    return int(value) if whole else float(value)


assert {name for keys in NUMBERS.values() for name, _, _ in keys.values()} <= {each.name for each in fields(Rules)}
