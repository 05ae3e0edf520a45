"""The server: one loop, one core, its fronts and its backend, from start to drained end."""

from __future__ import annotations

import gc
import os
import signal
import socket
import sys
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING, Any

from lapishaven.admin import AdminServer
from lapishaven.admin.metrics import render
from lapishaven.admin.server import LIMIT as CONTROL_LIMIT
from lapishaven.admission import Outcome, Settings
from lapishaven.attempt_log import AttemptLog, LogEntry
from lapishaven.backends import BackendDriver
from lapishaven.backends.interpreter import InterpreterBackend
from lapishaven.backends.uwsgi import UwsgiBackend
from lapishaven.catalog_reporter import CatalogReporter
from lapishaven.client_connections import ClientConnections
from lapishaven.config import Config, ConfigError, Files, UwsgiBackendConfig, UwsgiFrontendConfig, renumbered
from lapishaven.connection_end import ConnectionEnd
from lapishaven.core import Submission
from lapishaven.core.broker import Broker
from lapishaven.core.contracts import Contract, Contracts
from lapishaven.core.execution_guard import ONCE_LIFE
from lapishaven.core.ports import DurableResultStore, FleetMember
from lapishaven.core.requests import AnswerKind
from lapishaven.counters import Counters
from lapishaven.frontends import Session, platform, uwsgi
from lapishaven.graceful_shutdown import GracefulShutdown
from lapishaven.net.connection import Dial, connect
from lapishaven.net.listener import Budget, Listener
from lapishaven.net.loop import Loop
from lapishaven.signals import Signals

if TYPE_CHECKING:
    from lapishaven.backends.load_balanced import LoadBalancedBackend
    from lapishaven.frontends.load_endpoint import LoadEndpoint
    from lapishaven.load_balancing.settings import BalancingSettings as SpreadSettings
    from lapishaven.pools import Pools, PoolSettings

RESERVE = 32  # descriptors for the program itself: streams, epoll, doors, links and those on their way out
ATTEMPTS = 64  # and for attempts of the uwsgi backend, where there is one
UNSENT_PART = 8  # part of the memory that answers may take up which callers do not read
IDLE = 15.0  # s after which an idle connection is closed where the settings name no time
RESTART = 1.0  # s until a part that a fault of ours has ended is started again
HOLD_OFF = 2.0  # s at the most for which a new process leaves an inherited socket to the old one


class Server:
    """An embeddable match server; ``run`` serves until it is told to leave."""

    def __init__(
        self,
        config: Config,
        front: UwsgiFrontendConfig | None = None,
        backend: UwsgiBackendConfig | None = None,
        loop: Loop | None = None,
        log: Callable[[str], None] | None = None,
        dial: Dial = connect,
        contracts: list[Contract] | None = None,
        store: AttemptLog | None = None,
        counters: Counters | None = None,
        files: Callable[[], Files] | None = None,
        pools: PoolSettings | None = None,
        keeper: DurableResultStore | None = None,
        fleet: FleetMember | None = None,
        spread: SpreadSettings | None = None,
    ) -> None:
        self.config, self.loop = config, loop or Loop()
        self.log = log or (lambda text: print(text, file=sys.stderr, flush=True))
        self.counters = counters or Counters()
        self.broker: Broker | None = None
        attempts = spread.attempts if spread is not None else ATTEMPTS if backend is not None else 0
        reserve = RESERVE + attempts + (CONTROL_LIMIT if config.control else 0)
        self.budget = Budget(config.descriptors, min(reserve, config.descriptors // (2 if spread else 4)))
        self.callers = ClientConnections(self.loop, self.budget, self.counters, config.settings.idle_timeout or IDLE)
        self.loop.unsent_limit = config.memory_mb * 1024 * 1024 // UNSENT_PART
        self.classes = {spec.name: n for n, spec in enumerate(config.settings.classes)}
        self.tenants = {tenant.name: n for n, tenant in enumerate(config.settings.tenants)}
        self.store, self._contracts, self._files = store, contracts, files
        self.keeper, self.fleet = keeper, fleet
        if keeper is not None:
            self.loop.watch(keeper.ready, 1, lambda mask: keeper.process_completions())
        self._pool_rules, self.pools = pools, None  # type: PoolSettings | None, Pools | None
        self.drivers: dict[str, BackendDriver] = {}
        if backend is not None:
            spans = {spec.name: spec.deadline for spec in config.settings.classes}
            self.drivers["uwsgi"] = UwsgiBackend(
                self.loop,
                backend.address,
                backend.path,
                config.settings.cores,
                spans,
                self,
                self.counters,
                dial,
            )
        self.spreading = self._spreading(spread, dial) if spread is not None else None
        if self.spreading is not None:
            self.drivers["uwsgi"] = self.spreading
        if not self.drivers or any(c.route == "interpreter" for c in contracts or []):
            self.drivers["interpreter"] = InterpreterBackend(
                self.loop, config.interpreter, config.gauges, self, self.counters, dial
            )
        # The first one runs what no contract routes elsewhere, and tells the gauges that the module sees.
        self.backend = next(iter(self.drivers.values()))
        self.reporter = CatalogReporter(self.loop, config.catalog, config.name, self.counters, dial)
        self._good = False

        def platform_session(sock: socket.socket) -> Session:
            return platform.Session(self, sock)

        self.listeners = [self._listen(config.listen, platform_session, config.inherited)]
        if config.inherited is not None:
            # Until the interpreter is up this process could only say "not up yet", while an old one may serve.
            self.loop.at(self.loop.now + HOLD_OFF, self.listeners[0].open)
        self.control_door = AdminServer(self.loop, config.control, self, self.counters) if config.control else None
        self.load: LoadEndpoint | None = None
        if front is not None:
            # Not the same in another life of the same configuration: the interpreter still knows the names of its runs.
            random = Random(f"{config.seed}/{os.getpid()}/{time.time_ns()}")
            self.load = self._load_door(front) if front.load else None
            word = self.load.header_value if self.load is not None else None
            self.listeners.append(
                self._listen(front.listen, lambda sock: uwsgi.Session(self, sock, front, random, word))
            )
        self.leaving = GracefulShutdown(self.loop, self.callers, self.listeners)
        for name, driver in self.drivers.items():
            self._keep_running(name, driver)
        self._keep_running("catalog", self.reporter)

    @property
    def draining(self) -> bool:
        """Whether the notice to leave has come."""
        return self.leaving.requested_at is not None

    def _keep_running(self, name: str, part: BackendDriver | CatalogReporter) -> None:
        """Run a part's coroutine, and again after a fault of ours in it: a server that has lost its link to the
        interpreter or the catalog for good would serve nobody."""

        def failed(error: Exception) -> None:
            self.counters.add("faults", name)
            part.failed()
            self.loop.at(self.loop.now + RESTART, lambda: self._keep_running(name, part))

        self.loop.spawn(part.run(), failed)

    def _spreading(self, settings: SpreadSettings, dial: Dial) -> LoadBalancedBackend:
        from lapishaven.backends.load_balanced import LoadBalancedBackend

        spans = {spec.name: spec.deadline for spec in self.config.settings.classes}
        # Choosers are not to act alike, however alike their configurations are.
        random = Random(f"{self.config.seed}/{self.config.name}/{os.getpid()}/{time.time()}")
        cores = self.config.settings.cores
        return LoadBalancedBackend(self.loop, settings, cores, spans, self, self.counters, random, dial)

    def _load_door(self, front: UwsgiFrontendConfig) -> LoadEndpoint:
        from lapishaven.frontends.load_endpoint import LoadEndpoint

        random = Random(f"{self.config.seed}/{os.getpid()}/{time.time()}")
        cores = self.config.settings.cores
        return LoadEndpoint(self.loop, front.listen, random, cores, lambda: self.broker, self.counters)

    # ---- What the interpreter says
    def up(self, cold: bool, up_for: float) -> None:
        if self.broker is None:
            settings = replace(self.config.settings, slow_start=cold)
            contracts = Contracts(self._contracts, self.fleet) if self._contracts is not None else None
            self.broker = Broker(
                settings,
                self.config.seed,
                self.backend,
                self,
                self.counters,
                contracts,
                self.drivers,
                self._record,
                self.config.memory_mb * 1024 * 1024,
                self._make_pools(settings),
                self.keeper,
            )
            for cls, key, age in self.store.started(ONCE_LIFE) if self.store is not None else ():
                if cls in self.classes:
                    self.broker.remember(self.loop.now, cls, key, age)

            for cls, key, age in self.keeper.uncertain_effects() if self.keeper is not None else ():
                if cls in self.classes:
                    self.broker.remember(self.loop.now, cls, key, age)
            if not self.draining:
                self.listeners[0].open()
            if self.load is not None:
                self.load.start_reporting(
                    settings.slow_start_initial_speed if cold else 1.0,
                    settings.slow_start_span - up_for if cold else 0.0,
                )

    def _make_pools(self, settings: Settings) -> Pools | None:
        if self._pool_rules is None:
            return None
        from lapishaven.pools import Pools

        self.pools = Pools(self._pool_rules, settings, self.loop.now)
        return self.pools

    def finished(self, handle: str, outcome: Outcome, spent: float, result: bytes) -> None:
        if self.load is not None:
            self.load.run_ended(handle, outcome)
        if self.broker is not None:
            self.broker.finished(handle, outcome, spent, result)

    def gauges(self, values: dict[str, float]) -> None:
        if self.broker is not None:
            self.broker.gauges(values)

    def _record(self, event: str, sub: Submission, detail: str) -> None:
        if self.fleet is not None and event == "answered" and detail == AnswerKind.SERVED.value:
            spec = self.config.settings.classes[sub.class_index]
            self.fleet.request_served(sub.team, spec.name, spec.priority_weight, sub.idempotency_key)
        elif self.fleet is not None and event == "answered":
            self.fleet.request_not_served(detail == AnswerKind.REJECTED.value)
        if self.load is not None and event == "started":
            self.load.run_started(sub.attempt_id, sub.class_index)
        if self.store is not None:
            cls = self.config.settings.classes[sub.class_index].name
            self.store.record(LogEntry(event, sub.attempt_id, cls, sub.idempotency_key, sub.team, sub.service, detail))

    # ---- What the module says
    def set_health(self, good: bool) -> None:
        self._good = good
        self.reporter.tell(good)
        if self.fleet is not None:
            self.fleet.set_overloaded(not good)

    def set_idle_timeout(self, span: float) -> None:
        self.callers.idle = span or self.config.settings.idle_timeout or IDLE

    def log_remark(self, text: str) -> None:
        self.log(f"remark: {text}")

    # ---- Callers
    def _listen(
        self, address: tuple[str, int], session_of: Callable[[socket.socket], Session], inherited: int | None = None
    ) -> Listener:
        def accepted(sock: socket.socket) -> None:
            self.callers.add(session_of(sock))

        return Listener(self.loop, address, self.budget, accepted, self.callers.make_room, inherited)

    # ---- The control address
    def ready(self) -> bool:
        """Yes once the interpreter is there and the module has begun, until the notice to leave."""
        return self.broker is not None and not self.draining

    def metrics(self) -> bytes:
        open_requests = len(self.broker.requests) if self.broker is not None else 0
        fleet = self.fleet.state() if self.fleet is not None else None
        return render(self.counters, self.classes, open_requests, self.ready(), fleet, self.spread_state())

    def spread_state(self) -> dict[str, Any] | None:
        return self.spreading.state() if self.spreading is not None else None

    def ended(self, session: Session, end: ConnectionEnd) -> None:
        """A front's connection has ended and its descriptor is free."""
        self.callers.ended(session, end)
        for listener in self.listeners:
            listener.room_made()

    def check(self, deep: bool, told: Callable[[bool], None]) -> None:
        if not self._good or not deep:
            told(self._good)
        else:
            self.backend.health_check(told)

    # ---- Reloading
    def reload(self) -> None:
        """Read the files again. What is open, runs or is connected goes on; a bad file changes nothing."""
        try:
            if self._files is None:
                raise ConfigError("no file to read again")
            files = self._files()
            if any(c.route not in self.drivers for c in files.contracts or []):
                raise ConfigError("a contract names a backend that is not there before a restart")
            settings = renumbered(self.config.settings, files.config.settings)
        except ConfigError as error:
            self.counters.add("reloads", "failed")
            self.log(f"reload: {error}; the old configuration stays")
            return
        new, old = files.config, self.config
        self.counters.add("reloads", "done")
        if settings != old.settings:
            if self.broker is not None:
                self.broker.retune(settings)
            served = {spec.name for spec in new.settings.classes}
            self.classes = {spec.name: n for n, spec in enumerate(settings.classes) if spec.name in served}
            self.log(f"reload: classes now {', '.join(self.classes)}")
        moves = {"interpreter": new.interpreter}
        if files.backend is not None:
            moves["uwsgi"] = files.backend.address
        if files.spread is not None and self.spreading is not None:
            self.spreading.set_addresses(files.spread.addresses)
        for name, driver in self.drivers.items():
            if name in moves:
                driver.change_address(moves[name])
        self.reporter.move(new.catalog)
        if files.contracts is not None and self._contracts is not None:
            self._contracts = files.contracts
            if self.broker is not None:
                self.broker.renew(Contracts(files.contracts, self.fleet))
        if files.pools is not None and self._pool_rules is not None:
            self._pool_rules = files.pools
            if self.pools is not None:
                self.pools.renew(self.loop.now, files.pools)
        self.config = replace(
            old, interpreter=new.interpreter, catalog=new.catalog, stop_span=new.stop_span, settings=settings
        )
        self.leaving.shorten(new.stop_span)
        kept = [n for n in ("name", "listen", "descriptors", "memory_mb") if getattr(new, n) != getattr(old, n)]
        self.log("reload: done" + (f"; only a restart changes {', '.join(kept)}" if kept else ""))

    # ---- Leaving
    def drain(self, noticed: float | None = None) -> None:
        """The notice to leave came, at ``noticed`` by the loop's clock."""
        if self.draining:
            return
        if self.fleet is not None:
            self.fleet.drain()
        if self.load is not None:
            self.load.drain()
        if self.config.inherited is not None:
            # An upgrade: the new process serves the shared socket and reports to the catalog from now on.
            self.listeners[0].close()
            self.reporter.close()
        began = self.loop.now if noticed is None else noticed
        self.leaving.begin(began, self.config.stop_span, self.config.settings.drain_grace, lambda: self.broker)

    # ---- Running
    def turn(self, now: float) -> None:
        if self.broker is not None:
            self.broker.turn(now)

    def next_at(self) -> float | None:
        return self.broker.next_at() if self.broker is not None else None

    def run(self, signals: Signals | None = None) -> int:
        """Serve until the notice to leave has been carried out. ``signals`` may have been heard from before on."""
        own = signals is None
        signals = signals or Signals()
        self.loop.watch(signals.ready, 1, lambda mask: self._signalled(signals.take()))
        doors = " and ".join("{}:{}".format(*listener.address) for listener in self.listeners)
        self.log(f"lapishaven {self.config.name} pid {os.getpid()} at {doors}")
        # What is there at the start stays, so the collector need not walk it again in the middle of a day.
        gc.collect()
        gc.freeze()
        try:
            self.loop.run(self.turn, self.next_at)
        finally:
            self.loop.unwatch(signals.ready)
            if self.control_door is not None:  # open to the end: the figures are read while it drains
                self.control_door.close()
            for driver in self.drivers.values():
                driver.close()
            if self.load is not None:
                self.load.close()
            if self.store is not None:
                self.store.close()
            if self.keeper is not None:
                self.loop.unwatch(self.keeper.ready)
                self.keeper.close()
            if self.fleet is not None:
                self.fleet.close()
            self.reporter.close()
            self.tell_counters()
            if own:
                signals.close()
        return 0

    def tell_counters(self) -> None:
        """Log all counters, with the bytes that went through so far."""
        self.counters.groups["bytes"] = Counter(received=self.loop.received, sent=self.loop.sent)
        if self.pools is not None:
            self.counters.groups["pools"] = Counter(self.pools.state())
        if self.keeper is not None:
            self.counters.groups[self.keeper.label] = Counter(self.keeper.state())
        if self.spreading is not None:
            self.counters.groups["spread choices"] = Counter(self.spreading.balancer.counts)
        if self.fleet is not None:
            self.counters.groups["ownership"] = Counter(self.fleet.state())
        self.log(self.counters.line())

    def _signalled(self, came: list[tuple[int, float]]) -> None:
        for number, when in came:
            self.log(f"signal {number} at {time.time():.3f}")
            if number == signal.SIGUSR1:
                self.tell_counters()
            elif number == signal.SIGHUP:
                self.reload()
            else:
                self.drain(when)
