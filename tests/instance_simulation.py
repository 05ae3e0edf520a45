"""One instance in simulated time: the Controller, with or without Pools, over the lab's model of a machine's cores."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from helpers import settings

from lapishaven.admission import (
    Action,
    CancelRun,
    Controller,
    Event,
    Fail,
    Idempotency,
    LoadSample,
    Outcome,
    Reject,
    RequestArrived,
    RequestClass,
    RunFinished,
    StartRun,
)
from lapishaven.lab.interpreter import Box, Cores, Work
from lapishaven.pools import Pools, PoolSettings

STEP_S = 0.02
STEPS_PER_SAMPLE = 5  # a load sample each 100 ms


@dataclass(frozen=True, slots=True)
class SiteClass:
    """A request class, its share of the requests, and the lognormal distribution of its work."""

    request_class: RequestClass
    share: float
    mean_work_s: float
    variation: float = 0.8


@dataclass(slots=True)
class Sent:
    """One request that was sent: its class, when it arrived, and when it was answered with a result."""

    class_index: int
    arrived_at: float
    served_at: float | None = None
    answered: bool = False


SAFE, UNSAFE = Idempotency.IDEMPOTENT, Idempotency.NOT_IDEMPOTENT
MATCH_SITE = (
    SiteClass(RequestClass("fuzzy-match", 1.5, 5.6, 1.0, SAFE, 0.0, None, False, 0.0), 0.42, 0.388),
    SiteClass(RequestClass("segment-save", 1.5, 4.5, 1.0, SAFE, 0.2, None, False, 0.0), 0.42, 0.236),
    SiteClass(RequestClass("approve-commit", 1.1, 3.8, 3.0, UNSAFE, 0.0, None, False, 0.0), 0.16, 0.236),
)
POSTAL_SITE = (
    SiteClass(RequestClass("route-lookup", 1.8, 4.5, 1.0, SAFE, 0.0, None, False, 0.0), 0.41, 0.3),
    SiteClass(RequestClass("status-set", 1.8, 4.5, 1.0, SAFE, 0.0, None, False, 0.0), 0.41, 0.3),
    SiteClass(RequestClass("handover", 1.8, 4.5, 10.0, UNSAFE, 0.0, None, False, 0.0), 0.18, 0.3),
)


@dataclass
class InstanceSimulation:
    """``load``: arriving work as a fraction of what the warm machine does. ``factor`` of ``cores`` slows it down."""

    site: Sequence[SiteClass]
    box: Box
    seed: int
    load: float = 0.25
    cold: bool = False
    pool_rules: PoolSettings | None = None
    now: float = 0.0
    sent: dict[int, Sent] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        classes = tuple(site_class.request_class for site_class in self.site)
        self.settings = settings(
            classes=classes, tenants=(), cores=self.box.cores, slow_start=self.cold, cancellation="pause"
        )
        pools = Pools(self.pool_rules, self.settings) if self.pool_rules is not None else None
        self.controller = Controller(self.settings, self.seed, pools)
        works = {site_class.request_class.name: Work(1.0, 1.0) for site_class in self.site}
        self.cores = Cores(self.box, works, self.random, 0.0, self.cold)
        mean_work_s = sum(site_class.share * site_class.mean_work_s for site_class in self.site)
        self._rate = self.load * self.box.cores * self.box.speed / mean_work_s
        self._next_arrival = 0.0
        self._steps = 0

    def run(self, seconds: float) -> None:
        """Play this long."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self._steps += 1
            events = self._ended_runs() + self._arrivals()
            if self._steps % STEPS_PER_SAMPLE == 0:
                runnable = float(self.cores.on_cores)
                events.append(LoadSample(0, min(1.0, runnable / self.box.cores), runnable, 0.1, 10.0))
            if events:
                self._carry_out(self.controller.handle(self.now, events))

    def served_share(self, class_index: int, since: float, until: float) -> float:
        """The fraction of a class's requests that arrived in an interval and were answered with a result."""
        watched = [
            one for one in self.sent.values() if one.class_index == class_index and since <= one.arrived_at < until
        ]
        return sum(one.served_at is not None for one in watched) / len(watched)

    def _arrivals(self) -> list[Event]:
        events: list[Event] = []
        while self._next_arrival <= self.now:
            self._next_arrival += self.random.expovariate(self._rate)
            index = self.random.choices(range(len(self.site)), [one.share for one in self.site])[0]
            request_id = len(self.sent) + 1
            self.sent[request_id] = Sent(index, self.now)
            events.append(RequestArrived(request_id, 16.0, 0, None, 1, 0.0, False, False, index, 0.0, None, None, None))
        return events

    def _ended_runs(self) -> list[Event]:
        events: list[Event] = []
        for run in self.cores.step(self.now):
            one = self.sent[int(run.handle)]
            if not one.answered:
                one.answered, one.served_at = True, self.now
            events.append(RunFinished(int(run.handle), self.now - run.started_at, Outcome.OK))
        return events

    def _carry_out(self, actions: list[Action]) -> None:
        events: list[Event] = []
        for action in actions:
            if isinstance(action, StartRun):
                self._start(action.request_id)
            elif isinstance(action, CancelRun):
                run = self.cores.runs.pop(str(action.request_id), None)
                if run is not None:
                    events.append(RunFinished(action.request_id, self.now - run.started_at, Outcome.CANCELLED))
            elif isinstance(action, Reject | Fail):
                self.sent[action.request_id].answered = True
        if events:
            self._carry_out(self.controller.handle(self.now, events))

    def _start(self, request_id: int) -> None:
        one = self.sent[request_id]
        site_class = self.site[one.class_index]
        self.cores.start(self.now, str(request_id), site_class.request_class.name, b"")
        spread = math.sqrt(math.log(1.0 + site_class.variation**2))
        work = self.random.lognormvariate(math.log(site_class.mean_work_s) - spread**2 / 2, spread)
        self.cores.runs[str(request_id)].work_left_s = work
