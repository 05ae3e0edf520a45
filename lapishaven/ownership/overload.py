"""When an overloaded member sheds shards, and how many. Pure.

A server is overloaded while it rejects ``rejected_share`` of what it answers, or reads requests too late for every
latency objective. A member starts to shed once that has lasted for ``sustained_for`` seconds without a break, so that
bursts move nothing. It then announces a reduced weight and transfers what exceeds its fair share at that weight, one
shard per ``shed_interval``, as long as some other member is not overloaded: if all are, moving work helps nobody. It
takes its full share again ``recovery_time`` seconds after it was last overloaded.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from lapishaven.ownership.assignment import SHEDDING_WEIGHT_FACTOR
from lapishaven.ownership.model import MemberRecord, MemberState, Shard, View

SMOOTHING_FACTOR = 0.3  # weight of the latest answers in the moving average of the rejected share


@dataclass(frozen=True, slots=True)
class OverloadRules:
    """Thresholds of shedding. Times in seconds."""

    sustained_for: float = 2.0
    shed_interval: float = 0.5
    recovery_time: float = 20.0
    rejected_share: float = 0.2
    """Share of rejections among the answers from which a server counts as overloaded."""


class OverloadDetector:
    """Detects overload from periodic calls of ``observe``; ``shard_to_shed`` chooses what to give up."""

    def __init__(self, rules: OverloadRules) -> None:
        self.rules = rules
        self.shed_count = 0
        self._overloaded_since: float | None = None
        self._answers = 0
        self._rejections = 0
        self._rejected_share = 0.0  # moving average
        self._next_shed_at = float("-inf")
        self._full_weights: dict[str, float] = {}  # highest weight announced so far, by incarnation of other members

    def observe(self, now: float, answers: int, rejections: int, reads_late: bool) -> None:
        """Take a sample of the server. ``answers`` and ``rejections`` are totals since the start of the process;
        ``reads_late`` is whether the server now reads requests too late."""
        new_answers = answers - self._answers
        new_rejections = rejections - self._rejections
        self._answers = answers
        self._rejections = rejections
        if new_answers:
            self._rejected_share += SMOOTHING_FACTOR * (new_rejections / new_answers - self._rejected_share)
        if not reads_late and self._rejected_share < self.rules.rejected_share:
            self._overloaded_since = None
        elif self._overloaded_since is None:
            self._overloaded_since = now

    def overloaded(self, now: float) -> bool:
        """Whether the server has been overloaded for long enough to shed."""
        return self._overloaded_since is not None and now - self._overloaded_since >= self.rules.sustained_for

    def shard_to_shed(
        self, now: float, name: str, weight: float, view: View | None, tokens: dict[Shard, int], shard_count: int
    ) -> Shard | None:
        """The shard to give up now, if any.

        ``name`` is this member, ``weight`` its weight without overload, ``tokens`` the tokens of its shards, and
        ``shard_count`` the number of shards of the whole fleet.
        """
        if view is None or not self.overloaded(now) or now < self._next_shed_at or not tokens:
            return None
        records = [member.record for member in view.members if member.record.state is MemberState.SERVING]
        others = [record for record in records if record.name != name]
        if not self._some_at_full_weight(others):
            return None
        reduced_weight = weight * SHEDDING_WEIGHT_FACTOR
        fair_count = shard_count * reduced_weight / (reduced_weight + sum(record.weight for record in others))
        if len(tokens) <= math.ceil(fair_count):
            return None
        self._next_shed_at = now + self.rules.shed_interval
        self.shed_count += 1
        # The newest token: the shard that was gained last has the least work in flight here.
        return max(tokens, key=lambda shard: (tokens[shard], shard))

    def _some_at_full_weight(self, others: Sequence[MemberRecord]) -> bool:
        """Whether some other member is not overloaded: it announces its highest weight so far, not a reduced one."""
        for record in others:
            highest = self._full_weights.get(record.incarnation, 0.0)
            self._full_weights[record.incarnation] = max(record.weight, highest)
        return any(record.weight >= self._full_weights[record.incarnation] for record in others)
