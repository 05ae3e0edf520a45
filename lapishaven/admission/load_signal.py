"""Feedback to callers: the published load, Retry-After, and whether to retry at another instance."""

from __future__ import annotations

from lapishaven.admission.load_measurement import POLL_INTERVAL_S
from lapishaven.admission.settings import Settings

SMOOTHING = 0.028  # weight of the newest probability; its time constant of 3.6 s keeps callers from oscillating
MIN_CHANGE = 0.02  # a smaller change of the value is not published
WINDOW_SCALE = 3.0  # window of each caller at no load, as a multiple of the concurrency limit
WINDOW_NARROWING = 8.0  # narrows the windows: their sum is about the concurrency limit at a probability of 0.25
# Smoothed probability above which a retry at another instance counts as useless, however few peers there are.
SUSTAINED_OVERLOAD = 0.25
# Expected number of rejecting peers from which it counts as useless too, as retries reach only some of the peers.
OVERLOADED_PEERS = 4.0
BASE_RETRY_AFTER_S = POLL_INTERVAL_S  # doubled at full probability; longer times synchronize callers


class LoadSignal:
    """The smoothed rejection probability, converted to the form that ``Settings.load_signal`` gives."""

    __slots__ = ("_settings", "published", "smoothed")

    def __init__(self, settings: Settings) -> None:
        self.smoothed = 0.0
        """The smoothed rejection probability."""
        self.published = 0.0
        """The value that was published last."""
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply the form of the signal and the numbers of peers and callers."""
        self._settings = settings

    def begin(self) -> None:
        """Set the initial value: during slow start, the missing fraction of the full speed.

        So callers need not learn by rejections that the instance is still slow.
        """
        settings = self._settings
        self.smoothed = 1.0 - settings.slow_start_initial_speed if settings.slow_start else 0.0

    def update(self, probability: float, concurrency_limit: float, draining: bool) -> float | None:
        """Add a rejection probability; return the value to publish, or ``None`` if it has hardly changed."""
        self.smoothed += SMOOTHING * (probability - self.smoothed)
        if self._settings.load_signal is None:
            return None
        value = self._value(concurrency_limit, draining)
        if abs(value - self.published) <= MIN_CHANGE:
            return None
        self.published = value
        return value

    def _value(self, concurrency_limit: float, draining: bool) -> float:
        signal = self._settings.load_signal
        if signal == "level":
            return 1.0 if draining else self.smoothed
        if draining:
            return 0.0
        if signal == "weight":
            return 1.0 - self.smoothed
        unshared_window = WINDOW_SCALE * concurrency_limit * (1.0 - self.smoothed)
        return unshared_window / (1.0 + WINDOW_NARROWING * self.smoothed * self._settings.caller_count)

    def no_retry_elsewhere(self) -> bool:
        """Whether rejected callers should not try a peer: the overload is sustained, or many peers are overloaded."""
        return self.smoothed > min(SUSTAINED_OVERLOAD, OVERLOADED_PEERS / max(1, self._settings.peer_count))

    def retry_after(self, probability: float, draining: bool, suggested: float) -> float | None:
        """The Retry-After of a rejection in seconds; ``None`` if callers do not honour it.

        ``suggested`` is the time that the rejecting rule gave, 0 if none. A draining instance sends the longest time
        that callers honour.
        """
        longest = self._settings.max_retry_after
        if draining or longest is None:
            return longest
        return min(longest, suggested or BASE_RETRY_AFTER_S * (1.0 + probability))
