"""When a member calls the coordinator: intervals, backoff and jitter. Pure."""

from __future__ import annotations

from random import Random

from lapishaven.ownership.operations import ReadRevision
from lapishaven.ownership.rules import MembershipRules

RENEWALS_PER_TTL = 3
RENEWAL_JITTER = (0.85, 1.0)  # factor of the renewal interval
FIRST_RENEWAL_JITTER = (0.3, 1.0)  # wider, so that members that joined together do not renew together
POLL_JITTER = (0.7, 1.3)
RETRY_JITTER = (0.5, 1.5)  # factor of the backoff after an unanswered renewal
MAX_RENEWAL_RETRY_S = 0.2  # longest backoff after an unanswered renewal, before jitter
RENEWAL_RETRIES_PER_TTL = 10  # that backoff is at most this fraction of the time to live of a lease
FREE_JOINS = 3  # joins before the settling time begins to double
MAX_DOUBLINGS = 16  # keeps the factor finite; the settling time reaches its own bound before


class OperationSchedule:
    """The instant from which each kind of operation is due, in seconds on the member's own clock."""

    def __init__(self, rules: MembershipRules, random: Random) -> None:
        self._rules = rules
        self._random = random
        self.quiet_until = 0.0
        """Backoff: no operation is sent before."""
        self.renew_at = 0.0
        self.read_state_at = 0.0
        self.read_revision_at = 0.0
        self.settled_at = 0.0
        """When the member may take work in the current session."""
        self.stable_at = 0.0
        """When the coordinator is to forget the member's earlier joins."""
        self.transfer_at = 0.0
        """When a draining member starts to transfer its shards."""
        self.fleet_size: int | None = None
        """Number of members in the latest view; None without one."""

    def start_session(self, now: float, join_count: int) -> None:
        """Schedule the operations of a new session. After ``FREE_JOINS`` joins without a stable period in between, the
        settling time doubles with each further one."""
        doublings = min(MAX_DOUBLINGS, max(0, join_count - FREE_JOINS))
        settling_time = min(self._rules.max_settling_time, self._rules.settling_time * 2.0**doublings)
        self.settled_at = now + settling_time
        self.stable_at = now + self._rules.stable_after
        self.renew_at = now + self._rules.ttl / RENEWALS_PER_TTL * self._random.uniform(*FIRST_RENEWAL_JITTER)
        self.read_state_at = now

    def renewal_sent(self, now: float) -> None:
        """Schedule the next renewal."""
        self.renew_at = now + self._rules.ttl / RENEWALS_PER_TTL * self._random.uniform(*RENEWAL_JITTER)

    def poll_revision(self, now: float) -> ReadRevision | None:
        """A poll of the revision, if one is due; schedules the next."""
        if now < self.read_revision_at:
            return None
        self.read_revision_at = now + self._poll_delay()
        return ReadRevision()

    def state_read(self, now: float, transfer_expected: bool) -> None:
        """Schedule the next read of the state, soon where a shard is about to be transferred to this member."""
        self.read_state_at = now + (self._rules.fast_poll_interval if transfer_expected else self._poll_delay())

    def expect_transfer(self, now: float) -> None:
        """Read the state again after the fast poll interval."""
        self.read_state_at = now + self._rules.fast_poll_interval

    def drain(self, now: float) -> None:
        """Schedule the transfers of a draining member."""
        self.transfer_at = now + self._rules.transfer_delay

    def back_off(self, now: float) -> None:
        """Send nothing for about one poll interval."""
        self.quiet_until = now + self._poll_delay()

    def back_off_renewal(self, now: float) -> None:
        """Send nothing for a small part of the lease; an unanswered renewal is then repeated before the lease ends."""
        delay = min(MAX_RENEWAL_RETRY_S, self._rules.ttl / RENEWAL_RETRIES_PER_TTL)
        self.quiet_until = now + delay * self._random.uniform(*RETRY_JITTER)

    def back_off_rejoin(self, now: float) -> None:
        """Delay the next join at random: members that lost their sessions together must not rejoin together."""
        self.quiet_until = now + self._random.uniform(0.0, self._rules.rejoin_spread)

    def _poll_delay(self) -> float:
        factor = 1.0 if self.fleet_size is None else self.fleet_size / self._rules.poll_reference_members
        return self._rules.poll_interval * max(1.0, factor) * self._random.uniform(*POLL_JITTER)
