"""Starts, pauses, resumes and finishes the runs of requests on their backends."""

from __future__ import annotations

from lapishaven.admission import Idempotency, Outcome, RunFinished
from lapishaven.core import outcome_metrics
from lapishaven.core.core_state import CoreState
from lapishaven.core.durable_execution import DurableExecution
from lapishaven.core.peer_effect_table import PeerEffect
from lapishaven.core.request_lifecycle import NEVER_RAN_RETRY_AFTER_S, RequestLifecycle
from lapishaven.core.requests import Answer, AnswerKind, Request, RequestState

NEVER_RAN = (Outcome.OVERLOADED, Outcome.UNREACHABLE)  # outcomes that prove that the run had no effect


class RunControl:
    """Starts every run and processes its end; nothing else does."""

    def __init__(self, state: CoreState, lifecycle: RequestLifecycle, durable: DurableExecution | None) -> None:
        """``durable`` is ``None`` if no result store is configured."""
        self._settings = state.settings
        self._table = state.table
        self._guard = state.guard
        self._drain_state = state.drain_state
        self._recorder = state.recorder
        self._counters = state.counters
        self._events = state.events
        self._lifecycle = lifecycle
        self._fairness = state.fairness
        self._durable = durable

    # ---- Start and pause
    def start(self, now: float, request: Request) -> None:
        """Start a queued request or resume a paused one; ignored in any other state."""
        if request.state is RequestState.PAUSED:
            request.state = RequestState.RUNNING
            request.backend.resume(request.submission.attempt_id)
            return
        if request.state is not RequestState.QUEUED:
            return
        refusal = self._claim(now, request)
        if isinstance(refusal, PeerEffect):
            self._lifecycle.await_peer(request, refusal)
        elif refusal is not None:
            self._counters.add("requests", "start barred")
            self._lifecycle.end_without_run(request, refusal)
        elif self._durable is not None and self._durable.covers(request.submission):
            self._durable.start(request, self._launch)
        else:
            self._launch(request)

    def cancel(self, request: Request) -> None:
        """Pause a run whose request was cancelled, unless the caller of a duplicate still waits for its result."""
        if request.state is RequestState.RUNNING and not self._is_awaited(request):
            request.backend.pause(request.submission.attempt_id)

    def _is_awaited(self, request: Request) -> bool:
        """Whether the caller of a duplicate waits for the run's result, here or in another process."""
        if self._lifecycle.has_waiting_duplicate(request):
            return True
        return self._guard.is_awaited_elsewhere(request.submission)

    def _claim(self, now: float, request: Request) -> Answer | PeerEffect | None:
        """Claim the run; return the answer to send if the request must not run, else ``None``.

        If another process runs or has run the effect, that is returned.
        """
        if self._drain_state.arrived_after_grace(request.arrived_at, self._settings.current.drain_grace):
            return Answer(AnswerKind.REJECTED, reason="it came after the leave")
        refusal = self._guard.claim(now, request.submission, request.request_class)
        if isinstance(refusal, Answer) and refusal.kind is AnswerKind.REJECTED:
            self._counters.add("requests", "guard full")
        return refusal

    def _launch(self, request: Request) -> None:
        """Pass the run to the backend."""
        submission = request.submission
        request_class = request.request_class
        request.state = RequestState.RUNNING
        request.ran = True
        self._table.schedule_abandonment(request)
        self._counters.add("attempts", "started")
        self._counters.add(outcome_metrics.RELAYED, request_class.name)
        self._recorder.run_started(submission)
        at_most_once = request_class.idempotency is not Idempotency.IDEMPOTENT
        request.backend.start(
            submission.attempt_id, request_class.name, submission.body, at_most_once, request_class.deadline
        )

    # ---- End of a run
    def finish(self, attempt_id: str, outcome: Outcome, elapsed: float, result: bytes) -> None:
        """Process the end of a run: notify the controller and answer the request."""
        request = self._table.by_attempt.get(attempt_id)
        if request is None or request.state not in (RequestState.RUNNING, RequestState.PAUSED):
            self._counters.add("attempts", "unknown end")
            return
        self._counters.add("attempts", outcome_metrics.OUTCOME_LABELS[outcome])
        if outcome is Outcome.CANCELLED and self._is_wanted_again(request):
            request.backend.resume(attempt_id)
            return
        self._events.append(RunFinished(request.request_id, elapsed, outcome))
        if outcome is Outcome.CANCELLED and request.reply is not None:
            request.state = RequestState.PAUSED  # the controller decides whether it is resumed
        elif outcome is Outcome.OK:
            self._finish_served(request, result)
        elif outcome in NEVER_RAN:
            self._finish_unrun(request, outcome)
        else:
            self._finish_failed(request, outcome)

    def _is_wanted_again(self, request: Request) -> bool:
        """Whether a duplicate arrived while the run was being paused because no caller waited for it."""
        return request.reply is None and self._settings.current.cancellation == "pause" and self._is_awaited(request)

    def _finish_served(self, request: Request, result: bytes) -> None:
        self._fairness.record_served()
        if self._durable is not None and self._durable.covers(request.submission):
            self._durable.record_result(request, result)
            return
        self._lifecycle.answer(request, Answer(AnswerKind.SERVED, result))
        self._lifecycle.close(request, result)

    def _finish_unrun(self, request: Request, outcome: Outcome) -> None:
        """Reject a request whose run provably had no effect; the effect may be started again."""
        submission = request.submission
        if self._durable is not None and self._durable.covers(submission):
            self._durable.cancel_intent(submission)
        self._guard.release(submission)
        request.ran = False
        self._recorder.run_disproved(submission, outcome)
        answer = Answer(AnswerKind.REJECTED, reason="the backend did not take it", retry_after=NEVER_RAN_RETRY_AFTER_S)
        self._lifecycle.answer(request, answer)
        self._lifecycle.close(request)

    def _finish_failed(self, request: Request, outcome: Outcome) -> None:
        """Fail a request whose run gave no result; its effect may have taken place."""
        if self._durable is not None and self._durable.covers(request.submission):
            self._durable.record_failure(request.submission)
        reason = f"the run ended: {outcome_metrics.OUTCOME_LABELS[outcome]}"
        self._lifecycle.answer(request, Answer(AnswerKind.FAILED, reason=reason))
        self._lifecycle.close(request)
