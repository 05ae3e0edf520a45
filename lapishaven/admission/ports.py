"""Ports through which the controller asks optional, pure components."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol

from lapishaven.admission.events import LoadSample
from lapishaven.admission.rejection import Rejection


class AdmissionPools(Protocol):
    """Pools of classes with a capacity of their own.

    All methods are pure. Times are seconds of the clock that ``Controller.handle`` gets.
    """

    def is_guaranteed(self, class_index: int) -> bool:
        """Whether the class's pool is within its guaranteed share, so that load is no reason to reject."""

    def rejection(self, now: float, class_index: int, objective_at: float, answer_by: float) -> Rejection | None:
        """Why the pool has no capacity for a request, which is to be answered by ``answer_by`` at the latest.

        ``None`` if it has.
        """

    def run_time(self, class_index: int) -> float:
        """Seconds that a run of the class takes at present."""

    def enqueue(self, now: float, request_id: int, class_index: int, objective_at: float, deadline: float) -> None:
        """Queue a request that was admitted."""

    def dispatch_order(self, now: float) -> Iterator[int]:
        """Ids of requests that may start, in their order; call ``run_started`` before taking the next."""

    def run_started(self, now: float, request_id: int) -> None:
        """Note that a request runs, for the first time or again after a pause."""

    def dequeue(self, request_id: int) -> None:
        """Forget a queued request that will not run."""

    def run_ended(self, now: float, request_id: int, succeeded: bool) -> None:
        """Note that a run has ended; ``succeeded`` if it was completed and not cancelled or failed."""

    def requeue_preempted(self, now: float, request_id: int) -> bool:
        """Queue the rest of a cancelled run if the pools preempted it; whether they did."""

    def sample(self, now: float, sample: LoadSample) -> list[int]:
        """Take in a load sample; return the ids of runs to preempt."""
