"""Estimates the work of a run of each class from the core time that its runs attain. Pure."""

from __future__ import annotations

FIRST_RUNS = 8  # runs of a class whose plain mean is the first estimate of its work
WORK_SMOOTHING = 0.01  # weight of each later run in the work of its class
RATIO_SMOOTHING = 0.25  # weight of the newest run in the ratio of a class's recent runs to its estimated work
MAX_RATIO = 5.0  # upper bound of the ratio of a single run
RATIO_VALID_S = 1.0  # time after the latest run of a class during which its ratio is used
MIN_WORK_S = 1e-6  # lower bound of a divisor, so that the ratio stays finite
NORMAL_RATIO_RANGE = (0.8, 1.25)  # within it, runs of a class take as long as estimated
UNCHANGED_RATIO_RANGE = (0.7, 1.4)  # outside it, the work of a class counts as changed


class WorkEstimates:
    """The work of a run by class, in seconds on a free core at normal speed."""

    __slots__ = ("_ratio", "_ratio_at", "_runs", "_work")

    def __init__(self, initial_work: list[float]) -> None:
        self._work: list[float] = []
        self._runs: list[int] = []
        self._ratio: list[float] = []  # of recent runs to the estimated work
        self._ratio_at: list[float] = []
        self.add_classes(initial_work)

    def add_classes(self, initial_work: list[float]) -> None:
        """Add the classes beyond those that are known, with the work that is assumed of each; the others stay."""
        added = initial_work[len(self._work) :]
        self._work += added
        self._runs += [0] * len(added)
        self._ratio += [1.0] * len(added)
        self._ratio_at += [float("-inf")] * len(added)

    def work(self, class_index: int) -> float:
        """The work of a run of the class at normal speed; above 0, as it is a divisor."""
        return max(self._work[class_index], MIN_WORK_S)

    def mean(self) -> float:
        """The mean over all classes; 1 if it is 0."""
        return sum(self._work) / len(self._work) or 1.0

    def is_known(self, class_index: int) -> bool:
        """Whether enough runs of the class were measured for another one to be evidence of the instance's speed."""
        return self._runs[class_index] >= FIRST_RUNS

    def record(self, class_index: int, work: float, speed: float, at_normal_speed: bool, now: float) -> None:
        """Add a completed run that attained ``work`` seconds while the instance had a ``speed``.

        Once a class is known, only runs ``at_normal_speed`` change its work, because the core time that runs attain on
        a slow instance does not show their work.
        """
        if not self.is_known(class_index):
            self._runs[class_index] += 1
            self._work[class_index] += (work - self._work[class_index]) / self._runs[class_index]
            return
        ratio = work * speed / max(self._work[class_index], MIN_WORK_S)
        self._ratio[class_index] += RATIO_SMOOTHING * (min(ratio, MAX_RATIO) - self._ratio[class_index])
        self._ratio_at[class_index] = now
        if at_normal_speed:
            self._work[class_index] += WORK_SMOOTHING * (work - self._work[class_index])

    def lower(self, class_index: int, work: float) -> None:
        """Lower the work of a class by half of the distance to that of one run, if that run took less."""
        self._work[class_index] -= max(0.0, (self._work[class_index] - work) / 2)

    def adopt_changed_classes(self, now: float) -> bool:
        """Adopt the new work of classes that changed while the instance did not; return whether there are any.

        That is the case if the runs of some classes take as long as estimated while those of others do not.
        """
        recent = [index for index, at in enumerate(self._ratio_at) if now - at < RATIO_VALID_S]
        changed = [
            index for index in recent if not UNCHANGED_RATIO_RANGE[0] < self._ratio[index] < UNCHANGED_RATIO_RANGE[1]
        ]
        normal = [index for index in recent if NORMAL_RATIO_RANGE[0] < self._ratio[index] < NORMAL_RATIO_RANGE[1]]
        if not changed or not normal:
            return False
        for index in changed:
            self._work[index] *= self._ratio[index]
            self._ratio[index] = 1.0
        return True
