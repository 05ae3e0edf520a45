"""The latency of runs and dependency calls: a moving mean, and the baseline that it is compared with."""

from __future__ import annotations

from lapishaven.admission.ports import AdmissionPools
from lapishaven.admission.settings import Settings

MEAN_SMOOTHING = 0.1  # weight of the newest sample in the mean
PROBE_SMOOTHING = 0.5  # weight of a probe in the mean
BASELINE_SMOOTHING = 0.01  # fraction of the distance by which the baseline follows a higher mean with each sample
INITIAL_OBJECTIVE_SHARE = 0.2  # fraction of the latency objective that a class's runs are assumed to take at first


class LatencyEstimate:
    """An exponentially weighted mean of latencies in seconds, and a slowly rising minimum of it as the baseline.

    The baseline follows a lower mean at once and a higher one slowly, so that ``inflation`` shows congestion, like the
    ratio of the smoothed to the minimum round-trip time in TCP Vegas.
    """

    __slots__ = ("baseline", "mean")

    def __init__(self) -> None:
        self.mean = 0.0  # 0 until there is a sample
        self.baseline = 0.0

    def record(self, elapsed: float, smoothing: float = MEAN_SMOOTHING) -> None:
        """Add one latency in seconds, with the weight ``smoothing`` in the mean."""
        mean = self.mean
        mean = mean + smoothing * (elapsed - mean) if mean else elapsed
        baseline = self.baseline
        self.mean = mean
        self.baseline = baseline + BASELINE_SMOOTHING * (mean - baseline) if 0.0 < baseline < mean else mean

    def inflation(self) -> float:
        """The mean as a multiple of the baseline; 1 without samples."""
        return self.mean / self.baseline if self.baseline else 1.0


class RunLatency:
    """Run latency by request class. If there are pools, they predict the run times."""

    __slots__ = ("_initial", "_pools", "estimates")

    def __init__(self, settings: Settings, pools: AdmissionPools | None) -> None:
        self._pools = pools
        self.estimates: list[LatencyEstimate] = []
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new latency objectives and added classes."""
        self._initial = [
            INITIAL_OBJECTIVE_SHARE * request_class.latency_objective for request_class in settings.classes
        ]
        added = len(settings.classes) - len(self.estimates)
        self.estimates += [LatencyEstimate() for _ in range(added)]

    def record(self, class_index: int, elapsed: float, is_probe: bool) -> None:
        """Add a run that completed after ``elapsed`` seconds.

        A probe has more weight, as what was measured before it is out of date.
        """
        self.estimates[class_index].record(elapsed, PROBE_SMOOTHING if is_probe else MEAN_SMOOTHING)

    def expected(self, class_index: int) -> float:
        """The expected duration in seconds of a run of the class."""
        if self._pools is not None:
            return self._pools.run_time(class_index)
        return self.estimates[class_index].mean or self._initial[class_index]

    def expected_by_class(self) -> list[float]:
        """The expected duration in seconds of a run of each class."""
        return [self.expected(class_index) for class_index in range(len(self.estimates))]

    def highest_inflation(self) -> float:
        """The highest inflation of any class."""
        return max([estimate.inflation() for estimate in self.estimates])
