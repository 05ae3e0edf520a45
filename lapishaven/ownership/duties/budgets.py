"""Dealing budgets: a contract's rate, dealt to members in short grants by need. Pure decisions, and the effect.

A contract's rate is divided over members in grants that are good for ``span`` seconds. Grants that may still be out
over a change of owner are counted before new ones are dealt, as the book holds them; a member without a grant falls
back to its static part, ``fallback / members`` of the rate. So grants alive sum to at most the rate, and with members
on their static parts beside them what may be spent is at most ``1 + fallback`` of it: that is the stated overshoot.
What members say ran over their purses unspent is dealt once more, up to ``OVER`` of the rate, which adds that much to
the bound.

No instant is compared between clocks: a grant lasts for ``span`` from when its member asked for it, and its dealer, old
or new, counts it as out for two spans from when it dealt it, or until the member says that it goes by a newer round.
"""

from __future__ import annotations

import math
import sqlite3
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from lapishaven.ownership.fenced_store import Plan

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
DEEP = 12.0  # requests that a purse can hold at the least: at 3 a second arrivals come in bunches
SMOOTH = 4.0  # s
OVER = 0.03  # of the rate that may be dealt on top, in place of what purses spill


def deal(rate: float, needs: Mapping[str, float]) -> dict[str, float]:
    """Rates for the members, which sum to at most ``rate``: each what it needs, or an even part of what there is.

    Max-min fair: nobody gets more than it needs while another has less than that. What is left over is dealt evenly on
    top, so that a member whose need begins to grow is not held at what it was.
    """
    if not needs:
        return {}
    left, dealt = rate, {}
    for k, (name, need) in enumerate(sorted(needs.items(), key=lambda each: (each[1], each[0]))):
        dealt[name] = min(need, left / (len(needs) - k))
        left -= dealt[name]
    even = left / len(needs)
    return {name: part + even for name, part in sorted(dealt.items())}


@dataclass(slots=True)
class Purse:
    """A member's side of one contract. ``now`` on its own clock that never steps.

    A grant is good for ``span`` seconds from when it was **asked for**, and is not given anew once its round has stood
    for a span: its dealer is gone then. After it the member falls back to its static part of the rate. Tokens flow at
    the rate that holds, up to ``burst`` seconds of it.
    """

    rate: float  # of the whole contract, a second
    members: int  # the installation's size, for the static part
    fallback: float  # part of the rate that members without a grant may spend, all together
    burst: float  # seconds of the rate in force that may be saved up, ``DEEP`` requests at the least
    granted: float = 0.0
    until: float = float("-inf")
    _left: float = 0.0
    _since: float = float("-inf")
    round: int = 0  # of the grant that it goes by
    asked: int = 0  # requests since the need was last read
    _read: float = float("-inf")
    _need: float = -1.0
    _over: float = 0.0  # tokens that found the purse full since the need was last read
    spill: float = 0.0  # of them a second, smoothed as the need is
    _heard: tuple[int, float] = (-1, 0.0)  # the newest round, and since when it is known

    def _static(self) -> float:
        return self.rate * self.fallback / self.members

    def _flow(self, now: float) -> None:
        since, self._since = self._since, now
        if since == float("-inf"):
            self._left = self._static() * self.burst
            return
        # The part under the grant, and what came after it ran out.
        with_grant = max(0.0, min(now, self.until) - since)
        rest = (now - since) - with_grant
        limit = max(DEEP, self.burst * (self.granted if now < self.until else self._static()))
        left = self._left + with_grant * self.granted + rest * self._static()
        self._left = min(limit, left)
        self._over += left - self._left

    def grant(self, now: float, asked: float, rate: float, span: float, number: int) -> None:
        """A grant of ``rate`` in round ``number``, read at ``asked``; one that is over already does nothing."""
        self._flow(now)
        if number != self._heard[0]:
            self._heard = number, asked
        if asked + span > now and asked - self._heard[1] < span:
            self.granted, self.until, self.round = rate, asked + span, number

    def take(self, now: float) -> float | None:
        """One request: None if it may go, else the seconds until it might."""
        self.asked += 1
        self._flow(now)
        if self._left >= 1.0:
            self._left -= 1.0
            return None
        rate = self.granted if now < self.until else self._static()
        return (1.0 - self._left) / max(rate, 1e-9)

    def need(self, now: float) -> float:
        """Requests a second of late, smoothed over ``SMOOTH`` s, as a few requests in half a second say little."""
        since, self._read = self._read, now
        self._flow(now)
        asked, self.asked = self.asked, 0
        over, self._over = self._over, 0.0
        if now > since > float("-inf"):
            fresh = asked / (now - since)
            part = 1.0 - math.exp(-(now - since) / SMOOTH)
            self._need = fresh if self._need < 0.0 else self._need + part * (fresh - self._need)
            self.spill += part * (over / (now - since) - self.spill)
        return max(0.0, self._need)


def grant(base: sqlite3.Connection, detail: Any) -> Any:
    """Replace a contract's grants by those of a new round. What is still out with members of the last round runs out
    by itself, and the dealer counts it until then (``Dealing``)."""
    contract = detail["contract"]
    base.execute("delete from budget_grant where contract = ?", (contract,))
    base.executemany(
        "insert into budget_grant values (?, ?, ?, ?, ?)",
        [(contract, name, rate, most, detail["round"]) for name, (rate, most) in sorted(detail["grants"].items())],
    )
    base.execute("insert or replace into budget_round values (?, ?)", (contract, detail["round"]))
    return {"grants": len(detail["grants"])}


def tell(
    base: sqlite3.Connection, contract: str, member: str, need: float, seen: int, adopted: int, spill: float = 0.0
) -> None:
    """A member's need of a contract, a count that grows each time, so that the dead are told from the living, the
    round that it goes by, and what its purse spills."""
    base.execute("insert or replace into budget_need values (?, ?, ?, ?, ?)", (contract, member, need, seen, adopted))
    base.execute("insert or replace into budget_spill values (?, ?, ?)", (contract, member, spill))


PLAN = Plan(SCHEMA, ("budget_grant", "budget_round"), {"grant": grant})
Read = Callable[..., list[tuple[Any, ...]]]
Out = tuple[int, float, float]  # a grant that may be out: its round, its rate, and until when


def _most(kept: list[Out]) -> float:
    return max((rate for _, rate, _ in kept), default=0.0)


class Dealing:
    """The duty: a contract a shard. What members were granted may run on for a while, so a member is given more only
    out of what surely nobody has any more: ``_out`` remembers every rate that may still be out with each."""

    name = "budgets"

    def __init__(self, contracts: Mapping[str, float], span: float, read: Read) -> None:
        self._contracts = sorted(contracts.items())
        self.shards = max(1, len(self._contracts))
        self._span, self._read = span, read
        self._out: dict[int, dict[str, list[Out]]] = {}  # of each shard, by member, oldest first
        self._seen: dict[int, dict[str, tuple[int, float]]] = {}
        self._dealt: dict[int, int] = {}  # the last round that this process dealt

    def step(self, number: int, act: Callable[[str, Any], Any], now: float) -> float:
        if number >= len(self._contracts):
            return 60.0
        contract, rate = self._contracts[number]
        (last,) = self._read("select coalesce(max(round), 0) from budget_round where contract = ?", (contract,))[0]
        out = self._out.get(number)
        if out is None or self._dealt.get(number) != last:
            # A new owner, or one that owns it again after another has dealt: all that the book says may be out may be
            # out for two spans yet.
            rows = self._read("select member, rate, most, round from budget_grant where contract = ?", (contract,))
            until = now + 2 * self._span
            out = self._out[number] = {
                member: [(dealt - 1, most, until), (dealt, granted, until)] for member, granted, most, dealt in rows
            }
        needs, adopted = self._needs(number, contract, now)
        spilled = self._read("select member, spill from budget_spill where contract = ?", (contract,))
        rate += min(OVER * rate, sum(spill for member, spill in spilled if member in needs))
        for member in list(out):
            # Grants before the one that it goes by are gone, and so is what ran out.
            goes_by = adopted.get(member, -1)
            out[member] = [each for each in out[member] if each[0] >= goes_by and each[2] > now]
            if not out[member]:
                del out[member]
        grants = dealt_now(rate, deal(rate, needs), {name: _most(kept) for name, kept in out.items()})
        for name in set(out) | set(grants):
            out.setdefault(name, []).append((last + 1, grants.get(name, 0.0), now + 2 * self._span))
        told = {name: (grants.get(name, 0.0), _most(kept)) for name, kept in sorted(out.items())}
        act("grant", {"contract": contract, "grants": told, "round": last + 1})
        self._dealt[number] = last + 1
        return self._span / 8

    def _needs(self, number: int, contract: str, now: float) -> tuple[dict[str, float], dict[str, int]]:
        """Needs of members that have told theirs within a span, by this owner's clock, and the rounds they go by."""
        seen = self._seen.setdefault(number, {})
        needs, rounds = {}, {}
        for member, need, count, adopted in self._read(
            "select member, need, seen, adopted from budget_need where contract = ?", (contract,)
        ):
            known = seen.get(member)
            if known is None or known[0] != count:
                known = seen[member] = count, now
            if now - known[1] < self._span:
                needs[member] = need
            rounds[member] = adopted
        return needs, rounds


def dealt_now(rate: float, wanted: Mapping[str, float], out: Mapping[str, float]) -> dict[str, float]:
    """What of ``wanted`` may be granted now, with ``out`` still in members' hands: the larger of both for each member
    sums to at most ``rate``. Cuts are given at once; rises share what is free."""
    base = {name: min(want, out.get(name, 0.0)) for name, want in wanted.items()}
    sure = sum(out.values())
    rises = {name: want - base[name] for name, want in wanted.items() if want > base[name]}
    free, total = max(0.0, rate - sure), sum(rises.values())
    part = min(1.0, free / total) if total > 0 else 0.0
    return {name: base[name] + rises.get(name, 0.0) * part for name in sorted(wanted)}
