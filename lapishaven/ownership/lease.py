"""A lease from its holder's point of view: its state transitions, and how long it may be used. Pure.

``Lease`` and the model checker (``lapishaven.lab.modelcheck``) share the table. See Gray and Cheriton, "Leases: an
efficient fault-tolerant mechanism for distributed file cache consistency", 1989.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class LeaseState(Enum):
    """State of a lease at its holder."""

    FREE = "free"  # not requested
    REQUESTING = "asking"  # requested, no answer yet
    HELD = "held"
    RENEWING = "renewing"  # held, with a renewal in flight
    UNCERTAIN = "doubtful"  # a request got no answer: whether it was granted has to be read back
    LOST = "lost"  # expired, or revoked by the coordinator
    RELEASED = "released"


class LeaseEvent(Enum):
    """An input of the state machine."""

    REQUEST = "ask"
    GRANTED = "granted"
    DENIED = "denied"
    NO_ANSWER = "silent"  # within the timeout of a call
    RENEW = "renew"
    RENEWED = "renewed"
    CONFIRMED = "ours"  # a read showed that this holder has the lease
    REVOKED = "not ours"  # a read or an answer showed that it does not
    EXPIRED = "expired"  # by the holder's own clock
    RELEASE = "release"


USABLE_STATES = frozenset({LeaseState.HELD, LeaseState.RENEWING, LeaseState.UNCERTAIN})
"""The states in which a lease may be used until it expires."""
ENDED_STATES = frozenset({LeaseState.FREE, LeaseState.LOST, LeaseState.RELEASED})

TRANSITIONS: dict[tuple[LeaseState, LeaseEvent], LeaseState] = {
    (LeaseState.FREE, LeaseEvent.REQUEST): LeaseState.REQUESTING,
    (LeaseState.LOST, LeaseEvent.REQUEST): LeaseState.REQUESTING,
    (LeaseState.RELEASED, LeaseEvent.REQUEST): LeaseState.REQUESTING,
    (LeaseState.REQUESTING, LeaseEvent.GRANTED): LeaseState.HELD,
    (LeaseState.REQUESTING, LeaseEvent.DENIED): LeaseState.FREE,
    (LeaseState.REQUESTING, LeaseEvent.NO_ANSWER): LeaseState.UNCERTAIN,
    (LeaseState.REQUESTING, LeaseEvent.EXPIRED): LeaseState.LOST,
    (LeaseState.HELD, LeaseEvent.RENEW): LeaseState.RENEWING,
    (LeaseState.HELD, LeaseEvent.CONFIRMED): LeaseState.HELD,
    (LeaseState.RENEWING, LeaseEvent.RENEWED): LeaseState.HELD,
    (LeaseState.RENEWING, LeaseEvent.NO_ANSWER): LeaseState.UNCERTAIN,
    (LeaseState.UNCERTAIN, LeaseEvent.CONFIRMED): LeaseState.HELD,
    (LeaseState.UNCERTAIN, LeaseEvent.NO_ANSWER): LeaseState.UNCERTAIN,
    (LeaseState.HELD, LeaseEvent.REVOKED): LeaseState.LOST,
    (LeaseState.RENEWING, LeaseEvent.REVOKED): LeaseState.LOST,
    (LeaseState.UNCERTAIN, LeaseEvent.REVOKED): LeaseState.LOST,
    (LeaseState.HELD, LeaseEvent.EXPIRED): LeaseState.LOST,
    (LeaseState.RENEWING, LeaseEvent.EXPIRED): LeaseState.LOST,
    (LeaseState.UNCERTAIN, LeaseEvent.EXPIRED): LeaseState.LOST,
    (LeaseState.HELD, LeaseEvent.RELEASE): LeaseState.RELEASED,
    (LeaseState.RENEWING, LeaseEvent.RELEASE): LeaseState.RELEASED,
    (LeaseState.UNCERTAIN, LeaseEvent.RELEASE): LeaseState.RELEASED,
}
"""The next state by state and event; any other pair is a programming error."""
NEVER = float("-inf")


class LeaseError(RuntimeError):
    """An event that is impossible in the lease's state: a programming error."""


@dataclass(slots=True)
class Lease:
    """One lease. Times in seconds, on a monotonic clock that also runs while the process is stopped.

    It may be used until ``ttl - margin`` after the last answered request was **sent**, as the coordinator cannot have
    started to count before that. ``margin`` allows for a coordinator's clock that runs faster than the holder's.
    """

    ttl: float
    margin: float
    state: LeaseState = LeaseState.FREE
    expires_at: float = NEVER
    _sent_at: float = NEVER

    def apply(self, event: LeaseEvent) -> LeaseState:
        """Move to the next state. Raises ``LeaseError`` if the event is impossible in the present one."""
        new_state = TRANSITIONS.get((self.state, event))
        if new_state is None:
            raise LeaseError(f"lease event {event.value!r} is impossible in state {self.state.value!r}")
        self.state = new_state
        if new_state in ENDED_STATES:
            self.expires_at = NEVER
            self._sent_at = NEVER
        return new_state

    def request(self, now: float) -> None:
        """Record that a request for the lease is sent."""
        self.apply(LeaseEvent.REQUEST)
        self._sent_at = now

    def renew(self, now: float) -> None:
        """Record that a renewal is sent."""
        self.apply(LeaseEvent.RENEW)
        self._sent_at = now

    def confirm(self, event: LeaseEvent) -> None:
        """Apply ``GRANTED``, ``RENEWED`` or ``CONFIRMED``, after which the lease is held. A request confirmed by a read
        counts from when it was sent; a renewal confirmed by a read does not extend the lease."""
        read_back_of_request = event is LeaseEvent.CONFIRMED and self.expires_at == NEVER
        extends = read_back_of_request or event in (LeaseEvent.GRANTED, LeaseEvent.RENEWED)
        self.apply(event)
        if extends:
            self.expires_at = max(self.expires_at, self._sent_at + self.ttl - self.margin)

    def expire(self, now: float) -> bool:
        """End the lease if its time is over; returns whether this call ended it."""
        if self.state in USABLE_STATES and self.expires_at != NEVER and now >= self.expires_at:
            self.apply(LeaseEvent.EXPIRED)
            return True
        return False

    def usable(self, now: float) -> bool:
        """Whether the holder may act under the lease."""
        return self.state in USABLE_STATES and now < self.expires_at
