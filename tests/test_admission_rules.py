"""The four invariants of the wire page, one group each, and a property test over random legal event streams."""

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


# No request is lost
def test_queued_requests_are_answered_before_their_deadline() -> None:
    controller = started()
    saturate(controller, held=0)
    controller.handle(1.0, [arrival(n, rank=0.999) for n in range(1, 40)])
    now, answered = 1.0, set[int]()
    while now < 12.0:
        now += 0.1
        actions = controller.handle(now, [poll(1.0, 4.0)])
        answered |= set(ids(actions, Reject, Fail))
        if now < 8.0:
            continue
        if now > 9.0:
            break
    assert answered == set(range(1, 40))


def test_running_requests_fail_at_their_deadline() -> None:
    controller = started()
    controller.handle(0.0, [arrival(1, class_index=1)])
    assert 1 in ids(controller.handle(2.9, [poll()]), Fail)


def test_a_deadline_that_comes_with_the_request_is_kept() -> None:
    controller = started()
    controller.handle(0.0, [arrival(1, deadline=1.0)])
    assert ids(controller.handle(0.95, [poll()]), Fail) == [1]


def test_a_request_read_with_no_time_left_is_answered_at_once() -> None:
    controller = started()
    assert ids(controller.handle(5.0, [arrival(1, deadline=4.0)]), Reject) == [1]


def test_a_duplicate_is_answered_by_its_deadline_too() -> None:
    controller = started()
    controller.handle(0.0, [arrival(1, class_index=1)])
    assert ids(controller.handle(0.1, [arrival(2, class_index=1, duplicate_of=1)]), AwaitOriginal) == [2]
    assert ids(controller.handle(2.98, [poll()]), Fail) == [1, 2]


def test_no_answer_after_the_caller_has_cancelled() -> None:
    controller = started()
    controller.handle(0.0, [arrival(1, class_index=1)])
    controller.handle(0.1, [RequestCancelled(1)])
    assert ids(controller.handle(2.95, [poll()]), Fail, Reject) == []


# No effect happens twice
def test_a_key_is_reserved_before_the_run_until_the_end_of_its_window() -> None:
    controller = started()
    actions = controller.handle(1.0, [arrival(1, class_index=1, age=0.5)])
    assert [type(a) for a in actions] == [ReserveKey, StartRun]
    assert 7.5 <= of(actions, ReserveKey)[0].ttl <= 7.7


def test_no_memory_for_the_reservation_means_no_run() -> None:
    controller = started(memory_kb=1000.0, key_entry_kb=950.0)
    actions = controller.handle(0.0, [arrival(1, class_index=1)])
    assert ids(actions, Reject) == [1] and not of(actions, StartRun, ReserveKey)


def test_a_duplicate_awaits_an_original_that_is_queued_running_or_finished() -> None:
    controller = started()
    assert ids(
        controller.handle(0.0, [arrival(1, class_index=1), arrival(2, class_index=1, duplicate_of=1)]), AwaitOriginal
    ) == [2]
    controller.handle(0.5, [RunFinished(1, 0.5, Outcome.OK), RunFinished(2, 0.5, Outcome.OK)])
    late = controller.handle(8.5, [arrival(3, class_index=1, duplicate_of=1)])
    assert ids(late, AwaitOriginal) == [3] and not of(late, StartRun, Reject)


def test_a_duplicate_is_never_rejected_under_load() -> None:
    controller = started()
    controller.handle(0.0, [arrival(1, class_index=1)])
    now = saturate(controller, 0.1, held=200)
    actions = controller.handle(now, [arrival(2, class_index=1, duplicate_of=1, rank=0.01)])
    assert ids(actions, AwaitOriginal) == [2] and 2 not in ids(actions, Reject)


def test_a_rejected_request_releases_its_key() -> None:
    controller = started()
    saturate(controller, held=200)
    controller.rules.table.queued.clear()
    free = controller.rules.memory.used_kb
    controller.handle(1.1, [arrival(1, class_index=1, rank=0.999)])
    if 1 in controller.rules.table.queued:
        controller.handle(1.2, [])
        actions = controller.handle(3.0, [])
        assert ids(actions, ReleaseKey) == [1] and ids(actions, Reject) == [1]
    assert controller.rules.memory.used_kb == pytest.approx(free)


def test_a_request_with_key_that_ran_fails_when_cancelled() -> None:
    controller = started(cancellation="abort")
    controller.handle(0.0, [arrival(1, class_index=1)])
    actions = controller.handle(0.2, [RunFinished(1, 0.2, Outcome.CANCELLED)])
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
def test_a_dependency_call_is_retried_only_if_it_was_never_executed(outcome: Outcome, again: bool) -> None:
    controller = started()
    controller.handle(0.0, [arrival(1, class_index=3)])
    assert ids(controller.handle(0.1, [DependencyCallNeeded(1)]), CallDependency) == [1]
    actions = controller.handle(0.2, [DependencyCallFinished(1, outcome, 0.1)])
    assert bool(of(actions, CallDependency)) == again
    assert bool(of(actions, Fail)) == (not again)


def test_a_duplicate_of_a_failed_or_cancelled_original_is_not_run() -> None:
    controller = started()
    controller.handle(0.0, [arrival(1, class_index=1), arrival(2, class_index=1)])
    controller.handle(0.2, [RunFinished(1, 0.2, Outcome.ERROR), RequestCancelled(2)])
    actions = controller.handle(
        0.3, [arrival(3, class_index=1, duplicate_of=1), arrival(4, class_index=1, duplicate_of=2)]
    )
    assert ids(actions, AwaitOriginal) == [3, 4] and not of(actions, StartRun, Reject)


def test_a_duplicate_of_an_original_rejected_in_the_same_batch_is_answered_once() -> None:
    controller = started(memory_kb=1000.0, key_entry_kb=950.0)
    actions = controller.handle(0.0, [arrival(1, class_index=1), arrival(2, class_index=1, duplicate_of=1)])
    assert ids(actions, Reject) == [1] and ids(actions, AwaitOriginal) == [2]
    controller.handle(0.1, [RunFinished(2, 0.0, Outcome.ERROR)])
    assert not controller.rules.table.requests and not ids(controller.handle(3.0, [poll()]), Fail, Reject)


def test_a_duplicate_of_an_original_whose_key_has_expired_is_not_run() -> None:
    controller = started()
    controller.handle(0.0, [arrival(1, class_index=1)])
    controller.handle(0.2, [RunFinished(1, 0.2, Outcome.OK)])
    free = controller.rules.memory.used_kb
    controller.handle(9.0, [poll()])
    assert controller.rules.memory.used_kb == pytest.approx(free - controller.rules.settings.key_entry_kb)
    actions = controller.handle(9.1, [arrival(2, class_index=1, duplicate_of=1, age=1.2)])
    assert ids(actions, AwaitOriginal) == [2] and not of(actions, StartRun, Reject)


def test_a_cancelled_request_that_never_ran_releases_its_key() -> None:
    controller = started()
    controller.handle(0.0, [arrival(n, rank=0.999) for n in range(10, 20)])
    controller.rules.concurrency.limit = 1.0
    controller.handle(0.1, [arrival(1, class_index=1)])
    assert 1 in controller.rules.table.queued
    assert ids(controller.handle(0.2, [RequestCancelled(1)]), ReleaseKey) == [1]


def test_a_run_that_was_answered_keeps_its_memory_until_it_has_ended() -> None:
    controller = started(cancellation="pause")
    controller.handle(0.0, [arrival(1)])
    running = controller.rules.memory.used_kb
    actions = controller.handle(7.9, [poll()])
    assert ids(actions, Fail) == [1] and ids(actions, CancelRun) == [1] and controller.rules.memory.used_kb == running
    controller.handle(8.0, [RunFinished(1, 8.0, Outcome.CANCELLED)])
    assert controller.rules.memory.used_kb == 0.0 and not controller.rules.table.requests


# A drain is safe
def test_nothing_late_is_run_while_draining_and_all_is_answered_before_the_kill() -> None:
    controller = started()
    controller.handle(0.0, [arrival(1)])
    assert of(controller.handle(1.0, [DrainRequested(6.0)]), SetHealth) == [SetHealth(False)]
    early = controller.handle(2.5, [arrival(2)])
    assert ids(early, StartRun) == [2]
    late = controller.handle(3.1, [arrival(3, age=0.05)])
    assert ids(late, Reject) == [3] and not of(late, StartRun)
    assert set(ids(controller.handle(5.8, [poll()]), Fail)) == {1, 2}


def test_a_duplicate_that_arrives_during_the_drain_is_answered_before_the_kill() -> None:
    controller = started()
    controller.handle(0.0, [arrival(1, class_index=1)])
    controller.handle(1.0, [DrainRequested(3.0)])
    assert ids(controller.handle(1.5, [arrival(2, class_index=1, duplicate_of=1)]), AwaitOriginal) == [2]
    assert set(ids(controller.handle(2.85, [poll()]), Fail)) == {1, 2}


def test_a_drain_publishes_that_nothing_is_to_be_sent() -> None:
    assert started().handle(1.0, [DrainRequested(6.0)])[-1] == PublishLoad(1.0)
    assert started(load_signal="window").handle(1.0, [arrival(1), DrainRequested(6.0)])[-1] != PublishLoad(1.0)


# Nothing collapses
def test_concurrency_stays_under_the_collapse_even_in_slow_start() -> None:
    for cold, most in ((False, 20.0), (True, 4 * (1 + 4 * 0.2))):
        controller = started(slow_start=cold)
        running = 0
        controller.handle(0.0, [arrival(n, rank=0.999) for n in range(60)])
        for n in range(1, 8):
            controller.handle(0.1 * n, [poll(0.2, 1.0)])
            running = controller.rules.table.counts[RequestState.RUNNING]
            assert running <= most
        assert running >= 4


def test_memory_is_checked_before_each_run_and_each_admission() -> None:
    controller = started(memory_kb=2000.0)
    actions = controller.handle(0.0, [arrival(n, memory_kb=30.0) for n in range(1, 100)])
    running = len(ids(actions, StartRun))
    left = 99 - running - len(ids(actions, Reject))
    assert running * 480 + left * 30 <= 2000


def test_dependency_calls_stay_within_the_quota_with_those_that_linger() -> None:
    controller = started(dependency_quota=2.5, cores=8)
    controller.handle(0.0, [arrival(n, class_index=2) for n in range(1, 9)])
    assert len(ids(controller.handle(0.1, [DependencyCallNeeded(n) for n in range(1, 9)]), CallDependency)) == 2
    # Both time out and linger, so no call is made in their place.
    ended = [DependencyCallFinished(1, Outcome.TIMEOUT, 1.0), DependencyCallFinished(2, Outcome.TIMEOUT, 1.0)]
    assert not of(controller.handle(0.6, ended), CallDependency)
    assert of(controller.handle(0.85, [poll()]), CallDependency)


# All of them, over random legal streams
class RuleChecker:
    """Plays the host of the controller and checks each action against the rules."""

    def __init__(self, seed: int, **changes: object) -> None:
        self.rng = random.Random(seed)
        self.controller = Controller(settings(**changes), seed)
        self.settings = self.controller.rules.settings
        self.now = 0.0
        self.arrivals: dict[int, RequestArrived] = {}
        self.arrived_at: dict[int, float] = {}
        self.unanswered: dict[int, float] = {}
        self.queued: set[int] = set()
        self.running: set[int] = set()
        self.awaiting_dependency: set[int] = set()
        self.calling: set[int] = set()
        self.awaiting_original: dict[int, int] = {}
        self.reserved_until: dict[int, float] = {}
        self.executed: dict[int, int] = {}
        self.identity: dict[int, int] = {}
        self.maybe_executed: set[int] = set()
        self.just_cancelled: set[int] = set()  # in this batch: an answer to it may cross the cancellation
        self.next_id = 1
        self.drain_started_at: float | None = None
        self.kill_at = 0.0

    def feed(self, events: list[Event]) -> None:
        self.just_cancelled = {event.request_id for event in events if isinstance(event, RequestCancelled)}
        for action in self.controller.handle(self.now, events):
            self.check(action)
        size = sum(self.arrivals[n].memory_kb for n in self.queued | set(self.awaiting_original))
        size += (
            sum(self.arrivals[n].memory_kb for n in self.running | self.awaiting_dependency | self.calling)
            * self.settings.running_memory_factor
        )
        size += sum(1 for end in self.reserved_until.values() if end > self.now) * self.settings.key_entry_kb
        assert size <= self.settings.memory_kb
        assert len(self.running) <= self.settings.cores * self.settings.collapse_concurrency
        assert all(due + self.settings.response_slack > self.now for due in self.unanswered.values())

    def note_answer(self, n: int) -> None:
        if n in self.just_cancelled:
            self.just_cancelled.discard(n)
            return
        assert n in self.unanswered, f"second answer to {n}"
        del self.unanswered[n]

    def check(self, a: Action) -> None:
        if isinstance(a, StartRun):
            spec = self.settings.classes[self.arrivals[a.request_id].class_index]
            assert a.request_id in self.queued
            if self.drain_started_at is not None:
                assert self.arrived_at[a.request_id] <= self.drain_started_at + self.settings.drain_grace
            if spec.idempotency is Idempotency.WITH_KEY:
                assert self.reserved_until.get(a.request_id, 0.0) >= self.arrived_at[a.request_id] + (
                    spec.idempotency_window or 0.0
                )
                key = self.identity[a.request_id]
                assert key not in self.executed, "run twice"
                self.executed[key] = a.request_id
            self.queued.discard(a.request_id)
            self.running.add(a.request_id)
        elif isinstance(a, Reject | Fail):
            if isinstance(a, Reject):
                assert a.request_id in self.queued
                keyed = (
                    self.settings.classes[self.arrivals[a.request_id].class_index].idempotency is Idempotency.WITH_KEY
                )
                assert not (keyed and self.identity[a.request_id] in self.executed)
            self.note_answer(a.request_id)
            self.queued.discard(a.request_id)
            self.awaiting_original.pop(a.request_id, None)
        elif isinstance(a, ReserveKey):
            self.reserved_until[a.request_id] = self.now + a.ttl
        elif isinstance(a, ReleaseKey):
            self.reserved_until.pop(a.request_id, None)
        elif isinstance(a, AwaitOriginal):
            assert a.request_id in self.queued
            self.queued.discard(a.request_id)
            self.awaiting_original[a.request_id] = self.arrivals[a.request_id].duplicate_of or 0
        elif isinstance(a, CallDependency):
            assert a.request_id in self.awaiting_dependency and a.request_id not in self.maybe_executed
            self.awaiting_dependency.discard(a.request_id)
            self.calling.add(a.request_id)
        elif isinstance(a, SkipDependency):
            assert self.settings.classes[self.arrivals[a.request_id].class_index].degraded_weight > 0
            self.awaiting_dependency.discard(a.request_id)
            self.running.add(a.request_id)

    def end(self, n: int, outcome: Outcome) -> Event:
        for group in (self.running, self.awaiting_dependency, self.calling):
            group.discard(n)
        if n in self.unanswered:
            self.note_answer(n)
        return RunFinished(n, 0.3, outcome)

    def step(self) -> None:
        rng, events = self.rng, list[Event]()
        self.now += rng.choice((0.01, 0.05, 0.1))
        fresh = self.next_id
        for _ in range(rng.choice((0, 1, 1, 3, 12))):
            n, self.next_id = self.next_id, self.next_id + 1
            cls, age = rng.randrange(4), rng.random() * 0.1
            keyed = self.settings.classes[cls].idempotency is Idempotency.WITH_KEY
            live = [
                k for k, end in self.reserved_until.items() if end > self.now and self.arrivals[k].class_index == cls
            ]
            repeats = rng.choice(live) if keyed and live and rng.random() < 0.3 else None
            event = arrival(n, cls, age=age, rank=rng.random(), duplicate_of=repeats, memory_kb=rng.uniform(10, 60))
            self.arrivals[n], self.arrived_at[n] = event, self.now - age
            self.unanswered[n] = self.now - age + self.settings.classes[cls].deadline
            self.identity[n] = self.identity[repeats] if repeats else n
            self.queued.add(n)
            events.append(event)
        for n in sorted(self.running):
            roll = rng.random()
            spec = self.settings.classes[self.arrivals[n].class_index]
            if spec.calls_dependency and roll < 0.1 and n in self.unanswered:
                self.running.discard(n)
                self.awaiting_dependency.add(n)
                self.maybe_executed.discard(n)
                events.append(DependencyCallNeeded(n))
            elif roll < 0.15:
                events.append(self.end(n, rng.choice((Outcome.OK, Outcome.OK, Outcome.ERROR))))
        for n in sorted(self.calling):
            if n not in self.unanswered:
                events.append(self.end(n, Outcome.CANCELLED))
            elif rng.random() < 0.2:
                outcome = rng.choice(list(Outcome)[:6])
                self.calling.discard(n)
                (self.running if outcome is Outcome.OK else self.awaiting_dependency).add(n)
                if outcome not in (Outcome.OK, Outcome.OVERLOADED, Outcome.UNREACHABLE):
                    self.maybe_executed.add(n)
                events.append(DependencyCallFinished(n, outcome, 0.2))
        for n in sorted(self.awaiting_dependency):
            if n not in self.unanswered:
                events.append(self.end(n, Outcome.CANCELLED))
        for n in [n for n, first in self.awaiting_original.items() if first not in self.unanswered]:
            del self.awaiting_original[n]
            self.note_answer(n)
            events.append(RunFinished(n, 0.1, Outcome.OK))
        for n in sorted(n for n in self.unanswered if n < fresh):
            if rng.random() < 0.002:
                del self.unanswered[n]
                self.queued.discard(n)
                self.awaiting_original.pop(n, None)
                events.append(RequestCancelled(n))
        if rng.random() < 0.6:
            events.append(poll(rng.choice((0.3, 0.95, 1.0)), rng.choice((1.0, 5.0, 9.0))))
        self.feed(events)


@profile(derandomize=True, max_examples=40, deadline=None, phases=(Phase.explicit, Phase.generate))
@given(st.integers(0, 10_000), st.booleans(), st.sampled_from([None, "abort", "pause"]), st.booleans())
def test_the_rules_hold_over_random_streams(seed: int, cold: bool, halt: str | None, tight: bool) -> None:
    checker = RuleChecker(seed, slow_start=cold, memory_kb=9_000.0 if tight else 100_000.0, cancellation=halt)
    for n in range(200):
        checker.step()
        if n == 150:
            checker.drain_started_at, checker.kill_at = checker.now, checker.now + 5.0
            checker.feed([DrainRequested(checker.kill_at)])
    while checker.now < checker.kill_at - 0.1:
        checker.now += 0.1
        checker.feed([poll()])
    assert not checker.unanswered


def test_the_same_events_and_seed_give_the_same_actions() -> None:
    def play() -> list[Action]:
        controller, out = Controller(BASE, 7), list[Action]()
        for n in range(200):
            out += controller.handle(n * 0.05, [arrival(n, class_index=n % 2, rank=0.0), poll(1.0, 9.0)])
        return out

    assert play() == play()


def test_impossible_settings_are_rejected() -> None:
    for changes in ({"cores": 0}, {"classes": ()}, {"memory_kb": 0.0}):
        with pytest.raises(ValueError, match="at least one core"):
            Controller(settings(**changes), 1)


def test_events_of_unknown_requests_are_ignored() -> None:
    controller = started()
    news: list[Event] = [RequestCancelled(9), DependencyCallNeeded(9), DependencyCallFinished(9, Outcome.OK, 0.1)]
    assert controller.handle(0.1, [*news, RunFinished(9, 0.1, Outcome.OK)]) == []


assert KEYED.idempotency_window and CALLING.degraded_weight and not MUST_CALL.degraded_weight


def test_reservations_expire_in_the_order_of_their_end_whatever_the_order_of_arrival() -> None:
    brief = replace(KEYED, idempotency_window=2.0)
    controller = started(classes=(KEYED, brief), key_entry_kb=100.0)
    controller.handle(0.1, [arrival(1, 0, memory_kb=0.0), arrival(2, 1, memory_kb=0.0)])
    controller.handle(0.5, [RunFinished(1, 0.4, Outcome.OK), RunFinished(2, 0.4, Outcome.OK)])
    assert controller.rules.memory.used_kb == 200.0
    controller.handle(4.0, [poll()])
    assert controller.rules.memory.used_kb == 100.0 and list(controller.rules.reservations.reserved_kb) == [1]
    controller.handle(12.0, [poll()])
    assert controller.rules.memory.used_kb == 0.0


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
    controller = started(**extreme)
    now, answered = 0.0, set[int]()
    for n in range(120):
        now = 0.1 + 0.1 * n
        events: list[Event] = [arrival(n, n % 3, caller_id=n % 7), poll(1.0, 6.0)]
        out = controller.handle(now, events)
        answered |= set(ids(out, Reject, Fail))
    for _ in range(120):
        now += 0.1
        answered |= set(ids(controller.handle(now, [poll(1.0, 6.0)]), Reject, Fail))
    assert answered == set(range(120))  # no run ends here, so each is rejected or fails by its deadline


# Guards against rejections for reservations that nobody made: a class without keys has none, so a thousand of its
# requests in a window book no more than those that run.
def test_a_class_without_keys_takes_no_memory_for_reservations() -> None:
    unsafe = replace(KEYED, idempotency=Idempotency.NOT_IDEMPOTENT)
    controller = started(classes=(unsafe,), memory_kb=2000.0, key_entry_kb=950.0)
    for id in range(1, 1001):
        assert ids(controller.handle(id / 250, [arrival(id)]), StartRun) == [id]
        controller.handle(id / 250, [RunFinished(id, 0.01, Outcome.OK)])
    assert controller.rules.memory.used_kb == 0.0


# Guards against a queue full of requests that can never run, for whose memory others would be rejected.
def test_a_request_that_never_fits_is_rejected_on_arrival() -> None:
    controller = started(memory_kb=10_000.0)
    assert ids(controller.handle(0.0, [arrival(1, memory_kb=600.0)]), Reject) == [1]
    assert ids(controller.handle(0.0, [arrival(2, memory_kb=500.0)]), StartRun) == [2]
