"""Ports through which the core reaches backends, stores, the fleet and the server.

Everything here is called on the event loop's thread. No method may block; one that starts something slow returns at
once and reports the end later, on the same thread.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from lapishaven.admission import Outcome
from lapishaven.core.contracts import Contract
from lapishaven.core.requests import Answer, AnswerKind, Submission


class Reply(Protocol):
    """Where one request's answer goes."""

    def __call__(self, answer: Answer) -> None:
        """Send the answer to the caller. Called at most once; never blocks."""


class Backend(Protocol):
    """Runs attempts. The end of each is reported through ``Broker.run_finished``; no method blocks or raises."""

    def start(self, attempt_id: str, class_name: str, body: bytes, send_once: bool) -> None:
        """Start an attempt; with ``send_once`` it must never be sent a second time."""

    def pause(self, attempt_id: str) -> None:
        """Stop a running attempt; it ends as cancelled unless it ended by itself before."""

    def resume(self, attempt_id: str) -> None:
        """Let an attempt that was paused go on."""

    def request_load_sample(self) -> None:
        """Request a load sample, which arrives through ``Broker.load_sampled`` or not at all."""


class AttemptRecorder(Protocol):
    """Is notified of every start and every answer, to record them outside the core. No method blocks."""

    def run_started(self, submission: Submission) -> None:
        """Its run is about to be handed to the backend."""

    def run_disproved(self, submission: Submission, outcome: Outcome) -> None:
        """The run that was started provably did nothing."""

    def answered(self, submission: Submission, kind: AnswerKind) -> None:
        """It gets its answer."""


class NullAttemptRecorder:
    """Records nothing."""

    def run_started(self, submission: Submission) -> None:
        """Do nothing."""

    def run_disproved(self, submission: Submission, outcome: Outcome) -> None:
        """Do nothing."""

    def answered(self, submission: Submission, kind: AnswerKind) -> None:
        """Do nothing."""


class EffectState(Enum):
    """What a result store knows of an effect."""

    UNKNOWN = "unknown"  # it never ran, as far as the store remembers
    IN_PROGRESS = "in progress"  # this process has recorded its intent and not yet its end
    UNCERTAIN = "uncertain"  # it may have run, and there is no result
    DONE = "done"  # it ran, and its result is stored


class KnownEffect(Protocol):
    """An effect as a result store knows it."""

    @property
    def effect_state(self) -> EffectState:
        """What is known of it."""

    @property
    def result(self) -> bytes:
        """The stored result; empty unless the state is ``DONE``."""


class IntentOutcome(Enum):
    """Whether the intent to run a request was made durable."""

    RECORDED = "recorded"
    NOT_RECORDED = "not recorded"


IntentCallback = Callable[[IntentOutcome | KnownEffect], None]
"""Receives the outcome; or the effect, where another process has run it or may have."""


class ResultStore(Protocol):
    """Keeps the results of requests with idempotency keys beyond this process's life (a write-ahead record)."""

    def find(self, class_name: str, key: str) -> KnownEffect:
        """What is known in memory of the effect ``key`` of a class. Never blocks."""

    def record_intent(
        self, class_name: str, key: str, submission: Submission, callback: IntentCallback
    ) -> float | None:
        """Begin to make the intent durable; ``callback`` is called once it is, or cannot be.

        Returns ``None``; or, where it is not even tried, the seconds after which the caller may retry. In that case
        ``callback`` is not called. Never blocks.
        """

    def record_result(self, class_name: str, key: str, result: bytes, callback: Callable[[bool], None]) -> None:
        """Begin to make the result durable; ``callback`` is called with whether it is. Never blocks."""

    def record_failure(self, class_name: str, key: str) -> None:
        """The run gave no result, though it may have had its effect. Never blocks."""

    def cancel_intent(self, class_name: str, key: str) -> None:
        """The run provably never happened: its key is free again. Never blocks."""


class DurableResultStore(ResultStore, Protocol):
    """A result store that writes off the event path and reports back through a descriptor."""

    label: str  # the group of its figures among the counters

    @property
    def ready(self) -> int:
        """The descriptor that is readable when ``process_completions`` has something to do."""

    def process_completions(self) -> None:
        """Call the callbacks of all writes that have ended. Never blocks."""

    def uncertain_effects(self) -> list[tuple[str, str, float]]:
        """Class, key and age in seconds of each effect that an earlier process may have run."""

    def state(self) -> dict[str, int]:
        """Its figures by name, for operators."""

    def close(self) -> None:
        """Finish the writes that were begun and release the store. May block for a moment, at the process's end."""


class FleetMember(Protocol):
    """This process's part in work that belongs to the whole fleet."""

    def request_served(self, team: str | None, class_name: str, weight: float, idempotency_key: str | None) -> None:
        """A request was answered as served.

        ``weight`` is its class's priority weight; ``idempotency_key`` names its effect, where it has one. Never
        blocks.
        """

    def request_not_served(self, rejected: bool) -> None:
        """A request was answered otherwise; ``rejected`` if it never ran. Never blocks."""

    def take_budget(self, now: float, contract: Contract) -> float:
        """Charge one request, as ``contracts.Budgets.take_budget`` does. Never blocks."""

    def set_overloaded(self, overloaded: bool) -> None:
        """Note whether the controller reports the server as unhealthy. Never blocks."""

    def state(self) -> dict[str, int]:
        """Its figures by name, for operators."""

    def drain(self) -> None:
        """The server shuts down: transfer what is owned. Never blocks."""

    def close(self) -> None:
        """End its work. May block for a moment, at the process's end."""


class DecisionListener(Protocol):
    """Receives what the controller decides apart from answers. No method blocks."""

    def set_health(self, healthy: bool) -> None:
        """Answer health checks as healthy, or as unhealthy, from now on."""

    def set_idle_timeout(self, timeout: float) -> None:
        """Set for how many seconds an unused connection may stay open; 0 for the default."""

    def log_remark(self, text: str) -> None:
        """Log a line for the operators."""
