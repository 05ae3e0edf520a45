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

LOAD_BOUND = 1.25  # a member owns at most this multiple of the mean
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

    If all weights are 1, or none is, each member is preferred in proportion to its weight. Weight 1 is scored by ``u``
    and other weights by ``1 + ln u / w``, so among mixed weights a member of weight 1 is preferred more often than in
    proportion.
    """
    duty, number = shard
    bits = (_hash(f"{duty}/{number}") ^ _hash(candidate.name)) * _HASH_MULTIPLIER & _HASH_MASK
    bits ^= bits >> 32
    uniform = ((bits * _HASH_MULTIPLIER & _HASH_MASK) + 0.5) / 2.0**64
    return uniform if candidate.weight == 1.0 else 1.0 + math.log(uniform) / candidate.weight


def max_shards(shard_count: int, candidate: Candidate, total_weight: float, load_bound: float = LOAD_BOUND) -> int:
    """Most shards that a member may own; together the members always have capacity for all."""
    mean = shard_count * candidate.weight / total_weight
    return max(math.ceil(mean), math.floor(load_bound * mean))


@dataclass(slots=True)
class _Plan:
    """A placement under construction."""

    candidates: Mapping[str, Candidate]
    fair_counts: Mapping[str, float]
    owned: dict[str, list[Shard]]

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

    def take_over_bound(self, name: str, bound: int) -> list[Shard]:
        """Remove from a member the shards beyond ``bound``, those for which it scores lowest; returns them."""
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

    ``current`` holds the present owners; owners that are not candidates are ignored. Shards that have to move go to
    members under their fair share, so that none moves twice.
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
    over_bound: list[Shard] = []
    for name, candidate in by_name.items():
        over_bound += plan.take_over_bound(name, max_shards(len(shards), candidate, total_weight, load_bound))
    plan.assign(sorted(over_bound))
    return {shard: name for name, owned in plan.owned.items() for shard in owned}


@lru_cache(maxsize=8)
def _placement(
    shards: tuple[Shard, ...], candidates: tuple[Candidate, ...], current: frozenset[tuple[Shard, str]]
) -> dict[Shard, str]:
    return compute_placement(shards, candidates, dict(current))


def cached_placement(
    shards: tuple[Shard, ...], candidates: Sequence[Candidate], current: Mapping[Shard, str]
) -> Mapping[Shard, str]:
    """``compute_placement``, cached by its arguments: the same view is evaluated several times."""
    return _placement(shards, tuple(candidates), frozenset(current.items()))
