"""Rolling restart: which members may restart now, within a limit on their number and on their share of the capacity.

The rollout's progress is in the store, so a new owner continues where the last one stopped. A member obeys a permit
only if its token is not older than the newest that it has obeyed (``PermitGuard``). ``choose_permitted`` is pure.
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
    """Progress of one member in a rollout. The values are stored."""

    WAITING = "waiting"
    PERMITTED = "permitted"  # may restart; counts as unavailable until it is back
    DONE = "done"


@dataclass(frozen=True, slots=True)
class RolloutMember:
    """A member of a rollout."""

    name: str
    weight: float
    stage: RolloutStage
    incarnation: str
    """Incarnation to be replaced by another."""


class MemberReport(NamedTuple):
    """A member's report of its readiness."""

    incarnation: str
    ready: bool
    obeys: bool = False
    """Whether the process or its supervisor obeys permits."""


class Rollout(NamedTuple):
    """An ordered rolling restart."""

    name: str
    at_once: int
    """Most members that may be unavailable at one time."""
    share: float
    """Largest share of the capacity that may be unavailable at one time."""


def choose_permitted(
    members: Sequence[RolloutMember], unavailable: frozenset[str], at_once: int, share: float
) -> list[str]:
    """Names of the members that may restart now. ``unavailable`` members, not ready for any reason, count towards the
    limits.

    While no member is unavailable one may always restart, whatever its share, or a small fleet would never finish.
    """
    total_weight = sum(member.weight for member in members)
    absent = {member.name for member in members if member.stage is RolloutStage.PERMITTED or member.name in unavailable}
    absent_weight = sum(member.weight for member in members if member.name in absent)
    chosen: list[str] = []
    for member in sorted(members, key=lambda member: member.name):
        if member.stage is not RolloutStage.WAITING or member.name in unavailable:
            continue
        if len(absent) >= at_once or (absent and absent_weight + member.weight > share * total_weight):
            break
        absent.add(member.name)
        absent_weight += member.weight
        chosen.append(member.name)
    return chosen


def find_restarted(members: Sequence[RolloutMember], reports: Mapping[str, MemberReport]) -> list[str]:
    """Names of the permitted members that are back: ready, as another incarnation."""
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
    """A member's protection against permits of older owners."""

    token: int = 0
    """Newest token that the member has obeyed."""

    def accept(self, token: int) -> bool:
        """Whether to obey a permit with this fencing token."""
        if token < self.token:
            return False
        self.token = token
        return True


# ---- Effects
def permit_members(connection: sqlite3.Connection, detail: Any) -> Any:
    """The effect ``permit``: permit members to restart; those that are no longer waiting stay unchanged."""
    permitted = 0
    for name, incarnation in detail["members"]:
        permitted += connection.execute(
            "update restart_member set state = 'permitted', token = ?, start = ?"
            " where rollout = ? and name = ? and state = 'waiting'",
            (detail["token"], incarnation, detail["rollout"], name),
        ).rowcount
    return {"permitted": permitted}


def complete_members(connection: sqlite3.Connection, detail: Any) -> Any:
    """The effect ``complete``: mark permitted members as done."""
    done = 0
    for name in detail["members"]:
        done += connection.execute(
            "update restart_member set state = 'done' where rollout = ? and name = ? and state = 'permitted'",
            (detail["rollout"], name),
        ).rowcount
    return {"done": done}


def enlist_members(connection: sqlite3.Connection, detail: Any) -> Any:
    """The effect ``enlist``: add members to a rollout; those that it already has stay unchanged."""
    for name, weight in detail["members"]:
        connection.execute(
            "insert or ignore into restart_member values (?, ?, ?, 'waiting', 0, '')", (detail["rollout"], name, weight)
        )
    return {"members": len(detail["members"])}


DUTY_SCHEMA = DutySchema(
    SCHEMA,
    ("restart_member",),
    {"permit": permit_members, "complete": complete_members, "enlist": enlist_members},
)


# ---- Writes of operators and members
def order_rollout(connection: sqlite3.Connection, rollout: str, at_once: int, share: float, number: int) -> None:
    """Order a rolling restart, which the duty's owner carries out. ``number`` is its position in the order of
    execution."""
    connection.execute("insert or ignore into restart_rollout values (?, ?, ?, ?)", (rollout, at_once, share, number))


def report_member(connection: sqlite3.Connection, name: str, incarnation: str, ready: bool, obeys: bool) -> None:
    """Store a member's report of its readiness."""
    connection.execute(
        "insert or replace into restart_report values (?, ?, ?, ?)", (name, incarnation, int(ready), int(obeys))
    )


class RollingRestart:
    """The duty: one shard, which carries out all rollouts in the order in which they were ordered.

    ``read`` reads rows from the store; ``token`` returns the fencing token of the duty's shard; ``serving`` returns the
    weights of the members that the coordinator lists as serving. A member that is not listed is unavailable, whatever
    it last reported.
    """

    name = "restart"
    shards = 1

    def __init__(
        self,
        read: ReadRows,
        token: Callable[[], int],
        serving: Callable[[], Mapping[str, float]],
        step_interval_s: float = STEP_INTERVAL_S,
    ) -> None:
        self._read = read
        self._token = token
        self._serving = serving
        self._step_interval_s = step_interval_s

    def step(self, shard_number: int, apply_effect: ApplyEffect, now: float) -> float:
        """Continue the first rollout that is not done."""
        serving = self._serving()
        reports = self._read_reports(serving)
        for rollout in self._read_rollouts():
            members = self._read_members(rollout.name)
            if not members:
                if _enlist(rollout, serving, reports, apply_effect):
                    return 0.0
                continue  # no serving member obeys permits
            if restarted := find_restarted(members, reports):
                apply_effect("complete", {"rollout": rollout.name, "members": restarted})
                return 0.0
            if any(member.stage is not RolloutStage.DONE for member in members):
                self._permit(rollout, members, reports, apply_effect)
                break
        return self._step_interval_s

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
    """Add the members that serve and obey permits to a rollout; returns whether there are any."""
    obeying = [(name, weight) for name, weight in sorted(serving.items()) if name in reports and reports[name].obeys]
    if obeying:
        apply_effect("enlist", {"rollout": rollout.name, "members": obeying})
    return bool(obeying)
