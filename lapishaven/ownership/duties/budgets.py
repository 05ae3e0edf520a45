"""Quota grants: divides a contract's rate over the members by demand, for short spans. Pure decisions, and the effect.

A contract's rate is divided over members in grants that last for ``span`` seconds. A new owner of the shard reads from
the store the grants that may still be in use, and counts them before it makes new ones. A member without a grant falls
back to its static share, ``fallback_share / members`` of the rate. So valid grants sum to at most the rate, and
together with the static shares of members without a grant, at most ``1 + fallback_share`` times the rate can be used:
this is the bound on overshoot. Tokens that members report as overflowed are granted again, up to
``MAX_OVERFLOW_SHARE`` of the rate, which adds that much to the bound.

Clocks of different processes are never compared. A grant lasts for ``span`` from when its member asked for it. Its
owner, old or new, counts it as outstanding for two spans from when it was made, or until the member reports a newer
round.

Sources: token bucket (RFC 2697); max-min fairness (Bertsekas and Gallager, "Data Networks", 6.5).
"""

from __future__ import annotations

import math
import sqlite3
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from lapishaven.ownership.fenced_store import DutySchema

# The columns: ``need`` is a member's demand, ``seen`` the count of its reports, ``adopted`` the round that it uses,
# ``spill`` its overflow rate, ``rate`` its grant in the latest round, and ``most`` the highest rate that it may still
# be using under any outstanding grant. All rates are in requests a second.
SCHEMA = """
create table if not exists budget_need (
    contract text not null, member text not null, need real not null, seen integer not null,
    adopted integer not null,
    primary key (contract, member)
) without rowid;
create table if not exists budget_spill (
    contract text not null, member text not null, spill real not null, primary key (contract, member)
) without rowid;
create table if not exists budget_grant (
    contract text not null, member text not null, rate real not null, most real not null,
    round integer not null,
    primary key (contract, member)
) without rowid;
create table if not exists budget_round (contract text primary key, round integer not null) without rowid
"""
MIN_BUCKET_TOKENS = 12.0  # allows for bursts of arrivals at low rates (3 requests a second)
SMOOTHING_S = 4.0  # time constant of the moving averages
MAX_OVERFLOW_SHARE = 0.03  # share of the rate that may be granted on top, to replace tokens that overflowed
MIN_RATE_PER_S = 1e-9  # keeps Retry-After finite
STEPS_PER_SPAN = 8  # rounds of grants within the lifetime of one grant
IDLE_INTERVAL_S = 60.0  # between steps of a shard that has no contract
NEVER = float("-inf")
NOT_MEASURED = -1.0  # in place of a demand, before the first measurement

ReadRows = Callable[..., list[tuple[Any, ...]]]


# ---- Token bucket of a member
@dataclass(slots=True)
class QuotaBucket:
    """A member's token bucket for one contract. ``now`` is in seconds on the member's own monotonic clock.

    A grant lasts for ``span`` seconds from when the member **asked for** it. Asking again extends it, but only while
    its round is less than a span old: an owner that has made no new round for that long is gone. When the grant has
    expired, the member falls back to its static share.
    """

    rate: float
    """Rate of the whole contract, in requests a second."""
    members: int
    """Number of members in the installation, for the static share."""
    fallback_share: float
    """Share of the rate that members without a grant may use together."""
    burst_s: float
    """Depth of the bucket: the tokens of this many seconds at the rate in force, but at least ``MIN_BUCKET_TOKENS``."""
    granted_rate: float = 0.0
    granted_until: float = NEVER
    round: int = 0
    """Round of the grant in use."""
    overflow_rate: float = 0.0
    """Moving average of the tokens a second that overflowed the bucket."""
    _tokens: float = 0.0
    _refilled_at: float = NEVER
    _requests: int = 0  # since the demand was last measured
    _overflow_tokens: float = 0.0  # since the demand was last measured
    _measured_at: float = NEVER
    _demand: float = NOT_MEASURED
    _newest_round: int = -1
    _newest_round_since: float = 0.0  # when the member first asked for a grant and got that round

    def grant(self, now: float, asked_at: float, rate: float, span: float, round_number: int) -> None:
        """Adopt a grant of ``rate`` that was asked for at ``asked_at``, unless it has already expired."""
        self._refill(now)
        if round_number != self._newest_round:
            self._newest_round = round_number
            self._newest_round_since = asked_at
        if asked_at + span > now and asked_at - self._newest_round_since < span:
            self.granted_rate = rate
            self.granted_until = asked_at + span
            self.round = round_number

    def take(self, now: float) -> float | None:
        """Take a token for one request. Returns None if there was one, else the seconds until there may be one."""
        self._requests += 1
        self._refill(now)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return None
        rate = self.granted_rate if now < self.granted_until else self._static_rate()
        return (1.0 - self._tokens) / max(rate, MIN_RATE_PER_S)

    def measure_demand(self, now: float) -> float:
        """The demand in requests a second; also updates ``overflow_rate``. Both are moving averages over the intervals
        between calls, as a single interval has too few requests; the demand is 0 before the second call."""
        measured_at = self._measured_at
        self._measured_at = now
        self._refill(now)
        requests = self._requests
        self._requests = 0
        overflow = self._overflow_tokens
        self._overflow_tokens = 0.0
        if now > measured_at > NEVER:
            elapsed = now - measured_at
            weight = 1.0 - math.exp(-elapsed / SMOOTHING_S)
            latest = requests / elapsed
            self._demand = latest if self._demand < 0.0 else self._demand + weight * (latest - self._demand)
            self.overflow_rate += weight * (overflow / elapsed - self.overflow_rate)
        return max(0.0, self._demand)

    def _static_rate(self) -> float:
        return self.rate * self.fallback_share / self.members

    def _refill(self, now: float) -> None:
        refilled_at = self._refilled_at
        self._refilled_at = now
        static_rate = self._static_rate()
        if refilled_at == NEVER:
            self._tokens = static_rate * self.burst_s
            return
        under_grant = max(0.0, min(now, self.granted_until) - refilled_at)
        after_grant = (now - refilled_at) - under_grant
        rate = self.granted_rate if now < self.granted_until else static_rate
        depth = max(MIN_BUCKET_TOKENS, self.burst_s * rate)
        tokens = self._tokens + under_grant * self.granted_rate + after_grant * static_rate
        self._tokens = min(depth, tokens)
        self._overflow_tokens += tokens - self._tokens


# ---- Decisions
def max_min_fair_rates(rate: float, demands: Mapping[str, float]) -> dict[str, float]:
    """Divide ``rate`` over the members: each gets its demand, or an even share of what remains.

    Max-min fair: no member gets more than its demand while another gets less than its own. A surplus is divided evenly,
    so that a member whose demand starts to grow is not limited to its last measured demand.
    """
    if not demands:
        return {}
    remaining = rate
    rates: dict[str, float] = {}
    ascending = sorted(demands.items(), key=lambda item: (item[1], item[0]))
    for position, (name, demand) in enumerate(ascending):
        rates[name] = min(demand, remaining / (len(demands) - position))
        remaining -= rates[name]
    surplus = remaining / len(demands)
    return {name: member_rate + surplus for name, member_rate in sorted(rates.items())}


def grantable_rates(rate: float, wanted: Mapping[str, float], outstanding: Mapping[str, float]) -> dict[str, float]:
    """The part of ``wanted`` that may be granted now, while members may still use ``outstanding``.

    Each member may use the larger of its outstanding and its granted rate; these sum to at most ``rate``, unless the
    outstanding rates alone exceed it. A member that is to get less is cut at once. Members that are to get more share
    what is free, in proportion to their rises.
    """
    kept_rates = {name: min(wanted_rate, outstanding.get(name, 0.0)) for name, wanted_rate in wanted.items()}
    committed = sum(outstanding.values())
    rises = {
        name: wanted_rate - kept_rates[name] for name, wanted_rate in wanted.items() if wanted_rate > kept_rates[name]
    }
    free = max(0.0, rate - committed)
    total_rise = sum(rises.values())
    granted_share = min(1.0, free / total_rise) if total_rise > 0 else 0.0
    return {name: kept_rates[name] + rises.get(name, 0.0) * granted_share for name in sorted(wanted)}


# ---- The effect, and reports of members
def replace_grants(connection: sqlite3.Connection, detail: Any) -> Any:
    """The effect ``grant``: replace a contract's grants by those of a new round. ``detail`` has ``contract``, ``round``
    and ``grants``, which holds by member its rate and the highest rate that it may still be using. Grants of the last
    round that members still use expire by themselves; the owner counts them until then (``QuotaDistribution``)."""
    contract = detail["contract"]
    connection.execute("delete from budget_grant where contract = ?", (contract,))
    connection.executemany(
        "insert into budget_grant values (?, ?, ?, ?, ?)",
        [(contract, name, rate, most, detail["round"]) for name, (rate, most) in sorted(detail["grants"].items())],
    )
    connection.execute("insert or replace into budget_round values (?, ?)", (contract, detail["round"]))
    return {"grants": len(detail["grants"])}


def report_demand(
    connection: sqlite3.Connection, contract: str, member: str, need: float, seen: int, adopted: int, spill: float = 0.0
) -> None:
    """Store a member's report on a contract.

    ``need`` is its demand in requests a second, ``seen`` a count that increases with each report, which tells live
    members from dead ones, ``adopted`` the round in use, and ``spill`` the overflow rate.
    """
    connection.execute(
        "insert or replace into budget_need values (?, ?, ?, ?, ?)", (contract, member, need, seen, adopted)
    )
    connection.execute("insert or replace into budget_spill values (?, ?, ?)", (contract, member, spill))


DUTY_SCHEMA = DutySchema(SCHEMA, ("budget_grant", "budget_round"), {"grant": replace_grants})


# ---- The duty
class OutstandingGrant(NamedTuple):
    """A grant that its member may still be using."""

    round: int
    rate: float
    until: float  # on the owner's clock


class _LastReport(NamedTuple):
    report_count: int
    since: float  # when the owner first read this count, on its own clock


@dataclass(slots=True)
class _ContractProgress:
    """The owner's state of one contract."""

    granted_round: int | None = None  # last round that this process granted
    outstanding: dict[str, list[OutstandingGrant]] = field(default_factory=dict)  # by member, the oldest first
    reports: dict[str, _LastReport] = field(default_factory=dict)  # by member


def _highest_rate(grants: list[OutstandingGrant]) -> float:
    return max((grant.rate for grant in grants), default=0.0)


class QuotaDistribution:
    """The duty: each contract is a shard. No part of its rate is granted while another member may still be using it."""

    name = "budgets"

    def __init__(self, contracts: Mapping[str, float], span: float, read: ReadRows) -> None:
        """``contracts``: rates in requests a second, by name; ``span``: lifetime of a grant in seconds; ``read`` reads
        rows from the store."""
        self._contracts = sorted(contracts.items())
        self.shards = max(1, len(self._contracts))
        self._span = span
        self._read = read
        self._progress: dict[int, _ContractProgress] = {}

    def step(self, shard_number: int, apply_effect: Callable[[str, Any], Any], now: float) -> float:
        """Make one round of grants for a contract; returns the seconds until the next step."""
        if shard_number >= len(self._contracts):
            return IDLE_INTERVAL_S
        contract, rate = self._contracts[shard_number]
        progress = self._progress.setdefault(shard_number, _ContractProgress())
        (last_round,) = self._read("select coalesce(max(round), 0) from budget_round where contract = ?", (contract,))[
            0
        ]
        if progress.granted_round != last_round:
            # A new owner, or one that owns the shard again after another owner made grants.
            progress.outstanding = self._read_outstanding(contract, now)
        demands, rounds_in_use = self._read_demands(contract, progress, now)
        rate += self._overflow_rate(contract, rate, demands)
        outstanding = progress.outstanding
        _drop_unused(outstanding, rounds_in_use, now)
        highest = {name: _highest_rate(member_grants) for name, member_grants in outstanding.items()}
        new_rates = grantable_rates(rate, max_min_fair_rates(rate, demands), highest)
        new_round = last_round + 1
        for name in set(outstanding) | set(new_rates):
            grant = OutstandingGrant(new_round, new_rates.get(name, 0.0), now + 2 * self._span)
            outstanding.setdefault(name, []).append(grant)
        grants = {
            name: (new_rates.get(name, 0.0), _highest_rate(member_grants))
            for name, member_grants in sorted(outstanding.items())
        }
        apply_effect("grant", {"contract": contract, "grants": grants, "round": new_round})
        progress.granted_round = new_round
        return self._span / STEPS_PER_SPAN

    def _read_outstanding(self, contract: str, now: float) -> dict[str, list[OutstandingGrant]]:
        """Grants in the store that members may still use, counted for two spans from now. The store also has the
        highest rate of all outstanding grants, which is counted as a grant of the round before the last."""
        rows = self._read("select member, rate, most, round from budget_grant where contract = ?", (contract,))
        until = now + 2 * self._span
        return {
            member: [OutstandingGrant(round_number - 1, most, until), OutstandingGrant(round_number, rate, until)]
            for member, rate, most, round_number in rows
        }

    def _overflow_rate(self, contract: str, rate: float, demands: Mapping[str, float]) -> float:
        """The rate to grant on top, for tokens that live members report as overflowed."""
        rows = self._read("select member, spill from budget_spill where contract = ?", (contract,))
        overflow_rate: float = sum(overflow for member, overflow in rows if member in demands)
        return min(MAX_OVERFLOW_SHARE * rate, overflow_rate)

    def _read_demands(
        self, contract: str, progress: _ContractProgress, now: float
    ) -> tuple[dict[str, float], dict[str, int]]:
        """The demand of each member that has reported within the last span by this owner's clock, and the round that
        each member uses, whether it has reported recently or not."""
        demands: dict[str, float] = {}
        rounds_in_use: dict[str, int] = {}
        rows = self._read("select member, need, seen, adopted from budget_need where contract = ?", (contract,))
        for member, demand, count, round_in_use in rows:
            report = progress.reports.get(member)
            if report is None or report.report_count != count:
                report = _LastReport(count, now)
                progress.reports[member] = report
            if now - report.since < self._span:
                demands[member] = demand
            rounds_in_use[member] = round_in_use
        return demands, rounds_in_use


def _drop_unused(outstanding: dict[str, list[OutstandingGrant]], rounds_in_use: Mapping[str, int], now: float) -> None:
    """Remove grants that have expired, and those of rounds before the one that their member uses."""
    for member in list(outstanding):
        in_use = rounds_in_use.get(member, -1)
        remaining = [grant for grant in outstanding[member] if grant.round >= in_use and grant.until > now]
        if remaining:
            outstanding[member] = remaining
        else:
            del outstanding[member]
