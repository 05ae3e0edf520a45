"""Results of attempts, outcomes of calls, and the exceptions for outcomes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class AttemptEnd(Enum):
    """How an attempt can end. The values are part of event names (``try served``, ...)."""

    SERVED = "served"
    REJECTED = "refused"  # the server reports that the attempt never ran and never will
    FAILED = "failed"  # the server reports an error; the attempt may have run
    INVALID = "invalid"  # the server reports an invalid request: unknown class, or malformed
    LOST = "lost"  # the connection ended before the response
    CLOSE_RACE = "crossed"  # it crossed a close that PROTOCOL allows, so the server never read it
    UNREACHABLE = "unreached"  # no connection was established, so nothing was sent
    MALFORMED_RESPONSE = "garbled"  # the response could not be parsed
    TIMESTAMP_REJECTED = "untimed"  # the server rejected its timestamp: one of the two clocks is wrong


NEVER_RAN = frozenset({AttemptEnd.REJECTED, AttemptEnd.UNREACHABLE, AttemptEnd.CLOSE_RACE})
"""Ends that prove that an attempt never ran. A call that must not run twice may be retried only after these."""

INVALID_REQUEST = frozenset({AttemptEnd.INVALID, AttemptEnd.TIMESTAMP_REJECTED})
"""The server reports an invalid request: nothing ran, but the same request would fail again."""


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How one attempt ended.

    ``body``: the response of a served attempt.
    ``text``: why it was not served.
    ``code``: the error code or HTTP status that the server gave.
    ``retry_after_s``: Retry-After in seconds, during which nothing may be sent to this endpoint.
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
    """The outcome of a call: the base of all outcomes.

    ``tries``: the number of attempts that were sent.
    ``span``: seconds from the start of the call to its end.
    ``reason``: why it was not served, as a short text for people.
    ``served``: whether the call was served.
    """

    tries: int
    span: float
    reason: str = ""

    served = False


@dataclass(frozen=True, slots=True)
class Served(Outcome):
    """The call succeeded. ``body`` is the response, ``server`` the name of the server that sent it."""

    body: bytes = b""
    server: str = ""
    served = True


@dataclass(frozen=True, slots=True)
class Refused(Outcome):
    """The call was rejected and never ran.

    ``come_back``: seconds to wait before the next call, if known. ``stop``: the call should not be repeated.
    """

    come_back: float | None = None
    stop: bool = False


@dataclass(frozen=True, slots=True)
class Failed(Outcome):
    """The call did not succeed. For a call that must not run twice, this also means that no attempt of it ran.

    ``code``: the error code or HTTP status of the last attempt, if a server gave one.
    """

    code: int | None = None


@dataclass(frozen=True, slots=True)
class Expired(Outcome):
    """The deadline passed. No attempt that must not run twice was in flight."""


@dataclass(frozen=True, slots=True)
class Cancelled(Outcome):
    """The application cancelled the call. ``uncertain``: it must not run twice, and may have run."""

    uncertain: bool = False


@dataclass(frozen=True, slots=True)
class Uncertain(Outcome):
    """The call must not run twice, and may or may not have run. Only the application can find out."""


OUTCOME_NAMES: dict[type[Outcome], str] = {
    Served: "served",
    Refused: "refused",
    Failed: "failed",
    Expired: "expired",
    Cancelled: "cancelled",
    Uncertain: "uncertain",
}
"""The name of each outcome in events, metrics, messages and the output of ``lapishaven call``."""


class CallError(Exception):
    """A call was not served: the base of the errors that ``Client.call`` raises for outcomes.

    ``outcome``: the outcome, with its reason.
    """

    def __init__(self, outcome: Outcome) -> None:
        super().__init__(f"{OUTCOME_NAMES[type(outcome)]}: {outcome.reason}")
        self.outcome = outcome


class RefusedError(CallError):
    """The call was rejected and never ran."""

    @property
    def come_back(self) -> float | None:
        """Seconds to wait before the next call; None if unknown."""
        return self.outcome.come_back if isinstance(self.outcome, Refused) else None


class FailedError(CallError):
    """The call did not succeed."""


class ExpiredError(CallError):
    """The deadline passed before the call ended."""


class CancelledCallError(CallError):
    """The call was cancelled."""


class UncertainError(CallError):
    """The call must not run twice and may have run. Find out whether it did before repeating it."""


ERRORS: dict[type[Outcome], type[CallError]] = {
    Refused: RefusedError,
    Failed: FailedError,
    Expired: ExpiredError,
    Cancelled: CancelledCallError,
    Uncertain: UncertainError,
}


def unwrap(outcome: Outcome) -> bytes:
    """Return the body of a served call; raise the ``CallError`` for any other outcome."""
    if isinstance(outcome, Served):
        return outcome.body
    raise ERRORS[type(outcome)](outcome)
