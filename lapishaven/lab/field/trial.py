"""One trial on real processes: a fleet of members, a plan of faults, and what the checker makes of it.

``python -m lapishaven.lab.field.trial SPEC`` prints one JSON object. ``mode``: ``ours``; ``unfenced``, leases alone;
``alone``, each process on its own.
"""

from __future__ import annotations

import json
import sqlite3
import sys
import time
from contextlib import closing
from dataclasses import dataclass, field
from typing import Any

from lapishaven.lab.field.checker import broken, followed, handed_over, lost, returns
from lapishaven.lab.field.field import Field
from lapishaven.lab.field.plan import Fault, draw
from lapishaven.ownership.verify import EffectRow, find_duplicate, find_interleaved

TTL = 1.0
RULES = {
    "ttl": TTL,
    "margin": 0.1,
    "settling_time": 0.1,
    "poll_interval": 0.1,
    "rejoin_spread": 0.3,
    "transfer_delay": 0.3,
    "max_settling_time": 1.0,
}


@dataclass
class Trial:
    """``seconds`` of faults, with ``quiet`` kills and leaves beside them that nothing else disturbs."""

    coordinator: str
    mode: str
    seed: int
    members: int = 8
    shards: int = 8
    faults: int = 30
    seconds: float = 14.0
    quiet: int = 1
    _wakes: list[tuple[float, str, str]] = field(default_factory=list)

    def run(self) -> dict[str, Any]:
        """Run it; gives its figures."""
        names = [f"m{n}" for n in range(self.members)]
        with Field() as there:
            self._field = there
            self._setup(names)
            self._field.wait(
                "every shard",
                lambda lines: len({(x["duty"], x["shard"]) for x in lines if x["what"] == "acked"}) == self.shards,
                60.0,
            )
            plan = draw(names, self.faults, self.seconds, TTL, self.seed, self.coordinator == "etcd")
            self._play(plan)
            if self.mode == "ours":
                self._calm()
                for n in range(self.quiet):
                    for what in ("kill", "leave"):
                        self._clean(names[n % len(names)], what)
            self._end(names)
            return self._figures(len(plan) + (2 * self.quiet if self.mode == "ours" else 0))

    def _setup(self, names: list[str]) -> None:
        there = self._field
        spec: dict[str, Any] = {"shards": self.shards, "every": 0.03, "rules": RULES, "timeout": 0.3}
        there.start(
            "book",
            "lapishaven.lab.field.receiver_process",
            book=str(there.folder / "book.db"),
            fenced=self.mode == "ours",
        )
        spec["receiver"] = there.first("start", who="book")["port"]
        if self.coordinator == "etcd":
            there.start("etcd", "lapishaven.lab.etcd", min_ttl=1)
            spec["etcd"] = there.first("start", who="etcd")["port"]
        for n, name in enumerate(names):
            file = f"lease{n}.db" if self.mode == "alone" else "lease.db"
            drift = (0.001, -0.001, 0.0)[n % 3]
            there.start(name, seed=self.seed * 1000 + n, coordinator=str(there.folder / file), drift=drift, **spec)

    def _play(self, plan: list[Fault]) -> None:
        start = time.monotonic()
        todo = sorted(plan, key=lambda fault: fault.at)
        while todo or self._wakes:
            now = time.monotonic() - start
            self._wakes.sort()
            if self._wakes and self._wakes[0][0] <= now:
                _, what, name = self._wakes.pop(0)
                self._back(what, name)
            elif todo and todo[0].at <= now:
                self._strike(todo.pop(0), now)
            else:
                ahead = [fault.at for fault in todo[:1]] + [wake[0] for wake in self._wakes[:1]]
                time.sleep(max(0.0, min(ahead) - now))

    def _strike(self, fault: Fault, now: float) -> None:
        there, kind, name = self._field, fault.kind, fault.process
        there.note(kind, process=self._who(name) if name else "")
        if kind == "stop":
            there.stop(name)
            self._wakes.append((now + fault.span, "wake", name))
        elif kind == "stop before act":
            there.say(name, arm=["before-act", "stop", 1])
            self._wakes.append((now + fault.span, "wake", name))
        elif kind == "kill":
            there.kill(name)
            self._wakes.append((now + fault.span, "start", name))
        elif kind == "kill after act":
            there.say(name, arm=["after-act", "kill", 1])
            self._wakes.append((now + fault.span + 0.3, "start", name))
        elif kind == "leave":
            there.say(name, leave=True)
            self._wakes.append((now + fault.span + 1.0, "start", name))
        elif kind == "step clock":
            there.say(name, step=fault.span)
        else:
            words: dict[str, dict[str, Any]] = {
                "stall": {"stall": fault.span},
                "refuse": {"refuse": fault.span},
                "lose": {"lose": 2},
                "twice": {"twice": 3},
                "late": {"late": 0.5, "for": fault.span},
                "restart kept": {"restart": "kept"},
                "restart aged": {"restart": "aged"},
            }
            there.say("etcd", **words[kind])

    def _back(self, what: str, name: str) -> None:
        proc = self._field.procs[name]
        if what == "wake":
            self._field.wake(name)
            return
        if proc.alive:
            self._field.kill(name)  # an armed kill that had nothing to do, or a leave that takes long
        self._field.start(name)

    def _who(self, name: str) -> str:
        return f"{name}:{self._field.procs[name].pid}"

    def _calm(self) -> None:
        """Wait until every shard has had an act by its newest owner for a while."""
        since = len(self._field.lines)
        self._field.wait(
            "calm", lambda lines: len({x["shard"] for x in lines[since:] if x["what"] == "acked"}) == self.shards, 60.0
        )
        self._quiet(2.2)

    def _quiet(self, span: float) -> None:
        until = time.clock_gettime(time.CLOCK_BOOTTIME) + span
        self._field.wait("time", lambda lines: lines[-1]["at"] >= until and lines[-1]["who"] != "etcd", 60.0)

    def _clean(self, name: str, what: str) -> None:
        """A kill or a leave with nothing beside it."""
        there, who = self._field, self._who(name)
        there.note(f"quiet {what}", process=who)
        if what == "kill":
            there.kill(name)
        else:
            there.say(name, leave=True)
            there.ended(name)
        self._quiet(4.1)
        since = len(there.lines)
        there.start(name)
        there.first("gained", since=since, who=self._who(name))
        self._quiet(2.2)

    def _end(self, names: list[str]) -> None:
        for name in names:
            if self._field.procs[name].alive:
                self._field.kill(name)

    def _figures(self, faults: int) -> dict[str, Any]:
        lines = list(self._field.lines)
        with closing(sqlite3.connect(self._field.folder / "book.db")) as base:
            query = "select duty, shard, token, number, detail from fence_log order by position"
            found = base.execute(query).fetchall()
        rows = [EffectRow((duty, shard), token, number) for duty, shard, token, number, _ in found]
        acts = [((duty, shard), f"{json.loads(detail)['who']}/{token}") for duty, shard, token, _, detail in found]
        kills, leaves = followed(lines, "quiet kill"), handed_over(lines)
        return {
            "coordinator": self.coordinator,
            "mode": self.mode,
            "seed": self.seed,
            "faults": faults,
            "effects": len(rows),
            "interleaved": returns(acts),
            "broken": broken(rows, lines),
            "older_accepted": int(find_interleaved(rows) is not None),
            "doubled": int(find_duplicate(rows) is not None),
            "acts_lost": int(lost(rows, lines) is not None),
            "stale_refused": sum(line["what"] == "stale" for line in lines),
            "after_kill_s": sorted(round(span, 3) for span in kills),
            "after_leave_s": sorted(round(span, 3) for span in leaves)[-3:],
            "leaves": len(leaves),
        }


def main() -> None:
    """Run one trial and print its figures as JSON."""
    print(json.dumps(Trial(**json.loads(sys.argv[1])).run()))


if __name__ == "__main__":
    main()
