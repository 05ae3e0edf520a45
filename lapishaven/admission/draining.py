"""Graceful shutdown: which requests may still run between the drain request and the kill."""

from __future__ import annotations

from lapishaven.admission.deadlines import ANSWER_MARGIN_S
from lapishaven.admission.request import TrackedRequest
from lapishaven.admission.settings import Settings

GRACE_TOLERANCE_S = 0.01  # the grace period ends this much early
RUN_TIME_MARGIN = 1.5  # multiple of its expected run time that must remain before the last answer
KILL_MARGIN_S = 2 * ANSWER_MARGIN_S  # everything is answered this long before the kill


class Drain:
    """The state of an instance's drain. Times are seconds on the host's clock."""

    __slots__ = ("_grace_s", "_kill_at", "_started_at", "is_active")

    def __init__(self, settings: Settings) -> None:
        self.is_active = False
        self._started_at = 0.0
        self._kill_at = 0.0
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply a new grace period."""
        self._grace_s = settings.drain_grace

    def begin(self, now: float, kill_at: float) -> None:
        """Start to drain; the process will be killed at ``kill_at``."""
        self.is_active = True
        self._started_at = now
        self._kill_at = kill_at

    def capped_deadline(self, deadline: float) -> float:
        """The deadline of a request that arrives while draining."""
        return min(deadline, self._kill_at - ANSWER_MARGIN_S)

    def last_answer_at(self) -> float:
        """The time by which all open requests must be answered."""
        return self._kill_at - KILL_MARGIN_S

    def is_too_late(self, request: TrackedRequest, now: float, run_time: float) -> bool:
        """Whether a queued request must not start: it arrived after the grace period or might not end in time."""
        if request.arrived_at > self._started_at + self._grace_s - GRACE_TOLERANCE_S:
            return True
        return now + RUN_TIME_MARGIN * run_time > self.last_answer_at()
