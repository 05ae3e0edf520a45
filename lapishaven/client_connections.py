"""The callers' connections of all fronts: within the descriptors, without the silent and the idle."""

from __future__ import annotations

from lapishaven.connection_end import ConnectionEnd
from lapishaven.counters import Counters
from lapishaven.frontends import Session
from lapishaven.net.eviction import Evictions
from lapishaven.net.listener import DescriptorBudget
from lapishaven.net.loop import Loop

WHOLE = 2.0  # s for a message to come whole, the first one counted from the accept
SWEEP = 0.05  # s between looks for idle connections
CLOSED_AT_ONCE = 16  # a full table begins to close one in so many, so that a burst finds room without a wait for each


class ClientConnections:
    """Holds every session from its accept until its descriptor is given back."""

    def __init__(self, loop: Loop, budget: DescriptorBudget, counters: Counters, idle: float) -> None:
        self.loop, self.budget, self.counters = loop, budget, counters
        self.idle = idle  # s after which a connection that has nothing open is closed
        self.sessions: dict[Session, float] = {}  # when each was last looked at, oldest look first
        self._room = Evictions(loop)
        self.sweep()

    def add(self, session: Session) -> None:
        """It was accepted and starts."""
        self.counters.add("connections", "accepted")
        self.sessions[session] = self.loop.now
        self.loop.spawn(session.run(), lambda error: self._failed(session))

    def _failed(self, session: Session) -> None:
        """Its coroutine has ended by a fault of ours: what is open there is answered, and the connection closed."""
        self.counters.add("faults", "session")
        session.leave(ConnectionEnd.FAULT)

    def ended(self, session: Session, end: ConnectionEnd) -> None:
        """Its descriptor has been given back."""
        if self.sessions.pop(session, None) is not None:
            self.budget.used -= 1
            self.counters.add("ends", f"caller {end.value}")

    # ---- Making room
    def make_room(self) -> bool:
        """Begin to close connections that have long been idle, and say whether a descriptor is free by now.

        Each in turn is let off once for a whole message since the last look, so that connections which say
        nothing go before callers that come back.
        """
        if self._room.free():
            return True
        wanted = max(1, self.budget.room // CLOSED_AT_ONCE) - len(self._room)
        for session in list(self.sessions):
            if wanted <= 0:
                break
            said = session.since is None and session.conn.active > self.sessions[session]
            del self.sessions[session]
            self.sessions[session] = session.conn.active
            if not said and not session.conn.out.size and self._close_at_rest(session, ConnectionEnd.EVICTED):
                self._room.add(session.conn)
                wanted -= 1
        return not self.budget.full

    def _close_at_rest(self, session: Session, end: ConnectionEnd) -> bool:
        """Close it if nothing is open or under way there, also not in the kernel's buffer. What it has not read yet is
        still sent, if it reads at all."""
        conn = session.conn
        if session.busy or conn.closing is not None or conn.end is not None or conn.catch_up():
            return False
        session.leave(end)
        return True

    # ---- Idle and silent ones
    def sweep(self) -> None:
        """Close those that are idle for long, and those whose message does not come whole."""
        idle_since, silent_since = self.loop.now - self.idle, self.loop.now - WHOLE
        for session in list(self.sessions):
            if session.since is not None:
                # Silent or half-open: no use of it, while callers may want its place.
                if session.since <= silent_since:
                    self._close_at_rest(session, ConnectionEnd.TIMED_OUT)
            elif session.conn.active < idle_since:
                self._close_at_rest(session, ConnectionEnd.IDLE)
        self.loop.at(self.loop.now + SWEEP, self.sweep)

    # ---- The end
    def drain(self) -> None:
        """Tell all that nothing new is to be sent here."""
        for session in self.sessions:
            session.drain()

    def leave(self) -> None:
        """Close all, each once what is open there is answered. What is in the kernel's buffers by now is read first."""
        for session in list(self.sessions):
            session.conn.catch_up()
        for session in list(self.sessions):
            session.leave(ConnectionEnd.DRAINED)
