"""Settings of one server instance: request classes, tenants, limits and what the platform supports.

Times are seconds, memory is kilobytes. Settings are plain values; ``check_settings`` says whether they make sense.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """What running a request twice would do."""

    IDEMPOTENT = "safe"
    """The same as running it once."""
    WITH_KEY = "keyed"
    """Its effect twice; callers send an idempotency key, so that duplicates are recognized and may be retried."""
    NOT_IDEMPOTENT = "unsafe"
    """Its effect twice; callers retry only what was rejected."""


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A request class. Requests name it by its index in ``Settings.classes``."""

    name: str
    """Unique among the classes."""
    latency_objective: float
    """Seconds after its first attempt within which an answer earns the full weight; above 0."""
    deadline: float
    """Seconds for which a client waits in total, for all attempts together; above 0."""
    priority_weight: float
    """What one request is worth; 0 or more."""
    idempotency: Idempotency
    """Whether requests of the class may run twice."""
    late_weight: float
    """The part of the weight that an answer earns between the latency objective and the deadline, 0 to 1."""
    idempotency_window: float | None
    """Seconds after its arrival within which a request may be retried; ``None``: until its deadline."""
    calls_dependency: bool
    """Whether its runs may call the shared dependency."""
    degraded_weight: float
    """The part of the weight that an answer without the dependency call earns; 0 if the call may not be skipped."""
    objective_per_cost: float | None = None
    """Seconds by which the objective grows for each second of a request's cost hint; ``None``: it does not grow."""


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant. Requests name it by its index in ``Settings.tenants``."""

    name: str
    """For people."""
    quota: float
    """Requests a second, over the whole fleet, that are inside its quota."""


@dataclass(frozen=True, slots=True)
class Settings:
    """All that an instance is told at its start."""

    classes: tuple[RequestClass, ...]
    """At least one."""
    tenants: tuple[Tenant, ...]
    """Empty at a site without tenants."""
    cores: int
    """Cores of the instance, at least 1; their speed is not known."""
    memory_kb: float
    """Memory for open requests and idempotency keys, above 0."""
    running_memory_factor: float
    """Memory of a running or paused request as a multiple of what it takes while it is queued."""
    key_entry_kb: float
    """Memory of an entry in the idempotency key table."""
    peer_count: int
    """Instances of the fleet at the start, this one included."""
    caller_count: int
    """Callers of the fleet at the start."""
    slow_start: bool
    """Whether the instance has just started and warms up."""
    slow_start_span: float
    """Seconds after the start at which it is warm at the latest."""
    slow_start_initial_speed: float
    """The least part of its speed that it starts with, 0 to 1."""
    collapse_concurrency: float
    """Running requests per core, in the mean of ``collapse_span``, above which a warm instance collapses."""
    collapse_span: float
    """Seconds over which the concurrency is averaged."""
    drain_grace: float
    """Seconds after a drain request; what arrives later must not run."""
    response_slack: float
    """Seconds after its deadline at which an answer still counts."""
    over_quota_weight: float
    """The part of its weight that a request beyond its tenant's quota earns, 0 to 1."""
    weight_per_work: bool
    """Whether the weight of a class counts for each unit of work, not for each request."""
    max_retry_after: float | None
    """The longest Retry-After that callers follow, in seconds; ``None``: callers are not told any."""
    load_signal: str | None
    """What callers understand as the published load.

    ``"level"``: the rank below which they send nothing, 0 to 1. ``"window"``: requests that each may have open here.
    ``"weight"``: the probability of choosing this instance, 0 to 1. ``None``: there is no signal.
    """
    load_signal_ttl: float
    """Seconds for which a caller remembers a published load."""
    cancellation: str | None
    """What cancelling a run does: ``"abort"``, ``"pause"``, or ``None`` if it is not possible."""
    result_freshness: float
    """Seconds for which the result of a read may answer its duplicates; 0: not at all."""
    dependency_quota: float | None
    """Mean number of dependency calls that this instance may have in flight; ``None``: there is no quota."""
    dependency_window: float
    """Seconds over which the calls in flight are averaged."""
    dependency_linger: float
    """Seconds for which a call that was given up goes on at the dependency, at most."""
    propagates_deadline: bool
    """Whether requests say when their caller stops waiting."""
    reports_cancellation: bool
    """Whether the host reports that a caller has given up."""
    marks_retries: bool
    """Whether callers mark retries."""
    deep_health_checks: bool
    """Whether health checks do real work unless they are answered from a stored state."""
    registry_follows_health: bool
    """Whether the service registry lists the instance by its health checks."""
    idle_timeout: float | None
    """Seconds after which callers close idle connections; ``None``: not at all."""


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
