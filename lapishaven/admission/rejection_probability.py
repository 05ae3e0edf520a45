"""Load shedding: the probability with which an arriving request is rejected.

Proportional rejection after the load shedding paper on the operators' pages: the probability rises linearly
from 0 at a lower to 1 at an upper threshold of the average load.
"""

from __future__ import annotations

import random

LOWER_LOAD = 0.95  # average load up to which nothing is rejected: cores that are not full need no rejection
UPPER_LOAD = 1.7  # average load from which all is rejected: waiting work of half a shortest objective or more


def probability_at(load: float) -> float:
    """The rejection probability at a load, 0 to 1."""
    return min(1.0, max(0.0, (load - LOWER_LOAD) / (UPPER_LOAD - LOWER_LOAD)))


def rejection_rank(rank: float, class_count: int, rng: random.Random) -> float:
    """The number from 0 to 1 that the rejection probability is compared with.

    It comes from the caller's rank of the request, so that a retry meets the same decision as the first
    attempt; it is drawn at random if the caller gives none (``rank`` 0).
    """
    return (rank * class_count) % 1.0 if rank > 0 else rng.random()


class LoadShedding:
    """The rejection probability at the average load of the window, brought up to date at each load sample."""

    __slots__ = ("probability",)

    def __init__(self) -> None:
        self.probability = 0.0

    def update(self, average_load: float) -> None:
        """Take in the average load of the window."""
        self.probability = probability_at(average_load)

    def is_rejected(self, rank: float, weight: float, current_load: float) -> bool:
        """Whether a request is rejected for load.

        The window lags behind the end of a surge, so the probability is bounded by the one at the
        ``current_load``: a queue that has run dry is not kept empty. A higher priority ``weight`` lowers the
        probability as its power.
        """
        threshold: float = min(self.probability, probability_at(current_load)) ** weight
        return rank < threshold
