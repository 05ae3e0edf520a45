"""Answers requests and removes them from the table, for all components of the core."""

from __future__ import annotations

from lapishaven.admission import Outcome, RequestCancelled, RunFinished
from lapishaven.core import outcome_metrics
from lapishaven.core.core_state import CoreState
from lapishaven.core.peer_effect_table import PeerEffect, PeerRunState
from lapishaven.core.ports import Reply
from lapishaven.core.requests import STATES_WITHOUT_RUN, Answer, AnswerKind, Request, RequestState, Submission

NEVER_RAN_RETRY_AFTER_S = 1.0  # Retry-After if the backend is unreachable or overloaded, or the server shuts down
KEY_OF_ANOTHER_REQUEST = Answer(AnswerKind.FAILED, reason="this key stands for another request")
"""The answer to a submission for which ``RequestLifecycle.is_of_another_request`` is true."""


class RequestLifecycle:
    """Answers each request once, removes it from the table once, and answers duplicates from their originals."""

    def __init__(self, state: CoreState) -> None:
        self._settings = state.settings
        self._table = state.table
        self._keys = state.keys
        self._guard = state.guard
        self._recorder = state.recorder
        self._counters = state.counters
        self._events = state.events

    def answer(self, request: Request, answer: Answer) -> None:
        """Answer a request, unless it was already answered or its caller has gone.

        Only this method calls a request's ``reply`` and it clears the field first, so there is no second answer.
        """
        reply = request.reply
        request.reply = None
        if reply is not None:
            self.send(request.submission, reply, answer)

    def send(self, submission: Submission, reply: Reply, answer: Answer) -> None:
        """Count, record and send an answer; called directly for submissions that are not added to the table.

        What another process of this server runs or has run is failed where it would be rejected.
        """
        if answer.kind is AnswerKind.REJECTED and self._is_known_elsewhere(submission):
            answer = Answer(AnswerKind.FAILED, reason="another process of this server runs it, or did")
        self._counters.add("answers", answer.kind.value)
        request_class = self._settings.current.classes[submission.class_index]
        self._counters.add(outcome_metrics.COUNTER_GROUPS[answer.kind], request_class.name)
        self._recorder.answered(submission, answer.kind)
        reply(answer)

    def _is_known_elsewhere(self, submission: Submission) -> bool:
        return self._guard.find_peer_effect(submission, self._settings.current) is not None

    def close(self, request: Request, result: bytes | None = None) -> None:
        """Remove a request from the table; nothing else does. ``result`` is the result of a completed run.

        The key of a request that never ran is released here, because the controller's ``ReleaseKey`` action comes only
        after the request has left the table.
        """
        if request.state is RequestState.CLOSED:
            return
        request.state = RequestState.CLOSED
        self._table.remove(request)
        for record in request.source_records:
            record.open_requests.pop(request.request_id, None)
        submission = request.submission
        self._guard.run_ended(submission, result)
        if submission.idempotency_key is not None:
            key = (submission.class_index, submission.idempotency_key)
            if request.ran:
                self._keys.close(key, request.request_id, result)
            else:
                self._keys.release(key, request.request_id)
        for duplicate_id in request.duplicate_ids:
            duplicate = self._table.requests.get(duplicate_id)
            if duplicate is not None:
                self._answer_duplicate(duplicate, result, request.ran)

    def give_up(self, request: Request, answer: Answer) -> None:
        """Answer a request that the controller has not answered, and let the controller forget it."""
        self._events.append(RequestCancelled(request.request_id))
        self.answer(request, answer)
        self.close_unless_running(request)

    def close_unless_running(self, request: Request) -> None:
        """Close an answered or cancelled request, unless the end of its run or of a write is still outstanding."""
        if request.state in STATES_WITHOUT_RUN:
            self.close(request)

    def end_without_run(self, request: Request, answer: Answer, result: bytes | None = None) -> None:
        """Answer and close a request that the controller started but that was not run here."""
        self.answer(request, answer)
        self._events.append(RunFinished(request.request_id, 0.0, Outcome.OBSOLETE))
        self.close(request, result)

    # ---- Duplicates
    def is_of_another_request(self, submission: Submission, body_digest: bytes | None) -> bool:
        """Whether a submission's key stands for a request with another body, whose digest is ``body_digest``; counted.

        Such a submission must not get the result of that request. ``None`` is the digest of no body: what an earlier
        version stored without a digest cannot be shown to be of the same request.
        """
        if submission.body_digest == body_digest:
            return False
        self._counters.add("requests", "key of another request")
        return True

    def has_waiting_duplicate(self, request: Request) -> bool:
        """Whether the caller of any duplicate still waits for the request's result."""
        duplicates = (self._table.requests.get(request_id) for request_id in request.duplicate_ids)
        return any(duplicate is not None and duplicate.reply is not None for duplicate in duplicates)

    def attach_to_original(self, now: float, request: Request) -> None:
        """Let a duplicate wait for the result of its original, or answer it if the original has already ended."""
        key = request.submission.idempotency_key
        assert request.duplicate_of is not None and key is not None
        request.state = RequestState.ATTACHED
        if request.awaited_effect is not None:
            self._attach_to_peer(request, request.awaited_effect)
            return
        original = self._table.requests.get(request.duplicate_of)
        entry = self._keys.find((request.submission.class_index, key), now)
        if original is not None and original.state is not RequestState.CLOSED:
            original.duplicate_ids.append(request.request_id)
            return
        is_entry_of_original = entry is not None and entry.request_id == request.duplicate_of
        self._answer_duplicate(request, entry.result if entry is not None and is_entry_of_original else None)

    # ---- Duplicates of what another process runs
    def await_peer(self, request: Request, effect: PeerEffect) -> None:
        """Let a request that the controller started wait for the run of its effect in another process."""
        if self.is_of_another_request(request.submission, effect.body_digest):
            self.end_without_run(request, KEY_OF_ANOTHER_REQUEST)
            return
        # The controller is done with it, so it takes no place of a run.
        self._events.append(RunFinished(request.request_id, 0.0, Outcome.OBSOLETE))
        request.state = RequestState.ATTACHED
        self._attach_to_peer(request, effect)

    def _attach_to_peer(self, request: Request, effect: PeerEffect) -> None:
        if effect.state is PeerRunState.RUNNING and self._guard.peers is not None:
            self._guard.peers.wait_for(effect, request.request_id)
        else:
            self._answer_from_peer(request, effect)

    def answer_from_peers(self) -> None:
        """Answer the requests that waited for runs in other processes that have ended."""
        for effect in self._guard.peers.take_settled() if self._guard.peers is not None else ():
            for request_id in effect.waiting:
                request = self._table.requests.get(request_id)
                if request is not None:
                    self._answer_from_peer(request, effect)

    def _answer_from_peer(self, request: Request, effect: PeerEffect) -> None:
        self._answer_duplicate(request, effect.result, effect.state is not PeerRunState.WITHDRAWN)

    def _answer_duplicate(self, request: Request, result: bytes | None, original_ran: bool = True) -> None:
        """Answer a duplicate according to its original; it is rejected only if the original provably never ran."""
        if request.state is not RequestState.ATTACHED:
            return
        request.ran = original_ran  # which counts for the duplicates of a request that waits for another process
        outcome = Outcome.ERROR if result is None else Outcome.OK
        self._events.append(RunFinished(request.request_id, 0.0, outcome))
        if not original_ran:
            answer = Answer(
                AnswerKind.REJECTED,
                reason="the first try of it never ran",
                retry_after=NEVER_RAN_RETRY_AFTER_S,
            )
        elif result is None:
            answer = Answer(AnswerKind.FAILED, reason="the first try of it gave no result")
        else:
            answer = Answer(AnswerKind.SERVED, result)
        self.answer(request, answer)
        self.close(request, result)
