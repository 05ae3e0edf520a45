"""The controller's record of one request, and the states of a request."""

from __future__ import annotations

from enum import IntEnum

from lapishaven.admission.events import RequestArrived
from lapishaven.admission.settings import Idempotency, RequestClass


class RequestState(IntEnum):
    """The state of a request. The values index ``RequestTable.counts``."""

    QUEUED = 0
    """Admitted and waiting to run."""
    AWAITING_ORIGINAL = 1
    """A duplicate that waits for the result of its original."""
    RUNNING = 2
    """Running on a core."""
    AWAITING_DEPENDENCY = 3
    """Suspended until it may make a dependency call."""
    CALLING_DEPENDENCY = 4
    """Suspended while its dependency call is in flight."""
    PAUSED = 5
    """Preempted by the pools; its run will be resumed."""


# Aliases for the hot path: looking up an enum member by attribute is slow on Python 3.11.
QUEUED = RequestState.QUEUED
AWAITING_ORIGINAL = RequestState.AWAITING_ORIGINAL
RUNNING = RequestState.RUNNING
AWAITING_DEPENDENCY = RequestState.AWAITING_DEPENDENCY
CALLING_DEPENDENCY = RequestState.CALLING_DEPENDENCY
PAUSED = RequestState.PAUSED


class TrackedRequest:
    """One open request. Times are seconds on the host's clock."""

    __slots__ = (
        "arrived_at",
        "class_index",
        "deadline",
        "has_run",
        "has_reservation",
        "is_answered",
        "is_probe",
        "memory_kb",
        "needs_reservation",
        "objective_at",
        "rank",
        "request_class",
        "request_id",
        "state",
        "state_since",
        "weight",
    )

    def __init__(self, event: RequestArrived, request_class: RequestClass, now: float) -> None:
        arrived_at = now - event.age
        deadline = event.deadline if event.deadline is not None else arrived_at + request_class.deadline
        self.request_id = event.request_id
        self.request_class = request_class
        self.class_index = event.class_index
        self.memory_kb = event.memory_kb  # while queued; a run takes ``running_memory_factor`` times as much
        self.arrived_at = arrived_at
        self.deadline = max(now, deadline)
        self.objective_at = (
            arrived_at
            + request_class.latency_objective
            + (request_class.objective_per_cost or 0.0) * (event.cost_hint or 0.0)
        )
        self.rank = 0.0  # position in the rejection order within its class, 0 to 1; low ranks are rejected first
        self.weight = 1.0  # priority weight, relative to the class with the lowest weight
        self.state = QUEUED
        self.state_since = 0.0
        self.has_run = False
        self.is_answered = False  # whether it was answered although its run has not ended
        self.is_probe = False  # whether it passes estimates of run times; see ``EstimateProbes``
        self.has_reservation = False
        self.needs_reservation = request_class.idempotency is not Idempotency.IDEMPOTENT
