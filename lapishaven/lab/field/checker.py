"""Reads all histories and the receiver's rows, and names the first broken property. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from lapishaven.ownership.model import Shard
from lapishaven.ownership.verify import EffectRow, find_duplicate, find_interleaved


def lost(rows: Iterable[EffectRow], lines: Iterable[Mapping[str, Any]]) -> str | None:
    """An act that was acknowledged and is not there."""
    there = set(rows)
    for line in lines:
        if line["what"] == "acked":
            row = EffectRow((line["duty"], line["shard"]), line["token"], line["number"])
            if row not in there:
                return f"{row.shard}: act {row.number} of token {row.token}, acknowledged to {line['who']}, is gone"
    return None


def shared(lines: Iterable[Mapping[str, Any]]) -> str | None:
    """A token that two starts of processes held."""
    holders: dict[tuple[str, int, int], str] = {}
    for line in lines:
        if line["what"] == "gained":
            key = line["duty"], line["shard"], line["token"]
            if holders.setdefault(key, line["who"]) != line["who"]:
                return f"token {line['token']} of {key[:2]} was held by {holders[key]} and {line['who']}"
    return None


def broken(rows: Sequence[EffectRow], lines: Sequence[Mapping[str, Any]]) -> str | None:
    """The first broken property, in plain words; None if all hold."""
    return find_interleaved(rows) or find_duplicate(rows) or lost(rows, lines) or shared(lines)


def returns(rows: Iterable[tuple[Shard, str]]) -> int:
    """How often an owner's effects go on after another's came in between: two who act at once. ``rows``: the shard and
    who acted under which token, in the order in which they took effect."""
    over: dict[Shard, set[str]] = {}
    last: dict[Shard, str] = {}
    count = 0
    for shard, who in rows:
        if (before := last.get(shard)) is not None and before != who:
            over.setdefault(shard, set()).add(before)
            count += who in over[shard]
        last[shard] = who
    return count


def followed(lines: Sequence[Mapping[str, Any]], away: str) -> list[float]:
    """Seconds without an owner after each event ``away`` of the field: for every shard that the process owned then,
    until somebody gained it. Only events with no other fault of the field within 2 s before and 4 s after count."""
    ordered = sorted(lines, key=lambda line: line["at"])
    faults = [line for line in ordered if line["who"] == "field"]
    spans = []
    for fault in faults:
        if fault["what"] != away or any(
            other is not fault and -2.0 < other["at"] - fault["at"] < 4.0 for other in faults
        ):
            continue
        owned: dict[Shard, bool] = {}
        for line in ordered:
            if line["at"] > fault["at"]:
                break
            if line["who"] == fault["process"] and line["what"] in ("gained", "lost", "handed"):
                owned[line["duty"], line["shard"]] = line["what"] == "gained"
        for shard in [shard for shard, yes in owned.items() if yes]:
            after = [
                line["at"]
                for line in ordered
                if line["at"] > fault["at"] and line["what"] == "gained" and (line["duty"], line["shard"]) == shard
            ]
            spans.append(after[0] - fault["at"] if after else float("inf"))
    return spans


def handed_over(lines: Sequence[Mapping[str, Any]]) -> list[float]:
    """Seconds from each hand-over of a clean leave (``quiet leave``) until the next owner had the shard."""
    ordered = sorted(lines, key=lambda line: line["at"])
    quiet = [line["at"] for line in ordered if line["what"] == "quiet leave"]
    open_since: dict[Shard, float] = {}
    spans = []
    for line in ordered:
        if line["what"] == "handed" and any(0 <= line["at"] - at < 4.0 for at in quiet):
            open_since[line["duty"], line["shard"]] = line["at"]
        elif line["what"] == "gained" and (since := open_since.pop((line["duty"], line["shard"]), None)) is not None:
            spans.append(line["at"] - since)
    return spans
