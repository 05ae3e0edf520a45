"""Builders of settings and events, and filters of actions, for tests of the controller."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from lapishaven.admission import (
    Action,
    Controller,
    Idempotency,
    LoadSample,
    RequestArrived,
    RequestClass,
    Settings,
    Tenant,
)

SAFE = RequestClass("safe", 2.0, 8.0, 1.0, Idempotency.IDEMPOTENT, 0.2, None, False, 0.0)
KEYED = RequestClass("keyed", 1.0, 3.0, 3.0, Idempotency.WITH_KEY, 0.0, 8.0, False, 0.0)
CALLING = RequestClass("calling", 2.0, 8.0, 1.0, Idempotency.IDEMPOTENT, 0.0, None, True, 0.5)
MUST_CALL = RequestClass("must call", 2.0, 8.0, 1.0, Idempotency.WITH_KEY, 0.0, 8.0, True, 0.0)

BASE = Settings(
    classes=(SAFE, KEYED, CALLING, MUST_CALL),
    tenants=(Tenant("a", 1000.0), Tenant("b", 1000.0)),
    cores=4,
    memory_kb=100_000.0,
    running_memory_factor=16.0,
    key_entry_kb=100.0,
    peer_count=10,
    caller_count=3,
    slow_start=False,
    slow_start_span=10.0,
    slow_start_initial_speed=0.2,
    collapse_concurrency=5.0,
    collapse_span=2.0,
    drain_grace=2.0,
    response_slack=0.06,
    over_quota_weight=0.1,
    weight_per_work=False,
    max_retry_after=1.0,
    load_signal="level",
    load_signal_ttl=1.0,
    cancellation=None,
    result_freshness=0.0,
    dependency_quota=5.0,
    dependency_window=5.0,
    dependency_linger=0.2,
    propagates_deadline=False,
    reports_cancellation=True,
    marks_retries=False,
    deep_health_checks=False,
    registry_follows_health=True,
    idle_timeout=15.0,
)


def settings(**changes: Any) -> Settings:
    return replace(BASE, **changes)


def arrival(request_id: int, class_index: int = 0, **changes: Any) -> RequestArrived:
    base = RequestArrived(request_id, 30.0, 0, None, 0, 0.0, False, False, class_index, 0.5, None, None, None)
    return replace(base, **changes)


def load_sample(cpu_utilization: float = 0.5, runnable: float = 1.0) -> LoadSample:
    return LoadSample(0, cpu_utilization, runnable, 0.1, 5.0)


def actions_of(actions: list[Action], *types: type) -> list[Any]:
    return [action for action in actions if isinstance(action, types)]


def request_ids(actions: list[Action], *types: type) -> list[int]:
    return [action.request_id for action in actions_of(actions, *types)]


def started_controller(**changes: Any) -> Controller:
    controller = Controller(settings(**changes), 1)
    controller.handle(0.0, [])
    return controller


def saturate(controller: Controller, now: float = 0.0, queued: int = 40, first_id: int = 10_000) -> float:
    """Fill the cores and the queue, then send samples of busy cores for a whole window; return the new time."""
    controller.handle(now, [arrival(first_id + n, rank=0.999) for n in range(queued)])
    for _ in range(10):
        now += 0.1
        controller.handle(now, [load_sample(1.0, 8.0)])
    return now
