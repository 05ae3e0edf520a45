"""Prevents a request from running twice, by its attempt id and by its idempotency key.

Where several processes of one server share a log, what they have run counts as well.
"""

from __future__ import annotations

from lapishaven.admission import Idempotency, RequestClass, Settings
from lapishaven.core.deduplication import ClaimRegistry
from lapishaven.core.peer_effect_table import PeerEffect
from lapishaven.core.peer_effects import ClaimRefusal, PeerEffects
from lapishaven.core.requests import Answer, AnswerKind, Submission

EFFECT_RETENTION_S = 900.0  # if no idempotency window applies; far longer than any caller retries
# A copied message carries the send time of the original, and is malformed if that is more than a minute ago.
ATTEMPT_RETENTION_S = 75.0
CLOCK_SLACK_S = 1.0  # added to an idempotency window for clock differences and transmission delays
FULL_RETRY_AFTER_S = 1.0  # Retry-After when the guard is full
# Each registry holds one name per this much process memory; a name takes about 200 bytes, so at most a tenth is used.
MEMORY_BYTES_PER_NAME = 2048


def max_names(memory_bytes: int) -> int:
    """How many names a registry holds in a process with this memory."""
    return memory_bytes // MEMORY_BYTES_PER_NAME


class ExecutionGuard:
    """Remembers the started attempts and effects of classes that are not idempotent.

    An attempt is identified by its id, an effect by its class and idempotency key.
    """

    def __init__(self, memory_bytes: int, peers: PeerEffects | None = None) -> None:
        """``memory_bytes`` is the memory of the process; ``peers`` is ``None`` if it shares nothing with others."""
        self.peers = peers
        limit = max_names(memory_bytes)
        self.attempts = ClaimRegistry(ATTEMPT_RETENTION_S, limit)
        self.effects = ClaimRegistry(EFFECT_RETENTION_S, limit)

    def claim(self, now: float, submission: Submission, request_class: RequestClass) -> Answer | PeerEffect | None:
        """Record a run as started and return ``None``, or return the answer to send if it must not start.

        ``request_class`` is the class as it was when the submission arrived: its window counts. A run must not start if
        it was started before or cannot be recorded. Runs of idempotent classes may always start and are not recorded.
        If another process runs or has run the effect, that is returned.
        """
        if request_class.idempotency is Idempotency.IDEMPOTENT:
            return None
        has_key = submission.idempotency_key is not None
        effect = (submission.class_index, submission.idempotency_key)
        self.effects.expire(now)
        if self.attempts.is_claimed(submission.attempt_id) or (has_key and self.effects.is_claimed(effect)):
            return Answer(AnswerKind.FAILED, reason="it ran before")
        if self.attempts.is_full(now) or (has_key and self.effects.is_full(now)):
            return Answer(AnswerKind.REJECTED, reason="no room to remember its run", retry_after=FULL_RETRY_AFTER_S)
        self.attempts.claim(now, submission.attempt_id)
        retention_s = self._effect_retention(request_class)
        if has_key:
            self.effects.claim(now, effect, retention_s)
        if self.peers is None:
            return None
        return self._claim_among_peers(self.peers, submission, request_class.name, retention_s)

    def _claim_among_peers(
        self, peers: PeerEffects, submission: Submission, class_name: str, retention_s: float
    ) -> Answer | PeerEffect | None:
        refusal = peers.claim(submission, class_name, self.attempts.retention, retention_s)
        if refusal is None:
            return None
        self.forget(submission)
        if isinstance(refusal, PeerEffect):
            return refusal
        if refusal is ClaimRefusal.KNOWN_ATTEMPT:
            return Answer(AnswerKind.FAILED, reason="it ran before")
        return Answer(AnswerKind.REJECTED, reason="its run could not be recorded", retry_after=FULL_RETRY_AFTER_S)

    def release(self, submission: Submission) -> None:
        """Remove the record of a run that provably had no effect."""
        self.forget(submission)
        if self.peers is not None:
            self.peers.withdraw(submission.attempt_id)

    def forget(self, submission: Submission) -> None:
        """Remove the record of a run that did not take place here, though its effect may have been run elsewhere."""
        self.attempts.release(submission.attempt_id)
        self.effects.release((submission.class_index, submission.idempotency_key))

    def run_ended(self, submission: Submission, result: bytes | None) -> None:
        """Let other processes know the end of a run and its result, if it had one."""
        if self.peers is not None:
            self.peers.run_ended(submission.attempt_id, result)

    def find_peer_effect(self, submission: Submission, settings: Settings) -> PeerEffect | None:
        """The submission's effect if another process has claimed it; ``None`` also for idempotent classes."""
        request_class = settings.classes[submission.class_index]
        key = submission.idempotency_key
        if self.peers is None or key is None or request_class.idempotency is Idempotency.IDEMPOTENT:
            return None
        self.peers.refresh()
        return self.peers.find((request_class.name, key))

    def is_known_effect(self, now: float, submission: Submission) -> bool:
        """Whether this process has started the submission's effect before, and still remembers it."""
        key = submission.idempotency_key
        self.effects.expire(now)
        return key is not None and self.effects.is_claimed((submission.class_index, key))

    def is_known_attempt(self, submission: Submission, settings: Settings) -> bool:
        """Whether the attempt was started, here or, unless its class is idempotent, in another process."""
        if self.attempts.is_claimed(submission.attempt_id):
            return True
        idempotency = settings.classes[submission.class_index].idempotency
        if self.peers is None or idempotency is Idempotency.IDEMPOTENT:
            return False
        self.peers.refresh()
        return self.peers.is_known_attempt(submission.attempt_id)

    def is_awaited_elsewhere(self, submission: Submission) -> bool:
        """Whether a duplicate of the submission's run waits in another process."""
        return self.peers is not None and self.peers.is_awaited(submission.attempt_id)

    def remember(self, started_at: float, class_index: int, key: str) -> None:
        """Record an effect that an earlier process started."""
        self.effects.claim(started_at, (class_index, key))

    def _effect_retention(self, request_class: RequestClass) -> float:
        """Seconds for which duplicates of an effect that starts now may still arrive.

        A class's idempotency window starts when the attempt that runs arrives, and that attempt may have been queued
        for up to the class's deadline.
        """
        window = request_class.idempotency_window
        if request_class.idempotency is Idempotency.WITH_KEY and window is not None:
            return window + request_class.deadline + CLOCK_SLACK_S
        return self.effects.retention
