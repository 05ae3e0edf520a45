"""The thread that carries out a member's operations, so that calls to the coordinator block no other thread."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Protocol

from lapishaven.ownership.member import Member
from lapishaven.ownership.model import AlreadyOwnedError, Clock, Coordinator, SessionExpiredError, SessionGrant, View
from lapishaven.ownership.notices import Notice
from lapishaven.ownership.operations import (
    Announce,
    Claim,
    Completed,
    Join,
    Operation,
    Outcome,
    ReadRevision,
    ReadState,
    Rejected,
    Renew,
    SessionExpired,
    Transfer,
    Unknown,
)

MAX_WAIT_S = 0.5  # between two reads of the clock, which advances while the process is stopped
MIN_WAIT_S = 0.001  # prevents a busy loop while a due operation is blocked, as a transfer is by an effect in flight


class FaultPoint(Protocol):
    """A hook called at named points, where tests stop or kill the process."""

    def __call__(self, point: str) -> None:
        """Called when the thread reaches ``point``."""


def ignore_fault_point(point: str) -> None:
    """Do nothing: the hook in production."""


def perform(coordinator: Coordinator, operation: Operation, ttl: float) -> Outcome:
    """Carry out one operation. ``ttl`` is the time to live of a new session's lease, in seconds. Never raises."""
    try:
        return Completed(_call(coordinator, operation, ttl))
    except AlreadyOwnedError:
        return Rejected()
    except SessionExpiredError:
        return SessionExpired()
    except Exception:
        # ``CoordinatorError``, or a malformed answer, which counts as none. The driver's thread must not end.
        return Unknown()


def _call(coordinator: Coordinator, operation: Operation, ttl: float) -> int | bool | View | SessionGrant | None:
    if isinstance(operation, Join):
        return coordinator.join(operation.record, ttl)
    if isinstance(operation, Renew):
        return coordinator.renew(operation.session)
    if isinstance(operation, ReadState):
        return coordinator.read_state()
    if isinstance(operation, Announce):
        coordinator.announce(operation.session, operation.record, operation.stable)
        return None
    if isinstance(operation, ReadRevision):
        return coordinator.read_revision()
    if isinstance(operation, Claim):
        return coordinator.claim(operation.session, operation.shard)
    if isinstance(operation, Transfer):
        return coordinator.transfer(operation.session, operation.shard, operation.token, operation.successor)
    coordinator.deregister(operation.session)
    return None


class Driver(threading.Thread):
    """Runs a member until it has deregistered. ``lock`` protects the member; ``on_notice`` is called on this thread
    without holding the lock."""

    def __init__(
        self,
        member: Member,
        coordinator: Coordinator,
        clock: Clock,
        on_notice: Callable[[Notice], None],
        fault_point: FaultPoint = ignore_fault_point,
    ) -> None:
        super().__init__(name="ownership", daemon=True)
        self.member = member
        self.coordinator = coordinator
        self.clock = clock
        self.lock = threading.Lock()
        self.call_count = 0
        """Number of calls made to the coordinator."""
        self._on_notice = on_notice
        self._fault_point = fault_point
        self._wake = threading.Event()
        self._stopped = False
        self._draining = False

    def wake(self) -> None:
        """Wake the thread after a change to the member. Never blocks."""
        self._wake.set()

    def drain(self) -> None:
        """Have the member transfer its shards and deregister, after which ``run`` returns. Never blocks, as the event
        path calls it."""
        self._draining = True
        self._wake.set()

    def stop(self) -> None:
        """End the thread without transferring anything."""
        self._stopped = True
        self._wake.set()

    def run(self) -> None:
        """Carry out operations as they become due, until the member has deregistered or ``stop`` is called."""
        while not self._stopped:
            self._wake.clear()
            with self.lock:
                now = self.clock.now()
                if self._draining:
                    self.member.drain(now)
                operation = self.member.next_operation(now)
                notices = self.member.notices.take_all()
                deregistered = self.member.deregistered
                next_due = self.member.next_due()
            for notice in notices:
                self._on_notice(notice)
            if operation is not None:
                self._perform(operation)
            elif deregistered:
                return
            else:
                self._wake.wait(max(MIN_WAIT_S, min(MAX_WAIT_S, next_due - self.clock.now())))

    def _perform(self, operation: Operation) -> None:
        self._fault_point(f"before-{operation.fault_point}")
        self.call_count += 1
        outcome = perform(self.coordinator, operation, self.member.rules.ttl)
        self._fault_point(f"after-{operation.fault_point}")
        with self.lock:
            self.member.record_outcome(self.clock.now(), operation, outcome)
