"""Requests and answers, independent of the protocol over which they arrived."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lapishaven.admission import RequestClass
    from lapishaven.core.peer_effect_table import PeerEffect
    from lapishaven.core.ports import Backend, Reply
    from lapishaven.core.source_fairness import RequestSource

BODY_DIGEST_BYTES = 16  # two different bodies with the same key collide with a probability of 2^-128


class AnswerKind(Enum):
    """The kind of an answer. The values appear in counters and logs, so they are part of the interface."""

    SERVED = "served"
    REJECTED = "refused"  # this attempt never ran and never will, so a retry is safe
    FAILED = "failed"  # it may have run
    DEADLINE_EXCEEDED = "due"  # failed because its deadline passed
    FORBIDDEN = "denied"  # no contract covers it; it never ran and a retry does not help


@dataclass(frozen=True, slots=True)
class Answer:
    """The one final answer to a request."""

    kind: AnswerKind
    body: bytes = b""  # the result of the run; empty unless the request was served
    reason: str = ""  # a short text for people; empty if the request was served
    retry_after: float | None = None  # seconds after which the caller may retry; None if not given
    no_retry_elsewhere: bool = False  # whether a retry on another server would only add load


@dataclass(frozen=True, slots=True)
class Submission:
    """One attempt of a request, as a frontend read it.

    The digest of the body is computed here and not by the frontends, so that the bodies of all requests with a key are
    compared, whichever protocol they came over.
    """

    attempt_id: str  # unique id under which the backend runs it
    class_index: int  # index of its class in the settings
    body: bytes
    memory_kb: float  # memory that it is expected to take while it is queued
    rank: float = 0.0  # position in the rejection order, from 0 up to 1; low ranks are rejected first; 0: unknown
    age: float = 0.0  # seconds since the caller sent it, by the caller's or gateway's clock, so it may be negative
    caller_id: int = 0  # number of the caller; 0 if the protocol does not identify callers
    is_retry: bool = False  # whether the caller marked it as a retry
    is_write: bool = False
    subject: int | None = None  # number of the object that it concerns; None if the protocol does not give one
    idempotency_key: str | None = None  # identifies the effect; None if the caller sent none
    team: str | None = None  # team whose contract covers it; None if the protocol does not give one
    service: str = ""  # service of the team; empty without a team
    time_left: float | None = None  # seconds from arrival until its caller stops waiting; None: the class's deadline
    body_digest: bytes | None = None  # compared between attempts with the same key; None without a key
    tenant_index: int = 0  # index of its tenant in the settings; beyond the last tenant if unknown
    source: RequestSource | None = field(default=None, compare=False, repr=False)  # None: it is not limited

    def __post_init__(self) -> None:
        """Compute the digest of a request with a key, unless it is given."""
        if self.idempotency_key is not None and self.body_digest is None:
            digest = blake2b(self.body, digest_size=BODY_DIGEST_BYTES).digest()
            object.__setattr__(self, "body_digest", digest)


class RequestState(Enum):
    """The state of a request between its arrival and its removal from the request table."""

    QUEUED = "queued"  # waits for the controller to start it
    ATTACHED = "attached"  # a duplicate that waits for the result of its original
    RECORDING_INTENT = "recording intent"  # will start once the intent to run it is durable
    RUNNING = "running"  # passed to the backend
    RECORDING_RESULT = "recording result"  # its run completed; it is answered once the result is durable
    DEFERRED = "deferred"  # may have run in an earlier process, whose runs are not known yet
    PAUSED = "paused"  # stopped by the backend, which can resume it
    CLOSED = "closed"  # removed from the table


STATES_WITHOUT_RUN = frozenset({RequestState.QUEUED, RequestState.DEFERRED, RequestState.ATTACHED, RequestState.PAUSED})
"""States in which no run or write has to end before an answered or cancelled request can be closed."""


@dataclass(slots=True)
class Request:
    """An entry of the request table."""

    request_id: int  # u32 id in the controller's events and actions
    submission: Submission
    request_class: RequestClass  # as it was at the arrival; a reload does not change it
    reply: Reply | None  # receives the answer; None once it was answered or its caller has gone
    arrived_at: float  # seconds on the host's clock
    deadline: float  # seconds on the host's clock by which it is answered
    backend: Backend
    state: RequestState = RequestState.QUEUED
    ran: bool = False  # whether a run was started that has not been proven to have had no effect
    duplicate_of: int | None = None  # request id of the original; None if it is not a duplicate
    awaited_effect: PeerEffect | None = None  # the original if another process has claimed it
    duplicate_ids: list[int] = field(default_factory=list)  # request ids of the duplicates that wait for its result
    source_records: tuple[RequestSource, ...] = ()  # in which it counts as open
