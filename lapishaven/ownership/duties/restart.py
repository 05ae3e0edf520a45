"""Rolling restart: which members may restart now, at most ``k`` at once and no more than a share of the capacity.

``choose`` is pure. The plan lives in the book, so an owner that dies is followed by one that goes on where it stood.
A member obeys a permit only if its token is not older than the newest that it has obeyed (``Obedience``).
"""

from __future__ import annotations

import sqlite3
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any

from lapishaven.ownership.fenced_store import Plan

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


class Stage(Enum):
    WAITING = "waiting"
    PERMITTED = "permitted"  # may restart; counted as away until it is back
    DONE = "done"


@dataclass(frozen=True, slots=True)
class Place:
    """A member's place in a rollout. ``start``: the start of its process that has to be followed by another."""

    name: str
    weight: float
    stage: Stage
    start: str


def choose(places: Sequence[Place], away: frozenset[str], at_once: int, share: float) -> list[str]:
    """Who may restart now, by name. ``away``: members that are not ready for whatever reason; they count too.

    One may always go where nobody is away, whatever its share, or a small fleet would never get through.
    """
    total = sum(place.weight for place in places)
    gone = {place.name for place in places if place.stage is Stage.PERMITTED or place.name in away}
    weight = sum(place.weight for place in places if place.name in gone)
    chosen: list[str] = []
    for place in sorted(places, key=lambda each: each.name):
        if place.stage is not Stage.WAITING or place.name in away:
            continue
        if len(gone) >= at_once or (gone and weight + place.weight > share * total):
            break
        gone.add(place.name)
        weight += place.weight
        chosen.append(place.name)
    return chosen


def finished(places: Sequence[Place], reports: Mapping[str, tuple[str, bool]]) -> list[str]:
    """Permitted members that are back: ready, as another start of their process."""
    return [
        place.name
        for place in places
        if place.stage is Stage.PERMITTED
        and (found := reports.get(place.name)) is not None
        and found[1]
        and found[0] != place.start
    ]


@dataclass(slots=True)
class Obedience:
    """The member's side: the newest token that it has obeyed."""

    token: int = 0

    def obeys(self, token: int) -> bool:
        if token < self.token:
            return False
        self.token = token
        return True


def permit(base: sqlite3.Connection, detail: Any) -> Any:
    """Let members restart; whoever is not waiting any more is left as it is."""
    done = 0
    for name, start in detail["members"]:
        done += base.execute(
            "update restart_member set state = 'permitted', token = ?, start = ?"
            " where rollout = ? and name = ? and state = 'waiting'",
            (detail["token"], start, detail["rollout"], name),
        ).rowcount
    return {"permitted": done}


def complete(base: sqlite3.Connection, detail: Any) -> Any:
    done = 0
    for name in detail["members"]:
        done += base.execute(
            "update restart_member set state = 'done' where rollout = ? and name = ? and state = 'permitted'",
            (detail["rollout"], name),
        ).rowcount
    return {"done": done}


def enlist(base: sqlite3.Connection, detail: Any) -> Any:
    """Take a rollout's members into the plan; those that are there stay as they are."""
    for name, weight in detail["members"]:
        base.execute(
            "insert or ignore into restart_member values (?, ?, ?, 'waiting', 0, '')", (detail["rollout"], name, weight)
        )
    return {"members": len(detail["members"])}


PLAN = Plan(SCHEMA, ("restart_member",), {"permit": permit, "complete": complete, "enlist": enlist})


def order(base: sqlite3.Connection, rollout: str, at_once: int, share: float, number: int) -> None:
    """An operator's wish for a rollout, which the duty's owner carries out."""
    base.execute("insert or ignore into restart_rollout values (?, ?, ?, ?)", (rollout, at_once, share, number))


def report(base: sqlite3.Connection, name: str, start: str, ready: bool, obeys: bool) -> None:
    """What a member says of itself: which start of its process is there, whether it is ready, and obeys permits."""
    base.execute("insert or replace into restart_report values (?, ?, ?, ?)", (name, start, int(ready), int(obeys)))


Read = Callable[..., list[tuple[Any, ...]]]


class Rolling:
    """The duty: one shard, all rollouts in the order in which they were ordered. ``serving``: the members that the
    coordinator lists as serving, by weight; one that it does not list is away, whatever it last said of itself."""

    name = "restart"
    shards = 1

    def __init__(
        self,
        read: Read,
        token: Callable[[], int],
        serving: Callable[[], Mapping[str, float]],
        every: float = 0.2,
    ) -> None:
        self._read, self._token, self._serving, self._every = read, token, serving, every

    def step(self, number: int, act: Callable[[str, Any], Any], now: float) -> float:
        serving = self._serving()
        reports = {
            name: (start, bool(ready) and name in serving, bool(obeys))
            for name, start, ready, obeys in self._read("select name, start, ready, obeys from restart_report")
        }
        orders = self._read("select rollout, at_once, share from restart_rollout order by number")
        for rollout, at_once, share in orders:
            places = self._places(rollout)
            if not places:
                if obeying := [
                    (name, weight) for name, weight in sorted(serving.items()) if name in reports and reports[name][2]
                ]:
                    act("enlist", {"rollout": rollout, "members": obeying})
                    return 0.0
                continue  # nobody there obeys
            if back := finished(places, {name: report[:2] for name, report in reports.items()}):
                act("complete", {"rollout": rollout, "members": back})
                return 0.0
            if all(place.stage is Stage.DONE for place in places):
                continue
            away = frozenset(place.name for place in places if not reports.get(place.name, ("", False, False))[1])
            if chosen := choose(places, away, at_once, share):
                act(
                    "permit",
                    {
                        "rollout": rollout,
                        "token": self._token(),
                        "members": [(name, reports[name][0]) for name in chosen],
                    },
                )
            break
        return self._every

    def _places(self, rollout: str) -> list[Place]:
        rows = self._read("select name, weight, state, start from restart_member where rollout = ?", (rollout,))
        return [Place(name, weight, Stage(state), start) for name, weight, state, start in rows]
