"""Which endpoints accept a request now, and when the next one will."""

from __future__ import annotations

from lapishaven.client.connections.dial_budget import DialBudget
from lapishaven.client.connections.endpoint_table import EndpointTable
from lapishaven.client.model import Endpoint
from lapishaven.client.settings import Settings
from lapishaven.client.traffic import Traffic


class Availability:
    """Combines all reasons not to use an endpoint: listed health, Retry-After, ejection, suspicion and capacity."""

    def __init__(self, settings: Settings, table: EndpointTable, traffic: Traffic, dial_budget: DialBudget) -> None:
        self._settings = settings
        self._table = table
        self._traffic = traffic
        self._dial_budget = dial_budget
        self._open_limit = settings.connections.open_limit

    def accepts(self, now: float, endpoint: Endpoint) -> bool:
        """Whether a request may go to an endpoint now."""
        if not self._table.passes_health_checks(endpoint) or not endpoint.health.accepts_requests(now):
            return False
        if endpoint in self._table.failure_detector.suspects:
            return False
        if self._table.one_request_per_connection:
            return endpoint.next_dial_at <= now and endpoint.in_flight < self._open_limit
        return endpoint.least_loaded_connection(self._open_limit) is not None

    def candidates(self, now: float, excluded_name: str | None = None) -> list[Endpoint]:
        """Return the endpoints that accept a request now, except the one named ``excluded_name``."""
        return [
            endpoint
            for endpoint in self._table.endpoints.values()
            if endpoint.name != excluded_name and self.accepts(now, endpoint)
        ]

    def next_available_at(self, now: float) -> float:
        """Return when some endpoint is expected to accept a request; with none known, the next poll of the list."""
        table, calls_per_s = self._table, self._traffic.first_attempt_rate.per_second(now)
        any_connected = table.any_connected
        dial_at = self._dial_budget.available_at(now, calls_per_s, not any_connected)
        times = [
            max(
                endpoint.health.available_at(now),
                now if endpoint.usable_connections else max(endpoint.next_dial_at, dial_at),
            )
            for endpoint in table.endpoints.values()
            if table.passes_health_checks(endpoint) and endpoint.suspected_since is None
        ]
        if table.uses_aperture and not table.one_request_per_connection and not any_connected:
            # With nothing connected, a waiting call may use any endpoint, including those not tracked yet.
            planned = table.connection_manager.next_urgent_dial(now)
            if planned is not None:
                times.append(max(planned.at, dial_at))
        return max(now, min(times, default=now + self._settings.catalog_rules.poll_s))
