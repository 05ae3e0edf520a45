"""Drawing one of many by weight, with weights that change with every word heard.

By rejection: a member is drawn evenly and taken with its weight over the largest. A change is one store, a draw takes
as many turns as the largest weight is over the mean one (two or three for boxes of 0.5 to 1.3), whatever the size;
``benchmarks/spread.py`` has it beside a scan, an alias table and a tree.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

TURNS = 64  # after which the last one drawn is taken all the same


class WeightedSampler:
    """Members by name, each with a weight above 0."""

    def __init__(self) -> None:
        self._names: list[str] = []
        self._weights: list[float] = []
        self._places: dict[str, int] = {}
        self._most = 0.0
        self._lowered = 0  # changes since the largest weight was looked for

    def __len__(self) -> int:
        return len(self._names)

    def __contains__(self, name: object) -> bool:
        return name in self._places

    def put(self, name: str, weight: float) -> None:
        place = self._places.get(name)
        if place is None:
            self._places[name] = len(self._names)
            self._names.append(name)
            self._weights.append(weight)
        else:
            old, self._weights[place] = self._weights[place], weight
            self._lowered += weight < old
        self._most = max(self._most, weight)
        self._look()

    def drop(self, name: str) -> None:
        """The last one takes its place."""
        place = self._places.pop(name, None)
        if place is None:
            return
        last, weight = self._names.pop(), self._weights.pop()
        if last != name:
            self._names[place], self._places[last], self._weights[place] = last, place, weight
        self._lowered += 1
        self._look()

    def _look(self) -> None:
        """The largest weight may be too large for a while, which costs turns and nothing else."""
        if self._lowered > len(self._weights):
            self._most, self._lowered = max(self._weights, default=0.0), 0

    def names(self) -> Iterable[str]:
        return iter(self._names)

    def take(self, random: Random) -> str:
        """One by weight; ``IndexError`` where there is none."""
        names, weights, most = self._names, self._weights, self._most
        count = len(names)
        if not count:
            raise IndexError("nothing to draw from")
        for _ in range(TURNS):
            place = int(random.random() * count)
            if random.random() * most <= weights[place]:
                break
        return names[place]
