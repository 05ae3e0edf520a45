"""Applies the admission controller's decisions on health, idle timeout and remarks to the server."""

from __future__ import annotations

from collections.abc import Callable

from lapishaven.core.ports import FleetMember
from lapishaven.server.catalog_reporter import CatalogReporter
from lapishaven.server.client_connections import ClientConnections
from lapishaven.server.running_config import RunningConfig

DEFAULT_IDLE_TIMEOUT_S = 15.0  # for connections without open requests, if the settings give none


class ControllerListener:
    """Publishes health to the service registry and the fleet, sets the idle timeout and logs remarks."""

    def __init__(
        self,
        running: RunningConfig,
        reporter: CatalogReporter,
        callers: ClientConnections,
        fleet: FleetMember | None,
        log: Callable[[str], None],
    ) -> None:
        self.healthy = False  # the answer to health checks
        self._running = running
        self._reporter = reporter
        self._callers = callers
        self._fleet = fleet
        self._log = log

    def set_health(self, healthy: bool) -> None:
        """Set the answer to health checks, and publish it to the registry and the fleet."""
        self.healthy = healthy
        self._reporter.set_passing(healthy)
        if self._fleet is not None:
            self._fleet.set_overloaded(not healthy)

    def set_idle_timeout(self, timeout: float) -> None:
        """Set the idle timeout in seconds; 0 selects the configured one, or the default if none is configured."""
        self._callers.idle_timeout = timeout or self._running.config.settings.idle_timeout or DEFAULT_IDLE_TIMEOUT_S

    def log_remark(self, text: str) -> None:
        """Log a remark of the admission controller."""
        self._log(f"admission controller: {text}")
