"""Rolling restart: which members may restart now, so many at once and no more than a share of the capacity.

``choose_permitted`` is pure. The rollout is kept in the store, so an owner that dies is followed by one that goes on
where it stood. A member obeys a permit only if its token is not older than the newest that it has obeyed
(``PermitGuard``).
"""

from __future__ import annotations

import sqlite3
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple

from lapishaven.ownership.fenced_store import DutySchema

SCHEMA = """
create table if not exists restart_member (
    rollout text not null, name text not null, weight real not null, state text not null, token integer not null,
    start text not null, primary key (rollout, name)
) without rowid;
create table if not exists restart_rollout (
    rollout text primary key, at_once integer not null, share real not null, number integer not null
) without rowid;
create table if not exists restart_report (
    name text primary key, start text not null, ready integer not null, obeys integer not null
) without rowid
"""
STEP_INTERVAL_S = 0.2

ApplyEffect = Callable[[str, Any], Any]
ReadRows = Callable[..., list[tuple[Any, ...]]]


class RolloutStage(Enum):
    """Where a member of a rollout stands. The values are stored."""

    WAITING = "waiting"
    PERMITTED = "permitted"  # may restart; counted as away until it is back
    DONE = "done"


@dataclass(frozen=True, slots=True)
class RolloutMember:
    """A member of a rollout."""

    name: str
    weight: float
    stage: RolloutStage
    incarnation: str
    """Of the process that has to be followed by another."""


class MemberReport(NamedTuple):
    """What a member reports of itself."""

    incarnation: str
    ready: bool
    obeys: bool = False
    """Whether it, or what started it, obeys permits."""


class Rollout(NamedTuple):
    """A rolling restart that was ordered."""

    name: str
    at_once: int
    """Members that may be away at one time."""
    share: float
    """Of the capacity that may be away at one time."""


def choose_permitted(
    members: Sequence[RolloutMember], unavailable: frozenset[str], at_once: int, share: float
) -> list[str]:
    """Who may restart now, by name. ``unavailable``: members that are not ready for whatever reason; they count too.

    One may always go where nobody is away, whatever its share, or a small fleet would never get through.
    """
    total_weight = sum(member.weight for member in members)
    away = {member.name for member in members if member.stage is RolloutStage.PERMITTED or member.name in unavailable}
    away_weight = sum(member.weight for member in members if member.name in away)
    chosen: list[str] = []
    for member in sorted(members, key=lambda member: member.name):
        if member.stage is not RolloutStage.WAITING or member.name in unavailable:
            continue
        if len(away) >= at_once or (away and away_weight + member.weight > share * total_weight):
            break
        away.add(member.name)
        away_weight += member.weight
        chosen.append(member.name)
    return chosen


def find_restarted(members: Sequence[RolloutMember], reports: Mapping[str, MemberReport]) -> list[str]:
    """Permitted members that are back: ready, as another incarnation."""
    return [
        member.name
        for member in members
        if member.stage is RolloutStage.PERMITTED
        and (report := reports.get(member.name)) is not None
        and report.ready
        and report.incarnation != member.incarnation
    ]


@dataclass(slots=True)
class PermitGuard:
    """The member's side: rejects permits of older owners."""

    token: int = 0
    """The newest that it has obeyed."""

    def accept(self, token: int) -> bool:
        """Whether to obey a permit with this fencing token."""
        if token < self.token:
            return False
        self.token = token
        return True


# ---- Effects
def permit_members(base: sqlite3.Connection, detail: Any) -> Any:
    """The effect ``permit``: let members restart; who is not waiting any more is left as it is."""
    permitted = 0
    for name, incarnation in detail["members"]:
        permitted += base.execute(
            "update restart_member set state = 'permitted', token = ?, start = ?"
            " where rollout = ? and name = ? and state = 'waiting'",
            (detail["token"], incarnation, detail["rollout"], name),
        ).rowcount
    return {"permitted": permitted}


def complete_members(base: sqlite3.Connection, detail: Any) -> Any:
    """The effect ``complete``: permitted members are back."""
    done = 0
    for name in detail["members"]:
        done += base.execute(
            "update restart_member set state = 'done' where rollout = ? and name = ? and state = 'permitted'",
            (detail["rollout"], name),
        ).rowcount
    return {"done": done}


def enlist_members(base: sqlite3.Connection, detail: Any) -> Any:
    """The effect ``enlist``: take members into a rollout; those that are there stay as they are."""
    for name, weight in detail["members"]:
        base.execute(
            "insert or ignore into restart_member values (?, ?, ?, 'waiting', 0, '')", (detail["rollout"], name, weight)
        )
    return {"members": len(detail["members"])}


DUTY_SCHEMA = DutySchema(
    SCHEMA,
    ("restart_member",),
    {"permit": permit_members, "complete": complete_members, "enlist": enlist_members},
)


# ---- Writes of operators and members
def order_rollout(base: sqlite3.Connection, rollout: str, at_once: int, share: float, number: int) -> None:
    """Order a rolling restart, which the duty's owner carries out. ``number``: its place among all that were
    ordered."""
    base.execute("insert or ignore into restart_rollout values (?, ?, ?, ?)", (rollout, at_once, share, number))


def report_member(base: sqlite3.Connection, name: str, incarnation: str, ready: bool, obeys: bool) -> None:
    """Store what a member reports of itself."""
    base.execute(
        "insert or replace into restart_report values (?, ?, ?, ?)", (name, incarnation, int(ready), int(obeys))
    )


class RollingRestart:
    """The duty: one shard, all rollouts in the order in which they were ordered.

    ``read`` reads rows from the store; ``token`` gives the fencing token of the duty's shard; ``serving`` gives the
    members that the coordinator lists as serving, by weight. One that it does not list is away, whatever it last
    reported.
    """

    name = "restart"
    shards = 1

    def __init__(
        self,
        read: ReadRows,
        token: Callable[[], int],
        serving: Callable[[], Mapping[str, float]],
        step_interval: float = STEP_INTERVAL_S,
    ) -> None:
        self._read = read
        self._token = token
        self._serving = serving
        self._step_interval = step_interval

    def step(self, shard_number: int, apply_effect: ApplyEffect, now: float) -> float:
        """Go on with the first rollout that is not done."""
        serving = self._serving()
        reports = self._read_reports(serving)
        for rollout in self._read_rollouts():
            members = self._read_members(rollout.name)
            if not members:
                if _enlist(rollout, serving, reports, apply_effect):
                    return 0.0
                continue  # nobody there obeys
            if restarted := find_restarted(members, reports):
                apply_effect("complete", {"rollout": rollout.name, "members": restarted})
                return 0.0
            if any(member.stage is not RolloutStage.DONE for member in members):
                self._permit(rollout, members, reports, apply_effect)
                break
        return self._step_interval

    def _permit(
        self,
        rollout: Rollout,
        members: Sequence[RolloutMember],
        reports: Mapping[str, MemberReport],
        apply_effect: ApplyEffect,
    ) -> None:
        ready = {name for name, report in reports.items() if report.ready}
        unavailable = frozenset(member.name for member in members if member.name not in ready)
        chosen = choose_permitted(members, unavailable, rollout.at_once, rollout.share)
        if not chosen:
            return
        permits = [(name, reports[name].incarnation) for name in chosen]
        apply_effect("permit", {"rollout": rollout.name, "token": self._token(), "members": permits})

    def _read_reports(self, serving: Mapping[str, float]) -> dict[str, MemberReport]:
        rows = self._read("select name, start, ready, obeys from restart_report")
        return {
            name: MemberReport(incarnation, bool(ready) and name in serving, bool(obeys))
            for name, incarnation, ready, obeys in rows
        }

    def _read_rollouts(self) -> list[Rollout]:
        return [
            Rollout(*row) for row in self._read("select rollout, at_once, share from restart_rollout order by number")
        ]

    def _read_members(self, rollout: str) -> list[RolloutMember]:
        rows = self._read("select name, weight, state, start from restart_member where rollout = ?", (rollout,))
        return [RolloutMember(name, weight, RolloutStage(stage), start) for name, weight, stage, start in rows]


def _enlist(
    rollout: Rollout, serving: Mapping[str, float], reports: Mapping[str, MemberReport], apply_effect: ApplyEffect
) -> bool:
    """Take the members that serve and obey into a rollout; whether there are any."""
    obeying = [(name, weight) for name, weight in sorted(serving.items()) if name in reports and reports[name].obeys]
    if obeying:
        apply_effect("enlist", {"rollout": rollout.name, "members": obeying})
    return bool(obeying)
