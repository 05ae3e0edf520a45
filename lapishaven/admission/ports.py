"""Interfaces of the optional components that the controller consults."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol

from lapishaven.admission.events import LoadSample
from lapishaven.admission.rejection import Rejection


class AdmissionPools(Protocol):
    """Pools of request classes, each with its own share of the capacity.

    No method does I/O or reads a clock. Times are seconds on the clock that ``Controller.handle`` is called with.
    """

    def is_guaranteed(self, class_index: int) -> bool:
        """Whether the class's pool is within its guaranteed share, so that its requests are not rejected for load."""

    def rejection(self, now: float, class_index: int, objective_at: float, answer_by: float) -> Rejection | None:
        """The reason why the pool has no capacity for an arriving request; ``None`` if it has capacity.

        The request must be answered by ``answer_by``.
        """

    def run_time(self, class_index: int) -> float:
        """The duration in seconds that a run of the class is currently predicted to take."""

    def enqueue(self, now: float, request_id: int, class_index: int, objective_at: float, deadline: float) -> None:
        """Queue an admitted request."""

    def dispatch_order(self, now: float) -> Iterator[int]:
        """Ids of requests that may start, in dispatch order; call ``run_started`` before taking the next one."""

    def run_started(self, now: float, request_id: int) -> None:
        """Record that a run was started, or resumed after a pause."""

    def dequeue(self, request_id: int) -> None:
        """Remove a queued request that will not run."""

    def run_ended(self, now: float, request_id: int, succeeded: bool, is_probe: bool) -> None:
        """Record that a run has ended; ``succeeded`` if it completed and was neither cancelled nor failed.

        ``is_probe``: it was started to correct the estimates, although they predicted that it would end too late.
        """

    def requeue_preempted(self, now: float, request_id: int) -> bool:
        """Queue the rest of a cancelled run if the pools preempted it; return whether they did."""

    def sample(self, now: float, sample: LoadSample) -> list[int]:
        """Process a load sample; return the ids of runs to preempt."""
