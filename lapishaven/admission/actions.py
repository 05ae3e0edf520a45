"""Actions that the controller asks its host to carry out.

Times are seconds. An action on a request that has ended does nothing.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StartRun:
    """Start the run of a request, or resume it after a pause."""

    request_id: int
    """The request."""


@dataclass(frozen=True, slots=True)
class Reject:
    """Answer a request that never ran with a rejection; it may be retried."""

    request_id: int
    """The request."""
    reason: str
    """For people and counters, not for callers."""
    retry_after: float | None = None
    """Seconds for which the caller is to stay away; ``None`` if it is not told any."""
    no_retry_elsewhere: bool = False
    """Whether the caller is asked not to retry at another instance."""


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer a request with an error. It may have run and had its effect."""

    request_id: int
    """The request."""
    reason: str
    """For people and counters, not for callers."""


@dataclass(frozen=True, slots=True)
class CancelRun:
    """Cancel a run, as ``Settings.cancellation`` says; its end comes as ``RunFinished``."""

    request_id: int
    """The request."""


@dataclass(frozen=True, slots=True)
class CallDependency:
    """Make the dependency call that a request needs; its end comes as ``DependencyCallFinished``."""

    request_id: int
    """The request."""
    timeout: float
    """Seconds after which the call is given up."""


@dataclass(frozen=True, slots=True)
class SkipDependency:
    """Go on without the dependency call and give a degraded answer."""

    request_id: int
    """The request."""


@dataclass(frozen=True, slots=True)
class ReserveKey:
    """Enter a request in the idempotency key table, before its run."""

    request_id: int
    """The request."""
    ttl: float
    """Seconds for which the entry is kept."""


@dataclass(frozen=True, slots=True)
class ReleaseKey:
    """Remove the entry of a request that never ran from the idempotency key table."""

    request_id: int
    """The request."""


@dataclass(frozen=True, slots=True)
class AwaitOriginal:
    """Answer a duplicate with the result of the request that it repeats."""

    request_id: int
    """The request."""


@dataclass(frozen=True, slots=True)
class SetHealth:
    """Answer health checks in this way from now on."""

    healthy: bool
    """Whether the checks pass."""


@dataclass(frozen=True, slots=True)
class PublishLoad:
    """Tell callers of the load from now on."""

    value: float
    """A level, window or weight, as ``Settings.load_signal`` says."""


@dataclass(frozen=True, slots=True)
class SetIdleTimeout:
    """Close connections that are idle for so long."""

    timeout: float
    """Seconds."""


@dataclass(frozen=True, slots=True)
class ScheduleTimer:
    """Send a ``LoadSample`` after a time."""

    delay: float
    """Seconds."""
    timer_id: int
    """Comes back with the sample."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line for the operators."""

    text: str
    """The line, without its end."""


Action = (
    StartRun
    | Reject
    | Fail
    | CancelRun
    | CallDependency
    | SkipDependency
    | ReserveKey
    | ReleaseKey
    | AwaitOriginal
    | SetHealth
    | PublishLoad
    | SetIdleTimeout
    | ScheduleTimer
    | Log
)
