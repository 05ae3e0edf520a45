"""The record that the controller keeps of one request, and the states that a request goes through."""

from __future__ import annotations

from enum import IntEnum

from lapishaven.admission.events import RequestArrived
from lapishaven.admission.settings import Idempotency, RequestClass


class RequestState(IntEnum):
    """Where a request stands. The values index ``RequestTable.counts``."""

    QUEUED = 0
    """Admitted; waits for a run."""
    AWAITING_ORIGINAL = 1
    """A duplicate; is answered with the result of the request that it repeats."""
    RUNNING = 2
    """Uses a core."""
    AWAITING_DEPENDENCY = 3
    """Its run is suspended until it may make a dependency call."""
    CALLING_DEPENDENCY = 4
    """Its run is suspended while a dependency call is in flight."""
    PAUSED = 5
    """Its run was preempted by the pools and is to go on later."""


# Aliases for the request path: looking up an enum member by attribute is slow on Python 3.11.
QUEUED = RequestState.QUEUED
AWAITING_ORIGINAL = RequestState.AWAITING_ORIGINAL
RUNNING = RequestState.RUNNING
AWAITING_DEPENDENCY = RequestState.AWAITING_DEPENDENCY
CALLING_DEPENDENCY = RequestState.CALLING_DEPENDENCY
PAUSED = RequestState.PAUSED


class TrackedRequest:
    """What the controller knows of one open request. Times are seconds of the host's clock."""

    __slots__ = (
        "arrived_at",
        "class_index",
        "deadline",
        "has_run",
        "has_reservation",
        "is_answered",
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
        self.memory_kb = event.memory_kb  # while it is queued; a run takes ``running_memory_factor`` times that
        self.arrived_at = arrived_at
        self.deadline = max(now, deadline)
        self.objective_at = (
            arrived_at
            + request_class.latency_objective
            + (request_class.objective_per_cost or 0.0) * (event.cost_hint or 0.0)
        )
        self.rank = 0.0  # its place among its caller's requests of the class, 0 to 1; low ranks are rejected first
        self.weight = 1.0  # priority weight, relative to the class with the least
        self.state = QUEUED
        self.state_since = 0.0
        self.has_run = False
        self.is_answered = False  # the answer has gone out, although its run has not ended
        self.has_reservation = False
        self.needs_reservation = request_class.idempotency is not Idempotency.IDEMPOTENT
