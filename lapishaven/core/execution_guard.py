"""What keeps a request from being run: its try or its effect was run before, or it came too late."""

from __future__ import annotations

from lapishaven.admission import Idempotency, Settings
from lapishaven.core.deduplication import AttemptRegistry
from lapishaven.core.requests import Answer, AnswerKind, Submission

ONCE_LIFE = 900.0  # s for a key; far longer than any caller keeps a try
TRY_LIFE = 75.0  # s for a try's name: a copy bears its time, and one from over a minute ago is an error
CLOCK_SLACK = 1.0  # s by which callers' clocks and what is under way may stretch a window
FULL_WAIT = 1.0  # s to keep away where there is no room to remember a run
NAME_PART = 2048  # bytes of the memory for each name that may be remembered: one takes some 200, so a tenth


class ExecutionGuard:
    """Remembers the tries and the effects that were started, those of classes that may not be run twice."""

    def __init__(self, memory: int) -> None:
        self.tries = AttemptRegistry(TRY_LIFE, memory // NAME_PART)
        self.effects = AttemptRegistry(ONCE_LIFE, memory // NAME_PART)

    def refuse_duplicate(self, now: float, sub: Submission, settings: Settings) -> Answer | None:
        """The answer that takes the place of a run; else its try is claimed, and its effect where it has a key."""
        if settings.classes[sub.class_index].idempotency is Idempotency.IDEMPOTENT:
            return None
        effect = (sub.class_index, sub.idempotency_key)
        self.effects.expire(now)
        if self.tries.claimed(sub.attempt_id) or sub.idempotency_key is not None and self.effects.claimed(effect):
            return Answer(AnswerKind.FAILED, reason="it ran before")
        if self.tries.full(now) or sub.idempotency_key is not None and self.effects.full(now):
            return Answer(AnswerKind.REJECTED, reason="no room to remember its run", retry_after=FULL_WAIT)
        self.tries.claim(now, sub.attempt_id)
        if sub.idempotency_key is not None:
            self.effects.claim(now, effect, self._life(settings, sub.class_index))
        return None

    def release(self, sub: Submission) -> None:
        """It provably never ran."""
        self.tries.release(sub.attempt_id)
        self.effects.release((sub.class_index, sub.idempotency_key))

    def remember(self, when: float, cls: int, key: str) -> None:
        """An effect that was started at that time, before this guard was there."""
        self.effects.claim(when, (cls, key))

    def _life(self, settings: Settings, cls: int) -> float:
        """For how long a repeat of what is started now may come: where the settings name the class's window, which
        counts from the arrival of the try that runs, that and the time for which it may have waited."""
        spec = settings.classes[cls]
        if spec.idempotency is Idempotency.WITH_KEY and spec.idempotency_window is not None:
            return spec.idempotency_window + spec.deadline + CLOCK_SLACK
        return self.effects.life
