"""Tracks the callers' connections of all frontends: enforces the descriptor budget and closes idle connections."""

from __future__ import annotations

from lapishaven.connection_end import ConnectionEnd
from lapishaven.counters import Counters
from lapishaven.frontends import Session
from lapishaven.net.eviction import Evictions
from lapishaven.net.listener import DescriptorBudget
from lapishaven.net.loop import Loop

MESSAGE_TIMEOUT_S = 2.0  # for a message to arrive completely; the first one is timed from the accept
SWEEP_INTERVAL_S = 0.05  # between checks for idle connections and incomplete messages
EVICTION_BATCH_DIVISOR = 16  # one eviction closes up to 1/16 of the limit, so that a burst of new callers waits less


class ClientConnections:
    """Holds each session from its accept until its descriptor is released."""

    def __init__(
        self, loop: Loop, budget: DescriptorBudget, counters: Counters, idle_timeout: float, unfinished_limit: int
    ) -> None:
        """``idle_timeout`` is in seconds, ``unfinished_limit`` in bytes of incomplete messages of all connections."""
        self.idle_timeout = idle_timeout  # in seconds; a connection without open requests is closed after it
        self.sessions: dict[Session, float] = {}  # time of the last eviction check (clock algorithm), oldest first
        self._unfinished_limit = unfinished_limit
        self._loop = loop
        self._budget = budget
        self._counters = counters
        self._evictions = Evictions(loop)
        self.sweep()

    def add(self, session: Session) -> None:
        """Run the session of a newly accepted connection."""
        self._counters.add("connections", "accepted")
        self.sessions[session] = self._loop.now
        self._loop.spawn(session.run(), lambda error: self._failed(session))

    def _failed(self, session: Session) -> None:
        """The session's coroutine ended by an unexpected exception: close it once its open requests are answered."""
        self._counters.add("faults", "session")
        session.close_gracefully(ConnectionEnd.FAULT)

    def ended(self, session: Session, end: ConnectionEnd) -> None:
        """Remove a session whose connection has ended and whose descriptor is released."""
        if self.sessions.pop(session, None) is not None:
            self._budget.used -= 1
            self._counters.add("ends", f"caller {end.value}")

    # ---- Eviction
    def make_room(self) -> bool:
        """Begin to evict idle connections; returns whether a descriptor is free now.

        Uses the clock (second-chance) algorithm: a connection that was used since it was last examined is skipped
        once, so that connections that never send anything are evicted before those of returning callers.
        """
        if self._evictions.free_descriptor():
            return True
        wanted = max(1, self._budget.limit // EVICTION_BATCH_DIVISOR) - len(self._evictions)
        for session in list(self.sessions):
            if wanted <= 0:
                break
            was_used = session.awaiting_since is None and session.conn.last_active > self.sessions[session]
            del self.sessions[session]
            self.sessions[session] = session.conn.last_active
            is_evictable = not was_used and not session.conn.send_buffer.size
            if is_evictable and self._close_if_unused(session, ConnectionEnd.EVICTED):
                self._evictions.add(session.conn)
                wanted -= 1
        return not self._budget.full

    def _close_if_unused(self, session: Session, end: ConnectionEnd) -> bool:
        """Close a connection that has no open request and no unread input, the kernel's buffer included.

        Queued output is still sent if the peer reads it. Returns whether the close was begun.
        """
        conn = session.conn
        if session.busy or conn.closing is not None or conn.end is not None or conn.read_available():
            return False
        session.close_gracefully(end)
        return True

    # ---- Timeouts
    def sweep(self) -> None:
        """Close idle connections and those with an overdue incomplete message; reschedules itself."""
        idle_since = self._loop.now - self.idle_timeout
        overdue_since = self._loop.now - MESSAGE_TIMEOUT_S
        for session in list(self.sessions):
            if session.awaiting_since is not None:
                # No complete message within the timeout: the descriptor may be needed by other callers.
                if session.awaiting_since <= overdue_since:
                    self._close_if_unused(session, ConnectionEnd.TIMED_OUT)
            elif session.conn.last_active < idle_since:
                self._close_if_unused(session, ConnectionEnd.IDLE)
        self._bound_unfinished_bytes()
        self._loop.at(self._loop.now + SWEEP_INTERVAL_S, self.sweep)

    def _bound_unfinished_bytes(self) -> None:
        """Close the connections whose messages have been incomplete for longest, while all hold too many bytes.

        Callers that send whole messages have none for longer than a packet takes to arrive, so they are not concerned.
        What is open on such a connection is still answered.
        """
        unfinished = {session: size for session in self.sessions if (size := session.unfinished_bytes)}
        excess = sum(unfinished.values()) - self._unfinished_limit
        if excess <= 0:
            return
        for session in sorted(unfinished, key=lambda session: session.awaiting_since or self._loop.now):
            if excess <= 0:
                return
            if session.conn.read_available():
                continue  # its message may be complete now
            excess -= unfinished[session]
            self._counters.add("connections", "closed for incomplete messages")
            session.close_gracefully(ConnectionEnd.EVICTED)

    # ---- Shutdown
    def drain(self) -> None:
        """Tell all peers to send no new requests here."""
        for session in self.sessions:
            session.drain()

    def close_gracefully(self) -> None:
        """Close each connection once its open requests are answered; input already in the kernel is read first."""
        for session in list(self.sessions):
            session.conn.read_available()
        for session in list(self.sessions):
            session.close_gracefully(ConnectionEnd.DRAINED)
