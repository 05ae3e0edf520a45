"""The callers' connections of all frontends: within the descriptor budget, without silent and idle ones."""

from __future__ import annotations

from lapishaven.connection_end import ConnectionEnd
from lapishaven.counters import Counters
from lapishaven.frontends import Session
from lapishaven.net.eviction import Evictions
from lapishaven.net.listener import DescriptorBudget
from lapishaven.net.loop import Loop

MESSAGE_TIMEOUT_S = 2.0  # for a message to arrive completely, the first one counted from the accept
SWEEP_INTERVAL_S = 0.05  # between checks for idle and silent connections
EVICTION_PART = 16  # divisor of the limit that gives how many are evicted at once, so that a burst waits less


class ClientConnections:
    """Every session from its accept until its descriptor is free again."""

    def __init__(self, loop: Loop, budget: DescriptorBudget, counters: Counters, idle_timeout: float) -> None:
        """``idle_timeout`` is in seconds."""
        self.idle_timeout = idle_timeout  # seconds after which a connection with nothing open is closed
        self.sessions: dict[Session, float] = {}  # when each was last examined, the least recent first
        self._loop = loop
        self._budget = budget
        self._counters = counters
        self._evictions = Evictions(loop)
        self.sweep()

    def add(self, session: Session) -> None:
        """Start a session that was just accepted."""
        self._counters.add("connections", "accepted")
        self.sessions[session] = self._loop.now
        self._loop.spawn(session.run(), lambda error: self._failed(session))

    def _failed(self, session: Session) -> None:
        """Its coroutine has ended by a fault of this program: close it once what is open there is answered."""
        self._counters.add("faults", "session")
        session.close_gracefully(ConnectionEnd.FAULT)

    def ended(self, session: Session, end: ConnectionEnd) -> None:
        """Its connection has ended and its descriptor is free."""
        if self.sessions.pop(session, None) is not None:
            self._budget.used -= 1
            self._counters.add("ends", f"caller {end.value}")

    # ---- Eviction
    def make_room(self) -> bool:
        """Begin to evict connections that have long been idle, and return whether a descriptor is free by now.

        The order is that of the clock algorithm (second chance): a connection that was used since it was last examined
        is passed over once, so that those which never send anything go before callers that come back.
        """
        if self._evictions.free():
            return True
        wanted = max(1, self._budget.limit // EVICTION_PART) - len(self._evictions)
        for session in list(self.sessions):
            if wanted <= 0:
                break
            was_used = session.awaiting_since is None and session.conn.last_active > self.sessions[session]
            del self.sessions[session]
            self.sessions[session] = session.conn.last_active
            is_evictable = not was_used and not session.conn.send_buffer.size
            if is_evictable and self._close_at_rest(session, ConnectionEnd.EVICTED):
                self._evictions.add(session.conn)
                wanted -= 1
        return not self._budget.full

    def _close_at_rest(self, session: Session, end: ConnectionEnd) -> bool:
        """Close a connection unless something is open or on its way there, in the kernel's buffer too.

        What its peer has not read yet is still sent, if it reads at all. Returns whether it was closed.
        """
        conn = session.conn
        if session.busy or conn.closing is not None or conn.end is not None or conn.read_available():
            return False
        session.close_gracefully(end)
        return True

    # ---- Timeouts
    def sweep(self) -> None:
        """Close idle connections, and those whose message did not arrive completely in time; again at each interval."""
        idle_since = self._loop.now - self.idle_timeout
        silent_since = self._loop.now - MESSAGE_TIMEOUT_S
        for session in list(self.sessions):
            if session.awaiting_since is not None:
                # Silent or half-open: it is of no use, and other callers may need its descriptor.
                if session.awaiting_since <= silent_since:
                    self._close_at_rest(session, ConnectionEnd.TIMED_OUT)
            elif session.conn.last_active < idle_since:
                self._close_at_rest(session, ConnectionEnd.IDLE)
        self._loop.at(self._loop.now + SWEEP_INTERVAL_S, self.sweep)

    # ---- Shutdown
    def drain(self) -> None:
        """Tell all peers that nothing new is to be sent here."""
        for session in self.sessions:
            session.drain()

    def close_gracefully(self) -> None:
        """Close all, each once what is open there is answered; what the kernel has received by now is read first."""
        for session in list(self.sessions):
            session.conn.read_available()
        for session in list(self.sessions):
            session.close_gracefully(ConnectionEnd.DRAINED)
