"""Carries out one run of the soak on real processes, and judges it.

Every server process has a stand-in interpreter of its own, and all of them one catalog. Two callers keep up their load
all through: one heeds the servers' notices that they drain, the other goes on using its connections until they end.
At the end, after a pause without callers, the last server is terminated under both callers' load.
"""

from __future__ import annotations

import asyncio
import json
import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from lapishaven.lab import site
from lapishaven.lab.catalog import Catalog
from lapishaven.lab.handover.book import RequestLog, RequestOutcome
from lapishaven.lab.handover.caller import Caller, Load, arrivals
from lapishaven.lab.handover.platform import Platform, PlatformError, Process, kill_after
from lapishaven.lab.interpreter import Box, Interpreter
from lapishaven.lab.ports import Ports
from lapishaven.lab.soak.plan import CROWD_S, KEYED_CLASS, LOAD_S, SoakPlan, Step, StepKind
from lapishaven.lab.soak.rules import Lag, Observations, Outage, ProcessUse, Violation, count_crossings, find_violations

HOST = "127.0.0.1"
MEMORY_MB, DESCRIPTORS = 192, 1024
CONNECTIONS = 6  # of each caller
CONNECTIONS_OF_A_CALLER = 10_000  # callers number their connections from multiples of this on
REPEAT_SHARE = 0.3
LAG_PROBE_S = 0.005
USE_PROBE_S = 0.1
FINAL_LOAD_S = 2.0
FINAL_TERMINATION_S = 0.8  # from the start of the final load
FINAL_LOAD_AFTER_KILL_S = 0.5
IDLE_S = 1.2  # a server's connections have ended this long after its callers have closed theirs


@dataclass(frozen=True, slots=True)
class SoakReport:
    """The result of one run."""

    seed: int
    violations: tuple[Violation, ...]
    figures: dict[str, Any]
    log: tuple[str, ...]
    """What was done and what the processes logged, in order; JSON lines."""


@dataclass(slots=True)
class Server:
    """A server process, with its interpreter."""

    process: Process
    interpreter: Interpreter
    reloaded: bool = False  # whether the changed settings are in force
    idle_descriptors_at_start: int | None = None
    idle_descriptors_at_end: int | None = None
    max_memory_kb: int = 0
    max_descriptors: int = 0


def count_descriptors(pid: int) -> int | None:
    """Open descriptors of a process; ``None`` if it has ended."""
    try:
        return sum(1 for _ in Path(f"/proc/{pid}/fd").iterdir())
    except OSError:
        return None


def resident_kb(pid: int) -> int | None:
    """Resident size of a process in kB; ``None`` if it has ended."""
    try:
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    except OSError:
        pass
    return None


@dataclass
class SoakRun:
    """One run of a plan. ``plant`` may falsify what was recorded, to try the checker."""

    plan: SoakPlan
    plant: Callable[[RequestLog], None] | None = None
    log: RequestLog = field(default_factory=RequestLog)
    servers: list[Server] = field(default_factory=list)
    outages: list[Outage] = field(default_factory=list)
    overloads: list[str] = field(default_factory=list)
    crashes: list[str] = field(default_factory=list)
    lag: Lag = field(default_factory=Lag)
    callers: list[Caller] = field(default_factory=list)
    records: list[str] = field(default_factory=list)

    # ---- The run
    async def run(self) -> SoakReport:
        """Carry out the plan, and judge it."""
        self._loop = asyncio.get_running_loop()
        self._random = Random(f"soak trial/{self.plan.seed}")
        self._began_at = self._loop.time()
        self._background: list[asyncio.Task[Any]] = []
        self._ports = Ports()  # held while the catalog is away
        self.catalog = Catalog(lag=0.5)
        await self.catalog.open(*self._ports.take(HOST))
        probes = [self._loop.create_task(self._probe_lag()), self._loop.create_task(self._probe_use())]
        with tempfile.TemporaryDirectory(prefix="lapishaven-soak-") as folder:
            try:
                async with Platform(
                    HOST, Path(folder), on_terminate=self.log.record_termination, inherit=self.plan.inherited
                ) as self.platform:
                    await self._run_processes()
            finally:
                for task in [*probes, *self._background]:
                    task.cancel()
                await asyncio.gather(*probes, *self._background, return_exceptions=True)
                for server in self.servers:
                    await server.interpreter.close()
                await self.catalog.close()
                self._ports.close()
        return self._judge()

    async def _run_processes(self) -> None:
        self._listen_address = self.platform.ports.take(HOST)
        self.address = self.platform.address if self.plan.inherited else self._listen_address
        try:
            await self._ready(await self._start(cold=False))
            await self._main_load()
            await asyncio.gather(*self._background)
            await self._idle()
            await self._final_load()
            await asyncio.gather(*self._background)
        except PlatformError as error:
            self.crashes.append(str(error))
        self.crashes += self.platform.crashes

    async def _main_load(self) -> None:
        start = self._loop.time() + 0.05
        loads = [self._call(start, LOAD_S, True), self._call(start, LOAD_S, False)]
        if self.plan.crowd_rate:
            loads.append(self._crowd(start + self.plan.crowd_at))
        tasks = [self._loop.create_task(load) for load in loads]
        try:
            for step in self.plan.steps:
                await asyncio.sleep(max(0.0, start + step.at - self._loop.time()))
                await self._carry_out(step)
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()

    async def _idle(self) -> None:
        """Look whether the last server releases its descriptors once its callers have gone."""
        await asyncio.sleep(IDLE_S)
        server = self._current
        server.idle_descriptors_at_end = count_descriptors(server.process.child.pid)

    async def _final_load(self) -> None:
        """Terminate the last server under load, whose callers use their connections until the end."""
        server = self._current
        start = self._loop.time() + 0.05
        kill_s = self._kill_after(server)
        seconds = FINAL_TERMINATION_S + kill_s + FINAL_LOAD_AFTER_KILL_S
        tasks = [self._loop.create_task(self._call(start, seconds, heed)) for heed in (True, False)]
        await asyncio.sleep(max(0.0, start + FINAL_TERMINATION_S - self._loop.time()))
        if self.plan.inherited:
            await self._upgrade()
        else:
            await self._terminate(server, kill_s)
        await asyncio.gather(*tasks)

    # ---- Load
    def _new_caller(self, load: Load) -> Caller:
        number = len(self.callers)
        caller = Caller(
            self.address,
            self.log,
            load,
            Random(self._random.getrandbits(64)),
            f"c{number}-",
            1 + number * CONNECTIONS_OF_A_CALLER,
        )
        self.callers.append(caller)
        return caller

    async def _call(self, start: float, seconds: float, heed_draining: bool) -> None:
        keyed = frozenset({KEYED_CLASS.name})
        load = Load(
            self.plan.rate,
            seconds,
            CONNECTIONS,
            heed_draining,
            keyed,
            REPEAT_SHARE,
            repeats_anywhere=self.plan.inherited,  # its processes are one server
        )
        await self._new_caller(load).run(arrivals(load, start, self._random, self.plan.classes))

    async def _crowd(self, start: float) -> None:
        load = Load(self.plan.crowd_rate, CROWD_S, self.plan.crowd_connections)
        await self._new_caller(load).run(arrivals(load, start, self._random, self.plan.classes))

    # ---- Processes
    @property
    def _current(self) -> Server:
        return self.servers[-1]

    async def _start(self, cold: bool) -> Server:
        name = f"p{len(self.servers) + 1}"
        interpreter = Interpreter(
            Box(speed=self.plan.speed),
            {kind.name: kind.work for kind in self.plan.reloaded_classes},
            Random(self._random.getrandbits(64)),
            site.GAUGES,
            on_crash=lambda: self._fell_over(name),
            on_run_started=lambda body: self.log.record_run(self._loop.time(), body, name),
        )
        interpreter.reset(cold)
        await interpreter.open(HOST, self.platform.ports.take(HOST)[1])
        if self.plan.interpreter_delay_s:
            self._hide(interpreter, self.plan.interpreter_delay_s)
        process = await self.platform.start(name, self._config(interpreter, cold, False))
        server = Server(process, interpreter)
        self.servers.append(server)
        self._record("start", process=name, pid=process.child.pid, cold=cold)
        return server

    async def _ready(self, server: Server) -> None:
        await self.platform.ready(server.process)
        server.idle_descriptors_at_start = count_descriptors(server.process.child.pid)
        self._record("ready", process=server.process.name)

    def _fell_over(self, name: str) -> None:
        if not any(name in overload for overload in self.overloads):
            self.overloads.append(f"the interpreter of {name}")

    def _config(self, interpreter: Interpreter, cold: bool, reloaded: bool) -> str:
        self.catalog.addresses["n1"] = self._listen_address
        classes = self.plan.reloaded_classes if reloaded else self.plan.classes
        stop_ms = self.plan.reloaded_stop_ms if reloaded else self.plan.stop_ms
        config = json.loads(
            site.configuration(
                "n1",
                self._listen_address,
                interpreter.address,
                self.catalog.address,
                self._random.getrandbits(63) + 1,
                interpreter.box,
                1,
                len(self.callers) + 1,
                cold,
                stop_ms,
            )
        )
        config["limits"] = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS}
        config["settings"] = site.settings(interpreter.box, 1, 2, cold, classes)
        for profile in config["settings"]["profiles"]:
            if profile["name"] == KEYED_CLASS.name:
                profile["effect"] = "guarded"
        return json.dumps(config)

    def _kill_after(self, server: Server) -> float:
        """Seconds from SIGTERM to SIGKILL: the least that the page allows."""
        return (self.plan.reloaded_stop_ms if server.reloaded else self.plan.stop_ms) / 1000

    def _upgrade_kill_after(self) -> float:
        return kill_after([kind.deadline_s for kind in self.plan.classes])

    async def _terminate(self, server: Server, kill_s: float) -> None:
        self._record("SIGTERM", process=server.process.name, kill_after_s=round(kill_s, 3))
        left_s = await self.platform.terminate(server.process, kill_s)
        process = server.process
        self._record("end", process=process.name, left_s=round(left_s, 3), killed=process.killed)
        if not process.killed and process.child.returncode != 0:
            self.crashes.append(f"{process.name} ended with exit code {process.child.returncode} after SIGTERM")

    def _terminate_in_background(self, server: Server, kill_s: float) -> None:
        self._background.append(self._loop.create_task(self._terminate(server, kill_s)))

    async def _replace(self, terminate: Callable[[], Awaitable[None]]) -> None:
        """Replace a terminated server that has a socket of its own. Connections are refused in between."""
        await terminate()
        await self._ready(await self._start(cold=True))

    async def _upgrade(self) -> None:
        old = self._current
        new = await self._start(cold=False)
        await self._ready(new)
        self._terminate_in_background(old, self._upgrade_kill_after())

    # ---- Steps
    async def _carry_out(self, step: Step) -> None:
        self._record("step", kind=step.kind.name, planned_at=step.at)
        server = self._current
        if step.kind is StepKind.RELOAD:
            self._reload(server, not server.reloaded)
        elif step.kind is StepKind.MOVE_INTERPRETER:
            await server.interpreter.listen(HOST)
            self._reload(server, server.reloaded)
        elif step.kind is StepKind.RELOAD_BROKEN:
            text = self._config(server.interpreter, False, server.reloaded)
            self.platform.reload(server.process, text[: len(text) // 2])
        elif step.kind is StepKind.CUT_INTERPRETER:
            server.interpreter.cut()
        elif step.kind is StepKind.INTERPRETER_DOWN:
            server.interpreter.cut()
            self._hide(server.interpreter, step.duration_s)
        elif step.kind is StepKind.CATALOG_DOWN:
            self._background.append(self._loop.create_task(self._catalog_down(step.duration_s)))
        elif step.kind is StepKind.KILL:
            await self._kill(server)
        else:
            await self._end_process(step, server)

    async def _end_process(self, step: Step, server: Server) -> None:
        """Carry out a step that ends a process with notice."""
        if step.kind in (StepKind.UPGRADE, StepKind.UPGRADE_TWICE):
            await self._upgrade()
            if step.kind is StepKind.UPGRADE_TWICE:
                await asyncio.sleep(step.duration_s)
                await self._upgrade()
        elif step.kind is StepKind.TERMINATE_EARLY:
            began_at = self._loop.time()
            new = await self._start(cold=False)
            self._terminate_in_background(server, self._upgrade_kill_after())
            await self._ready(new)
            self.outages.append(Outage(began_at, self._loop.time(), killed=False))
        elif self.plan.inherited:
            new = await self._start(cold=False)
            await self._ready(new)
            await self._signal_series(step, server, self._upgrade_kill_after(), in_background=True)
        else:
            await self._replace(lambda: self._signal_series(step, server, self._kill_after(server), False))

    async def _signal_series(self, step: Step, server: Server, kill_s: float, in_background: bool) -> None:
        """SIGTERM with another signal just before or after it.

        After a reload before it, the new ``stop_ms`` counts; a reload after it may bring the kill forward.
        """
        if step.kind is StepKind.RELOAD_THEN_TERMINATE:
            self._reload(server, not server.reloaded)
            await asyncio.sleep(step.duration_s)
            kill_s = min(kill_s, self._kill_after(server)) if self.plan.inherited else self._kill_after(server)
        elif step.kind is StepKind.TERMINATE_THEN_RELOAD:
            kill_s = min(kill_s, self.plan.stop_ms / 1000, self.plan.reloaded_stop_ms / 1000)
        termination = self._loop.create_task(self._terminate(server, kill_s))
        await asyncio.sleep(step.duration_s)
        if step.kind is StepKind.TERMINATE_THEN_RELOAD:
            self._reload(server, not server.reloaded)
        elif step.kind is StepKind.TERMINATE_TWICE and server.process.child.returncode is None:
            server.process.child.terminate()
        if in_background:
            self._background.append(termination)
        else:
            await termination

    def _reload(self, server: Server, reloaded: bool) -> None:
        server.reloaded = reloaded
        self.platform.reload(server.process, self._config(server.interpreter, False, reloaded))
        self._record("SIGHUP", process=server.process.name, changed=reloaded)

    async def _kill(self, server: Server) -> None:
        """SIGKILL without notice, and a cold start with a new interpreter."""
        began_at = self._loop.time()
        server.interpreter.hide()
        server.interpreter.down()
        await self.platform.kill(server.process)
        new = await self._start(cold=True)
        await self._ready(new)
        self.outages.append(Outage(began_at, self._loop.time(), killed=True))

    async def _catalog_down(self, duration_s: float) -> None:
        host, port = self.catalog.address
        await self.catalog.close()
        await asyncio.sleep(duration_s)
        await self.catalog.open(host, port)

    def _hide(self, interpreter: Interpreter, duration_s: float) -> None:
        """Let nobody connect to an interpreter for ``duration_s`` seconds."""
        port = interpreter.address[1]
        interpreter.hide()

        async def show() -> None:
            await asyncio.sleep(duration_s)
            if interpreter.address[1] == port and interpreter.hidden:
                await interpreter.listen(HOST, port)

        self._background.append(self._loop.create_task(show()))

    # ---- Observation
    async def _probe_lag(self) -> None:
        while True:
            due_at = self._loop.time() + LAG_PROBE_S
            await asyncio.sleep(LAG_PROBE_S)
            now = self._loop.time()
            if now - due_at > LAG_PROBE_S:
                self.lag.record(now, now - due_at)

    async def _probe_use(self) -> None:
        while True:
            await asyncio.sleep(USE_PROBE_S)
            for server in self.servers:
                pid = server.process.child.pid
                if server.process.child.returncode is None:
                    server.max_memory_kb = max(server.max_memory_kb, resident_kb(pid) or 0)
                    server.max_descriptors = max(server.max_descriptors, count_descriptors(pid) or 0)

    def _record(self, event: str, **facts: Any) -> None:
        self.records.append(json.dumps({"at": round(self._loop.time() - self._began_at, 4), "event": event, **facts}))

    def _judge(self) -> SoakReport:
        if self.plant is not None:
            self.plant(self.log)
        seen = Observations(
            log=self.log,
            now=self._loop.time(),
            inherited=self.plan.inherited,
            outages=self.outages,
            opened_at={
                connection.number: connection.opened_at for caller in self.callers for connection in caller.connections
            },
            lag=self.lag,
            crashes=self.crashes,
            overloads=self.overloads,
            uses=[self._use(server) for server in self.servers],
            memory_limit_kb=MEMORY_MB * 1024,
            descriptor_limit=DESCRIPTORS,
        )
        violations = tuple(find_violations(seen))
        for server in self.servers:
            self.records += [json.dumps({"process": server.process.name, "log": line}) for line in server.process.log]
        self.records += [json.dumps({"violation": found.rule.name, "detail": found.detail}) for found in violations]
        return SoakReport(self.plan.seed, violations, self._figures(), tuple(self.records))

    def _use(self, server: Server) -> ProcessUse:
        start, end = server.idle_descriptors_at_start, server.idle_descriptors_at_end
        idle = (start, end) if start is not None and end is not None else None
        return ProcessUse(server.process.name, server.max_memory_kb, server.max_descriptors, idle)

    def _figures(self) -> dict[str, Any]:
        outcomes = [request.outcome for request in self.log.requests.values()]
        return {
            "requests": len(outcomes),
            **{outcome.value: outcomes.count(outcome) for outcome in RequestOutcome if outcome in outcomes},
            "runs": len(self.log.runs),
            "crossed": count_crossings(self.log, self.lag),
            "processes": len(self.servers),
            "killed": sum(server.process.killed for server in self.servers),
            "steps": len(self.plan.steps),
            "memory_mb": round(max(server.max_memory_kb for server in self.servers) / 1024, 1),
            "harness_late_ms": round(self.lag.greatest * 1000),
            "seconds": round(self._loop.time() - self._began_at, 1),
        }


def run_seed(plan: SoakPlan, plant: Callable[[RequestLog], None] | None = None) -> SoakReport:
    """Carry out one plan on a new event loop."""

    async def run() -> SoakReport:
        return await SoakRun(plan, plant).run()

    return asyncio.run(run())
