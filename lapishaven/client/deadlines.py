"""How long a try takes, by class, and so whether one may still be started. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass

STEP_SIZE = 0.05  # of the estimate, by which one more time moves a quantile at the most
MAX_DEADLINE_SHARE = (
    0.5  # of the deadline: an estimate never grows past this, or no try would be made that could correct it
)


@dataclass(slots=True)
class QuantileEstimator:
    """A streaming quantile by stochastic approximation in the log: two numbers whatever passes through.

    Each time above the estimate moves it up by ``STEP * part``, each below down by ``STEP * (1 - part)``, so
    that it rests where ``part`` of the times lie below. It follows a change within some 50 times.
    """

    fraction: float
    value: float

    def add(self, span: float) -> None:
        up = span > self.value
        self.value *= math.exp(STEP_SIZE * (self.fraction if up else self.fraction - 1.0))


class AttemptTimeEstimates:
    """The usual time of a try, and the slow one after which a second copy is worth while, for each class."""

    def __init__(self, starts: dict[str, tuple[float, float]], slow_part: float) -> None:
        """``starts``: by class the first estimate and the deadline, in seconds."""
        self._deadlines = {cls: deadline for cls, (_, deadline) in starts.items()}
        self._typical = {cls: QuantileEstimator(0.5, max(start, 1e-4)) for cls, (start, _) in starts.items()}
        self._slow = {cls: QuantileEstimator(slow_part, max(start, 1e-4) * 3) for cls, (start, _) in starts.items()}

    def add(self, cls: str, span: float) -> None:
        """A try was served after ``span`` seconds."""
        self._typical[cls].add(span)
        self._slow[cls].add(span)

    def typical(self, cls: str) -> float:
        """Seconds that half of the tries take."""
        return min(self._typical[cls].value, MAX_DEADLINE_SHARE * self._deadlines[cls])

    def hedge_delay(self, cls: str) -> float:
        """Seconds after which a try is among the slow ones."""
        return max(self._slow[cls].value, self._typical[cls].value)

    def fits_in(self, cls: str, left: float) -> bool:
        """Whether a try may start with so many seconds left."""
        return left > 0 and left >= self.typical(cls)
