"""How much work a run of each class is, learnt from the core time that its runs attain. Pure."""

from __future__ import annotations

FIRST_RUNS = 8  # of a class, in whose plain mean its work is learnt first
WORK_SMOOTHING = 0.01  # weight of a new run in a class's work after that
RATIO_SMOOTHING = 0.25  # weight of a new run in the ratio of a class's latest runs to its work
MAX_RATIO = 5.0  # of one run to its class's work that is taken into the ratio
RATIO_VALID_S = 1.0  # since a class's latest run, in which its ratio says something
MIN_WORK_S = 1e-6  # so that a ratio stays finite
USUAL_RATIO = (0.8, 1.25)  # between which a class's runs take as long as usual
CHANGED_RATIO = (0.7, 1.4)  # outside which the work of a class's runs has changed


class WorkEstimates:
    """The usual work of a run by class, in seconds on a free core at the usual speed."""

    __slots__ = ("_ratio", "_ratio_at", "_runs", "_work")

    def __init__(self, initial_work: list[float]) -> None:
        count = len(initial_work)
        self._work = list(initial_work)
        self._runs = [0] * count
        self._ratio = [1.0] * count  # of the latest runs to the usual work
        self._ratio_at = [float("-inf")] * count

    def work(self, class_index: int) -> float:
        """Usual work of a run of the class."""
        return self._work[class_index]

    def mean(self) -> float:
        """Mean over the classes; 1 if nothing is known of any."""
        return sum(self._work) / len(self._work) or 1.0

    def is_known(self, class_index: int) -> bool:
        """Whether enough runs of the class were seen for one to be evidence of the instance's speed."""
        return self._runs[class_index] >= FIRST_RUNS

    def record(self, class_index: int, work: float, speed: float, at_usual_speed: bool, now: float) -> None:
        """Take in a completed run that attained ``work`` seconds while the instance had a ``speed``.

        Only runs ``at_usual_speed`` change the work: what a slow instance attains says nothing of it.
        """
        if not self.is_known(class_index):
            self._runs[class_index] += 1
            self._work[class_index] += (work - self._work[class_index]) / self._runs[class_index]
            return
        ratio = work * speed / max(self._work[class_index], MIN_WORK_S)
        self._ratio[class_index] += RATIO_SMOOTHING * (min(ratio, MAX_RATIO) - self._ratio[class_index])
        self._ratio_at[class_index] = now
        if at_usual_speed:
            self._work[class_index] += WORK_SMOOTHING * (work - self._work[class_index])

    def adopt_changed_classes(self, now: float) -> bool:
        """Adopt the new work of classes that have changed while the instance has not; return whether there are any.

        That is so if the runs of some classes take as long as usual while those of others do not.
        """
        recent = [index for index, at in enumerate(self._ratio_at) if now - at < RATIO_VALID_S]
        changed = [index for index in recent if not CHANGED_RATIO[0] < self._ratio[index] < CHANGED_RATIO[1]]
        usual = [index for index in recent if USUAL_RATIO[0] < self._ratio[index] < USUAL_RATIO[1]]
        if not changed or not usual:
            return False
        for index in changed:
            self._work[index] *= self._ratio[index]
            self._ratio[index] = 1.0
        return True
