"""The load of the instance: how busy the cores are, and how much work waits for them."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from lapishaven.admission.request import TrackedRequest
from lapishaven.admission.run_latency import RunLatency
from lapishaven.admission.settings import Settings

POLL_INTERVAL_S = 0.1  # between load samples; the host's gauges span half a second, so five samples see each change
WINDOW_SAMPLES = 10  # one second: short against every latency objective, long against the noise of a sample
NEARLY_BUSY = 0.8  # CPU utilization from which the cores count as nearly all busy
READ_DELAY_DECAY = (
    0.7  # factor at each sample, so that one late read does not outlast the half second that the gauges span
)


class LoadMeasurement:
    """A rolling window over load samples. A load of 1 means that all cores are busy and nothing waits.

    Full cores read 1 at any demand above that, so waiting work is added as the utilization that it will
    become: its waiting time over the shortest latency objective. It is added only while the cores are
    nearly all busy. Known weakness: one long run among few makes the queue look slower than it is.
    """

    __slots__ = ("_shortest_objective", "_window", "read_delay", "utilization")

    def __init__(self, settings: Settings) -> None:
        self._window: deque[float] = deque(maxlen=WINDOW_SAMPLES)
        self.utilization = 0.0
        """The latest CPU utilization, 0 to 1."""
        self.read_delay = 0.0
        """Seconds that requests have waited to be read of late; it decays with each sample."""
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Take over new latency objectives."""
        self._shortest_objective = min(each.latency_objective for each in settings.classes)

    def record_read(self, age: float) -> None:
        """Note that a request was read ``age`` seconds after it had come in."""
        self.read_delay = max(self.read_delay, age)

    def record_utilization(self, cpu_utilization: float | None, stalled: bool, has_queue: bool) -> None:
        """Take in a CPU utilization; ``None`` if the host has no gauge, then a queue counts as busy cores.

        ``stalled`` says that all run slots are occupied. Then nothing more can start however idle the cores
        look, as the work or the dependency stands still, and that counts as busy. Known weakness: long waits
        for disk look like a stall.
        """
        if stalled or (cpu_utilization is None and has_queue):
            self.utilization = 1.0
        else:
            self.utilization = cpu_utilization or 0.0

    def record_load(self, load: float) -> None:
        """Add a load to the window, and let the read delay decay."""
        self._window.append(load)
        self.read_delay *= READ_DELAY_DECAY

    def average(self) -> float:
        """The mean load over the window."""
        return sum(self._window) / len(self._window)

    def current(self, queued: Iterable[TrackedRequest], run_latency: RunLatency, concurrency_limit: float) -> float:
        """The load at this moment, waiting work included."""
        if self.utilization < NEARLY_BUSY:
            return self.utilization
        run_times = run_latency.expected_by_class()
        queue_delay = sum([run_times[request.class_index] for request in queued]) / concurrency_limit
        return self.utilization + (self.read_delay + queue_delay) / self._shortest_objective

    def has_waiting_work(self, queue_length: int) -> bool:
        """Whether the cores are nearly all busy and more than the newest request waits for them."""
        return self.utilization >= NEARLY_BUSY and (queue_length > 1 or self.read_delay > POLL_INTERVAL_S)
