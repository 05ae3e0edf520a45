"""The memory budget of open requests and idempotency keys."""

from __future__ import annotations

from lapishaven.admission.request import QUEUED, RUNNING, RequestState, TrackedRequest
from lapishaven.admission.settings import Settings

MAX_MEMORY_SHARE = 0.92  # fraction of the instance's memory; the rest is for requests of the next batch


class MemoryBudget:
    """Accounts for memory in kilobytes. A request is charged by its state, and more once it has started to run."""

    __slots__ = ("_limit_kb", "_running_factor", "_state_factors", "used_kb")

    def __init__(self, settings: Settings) -> None:
        self.used_kb = 0.0
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply the limit and the factor of new settings; charges that were already made stay unchanged."""
        factor = settings.running_memory_factor
        self._limit_kb = MAX_MEMORY_SHARE * settings.memory_kb
        self._running_factor = factor
        self._state_factors = [factor if state >= RUNNING else 1.0 for state in RequestState]

    def charge(self, request: TrackedRequest) -> None:
        """Add the memory of the request in its current state."""
        self.used_kb += request.memory_kb * self._state_factors[request.state]

    def release(self, request: TrackedRequest) -> None:
        """Subtract the memory of the request in its current state."""
        self.used_kb -= request.memory_kb * self._state_factors[request.state]

    def is_exhausted_by(self, request: TrackedRequest) -> bool:
        """Whether the budget is exceeded now that the request is charged as queued, or its run could never fit."""
        return max(self.used_kb, request.memory_kb * self._running_factor) > self._limit_kb

    def fits(self, additional_kb: float) -> bool:
        """Whether ``additional_kb`` more can be charged."""
        return self.used_kb + additional_kb <= self._limit_kb

    def can_start(self, request: TrackedRequest) -> bool:
        """Whether a run of the request fits; a paused run is already charged in full."""
        if request.state is not QUEUED:
            return self.fits(0.0)
        return self.fits(request.memory_kb * (self._running_factor - 1.0))
