"""Forwards run starts and answers to the components that record or count them."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from lapishaven.admission import Outcome, RequestClass
from lapishaven.attempt_log import AttemptLog, LogEntry
from lapishaven.core.outcome_metrics import OUTCOME_LABELS
from lapishaven.core.ports import FleetMember
from lapishaven.core.requests import AnswerKind, Submission
from lapishaven.server.running_config import RunningConfig

if TYPE_CHECKING:
    from lapishaven.frontends.load_endpoint import LoadEndpoint


class AttemptEvent(Enum):
    """An event in the attempt log; the values are stored."""

    STARTED = "started"
    NOT_RUN = "unrun"  # started, but proven to have had no effect
    ANSWERED = "answered"


class AttemptReporting:
    """The core's attempt recorder: notifies the fleet member, the load endpoint and the attempt log."""

    def __init__(
        self,
        running: RunningConfig,
        fleet: FleetMember | None,
        load_endpoint: LoadEndpoint | None,
        attempt_log: AttemptLog | None,
    ) -> None:
        self._running = running
        self._fleet = fleet
        self._load_endpoint = load_endpoint
        self._attempt_log = attempt_log

    def run_started(self, submission: Submission) -> None:
        """Record that the run is about to be handed to the backend."""
        if self._load_endpoint is not None:
            self._load_endpoint.run_started(submission.attempt_id, submission.class_index)
        self._log(AttemptEvent.STARTED, submission, "")

    def run_disproved(self, submission: Submission, outcome: Outcome) -> None:
        """Record that a started run is proven to have had no effect."""
        self._log(AttemptEvent.NOT_RUN, submission, OUTCOME_LABELS[outcome])

    def answered(self, submission: Submission, kind: AnswerKind) -> None:
        """Record that the request is answered."""
        if self._fleet is not None:
            self._notify_fleet(self._fleet, submission, kind)
        self._log(AttemptEvent.ANSWERED, submission, kind.value)

    def _notify_fleet(self, fleet: FleetMember, submission: Submission, kind: AnswerKind) -> None:
        if kind is AnswerKind.SERVED:
            spec = self._class_of(submission)
            fleet.request_served(submission.team, spec.name, spec.priority_weight, submission.idempotency_key)
        else:
            fleet.request_not_served(kind is AnswerKind.REJECTED)

    def _log(self, event: AttemptEvent, submission: Submission, detail: str) -> None:
        if self._attempt_log is None:
            return
        self._attempt_log.record(
            LogEntry(
                event=event.value,
                handle=submission.attempt_id,
                cls=self._class_of(submission).name,
                key=submission.idempotency_key,
                team=submission.team,
                service=submission.service,
                detail=detail,
            )
        )

    def _class_of(self, submission: Submission) -> RequestClass:
        return self._running.config.settings.classes[submission.class_index]
