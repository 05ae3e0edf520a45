"""Handles the events of connections: established, dial failed, response received, draining, lost."""

from __future__ import annotations

from lapishaven.client.actions import CancelRequest
from lapishaven.client.calls.attempt_results import AttemptResults
from lapishaven.client.calls.attempt_scheduler import AttemptScheduler
from lapishaven.client.calls.outlier_ejection import OutlierEjection
from lapishaven.client.calls.waiting_calls import WaitingCalls
from lapishaven.client.connections.connectivity import Connectivity
from lapishaven.client.endpoint_updates import EndpointUpdates
from lapishaven.client.engine import Engine
from lapishaven.client.health import EjectionState
from lapishaven.client.model import Attempt, Connection, ConnectionState, Endpoint
from lapishaven.client.outcomes import AttemptEnd, AttemptResult

IDLE_CLOSE_WINDOW_S = 0.3
"""A clean close within this time after the last response counts as a server's close of an idle connection.

Servers with many callers close idle connections this soon. The connections of a killed server close at any time; a
client with little traffic has rarely had a response just before, so it rarely mistakes such a close for an idle one."""


class ConnectionEvents:
    """Handles each event of a connection: first updates the connection and its endpoint, then its attempts."""

    def __init__(
        self,
        engine: Engine,
        connectivity: Connectivity,
        attempts: AttemptScheduler,
        waiting: WaitingCalls,
        results: AttemptResults,
        ejection: OutlierEjection,
        updates: EndpointUpdates,
    ) -> None:
        self._engine = engine
        self._table = connectivity.table
        self._dialer = connectivity.dialer
        self._idle_timeouts = connectivity.idle_timeouts
        self._prober = connectivity.prober
        self._attempts = attempts
        self._waiting = waiting
        self._results = results
        self._ejection = ejection
        self._updates = updates
        self._rules = engine.settings.connections

    # ---- Dials
    def connected(self, now: float, connection: Connection) -> None:
        """A dial succeeded."""
        if connection.state is not ConnectionState.DIALING:
            return
        table, endpoint = self._table, connection.endpoint
        connection.state = ConnectionState.READY
        connection.last_received_at = now
        connection.idle_since = now
        endpoint.lost_at = None
        if table.probes_connections:
            self._prober.probe_new_connection(now, connection)
        else:
            endpoint.last_heard_at = now
        table.membership.record_seen(now, endpoint.name)
        if endpoint.dial_failures:
            endpoint.slow_start_since = now  # it was unreachable or drained: probably a new process, which warms up
            endpoint.smoothed_latency = 0.0
            endpoint.dial_failures = 0
        if not table.is_tracked(endpoint) and not connection.in_flight:
            table.close_connection(connection)
            return
        self._send_pending(now, connection)
        self._idle_timeouts.connection_used(now, connection)
        if table.uses_aperture:
            self._dialer.ensure_connected(now)  # dials are made one at a time: plan the next
        self._waiting.endpoint_connected(now)

    def dial_failed(self, now: float, connection: Connection) -> None:
        """A dial failed; nothing was sent on the connection."""
        if connection.state is not ConnectionState.DIALING:
            return
        endpoint = connection.endpoint
        self._engine.report(now, "dial failed", server=endpoint.name)
        self._dialer.back_off(now, endpoint)
        endpoint.lost_at = now  # dialled less often, even if a stale list still shows it
        if self._table.membership.remove_doubted(endpoint.name):
            self._table.remove(endpoint.name)
            self._updates.update_tracked(now)
        self._lost(now, connection, clean=True)

    def _send_pending(self, now: float, connection: Connection) -> None:
        """Send the attempts that wait for a connection, or probe first if its endpoint has been silent."""
        endpoint = connection.endpoint
        if self._prober.must_probe_first(now, endpoint):
            if connection.in_flight and endpoint.outstanding_probe is None:
                self._prober.probe(now, endpoint)
                self._prober.schedule_check()
            return
        for attempt in [attempt for attempt in connection.in_flight.values() if attempt.sent_at is None]:
            if self._attempts.fits(now, attempt.call):
                self._attempts.send(now, attempt)
            else:
                result = AttemptResult(
                    AttemptEnd.UNREACHABLE,
                    text=f"nothing sent to {endpoint.name}: the dial left too little time before the deadline",
                )
                self._results.attempt_ended(now, attempt, result)
                self._table.close_connection(connection)

    # ---- Responses
    def response_received(self, now: float, connection: Connection, attempt_id: int, result: AttemptResult) -> None:
        """A response arrived. A response to an attempt that already ended is only counted."""
        self._prober.received(now, connection)
        attempt = connection.in_flight.get(attempt_id)
        if attempt is None:
            self._engine.report(now, "late answer", server=connection.endpoint.name)
            return
        self._table.membership.record_seen(now, connection.endpoint.name)
        if self._table.one_request_per_connection and connection in connection.endpoint.connections:
            connection.state = ConnectionState.CLOSED
            self._table.forget_connection(connection)
        self._results.attempt_ended(now, attempt, result)
        self._idle_timeouts.connection_used(now, connection)
        self._waiting.place_waiting(now)

    def probe_answered(self, now: float, connection: Connection) -> None:
        """An endpoint answered a probe on a connection. Whatever the answer, it is responsive."""
        self._prober.received(now, connection)
        for other in list(connection.endpoint.connections):
            if other.state is ConnectionState.READY:
                self._send_pending(now, other)
        self._waiting.place_waiting(now)

    def health_checked(self, now: float, endpoint: Endpoint, healthy: bool) -> None:
        """A health check on a separate connection ended. No answer within its timeout counts as unhealthy."""
        endpoint.health_check_pending = False
        self._engine.report(now, "probe good" if healthy else "probe bad", server=endpoint.name)
        if not self._table.is_tracked(endpoint):
            return
        if endpoint.health.state is EjectionState.PROBING:
            self._ejection.record_health_check(now, endpoint, healthy)
        elif not healthy:
            self._ejection.record_unresponsive(now, endpoint)
            self._close_silent_connections(now, endpoint)

    def _close_silent_connections(self, now: float, endpoint: Endpoint) -> None:
        """Close the connections that owe responses and received nothing for ``connections.silence_s``."""
        for connection in list(endpoint.connections):
            if not connection.in_flight or now - connection.last_received_at < self._rules.silence_s:
                continue
            for attempt in connection.in_flight.values():
                if attempt.sent_at is not None:
                    # Otherwise a stopped process that resumes would start the request before it reads the close.
                    self._engine.emit(CancelRequest(connection, attempt))
            self._table.close_connection(connection)
            self._lost(now, connection, clean=False)

    # ---- Ends of connections
    def draining(self, now: float, connection: Connection) -> None:
        """A server shuts down gracefully: no new attempts go there; those in flight are completed."""
        self._prober.received(now, connection)
        if connection.state is not ConnectionState.READY:
            return
        endpoint = connection.endpoint
        self._engine.report(now, "draining", server=endpoint.name)
        connection.state = ConnectionState.DRAINING
        if self._table.uses_aperture:
            # Dialled in the client's time slot once the list shows it again, so it needs no backoff.
            endpoint.lost_at = now if endpoint.lost_at is None else endpoint.lost_at
            endpoint.next_dial_at = now + self._rules.drain_s
            endpoint.dial_failures += 1  # so that it has a slow start when it is connected again
        else:
            self._dialer.back_off(now, endpoint)
            endpoint.next_dial_at += self._rules.drain_s
        if self._table.membership.remove_doubted(endpoint.name):
            self._table.remove(endpoint.name)
        self._idle_timeouts.connection_used(now, connection)
        self._dialer.ensure_connected(now)

    def closed(self, now: float, connection: Connection, clean: bool) -> None:
        """The peer closed the connection; ``clean`` unless it was reset or its data could not be parsed."""
        if connection.state is not ConnectionState.CLOSED:
            self._lost(now, connection, clean)

    def _lost(self, now: float, connection: Connection, clean: bool) -> None:
        endpoint = connection.endpoint
        attempts = list(connection.in_flight.values())
        self._prober.connection_lost(endpoint)
        idle_threshold_s = self._rules.crossing_quiet_s
        unread_ids = {
            attempt.id for attempt in attempts if connection.close_proves_unread(now, attempt, clean, idle_threshold_s)
        }
        recently_used = now - connection.idle_since <= IDLE_CLOSE_WINDOW_S
        was_ready = connection.state is ConnectionState.READY
        endpoint.closed_idle_connection = clean and recently_used and not attempts and was_ready
        connection.state = ConnectionState.CLOSED
        self._dialer.end_start(now)
        self._table.forget_connection(connection)
        if self._table.uses_aperture:
            self._record_loss(now, endpoint)
        if any(attempt.sent_at is not None and attempt.id not in unread_ids for attempt in attempts):
            self._ejection.record_failure(now, endpoint)
        for attempt in attempts:
            self._results.attempt_ended(now, attempt, _result_of_close(attempt, unread_ids))
        self._dialer.ensure_connected(now)
        self._waiting.place_waiting(now)

    def _record_loss(self, now: float, endpoint: Endpoint) -> None:
        """Delay the next dial until the endpoint list shows that the endpoint is back.

        This applies to a clean close of an idle connection too, as the sockets of a killed process close in the same
        way. If it was a server's idle timeout, the endpoint is dialled again after ``connections.away_s``, provided
        that the client still has calls.
        """
        if endpoint.lost_at is None:
            endpoint.lost_at = now
            if not self._engine.settings.catalog and endpoint.next_dial_at <= now:
                # A fixed list never shows a return: dial again after the first backoff delay, or sooner for a call
                # that waits while no endpoint is connected.
                spread_s = self._table.connection_manager.deploy_interval.spread_s(now)
                longest = max(self._rules.redial_s, spread_s)
                endpoint.next_dial_at = now + self._engine.random.uniform(0.0, longest)
        if self._table.membership.remove_doubted(endpoint.name):
            self._table.remove(endpoint.name)  # missing on the list, and now its connection is lost too


def _result_of_close(attempt: Attempt, unread_ids: set[int]) -> AttemptResult:
    if attempt.sent_at is None:
        return AttemptResult(AttemptEnd.UNREACHABLE, text=f"could not connect to {attempt.endpoint.name}")
    if attempt.id in unread_ids:
        return AttemptResult(
            AttemptEnd.CLOSE_RACE, text=f"request crossed the close of the connection by {attempt.endpoint.name}"
        )
    return AttemptResult(AttemptEnd.LOST, text=f"connection to {attempt.endpoint.name} was lost before the response")
