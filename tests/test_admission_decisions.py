"""The ordinary path and the exceptions to it, one test for each failure that was found."""

from __future__ import annotations

import pytest
from helpers import arrival, ids, of, poll, saturate, started

from lapishaven.admission import (
    DependencyCallFinished,
    DependencyCallNeeded,
    Event,
    Outcome,
    PublishLoad,
    Reject,
    SetHealth,
    SetIdleTimeout,
    SkipDependency,
)
from lapishaven.admission import controller as c_


@pytest.mark.parametrize(
    ("busy", "chance"),
    [(0.0, 0.0), (c_.LOWER, 0.0), (0.99, (0.99 - c_.LOWER) / (c_.UPPER - c_.LOWER))],
)
def test_the_chance_is_linear_in_the_windows_average(busy: float, chance: float) -> None:
    c = started()
    for n in range(c_.WINDOW):
        c.handle(0.1 * n, [poll(busy, 4.0)])
    assert c.chance == pytest.approx(chance)


def test_the_window_rolls() -> None:
    c = started()
    for n in range(10):
        c.handle(0.1 * n, [arrival(n + 1, age=1.5, rank=0.999), poll(1.0, 4.0)])
    assert c.chance > 0.9
    for n in range(c_.WINDOW):
        c.handle(5.0 + 0.1 * n, [poll(0.5, 2.0)])
    assert c.chance == 0.0


def test_everything_passes_until_there_is_a_sample() -> None:
    assert not of(started().handle(0.1, [arrival(n, rank=0.001) for n in range(1, 100)]), Reject)


def test_the_coin_is_tossed_only_while_work_is_held_and_cores_are_full() -> None:
    c = started()
    now = saturate(c, held=200)
    assert ids(c.handle(now, [arrival(1, rank=0.01)]), Reject) == [1]
    c.handle(now, [poll(0.5, 2.0)])
    assert not of(c.handle(now, [arrival(2, rank=0.01)]), Reject)


def test_a_retry_meets_the_same_coin() -> None:
    c = started()
    now = saturate(c, held=10)
    assert 0.0 < c.chance < 1.0
    low, high = c.chance / 8, 0.249
    assert ids(c.handle(now, [arrival(n, rank=low) for n in range(1, 9)]), Reject) == list(range(1, 9))
    assert not of(c.handle(now, [arrival(n, rank=high) for n in range(11, 19)]), Reject)


def test_the_limit_steps_up_while_there_is_room_and_work_is_held() -> None:
    c = started()
    c.handle(0.0, [arrival(n, rank=0.999) for n in range(40)])
    assert c.limit == 4.0
    c.handle(0.1, [poll(0.5, 2.0)])
    assert c.limit == 5.0
    c.handle(0.2, [poll(1.0, 8.0)])
    assert c.limit == 5.0


def test_the_limit_is_cut_when_runs_climb_past_their_base_but_not_under_the_cores() -> None:
    c = started()
    c.limit, c.latency[0], c.base[0] = 10.0, 1.0, 0.2
    c.handle(0.1, [poll(1.0, 8.0)])
    assert c.limit == pytest.approx(10.0 * c_.CUT)
    for n in range(10):
        c.handle(0.2 + n * 0.1, [poll(1.0, 8.0)])
    assert c.limit == 4.0


def test_a_stale_latency_does_not_hold_the_limit_down_while_cores_idle() -> None:
    c = started()
    c.handle(0.0, [arrival(n, rank=0.999) for n in range(40)])
    c.latency[0], c.base[0] = 1.0, 0.2
    for n in range(1, 5):
        c.handle(0.1 * n, [poll(0.6, 3.0)])
    assert c.limit > 8.0


def test_reads_that_come_late_count_as_load() -> None:
    c = started()
    for n in range(10):
        c.handle(0.1 * n, [arrival(n + 1, age=1.5, rank=0.999), poll(1.0, 4.0)])
    assert c.chance == 1.0


def test_a_machine_that_reads_past_every_aim_leaves_and_comes_back() -> None:
    c = started()
    assert not of(c.handle(1.0, [arrival(1, age=1.5), poll(1.0, 4.0)]), SetHealth)  # only some aims are past
    assert of(c.handle(1.1, [arrival(2, age=3.0), poll(1.0, 4.0)]), SetHealth) == [SetHealth(False)]
    for n in range(80):
        back = of(c.handle(1.2 + 0.1 * n, [poll(0.2, 1.0)]), SetHealth)
        if back:
            break
    assert back == [SetHealth(True)]


def test_a_full_machine_that_reads_in_time_stays_listed() -> None:
    c = started()
    c.handle(0.0, [arrival(n, rank=0.999) for n in range(200)])
    assert not any(of(c.handle(0.1 * n, [poll(1.0, 8.0)]), SetHealth) for n in range(1, 30))


def test_callers_are_told_a_slow_mean() -> None:
    c = started()
    saturate(c, held=200)
    assert c.chance > 0.9 and 0.0 < c.said < 0.6


def test_only_marked_retries_are_aged() -> None:
    c = started()
    c.handle(0.0, [arrival(1, deadline=8.0)])
    c.handle(0.0, [arrival(2, deadline=4.0), arrival(3, deadline=4.0, is_retry=True)])
    assert c.requests[2].aim_at == pytest.approx(2.0)
    assert c.requests[3].aim_at == pytest.approx(-2.0)


def test_a_stuck_call_is_left_out_where_that_earns_something() -> None:
    c = started()
    c.handle(0.0, [arrival(1, class_index=2)])
    c.handle(0.1, [DependencyCallNeeded(1)])
    assert ids(c.handle(1.1, [DependencyCallFinished(1, Outcome.TIMEOUT, 1.0)]), SkipDependency) == [1]


def test_work_past_hope_is_dropped_from_the_hold() -> None:
    c = started()
    c.handle(0.0, [arrival(n, class_index=2) for n in range(1, 10)])
    assert len(ids(c.handle(2.0, [poll(1.0, 4.0)]), Reject)) == 5


def test_the_window_told_shrinks_with_the_callers_that_share_it() -> None:
    told = {}
    for callers in (1, 8):
        c = started(load_signal="window", caller_count=callers)
        saturate(c, held=200)
        told[callers] = c.said
    assert 0 < told[8] < told[1] / 2


def test_an_unused_limit_does_not_grow_and_crowded_cores_cut_it() -> None:
    c = started()
    c.handle(0.0, [arrival(1)])
    c.handle(0.1, [poll(0.3, 1.0)])
    assert c.limit == 4.0
    c.limit = 12.0
    c.handle(0.2, [poll(1.0, 4 * c_.CUT_CONCURRENCY + 1)])
    assert c.limit == 12.0  # reading and handshakes, not runs
    c.count[2] = 4 * int(c_.CUT_CONCURRENCY) + 1
    c.handle(0.2, [poll(1.0, 4 * c_.CUT_CONCURRENCY + 1)])
    assert c.limit == pytest.approx(12.0 * c_.CUT)


def test_refusals_say_last_only_in_lasting_overload() -> None:
    c = started()
    now = saturate(c, held=200)
    c.steady = c_.LAST - 0.01
    assert not of(c.handle(now, [arrival(1, rank=0.01)]), Reject)[0].no_retry_elsewhere
    c.steady = c_.LAST + 0.01
    assert of(c.handle(now, [arrival(2, rank=0.01)]), Reject)[0].no_retry_elsewhere


def test_a_hold_run_dry_is_not_refused_into_idleness() -> None:
    c = started()
    now = saturate(c, held=200)
    assert c.chance > 0.9
    for r in list(c.held.values()):
        c._move(r, None)
    c.unread = 0.11
    assert not of(c.handle(now, [arrival(1, rank=0.2)]), Reject)


def test_a_stall_with_idle_cores_counts_as_busy() -> None:
    c = started(collapse_concurrency=3.0)
    c.handle(0.0, [arrival(n, rank=0.999) for n in range(60)])
    for n in range(1, 25):
        c.handle(0.1 * n, [poll(0.0, 0.0)])
        c.handle(0.1 * n, [arrival(100 * n + k, rank=0.999) for k in range(3)])
    assert c.chance > 0.9


def test_a_fair_share_under_one_call_is_kept_in_the_mean() -> None:
    c = started(dependency_quota=0.4)
    c.handle(0.0, [arrival(1, class_index=2)])
    made, now = 0, 0.0
    c.handle(0.05, [DependencyCallNeeded(1)])
    for n in range(1, 60):
        now = 0.1 * n
        events: list[Event] = [poll(0.5, 1.0)]
        if c.requests.get(1) and c.requests[1].state == c_.CALLING:
            made += 1
            events += [DependencyCallFinished(1, Outcome.OK, 0.1), DependencyCallNeeded(1)]
        c.requests[1].due = 100.0
        c.dues.clear()
        actions = c.handle(now, events)
        if of(actions, SkipDependency):
            c.handle(now, [DependencyCallNeeded(1)])
    assert c.calls_mean <= 0.4 and 5 < made < 45


def test_a_cold_instance_asks_for_less_from_the_start() -> None:
    c = started(slow_start=True)
    c.handle(0.1, [poll(0.0, 0.0)])
    assert c.said > 0.4
    for n in range(150):
        c.handle(0.2 + 0.1 * n, [poll(0.2, 1.0)])
    assert c.said < 0.05
    assert not of(started().handle(0.1, [poll(0.0, 0.0)]), PublishLoad)


def test_idle_connections_are_closed_where_many_callers_come_within_the_idle_span() -> None:
    for callers, closed in ((100, True), (3, False)):
        c = started()
        for n in range(100):
            c.handle(0.1 * n, [arrival(n, caller_id=n % callers), poll(0.2, 1.0)])
        assert (c.idle == c_.POLL) is closed
    c.handle(60.0, [poll(0.2, 1.0)])
    assert not c.caller_seen  # bounded: what is learned of callers is given up with their connections
    assert of(started(caller_count=1000).handle(0.1, [poll(0.2, 1.0)]), SetIdleTimeout) == [SetIdleTimeout(c_.POLL)]


def test_the_more_peers_would_refuse_the_sooner_a_refusal_says_last() -> None:
    for peers, last in ((10, False), (300, True)):
        c = started(peer_count=peers)
        now = saturate(c)
        c.steady = 0.1
        assert of(c.handle(now, [arrival(1, rank=0.01)]), Reject)[0].no_retry_elsewhere is last


def test_a_call_is_left_out_at_once_while_calls_take_well_over_their_base() -> None:
    for spent, skipped in ((0.02, []), (1.0, [2])):
        c = started(dependency_quota=1.0, cores=8)
        c.handle(0.1, [arrival(1, 2), arrival(2, 2), arrival(3, 2)])
        c.handle(0.2, [DependencyCallNeeded(3)])
        c.handle(0.3, [DependencyCallFinished(3, Outcome.OK, 0.02)])
        c.handle(0.4, [DependencyCallNeeded(3)])
        c.handle(0.5, [DependencyCallFinished(3, Outcome.OK, spent)])
        assert ids(c.handle(0.6, [DependencyCallNeeded(1), DependencyCallNeeded(2)]), SkipDependency) == skipped


def test_the_time_a_caller_gives_is_forgotten_with_its_connection() -> None:
    c = started()
    c.handle(0.0, [arrival(1, deadline=8.0)])
    c.handle(0.1, [arrival(2, deadline=2.1, is_retry=True)])
    assert c.requests[2].aim_at == pytest.approx(0.1 + 2.0 - 6.0)
    c.handle(20.0, [poll(0.2, 1.0)])
    c.handle(20.1, [arrival(3, deadline=22.1, is_retry=True)])
    assert c.requests[3].aim_at == pytest.approx(22.1)
