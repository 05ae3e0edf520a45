"""Every way in which a connection can end, and the outcome of an attempt that was carried by it."""

from __future__ import annotations

from enum import Enum

from lapishaven.admission import Outcome


class ConnectionEnd(Enum):
    """How a connection ended. The values are counted, so they are part of the interface."""

    PEER_CLOSED = "peer closed"
    RESET = "reset"  # by the peer, or by the network
    PROTOCOL_ERROR = "protocol error"
    TOO_LARGE = "too large"  # a message, or the bytes that the peer does not read
    IDLE = "idle"  # unused for longer than the idle timeout
    EVICTED = "evicted"  # closed to free its descriptor
    TIMED_OUT = "timed out"
    UNREACHED = "unreached"  # it was never established
    DRAINED = "drained"  # closed in a graceful shutdown
    FINISHED = "finished"  # its last exchange was complete
    ABANDONED = "abandoned"  # this side no longer needs what it waited for
    SHUTDOWN = "shutdown"  # the process ended
    MOVED = "moved"  # the peer has a new address
    FAULT = "fault"  # a fault of this program


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
"""What the end of a backend's connection proves about the attempt that it carried.

Only ``UNREACHED`` proves that nothing ran. Every other end leaves that open, so an attempt that is not idempotent is
never started again after it.
"""


def outcome_of(end: ConnectionEnd) -> Outcome:
    """The outcome of an attempt whose connection ended so."""
    return OUTCOMES[end]
