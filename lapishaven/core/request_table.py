"""The table of requests, with their ids, the index by attempt, and their deadlines."""

from __future__ import annotations

import random
from heapq import heappop, heappush

from lapishaven.core.requests import Request

ID_COUNT = 1 << 32  # request ids are u32
ABANDON_AFTER_S = 60.0  # after its deadline, a run whose end was never reported is given up


class RequestTable:
    """Requests from their arrival until they are answered, or cancelled, and no longer run.

    Deadlines stay in their heap when a request leaves the table and are skipped when they come up.
    """

    def __init__(self, seed: int) -> None:
        """``seed`` decides the first id."""
        self.requests: dict[int, Request] = {}  # by request id
        self.by_attempt: dict[str, Request] = {}  # by attempt id
        self._last_id = random.Random(seed).randrange(ID_COUNT)
        self._deadlines: list[tuple[float, int]] = []  # heap of times and request ids
        self._abandonments: list[tuple[float, int]] = []  # heap, likewise

    def add(self, request: Request) -> None:
        """Enter a request under its id and its attempt."""
        self.requests[request.request_id] = request
        self.by_attempt[request.submission.attempt_id] = request

    def remove(self, request: Request) -> None:
        """Remove a request that is in the table."""
        del self.requests[request.request_id]
        del self.by_attempt[request.submission.attempt_id]

    def new_id(self) -> int:
        """An id that no request in the table has; never 0."""
        self._last_id = (self._last_id + 1) % ID_COUNT
        while self._last_id in self.requests or self._last_id == 0:
            self._last_id = (self._last_id + 1) % ID_COUNT
        return self._last_id

    @property
    def unanswered(self) -> list[Request]:
        """The requests that are owed an answer."""
        return [request for request in self.requests.values() if request.reply is not None]

    def schedule_final_answer(self, at: float, request: Request) -> None:
        """Have the request come up in ``next_overdue`` at that time; the earliest of its times counts."""
        heappush(self._deadlines, (at, request.request_id))

    def schedule_final_answers(self, at: float) -> None:
        """Have every request come up in ``next_overdue`` at that time."""
        for request_id in self.requests:
            heappush(self._deadlines, (at, request_id))

    def next_overdue(self, now: float) -> Request | None:
        """A request that is still owed an answer at its time; ``None`` when there is no more."""
        while self._deadlines and self._deadlines[0][0] <= now:
            request = self.requests.get(heappop(self._deadlines)[1])
            if request is not None and request.reply is not None:
                return request
        return None

    def schedule_abandonment(self, request: Request) -> None:
        """Have a request that starts come up in ``next_abandoned``, some time after its deadline."""
        heappush(self._abandonments, (request.deadline + ABANDON_AFTER_S, request.request_id))

    def next_abandoned(self, now: float) -> Request | None:
        """A request whose run's end was not reported in time; ``None`` when there is no more."""
        while self._abandonments and self._abandonments[0][0] <= now:
            request = self.requests.get(heappop(self._abandonments)[1])
            if request is not None:
                return request
        return None

    def next_due_at(self) -> float:
        """When the next request may come up in either list; infinite if there is none."""
        earliest = float("inf")
        if self._deadlines:
            earliest = self._deadlines[0][0]
        if self._abandonments and self._abandonments[0][0] < earliest:
            earliest = self._abandonments[0][0]
        return earliest
