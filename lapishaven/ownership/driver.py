"""The thread that asks the coordinator what a member wants asked. It blocks there, so that nothing else has to."""

from __future__ import annotations

import threading
from collections.abc import Callable

from lapishaven.ownership.member import (
    Announce,
    Claim,
    Completed,
    Join,
    Member,
    Notice,
    Op,
    Outcome,
    ReadRevision,
    ReadState,
    Rejected,
    Renew,
    SessionExpired,
    Transfer,
    Unknown,
)
from lapishaven.ownership.model import AlreadyOwned, Clock, Coordinator, SessionGone

STEP = 0.5  # s at most between two looks at the own clock, so that a wake-up is noticed


def perform(coordinator: Coordinator, op: Op, ttl: float) -> Outcome:
    """Ask, and say what came back."""
    try:
        if isinstance(op, Join):
            return Completed(coordinator.join(op.card, ttl))
        if isinstance(op, Renew):
            return Completed(coordinator.renew(op.session))
        if isinstance(op, ReadState):
            return Completed(coordinator.look())
        if isinstance(op, Announce):
            coordinator.announce(op.session, op.card, op.calm)
            return Completed()
        if isinstance(op, ReadRevision):
            return Completed(coordinator.peek())
        if isinstance(op, Claim):
            return Completed(coordinator.claim(op.session, op.shard))
        if isinstance(op, Transfer):
            return Completed(coordinator.hand(op.session, op.shard, op.token, op.to))
        coordinator.leave(op.session)
        return Completed()
    except AlreadyOwned:
        return Rejected()
    except SessionGone:
        return SessionExpired()
    except Exception:
        # ``CoordinatorError``, or an answer that makes no sense, which is none either: the thread must go on.
        return Unknown()


class Driver(threading.Thread):
    """``lock`` guards the member; ``told`` is called on this thread with each notice, without the lock."""

    def __init__(
        self,
        member: Member,
        coordinator: Coordinator,
        clock: Clock,
        told: Callable[[Notice], None],
        probe: Callable[[str], None] = lambda point: None,
    ) -> None:
        super().__init__(name="ownership", daemon=True)
        self.member, self.coordinator, self.clock, self._told, self._probe = member, coordinator, clock, told, probe
        self.lock = threading.Lock()
        self._wake = threading.Event()
        self._stopped = self._leaving = False
        self.calls = 0

    def poke(self) -> None:
        """Something about the member has changed. Never waits."""
        self._wake.set()

    def leave(self) -> None:
        """Have the member hand over and go; ``run`` ends then. Never waits: the event path may call it."""
        self._leaving = True
        self._wake.set()

    def stop(self) -> None:
        """End at once, with nothing handed over."""
        self._stopped = True
        self._wake.set()

    def run(self) -> None:
        while not self._stopped:
            self._wake.clear()
            with self.lock:
                now = self.clock.now()
                if self._leaving:
                    self.member.leave(now)
                op = self.member.next(now)
                notices, self.member.notices = self.member.notices, []
                left = self.member.left
                next_at = self.member.next_at()
            for notice in notices:
                self._told(notice)
            if op is not None:
                point = type(op).__name__.lower()
                self._probe(f"before-{point}")
                self.calls += 1
                outcome = perform(self.coordinator, op, self.member.rules.ttl)
                self._probe(f"after-{point}")
                with self.lock:
                    self.member.done(self.clock.now(), op, outcome)
            elif left:
                return
            else:
                self._wake.wait(max(0.001, min(STEP, next_at - self.clock.now())))
