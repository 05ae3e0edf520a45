"""The efficiency of the instance by level of concurrency, and the level above which throughput falls. Pure."""

from __future__ import annotations

LEVEL_WIDTH = 0.5  # runs per core
LEVEL_COUNT = 24
EFFICIENCY_SMOOTHING = 0.03  # weight of the newest sample in the efficiency of a level
MAX_EFFICIENCY = 2.0  # upper bound of the efficiency of a sample
MIN_SPENT_S = 20.0  # core-seconds at a level before its efficiency is used
KNEE_EFFICIENCY = 0.88  # fraction of the best efficiency below which a level counts as past the knee


class ConcurrencyProfile:
    """Core time spent and efficiency by concurrency level, in runs per core."""

    __slots__ = ("_efficiency", "_spent")

    def __init__(self) -> None:
        self._spent = [0.0] * LEVEL_COUNT
        self._efficiency = [1.0] * LEVEL_COUNT

    def record(self, runs_per_core: float, spent: float, efficiency: float) -> None:
        """Add a sample of ``spent`` core-seconds; ``efficiency`` is the work done divided by the expected work."""
        level = min(int(runs_per_core / LEVEL_WIDTH), LEVEL_COUNT - 1)
        self._spent[level] += spent
        self._efficiency[level] += EFFICIENCY_SMOOTHING * (min(MAX_EFFICIENCY, efficiency) - self._efficiency[level])

    def max_concurrency(self) -> float:
        """Runs per core above which the total throughput falls; infinite if that has not been observed."""
        known = [level for level in range(LEVEL_COUNT) if self._spent[level] >= MIN_SPENT_S]
        best = max((self._efficiency[level] for level in known), default=1.0)
        for level in known:
            if level * LEVEL_WIDTH >= 1.0 and self._efficiency[level] < KNEE_EFFICIENCY * best:
                return max(1.0, level * LEVEL_WIDTH)
        return float("inf")
