"""Every way in which a connection can end, and what that end means to the decision module."""

from __future__ import annotations

from enum import Enum

from lapishaven.admission import Outcome


class ConnectionEnd(Enum):
    """One value for each way in which a connection can end."""

    PEER_CLOSED = "peer closed"
    RESET = "reset"
    PROTOCOL_ERROR = "protocol error"
    TOO_LARGE = "too large"
    IDLE = "idle"
    EVICTED = "evicted"
    TIMED_OUT = "timed out"
    UNREACHED = "unreached"
    DRAINED = "drained"
    FINISHED = "finished"
    ABANDONED = "abandoned"
    SHUTDOWN = "shutdown"
    MOVED = "moved"  # the other side has a new address
    FAULT = "fault"  # a fault of this program


# What the end of a backend's connection proves about the attempt that it carried. Only UNREACHED proves
# that nothing ran; every other end leaves that open, so an unsafe attempt is never started again after it.
OUTCOMES: dict[ConnectionEnd, Outcome] = {
    ConnectionEnd.PEER_CLOSED: Outcome.RESET,
    ConnectionEnd.RESET: Outcome.RESET,
    ConnectionEnd.PROTOCOL_ERROR: Outcome.ERROR,
    ConnectionEnd.TOO_LARGE: Outcome.ERROR,
    ConnectionEnd.IDLE: Outcome.RESET,
    ConnectionEnd.EVICTED: Outcome.RESET,
    ConnectionEnd.TIMED_OUT: Outcome.TIMEOUT,
    ConnectionEnd.UNREACHED: Outcome.UNREACHABLE,
    ConnectionEnd.DRAINED: Outcome.CANCELLED,
    ConnectionEnd.FINISHED: Outcome.OK,
    ConnectionEnd.ABANDONED: Outcome.CANCELLED,
    ConnectionEnd.SHUTDOWN: Outcome.CANCELLED,
    ConnectionEnd.MOVED: Outcome.RESET,
    ConnectionEnd.FAULT: Outcome.RESET,
}


def outcome_of(end: ConnectionEnd) -> Outcome:
    """The module's outcome for an attempt whose connection ended so."""
    return OUTCOMES[end]
