"""What the Controller asks: is there room in a request's pool, what runs next, what is to be taken back. Pure."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from lapishaven.admission import Idempotency, LoadSample, Settings
from lapishaven.admission.rejection import Rejection
from lapishaven.pools.capacity import Capacity
from lapishaven.pools.ready import Entry, ReadyQueue
from lapishaven.pools.settings import PoolSettings

SAFETY = 0.9  # of the time to its aim that a request may be predicted to take
FIRST_WORK = 0.2  # of its aim, which a class's run takes until one was seen
LEAST_WAIT = 0.05  # s of advice at the least
SLOWED = 0.6  # of its usual speed, under which a box counts as slow
IDLE_CORES = 0.8  # busy share under which cores stand idle although the limit is reached: runs wait for something


@dataclass(slots=True)
class Pool:
    """The live state of one pool."""

    name: str
    share: float
    ceiling: float
    running: int = 0
    short_since: float | None = None  # since when it has less than its share and something waiting
    started: int = 0
    refused: int = 0
    taken_back: int = 0
    longest: float = 0.0  # s that anything waited before it ran


@dataclass(slots=True)
class Running:
    """A run as the pools account for it."""

    cls: int
    pool: int
    work: float
    kb: float
    aim_at: float
    due: float
    since: float
    halting: bool = False


class Pools:
    """The pools of one box: limits in units of work, a reserve, and refusals with the time to come back."""

    def __init__(self, rules: PoolSettings, settings: Settings, now: float = 0.0) -> None:
        self.settings = settings
        self.capacity = Capacity(
            settings.cores,
            [FIRST_WORK * spec.latency_objective for spec in settings.classes],
            settings.slow_start_initial_speed if settings.slow_start else 1.0,
            settings.slow_start_span if settings.slow_start else 0.0,
            now,
        )
        self.running: dict[int, Running] = {}
        self.limit = float(settings.cores)
        self._held: dict[int, tuple[int, float]] = {}  # class, since when
        self.worst_concurrency = 0.0  # the most runs a core so far
        self._arrange(rules)

    def _arrange(self, rules: PoolSettings) -> None:
        self.rules = rules
        self.pools = [Pool(rule.name, rule.share, rule.ceiling) for rule in rules.pools]
        names = [spec.name for spec in self.settings.classes]
        self._of = {names.index(cls): n for n, rule in enumerate(rules.pools) for cls in rule.classes}
        self.reserved: int | None = None
        if rules.reserve is not None:
            self.reserved = [rule.name for rule in rules.pools].index(rules.reserve.pool)
            pool = self.pools[self.reserved]
            pool.ceiling = min(pool.ceiling, rules.reserve.ceiling)
        self.ready = ReadyQueue([rule.share for rule in rules.pools])

    def renew(self, now: float, rules: PoolSettings) -> None:
        """A reload's rules. What is held keeps its place and what runs is accounted for in its class's new pool,
        which may so be over its new share: it starts nothing then until it is under it."""
        held, before = self.ready.entries(), {pool.name: pool for pool in self.pools}
        self._arrange(rules)
        for pool in self.pools:
            if (old := before.get(pool.name)) is not None:
                pool.started, pool.refused = old.started, old.refused
                pool.taken_back, pool.longest = old.taken_back, old.longest
        for entry in held:
            entry.pool = self._of[self._held[entry.id][0]]
            self.ready.push(entry)
        for run in self.running.values():
            run.pool = self._of[run.cls]
            self.pools[run.pool].running += 1

    # ---- The reserve and the limit
    @property
    def reserve_slots(self) -> int:
        """Runs on top of the limit that only the reserve's pool may use. They share the cores with the rest, so
        nothing stands idle for them while nobody asks."""
        if self.rules.reserve is None:
            return 0
        return max(1, round(self.rules.reserve.share * self.settings.cores))

    def _may(self, pool: int) -> bool:
        """Whether the pool may start one more run now."""
        mine, total = self.pools[pool], len(self.running)
        if mine.running + 1 > max(1.0, mine.ceiling * self.limit):
            return False
        if pool == self.reserved:
            return mine.running < self.reserve_slots or total < self.limit + self.reserve_slots
        reserve = min(self.pools[self.reserved].running, self.reserve_slots) if self.reserved is not None else 0
        return total - reserve + 1 <= self.limit

    def _part(self, pool: int) -> float:
        """Of the box's work that the pool gets while all that have something go on: its share over theirs."""
        busy = sum(p.share for n, p in enumerate(self.pools) if n == pool or p.running or self.ready.count(n))
        return min(self.pools[pool].share / busy, self.pools[pool].ceiling)

    # ---- What the Controller asks
    def is_guaranteed(self, cls: int) -> bool:
        """Whether the class's pool is within its guarantee, so that its share is not refused for others' load."""
        n = self._of[cls]
        pool = self.pools[n]
        mean = self.capacity.work(cls)
        held = self.ready.work(n) / mean if mean else 0.0
        return n == self.reserved or pool.running + held + 1 <= max(1.0, pool.share * self.limit)

    def rejection(self, now: float, cls: int, aim_at: float, due: float) -> Rejection | None:
        """Why a request that is read now is refused, and in how many seconds there will be room; or ``None``."""
        n = self._of[cls]
        alone = self.capacity.run_time(cls, min(len(self.running) + 1, self.settings.cores))
        wait = 0.0
        if self.ready.count(n) or not self._may(n):
            wait = (self.ready.work(n) + self.capacity.work(cls) / 2) / (self.capacity.rate() * self._part(n))
        left = aim_at - now
        if wait + alone <= left * SAFETY:
            return None
        if alone > left * SAFETY:
            # Not even an idle box would make it. What is safe may still come late, and tells when it is quick again.
            safe = self.settings.classes[cls].idempotency is Idempotency.IDEMPOTENT
            if safe and not wait and self.settings.classes[cls].late_weight > 0 and alone < due - now:
                return None
            self.pools[n].refused += 1
            return Rejection(
                "slow box" if self.capacity.speed < SLOWED else "past its aim", self.settings.max_retry_after or 1.0
            )
        self.pools[n].refused += 1
        return Rejection("pool full", max(LEAST_WAIT, wait + alone - left * SAFETY))

    def run_time(self, cls: int) -> float:
        """Seconds that a run of the class takes on this box now."""
        return self.capacity.run_time(cls, min(len(self.running) + 1, self.settings.cores))

    def enqueue(self, now: float, id: int, cls: int, kb: float, aim_at: float, due: float) -> None:
        """It was admitted and waits."""
        self._held[id] = cls, now
        self.ready.push(Entry(id, self._of[cls], self.capacity.work(cls), kb, aim_at, due))

    def dispatch_order(self, now: float) -> Iterator[int]:
        """What may start, in its order; each is to be ``started``, ``dropped`` or left."""
        for entry in self.ready.order(now, self._may):
            yield entry.id

    def run_started(self, now: float, id: int) -> None:
        entry = self.ready.start(id)
        if entry is None:
            return
        cls, since = self._held.pop(id)
        pool = self.pools[entry.pool]
        pool.running += 1
        pool.started += 1
        pool.longest = max(pool.longest, now - since)
        pool.short_since = None
        self.running[id] = Running(cls, entry.pool, entry.work, entry.kb, entry.aim_at, entry.due, now)
        self.capacity.started(now, id, cls)
        self.worst_concurrency = max(self.worst_concurrency, len(self.running) / self.settings.cores)

    def dequeue(self, id: int) -> None:
        """It no longer waits, and never ran."""
        if self.ready.remove(id) is not None:
            self._held.pop(id, None)

    def run_ended(self, now: float, id: int, whole: bool) -> None:
        """It no longer runs."""
        run = self.running.pop(id, None)
        if run is not None:
            self.pools[run.pool].running -= 1
            self.capacity.ended(now, id, whole)

    def requeue_preempted(self, now: float, id: int) -> bool:
        """A run was stopped: true if by these pools, which hold it again to go on later."""
        run = self.running.get(id)
        if run is None or not run.halting:
            return False
        attained = self.capacity.ended(now, id, False)
        del self.running[id]
        self.pools[run.pool].running -= 1
        self._held[id] = run.cls, now
        left = max(0.1 * run.work, run.work - attained)
        self.ready.push(Entry(id, run.pool, left, 0.0, run.aim_at, run.due))
        return True

    # ---- Each poll
    def sample(self, now: float, poll: LoadSample) -> list[int]:
        """Weigh what the box does; gives the runs that are to be paused, as another pool waits for its share."""
        self.capacity.sample(now)
        self._adapt(poll)
        return self._take_back(now) if self.settings.cancellation == "pause" else []

    def _adapt(self, poll: LoadSample) -> None:
        """As many runs as there are cores keep them busy; more only where runs leave the cores idle, as they wait
        for something else, and never past the concurrency that was seen to cost."""
        cores = float(self.settings.cores)
        idle = poll.cpu_utilization is not None and 0.0 <= poll.cpu_utilization < IDLE_CORES
        if idle and len(self.ready) and len(self.running) >= self.limit:
            self.limit += 1.0
        elif not idle and self.limit > cores:
            self.limit -= 0.5
        most = min(self.settings.collapse_concurrency * 0.8, self.capacity.concurrency()) * cores
        self.limit = max(cores, min(self.limit, most))

    def _take_back(self, now: float) -> list[int]:
        taken: list[int] = []
        for n, pool in enumerate(self.pools):
            short = self.ready.count(n) and pool.running + 1 <= pool.share * self.limit and not self._may(n)
            if not short:
                pool.short_since = None
            elif pool.short_since is None:
                pool.short_since = now
            elif now - pool.short_since >= self.rules.take_back_s:
                pool.short_since = now
                victim = self._victim(now, n)
                if victim is not None:
                    taken.append(victim)
        return taken

    def _victim(self, now: float, lender: int) -> int | None:
        """The newest safe run of the pool furthest over its share, if most of it is still to do."""
        over = [
            (p.running / max(p.share * self.limit, 1e-9), n)
            for n, p in enumerate(self.pools)
            if n != lender and p.running > max(1.0, p.share * self.limit)
        ]
        for _, n in sorted(over, reverse=True):
            mine = [
                (run.since, id)
                for id, run in self.running.items()
                if run.pool == n
                and not run.halting
                and self.settings.classes[run.cls].idempotency is Idempotency.IDEMPOTENT
            ]
            for since, id in sorted(mine, reverse=True)[:1]:
                run = self.running[id]
                left = run.work / self.capacity.speed_now() - (now - since)
                if left > self.rules.take_back_s:
                    run.halting = True
                    self.pools[n].taken_back += 1
                    return id
        return None

    # ---- For operators
    def state(self) -> dict[str, float | int]:
        """Gauges by name."""
        found: dict[str, float | int] = {
            "speed": round(self.capacity.speed_now(), 3),
            "limit": round(self.limit, 1),
            "running": len(self.running),
            "held": len(self.ready),
            "slow_downs": self.capacity.alarms,
            "worst_concurrency": round(self.worst_concurrency, 2),
        }
        for n, pool in enumerate(self.pools):
            found |= {
                f"{pool.name} running": pool.running,
                f"{pool.name} held": self.ready.count(n),
                f"{pool.name} started": pool.started,
                f"{pool.name} refused": pool.refused,
                f"{pool.name} taken back": pool.taken_back,
                f"{pool.name} longest ms": round(pool.longest * 1000),
            }
        return found
