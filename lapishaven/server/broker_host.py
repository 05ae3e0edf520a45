"""Builds the broker once a backend is up, and forwards the backends' events to it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from lapishaven.admission import Outcome, Settings
from lapishaven.attempt_log import AttemptLog
from lapishaven.core.broker import Broker
from lapishaven.core.contracts import Contracts
from lapishaven.core.peer_effects import PeerEffects
from lapishaven.core.ports import AttemptRecorder, DecisionListener, DurableResultStore, FleetMember
from lapishaven.counters import Counters
from lapishaven.net.loop import Loop
from lapishaven.server.earlier_runs import EarlierRuns
from lapishaven.server.running_config import RunningConfig

if TYPE_CHECKING:
    from lapishaven.frontends.load_endpoint import LoadEndpoint
    from lapishaven.pools import Pools
    from lapishaven.server.assembly import Backends

BYTES_PER_MB = 1024 * 1024


class BrokerHost:
    """Listens to the backends; ``broker`` is ``None`` until the first backend reports that it is up.

    ``connect`` must be called before the loop runs.
    """

    def __init__(
        self,
        loop: Loop,
        running: RunningConfig,
        counters: Counters,
        listener: DecisionListener,
        fleet: FleetMember | None,
        attempt_log: AttemptLog | None,
        result_store: DurableResultStore | None,
        peers: PeerEffects | None,
        log: Callable[[str], None],
    ) -> None:
        """``listener`` receives the controller's decisions that are not answers: health, idle timeout and remarks."""
        self.broker: Broker | None = None
        self.pools: Pools | None = None  # None if pools are not configured or the backend is not up yet
        self.result_store = result_store
        self._peers = peers
        self._loop = loop
        self._running = running
        self._counters = counters
        self._listener = listener
        self._fleet = fleet
        self.earlier_runs = EarlierRuns(attempt_log, loop, counters, log, self._earlier_runs_read)
        self.earlier_runs.read()

    def connect(
        self,
        backends: Backends,
        recorder: AttemptRecorder,
        load_endpoint: LoadEndpoint | None,
        started: Callable[[], None],
    ) -> None:
        """Set the collaborators that are built later; ``started`` is called once the broker exists."""
        self._backends = backends
        self._recorder = recorder
        self._load_endpoint = load_endpoint
        self._started = started

    # ---- Backend events
    def backend_up(self, cold: bool, up_for: float) -> None:
        """Build the broker, once; the backend has been up for ``up_for`` seconds and is slow at first if ``cold``."""
        if self.broker is not None:
            return
        settings = replace(self.core_settings(self._running.config.settings), slow_start=cold)
        self.earlier_runs.read()  # once more, as other processes may have run something since the start
        broker = self._build_broker(settings)
        self._remember_uncertain_effects(broker)
        self.broker = broker
        if self.earlier_runs.known:
            self._earlier_runs_read()
        self._started()
        if self._load_endpoint is not None:
            initial_share = settings.slow_start_initial_speed if cold else 1.0
            remaining_span = settings.slow_start_span - up_for if cold else 0.0
            self._load_endpoint.start_reporting(initial_share, remaining_span)

    def run_finished(self, attempt_id: str, outcome: Outcome, elapsed: float, result: bytes) -> None:
        """Forward the end of a run that took ``elapsed`` seconds."""
        if self._load_endpoint is not None:
            self._load_endpoint.run_ended(attempt_id, outcome)
        if self.broker is not None:
            self.broker.run_finished(attempt_id, outcome, elapsed, result)

    def load_sampled(self, gauges: dict[str, float]) -> None:
        """Forward a load sample: gauge values by name."""
        if self.broker is not None:
            self.broker.load_sampled(gauges)

    # ---- Building
    def core_settings(self, settings: Settings) -> Settings:
        """The settings as the core gets them: where a backend cannot resume runs, cancelling one ends it."""
        can_pause = all(driver.can_pause for driver in self._backends.by_name.values())
        if can_pause or settings.cancellation is None:
            return settings
        return replace(settings, cancellation="abort")

    def _build_broker(self, settings: Settings) -> Broker:
        config = self._running.config
        contracts = self._running.contracts
        return Broker(
            settings,
            seed=config.seed,
            backend=self._backends.primary,
            listener=self._listener,
            counters=self._counters,
            contracts=Contracts(contracts, self._fleet) if contracts is not None else None,
            routes=self._backends.by_name,
            recorder=self._recorder,
            memory=config.memory_mb * BYTES_PER_MB,
            pools=self._build_pools(settings),
            result_store=self.result_store,
            peers=self._peers,
            defers_keyed=not self.earlier_runs.known,
        )

    def _build_pools(self, settings: Settings) -> Pools | None:
        if self._running.pools is None:
            return None
        from lapishaven.pools import Pools

        self.pools = Pools(self._running.pools, settings, self._loop.now)
        return self.pools

    def _remember_uncertain_effects(self, broker: Broker) -> None:
        """Keep the broker from repeating effects that an earlier process may have run, as the result store has them."""
        for class_name, key, age in self.result_store.uncertain_effects() if self.result_store is not None else ():
            self._remember(broker, class_name, key, self._loop.now - age)

    def _earlier_runs_read(self) -> None:
        """Keep the broker, once it exists, from repeating what earlier processes started."""
        if self.broker is None:
            return
        for class_name, key, started_at in self.earlier_runs.effects():
            self._remember(self.broker, class_name, key, started_at)
        self.broker.earlier_runs_known(self._loop.now)

    def _remember(self, broker: Broker, class_name: str, key: str, started_at: float) -> None:
        class_index = self._running.classes.get(class_name)
        if class_index is not None:
            broker.remember_run(started_at, class_index, key)
