"""The settings of ownership, from ``deploy/ownership.toml``: checked, one plain line on what is wrong."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from lapishaven.ownership.model import MAX_SHARDS_PER_DUTY
from lapishaven.ownership.overload import OverloadRules
from lapishaven.ownership.rules import MembershipRules

Table = Mapping[str, Any]
Address = tuple[str, int]


class OwnershipError(ValueError):
    """One plain line on what is wrong, for operators."""


@dataclass(frozen=True, slots=True)
class PeriodSettings:
    """Closing of settlement periods. Times in seconds."""

    shards: int
    length: float
    grace: float
    """From the end of a period until it is closed."""


@dataclass(frozen=True, slots=True)
class BudgetSettings:
    """Quota grants."""

    span: float
    """How long a grant lasts, in seconds."""
    fallback_share: float
    """Part of a contract's rate that members without a grant may use, all together."""
    members: int
    """The installation's size, among which the fallback is divided."""


@dataclass(frozen=True, slots=True)
class OwnershipSettings:
    """All settings. Times in seconds."""

    coordinator: str | Address
    """The path of a SQLite file, or the address of etcd."""
    prefix: str
    """Of the keys in etcd."""
    receiver: str
    """The path of the fenced store."""
    rules: MembershipRules
    weight: float
    """Of this member, relative to the others."""
    periods: PeriodSettings | None
    budgets: BudgetSettings | None
    obeys_restarts: bool
    """Whether this process leaves when a rolling restart permits it to."""
    flush_interval: float
    """Between two flushes of consumption rows."""
    overload: OverloadRules | None = None
    """When this member sheds shards; None: never."""
    supervised: bool = False
    """Whether what started the process restarts it when permitted, by an upgrade."""


@dataclass(frozen=True, slots=True)
class _Keys:
    """The keys of one table."""

    required: frozenset[str]
    optional: frozenset[str] = frozenset()


KEYS: dict[str, _Keys] = {
    "coordinator": _Keys(frozenset(), frozenset({"file", "address", "prefix"})),
    "receiver": _Keys(frozenset({"file"})),
    "lease": _Keys(frozenset({"ttl_s", "margin_s", "settle_s"}), frozenset({"weight"})),
    "periods": _Keys(frozenset({"shards", "length_s", "grace_s"})),
    "budgets": _Keys(frozenset({"span_s", "fallback", "members"})),
    "restart": _Keys(frozenset({"obey"})),
    "overload": _Keys(frozenset({"after_s", "rest_s"})),
}
"""The tables of the file with their keys."""
REQUIRED_TABLES = ("coordinator", "receiver", "lease")
SUPERVISOR = "supervisor"
DEFAULT_PREFIX = "/lapishaven"
MIN_TTL_S = 0.5
MIN_ETCD_TTL_S = 2.0  # etcd raises shorter leases
POLLS_PER_TTL = 10  # polls of the coordinator's revision in the time to live of a lease
FLUSHES_PER_TTL = 3  # flushes of consumption rows, likewise, within MAX_FLUSH_INTERVAL_S
MAX_FLUSH_INTERVAL_S = 1.0


def load(path: str) -> OwnershipSettings:
    """Read and check the settings. Raises ``OwnershipError``."""
    data = _read_tables(path)
    _check_keys(path, data)
    coordinator = _coordinator(path, data["coordinator"])
    rules = _membership_rules(path, data["lease"], on_etcd=isinstance(coordinator, tuple))
    prefix = _prefix(path, data["coordinator"])
    periods = _periods(path, data.get("periods"))
    budgets = _budgets(path, data.get("budgets"), rules.ttl)
    obey = data.get("restart", {}).get("obey", False)
    if not isinstance(obey, bool) and obey != SUPERVISOR:
        raise OwnershipError(f'{path}: restart.obey is none of true, false and "{SUPERVISOR}"')
    overload = _overload(path, data.get("overload"))
    weight = _number(f"{path}: lease", {"weight": 1.0, **data["lease"]}, "weight", 0.01, 100.0)
    return OwnershipSettings(
        coordinator=coordinator,
        prefix=prefix,
        receiver=_file(path, "receiver", data["receiver"]),
        rules=rules,
        weight=weight,
        periods=periods,
        budgets=budgets,
        obeys_restarts=obey is True,
        flush_interval=min(MAX_FLUSH_INTERVAL_S, rules.ttl / FLUSHES_PER_TTL),
        overload=overload,
        supervised=obey == SUPERVISOR,
    )


def _read_tables(path: str) -> dict[str, Any]:
    try:
        return tomllib.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise OwnershipError(f"cannot read {path}: {getattr(error, 'strerror', None) or error}") from None


def _check_keys(path: str, data: Mapping[str, Any]) -> None:
    if unknown := set(data) - set(KEYS):
        raise OwnershipError(f"{path}: unknown table {min(unknown)}")
    for name in REQUIRED_TABLES:
        if name not in data:
            raise OwnershipError(f"{path}: there is no [{name}]")
    for name, table in data.items():
        keys = KEYS[name]
        if not isinstance(table, dict):
            raise OwnershipError(f"{path}: {name} is not a table")
        if missing := keys.required - set(table):
            raise OwnershipError(f"{path}: {name} lacks {min(missing)}")
        if unknown := set(table) - keys.required - keys.optional:
            raise OwnershipError(f"{path}: {name} has an unknown {min(unknown)}")


def _coordinator(path: str, table: Table) -> str | Address:
    if ("file" in table) == ("address" in table):
        raise OwnershipError(f"{path}: coordinator needs either file or address")
    if "file" in table:
        return _file(path, "coordinator", table)
    host, _, port = str(table["address"]).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise OwnershipError(f"{path}: coordinator.address is not HOST:PORT")
    return host, int(port)


def _prefix(path: str, table: Table) -> str:
    prefix = table.get("prefix", DEFAULT_PREFIX)
    if not isinstance(prefix, str) or not prefix.startswith("/") or not prefix.isascii():
        raise OwnershipError(f"{path}: coordinator.prefix does not start with /")
    return prefix


def _membership_rules(path: str, table: Table, on_etcd: bool) -> MembershipRules:
    where = f"{path}: lease"
    ttl = _number(where, table, "ttl_s", MIN_ETCD_TTL_S if on_etcd else MIN_TTL_S, 300.0)
    margin = _number(where, table, "margin_s", ttl / 100, ttl / 3)
    settling_time = _number(where, table, "settle_s", 0.0, 60.0)
    return MembershipRules(ttl=ttl, margin=margin, settling_time=settling_time, poll_interval=ttl / POLLS_PER_TTL)


def _periods(path: str, table: Table | None) -> PeriodSettings | None:
    if table is None:
        return None
    where = f"{path}: periods"
    return PeriodSettings(
        shards=int(_number(where, table, "shards", 1, MAX_SHARDS_PER_DUTY)),
        length=_number(where, table, "length_s", 0.5, 1e8),
        grace=_number(where, table, "grace_s", 0.0, 1e6),
    )


def _budgets(path: str, table: Table | None, ttl: float) -> BudgetSettings | None:
    if table is None:
        return None
    where = f"{path}: budgets"
    settings = BudgetSettings(
        span=_number(where, table, "span_s", 0.2, 60.0),
        fallback_share=_number(where, table, "fallback", 0.0, 1.0),
        members=int(_number(where, table, "members", 1, 10_000)),
    )
    if settings.span < 2 * ttl:
        raise OwnershipError(f"{where}.span_s is under twice lease.ttl_s: grants would end before an heir deals")
    return settings


def _overload(path: str, table: Table | None) -> OverloadRules | None:
    if table is None:
        return None
    where = f"{path}: overload"
    sustained_for = _number(where, table, "after_s", 0.1, 600.0)
    recovery_time = _number(where, table, "rest_s", 1.0, 3600.0)
    return OverloadRules(sustained_for=sustained_for, recovery_time=recovery_time)


def _number(where: str, table: Table, name: str, low: float, high: float) -> float:
    value = table[name]
    if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
        raise OwnershipError(f"{where}.{name} is {value!r}, not a number from {low:g} to {high:g}")
    return float(value)


def _file(path: str, name: str, table: Table) -> str:
    file = table["file"]
    if not isinstance(file, str) or not file.startswith("/"):
        raise OwnershipError(f"{path}: {name}.file is no path from the root")
    return file
