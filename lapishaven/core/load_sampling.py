"""The controller's timers, each of which is answered with a sample of the backend's load."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from heapq import heappop, heappush

from lapishaven.admission import Event, LoadSample
from lapishaven.core.ports import Backend
from lapishaven.counters import Counters

SAMPLE_TIMEOUT_S = 0.25  # a timer is answered without gauges after this, so that the controller's timers never stop


class LoadSampling:
    """Requests a sample when a timer is due, and queues it for the controller when it comes, or is overdue."""

    def __init__(self, backend: Backend, counters: Counters, events: list[Event]) -> None:
        """``events`` is the queue of what the controller is to be told."""
        self._backend = backend
        self._counters = counters
        self._events = events
        self._timers: list[tuple[float, int]] = []  # heap of times and timer ids
        self._waiting: deque[tuple[float, int]] = (
            deque()
        )  # timers that wait for a sample: when the wait ends, and the id

    def schedule(self, at: float, timer_id: int) -> None:
        """Start a timer that is due at that time."""
        heappush(self._timers, (at, timer_id))

    def process_due(self, now: float) -> None:
        """Request a sample for each timer that is due, and answer those whose sample has not come in time."""
        while self._timers and self._timers[0][0] <= now:
            if not self._waiting:
                self._backend.request_load_sample()
            self._waiting.append((now + SAMPLE_TIMEOUT_S, heappop(self._timers)[1]))
        while self._waiting and self._waiting[0][0] <= now:
            self._counters.add("module", "polls without gauges")
            _, timer_id = self._waiting.popleft()
            self._events.append(LoadSample(timer_id, None, None, None, None))

    def deliver(self, gauges: Mapping[str, float]) -> None:
        """The backend's gauges by name: answer all timers that wait."""
        for _, timer_id in self._waiting:
            self._events.append(
                LoadSample(
                    timer_id,
                    cpu_utilization=gauges.get("core_use"),
                    runnable=gauges.get("on_cores"),
                    memory_utilization=gauges.get("heap_share"),
                    connections=gauges.get("links"),
                )
            )
        self._waiting.clear()

    def next_due_at(self) -> float:
        """When ``process_due`` has something to do; infinite if there is nothing to wait for."""
        earliest = float("inf")
        if self._timers:
            earliest = self._timers[0][0]
        if self._waiting and self._waiting[0][0] < earliest:
            earliest = self._waiting[0][0]
        return earliest
