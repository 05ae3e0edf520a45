"""Routing: chooses the endpoint of an attempt among those that accept it. Pure."""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Sequence
from random import Random
from typing import Protocol

from lapishaven.client import settings
from lapishaven.client.model import Call, Endpoint

VIRTUAL_NODES = 64  # points on the hash ring for each endpoint
ROW_SALT = 0x72696E67  # ``ring`` in ASCII: a seed that no virtual node has
MIN_RELATIVE_LATENCY = 0.25  # a lower latency does not make an endpoint cheaper
DEFAULT_TYPICAL_ATTEMPT_S = 0.3  # where the settings of the classes are not at hand


class RoutingStrategy(Protocol):
    """Chooses one of ``endpoints``, which is never empty."""

    def pick(self, now: float, endpoints: Sequence[Endpoint], call: Call) -> Endpoint:
        """The endpoint for an attempt of ``call``."""

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
        """The endpoint's part of a full weight (slow start, recent rejections)."""
        return endpoint.weight(now, self.rules)

    def endpoints_changed(self, names: Sequence[str]) -> None:
        """Nothing depends on the names."""


class RoundRobin(_WeightedStrategy):
    """Smooth weighted round robin, as in nginx."""

    def pick(self, now: float, endpoints: Sequence[Endpoint], call: Call) -> Endpoint:
        """Raise every endpoint's credit by its weight, and choose the one with the most credit."""
        total = 0.0
        for endpoint in endpoints:
            weight = self.weight(now, endpoint)
            total += weight
            endpoint.round_robin_credit += weight
        best = max(endpoints, key=lambda endpoint: endpoint.round_robin_credit)
        best.round_robin_credit -= total
        return best


class LeastInFlight(_WeightedStrategy):
    """The fewest attempts in flight relative to the weight; a random one of equals."""

    def pick(self, now: float, endpoints: Sequence[Endpoint], call: Call) -> Endpoint:
        """Search from a random place on, so that equals are chosen evenly."""
        start = self.random.randrange(len(endpoints))
        rotated = [*endpoints[start:], *endpoints[:start]]
        return min(rotated, key=lambda endpoint: (endpoint.in_flight + 1) / self.weight(now, endpoint))


class TwoChoices(_WeightedStrategy):
    """The cheaper of two (or ``rules.choices``) random endpoints (Mitzenmacher, 2001).

    The cost is attempts in flight times latency, over the weight. Always to choose the cheapest of all would send
    every client to the same endpoint, as all see the same; random choices spread them.
    """

    def cost(self, now: float, endpoint: Endpoint) -> float:
        """An attempt in flight counts as at least as slow as it has been out."""
        in_flight_latency = endpoint.oldest_attempt_age(now) / self.typical_attempt_s if endpoint.in_flight else 0.0
        latency = max(endpoint.decayed_latency(now), in_flight_latency, MIN_RELATIVE_LATENCY)
        return (endpoint.in_flight + 1) * latency / self.weight(now, endpoint)

    def pick(self, now: float, endpoints: Sequence[Endpoint], call: Call) -> Endpoint:
        """Sample without replacement."""
        sampled = self.random.sample(endpoints, min(self.rules.choices, len(endpoints)))
        return min(sampled, key=lambda endpoint: self.cost(now, endpoint))


class HashRing:
    """A consistent hash ring (Karger et al., 1997): an endpoint that joins or leaves moves only its own keys."""

    def __init__(self, names: Sequence[str]) -> None:
        from lapishaven.client.hashing import hash64

        self._points = sorted((hash64(name, node), name) for name in names for node in range(VIRTUAL_NODES))
        self._positions = [position for position, _ in self._points]

    def walk(self, row_id: int) -> list[str]:
        """All endpoints, from the one that owns the row onwards."""
        from lapishaven.client.hashing import hash64

        start = bisect_right(self._positions, hash64(f"{row_id:x}", ROW_SALT))
        names: dict[str, None] = {}
        for step in range(len(self._points)):
            _, name = self._points[(start + step) % len(self._points)]
            names.setdefault(name)
        return list(names)


class Affinity(TwoChoices):
    """Reads of one row go to one endpoint (consistent hashing with bounded loads, Mirrokni et al., 2018).

    While its load is over ``rules.bound`` times the mean, they go to the next one on the ring. A call without a row
    is routed by two choices.
    """

    def __init__(
        self, rules: settings.Routing, random: Random, typical_attempt_s: float = DEFAULT_TYPICAL_ATTEMPT_S
    ) -> None:
        super().__init__(rules, random, typical_attempt_s)
        self._ring = HashRing(())

    def endpoints_changed(self, names: Sequence[str]) -> None:
        """Build the ring anew."""
        self._ring = HashRing(names)

    def pick(self, now: float, endpoints: Sequence[Endpoint], call: Call) -> Endpoint:
        """Walk the ring from the row's owner to the first endpoint with a bounded load."""
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
    """The strategy that the settings name; ``typical_attempt_s`` is the mean over all classes, in seconds."""
    return STRATEGIES[rules.strategy](rules, random, typical_attempt_s)
