"""A member's session with the coordinator: joining, renewing, and announcing the member's record. Pure.

A session is one lease (``lease``). A session that has ended is never used again: the member joins anew, as another
incarnation.
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

ATTEMPT_SEPARATOR = "+"  # between a process's incarnation and the random suffix of one attempt to join
ATTEMPT_BITS = 32


class MemberSession:
    """State machine of the session. ``id`` is None while there is no session."""

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
        """Start an attempt to join. Each is another incarnation: an attempt that is carried out late must not be taken
        for a later one, whose lease counts from a later instant."""
        if self._attempted:
            process = self.record.incarnation.partition(ATTEMPT_SEPARATOR)[0]
            attempt = self._random.getrandbits(ATTEMPT_BITS)
            self.record = replace(self.record, incarnation=f"{process}{ATTEMPT_SEPARATOR}{attempt:08x}")
        self._attempted = True
        self.lease.request(now)
        return Join(self.record)

    def record_join(self, now: float, outcome: Outcome) -> None:
        """Take the outcome of an attempt to join."""
        if isinstance(outcome, Completed) and isinstance(outcome.value, SessionGrant):
            self.lease.confirm(LeaseEvent.GRANTED)
            self._begin(now, outcome.value.session, outcome.value.join_count)
            return
        if isinstance(outcome, Unknown):
            self.lease.apply(LeaseEvent.NO_ANSWER)
            self._notices.add(
                NoticeKind.OUTCOME_UNCERTAIN, reason="no answer to the attempt to join, the state is read back"
            )
        else:
            self.lease.apply(LeaseEvent.DENIED)
            self._notices.add(NoticeKind.NAME_TAKEN, reason=self.record.name)
        self._schedule.back_off(now)

    def record_read_back(self, now: float, listed: ListedMember | None) -> None:
        """Resolve an unanswered attempt to join. ``listed`` is the member that has this member's name, if any."""
        if self.lease.state is not LeaseState.UNCERTAIN:
            return
        if listed is None or not self._is_own(listed):
            # The attempt may still be carried out. The name is then taken until that session expires.
            self.lease.apply(LeaseEvent.REVOKED)
            return
        self.lease.confirm(LeaseEvent.CONFIRMED)
        if self.lease.expire(now):
            self.reset(now)
        else:
            self._begin(now, listed.session, join_count=1)

    def renewal_due(self, now: float) -> bool:
        """Whether a renewal is due by schedule, or because the last one got no answer."""
        return now >= self._schedule.renew_at or self.lease.state is LeaseState.UNCERTAIN

    def renew(self, now: float) -> Renew:
        """Start a renewal. After an unanswered one, the next both resolves the doubt and renews."""
        assert self.id is not None
        if self.lease.state is LeaseState.UNCERTAIN:
            # Nothing is confirmed yet: this only returns to a state that may renew, and does not extend the lease.
            self.lease.apply(LeaseEvent.CONFIRMED)
        self.lease.renew(now)
        self._schedule.renewal_sent(now)
        return Renew(self.id)

    def renewal_completed(self) -> None:
        """Take the answer to a renewal."""
        if self.lease.state is LeaseState.RENEWING:
            self.lease.confirm(LeaseEvent.RENEWED)

    def renewal_unanswered(self, now: float) -> None:
        """Record that a renewal got no answer: the lease is not extended."""
        if self.lease.state is LeaseState.RENEWING:
            self.lease.apply(LeaseEvent.NO_ANSWER)
            self._notices.add(NoticeKind.OUTCOME_UNCERTAIN, reason="no answer to a renewal, it is sent again")
        self._schedule.back_off_renewal(now)

    def announcement(self, now: float, weight: float, transfers_pending: bool) -> Announce | None:
        """The announcement that is due, if any; the caller must send it, as stability is announced only once a session.

        ``weight`` is the weight that the member should have now. A change of it waits for pending transfers, as it
        would change the placement that they follow.
        """
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
        """Whether the listed member is this session."""
        return listed is not None and self._is_own(listed) and listed.session == self.id

    def revoke_lease(self) -> None:
        """Give up the lease: the coordinator or a receiver has shown that it is no longer this member's."""
        if self.lease.state in (LeaseState.HELD, LeaseState.RENEWING, LeaseState.UNCERTAIN):
            self.lease.apply(LeaseEvent.REVOKED)

    def reset(self, now: float) -> None:
        """End the session; the member joins again after a random delay."""
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
