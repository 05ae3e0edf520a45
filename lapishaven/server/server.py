"""The server: one event loop with the core, its frontends and its backends, until a shutdown is complete."""

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
from lapishaven.admission import Idempotency
from lapishaven.attempt_log import AttemptLog
from lapishaven.config import ConfigFiles, NodeConfig, UwsgiFrontendConfig
from lapishaven.connection_end import ConnectionEnd
from lapishaven.core.broker import Broker
from lapishaven.core.execution_guard import max_names
from lapishaven.core.peer_effects import PeerEffects
from lapishaven.core.ports import DurableResultStore, EffectLog, EffectState, FleetMember
from lapishaven.core.source_fairness import RequestSource
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
from lapishaven.server.component_supervisor import ComponentSupervisor
from lapishaven.server.config_reload import ConfigReload
from lapishaven.server.controller_listener import DEFAULT_IDLE_TIMEOUT_S, ControllerListener
from lapishaven.server.counter_report import CounterReport
from lapishaven.server.graceful_shutdown import GracefulShutdown
from lapishaven.server.running_config import RunningConfig
from lapishaven.server.signals import SignalDispatcher, Signals
from lapishaven.server.status import ServerStatus

UNFINISHED_MEMORY_DIVISOR = 8  # messages that are not complete may take up to 1/8 of the memory limit
UNSENT_MEMORY_DIVISOR = 8  # answers that callers have not read may take up 1/8 of the memory limit
PEER_RESULT_MEMORY_DIVISOR = 32  # results of other processes' runs may take up 1/32 of the memory limit
INHERITED_SOCKET_DELAY_S = 2.0  # after which a new process accepts on an inherited socket even without its backend


def log_to_stderr(text: str) -> None:
    """Print a line to stderr, unbuffered."""
    print(text, file=sys.stderr, flush=True)


@dataclass(frozen=True, slots=True)
class ServerOptions:
    """What a server is given besides its configuration files; all of it is optional."""

    loop: Loop | None = None  # None: a new event loop on the monotonic clock
    log: Callable[[str], None] = log_to_stderr  # receives each log line
    dial: Dial = connect  # opens connections to backends and to the service registry
    counters: Counters | None = None  # None: a new set
    read_files: Callable[[], ConfigFiles] | None = None  # reads the files for a reload; None: reloads fail
    attempt_log: AttemptLog | None = None  # None: starts and answers are not recorded
    result_store: DurableResultStore | None = None  # None: results are not kept over restarts
    fleet: FleetMember | None = None  # this server's share of the fleet's duties; None: it has none


class Server:
    """An embeddable match server.

    The constructor binds the listening sockets and raises ``OSError`` if it cannot; ``run`` serves until a shutdown::

        server = Server(load_files("server.json"))
        sys.exit(server.run())
    """

    def __init__(self, files: ConfigFiles, options: ServerOptions | None = None) -> None:
        options = options or ServerOptions()
        self.running = RunningConfig(files)
        self.loop = options.loop or Loop()
        memory_bytes = files.config.memory_mb * BYTES_PER_MB
        self.loop.unsent_limit = memory_bytes // UNSENT_MEMORY_DIVISOR
        self.log = options.log
        self.counters = options.counters or Counters()
        self.attempt_log = options.attempt_log
        self.fleet = options.fleet
        self.budget = descriptor_budget(files)
        idle_timeout = files.config.settings.idle_timeout or DEFAULT_IDLE_TIMEOUT_S
        unfinished_limit = memory_bytes // UNFINISHED_MEMORY_DIVISOR
        self.callers = ClientConnections(self.loop, self.budget, self.counters, idle_timeout, unfinished_limit)
        self.reporter = CatalogReporter(self.loop, files.config.catalog, files.config.name, self.counters, options.dial)
        self.listener = ControllerListener(self.running, self.reporter, self.callers, self.fleet, self.log)
        self._build_core(files, options)
        self._build_frontends(files)
        self._build_control(options)
        self._connect_core()

    # ---- Building
    def _build_core(self, files: ConfigFiles, options: ServerOptions) -> None:
        """Build the broker's host and the backends."""
        self.effect_log, self.peers = self._open_effect_log(files.config)
        self.core = BrokerHost(
            loop=self.loop,
            running=self.running,
            counters=self.counters,
            listener=self.listener,
            fleet=self.fleet,
            attempt_log=self.attempt_log,
            result_store=options.result_store,
            peers=self.peers,
            log=self.log,
        )
        if options.result_store is not None:
            result_store = options.result_store
            self.loop.watch(result_store.ready, 1, lambda mask: result_store.process_completions())
        self.backends = build_backends(files, self.loop, self.core, self.counters, options.dial)

    def _open_effect_log(self, config: NodeConfig) -> tuple[EffectLog | None, PeerEffects | None]:
        """Open what this process shares with the others on its inherited socket; without one there are no others."""
        if config.inherited_fd is None:
            return None, None
        from lapishaven.effect_log import SharedEffectLog, folder_of

        memory_bytes = config.memory_mb * BYTES_PER_MB
        effect_log = SharedEffectLog(folder_of(config.inherited_fd), memory_bytes, self.log)
        result_bytes = memory_bytes // PEER_RESULT_MEMORY_DIVISOR
        peers = PeerEffects(effect_log, result_bytes, max_names(memory_bytes), self.counters)
        peers.advance(self.loop.now)
        peers.refresh()
        return effect_log, peers

    def _build_frontends(self, files: ConfigFiles) -> None:
        """Build the callers' listeners: first the platform protocol's, then the uwsgi frontend's if it is enabled."""
        config = files.config

        new_connections = RequestSource.shared()
        turns = platform.MessageTurns()

        def platform_session(sock: socket.socket) -> Session:
            return platform.Session(self, sock, new_connections, turns)

        self.listeners = [self._listen(config.listen, platform_session, config.inherited_fd)]
        if config.inherited_fd is not None:
            # Until its backend is up this process could only reject requests, while the old process can serve them.
            self.loop.at(self.loop.now + INHERITED_SOCKET_DELAY_S, self.listeners[0].open)
        self.load_endpoint = build_load_endpoint(files, self.loop, lambda: self.broker, self.counters)
        if files.front is not None:
            self.listeners.append(self._build_uwsgi_listener(config, files.front))

    def _build_uwsgi_listener(self, config: NodeConfig, front: UwsgiFrontendConfig) -> Listener:
        # The seed differs in every process: the interpreter still knows the attempt ids of earlier processes.
        random = Random(f"{config.seed}/{os.getpid()}/{time.time_ns()}")
        load_report = self.load_endpoint.header_value if self.load_endpoint is not None else None
        new_connections = RequestSource.shared()

        def uwsgi_session(sock: socket.socket) -> Session:
            return uwsgi.Session(self, sock, front, random, new_connections, load_report)

        return self._listen(front.listen, uwsgi_session)

    def _listen(
        self, address: tuple[str, int], create_session: Callable[[socket.socket], Session], inherited: int | None = None
    ) -> Listener:
        def start_session(sock: socket.socket) -> None:
            self.callers.add(create_session(sock))

        return Listener(self.loop, address, self.budget, start_session, self.callers.make_room, inherited)

    def _build_control(self, options: ServerOptions) -> None:
        """Build shutdown, reload, signal handling, the admin server and the counter report."""
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
        """Connect the core to the other components and start the coroutines of backends and catalog reporter."""
        recorder = AttemptReporting(self.running, self.fleet, self.load_endpoint, self.attempt_log)
        self.core.connect(self.backends, recorder, self.load_endpoint, self._broker_started)
        supervisor = ComponentSupervisor(self.loop, self.counters)
        for name, driver in self.backends.by_name.items():
            supervisor.keep_running(name, driver)
        supervisor.keep_running("catalog", self.reporter)

    def _broker_started(self) -> None:
        if not self.draining:
            self.listeners[0].open()

    # ---- The frontends' host
    @property
    def broker(self) -> Broker | None:
        """The broker; ``None`` until the backend is up."""
        return self.core.broker

    @property
    def config(self) -> NodeConfig:
        """The configuration in force."""
        return self.running.config

    @property
    def classes(self) -> dict[str, int]:
        """Indexes of the classes that callers may use in the settings, by class name."""
        return self.running.classes

    @property
    def tenants(self) -> dict[str, int]:
        """Indexes of the tenants in the settings, by tenant name."""
        return self.running.tenants

    @property
    def draining(self) -> bool:
        """Whether the shutdown notice has been received."""
        return self.shutdown.requested

    def may_have_run(self, class_name: str, idempotency_key: str) -> bool:
        """Whether another or an earlier process may have run an effect; asked while there is no broker."""
        request_class = self.config.settings.classes[self.classes[class_name]]
        if request_class.idempotency is Idempotency.IDEMPOTENT:
            return False
        if self.core.earlier_runs.may_include(class_name, idempotency_key):
            return True
        store = self.core.result_store
        if store is not None and store.find(class_name, idempotency_key).effect_state is not EffectState.UNKNOWN:
            return True
        if self.peers is None:
            return False
        self.peers.advance(self.loop.now)
        self.peers.refresh()
        return self.peers.find((class_name, idempotency_key)) is not None

    def health_check(self, deep: bool, callback: Callable[[bool], None]) -> None:
        """Answer a health check through ``callback``; a deep one also checks the backend if the server is healthy."""
        if not self.listener.healthy or not deep:
            callback(self.listener.healthy)
        else:
            self.backends.primary.health_check(callback)

    def connection_ended(self, session: Session, end: ConnectionEnd) -> None:
        """Handle the end of a caller's connection, whose descriptor is released."""
        self.callers.ended(session, end)
        for listener in self.listeners:
            listener.descriptor_freed()

    # ---- Running
    def turn(self, now: float) -> None:
        """Run one turn of the core, after all input of a loop round has been read."""
        if self.broker is not None:
            self.broker.turn(now)

    def next_at(self) -> float | None:
        """The loop time at which ``turn`` has work without further input; ``None`` if there is none."""
        return self.broker.next_turn_at() if self.broker is not None else None

    def run(self, signals: Signals | None = None) -> int:
        """Serve until a shutdown is complete; returns the exit code.

        ``signals`` lets the caller install the handlers before building the server; without it they are installed here.
        """
        own_signals = Signals() if signals is None else None
        received = signals or own_signals
        assert received is not None
        self.loop.watch(received.ready, 1, lambda mask: self.signal_dispatcher.dispatch(received.take()))
        addresses = " and ".join("{}:{}".format(*listener.address) for listener in self.listeners)
        self.log(f"lapishaven {self.config.name} pid {os.getpid()} at {addresses}")
        # Objects that exist at startup live as long as the process; freezing keeps the collector from scanning them.
        gc.collect()
        gc.freeze()
        try:
            self.loop.run(self.turn, self.next_at)
        finally:
            self.loop.unwatch(received.ready)
            self._close_components()
            if own_signals is not None:
                own_signals.close()
        return 0

    # ---- Shutdown
    def drain(self, noticed_at: float | None = None) -> None:
        """Begin the shutdown; ``noticed_at`` is the loop time of the shutdown notice, ``None`` for now."""
        if self.draining:
            return
        if self.fleet is not None:
            self.fleet.drain()
        if self.load_endpoint is not None:
            self.load_endpoint.drain()
        if self.config.inherited_fd is not None:
            # An upgrade: from now on the new process accepts on the shared socket and reports to the registry.
            self.listeners[0].close()
            self.reporter.close()
        began_at = self.loop.now if noticed_at is None else noticed_at
        self.shutdown.begin(began_at, self.running.seconds_to_kill(), self.config.settings.drain_grace)

    def _close_components(self) -> None:
        """Close all components, the admin server first as its metrics read the others, and log the counters."""
        if self.admin is not None:
            self.admin.close()
        for driver in self.backends.by_name.values():
            driver.close()
        if self.load_endpoint is not None:
            self.load_endpoint.close()
        self.core.earlier_runs.close()
        if self.attempt_log is not None:
            self.attempt_log.close()
        if self.core.result_store is not None:
            self.loop.unwatch(self.core.result_store.ready)
            self.core.result_store.close()
        if self.fleet is not None:
            self.fleet.close()
        self.reporter.close()
        if self.effect_log is not None:
            self.effect_log.close()
        self.counter_report.log_counters()
