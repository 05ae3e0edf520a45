"""Pools by class: the capacity estimate, the ready queue, the rules of sharing, and the Controller with and without."""

from __future__ import annotations

import hashlib
import random
from dataclasses import astuple, replace
from pathlib import Path
from typing import Any

import pytest
from helpers import arrival, ids, of, poll, settings
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


class Box:
    """An instance under a Capacity: so many cores, each run with its work, stepped by hand."""

    def __init__(self, cores: int = 4, seed: int = 1) -> None:
        self.capacity = Capacity(cores, [0.3, 0.3])
        self.cores, self.random, self.now, self.speed, self.last = cores, random.Random(seed), 0.0, 1.0, 0
        self.left: dict[int, float] = {}
        self.factor = [1.0, 1.0]

    def go(self, span: float, busy: int, step: float = 0.01) -> None:
        """Keep so many running for a while, half of each class."""
        until = self.now + span
        while self.now < until:
            while len(self.left) < busy:
                self.last += 1
                cls = self.last % 2
                self.left[self.last] = self.random.uniform(*((0.29, 0.49), (0.17, 0.3))[cls]) * self.factor[cls]
                self.capacity.run_started(self.now, self.last, cls)
            self.now += step
            done = step * self.speed * min(1.0, self.cores / len(self.left))
            for id in list(self.left):
                self.left[id] -= done
                if self.left[id] <= 0:
                    del self.left[id]
                    self.capacity.run_ended(self.now, id, True)
            if round(self.now / step) % 10 == 0:
                self.capacity.sample(self.now)


# Capacity
# Guards against an instance that counts as slow because it is full.
@pytest.mark.parametrize("seed", range(4))
def test_load_is_not_taken_for_a_slower_instance(seed: int) -> None:
    box = Box(seed=seed)
    for busy in (1, 4, 16, 2, 24):
        box.go(15.0, busy)
    assert box.capacity.speed == 1.0
    assert box.capacity.work(0) == pytest.approx(0.39, rel=0.15)
    assert box.capacity.work(1) == pytest.approx(0.235, rel=0.15)


# Guards against a limit learnt when the instance was fast: a tenth of the speed is detected within two seconds.
@pytest.mark.parametrize("seed", range(4))
def test_a_tenth_of_the_speed_and_its_recovery_are_detected(seed: int) -> None:
    box = Box(seed=seed)
    box.go(20.0, 6)
    box.speed, slowed = 0.1, box.now
    box.go(20.0, 6)
    assert box.capacity.speed_changed_at is not None and slowed < box.capacity.speed_changed_at
    assert box.capacity.speed == pytest.approx(0.1, abs=0.08)
    first = box.capacity.speed_changes
    box.speed, back = 1.0, box.now
    box.go(6.0, 6)
    assert box.capacity.speed == 1.0 and box.capacity.speed_changes > first
    assert box.capacity.speed_changed_at is not None and box.capacity.speed_changed_at - back < 4.0


def test_the_detection_time_is_bounded() -> None:
    box = Box(seed=9)
    box.go(20.0, 6)
    box.speed, slowed = 0.1, box.now
    while box.capacity.speed == 1.0:
        box.go(0.1, 6)
        assert box.now < slowed + 2.0


# Guards against a class whose work doubles being taken for a slow instance, which would reject all the others.
def test_a_class_whose_work_doubles_is_not_a_slower_instance() -> None:
    box = Box(seed=3)
    box.go(20.0, 6)
    box.factor[0] = 2.0
    box.go(30.0, 6)
    assert box.capacity.speed == 1.0
    assert box.capacity.work(0) == pytest.approx(0.78, rel=0.25)
    assert box.capacity.work(1) == pytest.approx(0.235, rel=0.25)


def test_slow_start_is_part_of_the_speed() -> None:
    cold = Capacity(4, [0.3], slow_start_initial_speed=0.25, slow_start_span=16.0)
    cold.sample(0.0)
    assert cold.current_speed() == 0.25
    cold.sample(8.0)
    assert cold.current_speed() == pytest.approx(0.625)
    assert cold.run_time(0, 8) == pytest.approx(0.3 / 0.625 * 2)
    cold.sample(99.0)
    assert cold.current_speed() == 1.0


# Ready queue
def test_shares_hold_in_units_of_work() -> None:
    queue = ReadyQueue([0.6, 0.3, 0.1])
    for n in range(3000):
        queue.push(Entry(n, n % 3, (0.4, 0.2, 0.1)[n % 3], 100.0 + n, 200.0))
    done = [0.0] * 3
    while sum(done) < 150:
        entry = next(queue.order(0.0, lambda pool: True))
        queue.start(entry.request_id)
        done[entry.pool] += entry.work
    assert [round(each / sum(done), 2) for each in done] == [0.6, 0.3, 0.1]


# Guards against credit for idle time: a pool that comes back takes its share, not all that it left.
def test_an_idle_pool_earns_no_credit() -> None:
    queue = ReadyQueue([0.5, 0.5])
    for n in range(400):
        queue.push(Entry(n, 0, 0.1, 100.0, 200.0))
    for _ in range(100):
        queue.start(next(queue.order(0.0, lambda pool: True)).request_id)
    for n in range(400, 600):
        queue.push(Entry(n, 1, 0.1, 100.0, 200.0))
    pools = []
    for _ in range(40):
        entry = next(queue.order(0.0, lambda pool: True))
        queue.start(entry.request_id)
        pools.append(entry.pool)
    assert 18 <= sum(pools) <= 22


@given(st.lists(st.tuples(st.integers(0, 2), st.floats(0, 5), st.booleans()), max_size=60), st.floats(0, 5))
@profile(max_examples=60, deadline=None)
def test_the_queue_gives_what_a_sorted_list_would(rows: list[tuple[int, float, bool]], now: float) -> None:
    queue, plain = ReadyQueue([1.0, 1.0, 1.0]), dict[int, Entry]()
    for n, (pool, aim, removed) in enumerate(rows):
        entry = Entry(n, pool, 0.1, aim, aim + 1.0)
        queue.push(entry)
        plain[n] = entry
        if removed:
            assert queue.remove(n) is entry and queue.remove(n) is None
            del plain[n]
    for pool in range(3):
        mine = [e for e in plain.values() if e.pool == pool]
        assert queue.count(pool) == len(mine)
        best = min(
            mine,
            key=lambda e: (e.objective_at < now, e.deadline if e.objective_at < now else e.objective_at, e.request_id),
            default=None,
        )
        head = queue.head(now, pool)
        assert (head is None) == (best is None)
        if head is not None and best is not None:
            assert (head.objective_at < now, head.objective_at) == (best.objective_at < now, best.objective_at)


# Pools
class Bench:
    """Pools with everything queued at once, driven by a stand-in of the Controller."""

    def __init__(self, given_rules: PoolSettings | None = None) -> None:
        self.pools, self.now, self.last = Pools(given_rules or rules(), SITE), 0.0, 0

    def hold(self, cls: int, count: int = 1, aim: float = 50.0) -> list[int]:
        new = list(range(self.last + 1, self.last + count + 1))
        self.last += count
        for id in new:
            self.pools.enqueue(self.now, id, cls, self.now + aim, self.now + aim + 1)
        return new

    def start(self) -> list[int]:
        begun = []
        for id in self.pools.dispatch_order(self.now):
            self.pools.run_started(self.now, id)
            begun.append(id)
        return begun

    def end(self, *some: int, after: float = 0.3) -> None:
        self.now += after
        for id in some:
            self.pools.run_ended(self.now, id, True)


# Guards against idle cores beside queued work, and against a reserve that the others borrow.
def test_idle_shares_are_lent_but_never_the_reserve() -> None:
    bench = Bench()
    bench.hold(0, 20)
    assert len(bench.start()) == 3  # 0.9 of four cores: the pool's own ceiling
    bench.hold(1, 20)
    assert len(bench.start()) == 1  # the fourth core; the reserve's run stays free
    quick = bench.hold(2, 5)
    begun = bench.start()
    assert len(begun) == 1 and begun[0] in quick
    assert len(bench.pools.running) == 5 == SITE.cores + bench.pools.reserve_slots


# Guards against a client that asks for nothing but the cheap class: the reserve is bounded too.
def test_the_reserve_cannot_be_abused() -> None:
    bench = Bench()
    bench.hold(2, 50)
    assert len(bench.start()) == 2  # its ceiling, half of four cores
    bench.hold(0, 10)
    assert len(bench.start()) == 3


def test_a_lent_share_is_preempted_within_a_bounded_time() -> None:
    even = [{**RULES["pool"][0], "share": 0.4}, {**RULES["pool"][1], "share": 0.5}, RULES["pool"][2]]
    bench = Bench(rules(take_back_s=0.2, pool=even))
    for _ in range(40):  # so that the classes are known
        bench.hold(0, 1)
        bench.end(*bench.start(), after=2.0)
    bench.hold(0, 20)
    bench.hold(1, 1)
    bench.start()
    matches = bench.hold(0, 1) and [id for id, run in bench.pools.running.items() if run.class_index == 0]
    bench.hold(1, 5)
    assert not bench.pools.sample(bench.now, poll(1.0, 4.0))
    bench.now += 0.21
    halted = bench.pools.sample(bench.now, poll(1.0, 4.0))
    assert len(halted) == 1 and halted[0] in matches
    assert bench.pools.requeue_preempted(bench.now, halted[0])
    assert not bench.pools.requeue_preempted(bench.now, matches[0] if matches[0] != halted[0] else matches[1])
    begun = bench.start()
    assert [bench.pools.running[id].class_index for id in begun] == [1]
    assert halted[0] in bench.pools.ready  # and goes on later


# Guards against a change of shares that loses count of what runs or is queued.
def test_a_reload_while_over_the_new_share() -> None:
    bench = Bench()
    bench.hold(0, 10)
    bench.hold(1, 10)
    begun = bench.start()
    small = [{**RULES["pool"][0], "share": 0.1, "ceiling": 0.25}, {**RULES["pool"][1], "share": 0.8}, RULES["pool"][2]]
    bench.pools.apply_settings(bench.now, rules(pool=small))
    running = [bench.pools.running[id].class_index for id in begun]
    assert [pool.running for pool in bench.pools.pools] == [running.count(0), running.count(1), 0]
    assert len(bench.pools.ready) == 20 - len(begun)
    matches = [id for id in begun if bench.pools.running[id].class_index == 0]
    bench.end(*matches)
    assert [bench.pools.running[id].class_index for id in bench.start()].count(0) <= 1
    bench.end(*list(bench.pools.running))
    assert all(pool.running == 0 for pool in bench.pools.pools) and not bench.pools.running


# Guards against queueing what cannot meet its objective, and against an arbitrary Retry-After.
def test_a_full_pool_rejects_with_the_time_its_queue_takes() -> None:
    bench = Bench()
    for _ in range(20):
        bench.hold(0, 1)
        bench.end(*bench.start(), after=0.4)
    work = bench.pools.capacity.work(0)
    assert work == pytest.approx(0.4, rel=0.1)
    assert bench.pools.rejection(bench.now, 0, bench.now + 1.5, bench.now + 5.6) is None
    bench.hold(0, 30)
    bench.start()
    full = bench.pools.rejection(bench.now, 0, bench.now + 1.5, bench.now + 5.6)
    assert full is not None and full.reason == "pool full"
    # Once so much has gone through at the pool's own rate, there is room again.
    queue = bench.pools.ready.work(0)
    rate = bench.pools.capacity.work_rate() * 0.9
    assert full.retry_after == pytest.approx(queue / rate + 0.4 - 1.5 * 0.9, abs=0.4)


def test_absurd_or_missing_gauges_change_no_bound() -> None:
    bench = Bench()
    bench.hold(0, 50)
    for cpu in (None, -1.0, 1e9, 0.0, float("nan")):
        bench.start()
        bench.now += 0.1
        bench.pools.sample(bench.now, LoadSample(0, cpu, cpu, cpu, None))
        assert SITE.cores <= bench.pools.run_limit.limit <= SITE.cores * SITE.collapse_concurrency
        assert len(bench.pools.running) <= bench.pools.run_limit.limit + bench.pools.reserve_slots


# The controller
def stream(seed: int, rounds: int = 400) -> list[tuple[float, list[Event]]]:
    """Recorded batches: arrivals, ends, departures, polls and a drain, all drawn by the seed."""
    rnd, now, batches, open_ids = random.Random(seed), 0.0, list[tuple[float, list[Event]]](), list[int]()
    for n in range(rounds):
        now += rnd.random() * 0.05
        events: list[Event] = []
        for k in range(rnd.randrange(4)):
            id = n * 8 + k + 1
            rank, kb = rnd.random(), rnd.uniform(10, 60)
            events.append(
                replace(arrival(id, class_index=rnd.randrange(4), age=rnd.random() * 0.3), rank=rank, memory_kb=kb)
            )
            open_ids.append(id)
        for _ in range(rnd.randrange(3)):
            if open_ids:
                id = open_ids.pop(rnd.randrange(len(open_ids)))
                outcome = rnd.choice([Outcome.OK] * 6 + [Outcome.ERROR, Outcome.CANCELLED])
                events.append(
                    RunFinished(id, rnd.uniform(0.1, 1.5), outcome) if rnd.random() < 0.9 else RequestCancelled(id)
                )
        if n % 3 == 0:
            events.append(LoadSample(0, rnd.random() * 1.1, rnd.uniform(0, 12), rnd.random(), 5.0))
        if n == rounds - 40:
            events.append(DrainRequested(now + 3.0))
        batches.append((now, events))
    return batches


# The names that actions and their fields had when the digest below was taken.
FIRST_NAMES: dict[type, tuple[str, tuple[str, ...]]] = {
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


def first_form(actions: list[Action]) -> str:
    """The actions as ``repr`` printed them when the digest was taken."""
    texts = []
    for action in actions:
        name, fields = FIRST_NAMES[type(action)]
        pairs = zip(fields, astuple(action), strict=True)
        texts.append(f"{name}({', '.join(f'{field}={value!r}' for field, value in pairs)})")
    return f"[{', '.join(texts)}]"


# Guards against pools that change anything where they are off. The digest is of the actions of the controller as it was
# before there were pools, on the same batches.
def test_without_pools_the_actions_are_the_same_to_the_last_bit() -> None:
    digest = hashlib.sha256()
    for seed in range(6):
        controller = Controller(settings(cancellation="pause" if seed % 2 else None), seed)
        for now, events in stream(seed):
            digest.update(first_form(controller.handle(now, events)).encode())
    assert digest.hexdigest() == "5302735e6b175110c125410b372db98921f6cba4efc357d142f33f524114aed3"


@pytest.mark.parametrize("seed", range(6))
def test_with_pools_every_request_is_answered_once_and_nothing_is_miscounted(seed: int) -> None:
    """Random legal streams: each request is answered once, within the limits, and no count is left over."""
    rnd = random.Random(seed)
    pools = Pools(rules(take_back_s=0.05), SITE)
    controller = Controller(SITE, seed, pools)
    now, running, answered, gone = 0.0, dict[int, float](), dict[int, str](), set[int]()
    arrived, halted, halts, id = dict[int, float](), set[int](), 0, 0
    pending: list[Event] = []
    while now < 30.0:
        now = round(now + 0.02, 6)
        events, pending = pending, []
        if now < 20.0:
            for _ in range(rnd.choice([0, 0, 1, 1, 2])):
                id += 1
                arrived[id] = now
                events.append(replace(arrival(id, class_index=rnd.choices(range(3), [6, 2, 2])[0]), rank=rnd.random()))
        for each, end in list(running.items()):
            if end <= now and each not in halted:
                del running[each]
                events.append(RunFinished(each, 0.3, Outcome.OK))
                answered.setdefault(each, "served")
        waiting = [r for r, at in arrived.items() if at < now and r not in answered and r not in gone]
        if waiting and rnd.random() < 0.03:
            leaver = rnd.choice(waiting)
            gone.add(leaver)
            events.append(RequestCancelled(leaver))
        if round(now / 0.02) % 5 == 0:
            events.append(LoadSample(0, min(1.0, len(running) / 4), float(len(running)), 0.1, 5.0))
        for action in controller.handle(now, events):
            if isinstance(action, StartRun):
                assert (
                    action.request_id not in running
                    and action.request_id not in answered
                    and action.request_id not in gone
                )
                running[action.request_id] = now + rnd.uniform(0.1, 1.2)
            elif isinstance(action, Reject | Fail):
                assert action.request_id not in answered and action.request_id not in gone, "answered twice"
                answered[action.request_id] = "refused" if isinstance(action, Reject) else "failed"
                if isinstance(action, Reject):
                    assert action.retry_after is not None and 0 < action.retry_after <= 1.0
            elif isinstance(action, CancelRun) and action.request_id in running:
                del running[action.request_id]
                halts += 1
                pending.append(RunFinished(action.request_id, 0.1, Outcome.CANCELLED))
        assert len(running) <= 0.85 * SITE.cores * SITE.collapse_concurrency
    assert set(arrived) == set(answered) | gone
    assert (
        not pools.running and len(pools.ready) == 0 and controller.rules.memory.used_kb == pytest.approx(0.0, abs=1e-6)
    )
    assert halts > 0 and sum(controller.rules.table.counts) == 0


def test_a_full_pool_rejects_its_own_requests_and_not_those_of_others() -> None:
    controller = Controller(SITE, 1, Pools(rules(), SITE))
    controller.handle(0.0, [])
    actions = controller.handle(0.0, [arrival(n, class_index=0, rank=0.9) for n in range(1, 60)])
    full = [a for a in of(actions, Reject) if a.reason == "pool full"]
    assert full and all(0.05 <= a.retry_after <= 1.0 for a in full)
    actions = controller.handle(0.01, [arrival(100, class_index=1), arrival(101, class_index=2)])
    assert not ids(actions, Reject) and 101 in ids(actions, StartRun)


# Guards against a module that takes part only on paper: the server, its file, its reload and its counters.
class Pooled(World):
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
        rules_now = parse_pools(split, names, 6)
        self.server.config_reload._read_files = lambda: ConfigFiles(parse_config(configuration()), pools=rules_now)
        self.play("send server HUP")
        assert [pool.name for pool in self.server.core.pools.pools] == names
        self.server.counter_report.log_counters()
        assert self.server.counters.groups["pools"]["limit"] == 6


@pytest.mark.parametrize(
    ("change", "line"),
    [
        ({"pool": []}, "there is no [[pool]]"),
        ({"pool": [{"name": "a", "classes": ["nope"], "share": 0.5}]}, "pool a: no class 'nope'"),
        ({"pool": [{"name": "a", "classes": ["slow"], "share": 0.5}]}, "class 'once' is in no pool"),
        ({"pool": [{**RULES["pool"][0], "share": 0.9}, *RULES["pool"][1:]]}, "the shares add up to 1.4"),
        ({"pool": [{**RULES["pool"][0], "share": "x"}, *RULES["pool"][1:]]}, "share is not a number"),
        ({"pool": [{**RULES["pool"][0], "ceiling": 0.1}, *RULES["pool"][1:]]}, "ceiling is under share"),
        ({"pool": [*RULES["pool"], RULES["pool"][0]]}, "pool matches is there twice"),
        ({"reserve": {"pool": "x", "share": 0.1}}, "reserve: no pool 'x'"),
        ({"reserve": {"pool": "light", "share": 0.9}}, "leaves no core of 4 to the other pools"),
        ({"reserve": {"pool": "light"}}, "reserve: share is missing"),
        ({"weights": 1}, "unknown setting weights"),
    ],
)
def test_mistakes_are_one_plain_line(change: dict[str, Any], line: str) -> None:
    with pytest.raises(PoolsError) as error:
        rules(**change)
    assert line in str(error.value) and "\n" not in str(error.value)


def test_check_config_takes_the_project_s_file(tmp_path: Path) -> None:
    from lapishaven.lab import site
    from lapishaven.lab.interpreter import Box as SiteBox

    path = tmp_path / "c.json"
    at = [("127.0.0.1", port) for port in (1, 2, 3)]
    path.write_text(site.configuration("n1", *at, 1, SiteBox(), 3, 3, False))
    words = ["check-config", "--config", str(path), "--pools"]
    result = CliRunner().invoke(app, [*words, str(ROOT / "deploy/pools.toml")])
    assert result.exit_code == 0 and "pool commits: 35%" in result.output and "reserve: 15%" in result.output
    (tmp_path / "p.toml").write_text("[[pool]]\nname = 'a'\n")
    result = CliRunner().invoke(app, [*words, str(tmp_path / "p.toml")])
    assert result.exit_code == 2 and "classes is missing" in result.output
    assert "--pools" not in (ROOT / "deploy/balancer.toml").read_text()  # off on the platform


# Hard scenarios on the emulator: the real Broker, Controller and client policy
def emulate(**changes: Any) -> dict[str, Any]:
    base: dict[str, Any] = {"servers": 4, "clients": 3, "seconds": 9.0, "load": 0.6, "seed": 5, "pools": "on"}
    return main(EmulatorSpec(**{**base, **changes}))


@pytest.mark.parametrize(
    "day",
    [
        {"script": "2 slow n2 x0.1 for 8"},
        {"script": "2 surge x1.5 for 6", "boxes": "old", "load": 0.75},
        {"script": "1 kill n1 back 1\n3 surge x1.5 for 5"},  # a surge on a cold box
        {"script": "1 drain n1\n1 surge x1.5 for 5"},
        {"doubled_at": 2.0},
        {"only": "fuzzy-match", "load": 1.1},
        {"only": "glossary-look-up", "load": 1.1},  # the reserve flooded by those who ask for nothing else
        {"read_part": 0.2, "load": 0.8},
    ],
    ids=lambda day: next(iter(day)),
)
def test_hard_scenarios_break_no_rule_and_starve_no_pool(day: dict[str, Any]) -> None:
    found = emulate(**day)
    assert found["falls"] == found["commits_twice"] == found["late_answers"] == 0
    assert found["worst_concurrency"] < 6.0 and found["worst_memory"] < 1.0
    if "only" not in day:
        light, commits = found["classes"]["glossary-look-up"], found["classes"]["approve-commit"]
        assert light["served"] >= 0.99 and light["longest_s"] <= 0.6
        assert commits["on_time"] >= 0.9


def test_the_same_seed_gives_the_same_run() -> None:
    first, second = (emulate(seconds=5.0, script="1 slow n2 x0.1 for 3") for _ in range(2))
    for each in (first, second):
        del each["wall_s"], each["events_per_s"]
    assert first == second
