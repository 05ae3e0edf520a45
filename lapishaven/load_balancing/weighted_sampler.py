"""Sampling by weight with weights that change all the time.

Rejection sampling: an item is drawn evenly and accepted with its weight over the largest as the probability. A
change of weight is one store; a draw takes as many rounds as the largest weight is over the mean one, whatever the
number of items. ``benchmarks/spread.py`` compares it with a scan, an alias table and a tree.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

MAX_ROUNDS = 64  # after which the last item drawn is accepted


class WeightedSampler:
    """Items by name, each with a weight above 0."""

    def __init__(self) -> None:
        self._names: list[str] = []
        self._weights: list[float] = []
        self._positions: dict[str, int] = {}
        self._max_weight = 0.0  # or more, until it is looked up again
        self._decreases = 0  # removals and lowered weights since then

    def __len__(self) -> int:
        return len(self._names)

    def __contains__(self, name: object) -> bool:
        return name in self._positions

    def set_weight(self, name: str, weight: float) -> None:
        """Add an item, or change its weight."""
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
        """Take an item away, if it is there. The last item moves to its position."""
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
        """Look up the largest weight once in a while: one that is too large costs rounds and nothing else."""
        if self._decreases > len(self._weights):
            self._max_weight = max(self._weights, default=0.0)
            self._decreases = 0

    def names(self) -> Iterable[str]:
        """All items."""
        return iter(self._names)

    def sample(self, random: Random) -> str:
        """An item at random by weight. Raises ``IndexError`` if there are none."""
        names, weights, max_weight = self._names, self._weights, self._max_weight
        count = len(names)
        if not count:
            raise IndexError("nothing to sample from")
        for _ in range(MAX_ROUNDS):
            position = int(random.random() * count)
            if random.random() * max_weight <= weights[position]:
                break
        return names[position]
