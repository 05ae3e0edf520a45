"""Events that the host reports to the controller.

Times are seconds of the host's clock; request ids are the host's and carry no meaning.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Outcome(IntEnum):
    """How a run or a call ended."""

    OK = 1
    ERROR = 2
    OVERLOADED = 3
    TIMEOUT = 4
    UNREACHABLE = 5
    RESET = 6
    CANCELLED = 7
    OBSOLETE = 8


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request was read and is now held; it is owed one final answer."""

    request_id: int
    memory_kb: float
    tenant_index: int
    deadline: float | None
    caller_id: int
    age: float
    is_retry: bool
    is_write: bool
    class_index: int
    rank: float
    subject: int | None
    cost_hint: float | None
    duplicate_of: int | None


@dataclass(frozen=True, slots=True)
class RunFinished:
    """A run, or an attached repeat, ended."""

    request_id: int
    elapsed: float
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class DependencyCallNeeded:
    """A running request stands at a call below."""

    request_id: int


@dataclass(frozen=True, slots=True)
class DependencyCallFinished:
    """A call below ended."""

    request_id: int
    outcome: Outcome
    elapsed: float


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """The instance is to leave and is killed at the given time."""

    kill_at: float


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """Nobody waits for this request any more."""

    request_id: int


@dataclass(frozen=True, slots=True)
class LoadSample:
    """A timer came due; it brings the instance's gauges."""

    timer_id: int
    cpu_utilization: float | None
    runnable: float | None
    memory_utilization: float | None
    connections: float | None


Event = (
    RequestArrived
    | RunFinished
    | DependencyCallNeeded
    | DependencyCallFinished
    | DrainRequested
    | RequestCancelled
    | LoadSample
)
