"""Decides what a repeat gets: a submission whose attempt or effect is known here, in another process or in the store.

It is decided before any check that can refuse a submission. What runs or ran is never refused, as its caller would
send it to another server, where it would run again.
"""

from __future__ import annotations

from lapishaven.core.core_state import CoreState
from lapishaven.core.durable_execution import DurableExecution
from lapishaven.core.idempotency_keys import EffectKey, KeyEntry
from lapishaven.core.peer_effect_table import PeerEffect
from lapishaven.core.request_lifecycle import KEY_OF_ANOTHER_REQUEST, RequestLifecycle
from lapishaven.core.requests import Answer, AnswerKind, Submission

KNOWN_ATTEMPT = Answer(AnswerKind.FAILED, reason="this try is known already")
"""The answer to an attempt that was received before.

The backend identifies runs by this id, so a second request with it could get the first one's result. The attempt may
have run, so it is failed and not rejected.
"""
RAN_BEFORE = Answer(AnswerKind.FAILED, reason="it ran before")
"""The answer to a repeat of an effect that ran, or may have run, and of which no result is known."""

Original = KeyEntry | PeerEffect
"""What holds the key of a repeat: a request of this process, or an effect that another process runs or ran."""


class Repeats:
    """Recognizes repeats by, in this order: attempt, key with another body, stored result, original, known effect."""

    def __init__(self, state: CoreState, lifecycle: RequestLifecycle, durable: DurableExecution | None) -> None:
        """``durable`` is ``None`` if no result store is configured."""
        self._settings = state.settings
        self._table = state.table
        self._keys = state.keys
        self._guard = state.guard
        self._lifecycle = lifecycle
        self._durable = durable

    def resolve(self, now: float, submission: Submission) -> Answer | Original | None:
        """The answer to a repeat, or the original whose result it gets; ``None`` if the submission is no repeat."""
        attempt_id = submission.attempt_id
        if attempt_id in self._table.by_attempt or self._guard.is_known_attempt(submission, self._settings.current):
            return KNOWN_ATTEMPT
        key = self.key_of(submission)
        if key is None:
            return None
        original: Original | None = self._keys.find(key, now)
        if original is None:
            original = self._guard.find_peer_effect(submission, self._settings.current)
        if original is not None and self._lifecycle.is_of_another_request(submission, original.body_digest):
            return KEY_OF_ANOTHER_REQUEST
        stored_answer = self._durable.find_answer(submission) if self._durable is not None else None
        if stored_answer is not None:
            return stored_answer
        if original is None and self._is_known_effect(now, submission):
            return RAN_BEFORE
        return original

    def key_of(self, submission: Submission) -> EffectKey | None:
        """The key that repeats share; ``None`` if the submission has no key or its class is idempotent."""
        key = submission.idempotency_key
        if key is None or not self._settings.is_deduplicated(submission):
            return None
        return submission.class_index, key

    def _is_known_effect(self, now: float, submission: Submission) -> bool:
        """Whether the effect ran or may have run, as far as this process or the result store remembers it."""
        if self._guard.is_known_effect(now, submission):
            return True
        return self._durable is not None and self._durable.is_known_effect(submission)
