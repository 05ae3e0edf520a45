"""How long runs and dependency calls take: a moving mean, and the baseline that it is compared with."""

from __future__ import annotations

from lapishaven.admission.ports import AdmissionPools
from lapishaven.admission.settings import Settings

NEWEST_WEIGHT = 0.1  # of the newest sample in the mean
BASELINE_RISE = 0.01  # part of the way that the baseline rises towards a higher mean with each sample
INITIAL_OBJECTIVE_SHARE = 0.2  # of a class's latency objective: its run time until a run has ended


class LatencyEstimate:
    """An exponentially weighted mean of latencies in seconds, and the least mean as its baseline.

    The baseline follows a lower mean at once and a higher one slowly, so that ``inflation`` shows
    congestion, as the ratio of smoothed to minimum round-trip time does in TCP Vegas.
    """

    __slots__ = ("baseline", "mean")

    def __init__(self) -> None:
        self.mean = 0.0  # 0 until there is a sample
        self.baseline = 0.0

    def record(self, elapsed: float) -> None:
        """Take in one latency in seconds."""
        mean = self.mean
        mean = mean + NEWEST_WEIGHT * (elapsed - mean) if mean else elapsed
        baseline = self.baseline
        self.mean = mean
        self.baseline = baseline + BASELINE_RISE * (mean - baseline) if 0.0 < baseline < mean else mean

    def inflation(self) -> float:
        """The mean as a multiple of the baseline; 1 without samples."""
        return self.mean / self.baseline if self.baseline else 1.0


class RunLatency:
    """Run latency by request class. Where there are pools, they predict the run times."""

    __slots__ = ("_initial", "_pools", "estimates")

    def __init__(self, settings: Settings, pools: AdmissionPools | None) -> None:
        self._pools = pools
        self.estimates: list[LatencyEstimate] = []
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Take over new latency objectives and further classes."""
        self._initial = [INITIAL_OBJECTIVE_SHARE * each.latency_objective for each in settings.classes]
        added = len(settings.classes) - len(self.estimates)
        self.estimates += [LatencyEstimate() for _ in range(added)]

    def record(self, class_index: int, elapsed: float) -> None:
        """Take in a run that ended well after ``elapsed`` seconds."""
        self.estimates[class_index].record(elapsed)

    def expected(self, class_index: int) -> float:
        """Seconds that a run of the class is expected to take."""
        if self._pools is not None:
            return self._pools.run_time(class_index)
        return self.estimates[class_index].mean or self._initial[class_index]

    def expected_by_class(self) -> list[float]:
        """``expected`` of every class."""
        return [self.expected(class_index) for class_index in range(len(self.estimates))]

    def highest_inflation(self) -> float:
        """The highest latency of a class as a multiple of its baseline."""
        return max([estimate.inflation() for estimate in self.estimates])
