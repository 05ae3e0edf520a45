"""How long an unused connection may stay open."""

from __future__ import annotations

from lapishaven.admission.load_measurement import POLL_INTERVAL_S
from lapishaven.admission.settings import Settings

MAX_CALLERS_PER_RUN = 2.0  # callers, over the runs at which the instance collapses, from which idle ones are closed


class IdleTimeout:
    """The idle timeout of connections, which is cut to almost nothing where there are very many callers.

    Connections kept open for all of them load the cores and fill the descriptor table, and callers beyond it
    could not connect at all. Known weakness: frequent callers then need a handshake for each request.
    """

    __slots__ = ("_settings", "current")

    def __init__(self, settings: Settings) -> None:
        self.current = settings.idle_timeout
        """The timeout in seconds that the host was told last."""
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Take over new limits; the timeout changes at the next ``update``."""
        self._settings = settings

    def configured(self) -> float:
        """The timeout of the settings in seconds; 0 if connections are never closed for idleness."""
        return self._settings.idle_timeout or 0.0

    def update(self, callers_seen: int) -> float | None:
        """The timeout in seconds for so many callers; ``None`` if it has not changed.

        At the start, the number of callers that the settings give counts.
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
