"""Whether the instance has become slower or faster: a cumulative sum test on the work that it does. Pure."""

from __future__ import annotations

from collections import deque

WINDOW_S = 1.0  # in which a change of speed is measured
MIN_BUSY_S = 0.8  # core-seconds in the window from which its speed is believed
DRIFT = 0.3  # part of the expected work by which the work done may differ without being evidence
ALARM_RUNS = 10.0  # evidence, in mean runs, at which the speed counts as changed
CALM_RUNS = ALARM_RUNS / 3  # evidence of a slower instance from which runs no longer count as usual


class SpeedDetector:
    """Page's CUSUM test for a lower and for a higher speed, and the speed over a short window."""

    __slots__ = ("_faster", "_slower", "_window")

    def __init__(self) -> None:
        self._slower = 0.0  # evidence, in mean runs
        self._faster = 0.0
        self._window: deque[tuple[float, float, float]] = deque()  # time, core time spent, work done

    def record(self, now: float, spent: float, done: float) -> None:
        """Add the core time and the work since the last sample to the window."""
        window = self._window
        window.append((now, spent, done))
        while window and window[0][0] <= now - WINDOW_S:
            window.popleft()

    def is_alarmed(self, expected: float, done: float, mean_run: float) -> bool:
        """Add ``done`` against ``expected`` work to the evidence; return whether it proves a change of speed."""
        self._slower = max(0.0, self._slower + (expected * (1 - DRIFT) - done) / mean_run)
        self._faster = max(0.0, self._faster + (done - expected * (1 + DRIFT)) / mean_run)
        return self._slower >= ALARM_RUNS or self._faster >= ALARM_RUNS

    def is_calm(self) -> bool:
        """Whether there is hardly any evidence of a slower instance."""
        return self._slower < CALM_RUNS

    def reset(self) -> None:
        """Drop the evidence."""
        self._slower = 0.0
        self._faster = 0.0

    def measured_speed(self) -> float | None:
        """Work done over core time spent in the window; ``None`` if too little was spent to tell."""
        spent = sum(row_spent for _, row_spent, _ in self._window)
        if spent < MIN_BUSY_S:
            return None
        return sum(row_done for _, _, row_done in self._window) / spent
