"""Selects the endpoint for a request.

Power of d choices (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001): of a few endpoints
sampled at random the one with the lowest cost is chosen. The random sample keeps balancers with the same load data from
all choosing the same endpoint (herding).
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

MAX_SAMPLES = 8  # random samples that are tried for a usable endpoint before all endpoints are scanned
RECENT_CHOICES = 32  # number of choices kept for operators


class EndpointSelector:
    """Samples candidates and selects among them.

    ``recent``: the latest choices that were made by comparing costs, for operators.
    """

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
        """Whether a request may be sent to the endpoint now."""
        return endpoint.accepts_requests(now) and endpoint not in self._failure_detector.suspects

    def cost(self, now: float, endpoint: EndpointState) -> float:
        """Return the cost of one more request at the endpoint (``queueing_cost``)."""
        averages = self._averages
        return endpoint.cost(now, averages.load_per_slot, averages.speed, averages.request_s, self._rules)

    def filter_usable(self, now: float, names: list[str]) -> list[EndpointState]:
        """Return the named endpoints that still exist and are usable."""
        usable = []
        for name in names:
            state = self._endpoints.state_of(name)
            if state is not None and self.is_usable(now, state):
                usable.append(state)
        return usable

    def sample(self, now: float, excluded: frozenset[str], sampled: set[str]) -> EndpointState | None:
        """Return a random usable endpoint that is in neither set; ``None`` if there is none."""
        for _ in range(MAX_SAMPLES if len(self._endpoints) else 0):
            name = self._endpoints.sample(self._random)
            if name in sampled or name in excluded:
                continue
            state = self._endpoints.state_of(name)
            if state is not None and self.is_usable(now, state):
                return state
        remaining = [name for name in self._endpoints.names() if name not in sampled and name not in excluded]
        candidates = self.filter_usable(now, remaining)
        return self._random.choice(candidates) if candidates else None

    def choose_least_cost(self, now: float, candidates: list[EndpointState]) -> EndpointState:
        """Return the candidate with the lowest cost, with ties broken at random, and record the choice."""
        costs = [(state.name, self.cost(now, state)) for state in candidates]
        best = min(range(len(candidates)), key=lambda index: (costs[index][1], self._random.random()))
        self.recent.append(RecentChoice(now, candidates[best].name, costs))
        return candidates[best]

    def limit_slow_start(self, candidates: list[EndpointState], probe_count: int) -> list[EndpointState]:
        """Drop candidates in slow start at random, so that each gets at most about its desired share of the requests.

        An endpoint in slow start looks idle to all balancers at the same time and would often have the lowest cost. It
        is probed for about ``probe_count`` times its fair share of the choices. If each balancer keeps it with a
        probability of its desired share divided by ``probe_count``, it gets at most its desired share from all
        balancers together even if it always has the lowest cost. Shares are relative to the largest one among the
        candidates, so that a fleet whose endpoints all start at the same time still serves. An endpoint whose desired
        share is reduced because its runs fail is treated in the same way.
        """
        largest = max(state.desired_share() for state in candidates)
        admitted = []
        for state in candidates:
            share = state.desired_share()
            if share >= largest or self._random.random() < share / largest / max(1, probe_count):
                admitted.append(state)
        return admitted or candidates

    def choose_without_reports(self, now: float, choice: Choice) -> EndpointState | None:
        """Choose when there is no candidate with a load report, from a probe answer in time or from the cache.

        Returns the usable probed endpoint with the lowest estimated cost, or else a random usable one, if any.
        """
        probed = self.filter_usable(now, [probe.endpoint for probe in choice.probes])
        if not probed:
            return self.sample(now, choice.excluded, set())
        return self.choose_least_cost(now, probed)
