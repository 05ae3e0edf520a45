"""Pools: the capacity estimate, the ready queue, sharing and preemption, and the Controller with and without pools."""

from __future__ import annotations

import hashlib
import random
from dataclasses import astuple, replace
from pathlib import Path
from typing import Any

import pytest
from helpers import actions_of, arrival, load_sample, request_ids, settings
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st
from scenario import World, configuration
from typer.testing import CliRunner

from lapishaven.admission import (
    Action,
    AwaitOriginal,
    CallDependency,
    CancelRun,
    Controller,
    DrainRequested,
    Event,
    Fail,
    Idempotency,
    LoadSample,
    Log,
    Outcome,
    PublishLoad,
    Reject,
    ReleaseKey,
    RequestCancelled,
    RequestClass,
    ReserveKey,
    RunFinished,
    ScheduleTimer,
    SetHealth,
    SetIdleTimeout,
    SkipDependency,
    StartRun,
)
from lapishaven.admission.estimate_probes import EstimateProbes
from lapishaven.cli import app
from lapishaven.config import ConfigFiles, parse_config
from lapishaven.lab.emulator import EmulatorSpec, main
from lapishaven.pools import Pools, PoolsError, PoolSettings
from lapishaven.pools.capacity import Capacity
from lapishaven.pools.ready_queue import Entry, ReadyQueue
from lapishaven.pools.settings import parse as parse_pools

ROOT = Path(__file__).parent.parent
QUICK = RequestClass("quick", 0.5, 2.0, 0.3, Idempotency.IDEMPOTENT, 0.0, None, False, 0.0)
SLOW = RequestClass("slow", 1.5, 5.6, 1.0, Idempotency.IDEMPOTENT, 0.2, None, False, 0.0)
ONCE = RequestClass("once", 1.1, 3.8, 3.0, Idempotency.NOT_IDEMPOTENT, 0.0, None, False, 0.0)
SITE = settings(
    classes=(SLOW, ONCE, QUICK),
    tenants=(),
    cores=4,
    memory_kb=1e6,
    cancellation="pause",
    max_retry_after=1.0,
)
RULES: dict[str, Any] = {
    "pool": [
        {"name": "matches", "classes": ["slow"], "share": 0.5, "ceiling": 0.9},
        {"name": "commits", "classes": ["once"], "share": 0.4},
        {"name": "light", "classes": ["quick"], "share": 0.1, "ceiling": 0.5},
    ],
    "reserve": {"pool": "light", "share": 0.2},
}


def rules(**changes: Any) -> PoolSettings:
    return parse_pools({**RULES, **changes}, ["slow", "once", "quick"], 4)


class SimulatedInstance:
    """An instance whose cores share the runs in progress; it reports to a Capacity, and its time is stepped."""

    def __init__(self, cores: int = 4, seed: int = 1) -> None:
        self.capacity = Capacity(cores, [0.3, 0.3])
        self.cores, self.random, self.now, self.speed, self.last_id = cores, random.Random(seed), 0.0, 1.0, 0
        self.work_left: dict[int, float] = {}
        self.work_factor = [1.0, 1.0]

    def advance(self, duration: float, running: int, step: float = 0.01) -> None:
        """Keep ``running`` runs in progress for a number of seconds, half of them of each class."""
        until = self.now + duration
        while self.now < until:
            while len(self.work_left) < running:
                self.last_id += 1
                class_index = self.last_id % 2
                self.work_left[self.last_id] = (
                    self.random.uniform(*((0.29, 0.49), (0.17, 0.3))[class_index]) * self.work_factor[class_index]
                )
                self.capacity.run_started(self.now, self.last_id, class_index)
            self.now += step
            done = step * self.speed * min(1.0, self.cores / len(self.work_left))
            for request_id in list(self.work_left):
                self.work_left[request_id] -= done
                if self.work_left[request_id] <= 0:
                    del self.work_left[request_id]
                    self.capacity.run_ended(self.now, request_id, True)
            if round(self.now / step) % 10 == 0:
                self.capacity.sample(self.now)


# Capacity
# Guards against an instance that counts as slow because it is fully loaded.
@pytest.mark.parametrize("seed", range(4))
def test_high_load_is_not_mistaken_for_a_slower_instance(seed: int) -> None:
    instance = SimulatedInstance(seed=seed)
    for running in (1, 4, 16, 2, 24):
        instance.advance(15.0, running)
    assert instance.capacity.speed == 1.0
    assert instance.capacity.work(0) == pytest.approx(0.39, rel=0.15)
    assert instance.capacity.work(1) == pytest.approx(0.235, rel=0.15)


# Guards against limits from the time when the instance was fast: a drop to a tenth of the speed must be detected.
@pytest.mark.parametrize("seed", range(4))
def test_a_drop_to_a_tenth_of_the_speed_and_its_recovery_are_detected(seed: int) -> None:
    instance = SimulatedInstance(seed=seed)
    instance.advance(20.0, 6)
    instance.speed, slowed = 0.1, instance.now
    instance.advance(20.0, 6)
    assert instance.capacity.speed_changed_at is not None and slowed < instance.capacity.speed_changed_at
    assert instance.capacity.speed == pytest.approx(0.1, abs=0.08)
    changes_before = instance.capacity.speed_changes
    instance.speed, recovered = 1.0, instance.now
    instance.advance(6.0, 6)
    assert instance.capacity.speed == 1.0 and instance.capacity.speed_changes > changes_before
    assert instance.capacity.speed_changed_at is not None and instance.capacity.speed_changed_at - recovered < 4.0


def test_a_drop_of_the_speed_is_detected_within_two_seconds() -> None:
    instance = SimulatedInstance(seed=9)
    instance.advance(20.0, 6)
    instance.speed, slowed = 0.1, instance.now
    while instance.capacity.speed == 1.0:
        instance.advance(0.1, 6)
        assert instance.now < slowed + 2.0


# Guards against mistaking a class whose work has doubled for a slow instance, which would reject all other classes.
def test_a_class_whose_work_doubles_is_not_mistaken_for_a_slower_instance() -> None:
    instance = SimulatedInstance(seed=3)
    instance.advance(20.0, 6)
    instance.work_factor[0] = 2.0
    instance.advance(30.0, 6)
    assert instance.capacity.speed == 1.0
    assert instance.capacity.work(0) == pytest.approx(0.78, rel=0.25)
    assert instance.capacity.work(1) == pytest.approx(0.235, rel=0.25)


def test_the_current_speed_includes_slow_start() -> None:
    cold = Capacity(4, [0.3], slow_start_initial_speed=0.25, slow_start_span=16.0)
    cold.sample(0.0)
    assert cold.current_speed() == 0.25
    cold.sample(8.0)
    assert cold.current_speed() == pytest.approx(0.625)
    assert cold.run_time(0, 8) == pytest.approx(0.3 / 0.625 * 2)
    cold.sample(99.0)
    assert cold.current_speed() == 1.0


# Ready queue
def test_pools_get_their_shares_in_units_of_work() -> None:
    queue = ReadyQueue([0.6, 0.3, 0.1])
    for request_id in range(3000):
        queue.push(Entry(request_id, request_id % 3, (0.4, 0.2, 0.1)[request_id % 3], 100.0 + request_id, 200.0))
    done = [0.0] * 3
    while sum(done) < 150:
        entry = next(queue.order(0.0, lambda pool: True))
        queue.start(entry.request_id)
        done[entry.pool] += entry.work
    assert [round(work / sum(done), 2) for work in done] == [0.6, 0.3, 0.1]


# Guards against credit for idle time: a pool that becomes active again gets its share, and not what it left unused.
def test_an_idle_pool_earns_no_credit() -> None:
    queue = ReadyQueue([0.5, 0.5])
    for request_id in range(400):
        queue.push(Entry(request_id, 0, 0.1, 100.0, 200.0))
    for _ in range(100):
        queue.start(next(queue.order(0.0, lambda pool: True)).request_id)
    for request_id in range(400, 600):
        queue.push(Entry(request_id, 1, 0.1, 100.0, 200.0))
    pools = []
    for _ in range(40):
        entry = next(queue.order(0.0, lambda pool: True))
        queue.start(entry.request_id)
        pools.append(entry.pool)
    assert 18 <= sum(pools) <= 22


@given(st.lists(st.tuples(st.integers(0, 2), st.floats(0, 5), st.booleans()), max_size=60), st.floats(0, 5))
@profile(max_examples=60, deadline=None)
def test_the_queue_agrees_with_a_sorted_list(rows: list[tuple[int, float, bool]], now: float) -> None:
    queue, expected = ReadyQueue([1.0, 1.0, 1.0]), dict[int, Entry]()
    for request_id, (pool, objective_at, removed) in enumerate(rows):
        entry = Entry(request_id, pool, 0.1, objective_at, objective_at + 1.0)
        queue.push(entry)
        expected[request_id] = entry
        if removed:
            assert queue.remove(request_id) is entry and queue.remove(request_id) is None
            del expected[request_id]
    for pool in range(3):
        pool_entries = [e for e in expected.values() if e.pool == pool]
        assert queue.count(pool) == len(pool_entries)
        best = min(
            pool_entries,
            key=lambda e: (e.objective_at < now, e.deadline if e.objective_at < now else e.objective_at, e.request_id),
            default=None,
        )
        head = queue.head(now, pool)
        assert (head is None) == (best is None)
        if head is not None and best is not None:
            assert (head.objective_at < now, head.objective_at) == (best.objective_at < now, best.objective_at)


# Pools
class PoolsHarness:
    """Drives Pools as the Controller does, with a clock that is set by hand."""

    def __init__(self, given_rules: PoolSettings | None = None) -> None:
        self.pools, self.now, self.last_id = Pools(given_rules or rules(), SITE), 0.0, 0

    def enqueue(self, class_index: int, count: int = 1, objective_s: float = 50.0) -> list[int]:
        new_ids = list(range(self.last_id + 1, self.last_id + count + 1))
        self.last_id += count
        for request_id in new_ids:
            self.pools.enqueue(self.now, request_id, class_index, self.now + objective_s, self.now + objective_s + 1)
        return new_ids

    def start_runs(self) -> list[int]:
        started_ids = []
        for request_id in self.pools.dispatch_order(self.now):
            self.pools.run_started(self.now, request_id)
            started_ids.append(request_id)
        return started_ids

    def end_runs(self, *ended_ids: int, after: float = 0.3) -> None:
        self.now += after
        for request_id in ended_ids:
            self.pools.run_ended(self.now, request_id, True)


# Guards against cores that stay idle while work is queued, and against a reserve that other pools borrow.
def test_idle_shares_are_lent_but_never_the_reserve() -> None:
    harness = PoolsHarness()
    harness.enqueue(0, 20)
    assert len(harness.start_runs()) == 3  # 0.9 of four cores, the ceiling of the pool
    harness.enqueue(1, 20)
    assert len(harness.start_runs()) == 1  # the fourth core; the run of the reserve stays free
    quick_ids = harness.enqueue(2, 5)
    started_ids = harness.start_runs()
    assert len(started_ids) == 1 and started_ids[0] in quick_ids
    assert len(harness.pools.running) == 5 == SITE.cores + harness.pools.reserve_slots


# Guards against a client that sends only requests of the reserved class: its use of the instance is bounded too.
def test_the_pool_with_the_reserve_is_limited_by_its_ceiling() -> None:
    harness = PoolsHarness()
    harness.enqueue(2, 50)
    assert len(harness.start_runs()) == 2  # its ceiling, half of four cores
    harness.enqueue(0, 10)
    assert len(harness.start_runs()) == 3


def test_a_lent_share_is_preempted_within_a_bounded_time() -> None:
    pool_rules = [{**RULES["pool"][0], "share": 0.4}, {**RULES["pool"][1], "share": 0.5}, RULES["pool"][2]]
    harness = PoolsHarness(rules(take_back_s=0.2, pool=pool_rules))
    for _ in range(40):  # enough runs for the work of the classes to be known
        harness.enqueue(0, 1)
        harness.end_runs(*harness.start_runs(), after=2.0)
    harness.enqueue(0, 20)
    harness.enqueue(1, 1)
    harness.start_runs()
    match_ids = harness.enqueue(0, 1) and [id for id, run in harness.pools.running.items() if run.class_index == 0]
    harness.enqueue(1, 5)
    assert not harness.pools.sample(harness.now, load_sample(1.0, 4.0))
    harness.now += 0.21
    preempted = harness.pools.sample(harness.now, load_sample(1.0, 4.0))
    assert len(preempted) == 1 and preempted[0] in match_ids
    assert harness.pools.requeue_preempted(harness.now, preempted[0])
    assert not harness.pools.requeue_preempted(
        harness.now, match_ids[0] if match_ids[0] != preempted[0] else match_ids[1]
    )
    started_ids = harness.start_runs()
    assert [harness.pools.running[id].class_index for id in started_ids] == [1]
    assert preempted[0] in harness.pools.ready  # it will be resumed later


# Guards against a change of the shares after which running or queued requests are miscounted.
def test_a_reload_while_a_pool_exceeds_its_new_share() -> None:
    harness = PoolsHarness()
    harness.enqueue(0, 10)
    harness.enqueue(1, 10)
    started_ids = harness.start_runs()
    small_share = [
        {**RULES["pool"][0], "share": 0.1, "ceiling": 0.25},
        {**RULES["pool"][1], "share": 0.8},
        RULES["pool"][2],
    ]
    harness.pools.apply_settings(harness.now, rules(pool=small_share), SITE)
    running = [harness.pools.running[id].class_index for id in started_ids]
    assert [pool.running for pool in harness.pools.pools] == [running.count(0), running.count(1), 0]
    assert len(harness.pools.ready) == 20 - len(started_ids)
    match_ids = [id for id in started_ids if harness.pools.running[id].class_index == 0]
    harness.end_runs(*match_ids)
    assert [harness.pools.running[id].class_index for id in harness.start_runs()].count(0) <= 1
    harness.end_runs(*list(harness.pools.running))
    assert all(pool.running == 0 for pool in harness.pools.pools) and not harness.pools.running


# Guards against queueing requests that cannot meet their objective, and against an arbitrary Retry-After.
def test_a_full_pool_rejects_with_the_time_that_its_queue_takes() -> None:
    harness = PoolsHarness()
    for _ in range(20):
        harness.enqueue(0, 1)
        harness.end_runs(*harness.start_runs(), after=0.4)
    work = harness.pools.capacity.work(0)
    assert work == pytest.approx(0.4, rel=0.1)
    assert harness.pools.rejection(harness.now, 0, harness.now + 1.5, harness.now + 5.6) is None
    harness.enqueue(0, 30)
    harness.start_runs()
    full = harness.pools.rejection(harness.now, 0, harness.now + 1.5, harness.now + 5.6)
    assert full is not None and full.reason == "pool full"
    # There is capacity again once this much work has been done at the rate of the pool.
    queue = harness.pools.ready.work(0)
    rate = harness.pools.capacity.work_rate() * 0.9
    assert full.retry_after == pytest.approx(queue / rate + 0.4 - 1.5 * 0.9, abs=0.4)


def test_the_bounds_hold_with_absurd_or_missing_gauges() -> None:
    harness = PoolsHarness()
    harness.enqueue(0, 50)
    for cpu in (None, -1.0, 1e9, 0.0, float("nan")):
        harness.start_runs()
        harness.now += 0.1
        harness.pools.sample(harness.now, LoadSample(0, cpu, cpu, cpu, None))
        assert SITE.cores <= harness.pools.run_limit.limit <= SITE.cores * SITE.collapse_concurrency
        assert len(harness.pools.running) <= harness.pools.run_limit.limit + harness.pools.reserve_slots


# The controller
def random_batches(seed: int, rounds: int = 400) -> list[tuple[float, list[Event]]]:
    """Batches of arrivals, run ends, cancellations, load samples and a drain, all drawn from the seed."""
    rnd, now, batches, open_ids = random.Random(seed), 0.0, list[tuple[float, list[Event]]](), list[int]()
    for round_index in range(rounds):
        now += rnd.random() * 0.05
        events: list[Event] = []
        for arrival_index in range(rnd.randrange(4)):
            request_id = round_index * 8 + arrival_index + 1
            rank, kb = rnd.random(), rnd.uniform(10, 60)
            events.append(
                replace(
                    arrival(request_id, class_index=rnd.randrange(4), age=rnd.random() * 0.3), rank=rank, memory_kb=kb
                )
            )
            open_ids.append(request_id)
        for _ in range(rnd.randrange(3)):
            if open_ids:
                request_id = open_ids.pop(rnd.randrange(len(open_ids)))
                outcome = rnd.choice([Outcome.OK] * 6 + [Outcome.ERROR, Outcome.CANCELLED])
                events.append(
                    RunFinished(request_id, rnd.uniform(0.1, 1.5), outcome)
                    if rnd.random() < 0.9
                    else RequestCancelled(request_id)
                )
        if round_index % 3 == 0:
            events.append(LoadSample(0, rnd.random() * 1.1, rnd.uniform(0, 12), rnd.random(), 5.0))
        if round_index == rounds - 40:
            events.append(DrainRequested(now + 3.0))
        batches.append((now, events))
    return batches


# The names of the actions and their fields when the digest below was computed.
NAMES_IN_DIGEST: dict[type, tuple[str, tuple[str, ...]]] = {
    StartRun: ("Run", ("id",)),
    Reject: ("Refuse", ("id", "reason", "advice", "last")),
    Fail: ("Fail", ("id", "reason")),
    CancelRun: ("Halt", ("id",)),
    CallDependency: ("Call", ("id", "patience")),
    SkipDependency: ("Skip", ("id",)),
    ReserveKey: ("Keep", ("id", "life")),
    ReleaseKey: ("Forget", ("id",)),
    AwaitOriginal: ("Attach", ("id",)),
    SetHealth: ("Health", ("good",)),
    PublishLoad: ("Say", ("value",)),
    SetIdleTimeout: ("KeepIdle", ("span",)),
    ScheduleTimer: ("Timer", ("span", "mark")),
    Log: ("Remark", ("text",)),
}


def repr_in_digest(actions: list[Action]) -> str:
    """The ``repr`` that the actions had when the digest was computed."""
    texts = []
    for action in actions:
        name, fields = NAMES_IN_DIGEST[type(action)]
        pairs = zip(fields, astuple(action), strict=True)
        texts.append(f"{name}({', '.join(f'{field}={value!r}' for field, value in pairs)})")
    return f"[{', '.join(texts)}]"


def digest_of_actions() -> str:
    """The digest of a controller's actions without pools, for the same batches each time."""
    digest = hashlib.sha256()
    for seed in range(6):
        controller = Controller(settings(cancellation="pause" if seed % 2 else None), seed)
        for now, events in random_batches(seed):
            digest.update(repr_in_digest(controller.handle(now, events)).encode())
    return digest.hexdigest()


# Guards against pools that change decisions although they are off. The digest is that of the actions of the controller
# before pools were introduced. Probes came after it, and are the only difference.
def test_without_pools_the_actions_are_exactly_the_same_as_before_pools(monkeypatch: pytest.MonkeyPatch) -> None:
    assert digest_of_actions() == "f597bc86828bc458ad738811349dd6f7621e2da249be49d5240709d3356071bf"
    monkeypatch.setattr(EstimateProbes, "passes", lambda probes, request, now: False)
    assert digest_of_actions() == "5302735e6b175110c125410b372db98921f6cba4efc357d142f33f524114aed3"


@pytest.mark.parametrize("seed", range(6))
def test_with_pools_every_request_is_answered_once_and_all_counts_return_to_zero(seed: int) -> None:
    """Random valid event streams: every request is answered once, limits hold, and all counts return to zero."""
    rnd = random.Random(seed)
    pools = Pools(rules(take_back_s=0.05), SITE)
    controller = Controller(SITE, seed, pools)
    now, running, answered, cancelled = 0.0, dict[int, float](), dict[int, str](), set[int]()
    arrived, preempted, preemptions, last_id = dict[int, float](), set[int](), 0, 0
    pending: list[Event] = []
    while now < 30.0:
        now = round(now + 0.02, 6)
        events, pending = pending, []
        if now < 20.0:
            for _ in range(rnd.choice([0, 0, 1, 1, 2])):
                last_id += 1
                arrived[last_id] = now
                events.append(
                    replace(arrival(last_id, class_index=rnd.choices(range(3), [6, 2, 2])[0]), rank=rnd.random())
                )
        for request_id, ends_at in list(running.items()):
            if ends_at <= now and request_id not in preempted:
                del running[request_id]
                events.append(RunFinished(request_id, 0.3, Outcome.OK))
                answered.setdefault(request_id, "served")
        waiting = [r for r, at in arrived.items() if at < now and r not in answered and r not in cancelled]
        if waiting and rnd.random() < 0.03:
            request_id = rnd.choice(waiting)
            cancelled.add(request_id)
            events.append(RequestCancelled(request_id))
        if round(now / 0.02) % 5 == 0:
            events.append(LoadSample(0, min(1.0, len(running) / 4), float(len(running)), 0.1, 5.0))
        for action in controller.handle(now, events):
            if isinstance(action, StartRun):
                assert (
                    action.request_id not in running
                    and action.request_id not in answered
                    and action.request_id not in cancelled
                )
                running[action.request_id] = now + rnd.uniform(0.1, 1.2)
            elif isinstance(action, Reject | Fail):
                assert (
                    action.request_id not in answered and action.request_id not in cancelled
                ), f"request {action.request_id} was answered twice"
                answered[action.request_id] = "refused" if isinstance(action, Reject) else "failed"
                if isinstance(action, Reject):
                    assert action.retry_after is not None and 0 < action.retry_after <= 1.0
            elif isinstance(action, CancelRun) and action.request_id in running:
                del running[action.request_id]
                preemptions += 1
                pending.append(RunFinished(action.request_id, 0.1, Outcome.CANCELLED))
        assert len(running) <= 0.85 * SITE.cores * SITE.collapse_concurrency
    assert set(arrived) == set(answered) | cancelled
    assert (
        not pools.running and len(pools.ready) == 0 and controller.rules.memory.used_kb == pytest.approx(0.0, abs=1e-6)
    )
    assert preemptions > 0 and sum(controller.rules.table.counts) == 0


def test_a_full_pool_rejects_its_own_requests_but_not_those_of_other_pools() -> None:
    controller = Controller(SITE, 1, Pools(rules(), SITE))
    controller.handle(0.0, [])
    actions = controller.handle(0.0, [arrival(n, class_index=0, rank=0.9) for n in range(1, 60)])
    full = [a for a in actions_of(actions, Reject) if a.reason == "pool full"]
    assert full and all(0.05 <= a.retry_after <= 1.0 for a in full)
    actions = controller.handle(0.01, [arrival(100, class_index=1), arrival(101, class_index=2)])
    assert not request_ids(actions, Reject) and 101 in request_ids(actions, StartRun)


# Guards against pools that the server does not use: its settings file, its reload and its counters include them.
class ServerWithPools(World):
    backend = None
    contracts = None

    def test_serve_reload_and_counters(self) -> None:
        names = [spec.name for spec in self.server.config.settings.classes]
        table: dict[str, Any] = {"pool": [{"name": "all", "classes": names, "share": 1.0}]}
        self.server.running.pools = parse_pools(table, names, 6)
        self.server.core.broker = None
        self.server.core.backend_up(False, 1.0)
        self.play("""
            expect vm CONNECT 0
            send c1 1 approve-commit
            expect vm APPLY c1.1
            send vm OK c1.1
            expect c1 result 1
        """)
        assert self.server.core.pools is not None
        assert self.server.core.pools.state()["all started"] == 1
        split: dict[str, Any] = {"pool": [{"name": name, "classes": [name], "share": 0.5} for name in names]}
        new_rules = parse_pools(split, names, 6)
        self.server.config_reload._read_files = lambda: ConfigFiles(parse_config(configuration()), pools=new_rules)
        self.play("send server HUP")
        assert [pool.name for pool in self.server.core.pools.pools] == names
        self.server.counter_report.log_counters()
        assert self.server.counters.groups["pools"]["limit"] == 6


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"pool": []}, "at least one [[pool]] table is required, found []"),
        (
            {"pool": [{"name": "a", "classes": ["nope"], "share": 0.5}]},
            "pool 'a': unknown class 'nope'; the classes are slow, once, quick",
        ),
        (
            {"pool": [{"name": "a", "classes": ["slow"], "share": 0.5}]},
            "class 'once' is in no pool; every class must be in exactly one",
        ),
        (
            {"pool": [{**RULES["pool"][0], "share": 0.9}, *RULES["pool"][1:]]},
            "the shares of all pools add up to 1.4; the maximum is 1",
        ),
        (
            {"pool": [{**RULES["pool"][0], "share": "x"}, *RULES["pool"][1:]]},
            "pool 'matches': share must be a number above 0 and at most 1, found 'x'",
        ),
        (
            {"pool": [{**RULES["pool"][0], "ceiling": 0.1}, *RULES["pool"][1:]]},
            "pool 'matches': ceiling 0.1 is below share 0.5",
        ),
        ({"pool": [*RULES["pool"], RULES["pool"][0]]}, "pool 'matches' (table 4): another pool has the same name"),
        ({"reserve": {"pool": "x", "share": 0.1}}, "reserve: unknown pool 'x'; the pools are matches, commits, light"),
        (
            {"reserve": {"pool": "light", "share": 0.9}},
            "reserve: a share of 0.9 leaves less than one of 4 cores to the other pools",
        ),
        ({"reserve": {"pool": "light"}}, "reserve: required setting share is missing"),
        ({"weights": 1}, "top level: unknown setting 'weights'; the settings are pool, reserve, take_back_s"),
    ],
)
def test_invalid_settings_are_reported_in_one_line(changes: dict[str, Any], message: str) -> None:
    with pytest.raises(PoolsError) as error:
        rules(**changes)
    assert message in str(error.value) and "\n" not in str(error.value)


def test_check_config_accepts_the_deployed_pools_file(tmp_path: Path) -> None:
    from lapishaven.lab import site
    from lapishaven.lab.interpreter import Box as SiteBox

    path = tmp_path / "c.json"
    addresses = [("127.0.0.1", port) for port in (1, 2, 3)]
    path.write_text(site.configuration("n1", *addresses, 1, SiteBox(), 3, 3, False))
    arguments = ["check-config", "--config", str(path), "--pools"]
    result = CliRunner().invoke(app, [*arguments, str(ROOT / "deploy/pools.toml")])
    assert result.exit_code == 0 and "pool commits: 35%" in result.output and "reserve: 15%" in result.output
    (tmp_path / "p.toml").write_text("[[pool]]\nname = 'a'\n")
    result = CliRunner().invoke(app, [*arguments, str(tmp_path / "p.toml")])
    assert result.exit_code == 2 and "required setting classes is missing" in result.output
    assert "--pools" not in (ROOT / "deploy/balancer.toml").read_text()  # pools are off on the platform


# Hard scenarios in the emulator, which uses the real Broker, Controller and client policy
def emulate(**changes: Any) -> dict[str, Any]:
    base: dict[str, Any] = {"servers": 4, "clients": 3, "seconds": 9.0, "load": 0.6, "seed": 5, "pools": "on"}
    return main(EmulatorSpec(**{**base, **changes}))


@pytest.mark.parametrize(
    "scenario",
    [
        {"script": "2 slow n2 x0.1 for 8"},
        {"script": "2 surge x1.5 for 6", "boxes": "old", "load": 0.75},
        {"script": "1 kill n1 back 1\n3 surge x1.5 for 5"},  # a surge while an instance is in slow start
        {"script": "1 drain n1\n1 surge x1.5 for 5"},
        {"doubled_at": 2.0},
        {"only": "fuzzy-match", "load": 1.1},
        {"only": "glossary-look-up", "load": 1.1},  # the reserve is flooded by clients that send no other class
        {"read_part": 0.2, "load": 0.8},
    ],
    ids=lambda scenario: next(iter(scenario)),
)
def test_hard_scenarios_break_no_rule_and_starve_no_pool(scenario: dict[str, Any]) -> None:
    result = emulate(**scenario)
    assert result["falls"] == result["commits_twice"] == result["late_answers"] == 0
    assert result["worst_concurrency"] < 6.0 and result["worst_memory"] < 1.0
    if "only" not in scenario:
        light, commits = result["classes"]["glossary-look-up"], result["classes"]["approve-commit"]
        assert light["served"] >= 0.99 and light["longest_s"] <= 0.6
        assert commits["on_time"] >= 0.9


def test_the_same_seed_gives_the_same_run() -> None:
    first, second = (emulate(seconds=5.0, script="1 slow n2 x0.1 for 3") for _ in range(2))
    for result in (first, second):
        del result["wall_s"], result["events_per_s"]
    assert first == second
