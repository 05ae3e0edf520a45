"""Processes load samples, ten per second: updates every rule that depends on the load."""

from __future__ import annotations

from lapishaven.admission.actions import Action, CancelRun, PublishLoad, ScheduleTimer, SetHealth, SetIdleTimeout
from lapishaven.admission.events import LoadSample
from lapishaven.admission.load_measurement import POLL_INTERVAL_S
from lapishaven.admission.request import CALLING_DEPENDENCY, RUNNING
from lapishaven.admission.rules import AdmissionRules

LOAD_TIMER_ID = 0


def schedule_load_sample(actions: list[Action]) -> None:
    """Schedule the next load sample."""
    actions.append(ScheduleTimer(POLL_INTERVAL_S, LOAD_TIMER_ID))


class LoadSampleHandler:
    """Processes load samples. The methods append to ``actions``."""

    __slots__ = ("_rules", "_table")

    def __init__(self, rules: AdmissionRules) -> None:
        self._rules = rules
        self._table = rules.table

    def handle(self, sample: LoadSample, now: float, actions: list[Action]) -> None:
        """Update the rules with a load sample."""
        rules = self._rules
        schedule_load_sample(actions)
        self._measure(sample, now)
        self._step_concurrency(sample, now)
        if rules.pools is not None:
            preempted = rules.pools.sample(now, sample)
            actions += [CancelRun(request_id) for request_id in preempted if request_id in self._table.requests]
        rules.dependency.update_mean(self._table.counts[CALLING_DEPENDENCY])
        rules.quotas.update()
        self.publish_load(actions)
        self._limit_idle_connections(now, actions)
        healthy = rules.health.update(rules.load.read_delay, rules.signal.smoothed, rules.drain.is_active)
        if healthy is not None:
            actions.append(SetHealth(healthy))

    def publish_load(self, actions: list[Action]) -> None:
        """Publish the load to callers if it has changed enough."""
        rules = self._rules
        value = rules.signal.update(rules.shedding.probability, rules.concurrency.limit, rules.drain.is_active)
        if value is not None:
            actions.append(PublishLoad(value))

    def _measure(self, sample: LoadSample, now: float) -> None:
        rules = self._rules
        queued = self._table.queued
        stalled = self._table.occupied_slots() + 1 > rules.concurrency.ceiling(now)
        rules.load.record_utilization(sample.cpu_utilization, stalled, bool(queued))
        rules.load.record_load(rules.load.current(queued.values(), rules.run_latency, rules.concurrency.limit))
        rules.shedding.update(rules.load.average())

    def _step_concurrency(self, sample: LoadSample, now: float) -> None:
        rules = self._rules
        rules.concurrency.step(
            now,
            utilization=rules.load.utilization,
            runnable=sample.runnable or 0.0,
            running=self._table.counts[RUNNING],
            has_queue=bool(self._table.queued),
            highest_inflation=rules.run_latency.highest_inflation(),
        )

    def _limit_idle_connections(self, now: float, actions: list[Action]) -> None:
        rules = self._rules
        rules.callers.forget_before(now - rules.idle_timeout.configured())
        timeout = rules.idle_timeout.update(len(rules.callers))
        if timeout is not None:
            actions.append(SetIdleTimeout(timeout))
