"""What an instance can do, measured online: its speed, the concurrency that it bears, how long runs take. Pure.

The unit of work is a second on a free core of this instance at its usual speed. A run of a class has a mean work,
learnt as the core time that its runs attain. Core time is counted by a virtual clock that advances by
``min(1, cores / runs)`` a second, as in processor sharing, so that a run that shares its core is not taken for a
slower instance. Work done over core time spent is the speed, 1 at the usual one.
"""

from __future__ import annotations

from dataclasses import dataclass

from lapishaven.pools.concurrency_profile import ConcurrencyProfile
from lapishaven.pools.speed_detector import SpeedDetector
from lapishaven.pools.work_estimate import WorkEstimates

MIN_SPEED = 0.02  # the speed never counts as less, so that times stay finite
MAX_SPEED = 4.0  # the speed never counts as more
MIN_SPEED_CHANGE = 0.25  # part of the speed by which it must differ to count as another
USUAL_SPEED = (0.75, 1.33)  # between which the speed counts as the usual one


@dataclass(slots=True)
class _Run:
    """A run in progress."""

    class_index: int
    attained_at_start: float  # the virtual clock at its start
    work: float  # expected at its start


class Capacity:
    """The estimate for one instance. All times are seconds of one clock, which never goes back."""

    __slots__ = (
        "_active",
        "_attained",
        "_cores",
        "_detector",
        "_done",
        "_now",
        "_profile",
        "_runs",
        "_spent",
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
        """``initial_work`` is the work of a run by class until runs were seen.

        An instance that warms up starts with a part of its usual speed and has all of it after a span in seconds.
        """
        self.speed = 1.0
        """As a part of the usual speed, slow start apart."""
        self.speed_changes = 0
        """How often the speed was found to have changed."""
        self.speed_changed_at: float | None = None
        """When that was last; ``None`` if never."""
        self._cores = cores
        self._slow_start_initial_speed = slow_start_initial_speed
        self._slow_start_span = slow_start_span
        self._started_at = started_at
        self._now = started_at
        self._runs: dict[int, _Run] = {}
        self._active = 0
        self._attained = 0.0  # the virtual clock: core time that a run in progress all along has attained
        self._spent = 0.0  # core time since the last sample
        self._done = 0.0  # work since the last sample
        self._work = WorkEstimates(initial_work)
        self._detector = SpeedDetector()
        self._profile = ConcurrencyProfile()

    # Measurement

    def run_started(self, now: float, request_id: int, class_index: int) -> None:
        """Note that a run has started."""
        self._advance(now)
        if request_id not in self._runs:
            self._runs[request_id] = _Run(class_index, self._attained, self._work.work(class_index))
            self._active += 1

    def run_ended(self, now: float, request_id: int, succeeded: bool) -> float:
        """Note that a run has ended; return the core time that it attained. Only completed runs are learnt from."""
        self._advance(now)
        run = self._runs.pop(request_id, None)
        if run is None:
            return 0.0
        self._active -= 1
        attained = self._attained - run.attained_at_start
        if succeeded:
            # A run of a class that is not known yet is no evidence of anything.
            is_known = self._work.is_known(run.class_index)
            self._done += run.work if is_known else attained * self.current_speed()
            work = attained * self._slow_start_speed(now)
            at_usual_speed = self.speed == 1.0 and self._detector.is_calm()
            self._work.record(run.class_index, work, self.speed, at_usual_speed, now)
        return attained

    def sample(self, now: float) -> bool:
        """Evaluate the runs since the last load sample; return whether the speed has changed."""
        self._advance(now)
        spent = self._spent
        done = self._done
        self._spent = 0.0
        self._done = 0.0
        self._detector.record(now, spent, done)
        if not spent:
            self._detector.reset()
            return False
        expected = spent * self.current_speed()
        self._profile.record(self._active / self._cores, spent, done / expected)
        if not self._detector.is_alarmed(expected, done, self._work.mean()):
            return False
        self._detector.reset()
        return self._adopt_speed(now)

    def _advance(self, now: float) -> None:
        elapsed = now - self._now
        if elapsed <= 0:
            return
        self._now = now
        if self._active:
            self._attained += elapsed * min(1.0, self._cores / self._active)
            self._spent += elapsed * min(self._active, self._cores)

    def _adopt_speed(self, now: float) -> bool:
        """Adopt the speed measured in the detector's window if it differs enough; return whether it does."""
        if self._work.adopt_changed_classes(now):
            return False
        measured = self._detector.measured_speed()
        if measured is None:
            return False
        speed = measured / self._slow_start_speed(now)
        if abs(speed - self.speed) < MIN_SPEED_CHANGE * self.speed:
            return False
        self.speed = min(max(speed, MIN_SPEED), MAX_SPEED)
        if USUAL_SPEED[0] < self.speed < USUAL_SPEED[1]:
            self.speed = 1.0
        self.speed_changes += 1
        self.speed_changed_at = now
        return True

    def _slow_start_speed(self, now: float) -> float:
        if self._slow_start_span <= 0:
            return 1.0
        initial = self._slow_start_initial_speed
        return min(1.0, initial + (1 - initial) * max(0.0, now - self._started_at) / self._slow_start_span)

    # Estimates

    def current_speed(self) -> float:
        """Speed of a core as a part of its usual one, slow start included."""
        return max(MIN_SPEED, self.speed * self._slow_start_speed(self._now))

    def work(self, class_index: int) -> float:
        """Usual work of a run of the class."""
        return self._work.work(class_index)

    def run_time(self, class_index: int, running: int) -> float:
        """Seconds that a run would take among so many in progress, itself included."""
        return self._work.work(class_index) / self.current_speed() * max(1.0, running / self._cores)

    def work_rate(self) -> float:
        """Work that the whole instance does in a second."""
        return self._cores * self.current_speed()

    def max_concurrency(self) -> float:
        """Runs per core past which the instance does less in total; infinite if that was not seen."""
        return self._profile.max_concurrency()
