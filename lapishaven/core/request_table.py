"""The table of open requests, indexed by request and attempt id, and their deadlines."""

from __future__ import annotations

import random
from heapq import heappop, heappush

from lapishaven.core.requests import Request, Submission

ID_COUNT = 1 << 32  # request ids are u32
REQUEST_BYTES = 4096  # memory that an open request takes in all components, besides its body
ABANDON_AFTER_S = 60.0  # time after its deadline at which a run whose end was never reported is removed


def memory_of(submission: Submission) -> int:
    """Estimate of the bytes of this process's memory that a submission takes while it is open."""
    return REQUEST_BYTES + len(submission.body)


class RequestTable:
    """Requests from their arrival until they have been answered or cancelled and no longer run.

    When a request leaves the table its deadlines stay in the heaps, and are skipped when they are reached.
    """

    def __init__(self, seed: int) -> None:
        """``seed`` determines the first request id."""
        self.requests: dict[int, Request] = {}  # by request id
        self.by_attempt: dict[str, Request] = {}  # by attempt id
        self.held_bytes = 0  # estimate of the memory that they take
        self._last_id = random.Random(seed).randrange(ID_COUNT)
        self._deadlines: list[tuple[float, int]] = []  # heap of (time, request id)
        self._abandonments: list[tuple[float, int]] = []  # heap of (time, request id)

    def add(self, request: Request) -> None:
        """Add a request under its request and attempt id."""
        self.requests[request.request_id] = request
        self.by_attempt[request.submission.attempt_id] = request
        self.held_bytes += memory_of(request.submission)

    def remove(self, request: Request) -> None:
        """Remove a request that is in the table."""
        del self.requests[request.request_id]
        del self.by_attempt[request.submission.attempt_id]
        self.held_bytes -= memory_of(request.submission)

    def new_id(self) -> int:
        """A request id that is not in the table; never 0."""
        self._last_id = (self._last_id + 1) % ID_COUNT
        while self._last_id in self.requests or self._last_id == 0:
            self._last_id = (self._last_id + 1) % ID_COUNT
        return self._last_id

    @property
    def unanswered(self) -> list[Request]:
        """The requests that have not been answered."""
        return [request for request in self.requests.values() if request.reply is not None]

    def schedule_final_answer(self, at: float, request: Request) -> None:
        """Schedule a request for ``next_overdue`` at ``at``; the earliest of its times applies."""
        heappush(self._deadlines, (at, request.request_id))

    def schedule_final_answers(self, at: float) -> None:
        """Schedule every request for ``next_overdue`` at ``at``."""
        for request_id in self.requests:
            heappush(self._deadlines, (at, request_id))

    def next_overdue(self, now: float) -> Request | None:
        """Remove and return the next scheduled request that is unanswered at its time; ``None`` if there is none."""
        while self._deadlines and self._deadlines[0][0] <= now:
            request = self.requests.get(heappop(self._deadlines)[1])
            if request is not None and request.reply is not None:
                return request
        return None

    def schedule_abandonment(self, request: Request) -> None:
        """Schedule a request that starts for ``next_abandoned``, ``ABANDON_AFTER_S`` after its deadline."""
        heappush(self._abandonments, (request.deadline + ABANDON_AFTER_S, request.request_id))

    def next_abandoned(self, now: float) -> Request | None:
        """The next request whose run's end was not reported in time; ``None`` if there is none."""
        while self._abandonments and self._abandonments[0][0] <= now:
            request = self.requests.get(heappop(self._abandonments)[1])
            if request is not None:
                return request
        return None

    def next_due_at(self) -> float:
        """The earliest time in either heap; infinite if both are empty."""
        earliest = float("inf")
        if self._deadlines:
            earliest = self._deadlines[0][0]
        if self._abandonments and self._abandonments[0][0] < earliest:
            earliest = self._abandonments[0][0]
        return earliest
