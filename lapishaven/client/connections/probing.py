"""Failure detection by probes: finds endpoints that accept connections and requests but answer nothing."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from lapishaven.client.actions import CheckHealth, SendProbe
from lapishaven.client.connections.dial_budget import DialBudget
from lapishaven.client.connections.endpoint_table import EndpointTable
from lapishaven.client.engine import Engine
from lapishaven.client.model import Connection, ConnectionState, Endpoint

UnresponsiveCallback = Callable[[float, Endpoint], None]


def _ignore_unresponsive(now: float, endpoint: Endpoint) -> None:
    """Do nothing: the default callback until the policy sets one."""


class Prober:
    """Probes endpoints on open connections (``settings.health.watch_s``), and health-checks silent ones.

    ``on_unresponsive(now, endpoint)`` is called at every check for each suspected endpoint.
    """

    def __init__(self, engine: Engine, table: EndpointTable, dial_budget: DialBudget) -> None:
        self._engine = engine
        self._table = table
        self._dial_budget = dial_budget
        self._detector = table.failure_detector
        self._next_check_at = float("inf")
        self.on_unresponsive: UnresponsiveCallback = _ignore_unresponsive

    # ---- Probes on open connections
    def must_probe_first(self, now: float, endpoint: Endpoint) -> bool:
        """Whether nothing was received from an endpoint for ``health.fresh_s``, so that it is probed first."""
        return self._table.probes_connections and now - endpoint.last_heard_at > self._engine.settings.health.fresh_s

    def probe(self, now: float, endpoint: Endpoint) -> None:
        """Probe on the connection that has been silent longest; without a connection, drop the outstanding probe."""
        established = (ConnectionState.READY, ConnectionState.DRAINING)
        connections = [connection for connection in endpoint.connections if connection.state in established]
        if not connections:
            endpoint.outstanding_probe = None
            return
        self._send_probe(now, min(connections, key=lambda connection: connection.last_received_at))

    def probe_new_connection(self, now: float, connection: Connection) -> None:
        """Probe on a connection that was just established.

        The kernel accepts connections even if the process does not run. And servers close a connection on which no
        complete message arrives for 2 s, so without the probe a connection kept for later calls would be lost.
        """
        self._send_probe(now, connection)
        self.schedule_check()

    def _send_probe(self, now: float, connection: Connection) -> None:
        self._detector.probe_sent(now, connection.endpoint)
        self._engine.report(now, "ask", server=connection.endpoint.name)
        self._engine.emit(SendProbe(connection))

    def request_sent(self, now: float, connection: Connection) -> None:
        """Start watching for the response to a request."""
        if self._table.probes_connections:
            self._detector.request_sent(now, connection.endpoint)
            self.schedule_check()
        if not connection.response_timer_set and not self._table.one_request_per_connection:
            connection.response_timer_set = True
            silence_s = self._engine.settings.connections.silence_s
            self._engine.schedule(now + silence_s, self._check_connection, connection)

    def received(self, now: float, connection: Connection) -> None:
        """Record that anything arrived from an endpoint."""
        endpoint = connection.endpoint
        connection.last_received_at = endpoint.last_heard_at = now
        if connection.replaces_idle_close:
            connection.replaces_idle_close = False
            self._dial_budget.refund()
        if self._table.probes_connections and self._detector.response_received(endpoint):
            self._engine.report(now, "speaks again", server=endpoint.name)

    def connection_lost(self, endpoint: Endpoint) -> None:
        """Reset the failure detector's state of an endpoint that lost its last connection."""
        if self._table.probes_connections and len(endpoint.connections) <= 1:
            self._detector.forget(endpoint)

    # ---- Checks
    def schedule_check(self) -> None:
        """Schedule the next check of the failure detector."""
        when = self._detector.next_check_at()
        if self._table.probes_connections and when < self._next_check_at:
            self._next_check_at = when
            self._engine.schedule(when, self._check_due)

    def _check_due(self, now: float, _: Any) -> None:
        if now < self._next_check_at:
            return
        self._next_check_at = float("inf")
        to_probe, unresponsive = self._detector.check(now, self._table.is_tracked)
        for endpoint in to_probe:
            self.probe(now, endpoint)
        for endpoint in unresponsive:
            self._engine.report(now, "fell silent", server=endpoint.name)
        for endpoint in sorted(self._detector.suspects, key=lambda suspect: suspect.name):
            self.on_unresponsive(now, endpoint)
        self.schedule_check()

    # ---- Health checks for connections without responses
    def _check_connection(self, now: float, connection: Connection) -> None:
        """Check the health of an endpoint that owes responses and sent nothing for ``connections.silence_s``."""
        connection.response_timer_set = False
        silence_s = self._engine.settings.connections.silence_s
        sent_times = (attempt.sent_at for attempt in connection.in_flight.values() if attempt.sent_at is not None)
        oldest_sent_at = min(sent_times, default=None)
        if connection.state is ConnectionState.CLOSED or oldest_sent_at is None:
            return
        connection.response_timer_set = True
        silent_since = max(oldest_sent_at, connection.last_received_at)
        if silent_since + silence_s > now:
            self._engine.schedule(silent_since + silence_s, self._check_connection, connection)
            return
        self._engine.schedule(now + silence_s, self._check_connection, connection)
        endpoint = connection.endpoint
        if not endpoint.health_check_pending:
            self._engine.report(now, "silent", server=endpoint.name)
            self.check_health(endpoint)

    def check_health(self, endpoint: Endpoint) -> None:
        """Check an endpoint on a separate connection, unless such a check is already under way."""
        if not endpoint.health_check_pending:
            endpoint.health_check_pending = True
            self._engine.emit(CheckHealth(endpoint))
