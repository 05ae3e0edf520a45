"""The current endpoints, with the state and the sampling weight of each."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from random import Random

from lapishaven.load_balancing.endpoint_state import EndpointState
from lapishaven.load_balancing.weighted_sampler import WeightedSampler

# Bounds of a sampling weight, so that a wrong slot count in a report has a limited effect; 1 is the weight of an
# endpoint with the mean number of slots.
MIN_WEIGHT, MAX_WEIGHT = 1 / 4, 4.0


class EndpointTable:
    """The endpoints by name.

    An ``EndpointState`` is created on first use, because each of many balancers uses only few endpoints of a large
    fleet.
    """

    def __init__(self) -> None:
        self.states: dict[str, EndpointState] = {}
        self._sampler = WeightedSampler()

    def __len__(self) -> int:
        return len(self._sampler)

    def replace(self, names: Iterable[str]) -> list[EndpointState]:
        """Replace the set of endpoints; return the states of the removed ones."""
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
        """Return the state of an endpoint; ``None`` if the endpoint is not in the table."""
        state = self.states.get(name)
        if state is None and name in self._sampler:
            state = self.states[name] = EndpointState(name)
        return state

    def is_current(self, state: EndpointState) -> bool:
        """Whether this state object is in the table, and not a later one of the same name."""
        return self.states.get(state.name) is state

    def names(self) -> Iterator[str]:
        """Iterate over all names, in no particular order."""
        return iter(self._sampler.names())

    def set_slots(self, name: str, slots: int, mean_slots: float) -> None:
        """Make the endpoint's sampling weight proportional to its number of slots, within bounds."""
        self._sampler.set_weight(name, max(MIN_WEIGHT, min(MAX_WEIGHT, slots / mean_slots)))

    def sample(self, random: Random) -> str:
        """Return the name of a random endpoint, chosen by weight. Raises ``IndexError`` if there are none."""
        return self._sampler.sample(random)
