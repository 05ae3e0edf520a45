"""The controller's timers, each of which is answered with a load sample from the backend."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from heapq import heappop, heappush

from lapishaven.admission import Event, LoadSample
from lapishaven.core.ports import Backend
from lapishaven.counters import Counters

# After this a timer is answered without gauges, so that the controller's timers never stop.
SAMPLE_TIMEOUT_S = 0.25


class LoadSampling:
    """Requests a sample when a timer is due, and queues it for the controller once it arrives or times out."""

    def __init__(self, backend: Backend, counters: Counters, events: list[Event]) -> None:
        """``events`` is the queue of events for the controller."""
        self._backend = backend
        self._counters = counters
        self._events = events
        self._timers: list[tuple[float, int]] = []  # heap of (due time, timer id)
        # Timers that wait for a sample: the end of the wait, and the timer id.
        self._waiting: deque[tuple[float, int]] = deque()

    def schedule(self, at: float, timer_id: int) -> None:
        """Start a timer that is due at ``at``."""
        heappush(self._timers, (at, timer_id))

    def process_due(self, now: float) -> None:
        """Request a sample for the timers that are due, and answer those whose sample did not arrive in time."""
        while self._timers and self._timers[0][0] <= now:
            if not self._waiting:
                self._backend.request_load_sample()
            self._waiting.append((now + SAMPLE_TIMEOUT_S, heappop(self._timers)[1]))
        while self._waiting and self._waiting[0][0] <= now:
            self._counters.add("module", "polls without gauges")
            _, timer_id = self._waiting.popleft()
            self._events.append(LoadSample(timer_id, None, None, None, None))

    def deliver(self, gauges: Mapping[str, float]) -> None:
        """Answer all waiting timers with the backend's gauges, given by name."""
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
        """The time at which ``process_due`` next has work to do; infinite if there is none."""
        earliest = float("inf")
        if self._timers:
            earliest = self._timers[0][0]
        if self._waiting and self._waiting[0][0] < earliest:
            earliest = self._waiting[0][0]
        return earliest
