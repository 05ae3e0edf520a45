"""The hard cases of ownership at their full length, on real processes, each with what the checker makes of it.

``python -m lapishaven.lab.field.long SPEC`` prints one JSON object. ``held``: an owner is stopped with its write on
the wire, which a relay lets through ``span`` seconds later, and then it wakes. ``away``: the coordinator is away for
``span`` seconds with owners in mid-work, and is back with every lease aged out. ``half``: ``members`` start in the same
second, half are killed at once and come back after ``span`` seconds. ``flap``: one of them is killed and started again
each second for ``span`` seconds while the others work.
"""

from __future__ import annotations

import json
import sqlite3
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from lapishaven.lab.field.field import Field, Line
from lapishaven.lab.field.member_process import FAST, Team, evenly
from lapishaven.lab.field.relay import Mode, Relays
from lapishaven.ownership.verify import find_interleaved

WIDE = {**FAST, "ttl": 3.0, "margin": 0.3, "poll_interval": 0.3, "rejoin_spread": 0.5}
WAIT = 90.0  # s


@dataclass
class Long:
    """``fenced`` false is the baseline: a receiver that takes what comes."""

    case: str
    coordinator: str
    span: float
    seed: int = 1
    members: int = 40
    fenced: bool = True

    def run(self) -> dict[str, Any]:
        """Run it; gives its figures."""
        with Field() as field:
            self._field, self._team = field, Team(field, self.coordinator, self.fenced)
            began = time.monotonic()
            cases = {"held": self._held, "away": self._away, "half": self._half, "flap": self._flap}
            found = cases[self.case]()
            lines, rows = list(field.lines), self._team.effects()
            return {
                "case": self.case,
                "coordinator": self.coordinator,
                "span": self.span,
                "fenced": self.fenced,
                "effects": len(rows),
                "older_accepted": int(find_interleaved(rows) is not None),
                "broken": self._team.broken(),
                "stale_refused": sum(line["what"] == "stale" for line in lines),
                "real_s": round(time.monotonic() - began, 1),
                **found,
            }

    def _pass(self, span: float) -> None:
        """Seconds by the clock that the histories have; members write all the time."""
        until = time.clock_gettime(time.CLOCK_BOOTTIME) + span
        self._field.wait("time", lambda lines: lines[-1]["at"] >= until, span + WAIT)

    def _held(self) -> dict[str, Any]:
        field, team = self._field, self._team
        with Relays() as relays:
            relay = relays.open(team.receiver)
            a, b, token = team.pair(receiver=relay.port, act_timeout=self.span + 30.0)
            relays.change(relay, Mode(hold_up=True))
            relays.held(relay)
            field.stop("a")
            stopped = time.clock_gettime(time.CLOCK_BOOTTIME)
            newer = field.first("acked", who=b)
            self._pass(self.span)
            relays.change(relay, Mode())
            self._pass(1.0)  # it reaches the receiver while its sender still sleeps
            since = len(field.lines)
            field.wake("a")
            field.first("joined", since=since, who=a, timeout=WAIT)
            field.first("acked", since=since, who=b)
        return {"without_owner_s": round(newer["at"] - stopped, 2)}

    def _eight(self) -> None:
        """Eight members at work on 16 shards."""
        names = [f"m{n}" for n in range(8)]
        for name in names:
            self._team.start(name, shards=16)
        self._field.wait("all at work", lambda lines: evenly(lines, names, 16), WAIT)

    def _away(self) -> dict[str, Any]:
        field = self._field
        self._eight()
        since = len(field.lines)
        holder = None
        if self.coordinator == "sqlite":
            # The file locked by somebody for long is what an outage is there.
            holder = sqlite3.connect(field.folder / "lease.db", isolation_level=None, timeout=30.0)
            holder.execute("begin immediate")
        else:
            field.say("etcd", restart="aged", refuse=self.span)
        began = time.clock_gettime(time.CLOCK_BOOTTIME)
        field.wait("all to have stopped", lambda lines: sum(x["what"] == "lost" for x in lines[since:]) >= 16, WAIT)
        # An act that was under way at the loss ends within the margin, while the lease still stands.
        mark = max(x["at"] for x in field.lines[since:] if x["what"] == "lost") + FAST["margin"]
        time.sleep(max(0.0, began + self.span - time.clock_gettime(time.CLOCK_BOOTTIME) - 0.2))
        during = [x for x in field.lines[since:] if x["what"] in ("gained", "acked") and x["at"] > mark]
        if holder is not None:
            holder.execute("rollback")
            holder.close()
        back = time.clock_gettime(time.CLOCK_BOOTTIME)
        lines = field.wait("all at work again", lambda lines: lines if self._all(lines, back, 16) else None, WAIT)
        firsts: dict[int, float] = {}
        for line in lines:
            if line["what"] == "acked" and line["at"] > back:
                firsts.setdefault(line["shard"], line["at"])
        joins = [x["at"] for x in lines if x["what"] == "joined" and x["at"] > back - 0.5]
        return {
            "acts_while_away": len(during),
            "without_owner_s": round(max(firsts.values()) - back, 2),
            "joins_spread_s": round(max(joins) - min(joins), 2) if joins else None,
        }

    @staticmethod
    def _all(lines: Sequence[Line], since: float, shards: int) -> bool:
        return len({x["shard"] for x in lines if x["what"] == "acked" and x["at"] > since}) == shards

    def _half(self) -> dict[str, Any]:
        field, team = self._field, self._team
        names, shards = [f"m{n}" for n in range(self.members)], 2 * self.members
        began = time.clock_gettime(time.CLOCK_BOOTTIME)
        for name in names:
            team.start(name, shards=shards, every=0.5, rules=WIDE)
        field.wait("all at work", lambda lines: evenly(lines, names, shards), WAIT)
        started = field.lines[-1]["at"] - began
        killed = time.clock_gettime(time.CLOCK_BOOTTIME)
        half = names[: self.members // 2]
        for name in half:
            field.kill(name)
        field.wait("the survivors", lambda lines: evenly(lines, names[len(half) :], shards), WAIT)
        followed = field.lines[-1]["at"] - killed
        self._pass(self.span)
        for name in half:
            field.start(name)
        field.wait("all again", lambda lines: evenly(lines, names, shards), WAIT)
        return {"all_at_work_s": round(started, 2), "without_owner_s": round(followed, 2)}

    def _flap(self) -> dict[str, Any]:
        field = self._field
        self._eight()
        since = len(field.lines)
        starts = 0
        until = time.monotonic() + self.span
        while time.monotonic() < until:
            if field.procs["m0"].alive:
                field.kill("m0")
            field.start("m0")
            starts += 1
            self._pass(1.0)
        gained = sum(x["what"] == "gained" and x["who"].startswith("m0:") for x in field.lines[since:])
        others = sum(x["what"] == "lost" and not x["who"].startswith("m0:") for x in field.lines[since:])
        return {"starts": starts, "gained_by_it": gained, "lost_by_others": others}


def main() -> None:
    """Run one case and print its figures as JSON."""
    print(json.dumps(Long(**json.loads(sys.argv[1])).run()))


if __name__ == "__main__":
    main()
