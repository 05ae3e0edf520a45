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

from cometdrum import interface as i
from cometdrum.controller import Controller


# ---- No request is lost
def test_held_work_is_answered_before_it_is_due() -> None:
    c = started()
    saturate(c, held=0)
    c.handle(1.0, [arrival(n, rank=0.999) for n in range(1, 40)])
    now, answered = 1.0, set[int]()
    while now < 12.0:
        now += 0.1
        actions = c.handle(now, [poll(1.0, 4.0)])
        answered |= set(ids(actions, i.Refuse, i.Fail))
        if now < 8.0:
            continue
        if now > 9.0:
            break
    assert answered == set(range(1, 40))


def test_running_work_fails_at_its_due_time() -> None:
    c = started()
    c.handle(0.0, [arrival(1, cls=1)])
    assert 1 in ids(c.handle(2.9, [poll()]), i.Fail)


def test_a_due_time_that_comes_with_the_request_is_kept() -> None:
    c = started()
    c.handle(0.0, [arrival(1, due=1.0)])
    assert ids(c.handle(0.95, [poll()]), i.Fail) == [1]


def test_a_request_read_with_no_time_left_is_answered_at_once() -> None:
    c = started()
    assert ids(c.handle(5.0, [arrival(1, due=4.0)]), i.Refuse) == [1]


def test_an_attached_repeat_is_watched_too() -> None:
    c = started()
    c.handle(0.0, [arrival(1, cls=1)])
    assert ids(c.handle(0.1, [arrival(2, cls=1, repeats=1)]), i.Attach) == [2]
    assert ids(c.handle(2.98, [poll()]), i.Fail) == [1, 2]


def test_no_answer_after_word_that_the_caller_has_gone() -> None:
    c = started()
    c.handle(0.0, [arrival(1, cls=1)])
    c.handle(0.1, [i.Gone(1)])
    assert ids(c.handle(2.95, [poll()]), i.Fail, i.Refuse) == []


# ---- No effect happens twice
def test_a_keyed_run_has_an_entry_before_it_to_the_end_of_its_window() -> None:
    c = started()
    actions = c.handle(1.0, [arrival(1, cls=1, age=0.5)])
    assert [type(a) for a in actions] == [i.Keep, i.Run]
    assert 7.5 <= of(actions, i.Keep)[0].life <= 7.7


def test_no_room_for_the_entry_means_no_run() -> None:
    c = started(memory_kb=1000.0, key_kb=950.0)
    actions = c.handle(0.0, [arrival(1, cls=1)])
    assert ids(actions, i.Refuse) == [1] and not of(actions, i.Run, i.Keep)


def test_a_repeat_attaches_while_its_forerunner_is_held_running_or_over() -> None:
    c = started()
    assert ids(c.handle(0.0, [arrival(1, cls=1), arrival(2, cls=1, repeats=1)]), i.Attach) == [2]
    c.handle(0.5, [i.Finished(1, 0.5, i.Outcome.OK), i.Finished(2, 0.5, i.Outcome.OK)])
    late = c.handle(8.5, [arrival(3, cls=1, repeats=1)])
    assert ids(late, i.Attach) == [3] and not of(late, i.Run, i.Refuse)


def test_a_repeat_is_never_refused_under_load() -> None:
    c = started()
    c.handle(0.0, [arrival(1, cls=1)])
    now = saturate(c, 0.1, held=200)
    actions = c.handle(now, [arrival(2, cls=1, repeats=1, rank=0.01)])
    assert ids(actions, i.Attach) == [2] and 2 not in ids(actions, i.Refuse)


def test_a_refused_keyed_request_gives_its_entry_back() -> None:
    c = started()
    saturate(c, held=200)
    c.held.clear()
    free = c.memory
    c.handle(1.1, [arrival(1, cls=1, rank=0.999)])
    if 1 in c.held:
        c.handle(1.2, [])
        actions = c.handle(3.0, [])
        assert ids(actions, i.Forget) == [1] and ids(actions, i.Refuse) == [1]
    assert c.memory == pytest.approx(free)


def test_keyed_work_that_ran_fails_when_stopped() -> None:
    c = started(halt="abort")
    c.handle(0.0, [arrival(1, cls=1)])
    actions = c.handle(0.2, [i.Finished(1, 0.2, i.Outcome.CANCELLED)])
    assert ids(actions, i.Fail) == [1] and not of(actions, i.Run, i.Refuse)


@pytest.mark.parametrize(
    ("outcome", "again"),
    [
        (i.Outcome.FULL, True),
        (i.Outcome.UNREACHED, True),
        (i.Outcome.TIMEOUT, False),
        (i.Outcome.RESET, False),
    ],
)
def test_a_call_is_repeated_only_after_proof_that_it_never_ran(outcome: i.Outcome, again: bool) -> None:
    c = started()
    c.handle(0.0, [arrival(1, cls=3)])
    assert ids(c.handle(0.1, [i.NeedsCall(1)]), i.Call) == [1]
    actions = c.handle(0.2, [i.CallEnded(1, outcome, 0.1)])
    assert bool(of(actions, i.Call)) == again
    assert bool(of(actions, i.Fail)) == (not again)


def test_a_repeat_whose_forerunner_failed_or_expired_is_attached_not_run() -> None:
    c = started()
    c.handle(0.0, [arrival(1, cls=1), arrival(2, cls=1)])
    c.handle(0.2, [i.Finished(1, 0.2, i.Outcome.ERROR), i.Gone(2)])
    actions = c.handle(0.3, [arrival(3, cls=1, repeats=1), arrival(4, cls=1, repeats=2)])
    assert ids(actions, i.Attach) == [3, 4] and not of(actions, i.Run, i.Refuse)


def test_a_repeat_of_a_forerunner_refused_in_its_batch_is_answered_once() -> None:
    c = started(memory_kb=1000.0, key_kb=950.0)
    actions = c.handle(0.0, [arrival(1, cls=1), arrival(2, cls=1, repeats=1)])
    assert ids(actions, i.Refuse) == [1] and ids(actions, i.Attach) == [2]
    c.handle(0.1, [i.Finished(2, 0.0, i.Outcome.ERROR)])
    assert not c.requests and not ids(c.handle(3.0, [poll()]), i.Fail, i.Refuse)


def test_a_repeat_of_a_run_whose_entry_ran_out_is_still_not_run() -> None:
    c = started()
    c.handle(0.0, [arrival(1, cls=1)])
    c.handle(0.2, [i.Finished(1, 0.2, i.Outcome.OK)])
    free = c.memory
    c.handle(9.0, [poll()])
    assert c.memory == pytest.approx(free - c.s.key_kb)
    actions = c.handle(9.1, [arrival(2, cls=1, repeats=1, age=1.2)])
    assert ids(actions, i.Attach) == [2] and not of(actions, i.Run, i.Refuse)


def test_a_gone_forerunner_that_never_ran_gives_its_entry_back() -> None:
    c = started()
    c.handle(0.0, [arrival(n, rank=0.999) for n in range(10, 20)])
    c.limit = 1.0
    c.handle(0.1, [arrival(1, cls=1)])
    assert 1 in c.held
    assert ids(c.handle(0.2, [i.Gone(1)]), i.Forget) == [1]


def test_paused_work_that_was_answered_keeps_its_memory_until_it_is_over() -> None:
    c = started(halt="pause")
    c.handle(0.0, [arrival(1)])
    running = c.memory
    actions = c.handle(7.9, [poll()])
    assert ids(actions, i.Fail) == [1] and ids(actions, i.Halt) == [1] and c.memory == running
    c.handle(8.0, [i.Finished(1, 8.0, i.Outcome.CANCELLED)])
    assert c.memory == 0.0 and not c.requests


# ---- Drains are safe
def test_nothing_late_is_run_and_all_is_answered_before_the_kill() -> None:
    c = started()
    c.handle(0.0, [arrival(1)])
    assert of(c.handle(1.0, [i.Drain(6.0)]), i.Health) == [i.Health(False)]
    early = c.handle(2.5, [arrival(2)])
    assert ids(early, i.Run) == [2]
    late = c.handle(3.1, [arrival(3, age=0.05)])
    assert ids(late, i.Refuse) == [3] and not of(late, i.Run)
    assert set(ids(c.handle(5.8, [poll()]), i.Fail)) == {1, 2}


def test_a_repeat_that_arrives_during_the_drain_is_answered_before_the_kill() -> None:
    c = started()
    c.handle(0.0, [arrival(1, cls=1)])
    c.handle(1.0, [i.Drain(3.0)])
    assert ids(c.handle(1.5, [arrival(2, cls=1, repeats=1)]), i.Attach) == [2]
    assert set(ids(c.handle(2.85, [poll()]), i.Fail)) == {1, 2}


def test_drain_tells_callers_to_stay_away() -> None:
    assert started().handle(1.0, [i.Drain(6.0)])[-1] == i.Say(1.0)
    assert started(say="window").handle(1.0, [arrival(1), i.Drain(6.0)])[-1] != i.Say(1.0)


# ---- Nothing falls over
def test_runs_stay_under_the_crowd_even_when_cold() -> None:
    for cold, most in ((False, 20.0), (True, 4 * (1 + 4 * 0.2))):
        c = started(cold=cold)
        running = 0
        c.handle(0.0, [arrival(n, rank=0.999) for n in range(60)])
        for n in range(1, 8):
            c.handle(0.1 * n, [poll(0.2, 1.0)])
            running = c.count[2]
            assert running <= most
        assert running >= 4


def test_memory_is_checked_before_each_run_and_each_hold() -> None:
    c = started(memory_kb=2000.0)
    actions = c.handle(0.0, [arrival(n, kb=30.0) for n in range(1, 100)])
    running = len(ids(actions, i.Run))
    left = 99 - running - len(ids(actions, i.Refuse))
    assert running * 480 + left * 30 <= 2000


def test_calls_stay_under_the_fair_share_with_those_given_up() -> None:
    c = started(fair_calls=2.5, cores=8)
    c.handle(0.0, [arrival(n, cls=2) for n in range(1, 9)])
    assert len(ids(c.handle(0.1, [i.NeedsCall(n) for n in range(1, 9)]), i.Call)) == 2
    # Both are given up; they linger, so no call goes out in their place.
    ended = [i.CallEnded(1, i.Outcome.TIMEOUT, 1.0), i.CallEnded(2, i.Outcome.TIMEOUT, 1.0)]
    assert not of(c.handle(0.6, ended), i.Call)
    assert of(c.handle(0.85, [poll()]), i.Call)


# ---- All of them, over random legal streams
class Books:
    """Plays the machine below the controller and checks each action against the rules."""

    def __init__(self, seed: int, **changes: object) -> None:
        self.rng = random.Random(seed)
        self.c = Controller(settings(**changes), seed)
        self.s = self.c.s
        self.now = 0.0
        self.info: dict[int, i.Arrival] = {}
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
        self.next = 1
        self.drain: float | None = None
        self.kill = 0.0

    def feed(self, events: list[i.Event]) -> None:
        for action in self.c.handle(self.now, events):
            self.act(action)
        size = sum(self.info[n].kb for n in self.held | set(self.attached))
        size += sum(self.info[n].kb for n in self.running | self.standing | self.calling) * self.s.run_factor
        size += sum(1 for end in self.kept.values() if end > self.now) * self.s.key_kb
        assert size <= self.s.memory_kb
        assert len(self.running) <= self.s.cores * self.s.fall_multiple
        assert all(due + self.s.answer_slack > self.now for due in self.owed.values())

    def answer(self, n: int) -> None:
        assert n in self.owed, f"second answer to {n}"
        del self.owed[n]

    def act(self, a: i.Action) -> None:
        if isinstance(a, i.Run):
            spec = self.s.classes[self.info[a.id].cls]
            assert a.id in self.held
            if self.drain is not None:
                assert self.arrived[a.id] <= self.drain + self.s.drain_grace
            if spec.effect is i.Effect.KEYED:
                assert self.kept.get(a.id, 0.0) >= self.arrived[a.id] + (spec.window or 0.0)
                key = self.identity[a.id]
                assert key not in self.ran, "run twice"
                self.ran[key] = a.id
            self.held.discard(a.id)
            self.running.add(a.id)
        elif isinstance(a, i.Refuse | i.Fail):
            if isinstance(a, i.Refuse):
                assert a.id in self.held
                keyed = self.s.classes[self.info[a.id].cls].effect is i.Effect.KEYED
                assert not (keyed and self.identity[a.id] in self.ran)
            self.answer(a.id)
            self.held.discard(a.id)
            self.attached.pop(a.id, None)
        elif isinstance(a, i.Keep):
            self.kept[a.id] = self.now + a.life
        elif isinstance(a, i.Forget):
            self.kept.pop(a.id, None)
        elif isinstance(a, i.Attach):
            assert a.id in self.held
            self.held.discard(a.id)
            self.attached[a.id] = self.info[a.id].repeats or 0
        elif isinstance(a, i.Call):
            assert a.id in self.standing and a.id not in self.maybe_called
            self.standing.discard(a.id)
            self.calling.add(a.id)
        elif isinstance(a, i.Skip):
            assert self.s.classes[self.info[a.id].cls].skip_worth > 0
            self.standing.discard(a.id)
            self.running.add(a.id)

    def end(self, n: int, outcome: i.Outcome) -> i.Event:
        for group in (self.running, self.standing, self.calling):
            group.discard(n)
        if n in self.owed:
            self.answer(n)
        return i.Finished(n, 0.3, outcome)

    def step(self) -> None:
        rng, events = self.rng, list[i.Event]()
        self.now += rng.choice((0.01, 0.05, 0.1))
        fresh = self.next
        for _ in range(rng.choice((0, 1, 1, 3, 12))):
            n, self.next = self.next, self.next + 1
            cls, age = rng.randrange(4), rng.random() * 0.1
            keyed = self.s.classes[cls].effect is i.Effect.KEYED
            live = [k for k, end in self.kept.items() if end > self.now and self.info[k].cls == cls]
            repeats = rng.choice(live) if keyed and live and rng.random() < 0.3 else None
            event = arrival(n, cls, age=age, rank=rng.random(), repeats=repeats, kb=rng.uniform(10, 60))
            self.info[n], self.arrived[n] = event, self.now - age
            self.owed[n] = self.now - age + self.s.classes[cls].deadline
            self.identity[n] = self.identity[repeats] if repeats else n
            self.held.add(n)
            events.append(event)
        for n in sorted(self.running):
            roll = rng.random()
            spec = self.s.classes[self.info[n].cls]
            if spec.calls and roll < 0.1 and n in self.owed:
                self.running.discard(n)
                self.standing.add(n)
                self.maybe_called.discard(n)
                events.append(i.NeedsCall(n))
            elif roll < 0.15:
                events.append(self.end(n, rng.choice((i.Outcome.OK, i.Outcome.OK, i.Outcome.ERROR))))
        for n in sorted(self.calling):
            if n not in self.owed:
                events.append(self.end(n, i.Outcome.CANCELLED))
            elif rng.random() < 0.2:
                outcome = rng.choice(list(i.Outcome)[:6])
                self.calling.discard(n)
                (self.running if outcome is i.Outcome.OK else self.standing).add(n)
                if outcome not in (i.Outcome.OK, i.Outcome.FULL, i.Outcome.UNREACHED):
                    self.maybe_called.add(n)
                events.append(i.CallEnded(n, outcome, 0.2))
        for n in sorted(self.standing):
            if n not in self.owed:
                events.append(self.end(n, i.Outcome.CANCELLED))
        for n in [n for n, first in self.attached.items() if first not in self.owed]:
            del self.attached[n]
            self.answer(n)
            events.append(i.Finished(n, 0.1, i.Outcome.OK))
        for n in sorted(n for n in self.owed if n < fresh):
            if rng.random() < 0.002:
                del self.owed[n]
                self.held.discard(n)
                self.attached.pop(n, None)
                events.append(i.Gone(n))
        if rng.random() < 0.6:
            events.append(poll(rng.choice((0.3, 0.95, 1.0)), rng.choice((1.0, 5.0, 9.0))))
        self.feed(events)


@profile(derandomize=True, max_examples=40, deadline=None, phases=(Phase.explicit, Phase.generate))
@given(st.integers(0, 10_000), st.booleans(), st.sampled_from([None, "abort", "pause"]), st.booleans())
def test_the_rules_hold_over_random_streams(seed: int, cold: bool, halt: str | None, tight: bool) -> None:
    books = Books(seed, cold=cold, memory_kb=9_000.0 if tight else 100_000.0, halt=halt)
    for n in range(200):
        books.step()
        if n == 150:
            books.drain, books.kill = books.now, books.now + 5.0
            books.feed([i.Drain(books.kill)])
    while books.now < books.kill - 0.1:
        books.now += 0.1
        books.feed([poll()])
    assert not books.owed


def test_the_same_events_and_seed_give_the_same_actions() -> None:
    def play() -> list[i.Action]:
        c, out = Controller(BASE, 7), list[i.Action]()
        for n in range(200):
            out += c.handle(n * 0.05, [arrival(n, cls=n % 2, rank=0.0), poll(1.0, 9.0)])
        return out

    assert play() == play()


def test_impossible_settings_are_refused() -> None:
    for changes in ({"cores": 0}, {"classes": ()}, {"memory_kb": 0.0}):
        with pytest.raises(ValueError, match="at least one core"):
            Controller(settings(**changes), 1)


def test_late_news_of_unknown_requests_is_ignored() -> None:
    c = started()
    news: list[i.Event] = [i.Gone(9), i.NeedsCall(9), i.CallEnded(9, i.Outcome.OK, 0.1)]
    assert c.handle(0.1, [*news, i.Finished(9, 0.1, i.Outcome.OK)]) == []


assert KEYED.window and CALLING.skip_worth and not MUST_CALL.skip_worth


def test_entries_leave_the_books_in_order_of_their_end_whatever_the_order_of_arrival() -> None:
    brief = replace(KEYED, window=2.0)
    c = started(classes=(KEYED, brief), key_kb=100.0)
    c.handle(0.1, [arrival(1, 0, kb=0.0), arrival(2, 1, kb=0.0)])
    c.handle(0.5, [i.Finished(1, 0.4, i.Outcome.OK), i.Finished(2, 0.4, i.Outcome.OK)])
    assert c.memory == 200.0
    c.handle(4.0, [poll()])
    assert c.memory == 100.0 and list(c.kept) == [1]
    c.handle(12.0, [poll()])
    assert c.memory == 0.0


@pytest.mark.parametrize(
    "extreme",
    [
        {"cores": 1},
        {"tenants": ()},
        {"callers": 0},
        {"peers": 1},
        {"peers": 0},
        {"fair_calls": 0.2},
        {"idle": None},
        {"say": "window", "callers": 0},
        {"halt": "pause"},
        {"cold": True, "cold_span": 0.0},
    ],
)
def test_settings_at_their_extremes_work(extreme: dict[str, Any]) -> None:
    c = started(**extreme)
    now, answered = 0.0, set[int]()
    for n in range(120):
        now = 0.1 + 0.1 * n
        events: list[i.Event] = [arrival(n, n % 3, caller=n % 7), poll(1.0, 6.0)]
        out = c.handle(now, events)
        answered |= set(ids(out, i.Refuse, i.Fail))
    for _ in range(120):
        now += 0.1
        answered |= set(ids(c.handle(now, [poll(1.0, 6.0)]), i.Refuse, i.Fail))
    assert answered == set(range(120))  # no run ends here, so each is refused or failed by its due time


# Guards against refusing for entries that nobody holds: a class without keys has none, so a thousand of its
# requests in a window book no more than those that run.
def test_a_class_without_keys_books_no_entries() -> None:
    unsafe = replace(KEYED, effect=i.Effect.UNSAFE)
    c = started(classes=(unsafe,), memory_kb=2000.0, key_kb=950.0)
    for id in range(1, 1001):
        assert ids(c.handle(id / 250, [arrival(id)]), i.Run) == [id]
        c.handle(id / 250, [i.Finished(id, 0.01, i.Outcome.OK)])
    assert c.memory == 0.0


# Guards against a hold full of what can never run: it would have the memory that others are refused for.
def test_what_never_fits_is_refused_at_read() -> None:
    c = started(memory_kb=10_000.0)
    assert ids(c.handle(0.0, [arrival(1, kb=600.0)]), i.Refuse) == [1]
    assert ids(c.handle(0.0, [arrival(2, kb=500.0)]), i.Run) == [2]
