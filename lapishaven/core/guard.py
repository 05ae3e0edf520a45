"""What keeps a request from being run: its try or its effect was run before, or it came too late."""

from __future__ import annotations

from cometdrum.interface import Effect, Settings
from lapishaven.core.model import Answer, Kind, Submission
from lapishaven.core.once import OnceGuard

ONCE_LIFE = 900.0  # s for a key; far longer than any caller keeps a try
TRY_LIFE = 75.0  # s for a try's name: a copy bears its time, and one from over a minute ago is an error
CLOCK_SLACK = 1.0  # s by which callers' clocks and what is under way may stretch a window
FULL_WAIT = 1.0  # s to keep away where there is no room to remember a run
NAME_PART = 2048  # bytes of the memory for each name that may be remembered: one takes some 200, so a tenth


class RunGuard:
    """Remembers the tries and the effects that were started, those of classes that may not be run twice."""

    def __init__(self, memory: int) -> None:
        self.tries = OnceGuard(TRY_LIFE, memory // NAME_PART)
        self.effects = OnceGuard(ONCE_LIFE, memory // NAME_PART)

    def bar(self, now: float, sub: Submission, settings: Settings) -> Answer | None:
        """The answer that takes the place of a run; else its try is claimed, and its effect where it has a key."""
        if settings.classes[sub.cls].effect is Effect.SAFE:
            return None
        effect = (sub.cls, sub.key)
        self.effects.expire(now)
        if self.tries.claimed(sub.handle) or sub.key is not None and self.effects.claimed(effect):
            return Answer(Kind.FAILED, reason="it ran before")
        if self.tries.full(now) or sub.key is not None and self.effects.full(now):
            return Answer(Kind.REFUSED, reason="no room to remember its run", pushback=FULL_WAIT)
        self.tries.claim(now, sub.handle)
        if sub.key is not None:
            self.effects.claim(now, effect, self._life(settings, sub.cls))
        return None

    def release(self, sub: Submission) -> None:
        """It provably never ran."""
        self.tries.release(sub.handle)
        self.effects.release((sub.cls, sub.key))

    def remember(self, when: float, cls: int, key: str) -> None:
        """An effect that was started at that time, before this guard was there."""
        self.effects.claim(when, (cls, key))

    def _life(self, settings: Settings, cls: int) -> float:
        """For how long a repeat of what is started now may come: where the settings name the class's window, which
        counts from the arrival of the try that runs, that and the time for which it may have waited."""
        spec = settings.classes[cls]
        if spec.effect is Effect.KEYED and spec.window is not None:
            return spec.window + spec.deadline + CLOCK_SLACK
        return self.effects.life
