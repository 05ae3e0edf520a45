"""Measures the load that a process reports: weighted load, speed, slow start and failures. Performs no I/O."""

from __future__ import annotations

from collections.abc import Mapping
from math import exp

from lapishaven.load_balancing.load_report import MAX_U8, LoadReport

# Time constant of the speed measurement. An update multiplies the earlier values by ``1 - elapsed / SPEED_WINDOW_S``;
# they are dropped if there was no update for this long.
SPEED_WINDOW_S = 10.0
MIN_BUSY_SLOT_S = 1.0  # busy slot seconds needed before a speed is reported
DURATION_SMOOTHING = 0.05  # weight of a new served run in the mean durations
FAILURE_SMOOTHING = 0.1  # weight of a new run in the failure rate
FAILURE_DECAY_S = 5.0  # time constant of the exponential decay of the failure rate with time
# Desired share even if every run fails, since without requests the process could never show that it has recovered. The
# smallest share above 0 that a report can encode; 0 means that the process drains.
MIN_SHARE = 1.0 / MAX_U8


class LoadReporter:
    """Is notified of the start and end of every run, and produces load reports.

    Parameters:
        incarnation: a random number that identifies this start of the process.
        slots: number of requests that the process runs concurrently.
        now: the current time in seconds.
        initial_share: desired share at the beginning of slow start.
        slow_start_s: duration of slow start, over which the desired share grows to 1; 0 for no slow start.
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
        # Busy slot seconds, and the number of typical requests served in them; both decay at the same rate.
        self._busy_slot_s = 0.0
        self._served_requests = 0.0
        self._running: dict[str, tuple[int, float]] = {}  # class index and start time by run id
        self._class_duration_s: dict[int, float] = {}  # mean duration by class index
        self._typical_duration_s = 0.0  # mean duration over all classes; 0 until a request was served
        self._failure_rate = 0.0  # running mean of failed runs, 0 to 1, that also decays with time
        self.draining = False

    def _advance(self, now: float) -> None:
        """Decay the measurements to ``now``, and add the busy slot time since the last update."""
        elapsed_s = now - self._updated_at
        if elapsed_s <= 0:
            return
        remaining = max(0.0, 1.0 - elapsed_s / SPEED_WINDOW_S)
        self._busy_slot_s = self._busy_slot_s * remaining + elapsed_s * min(self._slots, len(self._running))
        self._served_requests *= remaining
        self._failure_rate *= exp(-elapsed_s / FAILURE_DECAY_S)
        self._updated_at = now

    def relative_cost(self, class_index: int) -> float:
        """Return the mean duration of the class relative to that of a typical request; 1 if either is unknown."""
        if not self._typical_duration_s:
            return 1.0
        return self._class_duration_s.get(class_index, self._typical_duration_s) / self._typical_duration_s

    def run_started(self, now: float, run_id: str, class_index: int) -> None:
        """Record the start of a run."""
        self._advance(now)
        self._running[run_id] = class_index, now

    def run_ended(self, now: float, run_id: str, served: bool, failed: bool) -> None:
        """Record the end of a run.

        A cancelled run is neither served nor failed. In the failure rate it counts as a run that did not fail.
        """
        self._advance(now)
        run = self._running.pop(run_id, None)
        if run is None:
            return
        self._failure_rate += FAILURE_SMOOTHING * (float(failed) - self._failure_rate)
        if served:
            class_index, started_at = run
            self._record_duration(class_index, now - started_at)

    def _record_duration(self, class_index: int, duration_s: float) -> None:
        mean_s = self._class_duration_s.get(class_index, duration_s)
        self._class_duration_s[class_index] = mean_s + DURATION_SMOOTHING * (duration_s - mean_s)
        if self._typical_duration_s:
            self._typical_duration_s += DURATION_SMOOTHING * (duration_s - self._typical_duration_s)
        else:
            self._typical_duration_s = duration_s
        self._served_requests += self.relative_cost(class_index)

    def report(self, now: float, in_flight: Mapping[int, int]) -> LoadReport:
        """Produce the next report. ``in_flight``: the number of requests queued or running, by class."""
        self._advance(now)
        self._sequence += 1
        weighted_load = sum(count * self.relative_cost(class_index) for class_index, count in in_flight.items())
        speed = self._served_requests / self._busy_slot_s if self._busy_slot_s >= MIN_BUSY_SLOT_S else 0.0
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
        return max(share * (1.0 - self._failure_rate), MIN_SHARE)
