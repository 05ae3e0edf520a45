"""The fence: how a receiver of effects judges a request by its fencing token. Pure; ``fenced_store`` keeps the state
durably.

A lease alone cannot prevent writes of an old owner, as the process may be stopped between its check and its write. So
each request carries its owner's token, and the receiver rejects tokens older than the highest that it has seen. See
Kleppmann, "How to do distributed locking", 2016.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lapishaven.ownership.model import Shard


class Verdict(Enum):
    """Decision on a request. The values are sent by ``receiver``."""

    ADMIT = "admit"
    REPEAT = "repeat"  # applied before; the first answer is returned again
    STALE = "stale"  # a newer owner has already acted on the shard
    BEHIND = "behind"  # the receiver holds fewer effects than it acknowledged, as after a restore from an older copy


@dataclass(frozen=True, slots=True)
class EffectRequest:
    """One effect that an owner sends."""

    shard: Shard
    token: int
    number: int
    """Increases within a token; a repeat carries the same number."""
    known_effects: int = 0
    """Lower bound of the number of effects of the shard that the receiver should hold."""


@dataclass(frozen=True, slots=True)
class HighWaterMark:
    """A receiver's state of one shard."""

    token: int = 0
    """The highest fencing token."""
    number: int = 0
    """Number of the last request admitted under that token."""
    effect_count: int = 0


def judge(mark: HighWaterMark, request: EffectRequest) -> Verdict:
    """Judge a request on a receiver whose state is ``mark``."""
    if request.token < mark.token:
        return Verdict.STALE
    if request.token == mark.token and request.number <= mark.number:
        return Verdict.REPEAT
    if mark.effect_count < request.known_effects:
        return Verdict.BEHIND
    return Verdict.ADMIT


def judge_unfenced(mark: HighWaterMark, request: EffectRequest) -> Verdict:
    """Judge without fencing, as a baseline for measurements: every token is accepted, repeats are recognized."""
    is_repeat = request.token == mark.token and request.number <= mark.number
    return Verdict.REPEAT if is_repeat else Verdict.ADMIT


def advance(mark: HighWaterMark, request: EffectRequest) -> HighWaterMark:
    """The mark after an admitted request has been applied."""
    return HighWaterMark(request.token, request.number, mark.effect_count + 1)
