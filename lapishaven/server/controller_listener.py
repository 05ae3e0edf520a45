"""Carries what the controller decides apart from answers to the parts of the server."""

from __future__ import annotations

from collections.abc import Callable

from lapishaven.core.ports import FleetMember
from lapishaven.server.catalog_reporter import CatalogReporter
from lapishaven.server.client_connections import ClientConnections
from lapishaven.server.running_config import RunningConfig

DEFAULT_IDLE_TIMEOUT_S = 15.0  # for unused connections, where the settings name no time


class ControllerListener:
    """Publishes health to the service registry and the fleet, sets the idle timeout, and logs remarks."""

    def __init__(
        self,
        running: RunningConfig,
        reporter: CatalogReporter,
        callers: ClientConnections,
        fleet: FleetMember | None,
        log: Callable[[str], None],
    ) -> None:
        self.healthy = False  # what health checks are answered
        self._running = running
        self._reporter = reporter
        self._callers = callers
        self._fleet = fleet
        self._log = log

    def set_health(self, healthy: bool) -> None:
        """Answer health checks as healthy, or as unhealthy, from now on."""
        self.healthy = healthy
        self._reporter.set_passing(healthy)
        if self._fleet is not None:
            self._fleet.set_overloaded(not healthy)

    def set_idle_timeout(self, timeout: float) -> None:
        """Set for how many seconds an unused connection may stay open; 0 for the setting, or else the default."""
        self._callers.idle_timeout = timeout or self._running.config.settings.idle_timeout or DEFAULT_IDLE_TIMEOUT_S

    def log_remark(self, text: str) -> None:
        """Log a line for the operators."""
        self._log(f"remark: {text}")
