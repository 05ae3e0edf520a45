"""One process's part in the fleet's work: a member with its driver, and a worker thread for the duties it owns."""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from lapishaven.ownership.driver import Driver
from lapishaven.ownership.fence import Act, Verdict
from lapishaven.ownership.fenced_store import Admission, FencedStoreError
from lapishaven.ownership.member import Member, Notice
from lapishaven.ownership.model import Clock, Coordinator, CoordinatorError, Shard

IDLE = 0.5  # s between looks for work where nothing says when
RETRY = 0.25  # s before an act without answer is sent again, as the same act


class Receiver(Protocol):
    """Who effects are sent to. ``BookError``: no answer, or it could not; the same act may be sent again."""

    def admit(self, act: Act, effect: str, detail: Any) -> Admission: ...


class NotOwner(Exception):
    """The shard is not ours (any more); the duty's step ends here."""


class Behind(Exception):
    """The receiver has lost what it acknowledged: an older copy was put back. Nothing more is sent for the shard."""


class Duty(Protocol):
    """Work of the fleet's, in shards. A step has to be safe to run again from any point."""

    name: str
    shards: int

    def step(self, number: int, act: Callable[[str, Any], Any], now: float) -> float:
        """Do what is due for one shard through ``act(effect, detail)``; gives the seconds until it wants to be
        asked again. Lets ``NotOwner`` through."""


class Probe(Protocol):
    def __call__(self, point: str) -> None:
        """Named points of the code, where tests stop or kill the process."""


@dataclass(slots=True)
class Standing:
    """What the worker keeps of a shard that is owned."""

    token: int
    number: int = 0  # of the last act under this token
    held: int = 0  # effects that the receiver has acknowledged
    marked: int = 0
    due: float = 0.0
    pending: tuple[int, str, Any] | None = None  # an act that got no answer: it may have been done


@dataclass(slots=True)
class Tally:
    """Counts for the gauges."""

    acts: int = 0
    repeats: int = 0
    stale: int = 0
    behind: int = 0
    failed: int = 0
    gained: int = 0
    lost: int = 0
    handed: int = 0
    doubts: int = 0
    joins: int = 0
    outs: int = 0


class Agent:
    """``start`` it, ask ``leave`` and wait with ``join``. ``told`` hears every event, from two threads."""

    def __init__(
        self,
        member: Member,
        coordinator: Coordinator,
        receiver: Receiver,
        duties: Sequence[Duty],
        clock: Clock,
        told: Callable[[str, Mapping[str, Any]], None] = lambda what, facts: None,
        probe: Probe = lambda point: None,
        spare: Coordinator | None = None,
    ) -> None:
        self.member, self.receiver, self.clock, self._probe = member, receiver, clock, probe
        self.duties = {duty.name: duty for duty in duties}
        self.driver = Driver(member, coordinator, clock, self._notice, probe)
        self.tally = Tally()
        self._told, self._marks = told, spare  # marks are noted on a connection of the worker's own
        self._standing: dict[Shard, Standing] = {}
        self._worker = threading.Thread(target=self._work, name="duties", daemon=True)
        self._wake = threading.Event()
        self._over = False

    def start(self) -> None:
        self.driver.start()
        self._worker.start()

    def leave(self) -> None:
        """Hand everything over, then end. Never waits."""
        self.driver.leave()

    def join(self, timeout: float | None = None) -> bool:
        """Wait for the end after ``leave``; no if it did not come in time."""
        self.driver.join(timeout)
        self._over = True
        self._wake.set()
        self._worker.join(timeout)
        return not self.driver.is_alive()

    def stop(self) -> None:
        """End at once: leases run out by themselves."""
        self._over = True
        self.driver.stop()
        self._wake.set()

    # ---- Notices
    def _notice(self, notice: Notice) -> None:
        count = {
            "gained": "gained",
            "lost": "lost",
            "handed": "handed",
            "doubt": "doubts",
            "joined": "joins",
            "out": "outs",
        }.get(notice.what)
        if count is not None:
            setattr(self.tally, count, getattr(self.tally, count) + 1)
        facts: dict[str, Any] = {}
        if notice.shard is not None:
            facts = {"duty": notice.shard[0], "shard": notice.shard[1], "token": notice.token}
        if notice.why:
            facts["why"] = notice.why
        self._told(notice.what, facts)
        if notice.what in ("gained", "lost", "handed", "out"):
            self._wake.set()

    # ---- The duties
    def _work(self) -> None:
        while not self._over:
            self._wake.clear()
            now = self.clock.now()
            with self.driver.lock:
                self.member.tick(now)
                held = dict(self.member.held)
                marks = self.member.view.marks if self.member.view is not None else {}
            for shard in [s for s, kept in self._standing.items() if held.get(s) != kept.token]:
                del self._standing[shard]
            for shard, token in held.items():
                if shard not in self._standing:
                    self._standing[shard] = Standing(token)
            for shard, standing in self._standing.items():
                standing.held = max(standing.held, marks.get(shard, 0))
            until = now + IDLE
            for shard, standing in sorted(self._standing.items()):
                if self._over:
                    return
                if standing.due <= self.clock.now():
                    self._step(shard, standing)
                until = min(until, standing.due)
            self._wake.wait(max(0.0, until - self.clock.now()))

    def _step(self, shard: Shard, standing: Standing) -> None:
        duty = self.duties.get(shard[0])
        if duty is None:
            standing.due = float("inf")
            return
        try:
            wait = duty.step(
                shard[1], lambda effect, detail: self._act(shard, standing, effect, detail), self.clock.now()
            )
        except NotOwner:
            wait = IDLE
        except Behind:
            wait = float("inf")  # for as long as this token is in force; operators are told
        except Exception as error:
            # Whatever a step may raise, the worker goes on: the other shards are owned by nobody else meanwhile.
            self.tally.failed += 1
            why = str(error) if isinstance(error, FencedStoreError) else f"{type(error).__name__}: {error}"
            self._told("failed", {"duty": shard[0], "shard": shard[1], "token": standing.token, "why": why})
            wait = RETRY
        standing.due = self.clock.now() + wait

    def _act(self, shard: Shard, standing: Standing, effect: str, detail: Any) -> Any:
        """One effect, until it is answered or we own the shard no more.

        The same act as one that got no answer is sent as a repeat of it. Another one is a new act: were it sent under
        that number, it would be answered as done with what the first one did.
        """
        number, tries = standing.number + 1, 0
        if standing.pending is not None:
            number = standing.pending[0] + (standing.pending[1:] != (effect, detail))
        standing.pending = number, effect, detail
        while True:
            with self.driver.lock:
                if self._over or self.member.token(self.clock.now(), shard) != standing.token:
                    raise NotOwner
                self.member.begin(shard)
            try:
                self._probe("before-act")
                try:
                    found = self.receiver.admit(Act(shard, standing.token, number, standing.held), effect, detail)
                except FencedStoreError:
                    tries += 1
                    if tries >= 3:
                        raise
                    found = None
                self._probe("after-act")
            finally:
                with self.driver.lock:
                    self.member.end(shard)
                self.driver.poke()
            if found is None:
                self._wake.wait(RETRY)
                continue
            return self._answered(shard, standing, number, effect, found)

    def _answered(self, shard: Shard, standing: Standing, number: int, effect: str, found: Admission) -> Any:
        facts = {"duty": shard[0], "shard": shard[1], "token": standing.token, "number": number, "effect": effect}
        if found.verdict in (Verdict.ADMIT, Verdict.REPEAT):
            self.tally.acts += 1
            self.tally.repeats += found.verdict is Verdict.REPEAT
            standing.number, standing.held, standing.pending = number, found.held, None
            self._told("acked", {**facts, "held": found.held})
            self._note(shard, standing)
            return found.answer
        if found.verdict is Verdict.STALE:
            self.tally.stale += 1
            self._told("stale", {**facts, "in_force": found.token})
            with self.driver.lock:
                self.member.refused(self.clock.now(), shard, standing.token, found.token)
            self.driver.poke()
            raise NotOwner
        self.tally.behind += 1
        self._told("behind", {**facts, "known": standing.held, "held": found.held})
        raise Behind

    def _note(self, shard: Shard, standing: Standing) -> None:
        """Keep with the coordinator how much the receiver holds, each time that it has doubled, and every 64."""
        if self._marks is None or self.member.session is None:
            return
        if standing.held >= min(2 * standing.marked, standing.marked + 64) and standing.held > standing.marked:
            try:
                self._marks.mark(self.member.session, shard, standing.token, standing.held)
                standing.marked = standing.held
            except CoordinatorError:
                pass  # the next act notes it
