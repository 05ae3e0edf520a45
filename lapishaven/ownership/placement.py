"""Which member should own which shard: rendezvous hashing with bounded load and few moves. Pure.

Every member computes the same placement from the same view. A shard stays with its owner while that is alive, serving
and within its load bound. A shard without an owner goes to the member with the highest score for it among those with
capacity. A member under its fair share then takes the shards that it lacks from the most loaded members.

Sources: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998 (rendezvous hashing); Mirrokni,
Thorup and Zadimoghaddam, "Consistent hashing with bounded loads", 2016.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from functools import lru_cache

import xxhash

from lapishaven.ownership.model import Shard

LOAD_BOUND = 1.25  # a member owns at most this multiple of its fair share, or the share rounded up if that is more
_HASH_MULTIPLIER = 0x9E3779B97F4A7C15  # 2**64 divided by the golden ratio (Fibonacci hashing)
_HASH_MASK = (1 << 64) - 1


@dataclass(frozen=True, slots=True)
class Candidate:
    """A member that may be given shards."""

    name: str
    weight: float = 1.0


@lru_cache(maxsize=4096)
def _hash(text: str) -> int:
    return int(xxhash.xxh3_64_intdigest(text.encode()))


def rendezvous_score(shard: Shard, candidate: Candidate) -> float:
    """The score of a member for a shard; the highest is preferred.

    ``u`` is a hash of shard and member, uniform between 0 and 1. A member of weight 1 scores ``u``, one of another
    weight ``w`` scores ``1 + ln u / w``. If all weights are 1, or none is, each member is preferred in proportion to
    its weight. If some are, the members of weight 1 are preferred more often than in proportion.
    """
    duty, number = shard
    bits = (_hash(f"{duty}/{number}") ^ _hash(candidate.name)) * _HASH_MULTIPLIER & _HASH_MASK
    bits ^= bits >> 32
    uniform = ((bits * _HASH_MULTIPLIER & _HASH_MASK) + 0.5) / 2.0**64
    return uniform if candidate.weight == 1.0 else 1.0 + math.log(uniform) / candidate.weight


def max_shards(shard_count: int, candidate: Candidate, total_weight: float, load_bound: float = LOAD_BOUND) -> int:
    """The maximum number of shards that a member may own. Over all members it sums to at least ``shard_count``."""
    fair_count = shard_count * candidate.weight / total_weight
    return max(math.ceil(fair_count), math.floor(load_bound * fair_count))


@dataclass(slots=True)
class _Plan:
    """A placement under construction."""

    candidates: Mapping[str, Candidate]
    fair_counts: Mapping[str, float]  # by member: its share of the shards by weight, not rounded
    owned: dict[str, list[Shard]]  # by member

    def assign(self, shards: Sequence[Shard]) -> None:
        """Give each shard to the member with the highest score, first among the members under their fair share (rounded
        down), then among those with capacity."""
        below_fair_share = {name for name in self.owned if len(self.owned[name]) < math.floor(self.fair_counts[name])}
        with_capacity = {name for name in self.owned if len(self.owned[name]) < math.ceil(self.fair_counts[name])}
        for shard in shards:
            best = max(below_fair_share or with_capacity, key=lambda name: (self._score(shard, name), name))
            self.owned[best].append(shard)
            if len(self.owned[best]) >= math.floor(self.fair_counts[best]):
                below_fair_share.discard(best)
            if len(self.owned[best]) >= math.ceil(self.fair_counts[best]):
                with_capacity.discard(best)

    def rebalance(self) -> None:
        """Move shards to the members under their fair share from those that exceed theirs the most."""
        below_fair_share = [name for name in self.owned if len(self.owned[name]) < math.floor(self.fair_counts[name])]
        for name in sorted(below_fair_share, key=lambda name: (self._excess(name), name)):
            while len(self.owned[name]) < math.floor(self.fair_counts[name]):
                fullest = max(self.fair_counts, key=lambda other: (self._excess(other), other))
                if len(self.owned[fullest]) <= self.fair_counts[fullest]:
                    return
                taken = max(self.owned[fullest], key=lambda shard: self._score(shard, name))
                self.owned[fullest].remove(taken)
                self.owned[name].append(taken)

    def remove_excess(self, name: str, bound: int) -> list[Shard]:
        """Remove the shards that a member owns above ``bound``, those for which it scores lowest; returns them."""
        shards = self.owned[name]
        excess = len(shards) - bound
        if excess <= 0:
            return []
        shards.sort(key=lambda shard: self._score(shard, name))
        taken = shards[:excess]
        del shards[:excess]
        return taken

    def _excess(self, name: str) -> float:
        return len(self.owned[name]) - self.fair_counts[name]

    def _score(self, shard: Shard, name: str) -> float:
        return rendezvous_score(shard, self.candidates[name])


def compute_placement(
    shards: Sequence[Shard],
    candidates: Sequence[Candidate],
    current: Mapping[Shard, str],
    load_bound: float = LOAD_BOUND,
) -> dict[Shard, str]:
    """The owner of every shard, by name; empty without candidates.

    ``current`` holds the present owner of each shard, by name; owners that are not candidates are ignored. Shards that
    have to move go first to members under their fair share, so that none moves twice.
    """
    if not candidates:
        return {}
    by_name = {candidate.name: candidate for candidate in candidates}
    total_weight = sum(candidate.weight for candidate in candidates)
    plan = _Plan(
        by_name,
        {candidate.name: len(shards) * candidate.weight / total_weight for candidate in candidates},
        {candidate.name: [] for candidate in candidates},
    )
    unowned: list[Shard] = []
    for shard in sorted(shards):
        owner = current.get(shard)
        if owner is not None and owner in by_name:
            plan.owned[owner].append(shard)
        else:
            unowned.append(shard)
    plan.assign(unowned)
    plan.rebalance()
    excess: list[Shard] = []
    for name, candidate in by_name.items():
        excess += plan.remove_excess(name, max_shards(len(shards), candidate, total_weight, load_bound))
    plan.assign(sorted(excess))
    return {shard: name for name, owned in plan.owned.items() for shard in owned}


@lru_cache(maxsize=8)
def _placement(
    shards: tuple[Shard, ...], candidates: tuple[Candidate, ...], current: frozenset[tuple[Shard, str]]
) -> dict[Shard, str]:
    return compute_placement(shards, candidates, dict(current))


def cached_placement(
    shards: tuple[Shard, ...], candidates: Sequence[Candidate], current: Mapping[Shard, str]
) -> Mapping[Shard, str]:
    """``compute_placement`` with the default load bound, cached: the same view is evaluated several times."""
    return _placement(shards, tuple(candidates), frozenset(current.items()))
