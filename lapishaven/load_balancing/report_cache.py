"""A small pool of recent load reports, so that each choice compares more endpoints than it probes.

The pool follows Wydler et al., "Load is not what you should balance: Introducing Prequal" (NSDI 2024): a report is used
a bounded number of times and aged out, and from a full pool either the worst or the oldest is removed.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from lapishaven.load_balancing.endpoint_state import EndpointState
from lapishaven.load_balancing.rules import BalancingRules

FULL_SHARE = 1.0  # an endpoint that asks for less is not cached: it would look idle to every balancer
Cost = Callable[[float, EndpointState], float]


class ReportCache:
    """The endpoints whose last report may be chosen by without a probe. ``cost`` is of one more request there."""

    def __init__(self, rules: BalancingRules, random: Random, cost: Cost) -> None:
        self._rules = rules
        self._random = random
        self._cost = cost
        self._pool: dict[EndpointState, None] = {}  # oldest report first

    def add(self, now: float, endpoint: EndpointState) -> None:
        """The endpoint's report is new."""
        self._pool.pop(endpoint, None)
        assert endpoint.report is not None
        if not self._rules.cached_reports or endpoint.report.desired_share < FULL_SHARE:
            return
        endpoint.report_uses_left = self._rules.report_uses
        self._pool[endpoint] = None
        if len(self._pool) > self._rules.cached_reports:
            self._evict(now)

    def _evict(self, now: float) -> None:
        """Remove the oldest or the most costly, each with probability 1/2.

        By cost alone the pool would keep what nobody chooses.
        """
        if self._random.random() < 0.5:
            del self._pool[next(iter(self._pool))]
            return
        worst = max(self._pool, key=lambda endpoint: self._cost(now, endpoint))
        del self._pool[worst]

    def best(
        self, now: float, excluded: frozenset[str], is_usable: Callable[[float, EndpointState], bool]
    ) -> EndpointState | None:
        """The usable endpoint with the lowest cost, if there is one. Drops reports that are old or used up."""
        lowest, best = float("inf"), None
        for endpoint in list(self._pool):
            age_s = now - endpoint.report_as_of
            if endpoint.report_uses_left <= 0 or age_s > self._rules.cached_report_life_s:
                del self._pool[endpoint]
            elif endpoint.name not in excluded and is_usable(now, endpoint):
                cost = self._cost(now, endpoint)
                if cost < lowest:
                    lowest, best = cost, endpoint
        return best

    def forget(self, endpoint: EndpointState) -> None:
        """The endpoint was removed."""
        self._pool.pop(endpoint, None)
