"""Tests of the admission rules, one for each failure that was found."""

from __future__ import annotations

import pytest
from helpers import actions_of, arrival, load_sample, request_ids, saturate, started_controller

from lapishaven.admission import (
    Controller,
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
from lapishaven.admission.concurrency_limit import DECREASE_FACTOR, MAX_RUNNABLE_PER_CORE
from lapishaven.admission.load_measurement import POLL_INTERVAL_S, WINDOW_SAMPLES
from lapishaven.admission.load_signal import SUSTAINED_OVERLOAD
from lapishaven.admission.rejection_probability import LOWER_LOAD, UPPER_LOAD
from lapishaven.admission.request import RequestState


def set_run_latency(controller: Controller, mean: float, baseline: float) -> None:
    """Set the run latency estimate of the first class, in seconds."""
    estimate = controller.rules.run_latency.estimates[0]
    estimate.mean = mean
    estimate.baseline = baseline


@pytest.mark.parametrize(
    ("utilization", "probability"),
    [(0.0, 0.0), (LOWER_LOAD, 0.0), (0.99, (0.99 - LOWER_LOAD) / (UPPER_LOAD - LOWER_LOAD))],
)
def test_rejection_probability_is_linear_in_the_average_load(utilization: float, probability: float) -> None:
    controller = started_controller()
    for step in range(WINDOW_SAMPLES):
        controller.handle(0.1 * step, [load_sample(utilization, 4.0)])
    assert controller.rules.shedding.probability == pytest.approx(probability)


def test_old_samples_leave_the_window() -> None:
    controller = started_controller()
    for step in range(10):
        controller.handle(0.1 * step, [arrival(step + 1, age=1.5, rank=0.999), load_sample(1.0, 4.0)])
    assert controller.rules.shedding.probability > 0.9
    for step in range(WINDOW_SAMPLES):
        controller.handle(5.0 + 0.1 * step, [load_sample(0.5, 2.0)])
    assert controller.rules.shedding.probability == 0.0


def test_nothing_is_rejected_before_the_first_sample() -> None:
    assert not actions_of(started_controller().handle(0.1, [arrival(n, rank=0.001) for n in range(1, 100)]), Reject)


def test_load_is_shed_only_while_work_is_queued_and_cores_are_full() -> None:
    controller = started_controller()
    now = saturate(controller, queued=200)
    assert request_ids(controller.handle(now, [arrival(1, rank=0.01)]), Reject) == [1]
    controller.handle(now, [load_sample(0.5, 2.0)])
    assert not actions_of(controller.handle(now, [arrival(2, rank=0.01)]), Reject)


def test_a_retry_meets_the_same_decision_as_the_first_attempt() -> None:
    controller = started_controller()
    now = saturate(controller, queued=10)
    assert 0.0 < controller.rules.shedding.probability < 1.0
    low, high = controller.rules.shedding.probability / 8, 0.249
    assert request_ids(controller.handle(now, [arrival(n, rank=low) for n in range(1, 9)]), Reject) == list(range(1, 9))
    assert not actions_of(controller.handle(now, [arrival(n, rank=high) for n in range(11, 19)]), Reject)


def test_the_limit_grows_while_cores_are_idle_and_work_is_queued() -> None:
    controller = started_controller()
    controller.handle(0.0, [arrival(n, rank=0.999) for n in range(40)])
    assert controller.rules.concurrency.limit == 4.0
    controller.handle(0.1, [load_sample(0.5, 2.0)])
    assert controller.rules.concurrency.limit == 5.0
    controller.handle(0.2, [load_sample(1.0, 8.0)])
    assert controller.rules.concurrency.limit == 5.0


def test_the_limit_is_cut_when_latency_is_inflated_but_not_below_the_cores() -> None:
    controller = started_controller()
    controller.rules.concurrency.limit = 10.0
    set_run_latency(controller, mean=1.0, baseline=0.2)
    controller.handle(0.1, [load_sample(1.0, 8.0)])
    assert controller.rules.concurrency.limit == pytest.approx(10.0 * DECREASE_FACTOR)
    for step in range(10):
        controller.handle(0.2 + step * 0.1, [load_sample(1.0, 8.0)])
    assert controller.rules.concurrency.limit == 4.0


def test_a_stale_latency_does_not_keep_the_limit_low_while_cores_are_idle() -> None:
    controller = started_controller()
    controller.handle(0.0, [arrival(n, rank=0.999) for n in range(40)])
    set_run_latency(controller, mean=1.0, baseline=0.2)
    for step in range(1, 5):
        controller.handle(0.1 * step, [load_sample(0.6, 3.0)])
    assert controller.rules.concurrency.limit > 8.0


def test_delayed_reads_count_as_load() -> None:
    controller = started_controller()
    for step in range(10):
        controller.handle(0.1 * step, [arrival(step + 1, age=1.5, rank=0.999), load_sample(1.0, 4.0)])
    assert controller.rules.shedding.probability == 1.0


def test_an_instance_that_reads_requests_after_every_latency_objective_is_unhealthy_until_it_recovers() -> None:
    controller = started_controller()
    # Only some of the objectives have passed.
    assert not actions_of(controller.handle(1.0, [arrival(1, age=1.5), load_sample(1.0, 4.0)]), SetHealth)
    assert actions_of(controller.handle(1.1, [arrival(2, age=3.0), load_sample(1.0, 4.0)]), SetHealth) == [
        SetHealth(False)
    ]
    for step in range(80):
        health_changes = actions_of(controller.handle(1.2 + 0.1 * step, [load_sample(0.2, 1.0)]), SetHealth)
        if health_changes:
            break
    assert health_changes == [SetHealth(True)]


def test_a_full_instance_that_reads_in_time_stays_healthy() -> None:
    controller = started_controller()
    controller.handle(0.0, [arrival(n, rank=0.999) for n in range(200)])
    assert not any(actions_of(controller.handle(0.1 * n, [load_sample(1.0, 8.0)]), SetHealth) for n in range(1, 30))


def test_the_published_signal_is_smoothed() -> None:
    controller = started_controller()
    saturate(controller, queued=200)
    assert controller.rules.shedding.probability > 0.9 and 0.0 < controller.rules.signal.published < 0.6


def test_only_marked_retries_count_from_their_first_attempt() -> None:
    controller = started_controller()
    controller.handle(0.0, [arrival(1, deadline=8.0)])
    controller.handle(0.0, [arrival(2, deadline=4.0), arrival(3, deadline=4.0, is_retry=True)])
    assert controller.rules.table.requests[2].objective_at == pytest.approx(2.0)
    assert controller.rules.table.requests[3].objective_at == pytest.approx(-2.0)


def test_a_timed_out_dependency_call_is_skipped_where_a_degraded_answer_is_allowed() -> None:
    controller = started_controller()
    controller.handle(0.0, [arrival(1, class_index=2)])
    controller.handle(0.1, [DependencyCallNeeded(1)])
    assert request_ids(controller.handle(1.1, [DependencyCallFinished(1, Outcome.TIMEOUT, 1.0)]), SkipDependency) == [1]


def test_hopeless_requests_are_rejected_from_the_queue() -> None:
    controller = started_controller()
    controller.handle(0.0, [arrival(n, class_index=2) for n in range(1, 10)])
    assert len(request_ids(controller.handle(2.0, [load_sample(1.0, 4.0)]), Reject)) == 5


def test_the_published_window_shrinks_with_the_callers_that_share_it() -> None:
    published = {}
    for callers in (1, 8):
        controller = started_controller(load_signal="window", caller_count=callers)
        saturate(controller, queued=200)
        published[callers] = controller.rules.signal.published
    assert 0 < published[8] < published[1] / 2


def test_an_unused_limit_does_not_grow_and_runnable_runs_cut_it() -> None:
    controller = started_controller()
    controller.handle(0.0, [arrival(1)])
    controller.handle(0.1, [load_sample(0.3, 1.0)])
    assert controller.rules.concurrency.limit == 4.0
    controller.rules.concurrency.limit = 12.0
    controller.handle(0.2, [load_sample(1.0, 4 * MAX_RUNNABLE_PER_CORE + 1)])
    assert controller.rules.concurrency.limit == 12.0  # these threads are reading and handshakes, not runs
    controller.rules.table.counts[RequestState.RUNNING] = 4 * int(MAX_RUNNABLE_PER_CORE) + 1
    controller.handle(0.2, [load_sample(1.0, 4 * MAX_RUNNABLE_PER_CORE + 1)])
    assert controller.rules.concurrency.limit == pytest.approx(12.0 * DECREASE_FACTOR)


def test_rejections_forbid_retry_elsewhere_only_in_lasting_overload() -> None:
    controller = started_controller()
    now = saturate(controller, queued=200)
    controller.rules.signal.smoothed = SUSTAINED_OVERLOAD - 0.01
    assert not actions_of(controller.handle(now, [arrival(1, rank=0.01)]), Reject)[0].no_retry_elsewhere
    controller.rules.signal.smoothed = SUSTAINED_OVERLOAD + 0.01
    assert actions_of(controller.handle(now, [arrival(2, rank=0.01)]), Reject)[0].no_retry_elsewhere


def test_nothing_is_rejected_for_load_once_the_queue_is_empty() -> None:
    controller = started_controller()
    now = saturate(controller, queued=200)
    assert controller.rules.shedding.probability > 0.9
    for request in list(controller.rules.table.queued.values()):
        controller.rules.table.remove(request)
    controller.rules.load.read_delay = 0.11
    assert not actions_of(controller.handle(now, [arrival(1, rank=0.2)]), Reject)


def test_a_stall_with_idle_cores_counts_as_busy() -> None:
    controller = started_controller(collapse_concurrency=3.0)
    controller.handle(0.0, [arrival(n, rank=0.999) for n in range(60)])
    for step in range(1, 25):
        controller.handle(0.1 * step, [load_sample(0.0, 0.0)])
        controller.handle(0.1 * step, [arrival(100 * step + k, rank=0.999) for k in range(3)])
    assert controller.rules.shedding.probability > 0.9


def test_a_dependency_quota_below_one_call_holds_on_average() -> None:
    controller = started_controller(dependency_quota=0.4)
    controller.handle(0.0, [arrival(1, class_index=2, deadline=100.0)])
    calls_made, now = 0, 0.0
    controller.handle(0.05, [DependencyCallNeeded(1)])
    for step in range(1, 60):
        now = 0.1 * step
        events: list[Event] = [load_sample(0.5, 1.0)]
        if (
            controller.rules.table.requests.get(1)
            and controller.rules.table.requests[1].state == RequestState.CALLING_DEPENDENCY
        ):
            calls_made += 1
            events += [DependencyCallFinished(1, Outcome.OK, 0.1), DependencyCallNeeded(1)]
        actions = controller.handle(now, events)
        if actions_of(actions, SkipDependency):
            controller.handle(now, [DependencyCallNeeded(1)])
    assert controller.rules.dependency.mean_in_flight <= 0.4 and 5 < calls_made < 45


def test_an_instance_in_slow_start_publishes_load_from_the_start() -> None:
    controller = started_controller(slow_start=True)
    controller.handle(0.1, [load_sample(0.0, 0.0)])
    assert controller.rules.signal.published > 0.4
    for step in range(150):
        controller.handle(0.2 + 0.1 * step, [load_sample(0.2, 1.0)])
    assert controller.rules.signal.published < 0.05
    assert not actions_of(started_controller().handle(0.1, [load_sample(0.0, 0.0)]), PublishLoad)


def test_idle_connections_are_closed_early_with_many_callers() -> None:
    for callers, closed in ((100, True), (3, False)):
        controller = started_controller()
        for step in range(100):
            controller.handle(0.1 * step, [arrival(step, caller_id=step % callers), load_sample(0.2, 1.0)])
        assert (controller.rules.idle_timeout.current == POLL_INTERVAL_S) is closed
    controller.handle(60.0, [load_sample(0.2, 1.0)])
    assert not len(controller.rules.callers)  # callers are forgotten with their connections, so the table is bounded
    assert actions_of(started_controller(caller_count=1000).handle(0.1, [load_sample(0.2, 1.0)]), SetIdleTimeout) == [
        SetIdleTimeout(POLL_INTERVAL_S)
    ]


def test_rejections_forbid_retry_elsewhere_sooner_with_more_peers() -> None:
    for peers, expected in ((10, False), (300, True)):
        controller = started_controller(peer_count=peers)
        now = saturate(controller)
        controller.rules.signal.smoothed = 0.1
        assert actions_of(controller.handle(now, [arrival(1, rank=0.01)]), Reject)[0].no_retry_elsewhere is expected


def test_a_dependency_call_is_skipped_at_once_while_call_latency_is_inflated() -> None:
    for latency_s, skipped in ((0.02, []), (1.0, [2])):
        controller = started_controller(dependency_quota=1.0, cores=8)
        controller.handle(0.1, [arrival(1, 2), arrival(2, 2), arrival(3, 2)])
        controller.handle(0.2, [DependencyCallNeeded(3)])
        controller.handle(0.3, [DependencyCallFinished(3, Outcome.OK, 0.02)])
        controller.handle(0.4, [DependencyCallNeeded(3)])
        controller.handle(0.5, [DependencyCallFinished(3, Outcome.OK, latency_s)])
        assert (
            request_ids(controller.handle(0.6, [DependencyCallNeeded(1), DependencyCallNeeded(2)]), SkipDependency)
            == skipped
        )


def test_the_time_a_caller_allows_is_forgotten_with_its_connection() -> None:
    controller = started_controller()
    controller.handle(0.0, [arrival(1, deadline=8.0)])
    controller.handle(0.1, [arrival(2, deadline=2.1, is_retry=True)])
    assert controller.rules.table.requests[2].objective_at == pytest.approx(0.1 + 2.0 - 6.0)
    controller.handle(20.0, [load_sample(0.2, 1.0)])
    controller.handle(20.1, [arrival(3, deadline=22.1, is_retry=True)])
    assert controller.rules.table.requests[3].objective_at == pytest.approx(22.1)
