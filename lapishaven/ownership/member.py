"""A member of the fleet: what it asks of the coordinator, when, and which shards it may act on. Pure.

``next_operation(now)`` says what to ask; ``record_outcome`` takes what became of it. Nothing here blocks or reads a
clock. One session carries all shards of the member, so the load on the coordinator does not grow with the shards. A
session that ends takes all of them along, and the member joins again.

    operation = member.next_operation(clock.now())
    if operation is not None:
        outcome = perform(coordinator, operation, rules.ttl)
        member.record_outcome(clock.now(), operation, outcome)
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from random import Random

from lapishaven.ownership.assignment import ShardAssignment
from lapishaven.ownership.lease import NEVER, LeaseState
from lapishaven.ownership.model import MemberRecord, MemberState, Shard, View
from lapishaven.ownership.notices import NoticeKind, NoticeQueue
from lapishaven.ownership.operations import (
    Announce,
    Claim,
    Completed,
    Deregister,
    Join,
    Operation,
    Outcome,
    ReadRevision,
    ReadState,
    Renew,
    SessionExpired,
    Transfer,
    Unknown,
)
from lapishaven.ownership.rules import MembershipRules
from lapishaven.ownership.schedule import OperationSchedule
from lapishaven.ownership.session import MemberSession

NO_REVISION = -1
SESSION_OVER = "the session is over"


class Member:
    """Orders the operations of a session and of its shards. ``record.incarnation`` has to be new for each start of a
    process. All times in seconds, on a clock that never steps nor stands still."""

    def __init__(self, record: MemberRecord, shards: Sequence[Shard], rules: MembershipRules, random: Random) -> None:
        self.rules = rules
        self.view: View | None = None
        """The latest state that was read in this session."""
        self.notices = NoticeQueue()
        """Events since the driver last took them."""
        self.draining = False
        self.deregistered = False
        """Whether the member has left for good."""
        self._schedule = OperationSchedule(rules, random)
        self.session = MemberSession(record, rules, random, self._schedule, self.notices)
        self.assignment = ShardAssignment(record.name, record.weight, shards, rules, random, self.notices)
        self._revision = NO_REVISION
        self._view_outdated = True  # the coordinator's state is known to be newer than the view

    # ---- For duties and the driver
    def token(self, now: float, shard: Shard) -> int | None:
        """The fencing token to act with on a shard; None where this member may not act (any more)."""
        return self.assignment.tokens.get(shard) if self.session.lease.usable(now) else None

    def effect_rejected(self, now: float, shard: Shard, token: int, token_in_force: int) -> None:
        """A receiver rejected an effect as an older owner's. The process was away for longer than its lease, so the
        session and all its shards are given up."""
        self.notices.add(NoticeKind.EFFECT_REJECTED, shard, token, f"{token_in_force} is in force")
        if self.assignment.tokens.get(shard) == token:
            self._lose_session(now, "a newer owner has acted")

    def shed(self, now: float, shard: Shard, duration: float) -> None:
        """Transfer a shard to another member because of overload, and announce half the weight for ``duration``
        seconds, so that none comes back in its place."""
        self.assignment.shed(now, shard, duration, self.view)

    def drain(self, now: float) -> None:
        """Transfer all shards, then deregister."""
        if not self.draining:
            self.draining = True
            self._schedule.drain(now)
            self.notices.add(NoticeKind.DRAINING)

    # ---- Time
    def expire_lease(self, now: float) -> None:
        """Give everything up once the lease has ended by the member's own clock."""
        if self.session.lease.expire(now) and self.session.id is not None:
            self.assignment.lose_all("its time is over")
            self._rejoin(now)

    def next_due(self) -> float:
        """The latest instant at which ``next_operation`` has to be called again."""
        if self.deregistered:
            return float("inf")
        schedule = self._schedule
        if self.session.id is None:
            due = [schedule.quiet_until, schedule.read_state_at]
        else:
            due = [schedule.renew_at, schedule.read_revision_at]
            if self.session.record.state is MemberState.JOINING:
                due.append(schedule.settled_at)
        if self._view_outdated or self.assignment.transfer_expected:
            due.append(schedule.read_state_at)
        if self.session.lease.expires_at > NEVER:
            due.append(self.session.lease.expires_at)
        if self.draining:
            due.append(schedule.transfer_at)
        return min(due)

    # ---- Operations
    def next_operation(self, now: float) -> Operation | None:
        """What to ask of the coordinator now, one operation at a time; None if nothing is due."""
        self.expire_lease(now)
        if self.deregistered or now < self._schedule.quiet_until:
            return None
        session = self.session.id
        if session is None:
            return self._next_without_session(now)
        if self.session.renewal_due(now):
            self.assignment.renew_claims()
            return self.session.renew(now)
        if self.draining:
            return self._next_while_draining(now, session)
        return self._next_while_working(now, session)

    def _next_without_session(self, now: float) -> Operation | None:
        if self.draining:
            self.deregistered = True
            return None
        if self.session.lease.state is LeaseState.UNCERTAIN:
            return ReadState()  # an attempt to join without answer is read back
        if self.session.lease.state is LeaseState.REQUESTING:
            return None
        return self.session.join(now)

    def _next_while_working(self, now: float, session: int) -> Operation | None:
        assignment = self.assignment
        announcement = self.session.announcement(now, assignment.weight(now), assignment.transfers_pending)
        if announcement is not None:
            return announcement
        if now >= self._schedule.read_state_at and (self._view_outdated or assignment.transfer_expected):
            return ReadState()
        transfer = assignment.next_transfer(session)
        if transfer is not None:
            return transfer
        if self.session.record.state is MemberState.SERVING:
            claim = assignment.next_claim(now, session)
            if claim is not None:
                return claim
        return self._schedule.poll_revision(now)

    def _next_while_draining(self, now: float, session: int) -> Operation | None:
        if self.session.record.state is not MemberState.LEAVING:
            return Announce(session, replace(self.session.record, state=MemberState.LEAVING))
        if now < self._schedule.transfer_at:
            if now >= self._schedule.read_state_at and self._view_outdated:
                return ReadState()
            return self._schedule.poll_revision(now)
        transfer = self.assignment.next_draining_transfer(session, self.view)
        if transfer is not None:
            return transfer
        if self.assignment.tokens and self.session.lease.usable(now):
            return None  # effects are in flight
        return Deregister(session)

    # ---- Outcomes
    def record_outcome(self, now: float, operation: Operation, outcome: Outcome) -> None:
        """What became of an operation, and when that was known."""
        if isinstance(operation, Join):
            self.session.record_join(now, outcome)
            self._view_outdated |= self.session.id is not None
        elif isinstance(operation, Renew):
            self._record_renewal(now, operation, outcome)
        elif isinstance(operation, ReadState):
            self._record_state(now, outcome)
        elif isinstance(operation, ReadRevision):
            self._view_outdated |= isinstance(outcome, Completed) and outcome.value != self._revision
        elif isinstance(outcome, SessionExpired):
            self._lose_session(now, SESSION_OVER)
        else:
            self._record_change(now, operation, outcome)

    def _record_change(self, now: float, operation: Announce | Claim | Transfer | Deregister, outcome: Outcome) -> None:
        if isinstance(operation, Claim):
            self._view_outdated |= not self.assignment.record_claim(operation, outcome)
        elif isinstance(operation, Announce):
            self._view_outdated = True
            if isinstance(outcome, Completed):
                self.session.record = operation.record
                self._schedule.read_state_at = now
        elif isinstance(operation, Transfer):
            self._view_outdated = True
        else:
            self.deregistered = True
            self.session.id = None
            self.assignment.lose_all("it left")

    def _record_renewal(self, now: float, operation: Renew, outcome: Outcome) -> None:
        if operation.session != self.session.id:
            return  # of an earlier session
        if isinstance(outcome, Completed):
            self.session.renewal_completed()
            self._view_outdated |= outcome.value != self._revision
            self.expire_lease(now)  # the answer may have come after the lease ended
        elif isinstance(outcome, Unknown):
            self.session.renewal_unanswered(now)
        else:
            self._lose_session(now, SESSION_OVER)

    def _record_state(self, now: float, outcome: Outcome) -> None:
        self._schedule.state_read(now, self.assignment.transfer_expected)
        if isinstance(outcome, Completed) and isinstance(outcome.value, View):
            self._record_view(now, outcome.value)
        elif self.session.id is None:
            self._schedule.back_off(now)

    def _record_view(self, now: float, view: View) -> None:
        listed = view.find_member(self.session.record.name)
        session = self.session.id
        if session is None:
            self.session.record_read_back(now, listed)
            self._view_outdated |= self.session.id is not None
            return
        if not self.session.is_current(listed):
            self._lose_session(now, "the coordinator does not list it")
            return
        self._set_view(view)
        self._view_outdated = False
        self.assignment.update(now, session, view, self.draining)
        if self.assignment.transfer_expected:
            self._schedule.expect_transfer(now)

    # ---- The end of a session
    def _lose_session(self, now: float, reason: str) -> None:
        self.session.revoke_lease()
        self.assignment.lose_all(reason)
        self._rejoin(now)

    def _rejoin(self, now: float) -> None:
        self._set_view(None)
        self.session.reset(now)

    def _set_view(self, view: View | None) -> None:
        self.view = view
        self._revision = NO_REVISION if view is None else view.revision
        self._schedule.fleet_size = None if view is None else len(view.members)
