"""Requests and answers as the core sees them, whatever protocol they came over."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lapishaven.core.ports import Backend, Reply


class AnswerKind(Enum):
    """How a request was answered. The values are counted and logged, so they are part of the interface."""

    SERVED = "served"
    REJECTED = "refused"  # this attempt never ran and never will, so it is safe to retry
    FAILED = "failed"  # it may have run
    DEADLINE_EXCEEDED = "due"  # failed because its deadline passed
    FORBIDDEN = "denied"  # no contract covers it; it never ran, and a retry does not help


@dataclass(frozen=True, slots=True)
class Answer:
    """The one final answer to a request."""

    kind: AnswerKind
    body: bytes = b""  # the result of the run; empty unless the request was served
    reason: str = ""  # for people; empty if it was served
    retry_after: float | None = None  # seconds after which the caller may retry; None: not stated
    no_retry_elsewhere: bool = False  # whether a retry on another server would only add load


@dataclass(frozen=True, slots=True)
class Submission:
    """One attempt of a request, as a frontend read it."""

    attempt_id: str  # unique name under which the backend runs it
    class_index: int  # its class's place in the settings
    body: bytes
    memory_kb: float  # memory that it is expected to occupy while it is queued
    rank: float = 0.0  # its place among all requests, 0 up to 1; lower ones are rejected first; 0: unknown
    age: float = 0.0  # seconds since the caller sent it, by the caller's or the gateway's clock; may be negative
    caller_id: int = 0  # number of the caller; 0 where the protocol names none
    is_retry: bool = False  # whether the caller marked it as a retry
    is_write: bool = False
    subject: int | None = None  # number of the object that it is about; None where the protocol names none
    idempotency_key: str | None = None  # names the effect; None where the protocol or the caller gives none
    team: str | None = None  # the team whose contract covers it; None where the protocol names no team
    service: str = ""  # the team's service; empty without a team
    time_left: float | None = None  # seconds from arrival until its caller gives up; None: the class's deadline
    body_digest: bytes | None = None  # compared between attempts with the same key; None: not compared
    tenant_index: int = 0  # its tenant's place in the settings; past the last one: no known tenant


class RequestState(Enum):
    """Where a request stands between its arrival and its removal from the request table."""

    QUEUED = "queued"  # not started; the controller decides when it is
    ATTACHED = "attached"  # a duplicate, which waits for the result of the original
    RECORDING_INTENT = "recording intent"  # starts once the intent to run it is durable
    RUNNING = "running"  # the backend has it
    RECORDING_RESULT = "recording result"  # it ran, and is answered once its result is durable
    PAUSED = "paused"  # the backend has stopped it and can resume it
    CLOSED = "closed"  # no longer in the table


WITHOUT_RUN = frozenset({RequestState.QUEUED, RequestState.ATTACHED, RequestState.PAUSED})
"""States in which no completion is outstanding, so that a request that was answered or cancelled can be closed."""


@dataclass(slots=True)
class Request:
    """An entry of the request table."""

    request_id: int  # its u32 id in the controller's events and actions
    submission: Submission
    reply: Reply | None  # where its answer goes; None once it was answered or its caller has gone
    arrived_at: float  # seconds on the host's clock
    deadline: float  # seconds on the host's clock; answered by then at the latest
    backend: Backend
    state: RequestState = RequestState.QUEUED
    ran: bool = False  # whether a run of it was started and not proven to have done nothing
    duplicate_of: int | None = None  # request id of the original; None unless it is a duplicate
    duplicate_ids: list[int] = field(default_factory=list)  # request ids of the duplicates that wait for its result
