"""Which member should own which shard: rendezvous hashing with bounded load, moved as little as can be. Pure.

Every member computes the same plan from the same view. Shards stay where they are while their owner is alive, serves
and is not over its bound; only those without an owner are placed anew, each at the first member in its own order
(highest hash) that has room. A member under its fair part then draws shards from the fullest, no more than it lacks.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from functools import lru_cache

import xxhash

from lapishaven.ownership.model import Shard

LOOSE = 1.25  # of the mean: no member is given more
_MIX, _MASK = 0x9E3779B97F4A7C15, (1 << 64) - 1


@dataclass(frozen=True, slots=True)
class Part:
    """A member that may be given shards."""

    name: str
    weight: float = 1.0


@lru_cache(maxsize=4096)
def _key(text: str) -> int:
    return int(xxhash.xxh3_64_intdigest(text.encode()))


def score(shard: Shard, part: Part) -> float:
    """The member's place in the shard's order, the highest first; in proportion to its weight (``-w / ln u``)."""
    bits = (_key(f"{shard[0]}/{shard[1]}") ^ _key(part.name)) * _MIX & _MASK
    bits ^= bits >> 32
    u = ((bits * _MIX & _MASK) + 0.5) / 2.0**64
    return u if part.weight == 1.0 else 1.0 + math.log(u) / part.weight


def bound(shards: int, part: Part, total: float, loose: float = LOOSE) -> int:
    """Shards that a member may have at most; together they always have room for all."""
    mean = shards * part.weight / total
    return max(math.ceil(mean), math.floor(loose * mean))


def place(
    shards: Sequence[Shard], parts: Sequence[Part], current: Mapping[Shard, str], loose: float = LOOSE
) -> dict[Shard, str]:
    """The owner of every shard, of the members in ``parts``; none where there are none.

    ``current`` has the owners as they are, by name; owners that are not in ``parts`` do not count. What has to move
    goes to members that lack it, so that nothing moves twice.
    """
    if not parts:
        return {}
    by_name = {part.name: part for part in parts}
    total = sum(part.weight for part in parts)
    fair = {part.name: len(shards) * part.weight / total for part in parts}
    has: dict[str, list[Shard]] = {part.name: [] for part in parts}
    homeless: list[Shard] = []
    for shard in sorted(shards):
        owner = current.get(shard)
        (has[owner] if owner is not None and owner in by_name else homeless).append(shard)
    _house(homeless, has, fair, by_name)
    _level(has, fair, by_name)
    over: list[Shard] = []
    for name, mine in has.items():
        if (more := len(mine) - bound(len(shards), by_name[name], total, loose)) > 0:
            # Those that it ranks lowest for go.
            mine.sort(key=lambda shard: score(shard, by_name[name]))
            over += mine[:more]
            del mine[:more]
    _house(sorted(over), has, fair, by_name)
    return {shard: name for name, mine in has.items() for shard in mine}


@lru_cache(maxsize=8)
def _placed(
    shards: tuple[Shard, ...], parts: tuple[Part, ...], current: frozenset[tuple[Shard, str]]
) -> dict[Shard, str]:
    return place(shards, parts, dict(current))


def plan(shards: tuple[Shard, ...], parts: Sequence[Part], current: Mapping[Shard, str]) -> Mapping[Shard, str]:
    """What ``place`` gives, kept for those who ask the same again."""
    return _placed(shards, tuple(parts), frozenset(current.items()))


def _house(
    homeless: Sequence[Shard], has: dict[str, list[Shard]], fair: Mapping[str, float], by_name: Mapping[str, Part]
) -> None:
    """Each at the first member in its own order of those that lack work, and then of those that have room."""
    poor = {name for name in has if len(has[name]) < math.floor(fair[name])}
    room = {name for name in has if len(has[name]) < math.ceil(fair[name])}
    for shard in homeless:
        best = max(poor or room, key=lambda name: (score(shard, by_name[name]), name))
        has[best].append(shard)
        if len(has[best]) >= math.floor(fair[best]):
            poor.discard(best)
        if len(has[best]) >= math.ceil(fair[best]):
            room.discard(best)


def _level(has: dict[str, list[Shard]], fair: Mapping[str, float], by_name: Mapping[str, Part]) -> None:
    """Members under their fair part draw from those that are furthest over it, until they have it."""
    poor = sorted(
        (name for name in has if len(has[name]) < math.floor(fair[name])),
        key=lambda name: (len(has[name]) - fair[name], name),
    )
    for name in poor:
        while len(has[name]) < math.floor(fair[name]):
            giver = max(fair, key=lambda other: (len(has[other]) - fair[other], other))
            if len(has[giver]) <= fair[giver]:
                return
            shard = max(has[giver], key=lambda each: score(each, by_name[name]))
            has[giver].remove(shard)
            has[name].append(shard)
