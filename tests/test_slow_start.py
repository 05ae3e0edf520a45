"""A whole fleet in slow start under the load of all callers: no server exceeds its sustainable concurrency.

Thirty real Controllers run in simulated time, each with the lab's model of cores that warm up as slowly as the settings
allow. The invariant: averaged over ``collapse_span`` seconds, at most cores x (1 + (collapse_concurrency - 1) x speed)
runs are on the cores.
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
TICK_S, POLL_EVERY_TICKS = 0.02, 5
LOOK_UP = replace(SAFE, name="look-up", latency_objective=1.5, deadline=5.6)
COMMIT = RequestClass("commit", 1.1, 3.8, 3.0, Idempotency.NOT_IDEMPOTENT, 0.0, None, False, 0.0)
WORKS = {"look-up": Work(0.2, 0.5), "commit": Work(0.15, 0.3)}


class ColdServer:
    """One Controller and its cores, beginning with its start."""

    def __init__(self, rules: Settings, speed: float, seed: int) -> None:
        self.rules, self.random = rules, Random(seed)
        self.controller = Controller(rules, seed)
        box = Box(
            cores=rules.cores,
            speed=speed,
            cold_from=rules.slow_start_initial_speed,
            cold_span_s=rules.slow_start_span,
            memory_runs=1e9,
        )
        self.cores = Cores(box, WORKS, Random(seed + 1), 0.0, True)
        self.events: list[Event] = []
        self.last_request_id = 0
        self.run_counts: deque[int] = deque(maxlen=round(rules.collapse_span / TICK_S))
        self.worst_load = 0.0  # highest mean concurrency as a fraction of the sustainable one

    def arrive(self, class_index: int, caller: int) -> None:
        self.last_request_id += 1
        rank = self.random.random()
        self.events.append(
            RequestArrived(
                self.last_request_id,
                20.0,
                0,
                None,
                caller,
                0.0,
                False,
                class_index == 1,
                class_index,
                rank,
                None,
                None,
                None,
            )
        )

    def step(self, now: float, send_sample: bool) -> None:
        for run in self.cores.step(now):
            self.events.append(RunFinished(int(run.handle), now - run.started_at, Outcome.OK))
        if send_sample:
            self.events.append(LoadSample(0, self.cores.core_use, float(self.cores.on_cores), 0.2, 10.0))
        events, self.events = self.events, []
        for action in self.controller.handle(now, events):
            if isinstance(action, StartRun):
                class_index = self.controller.rules.table.requests[action.request_id].class_index
                self.cores.start(now, str(action.request_id), self.rules.classes[class_index].name, b"")
        self._record_load(now)

    def _record_load(self, now: float) -> None:
        self.run_counts.append(self.cores.on_cores)
        speed = min(
            1.0,
            self.rules.slow_start_initial_speed
            + (1.0 - self.rules.slow_start_initial_speed) * now / self.rules.slow_start_span,
        )
        sustainable = self.rules.cores * (1.0 + (self.rules.collapse_concurrency - 1.0) * speed)
        if len(self.run_counts) == self.run_counts.maxlen:
            self.worst_load = max(self.worst_load, sum(self.run_counts) / len(self.run_counts) / sustainable)


@pytest.mark.parametrize(
    ("cores", "collapse_concurrency", "collapse_span", "initial_speed", "slow_start_span"),
    [(6, 6.0, 1.5, 0.24, 17.0), (6, 5.0, 2.0, 0.3, 10.0), (3, 4.0, 1.0, 0.24, 8.0), (1, 2.0, 0.5, 0.1, 17.0)],
)
@pytest.mark.parametrize("load", [1.0, 3.0])
@pytest.mark.parametrize("limited", [True, False])
def test_no_server_in_slow_start_collapses_under_the_load_of_all_callers(
    cores: int,
    collapse_concurrency: float,
    collapse_span: float,
    initial_speed: float,
    slow_start_span: float,
    load: float,
    limited: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a slow start that limits each caller but not their sum.

    The load is ``load`` times the capacity of the warm fleet, and each caller sends its first requests in one burst.
    Without the adaptive limit (``limited`` is false) the ceiling of slow start alone must keep the invariant.
    """
    if not limited:
        monkeypatch.setattr(ConcurrencyLimit, "step", lambda self, now, **inputs: setattr(self, "limit", 1e9))
    rules = settings(
        classes=(LOOK_UP, COMMIT),
        tenants=(),
        cores=cores,
        collapse_concurrency=collapse_concurrency,
        collapse_span=collapse_span,
        slow_start=True,
        slow_start_initial_speed=initial_speed,
        slow_start_span=slow_start_span,
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
    rate = load * SERVERS * cores * 0.9 / 0.33  # requests per second of the fleet
    now = next_arrival_at = 0.0
    request_count = 0
    for tick in range(round(min(slow_start_span, 10.0) / TICK_S)):
        while next_arrival_at <= now:
            next_arrival_at += random.expovariate(rate)
            caller = random.randrange(CALLERS)
            random.choice(servers).arrive(int(random.random() < 0.16), caller)
            request_count += 1
        for server in servers:
            server.step(now, tick % POLL_EVERY_TICKS == 0)
        now += TICK_S
    assert max(server.worst_load for server in servers) <= 1.0
    assert min(server.worst_load for server in servers) > 0.1, "every server was under load"
    assert request_count > 500
