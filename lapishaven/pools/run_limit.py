"""The limit on the running requests of all pools together, reserve apart. Pure."""

from __future__ import annotations

IDLE_UTILIZATION = 0.8  # CPU utilization under which cores are idle although the limit is reached: runs wait
SAFE_SHARE = 0.8  # of the concurrency at which the instance collapses
INCREASE = 1.0  # runs by which the limit grows at a load sample
DECREASE = 0.5  # runs by which it shrinks at a load sample


class RunLimit:
    """As many runs as there are cores keep them busy; more only while runs leave cores idle, as they wait."""

    __slots__ = ("_cores", "_max_runs_per_core", "limit")

    def __init__(self, cores: int, collapse_concurrency: float) -> None:
        self._cores = float(cores)
        self._max_runs_per_core = collapse_concurrency * SAFE_SHARE
        self.limit = self._cores
        """Runs that may be in progress."""

    def step(self, cpu_utilization: float | None, running: int, has_queue: bool, max_concurrency: float) -> None:
        """Adapt the limit to a load sample.

        ``max_concurrency`` is the number of runs per core past which the instance was seen to do less in total.
        """
        is_idle = cpu_utilization is not None and 0.0 <= cpu_utilization < IDLE_UTILIZATION
        if is_idle and has_queue and running >= self.limit:
            self.limit += INCREASE
        elif not is_idle and self.limit > self._cores:
            self.limit -= DECREASE
        most = min(self._max_runs_per_core, max_concurrency) * self._cores
        self.limit = max(self._cores, min(self.limit, most))
