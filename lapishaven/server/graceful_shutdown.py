"""Graceful shutdown: answers every request that was read before the supervisor kills the process.

On the shutdown notice callers are notified, and the service registry through the controller. The listeners stay open
for the grace period, in which requests that were sent before callers saw the notice are still read and served.
``FINAL_ANSWER_MARGIN_S`` before the kill all open requests are answered, whatever their state, and the connections are
closed gracefully. The process exits when the last connection has ended, but at least ``EXIT_MARGIN_S`` before the kill.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from lapishaven.core.broker import Broker
from lapishaven.core.drain_state import FINAL_ANSWER_MARGIN_S
from lapishaven.net.listener import DESCRIPTOR_RETRY_S, Listener
from lapishaven.net.loop import Loop
from lapishaven.server.client_connections import ClientConnections

EXIT_MARGIN_S = 0.03  # the process exits this long before the kill, even with open connections
NEVER_UP_LIMIT_S = 1.0  # maximum shutdown time if the backend never came up, as no request is open
CLOSED_POLL_INTERVAL_S = 0.01  # between checks whether all connections have ended


class BrokerHolder(Protocol):
    """Provides the broker once it exists."""

    @property
    def broker(self) -> Broker | None:
        """The broker; ``None`` until the backend is up."""


class GracefulShutdown:
    """Carries out one shutdown on the loop. Times are seconds on the loop's clock."""

    def __init__(
        self, loop: Loop, callers: ClientConnections, listeners: Sequence[Listener], core: BrokerHolder
    ) -> None:
        self._loop = loop
        self._callers = callers
        self._listeners = listeners
        self._core = core
        self._requested_at: float | None = None
        self._kill_at = float("inf")
        self._closing = False

    @property
    def requested(self) -> bool:
        """Whether the shutdown notice has been received."""
        return self._requested_at is not None

    def begin(self, noticed_at: float, stop_span: float, grace: float) -> None:
        """Begin the shutdown: the notice came at ``noticed_at``, and the kill follows ``stop_span`` seconds later.

        New requests are still served for ``grace`` seconds after the notice.
        """
        self._requested_at = noticed_at
        self._kill_at = noticed_at + stop_span
        self._callers.drain()
        broker = self._core.broker
        if broker is None:
            # No request can run without a backend, so there is nothing to wait for.
            self._kill_at = min(self._kill_at, self._loop.now + NEVER_UP_LIMIT_S)
            self._finish()
            return
        broker.drain(noticed_at, self._kill_at)
        self._loop.at(noticed_at + grace, self._close_listeners)
        self._loop.at(self._kill_at - FINAL_ANSWER_MARGIN_S, self._finish)

    def shorten(self, stop_span: float) -> None:
        """Apply a reloaded ``stop_span`` if it makes the kill earlier; a later kill is not relied upon."""
        if self._requested_at is None or self._closing or self._requested_at + stop_span >= self._kill_at:
            return
        self._kill_at = self._requested_at + stop_span
        if self._core.broker is not None:
            self._core.broker.advance_kill(self._kill_at)
        self._loop.at(self._kill_at - FINAL_ANSWER_MARGIN_S, self._finish)

    def _close_listeners(self) -> None:
        """Close each listener once its backlog is accepted; retry while descriptors are missing."""
        if not all([listener.close() for listener in self._listeners]):
            self._loop.at(self._loop.now + DESCRIPTOR_RETRY_S, self._close_listeners)

    def _finish(self) -> None:
        """Close the listeners, then answer all requests and close all connections; does so only once."""
        if self._closing:
            return
        self._closing = True
        self._close_listeners()
        # Requests from the listeners' backlogs and from the last reads are processed in the turn of this round or the
        # next.
        self._loop.at(self._loop.now, self._answer_and_close)

    def _answer_and_close(self) -> None:
        self._callers.close_gracefully()
        if self._core.broker is not None:
            self._core.broker.answer_all(self._loop.now)
        self._stop_when_closed()

    def _stop_when_closed(self) -> None:
        """Stop the loop once all connections have ended or ``EXIT_MARGIN_S`` before the kill; until then, poll."""
        if not self._callers.sessions or self._loop.now >= self._kill_at - EXIT_MARGIN_S:
            for listener in self._listeners:
                listener.abandon()  # one without a free descriptor may still be open
            self._loop.stop()
        else:
            self._loop.at(self._loop.now + CLOSED_POLL_INTERVAL_S, self._stop_when_closed)
