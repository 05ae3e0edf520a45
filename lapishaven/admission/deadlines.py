"""The times at which open requests must be answered."""

from __future__ import annotations

from heapq import heappop, heappush

from lapishaven.admission.load_measurement import POLL_INTERVAL_S

ANSWER_MARGIN_S = 1.5 * POLL_INTERVAL_S  # before the deadline, when the answer goes out: a sample may be that late


class DeadlineQueue:
    """A heap of request ids by the time at which they expire. Entries of ended requests stay until that time."""

    __slots__ = ("_heap",)

    def __init__(self) -> None:
        self._heap: list[tuple[float, int]] = []

    def push(self, expires_at: float, request_id: int) -> None:
        """Expire a request at a time, or earlier if it has an earlier entry."""
        heappush(self._heap, (expires_at, request_id))

    def pop_expired(self, now: float) -> list[int]:
        """Remove and return the ids that have expired, the earliest first."""
        heap = self._heap
        expired: list[int] = []
        while heap and heap[0][0] <= now:
            expired.append(heappop(heap)[1])
        return expired
