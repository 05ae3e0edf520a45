"""What must hold in a receiver's book, whatever happened: the first thing that does not, in plain words. Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from lapishaven.ownership.fence import Mark
from lapishaven.ownership.model import Shard


@dataclass(frozen=True, slots=True)
class Row:
    """One effect as the receiver holds it, in the order in which they took effect."""

    shard: Shard
    token: int
    number: int


def interleaved(rows: Iterable[Row]) -> str | None:
    """An effect of an older owner after one of a newer owner."""
    highest: dict[Shard, int] = {}
    for row in rows:
        if row.token < highest.get(row.shard, 0):
            return f"{row.shard}: an effect of token {row.token} after one of {highest[row.shard]}"
        highest[row.shard] = row.token
    return None


def doubled(rows: Iterable[Row]) -> str | None:
    """The same act twice, or one before an earlier one of the same owner."""
    last: dict[tuple[Shard, int], int] = {}
    for row in rows:
        if row.number <= last.get((row.shard, row.token), 0):
            return f"{row.shard}: act {row.number} of token {row.token} took effect twice"
        last[row.shard, row.token] = row.number
    return None


def mismarked(rows: Sequence[Row], marks: Mapping[Shard, Mark]) -> str | None:
    """A mark that is not what the effects make it."""
    held = Counter(row.shard for row in rows)
    last = {row.shard: row for row in rows}
    for shard in sorted(held.keys() | marks.keys()):
        mark, row = marks.get(shard, Mark()), last.get(shard)
        there = Mark(row.token, row.number, held[shard]) if row is not None else Mark()
        if mark != there:
            return f"{shard}: the mark says {mark}, the effects say {there}"
    return None


Served = tuple[str, int, int, int]  # team, period of its statement (-1: none yet), count, worth


def misbilled(rows: Iterable[Served], statements: Iterable[Served]) -> str | None:
    """A statement that is not the sum of the rows that it took in."""
    sums: dict[tuple[str, int], tuple[int, int]] = {}
    for team, period, count, worth in rows:
        if period >= 0:
            old = sums.get((team, period), (0, 0))
            sums[team, period] = old[0] + count, old[1] + worth
    there = {(team, period): (count, worth) for team, period, count, worth in statements}
    for key in sorted(sums.keys() | there.keys()):
        if sums.get(key) != there.get(key):
            return f"team {key[0]!r}, period {key[1]}: rows sum to {sums.get(key)}, its statement says {there.get(key)}"
    return None


def broken(
    rows: Sequence[Row], marks: Mapping[Shard, Mark], served: Iterable[Served], statements: Iterable[Served]
) -> str | None:
    """The first thing in a book that does not hold."""
    return interleaved(rows) or doubled(rows) or mismarked(rows, marks) or misbilled(served, statements)
