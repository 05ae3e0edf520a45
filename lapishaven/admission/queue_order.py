"""The dispatch order of queued requests, and which of them can no longer succeed."""

from __future__ import annotations

from collections.abc import Iterable

from lapishaven.admission.deadlines import ANSWER_MARGIN_S
from lapishaven.admission.request import TrackedRequest
from lapishaven.admission.run_latency import RunLatency
from lapishaven.admission.settings import Settings


def relative_weight(settings: Settings, run_latency: RunLatency, class_index: int) -> float:
    """The priority weight of a class per core-second, as a multiple of the lowest such weight of any class.

    A weight per request is divided by the run time; with ``weight_per_work`` the weight is already per second of
    work. 1 if the lowest weight is 0.
    """
    if settings.weight_per_work:
        weights = [request_class.priority_weight for request_class in settings.classes]
    else:
        run_times = run_latency.expected_by_class()
        weights = [
            request_class.priority_weight / run_time
            for request_class, run_time in zip(settings.classes, run_times, strict=True)
        ]
    lowest = min(weights)
    return weights[class_index] / lowest if lowest > 0 else 1.0


def dispatch_order(queued: Iterable[TrackedRequest], now: float) -> list[TrackedRequest]:
    """Queued requests in the order in which they should run.

    Requests whose latency objective has not passed come first. Within both groups the highest weight comes first,
    then the earliest objective.
    """
    return sorted(queued, key=lambda request: (request.objective_at < now, -request.weight, request.objective_at))


def is_hopeless(request: TrackedRequest, now: float, run_time: float) -> bool:
    """Whether a run of ``run_time`` seconds would end too late for its answer to count.

    Answers of a class with a late weight count until the deadline, all others until the latency objective.
    """
    latest_end = request.objective_at if request.request_class.late_weight <= 0 else request.deadline
    return now + run_time > min(request.deadline - ANSWER_MARGIN_S, latest_end)
