"""How many requests run at once: a stepped limit under a ceiling that rises during slow start."""

from __future__ import annotations

from lapishaven.admission.load_measurement import NEARLY_BUSY
from lapishaven.admission.settings import Settings

INCREASE_SHARE = 0.25  # part of the limit by which it grows at a load sample, at least by one run
DECREASE_FACTOR = 0.8  # to which the limit is cut at a load sample
INFLATED_LATENCY = 4.0  # run latency over its baseline from which the limit is cut
MAX_RUNNABLE_PER_CORE = 2.0  # runnable runs a core past which the limit is cut: such cores do less in total
SAFE_SHARE = 0.85  # of the concurrency at which the instance collapses; reading requests needs the rest


class ConcurrencyLimit:
    """A limit on running requests, stepped at each load sample: multiplicative increase and decrease."""

    __slots__ = ("_settings", "_slow_start_from", "_warm_ceiling", "limit")

    def __init__(self, settings: Settings) -> None:
        self._slow_start_from = 0.0
        self.limit = float(settings.cores)
        """Runs that may be in progress, the cores at the least and ``ceiling`` at the most."""
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Take over new settings; the limit itself goes on from where it is."""
        self._settings = settings
        self._warm_ceiling = self._ceiling_at(1.0)

    def begin_slow_start(self, now: float) -> None:
        """Note when the instance started."""
        self._slow_start_from = now

    def ceiling(self, now: float) -> float:
        """Runs, those at a dependency call included, that the instance survives at its present speed.

        During slow start the speed rises linearly from its initial share to all; the slowest warm-up that
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
        ``highest_inflation`` the run latency over its baseline of the class where it is highest. The limit
        grows if there are idle cores, a queue, and no room under the limit. It is cut if there are no idle
        cores, and latency or runnable runs are past their bounds. Idle cores come first: a class that no
        longer gets to run keeps a stale, high latency. ``runnable`` counts up to the running requests only:
        reading and handshakes are no reason to leave the cores to yet more of them.
        """
        cores = self._settings.cores
        has_idle_cores = utilization < NEARLY_BUSY and runnable < cores
        if has_idle_cores:
            if has_queue and running + 1 > self.limit:
                self.limit += max(1.0, INCREASE_SHARE * self.limit)
        elif highest_inflation > INFLATED_LATENCY or min(runnable, running) > MAX_RUNNABLE_PER_CORE * cores:
            self.limit *= DECREASE_FACTOR
        self.limit = max(float(cores), min(self.limit, self.ceiling(now)))
