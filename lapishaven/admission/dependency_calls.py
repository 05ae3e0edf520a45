"""Calls to the dependency that instances share: the quota, and what becomes of requests that wait for it."""

from __future__ import annotations

from collections import deque
from enum import Enum

from lapishaven.admission.deadlines import ANSWER_MARGIN_S
from lapishaven.admission.load_measurement import POLL_INTERVAL_S
from lapishaven.admission.request import TrackedRequest
from lapishaven.admission.run_latency import LatencyEstimate
from lapishaven.admission.settings import Settings

SAFE_QUOTA_SHARE = 0.9  # of the instance's quota that is used
SLOW_LATENCY = 2.5  # call latency over its baseline from which the dependency counts as slow
MAX_OBJECTIVE_SHARE = 0.5  # of the latency objective that a call, or the wait for one, may take


class DependencyStep(Enum):
    """What a request that needs a dependency call does next."""

    CALL = "call"
    SKIP = "skip"
    WAIT = "wait"


class DependencyCalls:
    """Keeps the calls in flight, now and in the mean, within the quota.

    A call that timed out may go on at the dependency, so it counts for ``dependency_linger`` seconds more.
    """

    __slots__ = ("_lingering_until", "_quota", "_settings", "latency", "mean_in_flight", "waiting")

    def __init__(self, settings: Settings) -> None:
        quota = settings.dependency_quota
        self._quota = SAFE_QUOTA_SHARE * quota if quota is not None else float("inf")
        self._lingering_until: deque[float] = deque()
        self.latency = LatencyEstimate()
        """Latency of calls, of all classes together."""
        self.mean_in_flight = 0.0
        """Mean number of calls in flight, over ``dependency_window`` seconds."""
        self.waiting: deque[int] = deque()
        """Ids of requests that need a call, in the order in which they asked."""
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Take over new times; the quota is that of the start."""
        self._settings = settings

    def add_lingering(self, now: float) -> None:
        """Note that a call was given up and may go on at the dependency."""
        self._lingering_until.append(now + self._settings.dependency_linger)

    def expire_lingering(self, now: float) -> None:
        """Forget given-up calls that have ended by now."""
        while self._lingering_until and self._lingering_until[0] <= now:
            self._lingering_until.popleft()

    def in_flight(self, calling: int) -> int:
        """Calls at the dependency: ``calling`` requests, and those that linger."""
        return calling + len(self._lingering_until)

    def update_mean(self, calling: int) -> None:
        """Take the calls in flight at a load sample into the mean."""
        weight = POLL_INTERVAL_S / max(POLL_INTERVAL_S, self._settings.dependency_window)
        self.mean_in_flight += weight * (self.in_flight(calling) - self.mean_in_flight)

    def next_step(self, request: TrackedRequest, now: float, calling: int) -> DependencyStep:
        """Decide for the first of the waiting requests.

        It calls if the quota allows. If its class has a degraded answer it goes without the call once it has
        waited too long, or at once while the dependency is slow: waiting for it, all would miss their
        deadlines. Known weakness: degraded answers during a short slowness.
        """
        quota = self._quota
        if max(self.mean_in_flight, self.in_flight(calling) + min(1.0, quota)) <= quota:
            return DependencyStep.CALL
        if request.request_class.degraded_weight <= 0:
            return DependencyStep.WAIT
        if self.latency.inflation() > SLOW_LATENCY or now - request.state_since > max_call_time(request):
            return DependencyStep.SKIP
        return DependencyStep.WAIT


def max_call_time(request: TrackedRequest) -> float:
    """Seconds that a call of the request, or its wait for one, may take."""
    return MAX_OBJECTIVE_SHARE * request.request_class.latency_objective


def call_timeout(request: TrackedRequest, now: float) -> float:
    """Timeout in seconds of a call that begins now."""
    time_left = max(POLL_INTERVAL_S, request.deadline - ANSWER_MARGIN_S - now)
    return min(time_left, max_call_time(request))
