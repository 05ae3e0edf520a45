"""Actions that the controller asks its host to carry out.

Times are in seconds. An action for a request that has already ended is ignored.
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
    """Reject a request that never ran; the caller may retry it."""

    request_id: int
    """The request."""
    reason: str
    """A short text for people and the label of a counter; callers must not interpret it."""
    retry_after: float | None = None
    """Seconds that the caller should wait before it retries; ``None`` if no Retry-After is sent."""
    no_retry_elsewhere: bool = False
    """Whether the caller is asked not to retry at another instance."""


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer a request with an error. It may have run, and its effect may have taken place."""

    request_id: int
    """The request."""
    reason: str
    """A short text for people and the label of a counter; callers must not interpret it."""


@dataclass(frozen=True, slots=True)
class CancelRun:
    """Cancel a run in the way that ``Settings.cancellation`` gives; its end is reported as ``RunFinished``."""

    request_id: int
    """The request."""


@dataclass(frozen=True, slots=True)
class CallDependency:
    """Make the dependency call that a request needs; its end is reported as ``DependencyCallFinished``."""

    request_id: int
    """The request."""
    timeout: float
    """Seconds after which the call is abandoned."""


@dataclass(frozen=True, slots=True)
class SkipDependency:
    """Continue the run without its dependency call; its answer is degraded."""

    request_id: int
    """The request."""


@dataclass(frozen=True, slots=True)
class ReserveKey:
    """Enter a request in the idempotency key table before it runs."""

    request_id: int
    """The request."""
    ttl: float
    """Seconds after which the entry expires."""


@dataclass(frozen=True, slots=True)
class ReleaseKey:
    """Remove the entry of a request that never ran from the idempotency key table."""

    request_id: int
    """The request."""


@dataclass(frozen=True, slots=True)
class AwaitOriginal:
    """Answer a duplicate with the result of its original once that is known."""

    request_id: int
    """The request."""


@dataclass(frozen=True, slots=True)
class SetHealth:
    """Change the answer to health checks."""

    healthy: bool
    """Whether the checks pass from now on."""


@dataclass(frozen=True, slots=True)
class PublishLoad:
    """Publish a new load value to callers."""

    value: float
    """A level, window or weight; ``Settings.load_signal`` gives which."""


@dataclass(frozen=True, slots=True)
class SetIdleTimeout:
    """Change the time after which idle connections are closed."""

    timeout: float
    """The idle timeout in seconds."""


@dataclass(frozen=True, slots=True)
class ScheduleTimer:
    """Deliver a ``LoadSample`` event after a delay."""

    delay: float
    """The delay in seconds."""
    timer_id: int
    """Returned as ``LoadSample.timer_id``."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the operators' log."""

    text: str
    """The line, without a line terminator."""


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
