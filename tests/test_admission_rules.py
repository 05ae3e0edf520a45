"""The four invariants of the wire protocol, and a property test of all of them with random valid event streams."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import pytest
from helpers import (
    BASE,
    CALLING,
    KEYED,
    MUST_CALL,
    actions_of,
    arrival,
    load_sample,
    request_ids,
    saturate,
    settings,
    started_controller,
)
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


# Invariant 1: no request is lost
def test_queued_requests_are_answered_before_their_deadline() -> None:
    controller = started_controller()
    saturate(controller, queued=0)
    controller.handle(1.0, [arrival(n, rank=0.999) for n in range(1, 40)])
    now, answered = 1.0, set[int]()
    while now < 12.0:
        now += 0.1
        actions = controller.handle(now, [load_sample(1.0, 4.0)])
        answered |= set(request_ids(actions, Reject, Fail))
        if now < 8.0:
            continue
        if now > 9.0:
            break
    assert answered == set(range(1, 40))


def test_running_requests_fail_at_their_deadline() -> None:
    controller = started_controller()
    controller.handle(0.0, [arrival(1, class_index=1)])
    assert 1 in request_ids(controller.handle(2.9, [load_sample()]), Fail)


def test_a_deadline_that_comes_with_the_request_is_kept() -> None:
    controller = started_controller()
    controller.handle(0.0, [arrival(1, deadline=1.0)])
    assert request_ids(controller.handle(0.95, [load_sample()]), Fail) == [1]


def test_a_request_read_with_no_time_left_is_answered_at_once() -> None:
    controller = started_controller()
    assert request_ids(controller.handle(5.0, [arrival(1, deadline=4.0)]), Reject) == [1]


def test_a_duplicate_is_answered_by_its_deadline() -> None:
    controller = started_controller()
    controller.handle(0.0, [arrival(1, class_index=1)])
    assert request_ids(controller.handle(0.1, [arrival(2, class_index=1, duplicate_of=1)]), AwaitOriginal) == [2]
    assert request_ids(controller.handle(2.98, [load_sample()]), Fail) == [1, 2]


def test_no_answer_after_the_caller_has_cancelled() -> None:
    controller = started_controller()
    controller.handle(0.0, [arrival(1, class_index=1)])
    controller.handle(0.1, [RequestCancelled(1)])
    assert request_ids(controller.handle(2.95, [load_sample()]), Fail, Reject) == []


# Invariant 2: no effect takes place twice
def test_a_key_is_reserved_before_the_run_until_the_end_of_its_window() -> None:
    controller = started_controller()
    actions = controller.handle(1.0, [arrival(1, class_index=1, age=0.5)])
    assert [type(a) for a in actions] == [ReserveKey, StartRun]
    assert 7.5 <= actions_of(actions, ReserveKey)[0].ttl <= 7.7


def test_no_memory_for_the_reservation_means_no_run() -> None:
    controller = started_controller(memory_kb=1000.0, key_entry_kb=950.0)
    actions = controller.handle(0.0, [arrival(1, class_index=1)])
    assert request_ids(actions, Reject) == [1] and not actions_of(actions, StartRun, ReserveKey)


def test_a_duplicate_awaits_an_original_that_is_queued_running_or_finished() -> None:
    controller = started_controller()
    assert request_ids(
        controller.handle(0.0, [arrival(1, class_index=1), arrival(2, class_index=1, duplicate_of=1)]), AwaitOriginal
    ) == [2]
    controller.handle(0.5, [RunFinished(1, 0.5, Outcome.OK), RunFinished(2, 0.5, Outcome.OK)])
    late = controller.handle(8.5, [arrival(3, class_index=1, duplicate_of=1)])
    assert request_ids(late, AwaitOriginal) == [3] and not actions_of(late, StartRun, Reject)


def test_a_duplicate_is_never_rejected_under_load() -> None:
    controller = started_controller()
    controller.handle(0.0, [arrival(1, class_index=1)])
    now = saturate(controller, 0.1, queued=200)
    actions = controller.handle(now, [arrival(2, class_index=1, duplicate_of=1, rank=0.01)])
    assert request_ids(actions, AwaitOriginal) == [2] and 2 not in request_ids(actions, Reject)


def test_a_rejected_request_releases_its_key() -> None:
    controller = started_controller()
    saturate(controller, queued=200)
    controller.rules.table.queued.clear()
    used_before = controller.rules.memory.used_kb
    controller.handle(1.1, [arrival(1, class_index=1, rank=0.999)])
    if 1 in controller.rules.table.queued:
        controller.handle(1.2, [])
        actions = controller.handle(3.0, [])
        assert request_ids(actions, ReleaseKey) == [1] and request_ids(actions, Reject) == [1]
    assert controller.rules.memory.used_kb == pytest.approx(used_before)


def test_a_request_with_key_that_ran_fails_when_cancelled() -> None:
    controller = started_controller(cancellation="abort")
    controller.handle(0.0, [arrival(1, class_index=1)])
    actions = controller.handle(0.2, [RunFinished(1, 0.2, Outcome.CANCELLED)])
    assert request_ids(actions, Fail) == [1] and not actions_of(actions, StartRun, Reject)


@pytest.mark.parametrize(
    ("outcome", "is_retried"),
    [
        (Outcome.OVERLOADED, True),
        (Outcome.UNREACHABLE, True),
        (Outcome.TIMEOUT, False),
        (Outcome.RESET, False),
    ],
)
def test_a_dependency_call_is_retried_only_if_it_was_never_executed(outcome: Outcome, is_retried: bool) -> None:
    controller = started_controller()
    controller.handle(0.0, [arrival(1, class_index=3)])
    assert request_ids(controller.handle(0.1, [DependencyCallNeeded(1)]), CallDependency) == [1]
    actions = controller.handle(0.2, [DependencyCallFinished(1, outcome, 0.1)])
    assert bool(actions_of(actions, CallDependency)) == is_retried
    assert bool(actions_of(actions, Fail)) == (not is_retried)


def test_a_duplicate_of_a_failed_or_cancelled_original_is_not_run() -> None:
    controller = started_controller()
    controller.handle(0.0, [arrival(1, class_index=1), arrival(2, class_index=1)])
    controller.handle(0.2, [RunFinished(1, 0.2, Outcome.ERROR), RequestCancelled(2)])
    actions = controller.handle(
        0.3, [arrival(3, class_index=1, duplicate_of=1), arrival(4, class_index=1, duplicate_of=2)]
    )
    assert request_ids(actions, AwaitOriginal) == [3, 4] and not actions_of(actions, StartRun, Reject)


def test_a_duplicate_of_an_original_rejected_in_the_same_batch_is_answered_once() -> None:
    controller = started_controller(memory_kb=1000.0, key_entry_kb=950.0)
    actions = controller.handle(0.0, [arrival(1, class_index=1), arrival(2, class_index=1, duplicate_of=1)])
    assert request_ids(actions, Reject) == [1] and request_ids(actions, AwaitOriginal) == [2]
    controller.handle(0.1, [RunFinished(2, 0.0, Outcome.ERROR)])
    assert not controller.rules.table.requests and not request_ids(
        controller.handle(3.0, [load_sample()]), Fail, Reject
    )


def test_a_duplicate_of_an_original_whose_key_has_expired_is_not_run() -> None:
    controller = started_controller()
    controller.handle(0.0, [arrival(1, class_index=1)])
    controller.handle(0.2, [RunFinished(1, 0.2, Outcome.OK)])
    used_before = controller.rules.memory.used_kb
    controller.handle(9.0, [load_sample()])
    assert controller.rules.memory.used_kb == pytest.approx(used_before - controller.rules.settings.key_entry_kb)
    actions = controller.handle(9.1, [arrival(2, class_index=1, duplicate_of=1, age=1.2)])
    assert request_ids(actions, AwaitOriginal) == [2] and not actions_of(actions, StartRun, Reject)


def test_a_cancelled_request_that_never_ran_releases_its_key() -> None:
    controller = started_controller()
    controller.handle(0.0, [arrival(n, rank=0.999) for n in range(10, 20)])
    controller.rules.concurrency.limit = 1.0
    controller.handle(0.1, [arrival(1, class_index=1)])
    assert 1 in controller.rules.table.queued
    assert request_ids(controller.handle(0.2, [RequestCancelled(1)]), ReleaseKey) == [1]


def test_a_run_that_was_answered_keeps_its_memory_until_it_has_ended() -> None:
    controller = started_controller(cancellation="pause")
    controller.handle(0.0, [arrival(1)])
    used_while_running = controller.rules.memory.used_kb
    actions = controller.handle(7.9, [load_sample()])
    assert (
        request_ids(actions, Fail) == [1]
        and request_ids(actions, CancelRun) == [1]
        and controller.rules.memory.used_kb == used_while_running
    )
    controller.handle(8.0, [RunFinished(1, 8.0, Outcome.CANCELLED)])
    assert controller.rules.memory.used_kb == 0.0 and not controller.rules.table.requests


# Invariant 3: a drain is safe
def test_a_drain_runs_no_late_arrivals_and_answers_all_requests_before_the_kill() -> None:
    controller = started_controller()
    controller.handle(0.0, [arrival(1)])
    assert actions_of(controller.handle(1.0, [DrainRequested(6.0)]), SetHealth) == [SetHealth(False)]
    early = controller.handle(2.5, [arrival(2)])
    assert request_ids(early, StartRun) == [2]
    late = controller.handle(3.1, [arrival(3, age=0.05)])
    assert request_ids(late, Reject) == [3] and not actions_of(late, StartRun)
    assert set(request_ids(controller.handle(5.8, [load_sample()]), Fail)) == {1, 2}


def test_a_duplicate_that_arrives_during_the_drain_is_answered_before_the_kill() -> None:
    controller = started_controller()
    controller.handle(0.0, [arrival(1, class_index=1)])
    controller.handle(1.0, [DrainRequested(3.0)])
    assert request_ids(controller.handle(1.5, [arrival(2, class_index=1, duplicate_of=1)]), AwaitOriginal) == [2]
    assert set(request_ids(controller.handle(2.85, [load_sample()]), Fail)) == {1, 2}


def test_a_drain_publishes_that_no_requests_should_be_sent() -> None:
    assert started_controller().handle(1.0, [DrainRequested(6.0)])[-1] == PublishLoad(1.0)
    assert started_controller(load_signal="window").handle(1.0, [arrival(1), DrainRequested(6.0)])[-1] != PublishLoad(
        1.0
    )


# Invariant 4: the instance does not collapse
def test_concurrency_stays_below_the_collapse_even_in_slow_start() -> None:
    for slow_start, max_running in ((False, 20.0), (True, 4 * (1 + 4 * 0.2))):
        controller = started_controller(slow_start=slow_start)
        running = 0
        controller.handle(0.0, [arrival(n, rank=0.999) for n in range(60)])
        for step in range(1, 8):
            controller.handle(0.1 * step, [load_sample(0.2, 1.0)])
            running = controller.rules.table.counts[RequestState.RUNNING]
            assert running <= max_running
        assert running >= 4


def test_memory_is_checked_before_each_run_and_each_admission() -> None:
    controller = started_controller(memory_kb=2000.0)
    actions = controller.handle(0.0, [arrival(n, memory_kb=30.0) for n in range(1, 100)])
    running = len(request_ids(actions, StartRun))
    queued = 99 - running - len(request_ids(actions, Reject))
    assert running * 480 + queued * 30 <= 2000


def test_dependency_calls_stay_within_the_quota_including_abandoned_ones() -> None:
    controller = started_controller(dependency_quota=2.5, cores=8)
    controller.handle(0.0, [arrival(n, class_index=2) for n in range(1, 9)])
    assert len(request_ids(controller.handle(0.1, [DependencyCallNeeded(n) for n in range(1, 9)]), CallDependency)) == 2
    # Both time out, but still count as in flight, so no call is made in their place.
    ended = [DependencyCallFinished(1, Outcome.TIMEOUT, 1.0), DependencyCallFinished(2, Outcome.TIMEOUT, 1.0)]
    assert not actions_of(controller.handle(0.6, ended), CallDependency)
    assert actions_of(controller.handle(0.85, [load_sample()]), CallDependency)


# All invariants, with random valid event streams
class RuleChecker:
    """Acts as the host of the controller and checks each action against the invariants."""

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
        self.just_cancelled: set[int] = set()  # cancelled in this batch; an answer may cross the cancellation
        self.next_id = 1
        self.drain_started_at: float | None = None
        self.kill_at = 0.0

    def feed(self, events: list[Event]) -> None:
        self.just_cancelled = {event.request_id for event in events if isinstance(event, RequestCancelled)}
        for action in self.controller.handle(self.now, events):
            self.check(action)
        memory_kb = sum(self.arrivals[n].memory_kb for n in self.queued | set(self.awaiting_original))
        memory_kb += (
            sum(self.arrivals[n].memory_kb for n in self.running | self.awaiting_dependency | self.calling)
            * self.settings.running_memory_factor
        )
        memory_kb += sum(1 for end in self.reserved_until.values() if end > self.now) * self.settings.key_entry_kb
        assert memory_kb <= self.settings.memory_kb
        assert len(self.running) <= self.settings.cores * self.settings.collapse_concurrency
        assert all(due + self.settings.response_slack > self.now for due in self.unanswered.values())

    def note_answer(self, request_id: int) -> None:
        if request_id in self.just_cancelled:
            self.just_cancelled.discard(request_id)
            return
        assert request_id in self.unanswered, f"request {request_id} was answered twice"
        del self.unanswered[request_id]

    def check(self, action: Action) -> None:
        if isinstance(action, StartRun):
            spec = self.settings.classes[self.arrivals[action.request_id].class_index]
            assert action.request_id in self.queued
            if self.drain_started_at is not None:
                assert self.arrived_at[action.request_id] <= self.drain_started_at + self.settings.drain_grace
            if spec.idempotency is Idempotency.WITH_KEY:
                assert self.reserved_until.get(action.request_id, 0.0) >= self.arrived_at[action.request_id] + (
                    spec.idempotency_window or 0.0
                )
                key = self.identity[action.request_id]
                assert key not in self.executed, f"request {key} ran twice"
                self.executed[key] = action.request_id
            self.queued.discard(action.request_id)
            self.running.add(action.request_id)
        elif isinstance(action, Reject | Fail):
            if isinstance(action, Reject):
                assert action.request_id in self.queued
                keyed = (
                    self.settings.classes[self.arrivals[action.request_id].class_index].idempotency
                    is Idempotency.WITH_KEY
                )
                assert not (keyed and self.identity[action.request_id] in self.executed)
            self.note_answer(action.request_id)
            self.queued.discard(action.request_id)
            self.awaiting_original.pop(action.request_id, None)
        elif isinstance(action, ReserveKey):
            self.reserved_until[action.request_id] = self.now + action.ttl
        elif isinstance(action, ReleaseKey):
            self.reserved_until.pop(action.request_id, None)
        elif isinstance(action, AwaitOriginal):
            assert action.request_id in self.queued
            self.queued.discard(action.request_id)
            self.awaiting_original[action.request_id] = self.arrivals[action.request_id].duplicate_of or 0
        elif isinstance(action, CallDependency):
            assert action.request_id in self.awaiting_dependency and action.request_id not in self.maybe_executed
            self.awaiting_dependency.discard(action.request_id)
            self.calling.add(action.request_id)
        elif isinstance(action, SkipDependency):
            assert self.settings.classes[self.arrivals[action.request_id].class_index].degraded_weight > 0
            self.awaiting_dependency.discard(action.request_id)
            self.running.add(action.request_id)

    def end(self, request_id: int, outcome: Outcome) -> Event:
        for request_set in (self.running, self.awaiting_dependency, self.calling):
            request_set.discard(request_id)
        if request_id in self.unanswered:
            self.note_answer(request_id)
        return RunFinished(request_id, 0.3, outcome)

    def step(self) -> None:
        rng, events = self.rng, list[Event]()
        self.now += rng.choice((0.01, 0.05, 0.1))
        first_new_id = self.next_id
        for _ in range(rng.choice((0, 1, 1, 3, 12))):
            request_id, self.next_id = self.next_id, self.next_id + 1
            class_index, age = rng.randrange(4), rng.random() * 0.1
            keyed = self.settings.classes[class_index].idempotency is Idempotency.WITH_KEY
            reserved = [
                k
                for k, end in self.reserved_until.items()
                if end > self.now and self.arrivals[k].class_index == class_index
            ]
            original = rng.choice(reserved) if keyed and reserved and rng.random() < 0.3 else None
            event = arrival(
                request_id,
                class_index,
                age=age,
                rank=rng.random(),
                duplicate_of=original,
                memory_kb=rng.uniform(10, 60),
            )
            self.arrivals[request_id], self.arrived_at[request_id] = event, self.now - age
            self.unanswered[request_id] = self.now - age + self.settings.classes[class_index].deadline
            self.identity[request_id] = self.identity[original] if original else request_id
            self.queued.add(request_id)
            events.append(event)
        for request_id in sorted(self.running):
            roll = rng.random()
            spec = self.settings.classes[self.arrivals[request_id].class_index]
            if spec.calls_dependency and roll < 0.1 and request_id in self.unanswered:
                self.running.discard(request_id)
                self.awaiting_dependency.add(request_id)
                self.maybe_executed.discard(request_id)
                events.append(DependencyCallNeeded(request_id))
            elif roll < 0.15:
                events.append(self.end(request_id, rng.choice((Outcome.OK, Outcome.OK, Outcome.ERROR))))
        for request_id in sorted(self.calling):
            if request_id not in self.unanswered:
                events.append(self.end(request_id, Outcome.CANCELLED))
            elif rng.random() < 0.2:
                outcome = rng.choice(list(Outcome)[:6])
                self.calling.discard(request_id)
                (self.running if outcome is Outcome.OK else self.awaiting_dependency).add(request_id)
                if outcome not in (Outcome.OK, Outcome.OVERLOADED, Outcome.UNREACHABLE):
                    self.maybe_executed.add(request_id)
                events.append(DependencyCallFinished(request_id, outcome, 0.2))
        for request_id in sorted(self.awaiting_dependency):
            if request_id not in self.unanswered:
                events.append(self.end(request_id, Outcome.CANCELLED))
        for request_id in [n for n, first in self.awaiting_original.items() if first not in self.unanswered]:
            del self.awaiting_original[request_id]
            self.note_answer(request_id)
            events.append(RunFinished(request_id, 0.1, Outcome.OK))
        for request_id in sorted(n for n in self.unanswered if n < first_new_id):
            if rng.random() < 0.002:
                del self.unanswered[request_id]
                self.queued.discard(request_id)
                self.awaiting_original.pop(request_id, None)
                events.append(RequestCancelled(request_id))
        if rng.random() < 0.6:
            events.append(load_sample(rng.choice((0.3, 0.95, 1.0)), rng.choice((1.0, 5.0, 9.0))))
        self.feed(events)


@profile(derandomize=True, max_examples=40, deadline=None, phases=(Phase.explicit, Phase.generate))
@given(st.integers(0, 10_000), st.booleans(), st.sampled_from([None, "abort", "pause"]), st.booleans())
def test_the_invariants_hold_with_random_streams(
    seed: int, slow_start: bool, cancellation: str | None, little_memory: bool
) -> None:
    checker = RuleChecker(
        seed, slow_start=slow_start, memory_kb=9_000.0 if little_memory else 100_000.0, cancellation=cancellation
    )
    for step in range(200):
        checker.step()
        if step == 150:
            checker.drain_started_at, checker.kill_at = checker.now, checker.now + 5.0
            checker.feed([DrainRequested(checker.kill_at)])
    while checker.now < checker.kill_at - 0.1:
        checker.now += 0.1
        checker.feed([load_sample()])
    assert not checker.unanswered


def test_the_same_events_and_seed_give_the_same_actions() -> None:
    def run() -> list[Action]:
        controller, actions = Controller(BASE, 7), list[Action]()
        for request_id in range(200):
            actions += controller.handle(
                request_id * 0.05, [arrival(request_id, class_index=request_id % 2, rank=0.0), load_sample(1.0, 9.0)]
            )
        return actions

    assert run() == run()


def test_invalid_settings_are_rejected() -> None:
    for changes in ({"cores": 0}, {"classes": ()}, {"memory_kb": 0.0}):
        with pytest.raises(ValueError, match="at least one core, one class and more than 0 KB of memory; found cores"):
            Controller(settings(**changes), 1)


def test_events_of_unknown_requests_are_ignored() -> None:
    controller = started_controller()
    events: list[Event] = [RequestCancelled(9), DependencyCallNeeded(9), DependencyCallFinished(9, Outcome.OK, 0.1)]
    assert controller.handle(0.1, [*events, RunFinished(9, 0.1, Outcome.OK)]) == []


assert KEYED.idempotency_window and CALLING.degraded_weight and not MUST_CALL.degraded_weight


def test_reservations_expire_by_the_end_of_their_window_and_not_by_arrival() -> None:
    short_window = replace(KEYED, idempotency_window=2.0)
    controller = started_controller(classes=(KEYED, short_window), key_entry_kb=100.0)
    controller.handle(0.1, [arrival(1, 0, memory_kb=0.0), arrival(2, 1, memory_kb=0.0)])
    controller.handle(0.5, [RunFinished(1, 0.4, Outcome.OK), RunFinished(2, 0.4, Outcome.OK)])
    assert controller.rules.memory.used_kb == 200.0
    controller.handle(4.0, [load_sample()])
    assert controller.rules.memory.used_kb == 100.0 and list(controller.rules.reservations.reserved_kb) == [1]
    controller.handle(12.0, [load_sample()])
    assert controller.rules.memory.used_kb == 0.0


@pytest.mark.parametrize(
    "changes",
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
def test_every_request_is_answered_with_extreme_settings(changes: dict[str, Any]) -> None:
    controller = started_controller(**changes)
    now, answered = 0.0, set[int]()
    for request_id in range(120):
        now = 0.1 + 0.1 * request_id
        events: list[Event] = [arrival(request_id, request_id % 3, caller_id=request_id % 7), load_sample(1.0, 6.0)]
        actions = controller.handle(now, events)
        answered |= set(request_ids(actions, Reject, Fail))
    for _ in range(120):
        now += 0.1
        answered |= set(request_ids(controller.handle(now, [load_sample(1.0, 6.0)]), Reject, Fail))
    assert answered == set(
        range(120)
    )  # no run ends in this test, so every request is rejected or fails by its deadline


# Guards against memory that is charged for reservations of a class without keys: 1000 of its requests within one
# window must take no more memory than those that run.
def test_a_class_without_keys_takes_no_memory_for_reservations() -> None:
    unsafe = replace(KEYED, idempotency=Idempotency.NOT_IDEMPOTENT)
    controller = started_controller(classes=(unsafe,), memory_kb=2000.0, key_entry_kb=950.0)
    for request_id in range(1, 1001):
        assert request_ids(controller.handle(request_id / 250, [arrival(request_id)]), StartRun) == [request_id]
        controller.handle(request_id / 250, [RunFinished(request_id, 0.01, Outcome.OK)])
    assert controller.rules.memory.used_kb == 0.0


# Guards against queueing requests that can never run and whose memory would cause others to be rejected.
def test_a_request_that_never_fits_is_rejected_on_arrival() -> None:
    controller = started_controller(memory_kb=10_000.0)
    assert request_ids(controller.handle(0.0, [arrival(1, memory_kb=600.0)]), Reject) == [1]
    assert request_ids(controller.handle(0.0, [arrival(2, memory_kb=500.0)]), StartRun) == [2]
