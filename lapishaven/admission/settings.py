"""Settings of one server instance: request classes, tenants, limits and what the platform supports.

Times are seconds, memory is kilobytes.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """What running a request twice would do."""

    IDEMPOTENT = "safe"
    WITH_KEY = "keyed"
    NOT_IDEMPOTENT = "unsafe"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A request class."""

    name: str
    latency_objective: float
    deadline: float
    priority_weight: float
    idempotency: Idempotency
    late_weight: float
    idempotency_window: float | None
    calls_dependency: bool
    degraded_weight: float
    objective_per_cost: float | None = None


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and the rate, over the whole fleet, that is inside its share."""

    name: str
    quota: float


@dataclass(frozen=True, slots=True)
class Settings:
    """All that an instance is told at its start."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...]
    cores: int
    memory_kb: float
    running_memory_factor: float
    key_entry_kb: float
    peer_count: int
    caller_count: int
    slow_start: bool
    slow_start_span: float
    slow_start_initial_speed: float
    collapse_concurrency: float
    collapse_span: float
    drain_grace: float
    response_slack: float
    over_quota_weight: float
    weight_per_request: bool
    max_retry_after: float | None  # longest stay-away advice that is followed; None: advice is not passed on
    load_signal: str | None  # "level", "window", "weight" or None
    load_signal_ttl: float
    cancellation: str | None  # "abort", "pause" or None
    result_freshness: float
    dependency_quota: float | None
    dependency_window: float
    dependency_linger: float
    propagates_deadline: bool
    reports_cancellation: bool
    marks_retries: bool
    deep_health_checks: bool
    registry_follows_health: bool
    idle_timeout: float | None


def check_settings(settings: Settings) -> None:
    """Raise ``ValueError`` if an instance cannot work with these settings."""
    if settings.cores < 1 or not settings.classes or settings.memory_kb <= 0:
        raise ValueError("settings need at least one core, one class and some memory")
    if any(c.latency_objective <= 0 or c.deadline <= 0 or c.priority_weight < 0 for c in settings.classes):
        raise ValueError("each class needs an aim and a deadline above 0 and a worth of 0 or more")


def check_reload(old: Settings, new: Settings) -> None:
    """Raise ``ValueError`` if ``new`` may not replace ``old`` while requests are open."""
    if len(new.classes) < len(old.classes) or len(new.tenants) != len(old.tenants):
        raise ValueError("classes keep their numbers, and tenants stay")
