"""A member process for the harness: an ownership agent with fault points that prints its event history.

It reads commands from standard input, one JSON object a line. ``{"arm": [POINT, "stop" or "kill", COUNT]}`` makes it
stop or kill itself when it next reaches the fault point for the COUNTth time, ``{"stop": true}`` makes it stop itself
while no transaction on the coordinator's file is open, ``{"step": S}`` steps its wall clock by S seconds,
``{"leave": true}`` makes it hand over its shards and end, and ``{"shed": [DUTY, SHARD]}`` makes it give a shard back.
"""

from __future__ import annotations

import json
import os
import signal
import sqlite3
import sys
import threading
import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from random import Random
from typing import Any

from lapishaven.lab.field.clock import FaultyClock
from lapishaven.lock_waits import LockUse, ObserveLock
from lapishaven.ownership.agent import Agent, ApplyEffect, Duty, Receiver
from lapishaven.ownership.coordinators.sqlite import SqliteCoordinator
from lapishaven.ownership.duties import periods
from lapishaven.ownership.fenced_store import DutySchema, FencedStore, FencedStoreError
from lapishaven.ownership.member import Member
from lapishaven.ownership.model import Coordinator, MemberRecord
from lapishaven.ownership.receiver import RemoteReceiver
from lapishaven.ownership.rules import MembershipRules

SHARDS, PERIOD_S = 2, 0.3


def _insert_tick(connection: sqlite3.Connection, detail: Any) -> Any:
    connection.execute("insert into tick (shard, who) values (?, ?)", (detail["shard"], detail["who"]))
    return connection.execute("select count(*) from tick where shard = ?", (detail["shard"],)).fetchone()[0]


TICK_SCHEMA = DutySchema(
    "create table if not exists tick (shard integer not null, who text not null)", ("tick",), {"tick": _insert_tick}
)


class TickDuty:
    """A duty that inserts one row into the table ``tick`` every ``interval_s`` seconds."""

    name = "tick"

    def __init__(self, incarnation: str, shards: int, interval_s: float) -> None:
        self.shards, self._incarnation, self._interval_s = shards, incarnation, interval_s

    def step(self, shard_number: int, apply_effect: ApplyEffect, now: float) -> float:
        """Insert one row."""
        apply_effect("tick", {"shard": shard_number, "who": self._incarnation})
        return self._interval_s


class ConsumptionWriter(threading.Thread):
    """Records and stores consumption, as a server does beside its duties, and reports the rows known to be stored."""

    def __init__(
        self, store: FencedStore, name: str, incarnation: str, report: Callable[[str, Mapping[str, Any]], None]
    ) -> None:
        super().__init__(daemon=True)
        self._store = store
        self._report = report
        self._collector = periods.ConsumptionCollector(name, incarnation, SHARDS, PERIOD_S)

    def run(self) -> None:
        """Record one request for each of three teams, store the rows, and repeat without end."""
        while True:
            for team in ("red", "green", "blue"):
                self._collector.record(time.time(), team, "c", 1.0)
            rows = self._collector.pending_rows()
            try:
                self._store.write(lambda connection, rows=rows: periods.insert_rows(connection, rows))  # type: ignore[misc]
            except FencedStoreError:
                continue
            self._collector.confirm(rows)
            self._report(
                "served", {"count": sum(row.request_count for row in rows), "numbers": [row.number for row in rows]}
            )
            time.sleep(0.03)


def period_closing(path: str, fault_point: Callable[[str], None]) -> tuple[FencedStore, periods.PeriodClosing]:
    """The period-closing duty and its store, with fault points at both ends of the receiver's transaction."""

    def close(connection: sqlite3.Connection, detail: Any) -> Any:
        fault_point("in-act")
        result = periods.close_period(connection, detail)
        fault_point("end-act")
        return result

    schema = DutySchema(periods.SCHEMA, periods.DUTY_SCHEMA.guarded_tables, {"close": close})
    store = FencedStore(path, {"periods": schema})
    return store, periods.PeriodClosing(
        SHARDS,
        PERIOD_S,
        0.1,
        time.time,
        lambda shard: store.read("select max(period) from period_closed where shard = ?", (shard,))[0][0],
        lambda shard: store.read("select min(period) from consumption where shard = ?", (shard,))[0][0],
    )


class FaultPoints:
    """The fault points of a process: at an armed one it stops or kills itself.

    ``coordinator_calls`` is held during each call to a coordinator in a file. A process stops only when no *other*
    thread holds it: one that is stopped within a transaction keeps the file's write lock, which is a different fault.
    The fault point ``in-transaction`` causes that one.
    """

    def __init__(self, report: Callable[[str, Mapping[str, Any]], None], coordinator_calls: threading.RLock) -> None:
        self._armed: dict[str, tuple[str, int]] = {}
        self._report = report
        self._coordinator_calls = coordinator_calls

    def arm(self, point: str, action: str, count: int) -> None:
        """Make the process ``stop`` or ``kill`` itself when it reaches ``point`` for the ``count``th time from now."""
        self._armed[point] = action, count

    def __call__(self, point: str) -> None:
        """The process has reached ``point``."""
        armed = self._armed.get(point)
        if armed is None:
            return
        action, count = armed
        if count > 1:
            self._armed[point] = action, count - 1
            return
        del self._armed[point]
        self._report("fault", {"point": point, "how": action})
        if action == "stop":
            self.stop()
        else:
            _signal_this_thread(signal.SIGKILL)

    def stop(self) -> None:
        """Stop the process while no other thread is in a call to the coordinator."""
        with self._coordinator_calls:
            _signal_this_thread(signal.SIGSTOP)


def _signal_this_thread(signal_number: signal.Signals) -> None:
    """Signal this thread, so that it executes nothing more before the signal takes effect."""
    signal.pthread_kill(threading.get_ident(), signal_number)


class FaultySqliteCoordinator(SqliteCoordinator):
    """A coordinator in a file whose calls hold ``coordinator_calls``, with a fault point within its transactions."""

    def __init__(
        self,
        path: str,
        clock: FaultyClock,
        observe_lock: ObserveLock,
        fault_point: Callable[[str], None],
        coordinator_calls: threading.RLock,
    ) -> None:
        super().__init__(path, clock, observe_lock=observe_lock)
        self._fault_point = fault_point
        self._coordinator_calls = coordinator_calls

    @contextmanager
    def _reading(self) -> Iterator[sqlite3.Connection]:
        with self._coordinator_calls, super()._reading() as connection:
            yield connection

    def _require_session(self, session: int) -> None:
        super()._require_session(session)
        self._fault_point("in-transaction")


class MemberProcess:
    """A member with one duty, a coordinator and a receiver, as ``spec`` describes them."""

    def __init__(self, spec: Mapping[str, Any]) -> None:
        self._spec = spec
        self._clock = FaultyClock(spec.get("drift", 0.0), spec.get("offset", 0.0))
        self._incarnation = f"{spec['name']}:{os.getpid()}"
        self._coordinator_calls = threading.RLock()
        self._fault_points = FaultPoints(self._report, self._coordinator_calls)
        for point in spec.get("arm", []):
            self._fault_points.arm(*point)
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
            self._fault_points,
            self._coordinator(),
        )

    def run(self) -> None:
        """Run until the member has deregistered."""
        threading.Thread(target=self._read_commands, daemon=True).start()
        self._report("start", {"pid": os.getpid()})
        self._agent.start()
        self._agent.join()
        self._report("end", {"calls": self._agent.driver.call_count})

    def _report(self, event: str, facts: Mapping[str, Any]) -> None:
        line = json.dumps({"at": self._clock.true_now(), "who": self._incarnation, "what": event, **facts}) + "\n"
        os.write(1, line.encode())  # a single write, so that a kill leaves no partial line

    def _coordinator(self) -> Coordinator:
        if "etcd" in self._spec:
            from lapishaven.ownership.coordinators.etcd import EtcdCoordinator

            return EtcdCoordinator("127.0.0.1", self._spec["etcd"], "/field", self._spec.get("timeout", 0.5))
        return FaultySqliteCoordinator(
            self._spec["coordinator"], self._clock, self._report_lock, self._fault_points, self._coordinator_calls
        )

    def _report_lock(self, use: LockUse) -> None:
        if use.is_slow or self._spec.get("lock_trace"):
            held = None if use.held_s is None else round(use.held_s, 4)
            self._report("slow lock", {"kind": use.kind, "waited": round(use.waited_s, 4), "held": held})

    def _receiver_and_duty(self) -> tuple[Receiver, Duty]:
        spec = self._spec
        if spec.get("duty") == "periods":
            store, closing_duty = period_closing(spec["book"], self._fault_points)
            flushed_store = FencedStore(spec["book"], {"periods": periods.DUTY_SCHEMA})
            ConsumptionWriter(flushed_store, spec["name"], self._incarnation, self._report).start()
            return store, closing_duty
        duty = TickDuty(self._incarnation, spec["shards"], spec.get("every", 0.05))
        if "receiver" in spec:
            return RemoteReceiver("127.0.0.1", spec["receiver"], spec.get("act_timeout", 1.0)), duty
        return FencedStore(spec["book"], {"tick": TICK_SCHEMA}), duty

    def _read_commands(self) -> None:
        """Execute the commands on standard input until it ends."""
        for line in sys.stdin:
            command = json.loads(line)
            if "arm" in command:
                self._fault_points.arm(*command["arm"])
            if command.get("stop"):
                self._fault_points.stop()
            if "step" in command:
                self._clock.offset += command["step"]
            if command.get("leave"):
                self._agent.drain()
            if "shed" in command:
                with self._agent.driver.lock:
                    self._member.shed(self._clock.now(), tuple(command["shed"]), 5.0)
                self._agent.driver.wake()
        self._agent.stop()  # the harness has ended


def main() -> None:
    """Run the process that the first argument describes."""
    MemberProcess(json.loads(sys.argv[1])).run()


if __name__ == "__main__":
    main()
