"""The idle timeout of connections, shortened when there are very many callers."""

from __future__ import annotations

from lapishaven.admission.load_measurement import POLL_INTERVAL_S
from lapishaven.admission.settings import Settings

# Callers per run of the concurrency at which the instance collapses; above it idle connections are closed early.
MAX_CALLERS_PER_RUN = 2.0


class IdleTimeout:
    """The idle timeout of connections; it is cut to one poll interval when there are very many callers.

    Open connections to all of them would load the cores and exhaust the descriptor table, and further callers could
    not connect at all. Known weakness: frequent callers then need a handshake for each request.
    """

    __slots__ = ("_settings", "current")

    def __init__(self, settings: Settings) -> None:
        self.current = settings.idle_timeout
        """The timeout in seconds that the host was last given."""
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new limits; the timeout changes at the next ``update``."""
        self._settings = settings

    def configured(self) -> float:
        """The configured timeout in seconds; 0 if idle connections are never closed."""
        return self._settings.idle_timeout or 0.0

    def update(self, callers_seen: int) -> float | None:
        """The timeout in seconds for a number of recently seen callers; ``None`` if it has not changed.

        The number of callers in the settings is the minimum, for the time in which few have been seen yet.
        """
        settings = self._settings
        configured = self.configured()
        callers = max(callers_seen, settings.caller_count)
        is_crowded = callers > MAX_CALLERS_PER_RUN * settings.cores * settings.collapse_concurrency
        timeout = POLL_INTERVAL_S if is_crowded else configured
        if configured <= 0 or timeout == self.current:
            return None
        self.current = timeout
        return timeout
