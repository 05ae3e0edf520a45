"""Write-ahead recording: the intent to run is made durable before the run, and the result before the answer.

After a crash, an effect with a recorded result is answered with that result; an effect with only an intent may have
run and is never run again; an effect with neither never ran.
"""

from __future__ import annotations

from collections.abc import Callable

from lapishaven.core.core_state import CoreState
from lapishaven.core.ports import EffectState, IntentOutcome, KnownEffect, ResultStore
from lapishaven.core.request_lifecycle import KEY_OF_ANOTHER_REQUEST, NEVER_RAN_RETRY_AFTER_S, RequestLifecycle
from lapishaven.core.requests import Answer, AnswerKind, Request, RequestState, Submission


class DurableExecution:
    """Records the runs of requests that are deduplicated by an idempotency key in the result store.

    All methods except ``covers`` require a request or submission for which ``covers`` is true.
    """

    def __init__(self, store: ResultStore, state: CoreState, lifecycle: RequestLifecycle) -> None:
        self._store = store
        self._settings = state.settings
        self._guard = state.guard
        self._counters = state.counters
        self._lifecycle = lifecycle

    def covers(self, submission: Submission) -> bool:
        """Whether the run and the result of a submission are recorded."""
        return self._settings.is_deduplicated(submission)

    def find_answer(self, submission: Submission) -> Answer | None:
        """The answer from the stored result of the submission's effect, whichever process ran it.

        ``None`` if no result is known.
        """
        effect = self._store.find(*self._effect_of(submission))
        if effect.effect_state is not EffectState.DONE:
            return None
        if self._lifecycle.is_of_another_request(submission, effect.body_digest):
            return KEY_OF_ANOTHER_REQUEST
        self._counters.add("requests", "answered from its kept result")
        return Answer(AnswerKind.SERVED, effect.result)

    def is_known_effect(self, submission: Submission) -> bool:
        """Whether the store has a record of the submission's effect: it ran, or it may have run."""
        return self._store.find(*self._effect_of(submission)).effect_state is not EffectState.UNKNOWN

    def start(self, request: Request, launch: Callable[[Request], None]) -> None:
        """Record the intent to run the request, and call ``launch`` with the request once the intent is durable.

        If it cannot be recorded, or the effect is already known, the request is answered instead.
        """
        request.state = RequestState.RECORDING_INTENT
        submission = request.submission
        class_name, key = self._effect_of(submission)
        retry_after = self._store.record_intent(
            class_name, key, submission, lambda outcome: self._intent_settled(request, outcome, launch)
        )
        if retry_after is None:
            return  # the store accepted the intent, and calls back once it is settled
        # The store refused the intent: undo the start.
        request.state = RequestState.QUEUED
        self._guard.release(submission)
        self._counters.add("requests", "no room to record its run")
        answer = Answer(AnswerKind.REJECTED, reason="no room to record its run", retry_after=retry_after)
        self._lifecycle.end_without_run(request, answer)

    def record_result(self, request: Request, result: bytes) -> None:
        """Record the result of a completed run, then answer and close the request."""
        request.state = RequestState.RECORDING_RESULT
        class_name, key = self._effect_of(request.submission)
        self._store.record_result(
            class_name, key, result, lambda durable: self._result_settled(request, result, durable)
        )

    def record_failure(self, submission: Submission) -> None:
        """Record that the run of a submission gave no result, although its effect may have taken place."""
        self._store.record_failure(*self._effect_of(submission))

    def cancel_intent(self, submission: Submission) -> None:
        """Withdraw the intent of a submission whose run provably had no effect."""
        self._store.cancel_intent(*self._effect_of(submission))

    # ---- Callbacks from the store
    def _intent_settled(
        self, request: Request, outcome: IntentOutcome | KnownEffect, launch: Callable[[Request], None]
    ) -> None:
        """Launch the run if its intent is recorded and its caller still waits; otherwise end it without a run."""
        if request.state is not RequestState.RECORDING_INTENT:
            return
        if not isinstance(outcome, IntentOutcome):
            self._answer_known_effect(request, outcome)
        elif outcome is IntentOutcome.RECORDED and request.reply is not None:
            launch(request)
        else:
            self._give_up_intent(request)

    def _answer_known_effect(self, request: Request, effect: KnownEffect) -> None:
        """Answer a request whose effect another process has run or may have run."""
        done = effect.effect_state is EffectState.DONE
        if done and self._lifecycle.is_of_another_request(request.submission, effect.body_digest):
            # Its claim is withdrawn everywhere: it must not stand in the way of the request that the key stands for.
            self._guard.release(request.submission)
            self._lifecycle.end_without_run(request, KEY_OF_ANOTHER_REQUEST)
            return
        self._counters.add("requests", "done elsewhere" if done else "uncertain elsewhere")
        # It did not run here. Duplicates are checked against the store, not against this process's execution guard.
        # Other processes on the socket learn the end from ``end_without_run``.
        self._guard.forget(request.submission)
        if done:
            self._lifecycle.end_without_run(request, Answer(AnswerKind.SERVED, effect.result), effect.result)
        else:
            answer = Answer(AnswerKind.FAILED, reason="another server is at it, or was")
            self._lifecycle.end_without_run(request, answer)

    def _give_up_intent(self, request: Request) -> None:
        """Withdraw the intent if it is not durable or no caller waits any more; either way the request never ran."""
        self._guard.release(request.submission)
        self.cancel_intent(request.submission)
        answer = Answer(
            AnswerKind.REJECTED, reason="its run could not be recorded", retry_after=NEVER_RAN_RETRY_AFTER_S
        )
        self._lifecycle.end_without_run(request, answer)

    def _result_settled(self, request: Request, result: bytes, durable: bool) -> None:
        """Answer a request whose run completed: with its result if that is durable, and as failed if not."""
        if request.state is not RequestState.RECORDING_RESULT:
            return
        if durable:
            self._lifecycle.answer(request, Answer(AnswerKind.SERVED, result))
            self._lifecycle.close(request, result)
            return
        self._counters.add("requests", "result not kept")
        self._lifecycle.answer(request, Answer(AnswerKind.FAILED, reason="it ran, and its result could not be kept"))
        self._lifecycle.close(request)

    def _effect_of(self, submission: Submission) -> tuple[str, str]:
        """The class name and the idempotency key that identify the effect in the store."""
        assert submission.idempotency_key is not None
        return self._settings.class_of(submission).name, submission.idempotency_key
