"""The reasons for which connections end, and the resulting outcome of an attempt on the connection."""

from __future__ import annotations

from enum import Enum

from lapishaven.admission import Outcome


class ConnectionEnd(Enum):
    """The reason why a connection ended. The values are labels of counters, so they are part of the interface."""

    PEER_CLOSED = "peer closed"
    RESET = "reset"  # by the peer, or by the network
    PROTOCOL_ERROR = "protocol error"
    TOO_LARGE = "too large"  # a message exceeds its size limit
    IDLE = "idle"  # unused for longer than the idle timeout
    EVICTED = "evicted"  # closed to free its descriptor or its memory
    TIMED_OUT = "timed out"
    UNREACHED = "unreached"  # never established
    DRAINED = "drained"  # closed by a graceful shutdown
    FINISHED = "finished"  # the last response was complete
    ABANDONED = "abandoned"  # this side no longer needs the response
    SHUTDOWN = "shutdown"  # the process exits
    MOVED = "moved"  # the peer has a new address
    FAULT = "fault"  # an unexpected exception in this program


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
"""The outcome of an attempt whose backend connection ended before its response.

Only ``UNREACHED`` proves that the attempt did not run. After any other end it may have run, so an attempt that is not
idempotent is never retried.
"""


def outcome_of(end: ConnectionEnd) -> Outcome:
    """The outcome of an attempt whose connection ended for this reason."""
    return OUTCOMES[end]
