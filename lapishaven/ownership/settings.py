"""Loads and validates the ownership settings (``deploy/ownership.toml``). An invalid file gives a one-line error."""

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
    """A failure to report to operators, as a message of one line."""


@dataclass(frozen=True, slots=True)
class PeriodSettings:
    """How settlement periods are closed. Times in seconds."""

    shards: int
    length: float
    grace: float
    """Delay from the end of a period until it is closed, for rows that are still in transit."""


@dataclass(frozen=True, slots=True)
class BudgetSettings:
    """How contract quotas are granted to members."""

    span: float
    """Lifetime of a grant in seconds."""
    fallback_share: float
    """Share of a contract's rate that members without a grant may use together."""
    members: int
    """Number of members in the installation; the fallback share is divided evenly among them."""


@dataclass(frozen=True, slots=True)
class OwnershipSettings:
    """All ownership settings of one server. Times in seconds."""

    coordinator: str | Address
    """Path of a SQLite file, or address of etcd."""
    prefix: str
    """Prefix of the keys in etcd."""
    receiver: str
    """Path of the fenced store."""
    rules: MembershipRules
    weight: float
    """Capacity of this member relative to the others."""
    periods: PeriodSettings | None
    budgets: BudgetSettings | None
    obeys_restarts: bool
    """Whether this process shuts down when a rolling restart permits it."""
    flush_interval: float
    """Interval between two flushes of consumption rows."""
    overload: OverloadRules | None = None
    """When this member sheds shards; None disables shedding."""
    supervised: bool = False
    """Whether a supervisor restarts the process when permitted, by an upgrade."""


@dataclass(frozen=True, slots=True)
class _Keys:
    """Keys that one table must or may have."""

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
"""The tables of the settings file and their keys."""
REQUIRED_TABLES = ("coordinator", "receiver", "lease")
SUPERVISOR = "supervisor"
DEFAULT_PREFIX = "/lapishaven"
MIN_TTL_S = 0.5
MIN_ETCD_TTL_S = 2.0  # etcd extends shorter leases to its own minimum
POLLS_PER_TTL = 10  # polls of the coordinator's revision within the time to live of a lease
FLUSHES_PER_TTL = 3  # flushes of consumption rows within the time to live of a lease
MAX_FLUSH_INTERVAL_S = 1.0


def load(path: str) -> OwnershipSettings:
    """Read and validate a settings file. Raises ``OwnershipError`` if it cannot be read or is invalid."""
    data = _read_tables(path)
    _check_keys(path, data)
    coordinator = _coordinator(path, data["coordinator"])
    rules = _membership_rules(path, data["lease"], on_etcd=isinstance(coordinator, tuple))
    prefix = _prefix(path, data["coordinator"])
    periods = _periods(path, data.get("periods"))
    budgets = _budgets(path, data.get("budgets"), rules.ttl)
    obey = data.get("restart", {}).get("obey", False)
    if not isinstance(obey, bool) and obey != SUPERVISOR:
        raise OwnershipError(f'{path}: restart.obey is {obey!r:.80}, not true, false or "{SUPERVISOR}"')
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
        raise OwnershipError(
            f"cannot read the ownership settings {path}: {getattr(error, 'strerror', None) or error}"
        ) from None


def _check_keys(path: str, data: Mapping[str, Any]) -> None:
    if unknown := set(data) - set(KEYS):
        raise OwnershipError(f"{path}: unknown table {min(unknown)!r:.80}, expected one of {', '.join(KEYS)}")
    for name in REQUIRED_TABLES:
        if name not in data:
            raise OwnershipError(f"{path}: required table [{name}] is missing")
    for name, table in data.items():
        keys = KEYS[name]
        if not isinstance(table, dict):
            raise OwnershipError(f"{path}: {name} is {table!r:.80}, not a table")
        if missing := keys.required - set(table):
            raise OwnershipError(f"{path}: required key {name}.{min(missing)} is missing")
        if unknown := set(table) - keys.required - keys.optional:
            raise OwnershipError(
                f"{path}: unknown key {min(unknown)!r:.80} in [{name}],"
                f" expected only {', '.join(sorted(keys.required | keys.optional))}"
            )


def _coordinator(path: str, table: Table) -> str | Address:
    if ("file" in table) == ("address" in table):
        raise OwnershipError(
            f"{path}: coordinator needs exactly one of file and address,"
            f" found {'both' if 'file' in table else 'neither'}"
        )
    if "file" in table:
        return _file(path, "coordinator", table)
    host, _, port = str(table["address"]).rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise OwnershipError(
            f"{path}: coordinator.address is {table['address']!r:.80}, not HOST:PORT with a port from 1 to 65535"
        )
    return host, int(port)


def _prefix(path: str, table: Table) -> str:
    prefix = table.get("prefix", DEFAULT_PREFIX)
    if not isinstance(prefix, str) or not prefix.startswith("/") or not prefix.isascii():
        raise OwnershipError(f"{path}: coordinator.prefix is {prefix!r:.80}, not an ASCII string that starts with /")
    return prefix


def _membership_rules(path: str, table: Table, on_etcd: bool) -> MembershipRules:
    table_path = f"{path}: lease"
    ttl = _number(table_path, table, "ttl_s", MIN_ETCD_TTL_S if on_etcd else MIN_TTL_S, 300.0)
    margin = _number(table_path, table, "margin_s", ttl / 100, ttl / 3)
    settling_time = _number(table_path, table, "settle_s", 0.0, 60.0)
    return MembershipRules(ttl=ttl, margin=margin, settling_time=settling_time, poll_interval=ttl / POLLS_PER_TTL)


def _periods(path: str, table: Table | None) -> PeriodSettings | None:
    if table is None:
        return None
    table_path = f"{path}: periods"
    return PeriodSettings(
        shards=int(_number(table_path, table, "shards", 1, MAX_SHARDS_PER_DUTY)),
        length=_number(table_path, table, "length_s", 0.5, 1e8),
        grace=_number(table_path, table, "grace_s", 0.0, 1e6),
    )


def _budgets(path: str, table: Table | None, ttl: float) -> BudgetSettings | None:
    if table is None:
        return None
    table_path = f"{path}: budgets"
    settings = BudgetSettings(
        span=_number(table_path, table, "span_s", 0.2, 60.0),
        fallback_share=_number(table_path, table, "fallback", 0.0, 1.0),
        members=int(_number(table_path, table, "members", 1, 10_000)),
    )
    if settings.span < 2 * ttl:
        raise OwnershipError(
            f"{table_path}.span_s is {settings.span:g}, under twice lease.ttl_s ({ttl:g}):"
            " grants would expire before a new owner could replace them"
        )
    return settings


def _overload(path: str, table: Table | None) -> OverloadRules | None:
    if table is None:
        return None
    table_path = f"{path}: overload"
    sustained_for = _number(table_path, table, "after_s", 0.1, 600.0)
    recovery_time = _number(table_path, table, "rest_s", 1.0, 3600.0)
    return OverloadRules(sustained_for=sustained_for, recovery_time=recovery_time)


def _number(table_path: str, table: Table, name: str, low: float, high: float) -> float:
    value = table[name]
    if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
        raise OwnershipError(f"{table_path}.{name} is {value!r:.80}, not a number from {low:g} to {high:g}")
    return float(value)


def _file(path: str, name: str, table: Table) -> str:
    file = table["file"]
    if not isinstance(file, str) or not file.startswith("/"):
        raise OwnershipError(f"{path}: {name}.file is {file!r:.200}, not an absolute path")
    return file
