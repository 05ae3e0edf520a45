"""What an operator sets for the pools, checked against the classes that the server has."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any


class PoolsError(ValueError):
    """One plain line on what is wrong."""


@dataclass(frozen=True, slots=True)
class PoolRule:
    """One pool. ``share`` is the part of the box's work that is guaranteed to it."""

    name: str
    classes: tuple[str, ...]
    share: float
    ceiling: float = 1.0  # part of the box that it may come to by borrowing


@dataclass(frozen=True, slots=True)
class Reserve:
    """What no pool may borrow. ``pool`` names the one it is kept for."""

    pool: str
    share: float  # part of the running limit that only this pool may use, one run at the least
    ceiling: float = 0.5  # part of the box that the pool itself may come to, so that it cannot be abused


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """All pools; every class of the server is in exactly one."""

    pools: tuple[PoolRule, ...]
    reserve: Reserve | None = None
    take_back_s: float = 0.3  # after so long without its share a pool has what it lent taken back


def _number(row: Mapping[str, Any], name: str, where: str, most: float = 1.0) -> float:
    value = row.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value <= most:
        raise PoolsError(f"{where}: {name} is not a number above 0 and up to {most:g}")
    return float(value)


def _keys(row: Any, known: set[str], needed: set[str], where: str) -> None:
    if not isinstance(row, dict):
        raise PoolsError(f"{where} is not a table")
    if odd := sorted(set(row) - known):
        raise PoolsError(f"{where}: unknown setting {odd[0]}")
    if lacking := sorted(needed - set(row)):
        raise PoolsError(f"{where}: {lacking[0]} is missing")


def parse(data: Mapping[str, Any], classes: Sequence[str], cores: int) -> PoolSettings:
    """Checked settings from a table as TOML gives it."""
    _keys(data, {"pool", "reserve", "take_back_s"}, {"pool"}, "the file")
    rows = data["pool"]
    if not isinstance(rows, list) or not rows:
        raise PoolsError("there is no [[pool]]")
    rules: list[PoolRule] = []
    taken: dict[str, str] = {}
    for n, row in enumerate(rows, 1):
        where = f"pool {n}"
        _keys(row, {"name", "classes", "share", "ceiling"}, {"name", "classes", "share"}, where)
        name, mine = row["name"], row["classes"]
        if not isinstance(name, str) or not name:
            raise PoolsError(f"{where}: name is not a word")
        where = f"pool {name}"
        if any(rule.name == name for rule in rules):
            raise PoolsError(f"{where} is there twice")
        if not isinstance(mine, list) or not mine or not all(isinstance(each, str) for each in mine):
            raise PoolsError(f"{where}: classes is not a list of names")
        for each in mine:
            if each not in classes:
                raise PoolsError(f"{where}: no class {each!r}; there are {', '.join(classes)}")
            if each in taken:
                raise PoolsError(f"{where}: class {each!r} is in pool {taken[each]} already")
            taken[each] = name
        share = _number(row, "share", where)
        ceiling = _number(row, "ceiling", where) if "ceiling" in row else 1.0
        if ceiling < share:
            raise PoolsError(f"{where}: ceiling is under share")
        rules.append(PoolRule(name, tuple(mine), share, ceiling))
    if lacking := [each for each in classes if each not in taken]:
        raise PoolsError(f"class {lacking[0]!r} is in no pool")
    reserve = _reserve(data["reserve"], rules, cores) if "reserve" in data else None
    total = sum(rule.share for rule in rules)
    if total > 1.0 + 1e-9:
        raise PoolsError(f"the shares add up to {total:g}, which is over 1")
    span = _number(data, "take_back_s", "the file", 60.0) if "take_back_s" in data else 0.3
    return PoolSettings(tuple(rules), reserve, span)


def _reserve(row: Any, rules: Sequence[PoolRule], cores: int) -> Reserve:
    _keys(row, {"pool", "share", "ceiling"}, {"pool", "share"}, "reserve")
    if row["pool"] not in [rule.name for rule in rules]:
        raise PoolsError(f"reserve: no pool {row['pool']!r}")
    share = _number(row, "share", "reserve")
    if share * cores > cores - 1:
        raise PoolsError(f"reserve: a share of {share:g} leaves no core of {cores} to the other pools")
    ceiling = _number(row, "ceiling", "reserve") if "ceiling" in row else max(0.5, share)
    if ceiling < share:
        raise PoolsError("reserve: ceiling is under share")
    return Reserve(row["pool"], share, ceiling)


def load(path: str, classes: Sequence[str], cores: int) -> PoolSettings:
    """Checked settings from a TOML file."""
    try:
        data = tomllib.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise PoolsError(f"cannot read {path}: {getattr(error, 'strerror', None) or error}") from None
    try:
        return parse(data, classes, cores)
    except PoolsError as error:
        raise PoolsError(f"{path}: {error}") from None
