"""The endpoints there are, what is known of each, and the weight with which each is probed."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from random import Random

from lapishaven.load_balancing.endpoint_state import EndpointState
from lapishaven.load_balancing.weighted_sampler import WeightedSampler

# Bounds of a weight, where 1 is that of an endpoint with a mean number of slots: a report is believed within them.
MIN_WEIGHT, MAX_WEIGHT = 1 / 4, 4.0


class EndpointTable:
    """Endpoints by name. An ``EndpointState`` is made when there is something to know, as one of many balancers before
    a large fleet meets few of its endpoints."""

    def __init__(self) -> None:
        self.states: dict[str, EndpointState] = {}
        self._sampler = WeightedSampler()

    def __len__(self) -> int:
        return len(self._sampler)

    def replace(self, names: Iterable[str]) -> list[EndpointState]:
        """Make ``names`` all that there are; returns what was known of those that were removed."""
        current = dict.fromkeys(names)
        removed = []
        for name in [name for name in self._sampler.names() if name not in current]:
            self._sampler.remove(name)
            state = self.states.pop(name, None)
            if state is not None:
                removed.append(state)
        for name in current:
            if name not in self._sampler:
                self._sampler.set_weight(name, 1.0)
        return removed

    def state_of(self, name: str) -> EndpointState | None:
        """What is known of an endpoint; ``None`` if it was removed."""
        state = self.states.get(name)
        if state is None and name in self._sampler:
            state = self.states[name] = EndpointState(name)
        return state

    def is_current(self, state: EndpointState) -> bool:
        """Whether the endpoint is still in the table."""
        return self.states.get(state.name) is state

    def names(self) -> Iterator[str]:
        """All names, in no order that means anything."""
        return iter(self._sampler.names())

    def set_slots(self, name: str, slots: int, mean_slots: float) -> None:
        """Have the endpoint drawn in proportion to its slots."""
        self._sampler.set_weight(name, max(MIN_WEIGHT, min(MAX_WEIGHT, slots / mean_slots)))

    def sample(self, random: Random) -> str:
        """An endpoint at random, by weight. Raises ``IndexError`` if there are none."""
        return self._sampler.sample(random)
