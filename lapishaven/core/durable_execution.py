"""Write-ahead recording: the intent to run is durable before the run, and the result before the answer.

So after a crash an effect with a result is answered with it, one with an intent alone may have run and is never run
again, and one with neither never ran.
"""

from __future__ import annotations

from collections.abc import Callable

from lapishaven.core.core_state import CoreState
from lapishaven.core.ports import EffectState, IntentOutcome, KnownEffect, ResultStore
from lapishaven.core.request_lifecycle import NEVER_RAN_RETRY_AFTER_S, RequestLifecycle
from lapishaven.core.requests import Answer, AnswerKind, Request, RequestState, Submission


class DurableExecution:
    """Has the result store record the runs of requests that are deduplicated by an idempotency key.

    Its methods, ``covers`` aside, are for requests and submissions that it covers.
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

    def find_result(self, submission: Submission) -> bytes | None:
        """The stored result of its effect, whichever process ran it; ``None`` if none is known."""
        effect = self._store.find(*self._effect_of(submission))
        return effect.result if effect.effect_state is EffectState.DONE else None

    def start(self, request: Request, launch: Callable[[Request], None]) -> None:
        """Record the intent to run the request and call ``launch`` with it once that is durable.

        Where it cannot be recorded, or the effect is known already, the request is answered instead.
        """
        request.state = RequestState.RECORDING_INTENT
        submission = request.submission
        class_name, key = self._effect_of(submission)
        retry_after = self._store.record_intent(
            class_name, key, submission, lambda outcome: self._intent_settled(request, outcome, launch)
        )
        if retry_after is None:
            return
        request.state = RequestState.QUEUED
        self._guard.release(submission)
        self._counters.add("requests", "no room to record its run")
        answer = Answer(AnswerKind.REJECTED, reason="no room to record its run", retry_after=retry_after)
        self._lifecycle.end_without_run(request, answer)

    def record_result(self, request: Request, result: bytes) -> None:
        """Record the result of a run that ended well, then answer and close the request."""
        request.state = RequestState.RECORDING_RESULT
        class_name, key = self._effect_of(request.submission)
        self._store.record_result(
            class_name, key, result, lambda durable: self._result_settled(request, result, durable)
        )

    def record_failure(self, submission: Submission) -> None:
        """Note that the run of a submission gave no result, though it may have had its effect."""
        self._store.record_failure(*self._effect_of(submission))

    def cancel_intent(self, submission: Submission) -> None:
        """Withdraw the intent of a submission whose run provably did nothing."""
        self._store.cancel_intent(*self._effect_of(submission))

    # ---- What the store reports
    def _intent_settled(
        self, request: Request, outcome: IntentOutcome | KnownEffect, launch: Callable[[Request], None]
    ) -> None:
        if request.state is not RequestState.RECORDING_INTENT:
            return
        if not isinstance(outcome, IntentOutcome):
            self._answer_known_effect(request, outcome)
        elif outcome is IntentOutcome.RECORDED and request.reply is not None:
            launch(request)
        else:
            self._give_up_intent(request)

    def _answer_known_effect(self, request: Request, effect: KnownEffect) -> None:
        """Another process has run the effect, or may have: answer what is known of it."""
        done = effect.effect_state is EffectState.DONE
        self._counters.add("requests", "done elsewhere" if done else "uncertain elsewhere")
        # It did not run here; a duplicate is checked against the store, not against this process's guard.
        self._guard.release(request.submission)
        if done:
            self._lifecycle.end_without_run(request, Answer(AnswerKind.SERVED, effect.result), effect.result)
        else:
            answer = Answer(AnswerKind.FAILED, reason="another server is at it, or was")
            self._lifecycle.end_without_run(request, answer)

    def _give_up_intent(self, request: Request) -> None:
        """The intent is not durable, or nobody waits for the request any more: either way it never ran."""
        self._guard.release(request.submission)
        self.cancel_intent(request.submission)
        answer = Answer(
            AnswerKind.REJECTED, reason="its run could not be recorded", retry_after=NEVER_RAN_RETRY_AFTER_S
        )
        self._lifecycle.end_without_run(request, answer)

    def _result_settled(self, request: Request, result: bytes, durable: bool) -> None:
        """The result is durable, or cannot be: that the request ran is certain either way."""
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
        """The class's name and the key under which the store knows the effect."""
        assert submission.idempotency_key is not None
        return self._settings.class_of(submission).name, submission.idempotency_key
