"""The pools of one instance: whether a pool has capacity, which request runs next, which run is preempted.

Performs no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Iterator

from lapishaven.admission import Idempotency, LoadSample, Rejection, Settings
from lapishaven.pools.capacity import Capacity
from lapishaven.pools.pool import Pool, PoolRun
from lapishaven.pools.preemption import choose_victim, is_preemption_due, is_starved
from lapishaven.pools.ready_queue import Entry, ReadyQueue
from lapishaven.pools.run_limit import RunLimit
from lapishaven.pools.settings import PoolSettings

OBJECTIVE_MARGIN = 0.9  # a request is admitted if it is predicted to take at most this fraction of its objective
INITIAL_OBJECTIVE_SHARE = 0.2  # assumed work of a class until a run was measured, as a fraction of its objective
MIN_RETRY_AFTER_S = 0.05  # lower bound of a Retry-After, even if capacity is expected sooner
DEFAULT_RETRY_AFTER_S = 1.0  # in a rejection if the settings give no longest Retry-After that callers honour
SLOW_SPEED = 0.6  # fraction of the normal speed below which an instance counts as slow
MIN_REMAINING_WORK = 0.1  # least work that a preempted run is assumed to have left, as a fraction of its work

POOL_FULL = "pool full"
INSTANCE_SLOW = "slow box"
OBJECTIVE_MISSED = "past its aim"


def _initial_work(settings: Settings) -> list[float]:
    """The work that is assumed of a run until runs of its class were measured, by class."""
    return [INITIAL_OBJECTIVE_SHARE * request_class.latency_objective for request_class in settings.classes]


def _assign_classes(rules: PoolSettings, settings: Settings, kept_pools: list[str]) -> list[int]:
    """The index of the pool of each class.

    A class that is no longer offered is in no rule. Its open requests keep their pool, whose name is in ``kept_pools``
    by class index, or come into the first one if that is gone.
    """
    pool_names = [rule.name for rule in rules.pools]
    assigned = {name: index for index, rule in enumerate(rules.pools) for name in rule.classes}
    indexes: list[int] = []
    for class_index, request_class in enumerate(settings.classes):
        index = assigned.get(request_class.name)
        if index is None:
            kept_name = kept_pools[class_index]
            index = pool_names.index(kept_name) if kept_name in pool_names else 0
        indexes.append(index)
    return indexes


class Pools:
    """Implements ``AdmissionPools``: divides the work among pools by their shares, and rejects with a Retry-After.

    One pool may have a reserve, see ``reserve_slots``.

    All times are seconds on the clock that is passed to the controller. ``settings`` are those of the instance,
    ``rules`` are the operator's settings for the pools.
    """

    def __init__(self, rules: PoolSettings, settings: Settings, now: float = 0.0) -> None:
        self.settings = settings
        self.capacity = Capacity(
            settings.cores,
            _initial_work(settings),
            settings.slow_start_initial_speed if settings.slow_start else 1.0,
            settings.slow_start_span if settings.slow_start else 0.0,
            now,
        )
        self.running: dict[int, PoolRun] = {}
        """Runs in progress by request id."""
        self.run_limit = RunLimit(settings.cores, settings.collapse_concurrency)
        self.worst_concurrency = 0.0
        """The highest number of runs per core so far."""
        self._pool_of_class: list[int] = []  # index of its pool, by class index
        self.pools: list[Pool] = []
        self._build_pools(rules)

    def _build_pools(self, rules: PoolSettings) -> None:
        self.rules = rules
        kept_pools = [self.pools[index].name for index in self._pool_of_class]
        self._pool_of_class = _assign_classes(rules, self.settings, kept_pools)
        self.pools = [Pool(rule.name, rule.share, rule.ceiling) for rule in rules.pools]
        self.ready = ReadyQueue([rule.share for rule in rules.pools])
        self._reserve_pool: int | None = None  # index of the pool with the reserve
        if rules.reserve is not None:
            self._reserve_pool = [rule.name for rule in rules.pools].index(rules.reserve.pool)
            pool = self.pools[self._reserve_pool]
            pool.ceiling = min(pool.ceiling, rules.reserve.ceiling)

    def apply_settings(self, now: float, rules: PoolSettings, settings: Settings) -> None:
        """Apply reloaded rules and the reloaded settings, in which classes keep their index and added ones come last.

        Queued requests stay queued. Running requests count for the new pool of their class. A pool that is
        thereby above its new ceiling starts no run until it is below it.
        """
        self.settings = settings
        self.capacity.apply_settings(now, settings.cores, _initial_work(settings))
        self.run_limit.apply_settings(settings.cores, settings.collapse_concurrency)
        queued = self.ready.entries()
        previous = {pool.name: pool for pool in self.pools}
        self._build_pools(rules)
        for pool in self.pools:
            if pool.name in previous:
                pool.copy_counters(previous[pool.name])
        for entry in queued:
            entry.pool = self._pool_of_class[entry.class_index]
            self.ready.push(entry)
        for run in self.running.values():
            run.pool = self._pool_of_class[run.class_index]
            self.pools[run.pool].running += 1

    # Shares

    @property
    def reserve_slots(self) -> int:
        """Runs beyond the limit that only the pool with the reserve may use.

        They share the cores with other runs, so an unused reserve leaves no core idle.
        """
        if self.rules.reserve is None:
            return 0
        return max(1, round(self.rules.reserve.share * self.settings.cores))

    def can_start(self, pool_index: int) -> bool:
        """Whether a pool may start one more run; it may borrow what other pools do not use, up to its ceiling."""
        pool = self.pools[pool_index]
        limit = self.run_limit.limit
        running = len(self.running)
        if pool.running + 1 > max(1.0, pool.ceiling * limit):
            return False
        if pool_index == self._reserve_pool:
            return pool.running < self.reserve_slots or running < limit + self.reserve_slots
        on_reserve = 0  # runs in reserve slots, which do not count against the limit of the other pools
        if self._reserve_pool is not None:
            on_reserve = min(self.pools[self._reserve_pool].running, self.reserve_slots)
        return running - on_reserve + 1 <= limit

    def work_share(self, pool_index: int) -> float:
        """The fraction of the instance's work that a pool gets among the pools that currently have work."""
        busy_shares = sum(
            pool.share
            for index, pool in enumerate(self.pools)
            if index == pool_index or pool.running or self.ready.count(index)
        )
        return min(self.pools[pool_index].share / busy_shares, self.pools[pool_index].ceiling)

    # Admission

    def is_guaranteed(self, class_index: int) -> bool:
        """Whether the class's pool is within its guaranteed share, so that its requests are not rejected for load."""
        pool_index = self._pool_of_class[class_index]
        if pool_index == self._reserve_pool:
            return True
        pool = self.pools[pool_index]
        mean_work = self.capacity.work(class_index)
        queued = self.ready.work(pool_index) / mean_work if mean_work else 0.0
        return pool.running + queued + 1 <= max(1.0, pool.share * self.run_limit.limit)

    def rejection(self, now: float, class_index: int, objective_at: float, answer_by: float) -> Rejection | None:
        """The reason why an arriving request cannot meet its latency objective; ``None`` if it is admitted.

        A request whose run alone would miss the objective is still admitted if its class is idempotent and has a late
        weight, it need not wait in the queue, and its deadline can be met. Such runs also show when the instance is
        fast again, and so do the probes that pass a rejection ``by_estimate``.
        """
        pool_index = self._pool_of_class[class_index]
        run_time = self.run_time(class_index)
        wait = self._queue_time(pool_index, class_index)
        time_allowed = (objective_at - now) * OBJECTIVE_MARGIN
        if wait + run_time <= time_allowed:
            return None
        if run_time <= time_allowed:
            self.pools[pool_index].rejected += 1
            return Rejection(POOL_FULL, max(MIN_RETRY_AFTER_S, wait + run_time - time_allowed))
        request_class = self.settings.classes[class_index]
        may_be_late = request_class.idempotency is Idempotency.IDEMPOTENT and request_class.late_weight > 0
        if may_be_late and not wait and run_time < answer_by - now:
            return None
        self.pools[pool_index].rejected += 1
        reason = INSTANCE_SLOW if self.capacity.speed < SLOW_SPEED else OBJECTIVE_MISSED
        return Rejection(reason, self.settings.max_retry_after or DEFAULT_RETRY_AFTER_S, by_estimate=True)

    def _queue_time(self, pool_index: int, class_index: int) -> float:
        """The expected queueing time in seconds: the pool's queued work divided by the pool's work rate."""
        if not self.ready.count(pool_index) and self.can_start(pool_index):
            return 0.0
        work = self.ready.work(pool_index) + self.capacity.work(class_index) / 2
        return work / (self.capacity.work_rate() * self.work_share(pool_index))

    def run_time(self, class_index: int) -> float:
        """The duration in seconds that a run of the class is currently predicted to take on this instance."""
        return self.capacity.run_time(class_index, min(len(self.running) + 1, self.settings.cores))

    # Queue and runs

    def enqueue(self, now: float, request_id: int, class_index: int, objective_at: float, deadline: float) -> None:
        """Queue an admitted request."""
        pool_index = self._pool_of_class[class_index]
        work = self.capacity.work(class_index)
        self.ready.push(Entry(request_id, pool_index, work, objective_at, deadline, class_index, now))

    def dispatch_order(self, now: float) -> Iterator[int]:
        """Ids of requests that may start, in dispatch order; the caller may start, dequeue or skip each."""
        for entry in self.ready.order(now, self.can_start):
            yield entry.request_id

    def run_started(self, now: float, request_id: int) -> None:
        """Record that a queued request was started or resumed."""
        entry = self.ready.start(request_id)
        if entry is None:
            return
        pool = self.pools[entry.pool]
        pool.running += 1
        pool.started += 1
        pool.longest_wait = max(pool.longest_wait, now - entry.queued_at)
        pool.starved_since = None
        self.running[request_id] = PoolRun(
            entry.class_index, entry.pool, entry.work, entry.objective_at, entry.deadline, now
        )
        self.capacity.run_started(now, request_id, entry.class_index)
        self.worst_concurrency = max(self.worst_concurrency, len(self.running) / self.settings.cores)

    def dequeue(self, request_id: int) -> None:
        """Remove a queued request that will not run."""
        self.ready.remove(request_id)

    def run_ended(self, now: float, request_id: int, succeeded: bool, is_probe: bool = False) -> None:
        """Record that a run has ended; ``succeeded`` if it completed. One that ``is_probe`` corrects the estimates."""
        run = self.running.pop(request_id, None)
        if run is None:
            return
        self.pools[run.pool].running -= 1
        attained = self.capacity.run_ended(now, request_id, succeeded)
        if is_probe and succeeded:
            self.capacity.record_probe(now, run.class_index, attained)

    def requeue_preempted(self, now: float, request_id: int) -> bool:
        """Queue the rest of a cancelled run if the pools preempted it; return whether they did."""
        run = self.running.get(request_id)
        if run is None or not run.is_preempted:
            return False
        attained = self.capacity.run_ended(now, request_id, succeeded=False)
        del self.running[request_id]
        self.pools[run.pool].running -= 1
        remaining = max(MIN_REMAINING_WORK * run.work, run.work - attained)
        self.ready.push(Entry(request_id, run.pool, remaining, run.objective_at, run.deadline, run.class_index, now))
        return True

    # Load samples

    def sample(self, now: float, sample: LoadSample) -> list[int]:
        """Update the capacity estimate and the run limit; return the ids of runs to preempt."""
        self.capacity.sample(now)
        self.run_limit.step(
            sample.cpu_utilization, len(self.running), bool(len(self.ready)), self.capacity.max_concurrency()
        )
        return self.preempt(now) if self.settings.cancellation == "pause" else []

    def preempt(self, now: float) -> list[int]:
        """Choose a run to pause for each pool that has been starved for ``preempt_after_s``; mark it as preempted."""
        victims: list[int] = []
        limit = self.run_limit.limit
        for index, pool in enumerate(self.pools):
            if not is_starved(pool, self.ready.count(index) > 0, self.can_start(index), limit):
                pool.starved_since = None
            elif is_preemption_due(pool, now, self.rules.preempt_after_s):
                victim = self._choose_victim(now, index)
                if victim is not None:
                    self.running[victim].is_preempted = True
                    self.pools[self.running[victim].pool].preempted += 1
                    victims.append(victim)
        return victims

    def _choose_victim(self, now: float, starved_pool: int) -> int | None:
        return choose_victim(
            now,
            starved_pool,
            self.pools,
            self.running,
            self.settings.classes,
            self.run_limit.limit,
            self.capacity.current_speed(),
            self.rules.preempt_after_s,
        )

    # Metrics

    def state(self) -> dict[str, float | int]:
        """Gauges by metric name."""
        gauges: dict[str, float | int] = {
            "speed": round(self.capacity.current_speed(), 3),
            "limit": round(self.run_limit.limit, 1),
            "running": len(self.running),
            "held": len(self.ready),
            "slow_downs": self.capacity.speed_changes,
            "worst_concurrency": round(self.worst_concurrency, 2),
        }
        for index, pool in enumerate(self.pools):
            gauges |= {
                f"{pool.name} running": pool.running,
                f"{pool.name} held": self.ready.count(index),
                f"{pool.name} started": pool.started,
                f"{pool.name} refused": pool.rejected,
                f"{pool.name} taken back": pool.preempted,
                f"{pool.name} longest ms": round(pool.longest_wait * 1000),
            }
        return gauges
