"""Requests and answers as the core sees them, whatever protocol they came over."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lapishaven.core.ports import Backend, Reply


class AnswerKind(Enum):
    """How a request was answered."""

    SERVED = "served"
    REJECTED = "refused"  # this try never ran and never will
    FAILED = "failed"
    DEADLINE_EXCEEDED = "due"  # failed as its due time came
    FORBIDDEN = "denied"  # no contract covers it; it never ran, and trying again does not help


@dataclass(frozen=True, slots=True)
class Answer:
    """The one final answer to a request."""

    kind: AnswerKind
    body: bytes = b""
    reason: str = ""
    retry_after: float | None = None  # seconds to keep away
    no_retry_elsewhere: bool = False  # no other server should be tried


@dataclass(frozen=True, slots=True)
class Submission:
    """A request as a front read it."""

    attempt_id: str  # the name under which the backend runs it
    class_index: int
    body: bytes
    memory_kb: float
    rank: float = 0.0
    age: float = 0.0
    caller_id: int = 0
    is_retry: bool = False
    is_write: bool = False
    subject: int | None = None
    idempotency_key: str | None = None  # names the effect, where the front's protocol has such a key
    team: str | None = None  # whose contract it comes under; None where the front's protocol names no team
    service: str = ""
    time_left: float | None = None  # seconds from its arrival for which its caller waits; None: its class's deadline
    body_digest: bytes | None = None  # of what is asked, where a key must always stand for the same
    tenant_index: int = 0  # its place in the settings' tenants


class RequestState(Enum):
    HELD = "held"
    ATTACHED = "attached"
    INTENDING = "intending"  # to be run once its intent is durable
    RUNNING = "running"
    RECORDING = "recording"  # it ran; to be answered once its result is durable
    PAUSED = "paused"
    OVER = "over"


@dataclass(slots=True)
class Request:
    """An entry of the request table. ``reply`` is there until the request is answered or gone."""

    request_id: int
    submission: Submission
    reply: Reply | None
    arrived_at: float
    deadline: float
    backend: Backend
    state: RequestState = RequestState.HELD
    ran: bool = False
    duplicate_of: int | None = None
    followers: list[int] = field(default_factory=list)
