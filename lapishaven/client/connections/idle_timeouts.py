"""Closes idle connections."""

from __future__ import annotations

from lapishaven.client.connections.dial_budget import connections_wanted
from lapishaven.client.connections.endpoint_table import EndpointTable
from lapishaven.client.engine import Engine
from lapishaven.client.model import Connection, ConnectionState
from lapishaven.client.traffic import Traffic


class IdleTimeouts:
    """One timer for each idle connection (``settings.connections.idle_s``)."""

    def __init__(self, engine: Engine, table: EndpointTable, traffic: Traffic) -> None:
        self._engine = engine
        self._table = table
        self._traffic = traffic
        self._rules = engine.settings.connections

    def connection_used(self, now: float, connection: Connection) -> None:
        """Close a draining connection without attempts; start the idle timer of another connection without any."""
        if connection.in_flight or connection.state in (ConnectionState.CLOSED, ConnectionState.DIALING):
            return
        if connection.state is ConnectionState.DRAINING:
            self._table.close_connection(connection)
        elif not connection.idle_timer_set and not self._table.one_request_per_connection:
            self._set_timer(connection, now + self._rules.idle_s)

    def _set_timer(self, connection: Connection, when: float) -> None:
        connection.idle_timer_set = True
        self._engine.schedule(when, self._timer_due, connection)

    def _timer_due(self, now: float, connection: Connection) -> None:
        connection.idle_timer_set = False
        if connection.state is not ConnectionState.READY or connection.in_flight:
            return
        if self._table.uses_aperture:
            close_at = self._close_at_in_window(connection)
        else:
            close_at = self._close_at_in_subset(now, connection)
        if close_at > now:
            self._set_timer(connection, close_at)
            return
        self._engine.report(now, "idle close", server=connection.endpoint.name)
        self._table.close_connection(connection)

    def _close_at_in_window(self, connection: Connection) -> float:
        """Return when to close: the last connection to an endpoint of the window stays while the client has calls."""
        idle_limit = connection.idle_since + self._rules.idle_s
        endpoint = connection.endpoint
        if self._table.connection_manager.keep_connected(endpoint.name) and endpoint.usable_connections == 1:
            return max(idle_limit, self._traffic.last_call_at + self._traffic.keep_connected_s)
        return idle_limit

    def _close_at_in_subset(self, now: float, connection: Connection) -> float:
        """Return when to close: as many endpoints stay connected as the traffic needs, to avoid dialling again."""
        table, endpoint = self._table, connection.endpoint
        usable = sum(other.usable_connections > 0 for other in table.endpoints.values())
        calls_per_s = self._traffic.first_attempt_rate.per_second(now)
        surplus = usable > connections_wanted(self._rules, calls_per_s, len(table.endpoints))
        keep = endpoint.usable_connections == 1 and not surplus and table.is_tracked(endpoint)
        return max(connection.idle_since, self._traffic.last_call_at if keep else 0.0) + self._rules.idle_s
