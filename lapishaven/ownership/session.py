"""A member's session with the coordinator: joining, renewing, and what it announces of itself. Pure.

A session is one lease, by the table in ``lease``. One that has ended is never used again: the member joins anew, as
another incarnation.
"""

from __future__ import annotations

from dataclasses import replace
from random import Random

from lapishaven.ownership.lease import Lease, LeaseEvent, LeaseState
from lapishaven.ownership.model import ListedMember, MemberRecord, MemberState, SessionGrant
from lapishaven.ownership.notices import NoticeKind, NoticeQueue
from lapishaven.ownership.operations import Announce, Completed, Join, Outcome, Renew, Unknown
from lapishaven.ownership.rules import MembershipRules
from lapishaven.ownership.schedule import OperationSchedule

ATTEMPT_SEPARATOR = "+"  # between a process's incarnation and the random part of one attempt to join
ATTEMPT_BITS = 32


class MemberSession:
    """The session's state machine. ``id`` is None while there is no session."""

    def __init__(
        self,
        record: MemberRecord,
        rules: MembershipRules,
        random: Random,
        schedule: OperationSchedule,
        notices: NoticeQueue,
    ) -> None:
        self.record = record
        self.lease = Lease(rules.ttl, rules.margin)
        self.id: int | None = None
        self._random = random
        self._schedule = schedule
        self._notices = notices
        self._attempted = False
        self._stability_announced = False

    def join(self, now: float) -> Join:
        """The next attempt to join, each as another incarnation: an attempt that is carried out late must not be
        taken for a later one, whose lease is counted from a later instant."""
        if self._attempted:
            process = self.record.incarnation.partition(ATTEMPT_SEPARATOR)[0]
            attempt = self._random.getrandbits(ATTEMPT_BITS)
            self.record = replace(self.record, incarnation=f"{process}{ATTEMPT_SEPARATOR}{attempt:08x}")
        self._attempted = True
        self.lease.request(now)
        return Join(self.record)

    def record_join(self, now: float, outcome: Outcome) -> None:
        """What became of an attempt to join."""
        if isinstance(outcome, Completed) and isinstance(outcome.value, SessionGrant):
            self.lease.confirm(LeaseEvent.GRANTED)
            self._begin(now, outcome.value.session, outcome.value.join_count)
            return
        if isinstance(outcome, Unknown):
            self.lease.apply(LeaseEvent.NO_ANSWER)
            self._notices.add(NoticeKind.OUTCOME_UNCERTAIN, reason="joining got no answer")
        else:
            self.lease.apply(LeaseEvent.DENIED)
            self._notices.add(NoticeKind.NAME_TAKEN, reason=self.record.name)
        self._schedule.back_off(now)

    def record_read_back(self, now: float, listed: ListedMember | None) -> None:
        """Whether an attempt to join that got no answer was carried out. ``listed``: who has this member's name."""
        if self.lease.state is not LeaseState.UNCERTAIN:
            return
        if listed is None or not self._is_own(listed):
            # It may still be carried out. The name is then taken until that session ends.
            self.lease.apply(LeaseEvent.REVOKED)
            return
        self.lease.confirm(LeaseEvent.CONFIRMED)
        if self.lease.expire(now):
            self.reset(now)
        else:
            self._begin(now, listed.session, join_count=1)

    def renewal_due(self, now: float) -> bool:
        """Whether to renew now: it is time to, or the last renewal got no answer."""
        return now >= self._schedule.renew_at or self.lease.state is LeaseState.UNCERTAIN

    def renew(self, now: float) -> Renew:
        """Renew the lease. After a renewal without answer, one more both reads back and renews."""
        assert self.id is not None
        if self.lease.state is LeaseState.UNCERTAIN:
            # Nothing is confirmed yet: this only returns to a state that may renew, and does not lengthen the lease.
            self.lease.apply(LeaseEvent.CONFIRMED)
        self.lease.renew(now)
        self._schedule.renewal_sent(now)
        return Renew(self.id)

    def renewal_completed(self) -> None:
        """A renewal was answered."""
        if self.lease.state is LeaseState.RENEWING:
            self.lease.confirm(LeaseEvent.RENEWED)

    def renewal_unanswered(self, now: float) -> None:
        """A renewal got no answer: the lease lasts as long as before."""
        if self.lease.state is LeaseState.RENEWING:
            self.lease.apply(LeaseEvent.NO_ANSWER)
            self._notices.add(NoticeKind.OUTCOME_UNCERTAIN, reason="a renewal got no answer")
        self._schedule.back_off_renewal(now)

    def announcement(self, now: float, weight: float, transfers_pending: bool) -> Announce | None:
        """A change of the member's record that is due, if any. ``weight``: what it should be now; a change waits for
        pending transfers, as the plan would change under them. To be sent: stability is given only once a session."""
        assert self.id is not None
        if self.record.state is MemberState.JOINING and now >= self._schedule.settled_at:
            return Announce(self.id, replace(self.record, state=MemberState.SERVING))
        if weight != self.record.weight and not transfers_pending:
            return Announce(self.id, replace(self.record, weight=weight))
        if not self._stability_announced and now >= self._schedule.stable_at:
            self._stability_announced = True
            return Announce(self.id, self.record, stable=True)
        return None

    def is_current(self, listed: ListedMember | None) -> bool:
        """Whether the coordinator lists this very session."""
        return listed is not None and self._is_own(listed) and listed.session == self.id

    def revoke_lease(self) -> None:
        """The coordinator or a receiver has said that the lease is another's."""
        if self.lease.state in (LeaseState.HELD, LeaseState.RENEWING, LeaseState.UNCERTAIN):
            self.lease.apply(LeaseEvent.REVOKED)

    def reset(self, now: float) -> None:
        """Forget the session; the member joins again after a random delay."""
        if self.id is not None:
            self._notices.add(NoticeKind.SESSION_ENDED, reason=f"session {self.id}")
        self.id = None
        self.record = replace(self.record, state=MemberState.JOINING)
        self._schedule.back_off_rejoin(now)

    def _begin(self, now: float, session: int, join_count: int) -> None:
        self.id = session
        self.record = replace(self.record, state=MemberState.JOINING)
        self._stability_announced = False
        self._schedule.start_session(now, join_count)
        self._notices.add(NoticeKind.JOINED, reason=f"session {session}")

    def _is_own(self, listed: ListedMember) -> bool:
        return listed.record.incarnation == self.record.incarnation
