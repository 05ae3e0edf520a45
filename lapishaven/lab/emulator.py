"""The emulator: the package's Broker, Controller, Pools and client policy in simulated time, without sockets.

The machine of each server is the model of the stand-in interpreter (``Cores``): shared cores, contention, cold start,
slow machines, memory and crashes. Reading a request can be configured to use part of the cores as well.

``python -m lapishaven.lab.emulator JSON`` runs one ``EmulatorSpec`` and prints its figures as JSON.
"""

from __future__ import annotations

import json
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random
from time import perf_counter
from typing import Any, ClassVar

from lapishaven.admission import Outcome
from lapishaven.client.model import Attempt, Connection
from lapishaven.client.outcomes import AttemptEnd, AttemptResult
from lapishaven.client.settings import Settings as ClientSettings
from lapishaven.client.settings import Strategy
from lapishaven.core.broker import Broker
from lapishaven.core.requests import Answer, AnswerKind, Submission
from lapishaven.counters import Counters
from lapishaven.lab import client_simulation, site
from lapishaven.lab.client_simulation import ONE_WAY_DELAY_S, Request, Simulation
from lapishaven.lab.interpreter import Box, Cores, Work
from lapishaven.pools import Pools
from lapishaven.pools.settings import PoolSettings
from lapishaven.pools.settings import parse as parse_pools
from lapishaven.proto.admission_settings import parse_settings

STEP_INTERVAL_S = 0.01  # between two steps of a machine that is not idle
LIGHT_CLASS = site.RequestClass("glossary-look-up", 0.05, Work(0.01, 0.03), 0.5, 2.0, 0.3, True)


def request_classes(light: bool) -> tuple[site.RequestClass, ...]:
    """The site's classes, with ``light`` also a cheap one."""
    if not light:
        return site.CLASSES
    return (*(replace(cls, share=cls.share * (1 - LIGHT_CLASS.share)) for cls in site.CLASSES), LIGHT_CLASS)


@dataclass(frozen=True, slots=True)
class EmulatorSpec(client_simulation.Spec):
    """What to emulate, in addition to the fields of ``Spec``.

    ``pools``: off, on, or fixed for ``FixedPartitions``. ``light``: add the cheap class. ``read_part``: the work of
    reading a request, as a share of the mean work. ``boxes``: "old" or "new" for machines of that age only.
    ``doubled_at``: seconds after which the work of the first class is doubled; negative for never. ``only``: send
    requests of this class alone. ``retries`` and ``strategy``: settings of the clients.
    """

    pools: str = "off"
    light: bool = True
    read_part: float = 0.0
    boxes: str = ""
    doubled_at: float = -1.0
    only: str = ""
    retries: int = 3
    strategy: Strategy = "round-robin"


def pool_rules(cores: int, light: bool) -> PoolSettings:
    """The shares of the pools in the emulation."""
    rows: list[dict[str, Any]] = [
        {"name": "commits", "classes": ["approve-commit"], "share": 0.3},
        {"name": "matches", "classes": ["fuzzy-match"], "share": 0.35},
        {"name": "saves", "classes": ["segment-save"], "share": 0.3},
    ]
    if light:
        rows.append({"name": "light", "classes": [LIGHT_CLASS.name], "share": 0.05, "ceiling": 0.5})
    names = [cls.name for cls in request_classes(light)]
    return parse_pools(
        {"pool": rows, "reserve": {"pool": "light" if light else "commits", "share": 0.15}}, names, cores
    )


class FixedPartitions(Pools):
    """The baseline: each pool has a fixed share of the concurrent runs and lends nothing."""

    def can_start(self, pool_index: int) -> bool:
        """Whether the pool has fewer runs than its share of the cores."""
        pool = self.pools[pool_index]
        return pool.running < max(1, round(pool.share * self.settings.cores))

    def work_share(self, pool_index: int) -> float:
        """The configured share, whatever the other pools use."""
        return self.pools[pool_index].share

    def preempt(self, now: float) -> list[int]:
        """Nothing: no capacity is lent that could be taken back."""
        return []


@dataclass(slots=True)
class Machine:
    """One match server: its cores, its unread requests and its Broker. It is also the Broker's backend and signals.

    ``factor``: applied to the speed by a fault. ``healthy``: as the Broker last reported. ``unread``: requests being
    read, as (request, time of receipt, work left in seconds of a standard core). ``stopped_at``: when it last stopped.
    ``late_answers``: answers sent after their deadline.
    """

    can_pause: ClassVar[bool] = True

    emulator: Emulator
    name: str
    box: Box
    seed: int
    cold: bool = False
    up: bool = True
    draining: bool = False
    factor: float = 1.0
    incarnation: int = 0
    healthy: bool = True
    unread: deque[tuple[Request, float, float]] = field(default_factory=deque)
    step_scheduled: bool = False
    stopped_at: float = 0.0
    connections: dict[int, tuple[int, Any]] = field(default_factory=dict)
    crashes: int = 0
    worst_concurrency: float = 0.0
    worst_memory: float = 0.0
    counters: Counters = field(default_factory=Counters)
    pools: Pools | None = None
    late_answers: int = 0
    cores: Cores = field(init=False)
    broker: Broker = field(init=False)
    open_requests: dict[str, Request] = field(default_factory=dict)

    def boot(self, now: float) -> None:
        """Start a new incarnation with a new Broker and empty cores."""
        emulator = self.emulator
        self.cores = Cores(
            self.box, emulator.work_by_class, Random(self.seed ^ self.incarnation), now, self.cold, self.factor
        )
        table = site.settings(self.box, emulator.spec.servers, emulator.spec.clients, self.cold, emulator.kinds)
        settings, _ = parse_settings(json.dumps(table))
        self.pools = emulator.make_pools(settings, now)
        self.broker = Broker(
            settings, self.seed + self.incarnation, self, self, self.counters, memory=192 << 20, pools=self.pools
        )
        self.open_requests = {}
        self.wake(now)

    # ---- Backend
    def start(self, handle: str, class_name: str, body: bytes, once: bool, time_limit_s: float) -> None:
        """Start a run of an admitted request."""
        emulator = self.emulator
        request = self.open_requests.get(handle)
        if request is not None:
            emulator.max_wait_s[class_name] = max(emulator.max_wait_s[class_name], emulator.now - request.submitted_at)
        if not emulator.kinds[emulator.names.index(class_name)].safe and request is not None:
            emulator.count_run(request)
        self.cores.start(emulator.now, handle, class_name, body)
        if emulator.doubled(class_name):
            self.cores.runs[handle].work_left_s *= 2
        self.wake(emulator.now)

    def pause(self, handle: str) -> None:
        """Stop a run, and report it as cancelled."""
        run = self.cores.runs.get(handle)
        if run is None or run.paused:
            return
        run.paused = True
        emulator = self.emulator
        emulator.at(
            emulator.now, self._report_run, self.incarnation, handle, Outcome.CANCELLED, emulator.now - run.started_at
        )

    def resume(self, handle: str) -> None:
        """Continue a paused run."""
        run = self.cores.runs.get(handle)
        if run is not None:
            run.paused = False
        self.wake(self.emulator.now)

    def request_load_sample(self) -> None:
        """Deliver the current gauges to the Broker."""
        emulator = self.emulator
        emulator.at(emulator.now, self._send_gauges, self.incarnation)

    def smoke(self, callback: Callable[[bool], None]) -> None:
        """A health check of the interpreter, which always succeeds."""
        callback(True)

    def _send_gauges(self, incarnation: int) -> None:
        if incarnation != self.incarnation or not self.up:
            return
        active = self.cores.on_cores + min(len(self.unread), self.box.cores)
        values = {
            "core_use": self.cores.core_use,
            "on_cores": float(active),
            "links": 1.0,
            "heap_share": len(self.cores.runs) / (self.box.memory_runs * self.box.cores),
        }
        self.broker.load_sampled(values)
        self.turn()

    def _report_run(self, incarnation: int, handle: str, outcome: Outcome, spent_s: float) -> None:
        if incarnation == self.incarnation and self.up:
            self.broker.run_finished(handle, outcome, spent_s, b"")
            self.turn()

    # ---- Signals
    def set_health(self, healthy: bool) -> None:
        """Publish a change of the Broker's health through the catalog."""
        if healthy != self.healthy:
            self.healthy = healthy
            self.emulator.at(self.emulator.now + client_simulation.CATALOG_LAG_S, self.emulator.relist)

    def set_idle_timeout(self, timeout_s: float) -> None: ...
    def log_remark(self, text: str) -> None: ...

    # ---- Time
    def wake(self, now: float) -> None:
        """Schedule the next step, unless one is scheduled."""
        if not self.step_scheduled and self.up:
            self.step_scheduled = True
            self.emulator.at(now + STEP_INTERVAL_S, self._step, self.incarnation)

    def _step(self, incarnation: int) -> None:
        if incarnation != self.incarnation or not self.up:
            return
        emulator = self.emulator
        self.step_scheduled = False
        self._read_requests(STEP_INTERVAL_S)
        for run in self.cores.step(emulator.now):
            self.broker.run_finished(run.handle, Outcome.OK, emulator.now - run.started_at, run.body)
        memory_in_use_kb = sum(30.0 * 16.0 for _ in self.cores.runs) + 30.0 * len(self.broker.requests)
        self.worst_memory = max(
            self.worst_memory, memory_in_use_kb / (self.box.memory_runs * self.box.cores * 16.0 * 30.0)
        )
        self.worst_concurrency = max(self.worst_concurrency, self.cores.runs_per_core)
        if self.cores.crashed:
            self.crashes += 1
            return emulator.machine_crashed(self)
        self.turn()
        if self.cores.runs or self.unread:
            self.wake(emulator.now)

    def _read_requests(self, interval_s: float) -> None:
        """Advance the reading of requests, one per core, which shares the cores with the runs."""
        if not self.unread:
            return
        readers = min(len(self.unread), self.box.cores)
        total = readers + self.cores.on_cores
        work_done_s = self.cores.speed(self.emulator.now) * min(1.0, self.box.cores / total) * interval_s
        remaining: deque[tuple[Request, float, float]] = deque()
        for index, (request, received_at, work_left_s) in enumerate(self.unread):
            work_left_s -= work_done_s if index < readers else 0.0
            if work_left_s <= 0:
                self.submit(request, self.emulator.now - received_at)
            else:
                remaining.append((request, received_at, work_left_s))
        self.unread = remaining

    def submit(self, request: Request, age_s: float) -> None:
        """Submit a request to the Broker, ``age_s`` after its receipt."""
        attempt, emulator = request.attempt, self.emulator
        call = attempt.call
        if attempt.id not in attempt.connection.in_flight:
            return
        request_class = emulator.kinds[request.class_index]
        submission = Submission(
            attempt.request_id,
            request.class_index,
            b"%d" % request.client,
            30.0,
            call.rank,
            age_s,
            request.client,
            attempt.is_retry,
            is_write=not request_class.safe,
        )
        self.open_requests[attempt.request_id] = request
        request.submitted_at = emulator.now
        due, incarnation = emulator.now - age_s + request_class.deadline_s, self.incarnation

        def reply(answer: Answer) -> None:
            self.open_requests.pop(attempt.request_id, None)
            self.late_answers += emulator.now > due + 0.1
            emulator.at(emulator.now + ONE_WAY_DELAY_S, emulator.answer_received, self, incarnation, request, answer)

        request.entry = self.broker.submit(emulator.now, submission, reply)

    def turn(self) -> None:
        """Let the Broker act on what has happened, and schedule its next timer."""
        emulator = self.emulator
        self.broker.turn(emulator.now)
        when = self.broker.next_turn_at()
        if when is not None:
            emulator.schedule_turn(self, max(when, emulator.now))


class Emulator(Simulation):
    """A fleet of ``Machine``s as the servers of a ``Simulation``."""

    spec: EmulatorSpec

    def __init__(self, spec: EmulatorSpec) -> None:
        self.kinds = request_classes(spec.light)
        if spec.only:
            self.kinds = tuple(replace(cls, share=1.0 if cls.name == spec.only else 0.0) for cls in self.kinds)
        self.names = [cls.name for cls in self.kinds]
        self.work_by_class = {cls.name: cls.work for cls in self.kinds}
        self.mean_work_s = sum(cls.share * (cls.work.min_s + cls.work.max_s) / 2 for cls in self.kinds)
        rules = site.rules(self.kinds)
        base = ClientSettings(rules, catalog="127.0.0.1:1")
        base = replace(
            base, retry=replace(base.retry, tries=spec.retries), routing=replace(base.routing, strategy=spec.strategy)
        )
        self._plans: dict[str, float] = {}
        super().__init__(spec, base)
        random = Random(spec.seed ^ 0xB0)
        machines: dict[str, Any] = {}
        for index, name in enumerate(self.servers):
            box = site.box(random)
            if spec.boxes:
                box = Box(speed=random.uniform(0.5, 0.7) if spec.boxes == "old" else random.uniform(1.0, 1.3))
            machines[name] = Machine(self, name, box, spec.seed * 1000 + index)
        self.servers = machines
        self.rate = spec.load * sum(m.box.cores * m.box.speed for m in machines.values()) / self.mean_work_s
        for machine in machines.values():
            machine.boot(self.now)
        self.measured_calls: Counter[str] = Counter()
        self.on_time: Counter[str] = Counter()
        self.served: Counter[str] = Counter()
        self.calls_by: Counter[str] = Counter()
        self.max_call_s: dict[str, float] = dict.fromkeys(self.names, 0.0)  # of served calls
        self.max_wait_s: dict[str, float] = dict.fromkeys(self.names, 0.0)  # of attempts, from submission to start
        self.rules_broken = 0

    def make_pools(self, settings: Any, now: float) -> Pools | None:
        """The pools of a new incarnation, as the specification says."""
        if self.spec.pools == "off":
            return None
        pools_type = FixedPartitions if self.spec.pools == "fixed" else Pools
        return pools_type(pool_rules(settings.cores, self.spec.light), settings, now)

    def doubled(self, class_name: str) -> bool:
        """Whether the work of the class is doubled now."""
        return 0 <= self.spec.doubled_at <= self.now and class_name == self.names[0]

    # ---- Time
    def schedule_turn(self, machine: Machine, when: float) -> None:
        """Schedule a turn of the machine's Broker, unless an earlier one is scheduled."""
        if when < self._plans.get(machine.name, float("inf")):
            self._plans[machine.name] = when
            self.at(when, self._run_turn, machine, machine.incarnation, when)

    def _run_turn(self, machine: Machine, incarnation: int, when: float) -> None:
        if self._plans.get(machine.name) == when:
            del self._plans[machine.name]
            if machine.incarnation == incarnation and machine.up:
                machine.turn()

    # ---- Requests
    def _draw_class(self) -> site.RequestClass:
        return self.random.choices(self.kinds, [cls.share for cls in self.kinds])[0]

    def _received(self, server: Any, request: Request) -> None:
        machine: Machine = server
        if not machine.up:
            return
        if self.spec.read_part:
            machine.unread.append((request, self.now, self.spec.read_part * self.mean_work_s))
            machine.wake(self.now)
        else:
            machine.submit(request, 0.0)
            machine.turn()

    def count_run(self, request: Request) -> None:
        """Count the run of a commit, and whether it is not the first of its call."""
        key = request.client, request.attempt.call.number
        self.runs[key] += 1
        self.duplicate_runs += self.runs[key] > 1

    def answer_received(self, machine: Machine, incarnation: int, request: Request, answer: Answer) -> None:
        """Pass an answer to the client, unless the server has stopped since."""
        if machine.incarnation != incarnation:
            return
        end = {AnswerKind.SERVED: AttemptEnd.SERVED, AnswerKind.REJECTED: AttemptEnd.REJECTED}.get(
            answer.kind, AttemptEnd.FAILED
        )
        reply = AttemptResult(
            end, b"", answer.reason, retry_after_s=answer.retry_after, no_retry_elsewhere=answer.no_retry_elsewhere
        )
        self._answered(request, reply)

    def _cancelled(self, connection: Connection, attempt: Attempt) -> None:
        machine: Machine = self.servers[connection.endpoint.name]  # type: ignore[assignment]
        request = machine.open_requests.pop(attempt.request_id, None) if machine.up else None
        if request is not None and request.entry is not None:
            machine.broker.cancel(request.entry)
            machine.turn()

    def _record_call(self, request_class: site.RequestClass, duration_s: float, served: bool) -> None:
        self.calls_by[request_class.name] += 1
        self.measured_calls[request_class.name] += 1
        self.served[request_class.name] += served
        self.on_time[request_class.name] += served and duration_s <= request_class.objective_s
        if served:
            self.max_call_s[request_class.name] = max(self.max_call_s[request_class.name], duration_s)

    # ---- Faults
    def _apply_fault(self, step: Any) -> None:
        if step.what == "slow":
            for name in step.servers:
                self._slow(self.servers[name], step.factor)
                self.at(self.now + step.duration_s, self._slow, self.servers[name], 1.0)
        else:
            super()._apply_fault(step)
            if step.what == "drain":
                for name in step.servers:
                    machine: Machine = self.servers[name]  # type: ignore[assignment]
                    machine.broker.drain(self.now, self.now + client_simulation.DRAIN_S)
                    machine.turn()

    def _slow(self, machine: Any, factor: float) -> None:
        machine.factor = machine.cores.factor = factor

    def machine_crashed(self, machine: Machine) -> None:
        """Stop a machine that crashed under overload, and restart it after 5 s."""
        self._stop_server(machine)
        self.at(self.now + 5.0, self._boot_server, machine)

    def _stop_server(self, server: Any) -> None:
        machine: Machine = server
        machine.up, machine.draining, machine.stopped_at = False, False, self.now
        machine.incarnation += 1
        machine.step_scheduled = False
        self._plans.pop(machine.name, None)
        machine.unread.clear()
        connections, machine.connections = machine.connections, {}
        for client, connection in connections.values():
            self.policies[client].closed(self.now, connection, True)
            self._drive(client)

    def _boot_server(self, server: Any) -> None:
        server.up, server.cold, server.healthy = True, True, True
        server.boot(self.now)
        self.at(self.now + client_simulation.CATALOG_LAG_S, self._relist)

    def relist(self) -> None:
        """Publish the list again if it changed."""
        self._relist()

    def _passing(self, server: Any) -> bool:
        return getattr(server, "healthy", True) and not server.draining

    # ---- Figures
    def _figures(self, wall_s: float) -> dict[str, Any]:
        figures = super()._figures(wall_s)
        machines: list[Machine] = list(self.servers.values())  # type: ignore[arg-type]
        by_class = {
            name: {
                "on_time": round(self.on_time[name] / max(1, self.measured_calls[name]), 4),
                "served": round(self.served[name] / max(1, self.measured_calls[name]), 4),
                "longest_s": round(self.max_call_s[name], 3),
                "waited_s": round(self.max_wait_s[name], 3),
            }
            for name in self.names
            if self.measured_calls[name]
        }
        return {
            **figures,
            "classes": by_class,
            "falls": sum(m.crashes for m in machines),
            "worst_concurrency": round(max(m.worst_concurrency for m in machines), 2),
            "worst_memory": round(max(m.worst_memory for m in machines), 3),
            "late_answers": sum(m.late_answers for m in machines),
        }


def main(spec: EmulatorSpec) -> dict[str, Any]:
    """Run one emulation and return its figures."""
    started_at = perf_counter()
    figures = Emulator(spec).run()
    figures["wall_s"] = round(perf_counter() - started_at, 2)
    return figures


if __name__ == "__main__":
    import sys

    print(json.dumps(main(EmulatorSpec(**json.loads(sys.argv[1])))))


__all__ = ["Emulator", "EmulatorSpec", "main"]
