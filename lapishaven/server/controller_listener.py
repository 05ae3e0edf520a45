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

    def set_health(self, good: bool) -> None:
        """Whether health checks are to be answered as healthy from now on."""
        self.healthy = good
        self._reporter.tell(good)
        if self._fleet is not None:
            self._fleet.set_overloaded(not good)

    def set_idle_timeout(self, span: float) -> None:
        """Seconds for which an unused connection may stay open; 0 for that of the settings, or the default."""
        self._callers.idle = span or self._running.config.settings.idle_timeout or DEFAULT_IDLE_TIMEOUT_S

    def log_remark(self, text: str) -> None:
        """Log a line for the staff on call."""
        self._log(f"remark: {text}")
