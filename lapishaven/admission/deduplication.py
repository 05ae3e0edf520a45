"""At-most-once execution of non-idempotent requests: reservations in the idempotency key table."""

from __future__ import annotations

from heapq import heappop, heappush

from lapishaven.admission.events import RequestArrived
from lapishaven.admission.load_measurement import POLL_INTERVAL_S
from lapishaven.admission.memory_budget import MemoryBudget
from lapishaven.admission.request import TrackedRequest
from lapishaven.admission.settings import Idempotency, Settings

EXPIRY_MARGIN_S = (
    POLL_INTERVAL_S  # entries expire this long after their window, and their memory is freed this much later
)


def can_share_result(request: TrackedRequest, event: RequestArrived, result_freshness: float) -> bool:
    """Whether a request is answered with the result of its original.

    That holds for every duplicate that must not run twice, and for reads if results may be reused
    (``result_freshness`` above 0 s).
    """
    if event.duplicate_of is None:
        return False
    return request.needs_reservation or (result_freshness > 0 and not event.is_write)


class KeyReservations:
    """Entries in the idempotency key table, made before a run and kept until the class's idempotency window ends."""

    __slots__ = ("_entry_kb", "_expiries", "_memory", "reserved_kb")

    def __init__(self, settings: Settings, memory: MemoryBudget) -> None:
        self._memory = memory
        self._expiries: list[tuple[float, int]] = []  # heap of (time, request id); the windows of classes differ
        self.reserved_kb: dict[int, float] = {}
        """Memory charged for each entry, by request id; 0 for classes whose callers send no key."""
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply a new size for entries that are added from now on."""
        self._entry_kb = settings.key_entry_kb

    def reserve(self, request: TrackedRequest, now: float) -> float | None:
        """Add an entry; return its time to live in seconds, or ``None`` if there is no memory for it."""
        request_class = request.request_class
        size_kb = self._entry_kb if request_class.idempotency is Idempotency.WITH_KEY else 0.0
        if not self._memory.fits(size_kb):
            return None
        window = request_class.idempotency_window or request_class.deadline
        expires_at = request.arrived_at + window + EXPIRY_MARGIN_S
        request.has_reservation = True
        self.reserved_kb[request.request_id] = size_kb
        heappush(self._expiries, (expires_at, request.request_id))
        self._memory.used_kb += size_kb
        return expires_at - now

    def release(self, request: TrackedRequest) -> bool:
        """Remove the entry of a request that never ran; return whether there was one."""
        if not request.has_reservation or request.has_run or request.request_id not in self.reserved_kb:
            return False
        self._memory.used_kb -= self.reserved_kb.pop(request.request_id)
        return True

    def expire(self, now: float) -> None:
        """Remove the entries whose window has ended."""
        expiries = self._expiries
        while expiries and expiries[0][0] + EXPIRY_MARGIN_S < now:
            self._memory.used_kb -= self.reserved_kb.pop(heappop(expiries)[1], 0.0)
