"""Events that the host reports to the controller.

Times are seconds on the host's clock. Request ids are opaque, chosen by the host and unique within an incarnation.
An event about a request that has already ended is ignored.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Outcome(IntEnum):
    """How a run or a dependency call ended. The values are those of the wire protocol."""

    OK = 1
    """It completed successfully."""
    ERROR = 2
    """It failed; its effect may have taken place."""
    OVERLOADED = 3
    """The dependency rejected the call; it was not executed."""
    TIMEOUT = 4
    """The call was abandoned; its effect may have taken place."""
    UNREACHABLE = 5
    """The dependency could not be reached; the call was not executed."""
    RESET = 6
    """The connection broke; the effect of the call may have taken place."""
    CANCELLED = 7
    """The run was cancelled, or ended at a dependency call because the request had already been answered."""
    OBSOLETE = 8
    """Nothing was started, because the request had already ended."""


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request was read; it must get exactly one final answer."""

    request_id: int
    """The host's id of the request."""
    memory_kb: float
    """Memory that it takes while it is queued, in kilobytes."""
    tenant_index: int
    """Index in ``Settings.tenants``; 0 at a site without tenants."""
    deadline: float | None
    """When its caller stops waiting for this attempt; ``None`` if callers do not send that."""
    caller_id: int
    """The caller that sent it."""
    age: float
    """Seconds since it reached the host."""
    is_retry: bool
    """Whether it is marked as a retry or a hedged request."""
    is_write: bool
    """Whether it is a write."""
    class_index: int
    """Index in ``Settings.classes``."""
    rank: float
    """Its position in the rejection order, from 0 up to 1: by the weight of its class, then spread over users.

    0 if unknown.
    """
    subject: int | None
    """The object that it concerns, such as a user; ``None`` if unknown."""
    cost_hint: float | None
    """Expected work in seconds on a reference core; ``None`` if unknown."""
    duplicate_of: int | None
    """Id of the original request; ``None`` if it is not a duplicate."""


@dataclass(frozen=True, slots=True)
class RunFinished:
    """A run ended, or a duplicate stopped waiting for the result of its original."""

    request_id: int
    """The request that ran."""
    elapsed: float
    """Seconds since the action that started it, including time spent waiting."""
    outcome: Outcome
    """``OK``, ``ERROR``, ``CANCELLED`` or ``OBSOLETE``."""


@dataclass(frozen=True, slots=True)
class DependencyCallNeeded:
    """A running request needs a dependency call and is suspended until the call has been made or skipped."""

    request_id: int
    """The request that needs the call."""


@dataclass(frozen=True, slots=True)
class DependencyCallFinished:
    """A dependency call ended. After ``OK`` the run continues; after any other outcome it stays suspended."""

    request_id: int
    """The request that made the call."""
    outcome: Outcome
    """How it ended."""
    elapsed: float
    """Seconds since the call was made."""


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """The instance is to shut down gracefully."""

    kill_at: float
    """When the process will be killed."""


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """The caller no longer waits; the request must not be answered."""

    request_id: int
    """The request that was cancelled."""


@dataclass(frozen=True, slots=True)
class LoadSample:
    """A timer expired; carries the instance's gauges. ``None`` marks a gauge that the host does not have."""

    timer_id: int
    """The id of the ``ScheduleTimer`` action."""
    cpu_utilization: float | None
    """The fraction of the cores that was recently busy, 0 to 1."""
    runnable: float | None
    """Threads that run or wait for a core: for requests, reading, health checks and handshakes."""
    memory_utilization: float | None
    """The fraction of the memory that is in use, 0 to 1."""
    connections: float | None
    """Open connections."""


Event = (
    RequestArrived
    | RunFinished
    | DependencyCallNeeded
    | DependencyCallFinished
    | DrainRequested
    | RequestCancelled
    | LoadSample
)
