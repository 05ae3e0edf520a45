"""Decides the answer to health checks."""

from __future__ import annotations

from lapishaven.admission.load_measurement import POLL_INTERVAL_S
from lapishaven.admission.settings import Settings

MAX_RECOVERED_PROBABILITY = 0.5  # an unhealthy instance recovers only below this smoothed rejection probability


class HealthStatus:
    """The health of the instance: unhealthy if requests are read only after every latency objective has passed.

    This distinguishes a slow or stalled host from a fully loaded one, which still reads promptly. The instance is
    healthy again once it reads in time. Known weakness: if all hosts are slow, the catalog removes all instances; each
    recovers once it has read its unread requests.
    """

    __slots__ = ("_follows_health", "_longest_objective", "healthy")

    def __init__(self, settings: Settings) -> None:
        self.healthy = True
        """The current answer to health checks, unless the instance is draining."""
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new latency objectives."""
        self._longest_objective = max(request_class.latency_objective for request_class in settings.classes)
        self._follows_health = settings.registry_follows_health

    def update(self, read_delay: float, rejection_probability: float, draining: bool) -> bool | None:
        """The answer at a ``read_delay`` in seconds and a smoothed probability; ``None`` if it is unchanged."""
        if draining or not self._follows_health:
            return None
        if self.healthy:
            healthy = read_delay <= self._longest_objective
        else:
            healthy = read_delay < POLL_INTERVAL_S and rejection_probability < MAX_RECOVERED_PROBABILITY
        if healthy == self.healthy:
            return None
        self.healthy = healthy
        return healthy
