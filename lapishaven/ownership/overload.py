"""When an overloaded member gives shards back, and how many. Pure.

A server is overloaded while a fifth of what it answers is refused, or while it reads what comes too late for every aim.
A member is strained once it has been overloaded for ``after`` seconds without a break, so that a burst moves nothing.
It then goes by half its weight and hands over what is more than its part by that, one shard each ``pace``, as long as
some other member is not strained: where all are, moving work helps nobody. It takes its full part again ``rest``
seconds after the last time that it was overloaded.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from lapishaven.ownership.model import Shard, Standing, View

SMOOTH = 0.3  # part that the answers since the last time count


@dataclass(frozen=True, slots=True)
class OverloadRules:
    """Seconds."""

    after: float = 2.0
    pace: float = 0.5
    rest: float = 20.0
    refused: float = 0.2  # part of the answers


class OverloadDetector:
    """Told how it goes from time to time; ``due`` says what to give back."""

    def __init__(self, rules: OverloadRules) -> None:
        self.rules = rules
        self._since: float | None = None  # overloaded since then
        self._answers = self._refusals = 0
        self._part = 0.0  # refused of late
        self._next = float("-inf")  # nothing more is given before
        self._full: dict[str, float] = {}  # the most that each start of another member was seen to go by
        self.given = 0

    def told(self, now: float, answers: int, refusals: int, late: bool) -> None:
        """``answers`` and ``refusals`` so far, whether it reads late now."""
        more, self._answers = answers - self._answers, answers
        refused, self._refusals = refusals - self._refusals, refusals
        if more:
            self._part += SMOOTH * (refused / more - self._part)
        if not late and self._part < self.rules.refused:
            self._since = None
        elif self._since is None:
            self._since = now

    def strained(self, now: float) -> bool:
        return self._since is not None and now - self._since >= self.rules.after

    def due(
        self, now: float, name: str, weight: float, view: View | None, held: dict[Shard, int], shards: int
    ) -> Shard | None:
        """A shard to give back now, if any. ``weight``: this member's when it is not strained; ``shards``: how many
        there are in all."""
        if view is None or not self.strained(now) or now < self._next or not held:
            return None
        others = [
            each.card for each in view.members if each.card.standing is Standing.SERVING and each.card.name != name
        ]
        for card in others:
            self._full[card.start] = max(card.weight, self._full.get(card.start, 0.0))
        if not any(card.weight >= self._full[card.start] for card in others):
            return None  # all go by less than they once did, as this one is about to
        fair = shards * weight / 2 / (weight / 2 + sum(card.weight for card in others))
        if len(held) <= math.ceil(fair):
            return None
        self._next = now + self.rules.pace
        self.given += 1
        # The one that was taken last, as it has the least under way here.
        return max(held, key=lambda shard: (held[shard], shard))
