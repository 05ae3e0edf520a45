"""Searches event histories and the receiver's rows for the first violated property. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from lapishaven.ownership.model import Shard
from lapishaven.ownership.verify import EffectRow, find_duplicate, find_interleaved


def find_lost_effect(rows: Iterable[EffectRow], events: Iterable[Mapping[str, Any]]) -> str | None:
    """An effect that was acknowledged but has no row; None if there is none."""
    stored = set(rows)
    for event in events:
        if event["what"] == "acked":
            row = EffectRow((event["duty"], event["shard"]), event["token"], event["number"])
            if row not in stored:
                return (
                    f"{row.shard}: effect {row.number} of token {row.token}, acknowledged to {event['who']}, is missing"
                )
    return None


def find_shared_token(events: Iterable[Mapping[str, Any]]) -> str | None:
    """A fencing token that two incarnations held; None if there is none."""
    holders: dict[tuple[str, int, int], str] = {}
    for event in events:
        if event["what"] == "gained":
            key = event["duty"], event["shard"], event["token"]
            if holders.setdefault(key, event["who"]) != event["who"]:
                return f"token {event['token']} of {key[:2]} was held by {holders[key]} and {event['who']}"
    return None


def find_violation(rows: Sequence[EffectRow], events: Sequence[Mapping[str, Any]]) -> str | None:
    """A description of the first violated property; None if all hold."""
    return find_interleaved(rows) or find_duplicate(rows) or find_lost_effect(rows, events) or find_shared_token(events)


def count_returns(rows: Iterable[tuple[Shard, str]]) -> int:
    """How often an owner's effects resume after another owner's, which shows that two owners act at once.

    ``rows`` are the shard and the owner with its token, in the order in which the effects were applied.
    """
    superseded: dict[Shard, set[str]] = {}
    last_owner: dict[Shard, str] = {}
    count = 0
    for shard, owner in rows:
        if (previous := last_owner.get(shard)) is not None and previous != owner:
            superseded.setdefault(shard, set()).add(previous)
            count += owner in superseded[shard]
        last_owner[shard] = owner
    return count


def takeover_times(events: Sequence[Mapping[str, Any]], fault_kind: str) -> list[float]:
    """Seconds without an owner after each ``fault_kind`` fault, for every shard that the process owned.

    A fault counts only if there is no other fault from 2 s before to 4 s after it.
    """
    ordered = sorted(events, key=lambda event: event["at"])
    faults = [event for event in ordered if event["who"] == "field"]
    durations = []
    for fault in faults:
        if fault["what"] != fault_kind or any(
            other is not fault and -2.0 < other["at"] - fault["at"] < 4.0 for other in faults
        ):
            continue
        owned: dict[Shard, bool] = {}
        for event in ordered:
            if event["at"] > fault["at"]:
                break
            if event["who"] == fault["process"] and event["what"] in ("gained", "lost", "handed"):
                owned[event["duty"], event["shard"]] = event["what"] == "gained"
        for shard in [shard for shard, is_owned in owned.items() if is_owned]:
            gained_at = [
                event["at"]
                for event in ordered
                if event["at"] > fault["at"] and event["what"] == "gained" and (event["duty"], event["shard"]) == shard
            ]
            durations.append(gained_at[0] - fault["at"] if gained_at else float("inf"))
    return durations


def handover_times(events: Sequence[Mapping[str, Any]]) -> list[float]:
    """Seconds from each handover of a shard after an undisturbed ``quiet leave`` until the next owner gained it."""
    ordered = sorted(events, key=lambda event: event["at"])
    leave_times = [event["at"] for event in ordered if event["what"] == "quiet leave"]
    open_since: dict[Shard, float] = {}
    durations = []
    for event in ordered:
        if event["what"] == "handed" and any(0 <= event["at"] - at < 4.0 for at in leave_times):
            open_since[event["duty"], event["shard"]] = event["at"]
        elif event["what"] == "gained" and (since := open_since.pop((event["duty"], event["shard"]), None)) is not None:
            durations.append(event["at"] - since)
    return durations
