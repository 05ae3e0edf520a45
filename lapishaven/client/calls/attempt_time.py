"""Estimates of attempt durations by class, which decide whether an attempt may still start. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass

from lapishaven.client.settings import Settings

STEP_SIZE = 0.05  # the largest relative change of a quantile estimate by one observation
MAX_DEADLINE_SHARE = 0.5  # bound of estimates: at higher ones no attempt would start that could correct them
MIN_ESTIMATE_S = 1e-4
INITIAL_SLOW_FACTOR = 3  # initial estimate of a slow attempt, relative to that of a typical one


@dataclass(slots=True)
class QuantileEstimator:
    """A streaming quantile by stochastic approximation (Robbins and Monro, 1951) of its logarithm.

    An observation above the estimate raises the logarithm by ``STEP_SIZE * fraction``, one below lowers it by
    ``STEP_SIZE * (1 - fraction)``. The estimate therefore settles where ``fraction`` of the observations are below it.
    """

    fraction: float
    value: float

    def add(self, seconds: float) -> None:
        """Move the estimate towards an observation."""
        above = seconds > self.value
        self.value *= math.exp(STEP_SIZE * (self.fraction if above else self.fraction - 1.0))


class AttemptTimeEstimates:
    """The typical duration of an attempt by class, and the time after which a slow attempt is hedged."""

    def __init__(self, classes: dict[str, tuple[float, float]], hedge_fraction: float) -> None:
        """``classes``: the initial estimate and the deadline by class, in seconds.

        ``hedge_fraction``: the fraction of attempts that are faster than a slow one.
        """
        self._deadlines: dict[str, float] = {}
        self._typical: dict[str, QuantileEstimator] = {}
        self._slow: dict[str, QuantileEstimator] = {}
        for class_name, (estimate_s, deadline_s) in classes.items():
            initial_estimate = max(estimate_s, MIN_ESTIMATE_S)
            self._deadlines[class_name] = deadline_s
            self._typical[class_name] = QuantileEstimator(0.5, initial_estimate)
            self._slow[class_name] = QuantileEstimator(hedge_fraction, initial_estimate * INITIAL_SLOW_FACTOR)

    @classmethod
    def from_settings(cls, settings: Settings) -> AttemptTimeEstimates:
        """Create the initial estimates from the settings."""
        classes = {name: (rule.estimate_s, rule.deadline_s) for name, rule in settings.classes.items()}
        return cls(classes, settings.retry.second_after)

    def add(self, class_name: str, seconds: float) -> None:
        """Record an attempt that was served after ``seconds``."""
        self._typical[class_name].add(seconds)
        self._slow[class_name].add(seconds)

    def typical_s(self, class_name: str) -> float:
        """Return the median duration of attempts in seconds, bounded by ``MAX_DEADLINE_SHARE`` of the deadline."""
        return min(self._typical[class_name].value, MAX_DEADLINE_SHARE * self._deadlines[class_name])

    def hedge_delay_s(self, class_name: str) -> float:
        """Return the seconds after which an attempt counts as slow."""
        return max(self._slow[class_name].value, self._typical[class_name].value)

    def fits_in(self, class_name: str, remaining_s: float) -> bool:
        """Whether an attempt may start with ``remaining_s`` seconds left."""
        return remaining_s > 0 and remaining_s >= self.typical_s(class_name)
