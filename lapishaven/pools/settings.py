"""The operator's settings for the pools, read from TOML and checked against the classes that the server has."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

DEFAULT_PREEMPT_AFTER_S = 0.3
MAX_PREEMPT_AFTER_S = 60.0
DEFAULT_RESERVE_CEILING = 0.5
SHARE_TOLERANCE = 1e-9  # by which the sum of the shares may be over 1, for rounding


class PoolsError(ValueError):
    """A setting is missing or malformed; the text is one line for the operator."""


@dataclass(frozen=True, slots=True)
class PoolRule:
    """One pool."""

    name: str
    """Unique among the pools."""
    classes: tuple[str, ...]
    """Names of its request classes."""
    share: float
    """Part of the instance's work that is guaranteed to it, above 0 and up to 1."""
    ceiling: float = 1.0
    """Part of the instance that it may use by borrowing what others leave, from its share up to 1."""


@dataclass(frozen=True, slots=True)
class Reserve:
    """Runs that no other pool may borrow."""

    pool: str
    """Name of the pool that it is for."""
    share: float
    """Part of the cores, one run at the least."""
    ceiling: float = DEFAULT_RESERVE_CEILING
    """Part of the instance that the pool itself may use, so that the reserve cannot be abused."""


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """All pools; every class of the server is in exactly one."""

    pools: tuple[PoolRule, ...]
    """At least one."""
    reserve: Reserve | None = None
    """``None`` if there is no reserve."""
    preempt_after_s: float = DEFAULT_PREEMPT_AFTER_S
    """Seconds after which a pool that is below its share gets it back by a pause of what others run."""


def load(path: str, classes: Sequence[str], cores: int) -> PoolSettings:
    """Read a TOML file for a server with these class names and cores; raise ``PoolsError``."""
    try:
        data = tomllib.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise PoolsError(f"cannot read {path}: {getattr(error, 'strerror', None) or error}") from None
    try:
        return parse(data, classes, cores)
    except PoolsError as error:
        raise PoolsError(f"{path}: {error}") from None


def parse(data: Mapping[str, Any], classes: Sequence[str], cores: int) -> PoolSettings:
    """Check a table as TOML gives it; raise ``PoolsError``."""
    _check_keys(data, {"pool", "reserve", "take_back_s"}, {"pool"}, "the file")
    rules = _pool_rules(data["pool"], classes)
    reserve = _reserve(data["reserve"], rules, cores) if "reserve" in data else None
    total = sum(rule.share for rule in rules)
    if total > 1.0 + SHARE_TOLERANCE:
        raise PoolsError(f"the shares add up to {total:g}, which is over 1")
    preempt_after_s = DEFAULT_PREEMPT_AFTER_S
    if "take_back_s" in data:
        preempt_after_s = _number(data, "take_back_s", "the file", MAX_PREEMPT_AFTER_S)
    return PoolSettings(tuple(rules), reserve, preempt_after_s)


def _pool_rules(rows: Any, classes: Sequence[str]) -> list[PoolRule]:
    if not isinstance(rows, list) or not rows:
        raise PoolsError("there is no [[pool]]")
    rules: list[PoolRule] = []
    pool_of_class: dict[str, str] = {}
    for number, row in enumerate(rows, 1):
        rule = _pool_rule(row, number, rules, classes, pool_of_class)
        rules.append(rule)
    if missing := [name for name in classes if name not in pool_of_class]:
        raise PoolsError(f"class {missing[0]!r} is in no pool")
    return rules


def _pool_rule(
    row: Any, number: int, rules: Sequence[PoolRule], classes: Sequence[str], pool_of_class: dict[str, str]
) -> PoolRule:
    """One pool, checked against the ``rules`` before it; its classes are entered in ``pool_of_class``."""
    _check_keys(row, {"name", "classes", "share", "ceiling"}, {"name", "classes", "share"}, f"pool {number}")
    name = row["name"]
    if not isinstance(name, str) or not name:
        raise PoolsError(f"pool {number}: name is not a word")
    where = f"pool {name}"
    if any(rule.name == name for rule in rules):
        raise PoolsError(f"{where} is there twice")
    _check_classes(row["classes"], name, classes, pool_of_class)
    share = _number(row, "share", where)
    ceiling = _number(row, "ceiling", where) if "ceiling" in row else 1.0
    if ceiling < share:
        raise PoolsError(f"{where}: ceiling is under share")
    return PoolRule(name, tuple(row["classes"]), share, ceiling)


def _check_classes(names: Any, pool: str, classes: Sequence[str], pool_of_class: dict[str, str]) -> None:
    where = f"pool {pool}"
    if not isinstance(names, list) or not names or not all(isinstance(name, str) for name in names):
        raise PoolsError(f"{where}: classes is not a list of names")
    for name in names:
        if name not in classes:
            raise PoolsError(f"{where}: no class {name!r}; there are {', '.join(classes)}")
        if name in pool_of_class:
            raise PoolsError(f"{where}: class {name!r} is in pool {pool_of_class[name]} already")
        pool_of_class[name] = pool


def _reserve(row: Any, rules: Sequence[PoolRule], cores: int) -> Reserve:
    _check_keys(row, {"pool", "share", "ceiling"}, {"pool", "share"}, "reserve")
    if row["pool"] not in [rule.name for rule in rules]:
        raise PoolsError(f"reserve: no pool {row['pool']!r}")
    share = _number(row, "share", "reserve")
    if share * cores > cores - 1:
        raise PoolsError(f"reserve: a share of {share:g} leaves no core of {cores} to the other pools")
    ceiling = _number(row, "ceiling", "reserve") if "ceiling" in row else max(DEFAULT_RESERVE_CEILING, share)
    if ceiling < share:
        raise PoolsError("reserve: ceiling is under share")
    return Reserve(row["pool"], share, ceiling)


def _check_keys(row: Any, known: set[str], required: set[str], where: str) -> None:
    if not isinstance(row, dict):
        raise PoolsError(f"{where} is not a table")
    if unknown := sorted(set(row) - known):
        raise PoolsError(f"{where}: unknown setting {unknown[0]}")
    if missing := sorted(required - set(row)):
        raise PoolsError(f"{where}: {missing[0]} is missing")


def _number(row: Mapping[str, Any], name: str, where: str, most: float = 1.0) -> float:
    value = row.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value <= most:
        raise PoolsError(f"{where}: {name} is not a number above 0 and up to {most:g}")
    return float(value)
