"""The open requests of an instance, by id and by state."""

from __future__ import annotations

from lapishaven.admission.memory_budget import MemoryBudget
from lapishaven.admission.request import (
    AWAITING_DEPENDENCY,
    CALLING_DEPENDENCY,
    PAUSED,
    QUEUED,
    RUNNING,
    RequestState,
    TrackedRequest,
)


class RequestTable:
    """Performs every state change of a request, so that counts, queue and memory stay consistent."""

    __slots__ = ("_memory", "counts", "queued", "requests")

    def __init__(self, memory: MemoryBudget) -> None:
        self._memory = memory
        self.requests: dict[int, TrackedRequest] = {}
        self.queued: dict[int, TrackedRequest] = {}
        """Requests in state ``QUEUED``, in the order in which they entered that state."""
        self.counts = [0] * len(RequestState)
        """Requests by state."""

    def add(self, request: TrackedRequest) -> None:
        """Add an arriving request in state ``QUEUED``."""
        self.requests[request.request_id] = request
        self.queued[request.request_id] = request
        self.counts[request.state] += 1
        self._memory.charge(request)

    def move(self, request: TrackedRequest, state: RequestState, now: float) -> None:
        """Change the state of a request."""
        self._exit_state(request)
        request.state = state
        request.state_since = now
        self.counts[state] += 1
        self._memory.charge(request)
        if state is QUEUED:
            self.queued[request.request_id] = request

    def remove(self, request: TrackedRequest) -> None:
        """Remove a request that has ended."""
        self._exit_state(request)
        del self.requests[request.request_id]

    def occupied_slots(self) -> int:
        """The number of requests whose run has started and is not paused, including those at a dependency call."""
        return sum(self.counts[RUNNING:PAUSED])

    def at_dependency(self) -> int:
        """The number of requests whose run is suspended for a dependency call."""
        return self.counts[AWAITING_DEPENDENCY] + self.counts[CALLING_DEPENDENCY]

    def _exit_state(self, request: TrackedRequest) -> None:
        self.counts[request.state] -= 1
        self._memory.release(request)
        self.queued.pop(request.request_id, None)
