"""The client's own traffic: the rate of first attempts, and the state that decisions about dials use. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass

RATE_SMOOTHING_S = 20.0  # time constant


class EventRate:
    """Events per second, smoothed exponentially over ``RATE_SMOOTHING_S`` or, if shorter, the time since the start."""

    def __init__(self, now: float) -> None:
        self._value = 0.0
        self._updated_at = now
        self._started_at = now

    def add(self, now: float) -> None:
        """Count one event."""
        self._value = self._decayed(now) + 1.0 / RATE_SMOOTHING_S
        self._updated_at = max(now, self._updated_at)

    def _decayed(self, now: float) -> float:
        return self._value * math.exp(min(0.0, self._updated_at - now) / RATE_SMOOTHING_S)

    def per_second(self, now: float) -> float:
        """Return the smoothed rate."""
        return self._decayed(now) / -math.expm1(-max(now - self._started_at, 1.0) / RATE_SMOOTHING_S)


@dataclass(slots=True)
class Traffic:
    """The state of the client's calls that decisions about connections depend on.

    ``first_attempt_rate``: first attempts per second, without retries and hedged requests.
    ``keep_connected_s``: how long the client keeps its connections after its last call.
    ``waiting_calls``: the number of calls that wait for an endpoint with free capacity.
    ``last_call_at``: when the application started the last call; minus infinity before the first.
    ``closed``: the client is closed and dials nothing.
    """

    first_attempt_rate: EventRate
    keep_connected_s: float
    waiting_calls: int = 0
    last_call_at: float = float("-inf")
    closed: bool = False
