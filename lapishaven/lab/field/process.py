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
from lapishaven.ownership.agent import Agent, ApplyEffect, Duty, Receiver
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
    """The field's own duty: a row for each effect, every so many seconds."""

    name = "tick"

    def __init__(self, who: str, shards: int, every: float) -> None:
        self.shards, self._who, self._every = shards, who, every

    def step(self, shard_number: int, apply_effect: ApplyEffect, now: float) -> float:
        """Insert one row."""
        apply_effect("tick", {"shard": shard_number, "who": self._who})
        return self._every


class Serving(threading.Thread):
    """What a server does beside its duties: it serves, and stores what it served. Each row that is known to be stored
    is reported, with its count."""

    def __init__(
        self, store: FencedStore, name: str, start: str, report: Callable[[str, Mapping[str, Any]], None]
    ) -> None:
        super().__init__(daemon=True)
        self._store = store
        self._report = report
        self._collector = periods.ConsumptionCollector(name, start, SHARDS, LENGTH)

    def run(self) -> None:
        """Serve three teams for ever."""
        while True:
            for team in ("red", "green", "blue"):
                self._collector.record(time.time(), team, "c", 1.0)
            rows = self._collector.pending_rows()
            try:
                self._store.write(lambda base, rows=rows: periods.insert_rows(base, rows))  # type: ignore[misc]
            except FencedStoreError:
                continue
            self._collector.confirm(rows)
            self._report(
                "served", {"count": sum(row.request_count for row in rows), "numbers": [row.number for row in rows]}
            )
            time.sleep(0.03)


def closing(path: str, points: Callable[[str], None]) -> tuple[FencedStore, periods.PeriodClosing]:
    """The duty of closing periods, with points within the receiver's transaction."""

    def close(base: sqlite3.Connection, detail: Any) -> Any:
        points("in-act")
        answer = periods.close_period(base, detail)
        points("end-act")
        return answer

    schema = DutySchema(periods.SCHEMA, periods.DUTY_SCHEMA.guarded_tables, {"close": close})
    store = FencedStore(path, {"periods": schema})
    return store, periods.PeriodClosing(
        SHARDS,
        LENGTH,
        0.1,
        time.time,
        lambda shard: store.read("select max(period) from period_closed where shard = ?", (shard,))[0][0],
        lambda shard: store.read("select min(period) from consumption where shard = ?", (shard,))[0][0],
    )


class Points:
    """The fault points: at an armed one the process stops or kills itself."""

    def __init__(self, report: Callable[[str, Mapping[str, Any]], None]) -> None:
        self._armed: dict[str, tuple[str, int]] = {}
        self._report = report

    def arm(self, point: str, what: str, count: int) -> None:
        """Have the process ``stop`` or ``kill`` itself when it comes to ``point`` for the ``count``th time."""
        self._armed[point] = what, count

    def __call__(self, point: str) -> None:
        """The process has come to ``point``."""
        armed = self._armed.get(point)
        if armed is None:
            return
        what, count = armed
        if count > 1:
            self._armed[point] = what, count - 1
            return
        del self._armed[point]
        self._report("fault", {"point": point, "how": what})
        # To this very thread, so that it goes no step further before the signal takes hold.
        signal.pthread_kill(threading.get_ident(), signal.SIGSTOP if what == "stop" else signal.SIGKILL)


class Process:
    """The process that ``spec`` describes: a member with one duty, its coordinator and its receiver."""

    def __init__(self, spec: Mapping[str, Any]) -> None:
        self._spec = spec
        self._clock = FaultyClock(spec.get("drift", 0.0), spec.get("offset", 0.0))
        self._incarnation = f"{spec['name']}:{os.getpid()}"
        self._points = Points(self._report)
        for point in spec.get("arm", []):
            self._points.arm(*point)
        receiver, duty = self._receiver_and_duty()
        record = MemberRecord(spec.get("alias", spec["name"]), self._incarnation)
        shards = [(duty.name, number) for number in range(duty.shards)]
        rules = MembershipRules(**spec.get("rules", {}))
        self._member = Member(record, shards, rules, Random(spec["seed"]))
        self._agent = Agent(
            self._member,
            self._coordinator(),
            receiver,
            [duty],
            self._clock,
            self._report,
            self._points,
            self._coordinator(),
        )

    def run(self) -> None:
        """Work until the member has left."""
        threading.Thread(target=self._listen, daemon=True).start()
        self._report("start", {"pid": os.getpid()})
        self._agent.start()
        self._agent.join()
        self._report("end", {"calls": self._agent.driver.call_count})

    def _report(self, what: str, facts: Mapping[str, Any]) -> None:
        line = json.dumps({"at": self._clock.true(), "who": self._incarnation, "what": what, **facts}) + "\n"
        os.write(1, line.encode())  # one write, so that a kill leaves no half of it behind

    def _coordinator(self) -> Coordinator:
        if "etcd" in self._spec:
            from lapishaven.ownership.coordinators.etcd import EtcdCoordinator

            return EtcdCoordinator("127.0.0.1", self._spec["etcd"], "/field", self._spec.get("timeout", 0.5))
        return SqliteCoordinator(self._spec["coordinator"], self._clock)

    def _receiver_and_duty(self) -> tuple[Receiver, Duty]:
        spec = self._spec
        if spec.get("duty") == "periods":
            store, closing_duty = closing(spec["book"], self._points)
            flushed_store = FencedStore(spec["book"], {"periods": periods.DUTY_SCHEMA})
            Serving(flushed_store, spec["name"], self._incarnation, self._report).start()
            return store, closing_duty
        duty = Ticking(self._incarnation, spec["shards"], spec.get("every", 0.05))
        if "receiver" in spec:
            return RemoteReceiver("127.0.0.1", spec["receiver"], spec.get("act_timeout", 1.0)), duty
        return FencedStore(spec["book"], {"tick": TICK}), duty

    def _listen(self) -> None:
        """Obey the words on standard input until it ends."""
        for line in sys.stdin:
            words = json.loads(line)
            if "arm" in words:
                self._points.arm(*words["arm"])
            if "step" in words:
                self._clock.offset += words["step"]
            if words.get("leave"):
                self._agent.drain()
            if "shed" in words:
                with self._agent.driver.lock:
                    self._member.shed(self._clock.now(), tuple(words["shed"]), 5.0)
                self._agent.driver.wake()
        self._agent.stop()  # the field has ended


def main() -> None:
    """Run the process that the first argument describes."""
    Process(json.loads(sys.argv[1])).run()


if __name__ == "__main__":
    main()
