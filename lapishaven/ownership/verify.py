"""Invariants of a receiver's store. Pure; each check returns a description of the first violation, or None."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from lapishaven.ownership.fence import HighWaterMark
from lapishaven.ownership.model import Shard

NO_STATEMENT = -1  # period of consumption that is in no statement yet


@dataclass(frozen=True, slots=True)
class EffectRow:
    """One effect in the receiver's log, whose rows are in the order of application."""

    shard: Shard
    token: int
    number: int


class ConsumptionTotal(NamedTuple):
    """Consumption of a team in one row or one statement."""

    team: str
    period: int
    """Period of the statement that includes it; ``NO_STATEMENT`` if none does yet."""
    request_count: int
    weight: int
    """Priority weight, in thousandths."""


def find_interleaved(rows: Iterable[EffectRow]) -> str | None:
    """Find an effect of an older owner that was applied after one of a newer owner."""
    highest: dict[Shard, int] = {}
    for row in rows:
        if row.token < highest.get(row.shard, 0):
            return f"{row.shard}: an effect of token {row.token} was applied after one of token {highest[row.shard]}"
        highest[row.shard] = row.token
    return None


def find_duplicate(rows: Iterable[EffectRow]) -> str | None:
    """Find an effect that was applied twice, or out of order within its token."""
    last: dict[tuple[Shard, int], int] = {}
    for row in rows:
        if row.number <= last.get((row.shard, row.token), 0):
            return (
                f"{row.shard}: effect {row.number} of token {row.token} was applied twice or out of order,"
                f" after effect {last[row.shard, row.token]}"
            )
        last[row.shard, row.token] = row.number
    return None


def find_mark_mismatch(rows: Sequence[EffectRow], marks: Mapping[Shard, HighWaterMark]) -> str | None:
    """Find a high-water mark that does not match the logged effects."""
    counts = Counter(row.shard for row in rows)
    last = {row.shard: row for row in rows}
    for shard in sorted(counts.keys() | marks.keys()):
        mark = marks.get(shard, HighWaterMark())
        row = last.get(shard)
        expected = HighWaterMark(row.token, row.number, counts[shard]) if row is not None else HighWaterMark()
        if mark != expected:
            return f"{shard}: the stored mark is {_mark_text(mark)}, the logged effects give {_mark_text(expected)}"
    return None


def _mark_text(mark: HighWaterMark) -> str:
    """The mark in the output format of ``ownership verify``, which keeps the names of the stored columns."""
    return f"Mark(token={mark.token}, number={mark.number}, held={mark.effect_count})"


def find_statement_mismatch(
    consumption: Iterable[ConsumptionTotal], statements: Iterable[ConsumptionTotal]
) -> str | None:
    """Find a statement that is not the sum of the rows that it includes."""
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
            sums = f"rows sum to (count, weight) {expected.get(key)}, the statement has {found.get(key)}"
            return f"team {team!r}, period {period}: {sums}"
    return None


def first_violation(
    rows: Sequence[EffectRow],
    marks: Mapping[Shard, HighWaterMark],
    consumption: Iterable[ConsumptionTotal],
    statements: Iterable[ConsumptionTotal],
) -> str | None:
    """Run all checks; returns the first violation, None without one."""
    return (
        find_interleaved(rows)
        or find_duplicate(rows)
        or find_mark_mismatch(rows, marks)
        or find_statement_mismatch(consumption, statements)
    )
