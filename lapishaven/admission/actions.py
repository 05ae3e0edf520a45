"""Actions that the controller asks its host to carry out. Times are seconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StartRun:
    """Start, or take up again, a request."""

    request_id: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Turn away a request that never ran; ``reason`` is for people, not for callers."""

    request_id: int
    reason: str
    retry_after: float | None = None
    no_retry_elsewhere: bool = False


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer with an error, with no promise."""

    request_id: int
    reason: str


@dataclass(frozen=True, slots=True)
class CancelRun:
    """Stop running work."""

    request_id: int


@dataclass(frozen=True, slots=True)
class CallDependency:
    """Make the call that a request stands at."""

    request_id: int
    timeout: float


@dataclass(frozen=True, slots=True)
class SkipDependency:
    """Leave the call out and finish with a poorer answer."""

    request_id: int


@dataclass(frozen=True, slots=True)
class ReserveKey:
    """Put a request in the table of keys."""

    request_id: int
    ttl: float


@dataclass(frozen=True, slots=True)
class ReleaseKey:
    """Drop a request's entry in the table of keys."""

    request_id: int


@dataclass(frozen=True, slots=True)
class AwaitOriginal:
    """Serve a repeat from its forerunner's result."""

    request_id: int


@dataclass(frozen=True, slots=True)
class SetHealth:
    """How health checks are answered from now on."""

    healthy: bool


@dataclass(frozen=True, slots=True)
class PublishLoad:
    """The level, window or weight told to callers from now on."""

    value: float


@dataclass(frozen=True, slots=True)
class SetIdleTimeout:
    """How long an unused connection may stay open."""

    timeout: float


@dataclass(frozen=True, slots=True)
class ScheduleTimer:
    """Ask for a ``Poll`` after a span."""

    delay: float
    timer_id: int


@dataclass(frozen=True, slots=True)
class Log:
    """A line for on-call staff."""

    text: str


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
