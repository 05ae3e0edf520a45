"""Events that the host reports to the controller.

Times are seconds of the host's clock; request ids are the host's, unique in an incarnation, and carry no meaning.
An event of a request that has ended is ignored.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Outcome(IntEnum):
    """How a run or a dependency call ended. The numbers are those of the wire."""

    OK = 1
    """It was completed."""
    ERROR = 2
    """It failed; it may have had its effect."""
    OVERLOADED = 3
    """The dependency rejected the call; it was not executed."""
    TIMEOUT = 4
    """The call was given up; it may have had its effect."""
    UNREACHABLE = 5
    """The dependency could not be reached; the call was not executed."""
    RESET = 6
    """The connection broke; the call may have had its effect."""
    CANCELLED = 7
    """The run was cancelled, or ended at a call because the request was answered already."""
    OBSOLETE = 8
    """Nothing was started, as the request had ended already."""


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request was read; it is owed one final answer."""

    request_id: int
    """The host's id."""
    memory_kb: float
    """Memory that it takes while it is queued, in kilobytes."""
    tenant_index: int
    """Index in ``Settings.tenants``; 0 at a site without tenants."""
    deadline: float | None
    """When its caller stops waiting for this attempt; ``None`` if callers do not say."""
    caller_id: int
    """The caller that sent it."""
    age: float
    """Seconds since it reached the machine."""
    is_retry: bool
    """Whether it is marked as a retry or a hedged request."""
    is_write: bool
    """Whether it is a write."""
    class_index: int
    """Index in ``Settings.classes``."""
    rank: float
    """Its place among all requests, 0 up to 1, by weight of the class and then spread over users; 0 if unknown."""
    subject: int | None
    """What it is about, such as a user; ``None`` if unknown."""
    cost_hint: float | None
    """Expected work in seconds on a standard core; ``None`` if unknown."""
    duplicate_of: int | None
    """Id of the request that it repeats; ``None`` if it repeats none."""


@dataclass(frozen=True, slots=True)
class RunFinished:
    """A run ended, or the wait of a duplicate for its original."""

    request_id: int
    """The request that ran."""
    elapsed: float
    """Seconds since the action that started it, waits included."""
    outcome: Outcome
    """``OK``, ``ERROR``, ``CANCELLED`` or ``OBSOLETE``."""


@dataclass(frozen=True, slots=True)
class DependencyCallNeeded:
    """A running request needs a dependency call and is suspended until it has made or skipped it."""

    request_id: int
    """The request that needs it."""


@dataclass(frozen=True, slots=True)
class DependencyCallFinished:
    """A dependency call ended. After ``OK`` the run goes on; after any other outcome it stays suspended."""

    request_id: int
    """The request that made it."""
    outcome: Outcome
    """How it ended."""
    elapsed: float
    """Seconds since it was made."""


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """The instance is to shut down gracefully."""

    kill_at: float
    """When the process is killed."""


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """The caller has given up; the request is owed no answer any more."""

    request_id: int
    """The request that was given up."""


@dataclass(frozen=True, slots=True)
class LoadSample:
    """A timer expired; it brings the instance's gauges. ``None`` marks a gauge that the host does not have."""

    timer_id: int
    """The id of the ``ScheduleTimer`` action."""
    cpu_utilization: float | None
    """The part of the cores that was busy of late, 0 to 1."""
    runnable: float | None
    """Threads that run or wait for a core: requests, reading, health checks and handshakes."""
    memory_utilization: float | None
    """The part of the memory that is in use, 0 to 1."""
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
