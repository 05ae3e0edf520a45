"""Quota grants: a contract's rate, granted to members for short spans by demand. Pure decisions, and the effect.

A contract's rate is divided over members in grants that last for ``span`` seconds. Grants that may still be used over a
change of owner are counted before new ones are made, as the store holds them. A member without a grant falls back to
its static part, ``fallback_share / members`` of the rate. So valid grants sum to at most the rate, and with members on
their static parts beside them at most ``1 + fallback_share`` of it can be used: that is the stated overshoot. Tokens
that members report as overflowed are granted once more, up to ``MAX_OVERFLOW_SHARE`` of the rate, which adds that much
to the bound.

No instant is compared between clocks. A grant lasts for ``span`` from when its member asked for it. Its owner, old or
new, counts it as outstanding for two spans from when it was made, or until the member reports a newer round.

Sources: token bucket (RFC 2697); max-min fairness (Bertsekas and Gallager, "Data Networks", 6.5).
"""

from __future__ import annotations

import math
import sqlite3
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from lapishaven.ownership.fenced_store import DutySchema

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
MIN_BUCKET_DEPTH = 12.0  # tokens: at 3 requests a second arrivals come in bunches
SMOOTHING_S = 4.0  # time constant of the moving averages
MAX_OVERFLOW_SHARE = 0.03  # of the rate that may be granted on top, in place of tokens that overflowed
MIN_RATE = 1e-9  # requests a second: keeps Retry-After finite
STEPS_PER_SPAN = 8
IDLE_INTERVAL_S = 60.0  # where there is no contract
NEVER = float("-inf")
NOT_MEASURED = -1.0

ReadRows = Callable[..., list[tuple[Any, ...]]]


# ---- The member's side
@dataclass(slots=True)
class QuotaBucket:
    """A member's token bucket for one contract. ``now`` in seconds, on the member's own clock that never steps.

    A grant lasts for ``span`` seconds from when it was **asked for**, and is not taken anew once its round has stood
    for a span: its owner is gone then. After it the member falls back to its static part of the rate.
    """

    rate: float
    """Of the whole contract, in requests a second."""
    members: int
    """The installation's size, for the static part."""
    fallback_share: float
    """Part of the rate that members without a grant may use, all together."""
    burst_s: float
    """Seconds of the rate in force that may be saved up, ``MIN_BUCKET_DEPTH`` tokens at the least."""
    granted_rate: float = 0.0
    granted_until: float = NEVER
    round: int = 0
    """Of the grant in use."""
    overflow_rate: float = 0.0
    """Tokens a second that found the bucket full; a moving average."""
    _tokens: float = 0.0
    _refilled_at: float = NEVER
    _requests: int = 0  # since the demand was last measured
    _overflow: float = 0.0  # tokens, since then
    _measured_at: float = NEVER
    _demand: float = NOT_MEASURED
    _newest_round: int = -1
    _newest_round_since: float = 0.0

    def grant(self, now: float, asked_at: float, rate: float, span: float, round_number: int) -> None:
        """A grant of ``rate`` that was read at ``asked_at``; one that is over already does nothing."""
        self._refill(now)
        if round_number != self._newest_round:
            self._newest_round = round_number
            self._newest_round_since = asked_at
        if asked_at + span > now and asked_at - self._newest_round_since < span:
            self.granted_rate = rate
            self.granted_until = asked_at + span
            self.round = round_number

    def take(self, now: float) -> float | None:
        """Take a token for one request: None if there is one, else the seconds until there might be."""
        self._requests += 1
        self._refill(now)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return None
        rate = self.granted_rate if now < self.granted_until else self._static_rate()
        return (1.0 - self._tokens) / max(rate, MIN_RATE)

    def measure_demand(self, now: float) -> float:
        """Requests a second as a moving average, since a few requests in half a second say little."""
        measured_at = self._measured_at
        self._measured_at = now
        self._refill(now)
        requests = self._requests
        self._requests = 0
        overflow = self._overflow
        self._overflow = 0.0
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
        depth = max(MIN_BUCKET_DEPTH, self.burst_s * rate)
        tokens = self._tokens + under_grant * self.granted_rate + after_grant * static_rate
        self._tokens = min(depth, tokens)
        self._overflow += tokens - self._tokens


# ---- Decisions
def max_min_fair_rates(rate: float, demands: Mapping[str, float]) -> dict[str, float]:
    """Rates for the members, which sum to at most ``rate``: each its demand, or an even part of what there is.

    Max-min fair: nobody gets more than its demand while another has less than that. What is left over is divided evenly
    on top, so that a member whose demand begins to grow is not limited to what it was.
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
    """What of ``wanted`` may be granted now, while members may still use ``outstanding``: the larger of both for each
    member sums to at most ``rate``. Cuts take effect at once; rises share what is free."""
    base = {name: min(wanted_rate, outstanding.get(name, 0.0)) for name, wanted_rate in wanted.items()}
    committed = sum(outstanding.values())
    rises = {name: wanted_rate - base[name] for name, wanted_rate in wanted.items() if wanted_rate > base[name]}
    free = max(0.0, rate - committed)
    total_rise = sum(rises.values())
    part = min(1.0, free / total_rise) if total_rise > 0 else 0.0
    return {name: base[name] + rises.get(name, 0.0) * part for name in sorted(wanted)}


# ---- The effect, and what members report
def replace_grants(base: sqlite3.Connection, detail: Any) -> Any:
    """The effect ``grant``: replace a contract's grants by those of a new round. What members may still use of the last
    round runs out by itself, and the owner counts it until then (``QuotaDistribution``)."""
    contract = detail["contract"]
    base.execute("delete from budget_grant where contract = ?", (contract,))
    base.executemany(
        "insert into budget_grant values (?, ?, ?, ?, ?)",
        [(contract, name, rate, most, detail["round"]) for name, (rate, most) in sorted(detail["grants"].items())],
    )
    base.execute("insert or replace into budget_round values (?, ?)", (contract, detail["round"]))
    return {"grants": len(detail["grants"])}


def report_demand(
    base: sqlite3.Connection, contract: str, member: str, need: float, seen: int, adopted: int, spill: float = 0.0
) -> None:
    """Store a member's demand for a contract in requests a second (``need``), a count that grows with each report, so
    that dead members can be told from living ones (``seen``), the round that it uses (``adopted``), and its overflow
    rate (``spill``)."""
    base.execute("insert or replace into budget_need values (?, ?, ?, ?, ?)", (contract, member, need, seen, adopted))
    base.execute("insert or replace into budget_spill values (?, ?, ?)", (contract, member, spill))


DUTY_SCHEMA = DutySchema(SCHEMA, ("budget_grant", "budget_round"), {"grant": replace_grants})


# ---- The duty
class OutstandingGrant(NamedTuple):
    """A grant that its member may still use."""

    round: int
    rate: float
    until: float


class _LastReport(NamedTuple):
    report_count: int
    since: float


@dataclass(slots=True)
class _ContractProgress:
    """What the owner keeps of one contract."""

    granted_round: int | None = None  # the last that this process made
    outstanding: dict[str, list[OutstandingGrant]] = field(default_factory=dict)  # by member, the oldest first
    reports: dict[str, _LastReport] = field(default_factory=dict)  # by member


def _highest_rate(grants: list[OutstandingGrant]) -> float:
    return max((grant.rate for grant in grants), default=0.0)


class QuotaDistribution:
    """The duty: each contract is a shard. A member is granted more only out of what surely nobody may use any more."""

    name = "budgets"

    def __init__(self, contracts: Mapping[str, float], span: float, read: ReadRows) -> None:
        """``contracts``: rates by name, in requests a second; ``span`` in seconds; ``read`` reads rows from the
        store."""
        self._contracts = sorted(contracts.items())
        self.shards = max(1, len(self._contracts))
        self._span = span
        self._read = read
        self._progress: dict[int, _ContractProgress] = {}

    def step(self, shard_number: int, apply_effect: Callable[[str, Any], Any], now: float) -> float:
        """Make one round of grants."""
        if shard_number >= len(self._contracts):
            return IDLE_INTERVAL_S
        contract, rate = self._contracts[shard_number]
        progress = self._progress.setdefault(shard_number, _ContractProgress())
        (last_round,) = self._read("select coalesce(max(round), 0) from budget_round where contract = ?", (contract,))[
            0
        ]
        if progress.granted_round != last_round:
            # A new owner, or one that owns the shard again after another has made grants.
            progress.outstanding = self._read_outstanding(contract, now)
        demands, rounds_in_use = self._read_demands(contract, progress, now)
        rate += self._overflow_rate(contract, rate, demands)
        outstanding = progress.outstanding
        _drop_unused(outstanding, rounds_in_use, now)
        highest = {name: _highest_rate(grants) for name, grants in outstanding.items()}
        new_rates = grantable_rates(rate, max_min_fair_rates(rate, demands), highest)
        new_round = last_round + 1
        for name in set(outstanding) | set(new_rates):
            grant = OutstandingGrant(new_round, new_rates.get(name, 0.0), now + 2 * self._span)
            outstanding.setdefault(name, []).append(grant)
        grants = {
            name: (new_rates.get(name, 0.0), _highest_rate(grants)) for name, grants in sorted(outstanding.items())
        }
        apply_effect("grant", {"contract": contract, "grants": grants, "round": new_round})
        progress.granted_round = new_round
        return self._span / STEPS_PER_SPAN

    def _read_outstanding(self, contract: str, now: float) -> dict[str, list[OutstandingGrant]]:
        """All that members may use by the store, for two spans from now."""
        rows = self._read("select member, rate, most, round from budget_grant where contract = ?", (contract,))
        until = now + 2 * self._span
        return {
            member: [OutstandingGrant(made - 1, most, until), OutstandingGrant(made, rate, until)]
            for member, rate, most, made in rows
        }

    def _overflow_rate(self, contract: str, rate: float, demands: Mapping[str, float]) -> float:
        """What to grant once more, as living members report that it overflowed."""
        rows = self._read("select member, spill from budget_spill where contract = ?", (contract,))
        overflow_rate: float = sum(overflow for member, overflow in rows if member in demands)
        return min(MAX_OVERFLOW_SHARE * rate, overflow_rate)

    def _read_demands(
        self, contract: str, progress: _ContractProgress, now: float
    ) -> tuple[dict[str, float], dict[str, int]]:
        """Demands of members that have reported within a span, by this owner's clock, and the rounds in use by all."""
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
    """Forget grants that have run out, and those before the one that their member uses."""
    for member in list(outstanding):
        in_use = rounds_in_use.get(member, -1)
        kept = [grant for grant in outstanding[member] if grant.round >= in_use and grant.until > now]
        if kept:
            outstanding[member] = kept
        else:
            del outstanding[member]
