"""A match server's part in the fleet's work, behind the server's port: nothing here is waited for on the event path.

Three threads: the driver (coordinator), the worker (duties) and the errands (this server's consumption rows, needs,
grants, permits), each with connections of its own.
"""

from __future__ import annotations

import json
import os
import signal
import sys
import threading
from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import Any

from lapishaven.core.contracts import Contract
from lapishaven.core.deduplication import AttemptRegistry
from lapishaven.ownership.agent import Agent, Duty
from lapishaven.ownership.duties import budgets, periods, restart
from lapishaven.ownership.fenced_store import FencedStore, FencedStoreError, Plan
from lapishaven.ownership.member import Member
from lapishaven.ownership.model import Clock, Coordinator, CoordinatorError, MemberRecord, Shard, Standing, SystemClock
from lapishaven.ownership.overload import OverloadDetector
from lapishaven.ownership.settings import Ownership, OwnershipError

PLANS: Mapping[str, Plan] = {"periods": periods.PLAN, "restart": restart.PLAN, "budgets": budgets.PLAN}
COUNTED, COUNTED_LIFE = 100_000, 3600.0  # keys, and s: a repeat may return for 15 minutes
BURST = 1.0  # seconds of a grant that may be saved up
LAST_FLUSH = 0.1  # s that the end may take for the last rows: the kill comes 0.15 s after the loop's end


def coordinator(settings: Ownership, clock: Clock | None = None) -> Coordinator:
    """The coordinator that the settings name. ``OwnershipError`` if it cannot be opened or its library is not there."""
    try:
        if isinstance(settings.coordinator, tuple):
            from lapishaven.ownership.coordinators.etcd import EtcdCoordinator

            return EtcdCoordinator(*settings.coordinator, settings.prefix, settings.rules.ttl / 5)
        from lapishaven.ownership.coordinators.sqlite import SqliteCoordinator

        return SqliteCoordinator(settings.coordinator, clock)
    except ImportError:
        raise OwnershipError("ownership on etcd needs lapishaven[ownership]") from None
    except CoordinatorError as error:
        raise OwnershipError(f"cannot open the coordinator: {error}") from None


def way_out() -> None:
    """The way out that is there already: notice, grace, drain."""
    os.kill(os.getpid(), signal.SIGTERM)


class Participant:
    """Start with ``start``; ``log`` hears one JSON line for each event that operators care about. ``classes`` are the
    names behind the contracts' class numbers, which may differ between servers. ``go`` is called on the errands' thread
    when a rolling restart permits it to leave."""

    def __init__(
        self,
        settings: Ownership,
        name: str,
        contracts: list[Contract] | None,
        classes: Sequence[str] = (),
        log: Callable[[str], None] | None = None,
        clock: Clock | None = None,
        go: Callable[[], None] = way_out,
    ) -> None:
        self.settings, self.name, self._classes, self._go = settings, name, classes, go
        self._log = log or (lambda text: print(text, file=sys.stderr, flush=True))
        self._clock = clock or SystemClock()
        self.start_id = f"{name}:{os.getpid()}:{int(self._clock.now() * 1000)}"
        try:
            self._book, self._errands = (FencedStore(settings.receiver, PLANS) for _ in range(2))
        except FencedStoreError as error:
            raise OwnershipError(f"cannot open the book: {error}") from None
        self._lock = threading.Lock()  # of what the event path shares with the errands; held for moments only
        self._collector: periods.Collector | None = None
        self._purses: dict[str, budgets.Purse] = {}
        self._counted = AttemptRegistry(COUNTED_LIFE, COUNTED)  # keys whose effect is in the rows
        self._seen = 0
        self._obedience = restart.Obedience()
        self._leaving = False
        self._over = threading.Event()
        duties, shards = self._duties(contracts)
        card = MemberRecord(name, self.start_id, weight=settings.weight)
        member = Member(card, shards, settings.rules, Random(self.start_id))
        self.agent = Agent(
            member,
            coordinator(settings, self._clock),
            self._book,
            duties,
            self._clock,
            self._event,
            spare=coordinator(settings, self._clock),
        )
        self._strain = OverloadDetector(settings.overload) if settings.overload is not None else None
        self._answers = self._refusals = 0  # so far; written by the event path, read by the errands
        self._late = False
        self._thread = threading.Thread(target=self._errand, name="errands", daemon=True)
        self.failed = 0

    def _contract(self, contract: Contract) -> str:
        cls = self._classes[contract.cls] if contract.cls < len(self._classes) else str(contract.cls)
        return f"{contract.team}/{contract.service}/{cls}"

    def _duties(self, contracts: list[Contract] | None) -> tuple[list[Duty], list[Shard]]:
        duties: list[Duty] = []
        if self.settings.periods is not None:
            count, length, grace = self.settings.periods
            self._collector = periods.Collector(self.name, self.start_id, count, length)
            duties.append(
                periods.Periods(
                    count,
                    length,
                    grace,
                    self._clock.wall,
                    lambda shard: self._book.read("select max(period) from period_closed where shard = ?", (shard,))[0][
                        0
                    ],
                    lambda shard: self._book.read("select min(period) from consumption where shard = ?", (shard,))[0][
                        0
                    ],
                )
            )
        if self.settings.budgets is not None and contracts:
            span, fallback, members = self.settings.budgets
            rates = {self._contract(contract): contract.rate for contract in contracts}
            for contract in contracts:
                self._purses[self._contract(contract)] = budgets.Purse(contract.rate, members, fallback, BURST)
            duties.append(budgets.Dealing(rates, span, self._book.read))
        duties.append(restart.Rolling(self._book.read, lambda: self._token("restart"), self._serving))
        return duties, [(duty.name, number) for duty in duties for number in range(duty.shards)]

    def _token(self, duty: str) -> int:
        with self.agent.driver.lock:
            return self.agent.member.token(self._clock.now(), (duty, 0)) or 0

    def _serving(self) -> Mapping[str, float]:
        with self.agent.driver.lock:
            view = self.agent.member.view
        members = view.members if view is not None else ()
        return {seen.card.name: seen.card.weight for seen in members if seen.card.standing is Standing.SERVING}

    # ---- The server's port
    def start(self) -> None:
        self.agent.start()
        self._thread.start()

    def request_served(self, team: str | None, cls: str, worth: float, key: str | None) -> None:
        self._answers += 1
        if self._collector is None:
            return
        if key is not None:
            # A repeat that is answered with the first result is not served twice. Where no more can be remembered, a
            # keyed effect is not counted: that is not in the customer's disfavour.
            now = self._clock.now()
            if self._counted.is_full(now) or self._counted.is_claimed((cls, key)):
                return
            self._counted.claim(now, (cls, key))
        with self._lock:
            self._collector.served(self._clock.wall(), team or "", cls, worth)

    def take_budget(self, now: float, contract: Contract) -> float:
        purse = self._purses.get(self._contract(contract))
        if purse is None:
            return -1.0
        with self._lock:
            return purse.take(self._clock.now()) or 0.0

    def request_not_served(self, refused: bool) -> None:
        self._answers += 1
        self._refusals += refused

    def set_overloaded(self, so: bool) -> None:
        self._late = so

    def state(self) -> dict[str, int]:
        # Without the member's lock, which the event path must not wait for: each figure by itself is right.
        member, tally, view = self.agent.member, self.agent.tally, self.agent.member.view
        usable = member.lease.usable(self._clock.now())
        shards = len(member.held) if usable else 0
        members = len(view.members) if view is not None else 0
        return {
            "in": int(usable),
            "members": members,
            "shards": shards,
            "acts": tally.acts,
            "repeats": tally.repeats,
            "stale_refused": tally.stale,
            "behind": tally.behind,
            "failed": tally.failed + self.failed,
            "gained": tally.gained,
            "lost": tally.lost,
            "handed": tally.handed,
            "doubts": tally.doubts,
            "joins": tally.joins,
            "coordinator_calls": self.agent.driver.calls,
            "shed": self._strain.given if self._strain is not None else 0,
        }

    def drain(self) -> None:
        self._leaving = True
        self.agent.leave()

    def close(self) -> None:
        """The last rows go into the book, and what has not been handed over runs out by itself."""
        self._over.set()
        self._thread.join(LAST_FLUSH)
        self.agent.join(0.02)
        self.agent.stop()

    # ---- Events
    def _event(self, what: str, facts: Mapping[str, Any]) -> None:
        if what != "acked":
            self._log(json.dumps({"ownership": what, "start": self.start_id, **facts}))

    # ---- Errands
    def _errand(self) -> None:
        while not self._over.wait(self.settings.flush):
            self._once()
        self._once()

    def _once(self) -> None:
        self._relieve()
        try:
            self._flush()
            if self._purses:
                self._needs()
            self._report()
        except FencedStoreError as error:
            self.failed += 1
            self._event("failed", {"why": str(error)})

    def _relieve(self) -> None:
        """Give a shard back while the module has long refused much of what comes, or read late."""
        strain, driver = self._strain, self.agent.driver
        if strain is None or self._leaving:
            return
        with driver.lock:
            now, member = self._clock.now(), self.agent.member
            strain.told(now, self._answers, self._refusals, self._late)
            shard = strain.due(now, self.name, self.settings.weight, member.view, member.held, len(member.shards))
            if shard is not None:
                member.shed(now, shard, strain.rules.rest)
            elif strain.strained(now):
                member.lighten(now, strain.rules.rest)
        if shard is not None:
            self._event("overloaded", {"duty": shard[0], "shard": shard[1]})
            driver.poke()

    def _flush(self) -> None:
        if self._collector is None:
            return
        with self._lock:
            rows = self._collector.rows()
        if rows:
            self._errands.note(lambda base: periods.add(base, rows))
            with self._lock:
                self._collector.kept(rows)

    def _needs(self) -> None:
        now = self._clock.now()
        self._seen += 1
        with self._lock:
            needs = {name: (purse.need(now), purse.round, purse.spill) for name, purse in self._purses.items()}

        def tell(base: Any) -> list[tuple[str, float, int]]:
            for name, (need, number, spill) in needs.items():
                budgets.tell(base, name, self.name, need, self._seen + int(now * 1000), number, spill)
            found: list[tuple[str, float, int]] = base.execute(
                "select contract, rate, round from budget_grant where member = ?", (self.name,)
            ).fetchall()
            return found

        span = self.settings.budgets[0] if self.settings.budgets is not None else 0.0
        granted = self._errands.note(tell)
        with self._lock:
            for name, rate, number in granted:
                if name in self._purses:
                    self._purses[name].grant(self._clock.now(), now, rate, span, number)

    def _report(self) -> None:
        ready, obeys = not self._leaving and not self._over.is_set(), self.settings.restart

        def tell(base: Any) -> list[tuple[int, str]]:
            restart.report(base, self.name, self.start_id, ready, obeys or self.settings.supervised)
            found: list[tuple[int, str]] = base.execute(
                "select token, start from restart_member where name = ? and state = 'permitted'", (self.name,)
            ).fetchall()
            return found

        for token, start in self._errands.note(tell):
            # A permit names the start that is to be followed by another: the new process has nothing to obey.
            if ready and obeys and start == self.start_id and self._obedience.obeys(token):
                self._event("restarting", {"token": token})
                self._leaving = True  # the errands go on to the end: it serves through its grace
                self._go()
                return
