"""Ejects failing endpoints, and readmits them after a health check and a trial."""

from __future__ import annotations

from collections.abc import Callable

from lapishaven.client.connections.endpoint_table import EndpointTable
from lapishaven.client.connections.probing import Prober
from lapishaven.client.engine import Engine
from lapishaven.client.health import EjectionState
from lapishaven.client.model import Endpoint


def _ignore_capacity(now: float) -> None:
    """Do nothing: the default callback until the policy sets one."""


class OutlierEjection:
    """Passes the results of attempts and health checks to the outlier detector (``health.OutlierDetector``).

    ``on_capacity(now)`` is called when an ejected endpoint may take a trial request.
    """

    def __init__(self, engine: Engine, table: EndpointTable, prober: Prober) -> None:
        self._engine = engine
        self._table = table
        self._prober = prober
        self._outliers = table.outliers
        self.on_capacity: Callable[[float], None] = _ignore_capacity

    def record_success(self, now: float, endpoint: Endpoint) -> None:
        """Record an attempt that was served."""
        if self._outliers.record_success(endpoint.name, endpoint.health):
            endpoint.slow_start_since = now
            self._engine.report(now, "back in", server=endpoint.name)

    def record_rejection(self, endpoint: Endpoint) -> None:
        """Record an attempt that the endpoint rejected, or that failed without a fault of the endpoint."""
        self._outliers.record_rejection(endpoint.health)

    def record_failure(self, now: float, endpoint: Endpoint) -> None:
        """Record an attempt that failed by the endpoint's fault."""
        if self._table.is_tracked(endpoint) and self._outliers.record_failure(
            now, endpoint.name, endpoint.health, len(self._table.endpoints)
        ):
            self._ejected(now, endpoint)

    def record_health_check(self, now: float, endpoint: Endpoint, healthy: bool) -> None:
        """Record the result of the health check after an ejection."""
        self._outliers.record_health_check(now, endpoint.name, endpoint.health, healthy)
        if healthy:
            self.on_capacity(now)
        else:
            self._ejected(now, endpoint)

    def record_unresponsive(self, now: float, endpoint: Endpoint) -> None:
        """Record a failed health check of an endpoint that owes responses."""
        if self._outliers.record_unresponsive(now, endpoint.name, endpoint.health, len(self._table.endpoints)):
            self._ejected(now, endpoint)

    def _ejected(self, now: float, endpoint: Endpoint) -> None:
        self._engine.report(now, "left out", server=endpoint.name, span=endpoint.health.ejected_until - now)
        self._engine.schedule(endpoint.health.ejected_until, self._ejection_over, endpoint)

    def _ejection_over(self, now: float, endpoint: Endpoint) -> None:
        if not self._table.is_tracked(endpoint) or not self._outliers.end_ejection(now, endpoint.health):
            return
        if endpoint.health.state is EjectionState.PROBING:
            self._prober.check_health(endpoint)
        else:
            self.on_capacity(now)
