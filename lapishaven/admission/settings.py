"""Settings of one server instance: request classes, tenants, limits and the features of the platform.

Times are in seconds, memory sizes in kilobytes. Settings are plain values; ``check_settings`` validates them.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """The consequence of running a request twice."""

    IDEMPOTENT = "safe"
    """None: running it again has no further effect."""
    WITH_KEY = "keyed"
    """Its effect takes place twice. Callers send an idempotency key, so that duplicates are detected and may retry."""
    NOT_IDEMPOTENT = "unsafe"
    """Its effect takes place twice. Callers retry only rejected requests."""


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A request class. Requests refer to it by its index in ``Settings.classes``."""

    name: str
    """Unique among the classes."""
    latency_objective: float
    """Seconds after the first attempt within which an answer counts with its full weight; above 0."""
    deadline: float
    """Seconds that a client waits in total, over all attempts; above 0."""
    priority_weight: float
    """Weight of one request when classes compete for capacity; 0 or more."""
    idempotency: Idempotency
    """Whether requests of the class may run twice."""
    late_weight: float
    """The fraction of the weight of an answer between the latency objective and the deadline, 0 to 1."""
    idempotency_window: float | None
    """Seconds after its arrival within which a request may be retried; ``None``: until its deadline."""
    calls_dependency: bool
    """Whether its runs may call the shared dependency."""
    degraded_weight: float
    """The fraction of the weight of an answer without the dependency call; 0 if the call must not be skipped."""
    objective_per_cost: float | None = None
    """Seconds by which the objective grows for each second of a request's cost hint; ``None``: it does not grow."""


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant. Requests refer to it by its index in ``Settings.tenants``."""

    name: str
    """For people only."""
    quota: float
    """Requests per second that it may send to the whole fleet at full weight."""


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of an instance."""

    classes: tuple[RequestClass, ...]
    """At least one."""
    tenants: tuple[Tenant, ...]
    """Empty at a site without tenants."""
    cores: int
    """Cores of the instance, at least 1, of unknown speed."""
    memory_kb: float
    """Memory for open requests and idempotency keys, above 0."""
    running_memory_factor: float
    """Memory of a running or paused request as a multiple of its memory while queued."""
    key_entry_kb: float
    """Memory of an entry in the idempotency key table."""
    peer_count: int
    """Instances in the fleet at the start, including this one."""
    caller_count: int
    """Callers of the fleet at the start."""
    slow_start: bool
    """Whether the instance has just started and is warming up."""
    slow_start_span: float
    """Seconds after the start by which it is warm."""
    slow_start_initial_speed: float
    """The lowest fraction of its full speed that it may start with, 0 to 1."""
    collapse_concurrency: float
    """Running requests per core, averaged over ``collapse_span``, above which a warm instance collapses."""
    collapse_span: float
    """Seconds over which the concurrency is averaged."""
    drain_grace: float
    """Seconds after a drain request during which arriving requests may still run."""
    response_slack: float
    """Seconds after the deadline during which an answer still counts."""
    over_quota_weight: float
    """The fraction of the weight of a request that exceeds its tenant's quota, 0 to 1."""
    weight_per_work: bool
    """Whether the weight of a class applies per unit of work instead of per request."""
    max_retry_after: float | None
    """The longest Retry-After that callers honour, in seconds; ``None``: none is sent."""
    load_signal: str | None
    """The meaning of the published load value.

    ``"level"``: the rank below which callers send no requests, 0 to 1. ``"window"``: how many requests each caller may
    have open at this instance. ``"weight"``: the weight of this instance when callers choose one, 0 to 1. ``None``:
    no load is published.
    """
    load_signal_ttl: float
    """Seconds for which callers use a published load value."""
    cancellation: str | None
    """The effect of cancelling a run: ``"abort"``, ``"pause"``, or ``None`` if runs cannot be cancelled."""
    result_freshness: float
    """Seconds for which the result of a read may be reused for its duplicates; 0: never."""
    dependency_quota: float | None
    """Mean number of dependency calls that this instance may have in flight; ``None``: there is no quota."""
    dependency_window: float
    """Seconds over which the calls in flight are averaged."""
    dependency_linger: float
    """Seconds for which the dependency may go on working on an abandoned call."""
    propagates_deadline: bool
    """Whether requests carry the time at which their caller stops waiting."""
    reports_cancellation: bool
    """Whether the host reports that a caller no longer waits."""
    marks_retries: bool
    """Whether callers mark retries."""
    deep_health_checks: bool
    """Whether health checks do real work, except those that are answered from a stored state."""
    registry_follows_health: bool
    """Whether the service registry removes the instance from its list when health checks fail."""
    idle_timeout: float | None
    """Seconds after which callers close idle connections; ``None``: never."""


def check_settings(settings: Settings) -> None:
    """Raise ``ValueError`` if the settings are invalid."""
    if settings.cores < 1 or not settings.classes or settings.memory_kb <= 0:
        raise ValueError(
            "settings need at least one core, one class and more than 0 KB of memory; "
            f"found cores {settings.cores}, {len(settings.classes)} classes, memory {settings.memory_kb} KB"
        )
    if any(c.latency_objective <= 0 or c.deadline <= 0 or c.priority_weight < 0 for c in settings.classes):
        raise ValueError(
            "each class needs a latency objective (aim) and a deadline above 0 s and a weight (credit) of 0 or more; "
            f"found {[(c.name, c.latency_objective, c.deadline, c.priority_weight) for c in settings.classes]!s:.500}"
        )


def check_reload(old: Settings, new: Settings) -> None:
    """Raise ``ValueError`` if ``new`` may not replace ``old`` while requests are open."""
    if len(new.classes) < len(old.classes) or len(new.tenants) != len(old.tenants):
        raise ValueError(
            "reloaded settings must keep every class and the number of tenants: "
            f"had {len(old.classes)} classes and {len(old.tenants)} tenants, "
            f"found {len(new.classes)} classes and {len(new.tenants)} tenants"
        )
