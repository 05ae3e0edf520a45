"""Which of the servers that would take it gets a try. Pure; every strategy stays selectable."""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Sequence
from random import Random
from typing import Protocol

from lapishaven.client import settings
from lapishaven.client.model import Call, Endpoint

VIRTUAL_NODES = 64  # places on the ring for one server


class RoutingStrategy(Protocol):
    """Picks one of ``peers``, which is never empty."""

    def pick(self, now: float, endpoints: Sequence[Endpoint], call: Call) -> Endpoint: ...
    def endpoints_changed(self, names: Sequence[str]) -> None:
        """The servers have changed."""


class _WeightedStrategy:
    def __init__(self, rules: settings.Routing, random: Random, usual: float = 0.3) -> None:
        self.rules, self.random, self.usual = rules, random, usual

    def weight(self, now: float, peer: Endpoint) -> float:
        return peer.weight(now, self.rules)

    def endpoints_changed(self, names: Sequence[str]) -> None:
        pass


class RoundRobin(_WeightedStrategy):
    """Smooth weighted round robin: in turn, a cold server less often."""

    def pick(self, now: float, endpoints: Sequence[Endpoint], call: Call) -> Endpoint:
        total = 0.0
        for peer in endpoints:
            weight = self.weight(now, peer)
            total += weight
            peer.round_robin_credit += weight
        best = max(endpoints, key=lambda peer: peer.round_robin_credit)
        best.round_robin_credit -= total
        return best


class LeastInFlight(_WeightedStrategy):
    """The least open tries over the weight, the first of equals drawn by lot."""

    def pick(self, now: float, endpoints: Sequence[Endpoint], call: Call) -> Endpoint:
        start = self.random.randrange(len(endpoints))
        order = [*endpoints[start:], *endpoints[:start]]
        return min(order, key=lambda peer: (peer.open + 1) / self.weight(now, peer))


class TwoChoices(_WeightedStrategy):
    """The better of two (or ``choices``) drawn at random, by open tries times the latency over the weight.

    To go by the least of all herds every client to the same server, as all see the same; two draws
    spread them. What is still out counts as at least as slow as it has been out.
    """

    def cost(self, now: float, peer: Endpoint) -> float:
        slow = max(peer.decayed_latency(now), peer.oldest_attempt_age(now) / self.usual if peer.open else 0.0, 0.25)
        return (peer.open + 1) * slow / self.weight(now, peer)

    def pick(self, now: float, endpoints: Sequence[Endpoint], call: Call) -> Endpoint:
        drawn = self.random.sample(endpoints, min(self.rules.choices, len(endpoints)))
        return min(drawn, key=lambda peer: self.cost(now, peer))


class HashRing:
    """A consistent ring: a server that comes or goes moves only its own part of the keys."""

    def __init__(self, names: Sequence[str]) -> None:
        from lapishaven.client.hashing import hash64

        self._points = sorted((hash64(name, n), name) for name in names for n in range(VIRTUAL_NODES))
        self._positions = [place for place, _ in self._points]

    def walk(self, row: int) -> list[str]:
        """All servers, from the one that owns the row onwards."""
        from lapishaven.client.hashing import hash64

        start = bisect_right(self._positions, hash64(f"{row:x}", 0x72696E67))
        seen: dict[str, None] = {}
        for n in range(len(self._points)):
            seen.setdefault(self._points[(start + n) % len(self._points)][1])
        return list(seen)


class Affinity(TwoChoices):
    """Reads of one row go to one server while its load stays under ``bound`` times the mean; else to the next
    on the ring. What names no row goes by two choices."""

    def __init__(self, rules: settings.Routing, random: Random, usual: float = 0.3) -> None:
        super().__init__(rules, random, usual)
        self._ring = HashRing(())

    def endpoints_changed(self, names: Sequence[str]) -> None:
        self._ring = HashRing(names)

    def pick(self, now: float, endpoints: Sequence[Endpoint], call: Call) -> Endpoint:
        if call.row_id is None:
            return super().pick(now, endpoints, call)
        there = {peer.name: peer for peer in endpoints}
        weights = {peer.name: self.weight(now, peer) for peer in endpoints}
        fair = self.rules.bound * (sum(peer.open for peer in endpoints) + 1) / sum(weights.values())
        for name in self._ring.walk(call.row_id):
            peer = there.get(name)
            if peer is not None and peer.open + 1 <= math.ceil(fair * weights[name]):
                return peer
        return super().pick(now, endpoints, call)


STRATEGIES: dict[str, type[RoundRobin | LeastInFlight | TwoChoices | Affinity]] = {
    "round-robin": RoundRobin,
    "least-open": LeastInFlight,
    "two-choices": TwoChoices,
    "affinity": Affinity,
}


def make_strategy(rules: settings.Routing, random: Random, typical_attempt_s: float) -> RoutingStrategy:
    """The strategy that the settings name; ``usual`` is how long a try of any class takes, in seconds."""
    return STRATEGIES[rules.strategy](rules, random, typical_attempt_s)
