"""State machine of a fleet member: which coordinator operation is due, and which shards it may act on. Pure.

``next_operation(now)`` returns the operation that is due; ``record_outcome`` takes its outcome. Nothing here blocks or
reads a clock. One session covers all shards of the member, so renewals do not grow with the number of shards. When the
session ends, the member loses all its shards and joins again.

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
SESSION_EXPIRED_REASON = "the coordinator reported the session as expired"


class Member:
    """Sequences the operations of a session and of its shards. ``record.incarnation`` must be new for each start of a
    process. All times in seconds, on a monotonic clock that also runs while the process is stopped."""

    def __init__(self, record: MemberRecord, shards: Sequence[Shard], rules: MembershipRules, random: Random) -> None:
        self.rules = rules
        self.view: View | None = None
        """The latest state that was read in this session."""
        self.notices = NoticeQueue()
        """Notices that the driver has not taken yet."""
        self.draining = False
        self.deregistered = False
        """Whether the member has left and will not join again."""
        self._schedule = OperationSchedule(rules, random)
        self.session = MemberSession(record, rules, random, self._schedule, self.notices)
        self.assignment = ShardAssignment(record.name, record.weight, shards, rules, random, self.notices)
        self._revision = NO_REVISION
        self._view_outdated = True  # the coordinator's state is known to be newer than the view

    # ---- Called by the agent and the participant
    def token(self, now: float, shard: Shard) -> int | None:
        """The fencing token for effects on a shard; None if this member does not own it or its lease has expired."""
        return self.assignment.tokens.get(shard) if self.session.lease.usable(now) else None

    def effect_rejected(self, now: float, shard: Shard, token: int, token_in_force: int) -> None:
        """A receiver rejected an effect as stale, as it has seen ``token_in_force``. If the shard's token is still the
        rejected one, the process was stopped for longer than its lease: the session and all its shards are given up.
        Otherwise the shard was lost or gained again in the meantime, and only the notice is added."""
        self.notices.add(
            NoticeKind.EFFECT_REJECTED, shard, token, f"the receiver has seen the newer token {token_in_force}"
        )
        if self.assignment.tokens.get(shard) == token:
            self._lose_session(now, "the receiver has seen a newer owner of one of its shards")

    def shed(self, now: float, shard: Shard, duration: float) -> None:
        """Transfer a shard to another member because of overload, and announce a reduced weight for ``duration``
        seconds, so that no other shard is placed here instead."""
        self.assignment.shed(now, shard, duration, self.view)

    def drain(self, now: float) -> None:
        """Start to drain: transfer all shards, then deregister."""
        if not self.draining:
            self.draining = True
            self._schedule.drain(now)
            self.notices.add(NoticeKind.DRAINING)

    # ---- Deadlines
    def expire_lease(self, now: float) -> None:
        """Give up the session and all shards if the lease has expired by the member's own clock."""
        if self.session.lease.expire(now) and self.session.id is not None:
            self.assignment.lose_all("the lease expired by the member's own clock")
            self._rejoin(now)

    def next_due(self) -> float:
        """The instant by which ``next_operation`` has to be called again; infinite once the member has deregistered."""
        if self.deregistered:
            return float("inf")
        schedule = self._schedule
        if self.session.id is None:
            deadlines = [schedule.quiet_until, schedule.read_state_at]
        else:
            deadlines = [schedule.renew_at, schedule.read_revision_at]
            if self.session.record.state is MemberState.JOINING:
                deadlines.append(schedule.settled_at)
        if self._view_outdated or self.assignment.transfer_expected:
            deadlines.append(schedule.read_state_at)
        if self.session.lease.expires_at > NEVER:
            deadlines.append(self.session.lease.expires_at)
        if self.draining:
            deadlines.append(schedule.transfer_at)
        return min(deadlines)

    # ---- Operations
    def next_operation(self, now: float) -> Operation | None:
        """The operation that is due now, None if there is none. One operation is in flight at a time."""
        self.expire_lease(now)
        if self.deregistered or now < self._schedule.quiet_until:
            return None
        session = self.session.id
        if session is None:
            return self._next_without_session(now)
        if self.session.renewal_due(now):
            self.assignment.reset_claim_allowance()
            return self.session.renew(now)
        if self.draining:
            return self._next_while_draining(now, session)
        return self._next_while_working(now, session)

    def _next_without_session(self, now: float) -> Operation | None:
        if self.draining:
            self.deregistered = True  # without a session there is nothing to transfer or deregister
            return None
        if self.session.lease.state is LeaseState.UNCERTAIN:
            return ReadState()  # finds out whether an unanswered attempt to join was carried out
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
            return None  # the remaining shards have effects in flight, after which they are transferred
        return Deregister(session)

    # ---- Outcomes
    def record_outcome(self, now: float, operation: Operation, outcome: Outcome) -> None:
        """Take the outcome of an operation, known at ``now``."""
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
            self._lose_session(now, SESSION_EXPIRED_REASON)
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
            # A deregistration, whatever its outcome: if it was not carried out, the session expires by itself.
            self.deregistered = True
            self.session.id = None
            self.assignment.lose_all("the member deregistered")

    def _record_renewal(self, now: float, operation: Renew, outcome: Outcome) -> None:
        if operation.session != self.session.id:
            return  # the answer belongs to an earlier session
        if isinstance(outcome, Completed):
            self.session.renewal_completed()
            self._view_outdated |= outcome.value != self._revision
            self.expire_lease(now)  # the answer may have come after the lease ended
        elif isinstance(outcome, Unknown):
            self.session.renewal_unanswered(now)
        else:
            self._lose_session(now, SESSION_EXPIRED_REASON)

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
            self._lose_session(now, "the coordinator no longer lists the session")
            return
        self._set_view(view)
        self._view_outdated = False
        self.assignment.update(now, session, view, self.draining)
        if self.assignment.transfer_expected:
            self._schedule.expect_transfer(now)

    # ---- End of a session
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
