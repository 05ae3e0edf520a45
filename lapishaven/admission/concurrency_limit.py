"""The limit on concurrent runs: adaptive, below a ceiling that rises during slow start."""

from __future__ import annotations

from lapishaven.admission.load_measurement import BUSY_UTILIZATION
from lapishaven.admission.settings import Settings

INCREASE_SHARE = 0.25  # fraction by which the limit grows at a load sample, by at least one run
DECREASE_FACTOR = 0.8  # factor by which the limit is cut at a load sample
MAX_LATENCY_INFLATION = 4.0  # run latency, as a multiple of its baseline, above which the limit is cut
MAX_RUNNABLE_PER_CORE = 2.0  # runnable runs per core above which the limit is cut: throughput falls there
SAFE_SHARE = 0.85  # fraction of the concurrency at which the instance collapses; reading requests needs the rest


class ConcurrencyLimit:
    """A limit on running requests, adapted at each load sample by multiplicative increase and decrease."""

    __slots__ = ("_settings", "_slow_start_from", "_warm_ceiling", "limit")

    def __init__(self, settings: Settings) -> None:
        self._slow_start_from = 0.0
        self.limit = float(settings.cores)
        """Runs that may be in progress: at least the number of cores, at most ``ceiling``."""
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings; the limit keeps its current value."""
        self._settings = settings
        self._warm_ceiling = self._ceiling_at(1.0)

    def begin_slow_start(self, now: float) -> None:
        """Set the time at which the instance started."""
        self._slow_start_from = now

    def ceiling(self, now: float) -> float:
        """Runs, including those at a dependency call, that the instance can sustain at its current speed.

        During slow start the speed rises linearly from its initial fraction to full speed; the slowest warm-up that
        the settings allow is assumed.
        """
        settings = self._settings
        if not settings.slow_start or settings.slow_start_span <= 0:
            return self._warm_ceiling
        progress = min(1.0, (now - self._slow_start_from) / settings.slow_start_span)
        initial = settings.slow_start_initial_speed
        return self._ceiling_at(initial + (1.0 - initial) * progress)

    def _ceiling_at(self, speed: float) -> float:
        settings = self._settings
        return max(1.0, SAFE_SHARE * settings.cores * (1.0 + (settings.collapse_concurrency - 1.0) * speed))

    def step(
        self,
        now: float,
        *,
        utilization: float,
        runnable: float,
        running: int,
        has_queue: bool,
        highest_inflation: float,
    ) -> None:
        """Adapt the limit to a load sample.

        ``runnable`` is the number of runnable threads, ``running`` the number of running requests, and
        ``highest_inflation`` the highest run latency of a class as a multiple of its baseline. The limit grows if
        cores are idle, requests are queued and the limit is reached. It is cut if no cores are idle and the latency
        or the number of runnable runs exceeds its bound. Idle cores are checked first, because a class that no longer
        gets to run keeps a high, outdated latency. ``runnable`` counts only up to the number of running requests:
        cutting the limit because of reading and handshakes would leave the cores to even more of them.
        """
        cores = self._settings.cores
        has_idle_cores = utilization < BUSY_UTILIZATION and runnable < cores
        if has_idle_cores:
            if has_queue and running + 1 > self.limit:
                self.limit += max(1.0, INCREASE_SHARE * self.limit)
        elif highest_inflation > MAX_LATENCY_INFLATION or min(runnable, running) > MAX_RUNNABLE_PER_CORE * cores:
            self.limit *= DECREASE_FACTOR
        self.limit = max(float(cores), min(self.limit, self.ceiling(now)))
