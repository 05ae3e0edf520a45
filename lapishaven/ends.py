"""Every way in which a connection can end, and what that end means to the decision module."""

from __future__ import annotations

from enum import Enum

from cometdrum.interface import Outcome


class End(Enum):
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
OUTCOMES: dict[End, Outcome] = {
    End.PEER_CLOSED: Outcome.RESET,
    End.RESET: Outcome.RESET,
    End.PROTOCOL_ERROR: Outcome.ERROR,
    End.TOO_LARGE: Outcome.ERROR,
    End.IDLE: Outcome.RESET,
    End.EVICTED: Outcome.RESET,
    End.TIMED_OUT: Outcome.TIMEOUT,
    End.UNREACHED: Outcome.UNREACHED,
    End.DRAINED: Outcome.CANCELLED,
    End.FINISHED: Outcome.OK,
    End.ABANDONED: Outcome.CANCELLED,
    End.SHUTDOWN: Outcome.CANCELLED,
    End.MOVED: Outcome.RESET,
    End.FAULT: Outcome.RESET,
}


def outcome_of(end: End) -> Outcome:
    """The module's outcome for an attempt whose connection ended so."""
    return OUTCOMES[end]
