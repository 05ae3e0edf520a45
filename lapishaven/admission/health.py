"""The answer to health checks."""

from __future__ import annotations

from lapishaven.admission.load_measurement import POLL_INTERVAL_S
from lapishaven.admission.settings import Settings

MAX_RECOVERED_PROBABILITY = 0.5  # smoothed rejection probability under which an instance may come back


class HealthStatus:
    """Unhealthy when requests have waited past every latency objective before they were even read.

    That distinguishes a slow or stalled machine from one that is merely full, which still reads promptly. The
    instance is healthy again once it reads in time. Known weakness: if all machines were slow, all would leave the
    registry; each comes back by itself once its unread requests are gone.
    """

    __slots__ = ("_follows_health", "_longest_objective", "healthy")

    def __init__(self, settings: Settings) -> None:
        self.healthy = True
        """The answer that health checks get now, unless the instance is draining."""
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Take over new latency objectives."""
        self._longest_objective = max(each.latency_objective for each in settings.classes)
        self._follows_health = settings.registry_follows_health

    def update(self, read_delay: float, rejection_probability: float, draining: bool) -> bool | None:
        """The answer for this ``read_delay`` (s) and smoothed probability; ``None`` if it has not changed."""
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
