"""The queue of times at which open requests expire."""

from __future__ import annotations

from heapq import heappop, heappush

from lapishaven.admission.load_measurement import POLL_INTERVAL_S

# Answers are sent this long before the deadline, because the next load sample may be that late.
ANSWER_MARGIN_S = 1.5 * POLL_INTERVAL_S


class DeadlineQueue:
    """A heap of request ids by expiry time. Entries of requests that have ended stay until that time."""

    __slots__ = ("_heap",)

    def __init__(self) -> None:
        self._heap: list[tuple[float, int]] = []

    def push(self, expires_at: float, request_id: int) -> None:
        """Have a request expire at ``expires_at``, or earlier if it has an earlier entry."""
        heappush(self._heap, (expires_at, request_id))

    def pop_expired(self, now: float) -> list[int]:
        """Remove and return the ids of expired requests, the earliest first."""
        heap = self._heap
        expired: list[int] = []
        while heap and heap[0][0] <= now:
            expired.append(heappop(heap)[1])
        return expired
