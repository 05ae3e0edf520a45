"""Interfaces through which the core uses backends, result stores, the fleet and the server.

All methods are called on the event loop's thread. Unless stated otherwise they must not block: a method that starts a
slow operation returns at once and reports the end later, on the same thread.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import Enum
from typing import Protocol

from lapishaven.admission import Outcome
from lapishaven.core.contracts import Contract
from lapishaven.core.effect_records import ClaimRecord, EffectEnded
from lapishaven.core.requests import Answer, AnswerKind, Submission


class Reply(Protocol):
    """The receiver of one request's answer."""

    def __call__(self, answer: Answer) -> None:
        """Send the answer to the caller. Called at most once; never blocks."""


class Backend(Protocol):
    """Runs attempts and reports their end through ``Broker.run_finished``. No method blocks or raises."""

    @property
    def can_pause(self) -> bool:
        """Whether a paused run can be resumed. If not, pausing ends it."""

    def start(self, attempt_id: str, class_name: str, body: bytes, at_most_once: bool, time_limit_s: float) -> None:
        """Start an attempt; with ``at_most_once`` it must not be sent again once it may have been received.

        A backend that waits for a response gives up after ``time_limit_s`` seconds.
        """

    def pause(self, attempt_id: str) -> None:
        """Stop a running attempt; its end is reported as cancelled unless it ended before that."""

    def resume(self, attempt_id: str) -> None:
        """Resume a paused attempt."""

    def request_load_sample(self) -> None:
        """Request a load sample. It is delivered through ``Broker.load_sampled``, but may never arrive."""


class AttemptRecorder(Protocol):
    """Records every start and every answer outside the core. No method blocks."""

    def run_started(self, submission: Submission) -> None:
        """Record that the submission's run is about to be passed to the backend."""

    def run_disproved(self, submission: Submission, outcome: Outcome) -> None:
        """Record that the run that was started provably had no effect."""

    def answered(self, submission: Submission, kind: AnswerKind) -> None:
        """Record that the submission is answered."""


class NullAttemptRecorder:
    """Records nothing."""

    def run_started(self, submission: Submission) -> None:
        """Do nothing."""

    def run_disproved(self, submission: Submission, outcome: Outcome) -> None:
        """Do nothing."""

    def answered(self, submission: Submission, kind: AnswerKind) -> None:
        """Do nothing."""


class EffectState(Enum):
    """What a result store knows about an effect."""

    UNKNOWN = "unknown"  # the store has no record that it ran
    IN_PROGRESS = "in progress"  # this process has recorded its intent, but not its end
    UNCERTAIN = "uncertain"  # it may have run, but there is no result
    DONE = "done"  # it ran, and its result is stored


class KnownEffect(Protocol):
    """What a result store knows about one effect."""

    @property
    def effect_state(self) -> EffectState:
        """Whether the effect ran, as far as is known."""

    @property
    def result(self) -> bytes:
        """The stored result; empty unless the state is ``DONE``."""

    @property
    def body_digest(self) -> bytes | None:
        """Digest of the body that the key stands for; ``None`` if an earlier version stored the effect without it."""


class IntentOutcome(Enum):
    """Whether the intent to run a request was made durable."""

    RECORDED = "recorded"
    NOT_RECORDED = "not recorded"


IntentCallback = Callable[[IntentOutcome | KnownEffect], None]
"""Receives the outcome, or the effect if another process has run it or may have run it."""


class ResultStore(Protocol):
    """A write-ahead record that keeps the results of requests with idempotency keys across restarts."""

    def find(self, class_name: str, key: str) -> KnownEffect:
        """What is known in memory about the effect with this class and idempotency key. Never blocks."""

    def record_intent(
        self, class_name: str, key: str, submission: Submission, callback: IntentCallback
    ) -> float | None:
        """Start to make the intent durable; ``callback`` is called once it is durable or the write has failed.

        Returns ``None``, or the seconds after which the caller may retry if the write is not attempted; ``callback``
        is not called then. Never blocks.
        """

    def record_result(self, class_name: str, key: str, result: bytes, callback: Callable[[bool], None]) -> None:
        """Start to make the result durable; ``callback`` receives whether that succeeded. Never blocks."""

    def record_failure(self, class_name: str, key: str) -> None:
        """Record that the run gave no result, although its effect may have taken place. Never blocks."""

    def cancel_intent(self, class_name: str, key: str) -> None:
        """Withdraw the intent of a run that provably never happened, which frees its key. Never blocks."""


class DurableResultStore(ResultStore, Protocol):
    """A result store that writes outside the event loop and signals completions through a descriptor."""

    label: str  # name of its counter group

    @property
    def ready(self) -> int:
        """The descriptor that becomes readable when ``process_completions`` has work to do."""

    def process_completions(self) -> None:
        """Call the callbacks of all completed writes. Never blocks."""

    def uncertain_effects(self) -> list[tuple[str, str, float]]:
        """Class, key and age in seconds of each effect that an earlier process may have run."""

    def state(self) -> dict[str, int]:
        """Its metrics by name, for operators."""

    def close(self) -> None:
        """Finish the writes in progress and release the store. May block briefly; called when the process exits."""


class EffectLog(Protocol):
    """The log in which the processes on one inherited socket tell each other what they run.

    No method raises or waits for another process. Records of claims have one order, which all processes see.
    """

    owner: str  # id of this process in its records

    def unix_time(self) -> float:
        """The clock of the records, in Unix seconds."""

    def append_claim(self, record: ClaimRecord) -> bool:
        """Append a record whose order decides; returns whether it is in the log.

        ``take_claims`` then returns all records of others that precede it.
        """

    def append_end(self, record: EffectEnded) -> bool:
        """Append the end of a run; returns whether it is in the log."""

    def take_claims(self) -> list[ClaimRecord]:
        """The records of others that an append has come upon, in order; each is returned once."""

    def read_claims(self) -> Iterable[ClaimRecord]:
        """The records of others up to the end of the log, in order; each is returned once.

        They are read as they are taken, so all are to be taken before anything is appended.
        """

    def read_ends(self) -> list[EffectEnded]:
        """The ends of others' runs that were not returned yet."""

    def is_alive(self, owner: str) -> bool:
        """Whether the process with this id lives; a stopped one does."""

    def close(self) -> None:
        """Release the log; called when the process exits."""


class FleetMember(Protocol):
    """This process as a member of the fleet, which shares duties among its members."""

    def request_served(self, team: str | None, class_name: str, weight: float, idempotency_key: str | None) -> None:
        """Record that a request was answered as served.

        ``weight`` is its class's priority weight; ``idempotency_key`` identifies its effect, if it has one. Never
        blocks.
        """

    def request_not_served(self, rejected: bool) -> None:
        """Record that a request was not served; ``rejected`` if it never ran. Never blocks."""

    def take_budget(self, now: float, contract: Contract) -> float:
        """Charge one request; see ``contracts.Budgets.take_budget``. Never blocks."""

    def set_overloaded(self, overloaded: bool) -> None:
        """Set whether the controller reports the server as unhealthy. Never blocks."""

    def state(self) -> dict[str, int]:
        """Its metrics by name, for operators."""

    def drain(self) -> None:
        """Start to transfer the owned shards, because the server shuts down. Never blocks."""

    def close(self) -> None:
        """Stop. May block briefly; called when the process exits."""


class DecisionListener(Protocol):
    """Receives the controller's decisions that are not about single requests. No method blocks."""

    def set_health(self, healthy: bool) -> None:
        """Set whether health checks are answered as healthy."""

    def set_idle_timeout(self, timeout: float) -> None:
        """Set the number of seconds that an idle connection may stay open; 0 for the default."""

    def log_remark(self, text: str) -> None:
        """Write a line to the operators' log."""
