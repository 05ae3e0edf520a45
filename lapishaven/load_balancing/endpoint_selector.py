"""Which endpoint gets a request.

Power of d choices (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001): a few endpoints drawn
at random are compared by cost and the lowest is taken, so that balancers with the same view do not form a herd.
"""

from __future__ import annotations

from collections import deque
from random import Random

from lapishaven.load_balancing.choice import Choice, RecentChoice
from lapishaven.load_balancing.endpoint_state import EndpointState
from lapishaven.load_balancing.endpoint_table import EndpointTable
from lapishaven.load_balancing.failure_detector import FailureDetector
from lapishaven.load_balancing.fleet_averages import FleetAverages
from lapishaven.load_balancing.rules import BalancingRules

MAX_REDRAWS = 8  # draws that may meet an unusable endpoint before all are looked through
RECENT_CHOICES = 32  # kept for operators


class EndpointSelector:
    """Draws candidates, and picks among them."""

    def __init__(
        self,
        rules: BalancingRules,
        random: Random,
        endpoints: EndpointTable,
        averages: FleetAverages,
        failure_detector: FailureDetector[EndpointState],
    ) -> None:
        self._rules = rules
        self._random = random
        self._endpoints = endpoints
        self._averages = averages
        self._failure_detector = failure_detector
        self.recent: deque[RecentChoice] = deque(maxlen=RECENT_CHOICES)

    def is_usable(self, now: float, endpoint: EndpointState) -> bool:
        """Whether a request may be sent there now."""
        return endpoint.accepts_requests(now) and endpoint not in self._failure_detector.suspects

    def cost(self, now: float, endpoint: EndpointState) -> float:
        """The cost of one more request there (``queueing_cost``)."""
        averages = self._averages
        return endpoint.cost(now, averages.load_per_slot, averages.speed, averages.request_s, self._rules)

    def usable(self, now: float, names: list[str]) -> list[EndpointState]:
        """Those of the endpoints that are there and usable."""
        found = []
        for name in names:
            state = self._endpoints.state_of(name)
            if state is not None and self.is_usable(now, state):
                found.append(state)
        return found

    def sample(self, now: float, excluded: frozenset[str], drawn: set[str]) -> EndpointState | None:
        """A usable endpoint at random that is in neither set; ``None`` if there is none."""
        for _ in range(MAX_REDRAWS if len(self._endpoints) else 0):
            name = self._endpoints.sample(self._random)
            if name in drawn or name in excluded:
                continue
            state = self._endpoints.state_of(name)
            if state is not None and self.is_usable(now, state):
                return state
        remaining = [name for name in self._endpoints.names() if name not in drawn and name not in excluded]
        candidates = self.usable(now, remaining)
        return self._random.choice(candidates) if candidates else None

    def least_cost(self, now: float, candidates: list[EndpointState]) -> EndpointState:
        """The candidate with the lowest cost; ties are broken at random."""
        costs = [(state.name, self.cost(now, state)) for state in candidates]
        best = min(range(len(candidates)), key=lambda place: (costs[place][1], self._random.random()))
        self.recent.append(RecentChoice(now, candidates[best].name, costs))
        return candidates[best]

    def drop_warming_up(self, candidates: list[EndpointState], probed: int) -> list[EndpointState]:
        """Keep an endpoint in slow start with the probability of its desired share.

        Such an endpoint looks idle to every balancer at once. Left to chance by each, it gets at most the share that it
        asks for from all together, however often it has the lowest cost of the ``probed`` ones. Shares count against
        the largest among the candidates, so that a fleet that starts together serves.
        """
        largest = max(state.desired_share() for state in candidates)
        admitted = []
        for state in candidates:
            share = state.desired_share()
            if share >= largest or self._random.random() < share / largest / max(1, probed):
                admitted.append(state)
        return admitted or candidates

    def without_reports(self, now: float, choice: Choice) -> EndpointState | None:
        """The choice when no answer came in time: the better of the probed ones by what is known, else any."""
        probed = self.usable(now, [probe.endpoint for probe in choice.probes])
        if not probed:
            return self.sample(now, choice.excluded, set())
        return self.least_cost(now, probed)
