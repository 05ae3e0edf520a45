"""Keeps a request from being run twice: its attempt, or its effect, may have been run before."""

from __future__ import annotations

from lapishaven.admission import Idempotency, Settings
from lapishaven.core.deduplication import ClaimRegistry
from lapishaven.core.requests import Answer, AnswerKind, Submission

EFFECT_RETENTION_S = 900.0  # far longer than any caller retries; where no idempotency window applies
ATTEMPT_RETENTION_S = 75.0  # a copy carries the time of the original, and one from over a minute ago is malformed
CLOCK_SLACK_S = 1.0  # by which callers' clocks and messages on their way may stretch an idempotency window
FULL_RETRY_AFTER_S = 1.0  # Retry-After where there is no room to remember a run
MEMORY_BYTES_PER_NAME = 2048  # of the process's memory for each name; one takes about 200, so a tenth is used at most


class ExecutionGuard:
    """Remembers which attempts and effects were started, of the classes that are not idempotent.

    An attempt is known by its id, an effect by its class and idempotency key.
    """

    def __init__(self, memory: int) -> None:
        """``memory`` is the process's memory in bytes."""
        limit = memory // MEMORY_BYTES_PER_NAME
        self.attempts = ClaimRegistry(ATTEMPT_RETENTION_S, limit)
        self.effects = ClaimRegistry(EFFECT_RETENTION_S, limit)

    def claim(self, now: float, submission: Submission, settings: Settings) -> Answer | None:
        """Remember a run as started and return ``None``; or the answer that takes its place, if it must not start.

        It must not if it ran before or cannot be remembered. Runs of idempotent classes may always start and are not
        remembered.
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
        """Forget a run that provably did nothing."""
        self.attempts.release(submission.attempt_id)
        self.effects.release((submission.class_index, submission.idempotency_key))

    def remember(self, started_at: float, class_index: int, key: str) -> None:
        """Note an effect that an earlier process started."""
        self.effects.claim(started_at, (class_index, key))

    def _effect_retention(self, settings: Settings, class_index: int) -> float:
        """Seconds for which a duplicate of an effect that starts now may still arrive.

        The class's idempotency window, where it has one, counts from the arrival of the attempt that runs, which may
        have been queued for up to the class's deadline.
        """
        request_class = settings.classes[class_index]
        window = request_class.idempotency_window
        if request_class.idempotency is Idempotency.WITH_KEY and window is not None:
            return window + request_class.deadline + CLOCK_SLACK_S
        return self.effects.retention
