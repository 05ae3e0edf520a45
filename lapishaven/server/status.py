"""Provides the admin server with readiness, metrics and the state of the load-balanced endpoints."""

from __future__ import annotations

from typing import Any

from lapishaven.admin.metrics import render
from lapishaven.core.ports import FleetMember
from lapishaven.counters import Counters
from lapishaven.server.assembly import Backends
from lapishaven.server.broker_host import BrokerHost
from lapishaven.server.graceful_shutdown import GracefulShutdown
from lapishaven.server.running_config import RunningConfig


class ServerStatus:
    """The data source of the admin server."""

    def __init__(
        self,
        running: RunningConfig,
        core: BrokerHost,
        backends: Backends,
        shutdown: GracefulShutdown,
        fleet: FleetMember | None,
        counters: Counters,
    ) -> None:
        self._running = running
        self._core = core
        self._backends = backends
        self._shutdown = shutdown
        self._fleet = fleet
        self._counters = counters

    def ready(self) -> bool:
        """Whether the backend is up and no shutdown notice has been received."""
        return self._core.broker is not None and not self._shutdown.requested

    def metrics(self) -> bytes:
        """The metrics in the Prometheus text format."""
        broker = self._core.broker
        return render(
            self._counters,
            self._running.classes,
            open_requests=len(broker.requests) if broker is not None else 0,
            ready=self.ready(),
            fleet=self._fleet.state() if self._fleet is not None else None,
            spread=self.spread_state(),
        )

    def spread_state(self) -> dict[str, Any] | None:
        """The state of each load-balanced endpoint; ``None`` without a load-balanced backend."""
        load_balanced = self._backends.load_balanced
        return load_balanced.state() if load_balanced is not None else None
