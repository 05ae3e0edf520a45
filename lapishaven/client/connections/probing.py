"""Probes: finds endpoints that take connections and requests and answer nothing (failure detection)."""

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
    """The callback until the policy sets one."""


class Prober:
    """Probes on open connections (``settings.health.watch_s``) and health checks for silent ones.

    ``on_unresponsive(now, endpoint)`` is called for each endpoint that is suspected, at every check.
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
        """Whether nothing was received from an endpoint for so long that it is probed before a request goes there."""
        return self._table.probes_connections and now - endpoint.last_heard_at > self._engine.settings.health.fresh_s

    def probe(self, now: float, endpoint: Endpoint) -> None:
        """Probe on the connection that has been quiet longest; without a connection there is nothing to learn."""
        established = (ConnectionState.READY, ConnectionState.DRAINING)
        connections = [each for each in endpoint.connections if each.state in established]
        if not connections:
            endpoint.outstanding_probe = None
            return
        self._send_probe(now, min(connections, key=lambda connection: connection.last_received_at))

    def probe_new_connection(self, now: float, connection: Connection) -> None:
        """Probe on a connection that was just made.

        That the kernel accepted it says nothing of the process. And servers close a connection on which no whole
        message was sent for 2 s: one that is kept for later calls would be dialled in vain.
        """
        self._send_probe(now, connection)
        self.schedule_check()

    def _send_probe(self, now: float, connection: Connection) -> None:
        self._detector.probe_sent(now, connection.endpoint)
        self._engine.report(now, "ask", server=connection.endpoint.name)
        self._engine.emit(SendProbe(connection))

    def request_sent(self, now: float, connection: Connection) -> None:
        """Watch for the response to a request."""
        if self._table.probes_connections:
            self._detector.request_sent(now, connection.endpoint)
            self.schedule_check()
        if not connection.response_timer_set and not self._table.one_request_per_connection:
            connection.response_timer_set = True
            silence_s = self._engine.settings.connections.silence_s
            self._engine.schedule(now + silence_s, self._check_connection, connection)

    def received(self, now: float, connection: Connection) -> None:
        """Anything arrived from an endpoint."""
        endpoint = connection.endpoint
        connection.last_received_at = endpoint.last_heard_at = now
        if connection.replaces_idle_close:
            connection.replaces_idle_close = False
            self._dial_budget.refund()
        if self._table.probes_connections and self._detector.response_received(endpoint):
            self._engine.report(now, "speaks again", server=endpoint.name)

    def connection_lost(self, endpoint: Endpoint) -> None:
        """What is known of an endpoint's responsiveness ends with its last connection."""
        if self._table.probes_connections and len(endpoint.connections) <= 1:
            self._detector.forget(endpoint)

    # ---- Checks
    def schedule_check(self) -> None:
        """Check when the failure detector next has something to do."""
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
        sent_times = (each.sent_at for each in connection.in_flight.values() if each.sent_at is not None)
        oldest = min(sent_times, default=None)
        if connection.state is ConnectionState.CLOSED or oldest is None:
            return
        connection.response_timer_set = True
        quiet_since = max(oldest, connection.last_received_at)
        if quiet_since + silence_s > now:
            self._engine.schedule(quiet_since + silence_s, self._check_connection, connection)
            return
        self._engine.schedule(now + silence_s, self._check_connection, connection)
        endpoint = connection.endpoint
        if not endpoint.health_check_pending:
            self._engine.report(now, "silent", server=endpoint.name)
            self.check_health(endpoint)

    def check_health(self, endpoint: Endpoint) -> None:
        """Check an endpoint on a connection of its own, unless such a check is under way."""
        if not endpoint.health_check_pending:
            endpoint.health_check_pending = True
            self._engine.emit(CheckHealth(endpoint))
