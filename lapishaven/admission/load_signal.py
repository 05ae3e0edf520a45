"""What callers are told of the load: the published signal, Retry-After, and whether to retry elsewhere."""

from __future__ import annotations

from lapishaven.admission.load_measurement import POLL_INTERVAL_S
from lapishaven.admission.settings import Settings

SMOOTHING = 0.028  # weight of the newest probability: a time constant of 3.6 s, so callers do not swing in step
MIN_CHANGE = 0.02  # of the signal that is worth publishing
WINDOW_SCALE = 3.0  # window of each caller without load, as a multiple of the concurrency limit
WINDOW_NARROWING = 8.0  # how fast windows narrow: at a probability of 0.25 their sum is about the concurrency limit
LASTING_OVERLOAD = 0.25  # smoothed probability above which a retry elsewhere counts as useless, however few the peers
OVERLOADED_PEERS = 4.0  # expected number of rejecting peers that suffices, as a retry tries only some of the peers
BASE_RETRY_AFTER_S = POLL_INTERVAL_S  # up to twice that at full probability: longer, and callers swing in step


class LoadSignal:
    """The rejection probability, smoothed, in the form that callers understand."""

    __slots__ = ("_settings", "published", "smoothed")

    def __init__(self, settings: Settings) -> None:
        self.smoothed = 0.0
        """The smoothed rejection probability."""
        self.published = 0.0
        """The value that callers were told last."""
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Take over the form of the signal and the number of peers and callers."""
        self._settings = settings

    def begin(self) -> None:
        """Start from what slow start takes off the speed, so that callers need not learn it by rejections."""
        settings = self._settings
        self.smoothed = 1.0 - settings.slow_start_initial_speed if settings.slow_start else 0.0

    def update(self, probability: float, concurrency_limit: float, draining: bool) -> float | None:
        """Take in a rejection probability; return the value to publish, ``None`` if it has hardly changed."""
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
        """Whether a rejection says that peers would reject as well: the overload lasts, or the peers are many."""
        return self.smoothed > min(LASTING_OVERLOAD, OVERLOADED_PEERS / max(1, self._settings.peer_count))

    def retry_after(self, probability: float, draining: bool, suggested: float) -> float | None:
        """Seconds that a rejected caller is to stay away; ``None`` if callers follow no such advice.

        A rule may have ``suggested`` a time (0: none). A draining instance gives the longest.
        """
        longest = self._settings.max_retry_after
        if draining or longest is None:
            return longest
        return min(longest, suggested or BASE_RETRY_AFTER_S * (1.0 + probability))
