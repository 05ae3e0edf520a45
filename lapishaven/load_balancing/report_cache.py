"""A small cache of recent load reports, so that each choice compares more endpoints than it probes.

The cache follows Wydler et al., "Load is not what you should balance: Introducing Prequal" (NSDI 2024): a report is
used a limited number of times and expires with age; from a full cache, either the oldest or the most costly entry is
evicted.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from lapishaven.load_balancing.endpoint_state import EndpointState
from lapishaven.load_balancing.rules import BalancingRules

# An endpoint that asks for less is not cached, because it looks idle to every balancer at the same time.
FULL_SHARE = 1.0
Cost = Callable[[float, EndpointState], float]


class ReportCache:
    """Endpoints that may be chosen by their last report, without a probe.

    ``cost``: returns the cost of one more request at an endpoint.
    """

    def __init__(self, rules: BalancingRules, random: Random, cost: Cost) -> None:
        self._rules = rules
        self._random = random
        self._cost = cost
        self._entries: dict[EndpointState, None] = {}  # a dict as an ordered set: oldest report first

    def add(self, now: float, endpoint: EndpointState) -> None:
        """Add an endpoint that has a new report, or renew its entry."""
        self._entries.pop(endpoint, None)
        assert endpoint.report is not None
        if not self._rules.cached_reports or endpoint.report.desired_share < FULL_SHARE:
            return
        endpoint.report_uses_left = self._rules.report_uses
        self._entries[endpoint] = None
        if len(self._entries) > self._rules.cached_reports:
            self._evict(now)

    def _evict(self, now: float) -> None:
        """Evict the oldest or the most costly entry, each with probability 1/2.

        Evicting by cost alone would keep entries that have a low cost but are never chosen.
        """
        if self._random.random() < 0.5:
            del self._entries[next(iter(self._entries))]
            return
        most_costly = max(self._entries, key=lambda endpoint: self._cost(now, endpoint))
        del self._entries[most_costly]

    def least_cost(
        self, now: float, excluded: frozenset[str], is_usable: Callable[[float, EndpointState], bool]
    ) -> EndpointState | None:
        """Return the usable endpoint with the lowest cost, if any. Drops entries that are expired or used up."""
        lowest_cost, cheapest = float("inf"), None
        for endpoint in list(self._entries):
            age_s = now - endpoint.report_as_of
            if endpoint.report_uses_left <= 0 or age_s > self._rules.cached_report_life_s:
                del self._entries[endpoint]
            elif endpoint.name not in excluded and is_usable(now, endpoint):
                cost = self._cost(now, endpoint)
                if cost < lowest_cost:
                    lowest_cost, cheapest = cost, endpoint
        return cheapest

    def forget(self, endpoint: EndpointState) -> None:
        """Drop the entry of a removed endpoint."""
        self._entries.pop(endpoint, None)
