"""The four rules, one group each, and a property test over random legal event streams."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import pytest
from helpers import BASE, CALLING, KEYED, MUST_CALL, arrival, ids, of, poll, saturate, settings, started
from hypothesis import Phase, given
from hypothesis import settings as profile
from hypothesis import strategies as st

from lapishaven.admission import (
    Action,
    AwaitOriginal,
    CallDependency,
    CancelRun,
    Controller,
    DependencyCallFinished,
    DependencyCallNeeded,
    DrainRequested,
    Event,
    Fail,
    Idempotency,
    Outcome,
    PublishLoad,
    Reject,
    ReleaseKey,
    RequestArrived,
    RequestCancelled,
    ReserveKey,
    RunFinished,
    SetHealth,
    SkipDependency,
    StartRun,
)
from lapishaven.admission.request import RequestState


# ---- No request is lost
def test_held_work_is_answered_before_it_is_due() -> None:
    c = started()
    saturate(c, held=0)
    c.handle(1.0, [arrival(n, rank=0.999) for n in range(1, 40)])
    now, answered = 1.0, set[int]()
    while now < 12.0:
        now += 0.1
        actions = c.handle(now, [poll(1.0, 4.0)])
        answered |= set(ids(actions, Reject, Fail))
        if now < 8.0:
            continue
        if now > 9.0:
            break
    assert answered == set(range(1, 40))


def test_running_work_fails_at_its_due_time() -> None:
    c = started()
    c.handle(0.0, [arrival(1, class_index=1)])
    assert 1 in ids(c.handle(2.9, [poll()]), Fail)


def test_a_due_time_that_comes_with_the_request_is_kept() -> None:
    c = started()
    c.handle(0.0, [arrival(1, deadline=1.0)])
    assert ids(c.handle(0.95, [poll()]), Fail) == [1]


def test_a_request_read_with_no_time_left_is_answered_at_once() -> None:
    c = started()
    assert ids(c.handle(5.0, [arrival(1, deadline=4.0)]), Reject) == [1]


def test_an_attached_repeat_is_watched_too() -> None:
    c = started()
    c.handle(0.0, [arrival(1, class_index=1)])
    assert ids(c.handle(0.1, [arrival(2, class_index=1, duplicate_of=1)]), AwaitOriginal) == [2]
    assert ids(c.handle(2.98, [poll()]), Fail) == [1, 2]


def test_no_answer_after_word_that_the_caller_has_gone() -> None:
    c = started()
    c.handle(0.0, [arrival(1, class_index=1)])
    c.handle(0.1, [RequestCancelled(1)])
    assert ids(c.handle(2.95, [poll()]), Fail, Reject) == []


# ---- No effect happens twice
def test_a_keyed_run_has_an_entry_before_it_to_the_end_of_its_window() -> None:
    c = started()
    actions = c.handle(1.0, [arrival(1, class_index=1, age=0.5)])
    assert [type(a) for a in actions] == [ReserveKey, StartRun]
    assert 7.5 <= of(actions, ReserveKey)[0].ttl <= 7.7


def test_no_room_for_the_entry_means_no_run() -> None:
    c = started(memory_kb=1000.0, key_entry_kb=950.0)
    actions = c.handle(0.0, [arrival(1, class_index=1)])
    assert ids(actions, Reject) == [1] and not of(actions, StartRun, ReserveKey)


def test_a_repeat_attaches_while_its_forerunner_is_held_running_or_over() -> None:
    c = started()
    assert ids(
        c.handle(0.0, [arrival(1, class_index=1), arrival(2, class_index=1, duplicate_of=1)]), AwaitOriginal
    ) == [2]
    c.handle(0.5, [RunFinished(1, 0.5, Outcome.OK), RunFinished(2, 0.5, Outcome.OK)])
    late = c.handle(8.5, [arrival(3, class_index=1, duplicate_of=1)])
    assert ids(late, AwaitOriginal) == [3] and not of(late, StartRun, Reject)


def test_a_repeat_is_never_refused_under_load() -> None:
    c = started()
    c.handle(0.0, [arrival(1, class_index=1)])
    now = saturate(c, 0.1, held=200)
    actions = c.handle(now, [arrival(2, class_index=1, duplicate_of=1, rank=0.01)])
    assert ids(actions, AwaitOriginal) == [2] and 2 not in ids(actions, Reject)


def test_a_refused_keyed_request_gives_its_entry_back() -> None:
    c = started()
    saturate(c, held=200)
    c.rules.table.queued.clear()
    free = c.rules.memory.used_kb
    c.handle(1.1, [arrival(1, class_index=1, rank=0.999)])
    if 1 in c.rules.table.queued:
        c.handle(1.2, [])
        actions = c.handle(3.0, [])
        assert ids(actions, ReleaseKey) == [1] and ids(actions, Reject) == [1]
    assert c.rules.memory.used_kb == pytest.approx(free)


def test_keyed_work_that_ran_fails_when_stopped() -> None:
    c = started(cancellation="abort")
    c.handle(0.0, [arrival(1, class_index=1)])
    actions = c.handle(0.2, [RunFinished(1, 0.2, Outcome.CANCELLED)])
    assert ids(actions, Fail) == [1] and not of(actions, StartRun, Reject)


@pytest.mark.parametrize(
    ("outcome", "again"),
    [
        (Outcome.OVERLOADED, True),
        (Outcome.UNREACHABLE, True),
        (Outcome.TIMEOUT, False),
        (Outcome.RESET, False),
    ],
)
def test_a_call_is_repeated_only_after_proof_that_it_never_ran(outcome: Outcome, again: bool) -> None:
    c = started()
    c.handle(0.0, [arrival(1, class_index=3)])
    assert ids(c.handle(0.1, [DependencyCallNeeded(1)]), CallDependency) == [1]
    actions = c.handle(0.2, [DependencyCallFinished(1, outcome, 0.1)])
    assert bool(of(actions, CallDependency)) == again
    assert bool(of(actions, Fail)) == (not again)


def test_a_repeat_whose_forerunner_failed_or_expired_is_attached_not_run() -> None:
    c = started()
    c.handle(0.0, [arrival(1, class_index=1), arrival(2, class_index=1)])
    c.handle(0.2, [RunFinished(1, 0.2, Outcome.ERROR), RequestCancelled(2)])
    actions = c.handle(0.3, [arrival(3, class_index=1, duplicate_of=1), arrival(4, class_index=1, duplicate_of=2)])
    assert ids(actions, AwaitOriginal) == [3, 4] and not of(actions, StartRun, Reject)


def test_a_repeat_of_a_forerunner_refused_in_its_batch_is_answered_once() -> None:
    c = started(memory_kb=1000.0, key_entry_kb=950.0)
    actions = c.handle(0.0, [arrival(1, class_index=1), arrival(2, class_index=1, duplicate_of=1)])
    assert ids(actions, Reject) == [1] and ids(actions, AwaitOriginal) == [2]
    c.handle(0.1, [RunFinished(2, 0.0, Outcome.ERROR)])
    assert not c.rules.table.requests and not ids(c.handle(3.0, [poll()]), Fail, Reject)


def test_a_repeat_of_a_run_whose_entry_ran_out_is_still_not_run() -> None:
    c = started()
    c.handle(0.0, [arrival(1, class_index=1)])
    c.handle(0.2, [RunFinished(1, 0.2, Outcome.OK)])
    free = c.rules.memory.used_kb
    c.handle(9.0, [poll()])
    assert c.rules.memory.used_kb == pytest.approx(free - c.rules.settings.key_entry_kb)
    actions = c.handle(9.1, [arrival(2, class_index=1, duplicate_of=1, age=1.2)])
    assert ids(actions, AwaitOriginal) == [2] and not of(actions, StartRun, Reject)


def test_a_gone_forerunner_that_never_ran_gives_its_entry_back() -> None:
    c = started()
    c.handle(0.0, [arrival(n, rank=0.999) for n in range(10, 20)])
    c.rules.concurrency.limit = 1.0
    c.handle(0.1, [arrival(1, class_index=1)])
    assert 1 in c.rules.table.queued
    assert ids(c.handle(0.2, [RequestCancelled(1)]), ReleaseKey) == [1]


def test_paused_work_that_was_answered_keeps_its_memory_until_it_is_over() -> None:
    c = started(cancellation="pause")
    c.handle(0.0, [arrival(1)])
    running = c.rules.memory.used_kb
    actions = c.handle(7.9, [poll()])
    assert ids(actions, Fail) == [1] and ids(actions, CancelRun) == [1] and c.rules.memory.used_kb == running
    c.handle(8.0, [RunFinished(1, 8.0, Outcome.CANCELLED)])
    assert c.rules.memory.used_kb == 0.0 and not c.rules.table.requests


# ---- Drains are safe
def test_nothing_late_is_run_and_all_is_answered_before_the_kill() -> None:
    c = started()
    c.handle(0.0, [arrival(1)])
    assert of(c.handle(1.0, [DrainRequested(6.0)]), SetHealth) == [SetHealth(False)]
    early = c.handle(2.5, [arrival(2)])
    assert ids(early, StartRun) == [2]
    late = c.handle(3.1, [arrival(3, age=0.05)])
    assert ids(late, Reject) == [3] and not of(late, StartRun)
    assert set(ids(c.handle(5.8, [poll()]), Fail)) == {1, 2}


def test_a_repeat_that_arrives_during_the_drain_is_answered_before_the_kill() -> None:
    c = started()
    c.handle(0.0, [arrival(1, class_index=1)])
    c.handle(1.0, [DrainRequested(3.0)])
    assert ids(c.handle(1.5, [arrival(2, class_index=1, duplicate_of=1)]), AwaitOriginal) == [2]
    assert set(ids(c.handle(2.85, [poll()]), Fail)) == {1, 2}


def test_drain_tells_callers_to_stay_away() -> None:
    assert started().handle(1.0, [DrainRequested(6.0)])[-1] == PublishLoad(1.0)
    assert started(load_signal="window").handle(1.0, [arrival(1), DrainRequested(6.0)])[-1] != PublishLoad(1.0)


# ---- Nothing falls over
def test_runs_stay_under_the_crowd_even_when_cold() -> None:
    for cold, most in ((False, 20.0), (True, 4 * (1 + 4 * 0.2))):
        c = started(slow_start=cold)
        running = 0
        c.handle(0.0, [arrival(n, rank=0.999) for n in range(60)])
        for n in range(1, 8):
            c.handle(0.1 * n, [poll(0.2, 1.0)])
            running = c.rules.table.counts[RequestState.RUNNING]
            assert running <= most
        assert running >= 4


def test_memory_is_checked_before_each_run_and_each_hold() -> None:
    c = started(memory_kb=2000.0)
    actions = c.handle(0.0, [arrival(n, memory_kb=30.0) for n in range(1, 100)])
    running = len(ids(actions, StartRun))
    left = 99 - running - len(ids(actions, Reject))
    assert running * 480 + left * 30 <= 2000


def test_calls_stay_under_the_fair_share_with_those_given_up() -> None:
    c = started(dependency_quota=2.5, cores=8)
    c.handle(0.0, [arrival(n, class_index=2) for n in range(1, 9)])
    assert len(ids(c.handle(0.1, [DependencyCallNeeded(n) for n in range(1, 9)]), CallDependency)) == 2
    # Both are given up; they linger, so no call goes out in their place.
    ended = [DependencyCallFinished(1, Outcome.TIMEOUT, 1.0), DependencyCallFinished(2, Outcome.TIMEOUT, 1.0)]
    assert not of(c.handle(0.6, ended), CallDependency)
    assert of(c.handle(0.85, [poll()]), CallDependency)


# ---- All of them, over random legal streams
class Books:
    """Plays the machine below the controller and checks each action against the rules."""

    def __init__(self, seed: int, **changes: object) -> None:
        self.rng = random.Random(seed)
        self.c = Controller(settings(**changes), seed)
        self.s = self.c.rules.settings
        self.now = 0.0
        self.info: dict[int, RequestArrived] = {}
        self.arrived: dict[int, float] = {}
        self.owed: dict[int, float] = {}
        self.held: set[int] = set()
        self.running: set[int] = set()
        self.standing: set[int] = set()
        self.calling: set[int] = set()
        self.attached: dict[int, int] = {}
        self.kept: dict[int, float] = {}
        self.ran: dict[int, int] = {}
        self.identity: dict[int, int] = {}
        self.maybe_called: set[int] = set()
        self.just_cancelled: set[int] = set()  # in the batch that is being decided: an answer to it crosses that
        self.next = 1
        self.drain: float | None = None
        self.kill = 0.0

    def feed(self, events: list[Event]) -> None:
        self.just_cancelled = {event.request_id for event in events if isinstance(event, RequestCancelled)}
        for action in self.c.handle(self.now, events):
            self.act(action)
        size = sum(self.info[n].memory_kb for n in self.held | set(self.attached))
        size += (
            sum(self.info[n].memory_kb for n in self.running | self.standing | self.calling)
            * self.s.running_memory_factor
        )
        size += sum(1 for end in self.kept.values() if end > self.now) * self.s.key_entry_kb
        assert size <= self.s.memory_kb
        assert len(self.running) <= self.s.cores * self.s.collapse_concurrency
        assert all(due + self.s.response_slack > self.now for due in self.owed.values())

    def answer(self, n: int) -> None:
        if n in self.just_cancelled:
            self.just_cancelled.discard(n)
            return
        assert n in self.owed, f"second answer to {n}"
        del self.owed[n]

    def act(self, a: Action) -> None:
        if isinstance(a, StartRun):
            spec = self.s.classes[self.info[a.request_id].class_index]
            assert a.request_id in self.held
            if self.drain is not None:
                assert self.arrived[a.request_id] <= self.drain + self.s.drain_grace
            if spec.idempotency is Idempotency.WITH_KEY:
                assert self.kept.get(a.request_id, 0.0) >= self.arrived[a.request_id] + (spec.idempotency_window or 0.0)
                key = self.identity[a.request_id]
                assert key not in self.ran, "run twice"
                self.ran[key] = a.request_id
            self.held.discard(a.request_id)
            self.running.add(a.request_id)
        elif isinstance(a, Reject | Fail):
            if isinstance(a, Reject):
                assert a.request_id in self.held
                keyed = self.s.classes[self.info[a.request_id].class_index].idempotency is Idempotency.WITH_KEY
                assert not (keyed and self.identity[a.request_id] in self.ran)
            self.answer(a.request_id)
            self.held.discard(a.request_id)
            self.attached.pop(a.request_id, None)
        elif isinstance(a, ReserveKey):
            self.kept[a.request_id] = self.now + a.ttl
        elif isinstance(a, ReleaseKey):
            self.kept.pop(a.request_id, None)
        elif isinstance(a, AwaitOriginal):
            assert a.request_id in self.held
            self.held.discard(a.request_id)
            self.attached[a.request_id] = self.info[a.request_id].duplicate_of or 0
        elif isinstance(a, CallDependency):
            assert a.request_id in self.standing and a.request_id not in self.maybe_called
            self.standing.discard(a.request_id)
            self.calling.add(a.request_id)
        elif isinstance(a, SkipDependency):
            assert self.s.classes[self.info[a.request_id].class_index].degraded_weight > 0
            self.standing.discard(a.request_id)
            self.running.add(a.request_id)

    def end(self, n: int, outcome: Outcome) -> Event:
        for group in (self.running, self.standing, self.calling):
            group.discard(n)
        if n in self.owed:
            self.answer(n)
        return RunFinished(n, 0.3, outcome)

    def step(self) -> None:
        rng, events = self.rng, list[Event]()
        self.now += rng.choice((0.01, 0.05, 0.1))
        fresh = self.next
        for _ in range(rng.choice((0, 1, 1, 3, 12))):
            n, self.next = self.next, self.next + 1
            cls, age = rng.randrange(4), rng.random() * 0.1
            keyed = self.s.classes[cls].idempotency is Idempotency.WITH_KEY
            live = [k for k, end in self.kept.items() if end > self.now and self.info[k].class_index == cls]
            repeats = rng.choice(live) if keyed and live and rng.random() < 0.3 else None
            event = arrival(n, cls, age=age, rank=rng.random(), duplicate_of=repeats, memory_kb=rng.uniform(10, 60))
            self.info[n], self.arrived[n] = event, self.now - age
            self.owed[n] = self.now - age + self.s.classes[cls].deadline
            self.identity[n] = self.identity[repeats] if repeats else n
            self.held.add(n)
            events.append(event)
        for n in sorted(self.running):
            roll = rng.random()
            spec = self.s.classes[self.info[n].class_index]
            if spec.calls_dependency and roll < 0.1 and n in self.owed:
                self.running.discard(n)
                self.standing.add(n)
                self.maybe_called.discard(n)
                events.append(DependencyCallNeeded(n))
            elif roll < 0.15:
                events.append(self.end(n, rng.choice((Outcome.OK, Outcome.OK, Outcome.ERROR))))
        for n in sorted(self.calling):
            if n not in self.owed:
                events.append(self.end(n, Outcome.CANCELLED))
            elif rng.random() < 0.2:
                outcome = rng.choice(list(Outcome)[:6])
                self.calling.discard(n)
                (self.running if outcome is Outcome.OK else self.standing).add(n)
                if outcome not in (Outcome.OK, Outcome.OVERLOADED, Outcome.UNREACHABLE):
                    self.maybe_called.add(n)
                events.append(DependencyCallFinished(n, outcome, 0.2))
        for n in sorted(self.standing):
            if n not in self.owed:
                events.append(self.end(n, Outcome.CANCELLED))
        for n in [n for n, first in self.attached.items() if first not in self.owed]:
            del self.attached[n]
            self.answer(n)
            events.append(RunFinished(n, 0.1, Outcome.OK))
        for n in sorted(n for n in self.owed if n < fresh):
            if rng.random() < 0.002:
                del self.owed[n]
                self.held.discard(n)
                self.attached.pop(n, None)
                events.append(RequestCancelled(n))
        if rng.random() < 0.6:
            events.append(poll(rng.choice((0.3, 0.95, 1.0)), rng.choice((1.0, 5.0, 9.0))))
        self.feed(events)


@profile(derandomize=True, max_examples=40, deadline=None, phases=(Phase.explicit, Phase.generate))
@given(st.integers(0, 10_000), st.booleans(), st.sampled_from([None, "abort", "pause"]), st.booleans())
def test_the_rules_hold_over_random_streams(seed: int, cold: bool, halt: str | None, tight: bool) -> None:
    books = Books(seed, slow_start=cold, memory_kb=9_000.0 if tight else 100_000.0, cancellation=halt)
    for n in range(200):
        books.step()
        if n == 150:
            books.drain, books.kill = books.now, books.now + 5.0
            books.feed([DrainRequested(books.kill)])
    while books.now < books.kill - 0.1:
        books.now += 0.1
        books.feed([poll()])
    assert not books.owed


def test_the_same_events_and_seed_give_the_same_actions() -> None:
    def play() -> list[Action]:
        c, out = Controller(BASE, 7), list[Action]()
        for n in range(200):
            out += c.handle(n * 0.05, [arrival(n, class_index=n % 2, rank=0.0), poll(1.0, 9.0)])
        return out

    assert play() == play()


def test_impossible_settings_are_refused() -> None:
    for changes in ({"cores": 0}, {"classes": ()}, {"memory_kb": 0.0}):
        with pytest.raises(ValueError, match="at least one core"):
            Controller(settings(**changes), 1)


def test_late_news_of_unknown_requests_is_ignored() -> None:
    c = started()
    news: list[Event] = [RequestCancelled(9), DependencyCallNeeded(9), DependencyCallFinished(9, Outcome.OK, 0.1)]
    assert c.handle(0.1, [*news, RunFinished(9, 0.1, Outcome.OK)]) == []


assert KEYED.idempotency_window and CALLING.degraded_weight and not MUST_CALL.degraded_weight


def test_entries_leave_the_books_in_order_of_their_end_whatever_the_order_of_arrival() -> None:
    brief = replace(KEYED, idempotency_window=2.0)
    c = started(classes=(KEYED, brief), key_entry_kb=100.0)
    c.handle(0.1, [arrival(1, 0, memory_kb=0.0), arrival(2, 1, memory_kb=0.0)])
    c.handle(0.5, [RunFinished(1, 0.4, Outcome.OK), RunFinished(2, 0.4, Outcome.OK)])
    assert c.rules.memory.used_kb == 200.0
    c.handle(4.0, [poll()])
    assert c.rules.memory.used_kb == 100.0 and list(c.rules.reservations.reserved_kb) == [1]
    c.handle(12.0, [poll()])
    assert c.rules.memory.used_kb == 0.0


@pytest.mark.parametrize(
    "extreme",
    [
        {"cores": 1},
        {"tenants": ()},
        {"caller_count": 0},
        {"peer_count": 1},
        {"peer_count": 0},
        {"dependency_quota": 0.2},
        {"idle_timeout": None},
        {"load_signal": "window", "caller_count": 0},
        {"cancellation": "pause"},
        {"slow_start": True, "slow_start_span": 0.0},
    ],
)
def test_settings_at_their_extremes_work(extreme: dict[str, Any]) -> None:
    c = started(**extreme)
    now, answered = 0.0, set[int]()
    for n in range(120):
        now = 0.1 + 0.1 * n
        events: list[Event] = [arrival(n, n % 3, caller_id=n % 7), poll(1.0, 6.0)]
        out = c.handle(now, events)
        answered |= set(ids(out, Reject, Fail))
    for _ in range(120):
        now += 0.1
        answered |= set(ids(c.handle(now, [poll(1.0, 6.0)]), Reject, Fail))
    assert answered == set(range(120))  # no run ends here, so each is refused or failed by its due time


# Guards against refusing for entries that nobody holds: a class without keys has none, so a thousand of its
# requests in a window book no more than those that run.
def test_a_class_without_keys_books_no_entries() -> None:
    unsafe = replace(KEYED, idempotency=Idempotency.NOT_IDEMPOTENT)
    c = started(classes=(unsafe,), memory_kb=2000.0, key_entry_kb=950.0)
    for id in range(1, 1001):
        assert ids(c.handle(id / 250, [arrival(id)]), StartRun) == [id]
        c.handle(id / 250, [RunFinished(id, 0.01, Outcome.OK)])
    assert c.rules.memory.used_kb == 0.0


# Guards against a hold full of what can never run: it would have the memory that others are refused for.
def test_what_never_fits_is_refused_at_read() -> None:
    c = started(memory_kb=10_000.0)
    assert ids(c.handle(0.0, [arrival(1, memory_kb=600.0)]), Reject) == [1]
    assert ids(c.handle(0.0, [arrival(2, memory_kb=500.0)]), StartRun) == [2]
