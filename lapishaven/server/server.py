"""The server: one loop, one core, its frontends and its backends, from the start to the end of its shutdown."""

from __future__ import annotations

import gc
import os
import socket
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from lapishaven.admin import AdminServer
from lapishaven.attempt_log import AttemptLog
from lapishaven.config import ConfigFiles, NodeConfig, UwsgiFrontendConfig
from lapishaven.connection_end import ConnectionEnd
from lapishaven.core.broker import Broker
from lapishaven.core.ports import DurableResultStore, FleetMember
from lapishaven.counters import Counters
from lapishaven.frontends import Session, platform, uwsgi
from lapishaven.net.connection import Dial, connect
from lapishaven.net.listener import Listener
from lapishaven.net.loop import Loop
from lapishaven.server.assembly import build_backends, build_load_endpoint, descriptor_budget
from lapishaven.server.attempt_reporting import AttemptReporting
from lapishaven.server.broker_host import BYTES_PER_MB, BrokerHost
from lapishaven.server.catalog_reporter import CatalogReporter
from lapishaven.server.client_connections import ClientConnections
from lapishaven.server.config_reload import ConfigReload
from lapishaven.server.controller_listener import DEFAULT_IDLE_TIMEOUT_S, ControllerListener
from lapishaven.server.counter_report import CounterReport
from lapishaven.server.graceful_shutdown import GracefulShutdown
from lapishaven.server.part_supervisor import PartSupervisor
from lapishaven.server.running_config import RunningConfig
from lapishaven.server.signals import SignalDispatcher, Signals
from lapishaven.server.status import ServerStatus

UNSENT_PART = 8  # divisor of the memory that gives the limit of answers that callers have not read
INHERITED_SOCKET_DELAY_S = 2.0  # the longest time for which a new process leaves an inherited socket to the old one


def log_to_stderr(text: str) -> None:
    """Print a line at once."""
    print(text, file=sys.stderr, flush=True)


@dataclass(frozen=True, slots=True)
class ServerOptions:
    """What a server is given beside its files; each part is optional."""

    loop: Loop | None = None  # the event loop; None: a new one on the monotonic clock
    log: Callable[[str], None] = log_to_stderr  # takes each line of the log
    dial: Dial = connect  # opens connections to backends and to the registry
    counters: Counters | None = None  # None: new ones
    read_files: Callable[[], ConfigFiles] | None = None  # reads the files again for a reload; None: reloads fail
    attempt_log: AttemptLog | None = None  # records starts and answers; None: they are not recorded
    result_store: DurableResultStore | None = None  # keeps results over restarts; None: they are not kept
    fleet: FleetMember | None = None  # its part in the fleet's duties; None: it has none


class Server:
    """An embeddable match server.

    It listens from its construction, which raises ``OSError``; ``run`` serves until it is told to shut down::

        server = Server(load_files("server.json"))
        sys.exit(server.run())
    """

    def __init__(self, files: ConfigFiles, options: ServerOptions | None = None) -> None:
        options = options or ServerOptions()
        self.running = RunningConfig(files)
        self.loop = options.loop or Loop()
        self.loop.unsent_limit = files.config.memory_mb * BYTES_PER_MB // UNSENT_PART
        self.log = options.log
        self.counters = options.counters or Counters()
        self.attempt_log = options.attempt_log
        self.fleet = options.fleet
        self.budget = descriptor_budget(files)
        idle_timeout = files.config.settings.idle_timeout or DEFAULT_IDLE_TIMEOUT_S
        self.callers = ClientConnections(self.loop, self.budget, self.counters, idle_timeout)
        self.reporter = CatalogReporter(self.loop, files.config.catalog, files.config.name, self.counters, options.dial)
        self.listener = ControllerListener(self.running, self.reporter, self.callers, self.fleet, self.log)
        self._build_core(files, options)
        self._build_frontends(files)
        self._build_control(options)
        self._connect_core()

    # ---- Building
    def _build_core(self, files: ConfigFiles, options: ServerOptions) -> None:
        """The broker's host and the backends."""
        self.core = BrokerHost(
            loop=self.loop,
            running=self.running,
            counters=self.counters,
            listener=self.listener,
            fleet=self.fleet,
            attempt_log=self.attempt_log,
            result_store=options.result_store,
        )
        if options.result_store is not None:
            result_store = options.result_store
            self.loop.watch(result_store.ready, 1, lambda mask: result_store.process_completions())
        self.backends = build_backends(files, self.loop, self.core, self.counters, options.dial)

    def _build_frontends(self, files: ConfigFiles) -> None:
        """The callers' listeners: that of the platform's protocol first, then uwsgi if it is on."""
        config = files.config

        def platform_session(sock: socket.socket) -> Session:
            return platform.Session(self, sock)

        self.listeners = [self._listen(config.listen, platform_session, config.inherited)]
        if config.inherited is not None:
            # Until the backend is up this process could only reject, while an older one may serve.
            self.loop.at(self.loop.now + INHERITED_SOCKET_DELAY_S, self.listeners[0].open)
        self.load_endpoint = build_load_endpoint(files, self.loop, lambda: self.broker, self.counters)
        if files.front is not None:
            self.listeners.append(self._build_uwsgi_listener(config, files.front))

    def _build_uwsgi_listener(self, config: NodeConfig, front: UwsgiFrontendConfig) -> Listener:
        # Different in every process of one configuration, as the interpreter still knows the ids of its earlier runs.
        random = Random(f"{config.seed}/{os.getpid()}/{time.time_ns()}")
        load_report = self.load_endpoint.header_value if self.load_endpoint is not None else None
        return self._listen(front.listen, lambda sock: uwsgi.Session(self, sock, front, random, load_report))

    def _listen(
        self, address: tuple[str, int], session_of: Callable[[socket.socket], Session], inherited: int | None = None
    ) -> Listener:
        def accepted(sock: socket.socket) -> None:
            self.callers.add(session_of(sock))

        return Listener(self.loop, address, self.budget, accepted, self.callers.make_room, inherited)

    def _build_control(self, options: ServerOptions) -> None:
        """Shutdown, reload, signals, and what operators see."""
        self.shutdown = GracefulShutdown(self.loop, self.callers, self.listeners, self.core)
        self.status = ServerStatus(self.running, self.core, self.backends, self.shutdown, self.fleet, self.counters)
        control = self.running.config.control
        self.admin = AdminServer(self.loop, control, self.status, self.counters) if control else None
        self.counter_report = CounterReport(self.counters, self.loop, self.core, self.backends, self.fleet, self.log)
        self.config_reload = ConfigReload(
            read_files=options.read_files,
            running=self.running,
            loop=self.loop,
            core=self.core,
            backends=self.backends,
            reporter=self.reporter,
            shutdown=self.shutdown,
            fleet=self.fleet,
            counters=self.counters,
            log=self.log,
        )
        self.signal_dispatcher = SignalDispatcher(
            log=self.log,
            log_counters=self.counter_report.log_counters,
            reload=self.config_reload.reload,
            drain=self.drain,
        )

    def _connect_core(self) -> None:
        """Connect the core to its surroundings and start the coroutines of backends and registry."""
        recorder = AttemptReporting(self.running, self.fleet, self.load_endpoint, self.attempt_log)
        self.core.connect(self.backends, recorder, self.load_endpoint, self._broker_started)
        supervisor = PartSupervisor(self.loop, self.counters)
        for name, driver in self.backends.by_name.items():
            supervisor.keep_running(name, driver)
        supervisor.keep_running("catalog", self.reporter)

    def _broker_started(self) -> None:
        if not self.draining:
            self.listeners[0].open()

    # ---- What frontends ask
    @property
    def broker(self) -> Broker | None:
        """The core; ``None`` until the backend is up."""
        return self.core.broker

    @property
    def config(self) -> NodeConfig:
        """The configuration in force."""
        return self.running.config

    @property
    def classes(self) -> dict[str, int]:
        """The classes that callers may name, by name their places in the settings."""
        return self.running.classes

    @property
    def tenants(self) -> dict[str, int]:
        """The tenants, by name their places in the settings."""
        return self.running.tenants

    @property
    def draining(self) -> bool:
        """Whether the notice to shut down has come."""
        return self.shutdown.requested

    def health_check(self, deep: bool, callback: Callable[[bool], None]) -> None:
        """Answer a health check through ``callback``; a deep one also asks the backend, if the server is healthy."""
        if not self.listener.healthy or not deep:
            callback(self.listener.healthy)
        else:
            self.backends.primary.health_check(callback)

    def connection_ended(self, session: Session, end: ConnectionEnd) -> None:
        """A caller's connection has ended and its descriptor is free."""
        self.callers.ended(session, end)
        for listener in self.listeners:
            listener.descriptor_freed()

    # ---- Running
    def turn(self, now: float) -> None:
        """One turn of the core, after all that a wake-up of the loop brought in was read."""
        if self.broker is not None:
            self.broker.turn(now)

    def next_at(self) -> float | None:
        """When ``turn`` has something to do without further input; ``None`` for never."""
        return self.broker.next_turn_at() if self.broker is not None else None

    def run(self, signals: Signals | None = None) -> int:
        """Serve until a shutdown is complete and return the exit code.

        ``signals`` may have been received since before the server was built; without it the server receives its own.
        """
        own_signals = Signals() if signals is None else None
        received = signals or own_signals
        assert received is not None
        self.loop.watch(received.ready, 1, lambda mask: self.signal_dispatcher.dispatch(received.take()))
        addresses = " and ".join("{}:{}".format(*listener.address) for listener in self.listeners)
        self.log(f"lapishaven {self.config.name} pid {os.getpid()} at {addresses}")
        # What is there at the start stays, so the garbage collector need not walk it again.
        gc.collect()
        gc.freeze()
        try:
            self.loop.run(self.turn, self.next_at)
        finally:
            self.loop.unwatch(received.ready)
            self._close_parts()
            if own_signals is not None:
                own_signals.close()
        return 0

    # ---- Shutdown
    def drain(self, noticed: float | None = None) -> None:
        """Begin the shutdown; ``noticed`` is when the notice came by the loop's clock, ``None`` for now."""
        if self.draining:
            return
        if self.fleet is not None:
            self.fleet.drain()
        if self.load_endpoint is not None:
            self.load_endpoint.drain()
        if self.config.inherited is not None:
            # An upgrade: the new process serves the shared socket and reports to the registry from now on.
            self.listeners[0].close()
            self.reporter.close()
        noticed_at = self.loop.now if noticed is None else noticed
        self.shutdown.begin(noticed_at, self.config.stop_span, self.config.settings.drain_grace)

    def _close_parts(self) -> None:
        """Release everything, the admin server first, whose metrics are read until the end, and log the counters."""
        if self.admin is not None:
            self.admin.close()
        for driver in self.backends.by_name.values():
            driver.close()
        if self.load_endpoint is not None:
            self.load_endpoint.close()
        if self.attempt_log is not None:
            self.attempt_log.close()
        if self.core.result_store is not None:
            self.loop.unwatch(self.core.result_store.ready)
            self.core.result_store.close()
        if self.fleet is not None:
            self.fleet.close()
        self.reporter.close()
        self.counter_report.log_counters()
