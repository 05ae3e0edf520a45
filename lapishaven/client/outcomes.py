"""How an attempt ends, what becomes of a call, and the errors that go with it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class AttemptEnd(Enum):
    """Every way in which one attempt can end. The values are words in events (``try served``, ...)."""

    SERVED = "served"
    REJECTED = "refused"  # the server says that the attempt never ran and never will
    FAILED = "failed"  # the server says that it did not succeed; it may have run
    INVALID = "invalid"  # the server could not take it as a request: no such class, or malformed
    LOST = "lost"  # the connection ended first
    CLOSE_RACE = "crossed"  # it met a close that PROTOCOL allows, so the server never read it
    UNREACHABLE = "unreached"  # no connection came about, so nothing was sent
    MALFORMED_RESPONSE = "garbled"  # the response could not be read
    TIMESTAMP_REJECTED = "untimed"  # the server rejected its timestamp, as one of the two clocks is wrong


NEVER_RAN = frozenset({AttemptEnd.REJECTED, AttemptEnd.UNREACHABLE, AttemptEnd.CLOSE_RACE})
"""What proves that an attempt never ran: only after these may a call that must not run twice be retried."""

INVALID_REQUEST = frozenset({AttemptEnd.INVALID, AttemptEnd.TIMESTAMP_REJECTED})
"""The server says that it was no valid request: nothing ran, but the same request would fail again."""


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How one attempt ended.

    ``body``: the response of a served attempt.
    ``text``: why it was not served.
    ``code``: the error code or HTTP status that the server gave.
    ``retry_after_s``: Retry-After in seconds: send nothing to this endpoint before.
    ``no_retry_elsewhere``: the server asks not to retry the call on any endpoint.
    """

    end: AttemptEnd
    body: bytes = b""
    text: str = ""
    code: int | None = None
    retry_after_s: float | None = None
    no_retry_elsewhere: bool = False


@dataclass(frozen=True, slots=True)
class Outcome:
    """What became of a call: the base of all outcomes.

    ``tries``: attempts that were sent.
    ``span``: seconds from the start of the call to its end.
    ``reason``: why it was not served, in a few words.
    ``served``: whether the call was served.
    """

    tries: int
    span: float
    reason: str = ""

    served = False


@dataclass(frozen=True, slots=True)
class Served(Outcome):
    """The call succeeded: ``body`` is the response of the server named ``server``."""

    body: bytes = b""
    server: str = ""
    served = True


@dataclass(frozen=True, slots=True)
class Refused(Outcome):
    """The call was rejected and never ran.

    ``come_back``: seconds to wait before the next call, if known. ``stop``: do not repeat the call.
    """

    come_back: float | None = None
    stop: bool = False


@dataclass(frozen=True, slots=True)
class Failed(Outcome):
    """The call did not succeed. One that must not run twice ends so only where no attempt of it can have run.

    ``code``: the error code or HTTP status of the last attempt, if a server gave one.
    """

    code: int | None = None


@dataclass(frozen=True, slots=True)
class Expired(Outcome):
    """The deadline came first. No attempt that must not run twice was in flight."""


@dataclass(frozen=True, slots=True)
class Cancelled(Outcome):
    """The application cancelled the call. ``uncertain``: it must not run twice, and may have run all the same."""

    uncertain: bool = False


@dataclass(frozen=True, slots=True)
class Uncertain(Outcome):
    """The call must not run twice and may have run or not. Only the application can find out."""


OUTCOME_NAMES: dict[type[Outcome], str] = {
    Served: "served",
    Refused: "refused",
    Failed: "failed",
    Expired: "expired",
    Cancelled: "cancelled",
    Uncertain: "uncertain",
}
"""The word for each outcome in events, metrics, messages and the output of ``lapishaven call``."""


class CallError(Exception):
    """A call that was not served: the base of all errors that ``Client.call`` raises for an outcome.

    ``outcome`` is the outcome itself, with its reason.
    """

    def __init__(self, outcome: Outcome) -> None:
        super().__init__(f"{OUTCOME_NAMES[type(outcome)]}: {outcome.reason}")
        self.outcome = outcome


class RefusedError(CallError):
    """The call was rejected and never ran."""

    @property
    def come_back(self) -> float | None:
        """Seconds to wait before the next call; None if not known."""
        return self.outcome.come_back if isinstance(self.outcome, Refused) else None


class FailedError(CallError):
    """The call did not succeed."""


class ExpiredError(CallError):
    """The deadline came first."""


class CancelledCallError(CallError):
    """The call was cancelled."""


class UncertainError(CallError):
    """The call must not run twice and may have run; find out before it is repeated."""


ERRORS: dict[type[Outcome], type[CallError]] = {
    Refused: RefusedError,
    Failed: FailedError,
    Expired: ExpiredError,
    Cancelled: CancelledCallError,
    Uncertain: UncertainError,
}


def unwrap(outcome: Outcome) -> bytes:
    """Return the body of a served call; raise the ``CallError`` that goes with any other outcome."""
    if isinstance(outcome, Served):
        return outcome.body
    raise ERRORS[type(outcome)](outcome)
