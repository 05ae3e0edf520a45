"""A backend that balances attempts over several uwsgi endpoints, as the ``LoadBalancer`` chooses.

An attempt that was rejected or could not be sent is retried at another endpoint, within its deadline and the retry
budget. An attempt at an unresponsive endpoint is retried as well if the request is idempotent; otherwise it fails with
an uncertain outcome. A failed attempt is not retried. Each attempt has its own connection.
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
    """A load-balanced core backend. It cannot pause a run: pausing closes its connection.

    Parameters:
        loop: the event loop.
        settings: endpoints and limits.
        cores: total number of cores of all endpoints, from which their utilization is estimated.
        listener: receives the ends of runs and load samples.
        counters: for operators.
        random: seeded differently in each server, so that servers with the same load data choose differently.
        dial: opens connections.
    """

    can_pause = False

    def __init__(
        self,
        loop: Loop,
        settings: BalancingSettings,
        cores: int,
        listener: BackendListener,
        counters: Counters,
        random: Random,
        dial: Dial = connect,
    ) -> None:
        self.loop = loop
        self.settings = settings
        self.cores = cores
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
        """Report that the backend is up immediately, as there is no persistent connection."""
        self.listener.backend_up(False, 0.0)
        return
        yield

    def set_addresses(self, addresses: Sequence[tuple[str, int]]) -> None:
        """Replace the endpoints; attempts in flight at removed ones continue."""
        self._addresses.update({f"{host}:{port}": (host, port) for host, port in addresses})
        self.balancer.set_endpoints(f"{host}:{port}" for host, port in addresses)

    def change_address(self, address: tuple[str, int]) -> None:
        """Make this the only endpoint, for a reload that gives one address instead of a list."""
        self.set_addresses((address,))

    # ---- Commands
    def start(self, attempt_id: str, class_name: str, body: bytes, at_most_once: bool, time_limit_s: float) -> None:
        """Run a request; ``at_most_once`` if it is not idempotent."""
        now = self.loop.now
        self._dispatcher.dispatch(BalancedRun(attempt_id, class_name, body, at_most_once, now, now + time_limit_s))

    def pause(self, attempt_id: str) -> None:
        """Cancel a run by closing its connection."""
        run = self._dispatcher.runs.get(attempt_id)
        if run is None:
            return
        run.cancelled = True
        if run.connection is not None:
            run.connection.close(ConnectionEnd.ABANDONED, unsent=False)

    def resume(self, attempt_id: str) -> None:
        """End the run as cancelled unless it has ended, as it cannot be continued."""
        run = self._dispatcher.runs.get(attempt_id)
        if run is not None:
            self._dispatcher.finish(run, Outcome.CANCELLED)

    def request_load_sample(self) -> None:
        """Deliver a load sample estimated from the runs in flight, assuming that each uses one core."""
        in_flight = len(self._dispatcher.runs)
        values = {
            "core_use": min(1.0, in_flight / self.cores),
            "on_cores": float(in_flight),
            "links": float(in_flight),
        }
        self.loop.at(self.loop.now + SAMPLE_DELAY_S, lambda: self.listener.load_sampled(values))

    def health_check(self, callback: Callable[[bool], None]) -> None:
        """Check whether the endpoint that the balancer would choose accepts a connection."""
        self.loop.spawn(self._check_reachable(callback))

    def _check_reachable(self, callback: Callable[[bool], None]) -> Generator[Wait, Any, None]:
        choice = self.balancer.begin_choice(self.loop.now, first=False)
        endpoint = self.balancer.finish_choice(self.loop.now, choice)
        sock: Any = ConnectionEnd.UNREACHED
        if endpoint is not None:
            sock = yield from self._dial(self.loop, self._addresses[endpoint], DIAL_TIMEOUT_S)
        reached = not isinstance(sock, ConnectionEnd)
        if reached:
            sock.close()
        callback(reached)

    # ---- State for operators, and closing
    def state(self) -> dict[str, Any]:
        """The state of each endpoint, the latest choices with their candidates' costs, and the counts."""
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
                    "costs": {endpoint: round(cost, 4) for endpoint, cost in choice.costs},
                }
                for choice in balancer.selector.recent
            ],
        }

    def failed(self) -> None:
        """Do nothing: there is no persistent connection to release."""

    def close(self) -> None:
        """Abort all runs in flight."""
        self._dispatcher.close()
