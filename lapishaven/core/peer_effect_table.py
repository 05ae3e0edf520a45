"""The effects and attempts that other processes of one server have claimed, from the records of their shared log.

Pure: all times are Unix seconds on the clock of the log, and are passed in.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from heapq import heappop, heappush

from lapishaven.core.deduplication import ClaimRegistry
from lapishaven.core.effect_records import ClaimWithdrawn, EffectClaim, EffectEnded

EffectName = tuple[str, str]
"""The name of a class and an idempotency key; processes may number their classes differently."""

# A claim of another process counts this much longer than in that process, which may measure its time by another clock.
EXPIRY_MARGIN_S = 1.0


class PeerRunState(Enum):
    """What is known of a run in another process."""

    RUNNING = "running"
    ENDED = "ended"  # with or without a result
    WITHDRAWN = "withdrawn"  # it provably had no effect


@dataclass(slots=True, eq=False)
class PeerEffect:
    """An effect that another process of this server has claimed."""

    name: EffectName
    owner: str  # id of that process
    attempt_id: str
    body_digest: bytes | None  # of the body that its key stands for; None if an earlier version made the claim
    expires_at: float  # with the margin
    state: PeerRunState = PeerRunState.RUNNING
    result: bytes | None = None  # of a run that has ended; None if it gave none, or it was evicted
    waiting: list[int] = field(default_factory=list)  # request ids of the duplicates that wait for its end


class PeerEffectTable:
    """Applies the records of others in the order of the log; which claims are valid is decided here alone."""

    def __init__(self, result_limit_bytes: int, attempt_limit: int, on_ended: Callable[[PeerEffect], None]) -> None:
        """``on_ended`` is called once for each effect, when its run has ended, was withdrawn or is no longer of use."""
        self._result_limit_bytes = result_limit_bytes
        self._on_ended = on_ended
        self._result_bytes = 0
        self._attempts = ClaimRegistry(0.0, attempt_limit)
        self._effects: dict[EffectName, PeerEffect] = {}
        self._expiries: list[tuple[float, EffectName]] = []  # heap
        self._with_result: deque[PeerEffect] = deque()  # oldest first

    def find(self, unix_time: float, name: EffectName) -> PeerEffect | None:
        """The effect if another process has claimed it and the claim has not expired."""
        self._expire(unix_time)
        return self._effects.get(name)

    def is_known_attempt(self, unix_time: float, attempt_id: str) -> bool:
        """Whether another process has claimed the attempt."""
        self._attempts.expire(unix_time)
        return self._attempts.is_claimed(attempt_id)

    # ---- Records
    def apply_claim(self, unix_time: float, claim: EffectClaim, is_claimed_here: bool) -> None:
        """Apply a claim, whose effect ``is_claimed_here`` if an own claim of it precedes this one."""
        attempt_time_left = claim.attempt_expires_at + EXPIRY_MARGIN_S - unix_time
        if attempt_time_left > 0:
            self._attempts.claim(unix_time, claim.attempt_id, attempt_time_left)
        expires_at = claim.effect_expires_at + EXPIRY_MARGIN_S
        if claim.key is None or expires_at <= unix_time or is_claimed_here:
            return
        name = (claim.class_name, claim.key)
        previous = self._effects.get(name)
        if previous is not None:
            # A process never claims what it has claimed itself, so an earlier claim of its own has expired.
            if previous.owner != claim.owner and previous.expires_at > claim.claimed_at:
                return
            self.end(previous, PeerRunState.ENDED)
        self._effects[name] = PeerEffect(name, claim.owner, claim.attempt_id, claim.body_digest, expires_at)
        heappush(self._expiries, (expires_at, name))

    def apply_withdrawal(self, record: ClaimWithdrawn) -> None:
        """Free the attempt and the effect of a claim."""
        self._attempts.release(record.attempt_id)
        effect = self._find_run(record.owner, record.attempt_id, record.class_name, record.key)
        if effect is not None:
            del self._effects[effect.name]
            self.end(effect, PeerRunState.WITHDRAWN)

    def apply_end(self, record: EffectEnded) -> None:
        """Keep the result of a run."""
        effect = self._find_run(record.owner, record.attempt_id, record.class_name, record.key)
        if effect is None or effect.state is not PeerRunState.RUNNING:
            return
        effect.result = record.result
        self.end(effect, PeerRunState.ENDED)
        if record.result is not None:
            self._result_bytes += len(record.result)
            self._with_result.append(effect)
            while self._result_bytes > self._result_limit_bytes:
                self._drop_oldest_result()

    def _find_run(self, owner: str, attempt_id: str, class_name: str, key: str | None) -> PeerEffect | None:
        """The effect whose valid claim is the one of this attempt."""
        effect = self._effects.get((class_name, key)) if key is not None else None
        return effect if effect is not None and (effect.owner, effect.attempt_id) == (owner, attempt_id) else None

    def end(self, effect: PeerEffect, state: PeerRunState) -> None:
        """Mark a run as ended; ignored if it has ended before."""
        if effect.state is PeerRunState.RUNNING:
            effect.state = state
            self._on_ended(effect)

    # ---- Expiry
    def _expire(self, unix_time: float) -> None:
        while self._expiries and self._expiries[0][0] <= unix_time:
            expires_at, name = heappop(self._expiries)
            effect = self._effects.get(name)
            if effect is not None and effect.expires_at == expires_at:
                del self._effects[name]
                self.end(effect, PeerRunState.ENDED)
        while self._with_result and self._with_result[0].expires_at <= unix_time:
            self._drop_oldest_result()

    def _drop_oldest_result(self) -> None:
        effect = self._with_result.popleft()
        self._result_bytes -= len(effect.result or b"")
        effect.result = None
