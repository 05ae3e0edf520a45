"""Detects whether the instance has become slower or faster, by a cumulative sum test on its work. Pure."""

from __future__ import annotations

from collections import deque

WINDOW_S = 1.0  # over which the new speed is measured
MIN_BUSY_S = 0.8  # core-seconds in the window that a speed measurement needs
DRIFT = 0.3  # fraction of the expected work by which the work done may differ without counting as evidence
CHANGE_RUNS = 10.0  # evidence, in mean runs, from which the speed counts as changed
STABLE_RUNS = CHANGE_RUNS / 3  # evidence of a slower instance from which the speed no longer counts as stable


class SpeedDetector:
    """Page's CUSUM test for a lower and a higher speed, and the speed over a short window."""

    __slots__ = ("_faster", "_slower", "_window")

    def __init__(self) -> None:
        self._slower = 0.0  # evidence, in mean runs
        self._faster = 0.0
        self._window: deque[tuple[float, float, float]] = deque()  # (time, core time spent, work done)

    def record(self, now: float, spent: float, done: float) -> None:
        """Add the core time and the work since the last sample to the window."""
        window = self._window
        window.append((now, spent, done))
        while window and window[0][0] <= now - WINDOW_S:
            window.popleft()

    def detects_change(self, expected: float, done: float, mean_run: float) -> bool:
        """Compare the work ``done`` with the ``expected`` work; return whether the evidence shows a change of speed."""
        self._slower = max(0.0, self._slower + (expected * (1 - DRIFT) - done) / mean_run)
        self._faster = max(0.0, self._faster + (done - expected * (1 + DRIFT)) / mean_run)
        return self._slower >= CHANGE_RUNS or self._faster >= CHANGE_RUNS

    def is_stable(self) -> bool:
        """Whether there is little evidence of a slower instance."""
        return self._slower < STABLE_RUNS

    def reset(self) -> None:
        """Discard the evidence."""
        self._slower = 0.0
        self._faster = 0.0

    def measured_speed(self) -> float | None:
        """The work done per core time spent in the window; ``None`` if too little core time was spent."""
        spent = sum(sample_spent for _, sample_spent, _ in self._window)
        if spent < MIN_BUSY_S:
            return None
        return sum(sample_done for _, _, sample_done in self._window) / spent
