"""How efficient the instance is at each level of concurrency, and where more runs cost more than they bring. Pure."""

from __future__ import annotations

LEVEL_WIDTH = 0.5  # runs per core
LEVEL_COUNT = 24
EFFICIENCY_SMOOTHING = 0.03  # weight of a new sample in a level's efficiency
MAX_EFFICIENCY = 2.0  # of a sample
MIN_SPENT_S = 20.0  # core-seconds at a level from which its efficiency counts
KNEE = 0.88  # part of the best efficiency under which a level costs more than it brings


class ConcurrencyProfile:
    """Core time spent and efficiency by level of runs per core."""

    __slots__ = ("_efficiency", "_spent")

    def __init__(self) -> None:
        self._spent = [0.0] * LEVEL_COUNT
        self._efficiency = [1.0] * LEVEL_COUNT

    def record(self, runs_per_core: float, spent: float, efficiency: float) -> None:
        """Add a sample of ``spent`` core-seconds; the efficiency is 1 for the work that was expected."""
        level = min(int(runs_per_core / LEVEL_WIDTH), LEVEL_COUNT - 1)
        self._spent[level] += spent
        self._efficiency[level] += EFFICIENCY_SMOOTHING * (min(MAX_EFFICIENCY, efficiency) - self._efficiency[level])

    def max_concurrency(self) -> float:
        """Runs per core past which the instance does less in total, as far as was seen; infinite if it was not."""
        known = [level for level in range(LEVEL_COUNT) if self._spent[level] >= MIN_SPENT_S]
        best = max((self._efficiency[level] for level in known), default=1.0)
        for level in known:
            if level * LEVEL_WIDTH >= 1.0 and self._efficiency[level] < KNEE * best:
                return max(1.0, level * LEVEL_WIDTH)
        return float("inf")
