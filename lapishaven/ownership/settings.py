"""The settings of ownership, from ``deploy/ownership.toml``: checked, one plain line on what is wrong."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from lapishaven.ownership.member import Rules
from lapishaven.ownership.model import SHARDS
from lapishaven.ownership.overload import OverloadRules


class OwnershipError(ValueError):
    """One plain line on what is wrong."""


Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Ownership:
    """``coordinator``: a path, or an address; ``receiver``: the book's path. Times in seconds."""

    coordinator: str | Address
    prefix: str
    receiver: str
    rules: Rules
    weight: float
    periods: tuple[int, float, float] | None  # shards, length, grace
    budgets: tuple[float, float, int] | None  # span, fallback, members
    restart: bool  # whether this process goes when a rolling restart permits it to
    flush: float
    overload: OverloadRules | None = None  # when it gives shards back; none: never
    supervised: bool = False  # what started it sees to its restarts: by an upgrade, when they are permitted


KEYS: dict[str, tuple[set[str], set[str]]] = {  # needed, and allowed besides
    "coordinator": (set(), {"file", "address", "prefix"}),
    "receiver": ({"file"}, set()),
    "lease": ({"ttl_s", "margin_s", "settle_s"}, {"weight"}),
    "periods": ({"shards", "length_s", "grace_s"}, set()),
    "budgets": ({"span_s", "fallback", "members"}, set()),
    "restart": ({"obey"}, set()),
    "overload": ({"after_s", "rest_s"}, set()),
}
SUPERVISOR = "supervisor"
FASTEST = 2.0  # s of a lease on etcd, which raises shorter ones


def _number(where: str, table: Mapping[str, Any], name: str, low: float, high: float) -> float:
    value = table[name]
    if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
        raise OwnershipError(f"{where}.{name} is {value!r}, not a number from {low:g} to {high:g}")
    return float(value)


def _file(path: str, name: str, table: Mapping[str, Any]) -> str:
    if not isinstance(table["file"], str) or not table["file"].startswith("/"):
        raise OwnershipError(f"{path}: {name}.file is no path from the root")
    return table["file"]


def _place(path: str, name: str, table: Mapping[str, Any]) -> str | Address:
    if ("file" in table) == ("address" in table):
        raise OwnershipError(f"{path}: {name} needs either file or address")
    if "file" in table:
        return _file(path, name, table)
    host, _, port = str(table["address"]).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise OwnershipError(f"{path}: {name}.address is not HOST:PORT")
    return host, int(port)


def load(path: str) -> Ownership:
    """The checked settings; ``OwnershipError`` says what is wrong."""
    try:
        data = tomllib.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise OwnershipError(f"cannot read {path}: {getattr(error, 'strerror', None) or error}") from None
    if odd := set(data) - set(KEYS):
        raise OwnershipError(f"{path}: unknown table {sorted(odd)[0]}")
    for name in ("coordinator", "receiver", "lease"):
        if name not in data:
            raise OwnershipError(f"{path}: there is no [{name}]")
    for name, table in data.items():
        needed, more = KEYS[name]
        if not isinstance(table, dict):
            raise OwnershipError(f"{path}: {name} is not a table")
        if missing := needed - set(table):
            raise OwnershipError(f"{path}: {name} lacks {sorted(missing)[0]}")
        if odd := set(table) - needed - more:
            raise OwnershipError(f"{path}: {name} has an unknown {sorted(odd)[0]}")
    lease, where = data["lease"], f"{path}: lease"
    coordinator = _place(path, "coordinator", data["coordinator"])
    ttl = _number(where, lease, "ttl_s", FASTEST if isinstance(coordinator, tuple) else 0.5, 300.0)
    margin = _number(where, lease, "margin_s", ttl / 100, ttl / 3)
    rules = Rules(ttl=ttl, margin=margin, settle=_number(where, lease, "settle_s", 0.0, 60.0), poll=ttl / 10)
    prefix = data["coordinator"].get("prefix", "/lapishaven")
    if not isinstance(prefix, str) or not prefix.startswith("/") or not prefix.isascii():
        raise OwnershipError(f"{path}: coordinator.prefix does not start with /")
    periods = budgets = None
    if (table := data.get("periods")) is not None:
        where = f"{path}: periods"
        periods = (
            int(_number(where, table, "shards", 1, SHARDS)),
            _number(where, table, "length_s", 0.5, 1e8),
            _number(where, table, "grace_s", 0.0, 1e6),
        )
    if (table := data.get("budgets")) is not None:
        where = f"{path}: budgets"
        budgets = (
            _number(where, table, "span_s", 0.2, 60.0),
            _number(where, table, "fallback", 0.0, 1.0),
            int(_number(where, table, "members", 1, 10_000)),
        )
        if budgets[0] < 2 * ttl:
            raise OwnershipError(f"{where}.span_s is under twice lease.ttl_s: grants would end before an heir deals")
    obey = data.get("restart", {}).get("obey", False)
    if not isinstance(obey, bool) and obey != SUPERVISOR:
        raise OwnershipError(f'{path}: restart.obey is none of true, false and "{SUPERVISOR}"')
    overload = None
    if (table := data.get("overload")) is not None:
        where = f"{path}: overload"
        after, rest = _number(where, table, "after_s", 0.1, 600.0), _number(where, table, "rest_s", 1.0, 3600.0)
        overload = OverloadRules(after, rest=rest)
    weight = _number(f"{path}: lease", {"weight": 1.0, **lease}, "weight", 0.01, 100.0)
    return Ownership(
        coordinator,
        prefix,
        _file(path, "receiver", data["receiver"]),
        rules,
        weight,
        periods,
        budgets,
        obey is True,
        min(1.0, ttl / 3),
        overload,
        obey == SUPERVISOR,
    )
