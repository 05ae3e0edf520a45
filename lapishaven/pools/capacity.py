"""Online estimates of an instance's capacity: its speed, its sustainable concurrency and run times.

Performs no I/O and reads no clock.

The unit of work is one second on a free core of this instance at its normal speed. The mean work of a class is
estimated from the core time that its runs attain. Core time is measured by a virtual clock that advances by
``min(1, cores / runs)`` per second, as in processor sharing, so that runs that share a core are not mistaken for a
slower instance. The speed is the work done divided by the core time spent; it is 1 at normal speed.
"""

from __future__ import annotations

from dataclasses import dataclass

from lapishaven.pools.concurrency_profile import ConcurrencyProfile
from lapishaven.pools.speed_detector import SpeedDetector
from lapishaven.pools.work_estimate import WorkEstimates

MIN_SPEED = 0.02  # lower bound of the speed estimate, so that times stay finite
MAX_SPEED = 4.0  # upper bound of the speed estimate
MIN_SPEED_CHANGE = 0.25  # fraction of the speed by which a measured speed must differ to be adopted
MIN_ATTAINED_S = 1e-6  # lower bound of a divisor, so that the speed stays finite
NORMAL_SPEED_RANGE = (0.75, 1.33)  # a speed within it counts as normal


@dataclass(slots=True)
class _Run:
    """One run in progress."""

    class_index: int
    attained_at_start: float  # reading of the virtual clock when it started
    work: float  # work that was expected when it started


class Capacity:
    """The capacity estimate of one instance. All times are in seconds on one monotonic clock."""

    __slots__ = (
        "_active",
        "_attained",
        "_cores",
        "_detector",
        "_work_done",
        "_now",
        "_profile",
        "_runs",
        "_core_time_spent",
        "_started_at",
        "_slow_start_initial_speed",
        "_slow_start_span",
        "_work",
        "speed",
        "speed_changed_at",
        "speed_changes",
    )

    def __init__(
        self,
        cores: int,
        initial_work: list[float],
        slow_start_initial_speed: float = 1.0,
        slow_start_span: float = 0.0,
        started_at: float = 0.0,
    ) -> None:
        """``initial_work`` is the assumed work of a run by class until runs have been measured.

        An instance in slow start begins with the fraction ``slow_start_initial_speed`` of its normal speed and reaches
        its normal speed after ``slow_start_span`` seconds.
        """
        self.speed = 1.0
        """The speed as a fraction of the normal speed, not counting slow start."""
        self.speed_changes = 0
        """The number of detected changes of speed."""
        self.speed_changed_at: float | None = None
        """The time of the latest detected change; ``None`` if there was none."""
        self._cores = cores
        self._slow_start_initial_speed = slow_start_initial_speed
        self._slow_start_span = slow_start_span
        self._started_at = started_at
        self._now = started_at  # time up to which the virtual clock and the core time spent are counted
        self._runs: dict[int, _Run] = {}
        self._active = 0  # number of runs in progress
        self._attained = 0.0  # virtual clock: core time that a run in progress since the start would have attained
        self._core_time_spent = 0.0  # by all runs since the last sample
        self._work_done = 0.0  # by the runs completed since the last sample
        self._work = WorkEstimates(initial_work)
        self._detector = SpeedDetector()
        self._profile = ConcurrencyProfile()

    def apply_settings(self, now: float, cores: int, initial_work: list[float]) -> None:
        """Apply reloaded settings; classes keep their index, and of added ones the ``initial_work`` is assumed."""
        self._advance(now)
        self._cores = cores
        self._work.add_classes(initial_work)

    # Measurement

    def run_started(self, now: float, request_id: int, class_index: int) -> None:
        """Record the start of a run."""
        self._advance(now)
        if request_id not in self._runs:
            self._runs[request_id] = _Run(class_index, self._attained, self._work.work(class_index))
            self._active += 1

    def run_ended(self, now: float, request_id: int, succeeded: bool) -> float:
        """Record the end of a run; return the core time that it attained. Only completed runs update the estimates."""
        self._advance(now)
        run = self._runs.pop(request_id, None)
        if run is None:
            return 0.0
        self._active -= 1
        attained = self._attained - run.attained_at_start
        if succeeded:
            # A run of a class that is not known yet is no evidence of a change of speed, so its work counts as what
            # the current speed predicts.
            is_known = self._work.is_known(run.class_index)
            self._work_done += run.work if is_known else attained * self.current_speed()
            work = attained * self._slow_start_speed(now)
            at_normal_speed = self.speed == 1.0 and self._detector.is_stable()
            self._work.record(run.class_index, work, self.speed, at_normal_speed, now)
        return attained

    def sample(self, now: float) -> bool:
        """Evaluate the runs since the last load sample; return whether the speed has changed."""
        self._advance(now)
        spent = self._core_time_spent
        done = self._work_done
        self._core_time_spent = 0.0
        self._work_done = 0.0
        self._detector.record(now, spent, done)
        if not spent:
            self._detector.reset()
            return False
        expected = spent * self.current_speed()
        self._profile.record(self._active / self._cores, spent, done / expected)
        if not self._detector.detects_change(expected, done, self._work.mean()):
            return False
        self._detector.reset()
        return self._adopt_speed(now)

    def _advance(self, now: float) -> None:
        """Advance the virtual clock and the core time spent to ``now``."""
        elapsed = now - self._now
        if elapsed <= 0:
            return
        self._now = now
        if self._active:
            self._attained += elapsed * min(1.0, self._cores / self._active)
            self._core_time_spent += elapsed * min(self._active, self._cores)

    def _adopt_speed(self, now: float) -> bool:
        """Adopt the speed measured in the detector's window if it differs enough; return whether it was adopted."""
        if self._work.adopt_changed_classes(now):
            return False  # the work of some classes changed, not the speed
        measured = self._detector.measured_speed()
        if measured is None:
            return False
        speed = measured / self._slow_start_speed(now)
        if abs(speed - self.speed) < MIN_SPEED_CHANGE * self.speed:
            return False
        self._set_speed(now, speed)
        return True

    def record_probe(self, now: float, class_index: int, attained: float) -> None:
        """Correct the estimates by a run that attained ``attained`` core-seconds although it was predicted to be late.

        What one run shows is uncertain, so it only corrects estimates that were too slow: the speed, up to the normal
        one, or else the work of its class.
        """
        if self.speed < NORMAL_SPEED_RANGE[0]:
            speed = self._work.work(class_index) / max(attained, MIN_ATTAINED_S) / self._slow_start_speed(now)
            if speed > self.speed:
                self._detector.reset()
                self._set_speed(now, min(1.0, speed))
        else:
            self._work.lower(class_index, attained * self.current_speed())

    def _set_speed(self, now: float, speed: float) -> None:
        self.speed = min(max(speed, MIN_SPEED), MAX_SPEED)
        if NORMAL_SPEED_RANGE[0] < self.speed < NORMAL_SPEED_RANGE[1]:
            self.speed = 1.0
        self.speed_changes += 1
        self.speed_changed_at = now

    def _slow_start_speed(self, now: float) -> float:
        """The fraction of the normal speed that slow start allows at ``now``; 1 once it is over."""
        if self._slow_start_span <= 0:
            return 1.0
        initial = self._slow_start_initial_speed
        return min(1.0, initial + (1 - initial) * max(0.0, now - self._started_at) / self._slow_start_span)

    # Estimates

    def current_speed(self) -> float:
        """The speed of a core as a fraction of its normal speed, including slow start."""
        return max(MIN_SPEED, self.speed * self._slow_start_speed(self._now))

    def work(self, class_index: int) -> float:
        """The work of a run of the class at normal speed."""
        return self._work.work(class_index)

    def run_time(self, class_index: int, running: int) -> float:
        """The expected duration in seconds of a run when ``running`` runs, including it, are in progress."""
        return self._work.work(class_index) / self.current_speed() * max(1.0, running / self._cores)

    def work_rate(self) -> float:
        """The work that the whole instance does per second."""
        return self._cores * self.current_speed()

    def max_concurrency(self) -> float:
        """Runs per core above which the total throughput falls; infinite if that has not been observed."""
        return self._profile.max_concurrency()
