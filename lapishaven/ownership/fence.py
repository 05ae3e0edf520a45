"""The fence: what a receiver of effects decides of a request that bears a fencing token. Pure; ``fenced_store`` keeps
its state durably.

A lease cannot keep an old owner from writing, as the process may be stopped between its check and its write. So each
request bears its owner's token, and the receiver rejects what is older than the highest token that it has seen. See
Kleppmann, "How to do distributed locking", 2016.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lapishaven.ownership.model import Shard


class Verdict(Enum):
    """What becomes of a request. The values are sent by ``receiver``."""

    ADMIT = "admit"
    REPEAT = "repeat"  # it was applied before, and gets its first answer
    STALE = "stale"  # a newer owner has acted here
    BEHIND = "behind"  # the receiver holds fewer effects than it acknowledged: an older copy was put back


@dataclass(frozen=True, slots=True)
class EffectRequest:
    """One effect that an owner asks for."""

    shard: Shard
    token: int
    number: int
    """Grows within a token; a repeat bears the same one."""
    known_effects: int = 0
    """How many effects of the shard the receiver is known to hold, at the least."""


@dataclass(frozen=True, slots=True)
class HighWaterMark:
    """What a receiver keeps of a shard."""

    token: int = 0
    """The highest fencing token."""
    number: int = 0
    """The last request under that token."""
    effect_count: int = 0


def judge(mark: HighWaterMark, request: EffectRequest) -> Verdict:
    """Whether the request may take effect on a receiver that stands at ``mark``."""
    if request.token < mark.token:
        return Verdict.STALE
    if request.token == mark.token and request.number <= mark.number:
        return Verdict.REPEAT
    if mark.effect_count < request.known_effects:
        return Verdict.BEHIND
    return Verdict.ADMIT


def judge_unfenced(mark: HighWaterMark, request: EffectRequest) -> Verdict:
    """The baseline that measurements compare with: leases without fencing. Repeats are recognized all the same."""
    is_repeat = request.token == mark.token and request.number <= mark.number
    return Verdict.REPEAT if is_repeat else Verdict.ADMIT


def advance(mark: HighWaterMark, request: EffectRequest) -> HighWaterMark:
    """The receiver's mark once an admitted request has taken effect."""
    return HighWaterMark(request.token, request.number, mark.effect_count + 1)
