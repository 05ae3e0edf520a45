"""Logs the counters together with the figures that other components keep themselves."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from lapishaven.core.ports import FleetMember
from lapishaven.counters import Counters
from lapishaven.net.loop import Loop
from lapishaven.server.assembly import Backends
from lapishaven.server.broker_host import BrokerHost


class CounterReport:
    """Collects the figures of all components into the counters and logs them."""

    def __init__(
        self,
        counters: Counters,
        loop: Loop,
        core: BrokerHost,
        backends: Backends,
        fleet: FleetMember | None,
        log: Callable[[str], None],
    ) -> None:
        self._counters = counters
        self._loop = loop
        self._core = core
        self._backends = backends
        self._fleet = fleet
        self._log = log

    def log_counters(self) -> None:
        """Log all counters as one line of JSON."""
        self._collect()
        self._log(self._counters.line())

    def _collect(self) -> None:
        """Set the counter groups that are read from components instead of being counted event by event."""
        groups = self._counters.groups
        groups["bytes"] = Counter(received=self._loop.received, sent=self._loop.sent)
        if self._core.broker is not None:
            groups["estimates"] = Counter(probes=self._core.broker.controller.rules.probes.begun)
        if self._core.pools is not None:
            groups["pools"] = Counter(self._core.pools.state())
        if self._core.result_store is not None:
            groups[self._core.result_store.label] = Counter(self._core.result_store.state())
        if self._backends.load_balanced is not None:
            groups["spread choices"] = Counter(self._backends.load_balanced.balancer.counts)
        if self._fleet is not None:
            groups["ownership"] = Counter(self._fleet.state())
