"""Routing strategies: choose the endpoint of an attempt among those that accept it. Pure."""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Sequence
from random import Random
from typing import Protocol

from lapishaven.client import settings
from lapishaven.client.model import Call, Endpoint

VIRTUAL_NODES = 64  # points on the hash ring for each endpoint
ROW_SALT = 0x72696E67  # "ring" in ASCII: a seed that no virtual node has
MIN_RELATIVE_LATENCY = 0.25  # a latency below this does not lower the cost further
DEFAULT_TYPICAL_ATTEMPT_S = 0.3  # used if the caller gives none


class RoutingStrategy(Protocol):
    """Chooses one of ``endpoints``, which is never empty."""

    def pick(self, now: float, endpoints: Sequence[Endpoint], call: Call) -> Endpoint:
        """Return the endpoint for an attempt of ``call``."""

    def endpoints_changed(self, names: Sequence[str]) -> None:
        """The tracked endpoints have changed."""


class _WeightedStrategy:
    def __init__(
        self, rules: settings.Routing, random: Random, typical_attempt_s: float = DEFAULT_TYPICAL_ATTEMPT_S
    ) -> None:
        self.rules = rules
        self.random = random
        self.typical_attempt_s = typical_attempt_s

    def weight(self, now: float, endpoint: Endpoint) -> float:
        """Return the endpoint's fraction of full weight (slow start, recent rejections)."""
        return endpoint.weight(now, self.rules)

    def endpoints_changed(self, names: Sequence[str]) -> None:
        """Do nothing: these strategies do not depend on the names."""


class RoundRobin(_WeightedStrategy):
    """Smooth weighted round robin, as in nginx."""

    def pick(self, now: float, endpoints: Sequence[Endpoint], call: Call) -> Endpoint:
        """Raise every endpoint's credit by its weight, choose the one with the most credit, and charge it the total."""
        total = 0.0
        for endpoint in endpoints:
            weight = self.weight(now, endpoint)
            total += weight
            endpoint.round_robin_credit += weight
        best = max(endpoints, key=lambda endpoint: endpoint.round_robin_credit)
        best.round_robin_credit -= total
        return best


class LeastInFlight(_WeightedStrategy):
    """The fewest attempts in flight relative to the weight; ties are broken at random."""

    def pick(self, now: float, endpoints: Sequence[Endpoint], call: Call) -> Endpoint:
        """Start the search at a random index, so that ties are broken evenly."""
        start = self.random.randrange(len(endpoints))
        rotated = [*endpoints[start:], *endpoints[:start]]
        return min(rotated, key=lambda endpoint: (endpoint.in_flight + 1) / self.weight(now, endpoint))


class TwoChoices(_WeightedStrategy):
    """The cheaper of two (or ``rules.choices``) random endpoints (Mitzenmacher, 2001).

    The cost is attempts in flight times latency, divided by the weight. If clients always chose the cheapest of all
    endpoints, they would all choose the same one, as they see the same state; the random sample spreads them.
    """

    def cost(self, now: float, endpoint: Endpoint) -> float:
        """Return the cost. The age of the oldest attempt in flight is a lower bound of the latency."""
        in_flight_latency = endpoint.oldest_attempt_age_s(now) / self.typical_attempt_s if endpoint.in_flight else 0.0
        latency = max(endpoint.decayed_latency(now), in_flight_latency, MIN_RELATIVE_LATENCY)
        return (endpoint.in_flight + 1) * latency / self.weight(now, endpoint)

    def pick(self, now: float, endpoints: Sequence[Endpoint], call: Call) -> Endpoint:
        """Return the cheapest of a random sample without replacement."""
        sampled = self.random.sample(endpoints, min(self.rules.choices, len(endpoints)))
        return min(sampled, key=lambda endpoint: self.cost(now, endpoint))


class HashRing:
    """A consistent hash ring (Karger et al., 1997): an endpoint that joins or leaves moves only its own keys."""

    def __init__(self, names: Sequence[str]) -> None:
        from lapishaven.client.hashing import hash64

        self._points = sorted((hash64(name, node), name) for name in names for node in range(VIRTUAL_NODES))
        self._positions = [position for position, _ in self._points]

    def walk(self, row_id: int) -> list[str]:
        """Return all endpoints in ring order, starting at the one that owns the row."""
        from lapishaven.client.hashing import hash64

        start = bisect_right(self._positions, hash64(f"{row_id:x}", ROW_SALT))
        names: dict[str, None] = {}
        for step in range(len(self._points)):
            _, name = self._points[(start + step) % len(self._points)]
            names.setdefault(name)
        return list(names)


class Affinity(TwoChoices):
    """Sends reads of one row to one endpoint (consistent hashing with bounded loads, Mirrokni et al., 2018).

    While its load is over ``rules.bound`` times the mean, they go to the next endpoint on the ring. A call without a
    row is routed by two choices.
    """

    def __init__(
        self, rules: settings.Routing, random: Random, typical_attempt_s: float = DEFAULT_TYPICAL_ATTEMPT_S
    ) -> None:
        super().__init__(rules, random, typical_attempt_s)
        self._ring = HashRing(())

    def endpoints_changed(self, names: Sequence[str]) -> None:
        """Rebuild the ring."""
        self._ring = HashRing(names)

    def pick(self, now: float, endpoints: Sequence[Endpoint], call: Call) -> Endpoint:
        """Walk the ring from the row's owner to the first endpoint whose load is below the bound."""
        if call.row_id is None:
            return super().pick(now, endpoints, call)
        by_name = {endpoint.name: endpoint for endpoint in endpoints}
        weights = {endpoint.name: self.weight(now, endpoint) for endpoint in endpoints}
        total_in_flight = sum(endpoint.in_flight for endpoint in endpoints) + 1
        bound = self.rules.bound * total_in_flight / sum(weights.values())
        for name in self._ring.walk(call.row_id):
            endpoint = by_name.get(name)
            if endpoint is not None and endpoint.in_flight + 1 <= math.ceil(bound * weights[name]):
                return endpoint
        return super().pick(now, endpoints, call)


STRATEGIES: dict[str, type[RoundRobin | LeastInFlight | TwoChoices | Affinity]] = {
    "round-robin": RoundRobin,
    "least-open": LeastInFlight,
    "two-choices": TwoChoices,
    "affinity": Affinity,
}


def make_strategy(rules: settings.Routing, random: Random, typical_attempt_s: float) -> RoutingStrategy:
    """Create the configured strategy; ``typical_attempt_s`` is the mean estimate of the classes, in seconds."""
    return STRATEGIES[rules.strategy](rules, random, typical_attempt_s)
