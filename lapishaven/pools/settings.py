"""The operator's settings for the pools, read from TOML and validated against the server's classes."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

DEFAULT_PREEMPT_AFTER_S = 0.3
MAX_PREEMPT_AFTER_S = 60.0
DEFAULT_RESERVE_CEILING = 0.5
SHARE_TOLERANCE = 1e-9  # the sum of the shares may exceed 1 by this much, because of rounding


class PoolsError(ValueError):
    """A setting is missing or malformed; the message is one line for the operator."""


@dataclass(frozen=True, slots=True)
class PoolRule:
    """The settings of one pool."""

    name: str
    """Its name, unique among the pools."""
    classes: tuple[str, ...]
    """Names of its request classes."""
    share: float
    """Fraction of the instance's work that is guaranteed to it, above 0 and up to 1."""
    ceiling: float = 1.0
    """Fraction of the instance that it may use, including what other pools leave unused, from its share up to 1."""


@dataclass(frozen=True, slots=True)
class Reserve:
    """Runs that are reserved for one pool and never lent to others."""

    pool: str
    """Name of the pool that may use the reserve."""
    share: float
    """Fraction of the cores; at least one run."""
    ceiling: float = DEFAULT_RESERVE_CEILING
    """Fraction of the instance that this pool may use, so that the reserve cannot be abused."""


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """The settings of all pools; every class of the server is in exactly one pool."""

    pools: tuple[PoolRule, ...]
    """At least one."""
    reserve: Reserve | None = None
    """The reserve; ``None`` if there is none."""
    preempt_after_s: float = DEFAULT_PREEMPT_AFTER_S
    """Seconds for which a pool may be starved before a run of another pool is paused for it."""


def load(path: str, classes: Sequence[str], cores: int) -> PoolSettings:
    """Read the TOML file of a server with these class names and cores; raises ``PoolsError``."""
    try:
        data = tomllib.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise PoolsError(f"cannot read pools file {path}: {getattr(error, 'strerror', None) or error}") from None
    try:
        return parse(data, classes, cores)
    except PoolsError as error:
        raise PoolsError(f"{path}: {error}") from None


def parse(data: Mapping[str, Any], classes: Sequence[str], cores: int) -> PoolSettings:
    """Validate a parsed TOML document; raises ``PoolsError``."""
    _check_keys(data, {"pool", "reserve", "take_back_s"}, {"pool"}, "top level")
    rules = _pool_rules(data["pool"], classes)
    reserve = _reserve(data["reserve"], rules, cores) if "reserve" in data else None
    total = sum(rule.share for rule in rules)
    if total > 1.0 + SHARE_TOLERANCE:
        raise PoolsError(f"the shares of all pools add up to {total:g}; the maximum is 1")
    preempt_after_s = DEFAULT_PREEMPT_AFTER_S
    if "take_back_s" in data:
        preempt_after_s = _number(data, "take_back_s", "top level", MAX_PREEMPT_AFTER_S)
    return PoolSettings(tuple(rules), reserve, preempt_after_s)


def _pool_rules(rows: Any, classes: Sequence[str]) -> list[PoolRule]:
    if not isinstance(rows, list) or not rows:
        raise PoolsError(f"at least one [[pool]] table is required, found {rows!r:.80}")
    rules: list[PoolRule] = []
    pool_of_class: dict[str, str] = {}
    for number, row in enumerate(rows, 1):
        rule = _pool_rule(row, number, rules, classes, pool_of_class)
        rules.append(rule)
    if missing := [name for name in classes if name not in pool_of_class]:
        raise PoolsError(f"class {missing[0]!r} is in no pool; every class must be in exactly one")
    return rules


def _pool_rule(
    row: Any, number: int, rules: Sequence[PoolRule], classes: Sequence[str], pool_of_class: dict[str, str]
) -> PoolRule:
    """Validate one pool against the preceding ``rules``; adds its classes to ``pool_of_class``."""
    _check_keys(row, {"name", "classes", "share", "ceiling"}, {"name", "classes", "share"}, f"pool {number}")
    name = row["name"]
    if not isinstance(name, str) or not name:
        raise PoolsError(f"pool {number}: name must be a non-empty string, found {name!r:.80}")
    location = f"pool {name!r:.80}"
    if any(rule.name == name for rule in rules):
        raise PoolsError(f"{location} (table {number}): another pool has the same name")
    _check_classes(row["classes"], name, classes, pool_of_class)
    share = _number(row, "share", location)
    ceiling = _number(row, "ceiling", location) if "ceiling" in row else 1.0
    if ceiling < share:
        raise PoolsError(f"{location}: ceiling {ceiling:g} is below share {share:g}")
    return PoolRule(name, tuple(row["classes"]), share, ceiling)


def _check_classes(names: Any, pool: str, classes: Sequence[str], pool_of_class: dict[str, str]) -> None:
    location = f"pool {pool!r:.80}"
    if not isinstance(names, list) or not names or not all(isinstance(name, str) for name in names):
        raise PoolsError(f"{location}: classes must be a non-empty list of class names, found {names!r:.80}")
    for name in names:
        if name not in classes:
            raise PoolsError(f"{location}: unknown class {name!r:.80}; the classes are {', '.join(classes)}")
        if name in pool_of_class:
            raise PoolsError(f"{location}: class {name!r} is already in pool {pool_of_class[name]!r:.80}")
        pool_of_class[name] = pool


def _reserve(row: Any, rules: Sequence[PoolRule], cores: int) -> Reserve:
    _check_keys(row, {"pool", "share", "ceiling"}, {"pool", "share"}, "reserve")
    if row["pool"] not in [rule.name for rule in rules]:
        raise PoolsError(
            f"reserve: unknown pool {row['pool']!r:.80}; the pools are {', '.join(rule.name for rule in rules)}"
        )
    share = _number(row, "share", "reserve")
    if share * cores > cores - 1:
        raise PoolsError(f"reserve: a share of {share:g} leaves less than one of {cores} cores to the other pools")
    ceiling = _number(row, "ceiling", "reserve") if "ceiling" in row else max(DEFAULT_RESERVE_CEILING, share)
    if ceiling < share:
        raise PoolsError(f"reserve: ceiling {ceiling:g} is below share {share:g}")
    return Reserve(row["pool"], share, ceiling)


def _check_keys(row: Any, known: set[str], required: set[str], location: str) -> None:
    if not isinstance(row, dict):
        raise PoolsError(f"{location} must be a table, found {row!r:.80}")
    if unknown := sorted(set(row) - known):
        raise PoolsError(f"{location}: unknown setting {unknown[0]!r:.80}; the settings are {', '.join(sorted(known))}")
    if missing := sorted(required - set(row)):
        raise PoolsError(f"{location}: required setting {missing[0]} is missing")


def _number(row: Mapping[str, Any], name: str, location: str, maximum: float = 1.0) -> float:
    value = row.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value <= maximum:
        raise PoolsError(f"{location}: {name} must be a number above 0 and at most {maximum:g}, found {value!r:.80}")
    return float(value)
