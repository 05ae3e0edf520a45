"""Weighted random sampling for weights that change often.

Rejection sampling: an item is drawn uniformly and accepted with the probability of its weight over the largest weight.
Changing a weight is a single store. Sampling takes on average as many rounds as the ratio of the largest to the mean
weight, independent of the number of items. ``benchmarks/spread.py`` compares it with a scan, an alias table and a tree.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

MAX_ROUNDS = 64  # after this many rounds the last item drawn is accepted


class WeightedSampler:
    """A set of named items, each with a weight above 0."""

    def __init__(self) -> None:
        self._names: list[str] = []
        self._weights: list[float] = []
        self._positions: dict[str, int] = {}
        self._max_weight = 0.0  # an upper bound, exact after a refresh
        self._decreases = 0  # removals and lowered weights since the last refresh

    def __len__(self) -> int:
        return len(self._names)

    def __contains__(self, name: object) -> bool:
        return name in self._positions

    def set_weight(self, name: str, weight: float) -> None:
        """Add an item or change its weight."""
        position = self._positions.get(name)
        if position is None:
            self._positions[name] = len(self._names)
            self._names.append(name)
            self._weights.append(weight)
        else:
            self._decreases += weight < self._weights[position]
            self._weights[position] = weight
        self._max_weight = max(self._max_weight, weight)
        self._refresh_max_weight()

    def remove(self, name: str) -> None:
        """Remove an item if it exists. The last item moves to its position."""
        position = self._positions.pop(name, None)
        if position is None:
            return
        last_name = self._names.pop()
        last_weight = self._weights.pop()
        if last_name != name:
            self._names[position] = last_name
            self._weights[position] = last_weight
            self._positions[last_name] = position
        self._decreases += 1
        self._refresh_max_weight()

    def _refresh_max_weight(self) -> None:
        """Recompute the largest weight occasionally; a value that is too high only makes sampling take more rounds."""
        if self._decreases > len(self._weights):
            self._max_weight = max(self._weights, default=0.0)
            self._decreases = 0

    def names(self) -> Iterable[str]:
        """Iterate over the names of all items."""
        return iter(self._names)

    def sample(self, random: Random) -> str:
        """Return a random item, chosen by weight. Raises ``IndexError`` if there are none."""
        names, weights, max_weight = self._names, self._weights, self._max_weight
        count = len(names)
        if not count:
            raise IndexError("cannot sample: the sampler has no items")
        for _ in range(MAX_ROUNDS):
            position = int(random.random() * count)
            if random.random() * max_weight <= weights[position]:
                break
        return names[position]
