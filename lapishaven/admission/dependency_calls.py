"""The quota for calls to the dependency that all instances share, and the requests that wait for it."""

from __future__ import annotations

from collections import deque
from enum import Enum

from lapishaven.admission.deadlines import ANSWER_MARGIN_S
from lapishaven.admission.load_measurement import POLL_INTERVAL_S
from lapishaven.admission.request import TrackedRequest
from lapishaven.admission.run_latency import LatencyEstimate
from lapishaven.admission.settings import Settings

SAFE_QUOTA_SHARE = 0.9  # fraction of the instance's quota that is used
SLOW_INFLATION = 2.5  # call latency, as a multiple of its baseline, above which the dependency counts as slow
MAX_OBJECTIVE_SHARE = 0.5  # fraction of the latency objective that a call, or the wait for it, may take


class DependencyStep(Enum):
    """The next step of a request that needs a dependency call."""

    CALL = "call"
    SKIP = "skip"
    WAIT = "wait"


class DependencyCalls:
    """Keeps both the current and the mean number of calls in flight within the quota.

    The dependency may go on working on a call that timed out, so the call counts for ``dependency_linger`` more
    seconds.
    """

    __slots__ = ("_lingering_until", "_quota", "_settings", "latency", "mean_in_flight", "waiting")

    def __init__(self, settings: Settings) -> None:
        quota = settings.dependency_quota
        self._quota = SAFE_QUOTA_SHARE * quota if quota is not None else float("inf")
        self._lingering_until: deque[float] = deque()
        self.latency = LatencyEstimate()
        """Latency of the calls of all classes."""
        self.mean_in_flight = 0.0
        """Mean number of calls in flight, over ``dependency_window`` seconds."""
        self.waiting: deque[int] = deque()
        """Ids of the requests that wait to make a call, in order."""
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new times; the quota stays as it was at the start."""
        self._settings = settings

    def add_lingering(self, now: float) -> None:
        """Record an abandoned call that the dependency may still be working on."""
        self._lingering_until.append(now + self._settings.dependency_linger)

    def expire_lingering(self, now: float) -> None:
        """Forget the abandoned calls that have ended by ``now``."""
        while self._lingering_until and self._lingering_until[0] <= now:
            self._lingering_until.popleft()

    def in_flight(self, calling_count: int) -> int:
        """The number of calls at the dependency: of ``calling_count`` requests, and abandoned ones."""
        return calling_count + len(self._lingering_until)

    def update_mean(self, calling_count: int) -> None:
        """Update the mean number of calls in flight at a load sample."""
        weight = POLL_INTERVAL_S / max(POLL_INTERVAL_S, self._settings.dependency_window)
        self.mean_in_flight += weight * (self.in_flight(calling_count) - self.mean_in_flight)

    def next_step(self, request: TrackedRequest, now: float, calling_count: int) -> DependencyStep:
        """Decide for the first of the waiting requests.

        It calls if the quota allows. If its class allows degraded answers, the call is skipped once the request has
        waited too long, or at once while the dependency is slow: if all waited, all would miss their deadlines. Known
        weakness: answers are degraded even if the dependency is slow only briefly.
        """
        quota = self._quota
        if max(self.mean_in_flight, self.in_flight(calling_count) + min(1.0, quota)) <= quota:
            return DependencyStep.CALL
        if request.request_class.degraded_weight <= 0:
            return DependencyStep.WAIT
        if self.latency.inflation() > SLOW_INFLATION or now - request.state_since > max_call_time(request):
            return DependencyStep.SKIP
        return DependencyStep.WAIT


def max_call_time(request: TrackedRequest) -> float:
    """The longest time in seconds that a call of the request, or its wait for one, may take."""
    return MAX_OBJECTIVE_SHARE * request.request_class.latency_objective


def call_timeout(request: TrackedRequest, now: float) -> float:
    """The timeout in seconds of a call that starts at ``now``."""
    time_left = max(POLL_INTERVAL_S, request.deadline - ANSWER_MARGIN_S - now)
    return min(time_left, max_call_time(request))
