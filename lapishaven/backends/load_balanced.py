"""A backend of many endpoints behind the uwsgi protocol: each attempt goes where the ``LoadBalancer`` says.

An attempt that was rejected or could not be sent is retried at another endpoint, within its deadline and the retry
budget. One that waits on an unresponsive endpoint is retried too if the request is idempotent, else it fails with an
uncertain outcome. One that failed is not retried. Each attempt has a connection of its own.
"""

from __future__ import annotations

from collections.abc import Callable, Generator, Sequence
from random import Random
from typing import Any

from lapishaven.admission import Outcome
from lapishaven.backends import BackendListener
from lapishaven.backends.balanced_run import BalancedRun
from lapishaven.backends.run_dispatcher import RunDispatcher
from lapishaven.backends.uwsgi import DIAL_TIMEOUT_S, SAMPLE_DELAY_S
from lapishaven.connection_end import ConnectionEnd
from lapishaven.counters import Counters
from lapishaven.load_balancing import LoadBalancer
from lapishaven.load_balancing.settings import BalancingSettings
from lapishaven.net.connection import Dial, connect
from lapishaven.net.loop import Loop, Wait


class LoadBalancedBackend:
    """A core backend. It cannot pause: to pause a run is to close its connection.

    Parameters:
        loop: the event loop.
        settings: endpoints and limits.
        cores: number of cores of all endpoints together, from which their utilization is estimated.
        deadlines: seconds by class.
        listener: is notified of results.
        counters: for operators.
        random: seeded differently in each server, so that servers with the same view choose differently.
        dial: opens connections.
    """

    def __init__(
        self,
        loop: Loop,
        settings: BalancingSettings,
        cores: int,
        deadlines: dict[str, float],
        listener: BackendListener,
        counters: Counters,
        random: Random,
        dial: Dial = connect,
    ) -> None:
        self.loop = loop
        self.settings = settings
        self.cores = cores
        self.deadlines = deadlines
        self.listener = listener
        self.counters = counters
        self._dial = dial
        self.balancer = LoadBalancer(settings.rules, random)
        self._addresses: dict[str, tuple[str, int]] = {}
        self._dispatcher = RunDispatcher(
            loop, self.balancer, self._addresses, settings, listener.run_finished, counters, dial
        )
        self.set_addresses(settings.addresses)

    def run(self) -> Generator[Wait, Any, None]:
        """There is no connection to hold: the backend is up at once."""
        self.listener.backend_up(False, 0.0)
        return
        yield

    def set_addresses(self, addresses: Sequence[tuple[str, int]]) -> None:
        """Make these the endpoints; what is in flight at others goes on."""
        self._addresses.update({f"{host}:{port}": (host, port) for host, port in addresses})
        self.balancer.set_endpoints(f"{host}:{port}" for host, port in addresses)

    def change_address(self, address: tuple[str, int]) -> None:
        """Make this the only endpoint: a reload named one address and no list."""
        self.set_addresses((address,))

    # ---- The core's port
    def start(self, attempt_id: str, class_name: str, body: bytes, send_once: bool) -> None:
        """Run a request; ``once``: it is not idempotent."""
        now = self.loop.now
        self._dispatcher.dispatch(
            BalancedRun(attempt_id, class_name, body, send_once, now, now + self.deadlines[class_name])
        )

    def pause(self, attempt_id: str) -> None:
        """Cancel a run."""
        run = self._dispatcher.runs.get(attempt_id)
        if run is None:
            return
        run.cancelled = True
        if run.connection is not None:
            run.connection.close(ConnectionEnd.ABANDONED, unsent=False)

    def resume(self, attempt_id: str) -> None:
        """There is nothing to go on with: the run ended when it was paused."""
        run = self._dispatcher.runs.get(attempt_id)
        if run is not None:
            self._dispatcher.finish(run, Outcome.CANCELLED)

    def request_load_sample(self) -> None:
        """Publish what this side can see: each run in flight uses a core of the endpoints."""
        in_flight = len(self._dispatcher.runs)
        values = {
            "core_use": min(1.0, in_flight / self.cores),
            "on_cores": float(in_flight),
            "links": float(in_flight),
        }
        self.loop.at(self.loop.now + SAMPLE_DELAY_S, lambda: self.listener.load_sampled(values))

    def health_check(self, callback: Callable[[bool], None]) -> None:
        """Find out whether any endpoint can be reached."""
        self.loop.spawn(self._dial_any(callback))

    def _dial_any(self, callback: Callable[[bool], None]) -> Generator[Wait, Any, None]:
        choice = self.balancer.begin_choice(self.loop.now, first=False)
        name = self.balancer.finish_choice(self.loop.now, choice)
        sock: Any = ConnectionEnd.UNREACHED
        if name is not None:
            sock = yield from self._dial(self.loop, self._addresses[name], DIAL_TIMEOUT_S)
        reached = not isinstance(sock, ConnectionEnd)
        if reached:
            sock.close()
        callback(reached)

    # ---- For operators, and the end
    def state(self) -> dict[str, Any]:
        """What is known of each endpoint, the candidates of the last choices, and the counts."""
        now = self.loop.now
        balancer = self.balancer
        return {
            "processes": balancer.describe_endpoints(now),
            "counts": dict(balancer.counts),
            "usual_s": round(balancer.averages.request_s, 4),
            "mean_in_hand": round(balancer.averages.load_per_slot, 3),
            "panics": balancer.failure_detector.panics,
            "last": [
                {
                    "ago_s": round(now - choice.at, 3),
                    "chosen": choice.endpoint,
                    "costs": {name: round(cost, 4) for name, cost in choice.costs},
                }
                for choice in balancer.selector.recent
            ],
        }

    def failed(self) -> None:
        """There is no connection that could be left behind."""

    def close(self) -> None:
        """End for good."""
        self._dispatcher.close()
