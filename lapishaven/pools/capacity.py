"""What a box can do, measured on line: its speed, what concurrency it bears, and whether it has just slowed. Pure.

The unit of work is a second on a free core of this box at its usual speed. A run of a class has so much work in the
mean, learnt as the core time that its runs attained. Core time is counted by a virtual clock that advances by
``min(1, cores / runs)`` a second, so a run that shares its core is not taken for a slower box: load and speed are
told apart by construction. Work done over core time spent is the speed, 1 when all is as usual.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

FAST = 1.0  # s; the window in which a change of speed is seen
SLOW = 0.01  # part of a new run in a class's usual work, while the box is at its usual speed
FIRST = 8  # runs of a class in whose plain mean its usual work is learnt first
DRIFT = 0.3  # of the core time spent, by which the work may fall short without being evidence of a slow box
ALARM = 10.0  # mean works of evidence at which the box counts as changed
LEAST_BUSY = 0.8  # core-seconds in the fast window from which its speed is believed
RATIO = 0.25  # part of a new run in the ratio of a class's last runs to its usual work
RECENT = 1.0  # s since a class's last run in which that ratio says something
LEVEL = 0.5  # runs a core in one step of concurrency
KNEE = 0.88  # of the best efficiency under which a level of concurrency costs more than it brings
EFFICIENCY = 0.03  # part of a new sample in a level's efficiency
SEEN = 20.0  # core-seconds at a level from which its efficiency counts
FLOOR = 0.02  # the speed is never held for less, so that times stay finite


@dataclass(slots=True)
class Run:
    cls: int
    began: float
    attained: float  # the virtual clock at its start
    work: float  # in the mean, as it was known then


@dataclass(slots=True)
class Level:
    """One level of concurrency: core time spent there, and work done."""

    spent: float = 0.0
    efficiency: float = 1.0


@dataclass(slots=True)
class Capacity:
    """The estimate for one box."""

    cores: int
    first_work: list[float]  # s by class, until runs of it were seen
    cold_from: float = 1.0  # speed at the start, as a part of the usual one, where the box began cold
    cold_span: float = 0.0
    began: float = 0.0
    now: float = 0.0
    speed: float = 1.0
    alarms: int = 0
    alarm_at: float | None = None
    runs: dict[int, Run] = field(default_factory=dict)
    _clock: float = 0.0
    _active: int = 0
    _down: float = 0.0  # evidence of a slower box, in works
    _up: float = 0.0
    _window: deque[tuple[float, float, float]] = field(default_factory=deque)  # when, core time spent, work done
    _spent: float = 0.0  # since the last sample
    _done: float = 0.0
    _levels: list[Level] = field(default_factory=lambda: [Level() for _ in range(24)])
    _work: list[float] = field(init=False)
    _known: list[int] = field(init=False)
    _ratio: list[float] = field(init=False)  # by class: what its last runs attained, over its usual work
    _ratio_at: list[float] = field(init=False)

    def __post_init__(self) -> None:
        count = len(self.first_work)
        self._work, self._known = list(self.first_work), [0] * count
        self._ratio, self._ratio_at = [1.0] * count, [float("-inf")] * count
        self.now = self.began

    # ---- What happens on the box
    def _advance(self, now: float) -> None:
        span = now - self.now
        if span <= 0:
            return
        self.now = now
        if self._active:
            self._clock += span * min(1.0, self.cores / self._active)
            self._spent += span * min(self._active, self.cores)

    def started(self, now: float, id: int, cls: int) -> None:
        self._advance(now)
        if id not in self.runs:
            self.runs[id] = Run(cls, now, self._clock, self._work[cls])
            self._active += 1

    def ended(self, now: float, id: int, whole: bool) -> float:
        """A run is over, ``whole`` if it was not stopped; gives the core time that it attained."""
        self._advance(now)
        run = self.runs.pop(id, None)
        if run is None:
            return 0.0
        self._active -= 1
        attained = self._clock - run.attained
        if whole:
            known = self._known[run.cls] >= FIRST
            # Of a class that is not known yet no run is evidence of anything.
            self._done += run.work if known else attained * self.speed_now()
            self._learn(run.cls, attained)
        return attained

    def _learn(self, cls: int, attained: float) -> None:
        """The usual work, from runs at the usual speed; what a slow box attains says nothing of it."""
        work = attained * self._warm(self.now)
        if self._known[cls] < FIRST:
            self._known[cls] += 1
            self._work[cls] += (work - self._work[cls]) / self._known[cls]
            return
        ratio = work * self.speed / max(self._work[cls], 1e-6)
        self._ratio[cls] += RATIO * (min(ratio, 5.0) - self._ratio[cls])
        self._ratio_at[cls] = self.now
        if self.speed == 1.0 and self._down < ALARM / 3:
            self._work[cls] += SLOW * (work - self._work[cls])

    def sample(self, now: float) -> bool:
        """At each poll: weigh the evidence; true if the box was found to have changed its speed."""
        self._advance(now)
        spent, done, self._spent, self._done = self._spent, self._done, 0.0, 0.0
        self._window.append((now, spent, done))
        while self._window and self._window[0][0] <= now - FAST:
            self._window.popleft()
        if not spent:
            self._down = self._up = 0.0
            return False
        self._note_level(spent, done)
        unit = sum(self._work) / len(self._work) or 1.0
        expected = spent * self.speed_now()
        self._down = max(0.0, self._down + (expected * (1 - DRIFT) - done) / unit)
        self._up = max(0.0, self._up + (done - expected * (1 + DRIFT)) / unit)
        if self._down < ALARM and self._up < ALARM:
            return False
        return self._changed(now)

    def _changed(self, now: float) -> bool:
        """The evidence is in: take the fast window's speed, if it really is another one."""
        self._down = self._up = 0.0
        if self._one_class(now):
            return False
        found = self.fast()
        if found is None:
            return False
        warm, speed = self._warm(now), self.speed
        if abs(found / warm - speed) < 0.25 * speed:
            return False
        self.speed = min(max(found / warm, FLOOR), 4.0)
        if 0.75 < self.speed < 1.33:
            self.speed = 1.0
        self.alarms += 1
        self.alarm_at = now
        return True

    def _one_class(self, now: float) -> bool:
        """Whether it is not the box: one class's runs take longer (or less) while others' are as usual. Then its
        work is another from now on."""
        recent = [cls for cls, at in enumerate(self._ratio_at) if now - at < RECENT]
        odd = [cls for cls in recent if not 0.7 < self._ratio[cls] < 1.4]
        usual = [cls for cls in recent if 0.8 < self._ratio[cls] < 1.25]
        if not odd or not usual:
            return False
        for cls in odd:
            self._work[cls] *= self._ratio[cls]
            self._ratio[cls] = 1.0
        return True

    def fast(self) -> float | None:
        """Work done over core time spent in the last second; ``None`` where too little was spent to tell."""
        spent = sum(s for _, s, _ in self._window)
        return sum(d for _, _, d in self._window) / spent if spent >= LEAST_BUSY else None

    # ---- What it can do
    def _warm(self, now: float) -> float:
        if self.cold_span <= 0:
            return 1.0
        return min(1.0, self.cold_from + (1 - self.cold_from) * max(0.0, now - self.began) / self.cold_span)

    def speed_now(self) -> float:
        """Of a core, as a part of its usual speed, a cold start's known ramp included."""
        return max(FLOOR, self.speed * self._warm(self.now))

    def work(self, cls: int) -> float:
        """Usual work of a run of the class, in seconds on a free core at the usual speed."""
        return self._work[cls]

    def run_time(self, cls: int, running: int) -> float:
        """Seconds that a run would take with so many on the cores, itself included."""
        return self._work[cls] / self.speed_now() * max(1.0, running / self.cores)

    def rate(self) -> float:
        """Work that the whole box does in a second."""
        return self.cores * self.speed_now()

    # ---- Crowding
    def _note_level(self, spent: float, done: float) -> None:
        n = min(int(self._active / self.cores / LEVEL), len(self._levels) - 1)
        level = self._levels[n]
        level.spent += spent
        seen = min(2.0, done / (spent * self.speed_now()))
        level.efficiency += EFFICIENCY * (seen - level.efficiency)

    def concurrency(self) -> float:
        """Runs a core past which the box gets less done in total, as far as was seen; infinite where it was not."""
        known = [level.efficiency for level in self._levels if level.spent >= SEEN]
        best = max(known, default=1.0)
        for n, level in enumerate(self._levels):
            if n * LEVEL >= 1.0 and level.spent >= SEEN and level.efficiency < KNEE * best:
                return max(1.0, n * LEVEL)
        return float("inf")
