"""A process of the field: the program's agent, with points at which it stops or dies, and a history on its output.

It reads words from standard input, one JSON object a line: ``{"arm": [POINT, "stop" or "kill", COUNT]}`` has it stop
or kill itself when it comes to a point for the COUNTth time from then, ``{"step": S}`` steps its wall clock,
``{"leave": true}`` has it hand over and end, ``{"shed": [DUTY, SHARD]}`` give a shard back.
"""

from __future__ import annotations

import json
import os
import signal
import sqlite3
import sys
import threading
import time
from collections.abc import Callable, Mapping
from random import Random
from typing import Any

from lapishaven.lab.field.clock import FaultyClock
from lapishaven.ownership.agent import Agent, Duty, Receiver
from lapishaven.ownership.coordinators.sqlite import SqliteCoordinator
from lapishaven.ownership.duties import periods
from lapishaven.ownership.fenced_store import DutySchema, FencedStore, FencedStoreError
from lapishaven.ownership.member import Member
from lapishaven.ownership.model import Coordinator, MemberRecord
from lapishaven.ownership.receiver import RemoteReceiver
from lapishaven.ownership.rules import MembershipRules

SHARDS, LENGTH = 2, 0.3  # of the periods that the field closes: shards, and s


def _tick(base: sqlite3.Connection, detail: Any) -> Any:
    base.execute("insert into tick (shard, who) values (?, ?)", (detail["shard"], detail["who"]))
    return base.execute("select count(*) from tick where shard = ?", (detail["shard"],)).fetchone()[0]


TICK = DutySchema(
    "create table if not exists tick (shard integer not null, who text not null)", ("tick",), {"tick": _tick}
)


class Ticking:
    """The field's own duty: a row for each act, as fast as it is told to."""

    name = "tick"

    def __init__(self, who: str, shards: int, every: float) -> None:
        self.shards, self._who, self._every = shards, who, every

    def step(self, number: int, act: Callable[[str, Any], Any], now: float) -> float:
        act("tick", {"shard": number, "who": self._who})
        return self._every


class Serving(threading.Thread):
    """What a server does beside its duties: it serves, and puts what it served into the book. Each row that is known to
    be in the book is told, with its count."""

    def __init__(
        self, book: FencedStore, name: str, start: str, told: Callable[[str, Mapping[str, Any]], None]
    ) -> None:
        super().__init__(daemon=True)
        self._book, self._told = book, told
        self._collector = periods.ConsumptionCollector(name, start, SHARDS, LENGTH)

    def run(self) -> None:
        while True:
            for team in ("red", "green", "blue"):
                self._collector.record(time.time(), team, "c", 1.0)
            rows = self._collector.pending_rows()
            try:
                self._book.write(lambda base, rows=rows: periods.insert_rows(base, rows))  # type: ignore[misc]
            except FencedStoreError:
                continue
            self._collector.confirm(rows)
            self._told("served", {"count": sum(row[7] for row in rows), "numbers": [row[2] for row in rows]})
            time.sleep(0.03)


def closing(path: str, points: Callable[[str], None]) -> tuple[FencedStore, periods.PeriodClosing]:
    """The duty of closing periods, with points within the receiver's transaction."""

    def close(base: sqlite3.Connection, detail: Any) -> Any:
        points("in-act")
        found = periods.close_period(base, detail)
        points("end-act")
        return found

    plan = DutySchema(periods.SCHEMA, periods.DUTY_SCHEMA.guarded_tables, {"close": close})
    book = FencedStore(path, {"periods": plan})
    return book, periods.PeriodClosing(
        SHARDS,
        LENGTH,
        0.1,
        time.time,
        lambda shard: book.read("select max(period) from period_closed where shard = ?", (shard,))[0][0],
        lambda shard: book.read("select min(period) from consumption where shard = ?", (shard,))[0][0],
    )


class Points:
    """The probe: at an armed point the process stops or kills itself."""

    def __init__(self, told: Callable[[str, Mapping[str, Any]], None]) -> None:
        self._armed: dict[str, tuple[str, int]] = {}
        self._told = told

    def arm(self, point: str, what: str, count: int) -> None:
        self._armed[point] = what, count

    def __call__(self, point: str) -> None:
        armed = self._armed.get(point)
        if armed is None:
            return
        what, count = armed
        if count > 1:
            self._armed[point] = what, count - 1
            return
        del self._armed[point]
        self._told("fault", {"point": point, "how": what})
        # To this very thread, so that it goes no step further before the signal takes hold.
        signal.pthread_kill(threading.get_ident(), signal.SIGSTOP if what == "stop" else signal.SIGKILL)


def main() -> None:
    spec = json.loads(sys.argv[1])
    clock = FaultyClock(spec.get("drift", 0.0), spec.get("offset", 0.0))
    name, start = spec["name"], f"{spec['name']}:{os.getpid()}"

    def told(what: str, facts: Mapping[str, Any]) -> None:
        line = json.dumps({"at": clock.true(), "who": start, "what": what, **facts}) + "\n"
        os.write(1, line.encode())  # one write, so that a kill leaves no half of it behind

    random = Random(spec["seed"])
    points = Points(told)
    for each in spec.get("arm", []):
        points.arm(*each)
    rules = MembershipRules(**spec.get("rules", {}))

    def coordinator() -> Coordinator:
        if "etcd" in spec:
            from lapishaven.ownership.coordinators.etcd import EtcdCoordinator

            return EtcdCoordinator("127.0.0.1", spec["etcd"], "/field", spec.get("timeout", 0.5))
        return SqliteCoordinator(spec["coordinator"], clock)

    duty: Duty
    book: Receiver
    if spec.get("duty") == "periods":
        book, duty = closing(spec["book"], points)
        Serving(FencedStore(spec["book"], {"periods": periods.DUTY_SCHEMA}), name, start, told).start()
    else:
        duty = Ticking(start, spec["shards"], spec.get("every", 0.05))
        if "receiver" in spec:
            book = RemoteReceiver("127.0.0.1", spec["receiver"], spec.get("act_timeout", 1.0))
        else:
            book = FencedStore(spec["book"], {"tick": TICK})
    member = Member(
        MemberRecord(spec.get("alias", name), start), [(duty.name, n) for n in range(duty.shards)], rules, random
    )
    agent = Agent(member, coordinator(), book, [duty], clock, told, points, coordinator())

    def listen() -> None:
        for line in sys.stdin:
            words = json.loads(line)
            if "arm" in words:
                points.arm(*words["arm"])
            if "step" in words:
                clock.offset += words["step"]
            if words.get("leave"):
                agent.drain()
            if "shed" in words:
                with agent.driver.lock:
                    member.shed(clock.now(), tuple(words["shed"]), 5.0)
                agent.driver.wake()
        agent.stop()  # the field is gone

    threading.Thread(target=listen, daemon=True).start()
    told("start", {"pid": os.getpid()})
    agent.start()
    agent.join()
    told("end", {"calls": agent.driver.call_count})


if __name__ == "__main__":
    main()
