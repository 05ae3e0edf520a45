"""Prevents a request from running twice, by its attempt id and by its idempotency key."""

from __future__ import annotations

from lapishaven.admission import Idempotency, Settings
from lapishaven.core.deduplication import ClaimRegistry
from lapishaven.core.requests import Answer, AnswerKind, Submission

EFFECT_RETENTION_S = 900.0  # if no idempotency window applies; far longer than any caller retries
# A copied message carries the send time of the original, and is malformed if that is more than a minute ago.
ATTEMPT_RETENTION_S = 75.0
CLOCK_SLACK_S = 1.0  # added to an idempotency window for clock differences and transmission delays
FULL_RETRY_AFTER_S = 1.0  # Retry-After when the guard is full
# Each registry holds one name per this much process memory; a name takes about 200 bytes, so at most a tenth is used.
MEMORY_BYTES_PER_NAME = 2048


class ExecutionGuard:
    """Remembers the started attempts and effects of classes that are not idempotent.

    An attempt is identified by its id, an effect by its class and idempotency key.
    """

    def __init__(self, memory_bytes: int) -> None:
        """``memory_bytes`` is the memory of the process."""
        limit = memory_bytes // MEMORY_BYTES_PER_NAME
        self.attempts = ClaimRegistry(ATTEMPT_RETENTION_S, limit)
        self.effects = ClaimRegistry(EFFECT_RETENTION_S, limit)

    def claim(self, now: float, submission: Submission, settings: Settings) -> Answer | None:
        """Record a run as started and return ``None``, or return the answer to send if it must not start.

        A run must not start if it was started before or cannot be recorded. Runs of idempotent classes may always
        start and are not recorded.
        """
        if settings.classes[submission.class_index].idempotency is Idempotency.IDEMPOTENT:
            return None
        has_key = submission.idempotency_key is not None
        effect = (submission.class_index, submission.idempotency_key)
        self.effects.expire(now)
        if self.attempts.is_claimed(submission.attempt_id) or (has_key and self.effects.is_claimed(effect)):
            return Answer(AnswerKind.FAILED, reason="it ran before")
        if self.attempts.is_full(now) or (has_key and self.effects.is_full(now)):
            return Answer(AnswerKind.REJECTED, reason="no room to remember its run", retry_after=FULL_RETRY_AFTER_S)
        self.attempts.claim(now, submission.attempt_id)
        if has_key:
            self.effects.claim(now, effect, self._effect_retention(settings, submission.class_index))
        return None

    def release(self, submission: Submission) -> None:
        """Remove the record of a run that provably had no effect."""
        self.attempts.release(submission.attempt_id)
        self.effects.release((submission.class_index, submission.idempotency_key))

    def remember(self, started_at: float, class_index: int, key: str) -> None:
        """Record an effect that an earlier process started."""
        self.effects.claim(started_at, (class_index, key))

    def _effect_retention(self, settings: Settings, class_index: int) -> float:
        """Seconds for which duplicates of an effect that starts now may still arrive.

        A class's idempotency window starts when the attempt that runs arrives, and that attempt may have been queued
        for up to the class's deadline.
        """
        request_class = settings.classes[class_index]
        window = request_class.idempotency_window
        if request_class.idempotency is Idempotency.WITH_KEY and window is not None:
            return window + request_class.deadline + CLOCK_SLACK_S
        return self.effects.retention
