"""A fleet in slow start under the load of all callers: no server runs more than it survives while it warms up.

Thirty real Controllers in simulated time, each before the laboratory's model of cores that warm up as slowly as the
settings allow. The rule: in the mean of ``collapse_span`` seconds at most cores x (1 + (collapse_concurrency - 1) x
speed) runs are on the cores.
"""

from __future__ import annotations

from collections import deque
from dataclasses import replace
from random import Random

import pytest
from helpers import SAFE, settings

from lapishaven.admission import (
    Controller,
    Event,
    Idempotency,
    LoadSample,
    Outcome,
    RequestArrived,
    RequestClass,
    RunFinished,
    Settings,
    StartRun,
)
from lapishaven.admission.concurrency_limit import ConcurrencyLimit
from lapishaven.lab.interpreter import Box, Cores, Work

SERVERS, CALLERS = 30, 24
TICK, POLL_EVERY = 0.02, 5  # s; ticks
LOOK_UP = replace(SAFE, name="look-up", latency_objective=1.5, deadline=5.6)
COMMIT = RequestClass("commit", 1.1, 3.8, 3.0, Idempotency.NOT_IDEMPOTENT, 0.0, None, False, 0.0)
WORKS = {"look-up": Work(0.2, 0.5), "commit": Work(0.15, 0.3)}


class ColdServer:
    """One Controller and its cores, from its start."""

    def __init__(self, rules: Settings, speed: float, seed: int) -> None:
        self.rules, self.random = rules, Random(seed)
        self.controller = Controller(rules, seed)
        box = Box(
            cores=rules.cores,
            speed=speed,
            cold_from=rules.slow_start_initial_speed,
            cold_span=rules.slow_start_span,
            memory_runs=1e9,
        )
        self.cores = Cores(box, WORKS, Random(seed + 1), 0.0, True)
        self.events: list[Event] = []
        self.last = 0
        self.counts: deque[int] = deque(maxlen=round(rules.collapse_span / TICK))
        self.worst = 0.0  # highest mean concurrency, as a part of what is survived

    def arrive(self, cls: int, caller: int) -> None:
        self.last += 1
        rank = self.random.random()
        self.events.append(
            RequestArrived(self.last, 20.0, 0, None, caller, 0.0, False, cls == 1, cls, rank, None, None, None)
        )

    def step(self, now: float, poll: bool) -> None:
        for run in self.cores.step(now):
            self.events.append(RunFinished(int(run.handle), now - run.began, Outcome.OK))
        if poll:
            self.events.append(LoadSample(0, self.cores.used, float(self.cores.on_cores), 0.2, 10.0))
        events, self.events = self.events, []
        for action in self.controller.handle(now, events):
            if isinstance(action, StartRun):
                cls = self.controller.rules.table.requests[action.request_id].class_index
                self.cores.start(now, str(action.request_id), self.rules.classes[cls].name, b"")
        self._judge(now)

    def _judge(self, now: float) -> None:
        self.counts.append(self.cores.on_cores)
        share = min(
            1.0,
            self.rules.slow_start_initial_speed
            + (1.0 - self.rules.slow_start_initial_speed) * now / self.rules.slow_start_span,
        )
        survived = self.rules.cores * (1.0 + (self.rules.collapse_concurrency - 1.0) * share)
        if len(self.counts) == self.counts.maxlen:
            self.worst = max(self.worst, sum(self.counts) / len(self.counts) / survived)


@pytest.mark.parametrize(
    ("cores", "fall_multiple", "fall_span", "cold_from", "cold_span"),
    [(6, 6.0, 1.5, 0.24, 17.0), (6, 5.0, 2.0, 0.3, 10.0), (3, 4.0, 1.0, 0.24, 8.0), (1, 2.0, 0.5, 0.1, 17.0)],
)
@pytest.mark.parametrize("load", [1.0, 3.0])
@pytest.mark.parametrize("limited", [True, False])
def test_no_server_in_slow_start_collapses_under_the_load_of_all_callers(
    cores: int,
    fall_multiple: float,
    fall_span: float,
    cold_from: float,
    cold_span: float,
    load: float,
    limited: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a slow start that holds for each caller alone and not for their sum, at ``load`` times what the
    warm fleet can do, and with every caller's first requests in one burst. Without the stepped limit (``limited``
    off) the ceiling of slow start alone must keep the rule."""
    if not limited:
        monkeypatch.setattr(ConcurrencyLimit, "step", lambda self, now, **inputs: setattr(self, "limit", 1e9))
    rules = settings(
        classes=(LOOK_UP, COMMIT),
        tenants=(),
        cores=cores,
        collapse_concurrency=fall_multiple,
        collapse_span=fall_span,
        slow_start=True,
        slow_start_initial_speed=cold_from,
        slow_start_span=cold_span,
        memory_kb=1e9,
        load_signal=None,
        dependency_quota=None,
        caller_count=CALLERS,
        peer_count=SERVERS,
    )
    random = Random(7)
    servers = [ColdServer(rules, random.choice((0.6, 1.2)), 100 + n) for n in range(SERVERS)]
    for caller in range(CALLERS):
        for _ in range(SERVERS):
            random.choice(servers).arrive(int(random.random() < 0.16), caller)
    rate = load * SERVERS * cores * 0.9 / 0.33  # requests a second at the fleet
    now = due = 0.0
    asked = 0
    for tick in range(round(min(cold_span, 10.0) / TICK)):
        while due <= now:
            due += random.expovariate(rate)
            caller = random.randrange(CALLERS)
            random.choice(servers).arrive(int(random.random() < 0.16), caller)
            asked += 1
        for server in servers:
            server.step(now, tick % POLL_EVERY == 0)
        now += TICK
    assert max(server.worst for server in servers) <= 1.0
    assert min(server.worst for server in servers) > 0.1, "each was under load"
    assert asked > 500
