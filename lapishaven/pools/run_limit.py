"""The limit on the running requests of all pools together, not counting the reserve. Pure."""

from __future__ import annotations

IDLE_UTILIZATION = 0.8  # CPU utilization below which cores count as idle: at a reached limit, because runs wait
SAFE_SHARE = 0.8  # fraction of the concurrency at which the instance collapses
INCREASE_RUNS = 1.0  # by which the limit grows at a load sample
DECREASE_RUNS = 0.5  # by which the limit shrinks at a load sample


class RunLimit:
    """One run per core keeps the cores busy; the limit is higher only while runs that wait leave cores idle."""

    __slots__ = ("_cores", "_max_runs_per_core", "limit")

    def __init__(self, cores: int, collapse_concurrency: float) -> None:
        self.limit = float(cores)
        """Number of runs that may be in progress."""
        self.apply_settings(cores, collapse_concurrency)

    def apply_settings(self, cores: int, collapse_concurrency: float) -> None:
        """Apply reloaded settings; the limit adapts to them with the next load samples."""
        self._cores = float(cores)
        self._max_runs_per_core = collapse_concurrency * SAFE_SHARE

    def step(self, cpu_utilization: float | None, running: int, has_queue: bool, max_concurrency: float) -> None:
        """Adapt the limit to a load sample.

        ``max_concurrency`` is the number of runs per core above which the throughput was observed to fall.
        """
        is_idle = cpu_utilization is not None and 0.0 <= cpu_utilization < IDLE_UTILIZATION
        if is_idle and has_queue and running >= self.limit:
            self.limit += INCREASE_RUNS
        elif not is_idle and self.limit > self._cores:
            self.limit -= DECREASE_RUNS
        max_limit = min(self._max_runs_per_core, max_concurrency) * self._cores
        self.limit = max(self._cores, min(self.limit, max_limit))
