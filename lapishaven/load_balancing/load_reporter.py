"""Measures what a process reports of itself: load by class, speed, slow start, failures. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from math import exp

from lapishaven.load_balancing.load_report import MAX_U8, LoadReport

SPEED_WINDOW_S = 10.0  # over which speed is measured
MIN_SLOT_SECONDS = 1.0  # of work before a speed is reported
DURATION_SMOOTHING = 0.05  # weight of a new run in the mean duration of its class
FAILURE_SMOOTHING = 0.1  # weight of a new run in the part of runs that fail
FAILURE_DECAY_S = 5.0  # in which that part falls to 1/e when nothing runs
MIN_SHARE = 1.0 / MAX_U8  # asked for even if every run fails: without requests it could not recover


class LoadReporter:
    """Is notified of every run's start and end, and makes reports.

    Parameters:
        incarnation: drawn for this start of the process.
        slots: requests that it works on at one time.
        now: the current time in s.
        initial_share: the part of its full share that it asks for at first.
        slow_start_s: duration of slow start, after which it asks for its full share; 0 for no slow start.
    """

    def __init__(
        self, incarnation: int, slots: int, now: float, initial_share: float = 1.0, slow_start_s: float = 0.0
    ) -> None:
        self._incarnation = incarnation
        self._slots = slots
        self._started_at = now
        self._initial_share = initial_share
        self._slow_start_s = slow_start_s
        self._sequence = 0
        self._updated_at = now
        # Slot seconds of work and the typical requests served in them; both decay alike.
        self._busy_slot_s = 0.0
        self._served = 0.0
        self._running: dict[str, tuple[int, float]] = {}  # class and start by run
        self._class_duration_s: dict[int, float] = {}
        self._typical_duration_s = 0.0  # 0 while nothing was served
        self._failing = 0.0  # part of the last runs that failed
        self.draining = False

    def _decay(self, now: float) -> None:
        elapsed_s = now - self._updated_at
        if elapsed_s <= 0:
            return
        remaining = max(0.0, 1.0 - elapsed_s / SPEED_WINDOW_S)
        self._busy_slot_s = self._busy_slot_s * remaining + elapsed_s * min(self._slots, len(self._running))
        self._served *= remaining
        self._failing *= exp(-elapsed_s / FAILURE_DECAY_S)
        self._updated_at = now

    def relative_cost(self, class_index: int) -> float:
        """The duration of a request of the class, in durations of a typical one."""
        if not self._typical_duration_s:
            return 1.0
        return self._class_duration_s.get(class_index, self._typical_duration_s) / self._typical_duration_s

    def run_started(self, now: float, handle: str, class_index: int) -> None:
        """A run of the class began; ``handle`` names it until it ends."""
        self._decay(now)
        self._running[handle] = class_index, now

    def run_ended(self, now: float, handle: str, served: bool, failed: bool) -> None:
        """A run ended. One that was cancelled is neither served nor failed."""
        self._decay(now)
        run = self._running.pop(handle, None)
        if run is None:
            return
        self._failing += FAILURE_SMOOTHING * (float(failed) - self._failing)
        if served:
            class_index, started_at = run
            self._learn_duration(class_index, now - started_at)

    def _learn_duration(self, class_index: int, duration_s: float) -> None:
        mean_s = self._class_duration_s.get(class_index, duration_s)
        self._class_duration_s[class_index] = mean_s + DURATION_SMOOTHING * (duration_s - mean_s)
        if self._typical_duration_s:
            self._typical_duration_s += DURATION_SMOOTHING * (duration_s - self._typical_duration_s)
        else:
            self._typical_duration_s = duration_s
        self._served += self.relative_cost(class_index)

    def report(self, now: float, in_flight: Mapping[int, int]) -> LoadReport:
        """The next report; ``in_flight``: how many requests of each class are queued or running."""
        self._decay(now)
        self._sequence += 1
        weighted_load = sum(count * self.relative_cost(class_index) for class_index, count in in_flight.items())
        speed = self._served / self._busy_slot_s if self._busy_slot_s >= MIN_SLOT_SECONDS else 0.0
        return LoadReport(
            self._incarnation,
            self._sequence,
            sum(in_flight.values()),
            weighted_load,
            self._slots,
            speed,
            self._desired_share(now),
        )

    def _desired_share(self, now: float) -> float:
        if self.draining:
            return 0.0
        share = 1.0
        if self._slow_start_s:
            progress = (now - self._started_at) / self._slow_start_s
            share = min(1.0, self._initial_share + (1.0 - self._initial_share) * progress)
        return max(share * (1.0 - self._failing), MIN_SHARE)
