"""Load shedding: the probability with which an arriving request is rejected.

Proportional rejection, as in the load shedding paper cited in the operators' pages: the probability rises linearly
with the average load, from 0 at a lower threshold to 1 at an upper one.
"""

from __future__ import annotations

import random

LOWER_LOAD = 0.95  # average load up to which nothing is rejected: the cores still have capacity
# Average load from which everything is rejected: the waiting work is then half the shortest latency objective or more.
UPPER_LOAD = 1.7


def probability_at(load: float) -> float:
    """The rejection probability at a load, 0 to 1."""
    return min(1.0, max(0.0, (load - LOWER_LOAD) / (UPPER_LOAD - LOWER_LOAD)))


def rejection_rank(rank: float, class_count: int, rng: random.Random) -> float:
    """The number from 0 to 1 that is compared with the rejection probability.

    It is derived from the rank that the caller sent, so that a retry gets the same decision as the first attempt. It
    is drawn at random if the caller sent none (``rank`` 0).
    """
    return (rank * class_count) % 1.0 if rank > 0 else rng.random()


class LoadShedding:
    """The rejection probability at the average load of the window, updated at each load sample."""

    __slots__ = ("probability",)

    def __init__(self) -> None:
        self.probability = 0.0

    def update(self, average_load: float) -> None:
        """Set the probability for the window's average load."""
        self.probability = probability_at(average_load)

    def is_rejected(self, rank: float, weight: float, current_load: float) -> bool:
        """Whether a request is rejected for load.

        The window lags behind the end of a surge, so the probability is capped at that of ``current_load``;
        otherwise requests would still be rejected after the queue has emptied. A higher priority ``weight`` lowers the
        probability: it is the exponent.
        """
        threshold: float = min(self.probability, probability_at(current_load)) ** weight
        return rank < threshold
