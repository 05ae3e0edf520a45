"""Measures the load of the instance: how busy the cores are, and how much work waits for them."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from lapishaven.admission.request import TrackedRequest
from lapishaven.admission.run_latency import RunLatency
from lapishaven.admission.settings import Settings

# Interval between load samples. The host's gauges are averages over half a second, so a change takes five samples to
# show in full.
POLL_INTERVAL_S = 0.1
WINDOW_SAMPLES = 10  # one second: shorter than every latency objective, long enough to average out noise
BUSY_UTILIZATION = 0.8  # CPU utilization from which the cores count as busy
# The read delay is multiplied by this at each sample, so that one late read loses its influence within the half second
# that the gauges average over.
READ_DELAY_DECAY = 0.7


class LoadMeasurement:
    """A rolling window of load samples. A load of 1 means that all cores are busy and nothing waits.

    CPU utilization cannot exceed 1 however high the demand is, so the delay of waiting work, divided by the shortest
    latency objective, is added to it. It is added only while the cores are busy. Known weakness: if there are few
    runs, a single long one raises the expected run time, so that the queue looks slower than it is.
    """

    __slots__ = ("_shortest_objective", "_window", "read_delay", "utilization")

    def __init__(self, settings: Settings) -> None:
        self._window: deque[float] = deque(maxlen=WINDOW_SAMPLES)
        self.utilization = 0.0
        """The latest CPU utilization, 0 to 1."""
        self.read_delay = 0.0
        """The recent delay in seconds between the arrival and the reading of requests; decays with each sample."""
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new latency objectives."""
        self._shortest_objective = min(request_class.latency_objective for request_class in settings.classes)

    def record_read(self, age: float) -> None:
        """Record that a request was read ``age`` seconds after it arrived."""
        self.read_delay = max(self.read_delay, age)

    def record_utilization(self, cpu_utilization: float | None, stalled: bool, has_queue: bool) -> None:
        """Record a CPU utilization; ``None`` if the host has no gauge: then the cores count as busy if work is queued.

        ``stalled`` means that all run slots are occupied. Nothing more can start then, even if the cores look idle
        because runs or the dependency hang, so the instance counts as busy. Known weakness: long waits for the disk
        look like a stall.
        """
        if stalled or (cpu_utilization is None and has_queue):
            self.utilization = 1.0
        else:
            self.utilization = cpu_utilization or 0.0

    def record_load(self, load: float) -> None:
        """Add the load at a load sample to the window, and let the read delay decay."""
        self._window.append(load)
        self.read_delay *= READ_DELAY_DECAY

    def average(self) -> float:
        """The mean load over the window; at least one load must have been recorded."""
        return sum(self._window) / len(self._window)

    def current(self, queued: Iterable[TrackedRequest], run_latency: RunLatency, concurrency_limit: float) -> float:
        """The current load, including waiting work."""
        if self.utilization < BUSY_UTILIZATION:
            return self.utilization
        run_times = run_latency.expected_by_class()
        queue_delay = sum([run_times[request.class_index] for request in queued]) / concurrency_limit
        return self.utilization + (self.read_delay + queue_delay) / self._shortest_objective

    def has_waiting_work(self, queue_length: int) -> bool:
        """Whether the cores are busy and requests other than the newest one wait for them."""
        return self.utilization >= BUSY_UTILIZATION and (queue_length > 1 or self.read_delay > POLL_INTERVAL_S)
