"""What must hold in a receiver's store, whatever happened. Pure; each check gives the first violation in words."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from lapishaven.ownership.fence import HighWaterMark
from lapishaven.ownership.model import Shard

NO_STATEMENT = -1  # the period of consumption that no statement has taken in yet


@dataclass(frozen=True, slots=True)
class EffectRow:
    """One effect in the receiver's log. Rows are in the order in which the effects were applied."""

    shard: Shard
    token: int
    number: int


class ConsumptionTotal(NamedTuple):
    """Consumption of a team in one row, or in one statement."""

    team: str
    period: int
    """Of the statement that takes it in; ``NO_STATEMENT`` if there is none yet."""
    request_count: int
    weight: int
    """Priority weight, in thousandths."""


def find_interleaved(rows: Iterable[EffectRow]) -> str | None:
    """An effect of an older owner after one of a newer owner."""
    highest: dict[Shard, int] = {}
    for row in rows:
        if row.token < highest.get(row.shard, 0):
            return f"{row.shard}: an effect of token {row.token} after one of {highest[row.shard]}"
        highest[row.shard] = row.token
    return None


def find_duplicate(rows: Iterable[EffectRow]) -> str | None:
    """The same effect twice, or one before an earlier one of the same owner."""
    last: dict[tuple[Shard, int], int] = {}
    for row in rows:
        if row.number <= last.get((row.shard, row.token), 0):
            return f"{row.shard}: act {row.number} of token {row.token} took effect twice"
        last[row.shard, row.token] = row.number
    return None


def find_mark_mismatch(rows: Sequence[EffectRow], marks: Mapping[Shard, HighWaterMark]) -> str | None:
    """A high-water mark that is not what the effects make it."""
    counts = Counter(row.shard for row in rows)
    last = {row.shard: row for row in rows}
    for shard in sorted(counts.keys() | marks.keys()):
        mark = marks.get(shard, HighWaterMark())
        row = last.get(shard)
        expected = HighWaterMark(row.token, row.number, counts[shard]) if row is not None else HighWaterMark()
        if mark != expected:
            return f"{shard}: the mark says {_mark_text(mark)}, the effects say {_mark_text(expected)}"
    return None


def _mark_text(mark: HighWaterMark) -> str:
    """The mark as operators have always seen it printed."""
    return f"Mark(token={mark.token}, number={mark.number}, held={mark.effect_count})"


def find_statement_mismatch(
    consumption: Iterable[ConsumptionTotal], statements: Iterable[ConsumptionTotal]
) -> str | None:
    """A statement that is not the sum of the rows that it took in."""
    expected: dict[tuple[str, int], tuple[int, int]] = {}
    for row in consumption:
        if row.period >= 0:
            count, weight = expected.get((row.team, row.period), (0, 0))
            expected[row.team, row.period] = count + row.request_count, weight + row.weight
    found = {
        (statement.team, statement.period): (statement.request_count, statement.weight) for statement in statements
    }
    for key in sorted(expected.keys() | found.keys()):
        if expected.get(key) != found.get(key):
            team, period = key
            sums = f"rows sum to {expected.get(key)}, its statement says {found.get(key)}"
            return f"team {team!r}, period {period}: {sums}"
    return None


def first_violation(
    rows: Sequence[EffectRow],
    marks: Mapping[Shard, HighWaterMark],
    consumption: Iterable[ConsumptionTotal],
    statements: Iterable[ConsumptionTotal],
) -> str | None:
    """The first thing in a store that does not hold; None if all does."""
    return (
        find_interleaved(rows)
        or find_duplicate(rows)
        or find_mark_mismatch(rows, marks)
        or find_statement_mismatch(consumption, statements)
    )
