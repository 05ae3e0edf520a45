"""How a try ends and what becomes of a call: the words that every part of the client shares."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class AttemptEnd(Enum):
    """Every way in which one try can end."""

    SERVED = "served"
    REJECTED = "refused"  # the server's word that this try never ran and never will
    FAILED = "failed"  # the server's word that it did not succeed; it may have run
    INVALID = "invalid"  # the server could not take it as a request: no such class, or malformed
    LOST = "lost"  # the connection ended first
    CLOSE_RACE = "crossed"  # it met a close that PROTOCOL allows, so the server never read it
    UNREACHABLE = "unreached"  # no connection came about, so nothing was sent
    MALFORMED_RESPONSE = "garbled"  # the answer could not be read
    TIMESTAMP_REJECTED = "untimed"  # the server did not take its time stamp, as one of the two clocks is wrong


# What proves that a try never ran. Only after these may a call that must not run twice be tried again.
NEVER_RAN = frozenset({AttemptEnd.REJECTED, AttemptEnd.UNREACHABLE, AttemptEnd.CLOSE_RACE})
# The server's word that it was no request at all: nothing ran, but a repeat would fare no better.
INVALID_REQUEST = frozenset({AttemptEnd.INVALID, AttemptEnd.TIMESTAMP_REJECTED})


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How one try ended. ``pushback`` is in seconds."""

    end: AttemptEnd
    body: bytes = b""
    text: str = ""
    code: int | None = None
    retry_after_s: float | None = None
    no_retry_elsewhere: bool = False  # no other server should be tried


@dataclass(frozen=True, slots=True)
class Outcome:
    """What became of a call: the base of all results. Spans are in seconds."""

    tries: int  # that were sent
    span: float  # from the call's start to this
    reason: str = ""

    served = False


@dataclass(frozen=True, slots=True)
class Served(Outcome):
    body: bytes = b""
    server: str = ""
    served = True


@dataclass(frozen=True, slots=True)
class Refused(Outcome):
    """It never ran. ``come_back`` is the time to stay away, as far as anybody said; ``stop``: do not repeat."""

    come_back: float | None = None
    stop: bool = False


@dataclass(frozen=True, slots=True)
class Failed(Outcome):
    """It did not succeed. A class that must not run twice ends so only where no try of it can have run."""

    code: int | None = None


@dataclass(frozen=True, slots=True)
class Expired(Outcome):
    """Its deadline came. Nothing that must not run twice was on its way."""


@dataclass(frozen=True, slots=True)
class Cancelled(Outcome):
    """The application took it back. ``uncertain``: it must not run twice, and may have run all the same."""

    uncertain: bool = False


@dataclass(frozen=True, slots=True)
class Uncertain(Outcome):
    """It must not run twice and may have run or not. The application has to find out; nobody else can."""


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
    """It never ran; ``come_back`` is in seconds."""

    @property
    def come_back(self) -> float | None:
        return self.outcome.come_back if isinstance(self.outcome, Refused) else None


class FailedError(CallError): ...


class ExpiredError(CallError): ...


class CancelledCallError(CallError): ...


class UncertainError(CallError): ...


ERRORS: dict[type[Outcome], type[CallError]] = {
    Refused: RefusedError,
    Failed: FailedError,
    Expired: ExpiredError,
    Cancelled: CancelledCallError,
    Uncertain: UncertainError,
}


def unwrap(outcome: Outcome) -> bytes:
    """The body of a served call; else the error that goes with the outcome is raised."""
    if isinstance(outcome, Served):
        return outcome.body
    raise ERRORS[type(outcome)](outcome)
