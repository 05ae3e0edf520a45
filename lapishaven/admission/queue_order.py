"""Which queued request runs next, by priority weight and latency objective, and which can no longer succeed."""

from __future__ import annotations

from collections.abc import Iterable

from lapishaven.admission.deadlines import ANSWER_MARGIN_S
from lapishaven.admission.request import TrackedRequest
from lapishaven.admission.run_latency import RunLatency
from lapishaven.admission.settings import Settings


def relative_weight(settings: Settings, run_latency: RunLatency, class_index: int) -> float:
    """The priority weight of a class per core-second, as a multiple of that of the class with the least.

    A weight per request is divided by the run time; with ``weight_per_work`` the weight is per second of work
    already. 1 if the least is 0.
    """
    if settings.weight_per_work:
        weights = [each.priority_weight for each in settings.classes]
    else:
        run_times = run_latency.expected_by_class()
        weights = [each.priority_weight / run_time for each, run_time in zip(settings.classes, run_times, strict=True)]
    least = min(weights)
    return weights[class_index] / least if least > 0 else 1.0


def dispatch_order(queued: Iterable[TrackedRequest], now: float) -> list[TrackedRequest]:
    """Queued requests in the order in which they are to run.

    Those that can still meet their latency objective come first; among them, and among the others, the
    highest weight, then the earliest objective.
    """
    return sorted(queued, key=lambda request: (request.objective_at < now, -request.weight, request.objective_at))


def is_hopeless(request: TrackedRequest, now: float, run_time: float) -> bool:
    """Whether a run of ``run_time`` seconds would end too late to be worth anything.

    A class with a late weight is worth running until its deadline, others until their latency objective.
    """
    latest = request.objective_at if request.request_class.late_weight <= 0 else request.deadline
    return now + run_time > min(request.deadline - ANSWER_MARGIN_S, latest)
