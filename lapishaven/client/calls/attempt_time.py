"""How long an attempt takes, by class of work, and so whether one may still start. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass

from lapishaven.client.settings import Settings

STEP_SIZE = 0.05  # the largest relative change of a quantile estimate by one observation
MAX_DEADLINE_SHARE = 0.5  # of the deadline: past this, no attempt would start that could correct the estimate
MIN_ESTIMATE_S = 1e-4
SLOW_START_FACTOR = 3  # times the first estimate: the first estimate of a slow attempt


@dataclass(slots=True)
class QuantileEstimator:
    """A streaming quantile by stochastic approximation (Robbins and Monro, 1951) of its logarithm.

    Each observation above the estimate raises it by ``STEP_SIZE * fraction``, each below lowers it by
    ``STEP_SIZE * (1 - fraction)``, so that it rests where ``fraction`` of the observations lie below.
    """

    fraction: float
    value: float

    def add(self, seconds: float) -> None:
        """Move the estimate towards an observation."""
        above = seconds > self.value
        self.value *= math.exp(STEP_SIZE * (self.fraction if above else self.fraction - 1.0))


class AttemptTimeEstimates:
    """For each class the typical time of an attempt, and the time after which a slow one is hedged."""

    def __init__(self, classes: dict[str, tuple[float, float]], hedge_fraction: float) -> None:
        """``classes``: by class the first estimate and the deadline, in seconds.

        ``hedge_fraction``: the fraction of attempts that are faster than a slow one.
        """
        self._deadlines: dict[str, float] = {}
        self._typical: dict[str, QuantileEstimator] = {}
        self._slow: dict[str, QuantileEstimator] = {}
        for class_name, (estimate_s, deadline_s) in classes.items():
            first_estimate = max(estimate_s, MIN_ESTIMATE_S)
            self._deadlines[class_name] = deadline_s
            self._typical[class_name] = QuantileEstimator(0.5, first_estimate)
            self._slow[class_name] = QuantileEstimator(hedge_fraction, first_estimate * SLOW_START_FACTOR)

    @classmethod
    def from_settings(cls, settings: Settings) -> AttemptTimeEstimates:
        """The first estimates that the settings give."""
        classes = {name: (rule.estimate_s, rule.deadline_s) for name, rule in settings.classes.items()}
        return cls(classes, settings.retry.second_after)

    def add(self, class_name: str, seconds: float) -> None:
        """An attempt was served after so many seconds."""
        self._typical[class_name].add(seconds)
        self._slow[class_name].add(seconds)

    def typical(self, class_name: str) -> float:
        """Seconds within which half of the attempts are served."""
        return min(self._typical[class_name].value, MAX_DEADLINE_SHARE * self._deadlines[class_name])

    def hedge_delay(self, class_name: str) -> float:
        """Seconds after which an attempt counts as slow."""
        return max(self._slow[class_name].value, self._typical[class_name].value)

    def fits_in(self, class_name: str, remaining_s: float) -> bool:
        """Whether an attempt may start with so many seconds left."""
        return remaining_s > 0 and remaining_s >= self.typical(class_name)
