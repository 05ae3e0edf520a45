"""The way out: from the notice to leave to the process's end, with all that was read answered before the kill.

At the notice callers are told, and the catalog through the module. The doors stay open for the grace, in which what
crosses the notice is read and answered like the rest. ``FINAL_ANSWER_MARGIN_S`` before the kill everything is answered, whatever
it waits for, and the connections are closed in order; the process ends when the last one has, or ``EXIT_ROOM`` before
the kill.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from lapishaven.client_connections import ClientConnections
from lapishaven.core.broker import Broker
from lapishaven.core.drain_state import FINAL_ANSWER_MARGIN_S
from lapishaven.net.listener import FULL_WAIT, Listener
from lapishaven.net.loop import Loop

EXIT_ROOM = 0.03  # s before the kill at which the process ends, whoever has not closed yet
NOT_UP_SPAN = 1.0  # s at most for the end of a server that never came up, as its callers have nothing open
LOOK = 0.01  # s between looks whether the last connection has ended


class GracefulShutdown:
    """Carries out one departure on the loop."""

    def __init__(self, loop: Loop, callers: ClientConnections, listeners: Sequence[Listener]) -> None:
        self.loop, self.callers, self.listeners = loop, callers, listeners
        self.requested_at: float | None = None
        self._kill_at = float("inf")
        self._broker: Callable[[], Broker | None] = lambda: None
        self._closing = False

    def begin(self, noticed: float, stop_span: float, grace: float, broker: Callable[[], Broker | None]) -> None:
        """The notice came at ``noticed``, and the kill follows ``stop_span`` after it."""
        self.requested_at, self._broker = noticed, broker
        self._kill_at = noticed + stop_span
        self.callers.drain()
        there = broker()
        if there is None:
            # Nothing can be run, so nothing is gained by waiting.
            self._kill_at = min(self._kill_at, self.loop.now + NOT_UP_SPAN)
            return self._leave()
        there.drain(noticed, self._kill_at)
        self.loop.at(noticed + grace, self._close_doors)
        self.loop.at(self._kill_at - FINAL_ANSWER_MARGIN_S, self._leave)

    def shorten(self, stop_span: float) -> None:
        """A reload after the notice says that the kill comes sooner; that it comes later is not relied upon."""
        if self.requested_at is None or self.requested_at + stop_span >= self._kill_at or self._closing:
            return
        self._kill_at = self.requested_at + stop_span
        if (broker := self._broker()) is not None:
            broker.advance_kill(self._kill_at)
        self.loop.at(self._kill_at - FINAL_ANSWER_MARGIN_S, self._leave)

    def _close_doors(self) -> None:
        if not all([listener.close() for listener in self.listeners]):
            self.loop.at(self.loop.now + FULL_WAIT, self._close_doors)

    def _leave(self) -> None:
        """Answer all, close all."""
        if self._closing:
            return
        self._closing = True
        self._close_doors()
        # What the doors and the last reads brought in is taken up in this round's turn, or the next.
        self.loop.at(self.loop.now, self._close_callers)

    def _close_callers(self) -> None:
        self.callers.leave()
        if (broker := self._broker()) is not None:
            broker.answer_all(self.loop.now)
        self._end_when_closed()

    def _end_when_closed(self) -> None:
        if not self.callers.sessions or self.loop.now >= self._kill_at - EXIT_ROOM:
            for listener in self.listeners:
                listener.abandon()
            self.loop.stop()
        else:
            self.loop.at(self.loop.now + LOOK, self._end_when_closed)
