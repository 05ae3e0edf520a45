"""The interpreter behind one link, which is held open, dialled again when it breaks, and moved on a reload.

A break may lose the last commands, so what was sent is unconfirmed until a ``TOPS`` proves that it was read. After the
next ``BANNER`` a ``TOP`` serves as a fence: once it is answered, all notices of earlier ends have been read, and what
is still uncertain either runs or never arrived, which is settled then.
"""

from __future__ import annotations

import socket
from collections.abc import Callable, Generator
from typing import Any

from lapishaven.admission import Outcome
from lapishaven.backends import BackendListener
from lapishaven.backends.pending_health_checks import PendingHealthChecks
from lapishaven.backends.unconfirmed_commands import Command, UnconfirmedCommands
from lapishaven.connection_end import ConnectionEnd, outcome_of
from lapishaven.counters import Counters
from lapishaven.net.connection import Connection, Dial, connect
from lapishaven.net.loop import Loop, Wait
from lapishaven.proto import ProtocolError
from lapishaven.proto import interpreter as proto

DIAL_TIMEOUT_S = 1.0
REDIAL_DELAYS_S = (0.02, 0.05, 0.1, 0.25)  # after the first, second, ... failure; the last one from then on
HEALTH_CHECK_TIMEOUT_S = 3.0  # of a deep check; a caller's own check gives up sooner
MOVE_TIMEOUT_S = 0.25  # for the old link's last answer when the interpreter moves
PROBE_TIMEOUT_S = 0.1  # for a run to report that it was stopped, after which it counts as never begun
OUTCOMES = {"OK": Outcome.OK, "ERROR": Outcome.ERROR, "STOPPED": Outcome.CANCELLED, "MOOT": Outcome.OBSOLETE}


class InterpreterBackend:
    """A backend on the interpreter's line protocol."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        gauge_names: tuple[str, ...],
        listener: BackendListener,
        counters: Counters,
        dial: Dial = connect,
    ) -> None:
        """``gauge_names`` are the names of the values in a load sample, in their order."""
        self.loop = loop
        self.address = address
        self.counters = counters
        self._gauge_names = gauge_names
        self._listener = listener
        self._dial = dial
        self._ready = False  # whether the interpreter has sent its banner on the link
        self._conn: Connection | None = None
        self._last_notice = 0  # number of the last end of a run that was read
        self._unconfirmed = UnconfirmedCommands()
        self._waiting: list[Command] = []  # for the next link
        self._running: set[str] = set()  # attempt ids that were started and whose end was not reported
        self._resent: set[str] = set()  # of these, those whose command was sent on two links
        self._uncertain: list[Command] = []  # from links that broke, to be settled behind the fence
        self._probes: dict[str, bool] = {}  # attempt ids stopped to see whether they run, and whether to resume them
        self._fences: dict[str, Callable[[], None]] = {}  # what to do once a fence is answered, by its tag
        self._tag_count = 0
        self._sample_requested = False
        self._health_checks = PendingHealthChecks()
        self._redial_pause: Wait | None = None
        self._moving = False  # whether the link is fenced before it is dialled at a new address
        self._stopped = False

    # ---- Commands
    def start(self, attempt_id: str, class_name: str, body: bytes, send_once: bool) -> None:
        """Start a run, on the next link if there is none now."""
        self._running.add(attempt_id)
        self._send(Command(attempt_id, proto.encode_start(attempt_id, class_name, body), starts=True, once=send_once))

    def pause(self, attempt_id: str) -> None:
        """Stop a run; one whose start was never sent ends as unreachable."""
        stop = Command(attempt_id, proto.encode_pause(attempt_id))
        if any(command.attempt_id == attempt_id and command.starts for command in self._waiting):
            # Its start was never sent, so there is nothing to stop.
            self._waiting = [command for command in self._waiting if command.attempt_id != attempt_id]
            self._forget(attempt_id)
            self.loop.at(self.loop.now, lambda: self._listener.run_finished(attempt_id, Outcome.UNREACHABLE, 0.0, b""))
        elif attempt_id in self._probes:
            self._probes[attempt_id] = False
        elif self._is_uncertain(attempt_id):
            self._uncertain.append(stop)
        else:
            self._send(stop)

    def _is_uncertain(self, attempt_id: str) -> bool:
        return any(command.attempt_id == attempt_id for command in self._uncertain)

    def resume(self, attempt_id: str) -> None:
        """Let a run that was stopped go on."""
        self._running.add(attempt_id)
        self._send(Command(attempt_id, proto.encode_resume(attempt_id)))

    def request_load_sample(self) -> None:
        """Request a load sample, on the next link if there is none now."""
        self._sample_requested = True
        if self._ready and not self._moving:
            self._fence(None)

    def health_check(self, callback: Callable[[bool], None]) -> None:
        """A deep health check; ``callback`` is called once. One that meets a break is sent again on the next link."""
        if self._health_checks.join(callback):
            return
        self._tag_count += 1
        tag = f"s{self._tag_count}"
        self._health_checks.add(tag, callback)
        self.loop.at(self.loop.now + HEALTH_CHECK_TIMEOUT_S, lambda: self._health_checks.settle(tag, False))
        self._ask_health(tag)

    def _ask_health(self, tag: str) -> None:
        if self._ready and not self._moving and self._conn is not None:
            question = proto.encode_health_check(tag)
            self._unconfirmed.add_question(tag, len(question))
            self._conn.write(question)

    def _send(self, command: Command) -> None:
        """Send a command, on the next link if there is none now."""
        if self._ready and not self._moving and self._conn is not None:
            self._unconfirmed.add(self.loop.now, command)
            self._conn.write(command.data)
        else:
            self._waiting.append(command)

    def _fence(self, then: Callable[[], None] | None) -> None:
        """Request the gauges; ``then`` is called once all that was sent before is proven to have been read."""
        assert self._conn is not None
        self._tag_count += 1
        tag = f"t{self._tag_count}"
        question = proto.encode_read_gauges(tag)
        self._unconfirmed.add_question(tag, len(question))
        self._conn.write(question)
        if then is not None:
            self._fences[tag] = then

    # ---- The link
    def run(self) -> Generator[Wait, Any, None]:
        """Hold the link: dial, read until it ends, dial again."""
        failures = 0
        while not self._stopped:
            address = self.address
            sock = yield from self._dial(self.loop, address, DIAL_TIMEOUT_S)
            if isinstance(sock, ConnectionEnd):
                self.counters.add("interpreter", sock.value)
            elif self._stopped or self.address != address:
                sock.close()  # moved once more, or closed, while it was dialled
            else:
                before = self._last_notice
                yield from self._read(self._open_link(sock))
                failures = 0 if self._last_notice > before else failures
            if self.address == address:
                self._redial_pause = Wait(REDIAL_DELAYS_S[min(failures, len(REDIAL_DELAYS_S) - 1)])
                yield self._redial_pause
                self._redial_pause = None
                failures += 1
            else:
                failures = 0

    def _open_link(self, sock: socket.socket) -> Connection:
        """Set up a link on a socket; the interpreter is asked for all notices after the last one that was read."""
        conn = self._conn = Connection(self.loop, sock, self._ended)
        hello = proto.encode_connect(self._last_notice)
        self._unconfirmed.add_question("", len(hello))
        conn.write(hello)
        return conn

    def _read(self, conn: Connection) -> Generator[Wait, Any, None]:
        """Process what comes on a link until it ends."""
        parser = proto.NoticeParser()
        while True:
            data = yield from conn.read()
            if isinstance(data, ConnectionEnd):
                # Not closed gracefully: what is still queued here is sent on the next link, and must not be sent twice.
                conn.abort(data)
                return
            if conn.end is not None:
                return  # all notices that were not read on it come again on the next link
            try:
                for message in parser.feed(data or b""):
                    self._process(message)
            except ProtocolError:
                conn.abort(ConnectionEnd.PROTOCOL_ERROR)
                return

    def change_address(self, address: tuple[str, int]) -> None:
        """The interpreter is at this address from now on; the link moves without an uncertain command if it can."""
        if address == self.address:
            return
        self.address = address
        conn = self._conn
        if conn is not None and conn.end is None:
            if self._ready and not self._moving:
                self._moving = True
                self._fence(lambda: conn.abort(ConnectionEnd.MOVED))
                self.loop.at(self.loop.now + MOVE_TIMEOUT_S, lambda: conn.abort(ConnectionEnd.MOVED))
            elif not self._ready:
                conn.abort(ConnectionEnd.MOVED)
        elif self._redial_pause is not None:
            self._redial_pause.wake()

    def _ended(self, end: ConnectionEnd) -> None:
        assert self._conn is not None
        self.counters.add("ends", f"interpreter {end.value}")
        unconfirmed = self._unconfirmed.settle(self._conn.sent)
        self._waiting = unconfirmed.unsent + self._waiting
        uncertain = [command for command in unconfirmed.uncertain if command.attempt_id in self._running]
        self._uncertain += uncertain
        self.counters.add("interpreter", "commands in doubt", len(uncertain))
        self._ready = False
        self._moving = False
        self._fences.clear()
        for attempt_id, resumes in self._probes.items():
            self._uncertain.append(Command(attempt_id, b"", once=True))
            if not resumes:
                self._uncertain.append(Command(attempt_id, proto.encode_pause(attempt_id)))
        self._probes.clear()

    # ---- Uncertain commands
    def _settle_uncertain(self) -> None:
        """All ends up to here were read, so what is uncertain still runs, or never arrived."""
        uncertain = self._uncertain
        self._uncertain = []
        for command in uncertain:
            self._settle_command(command)
        if self._probes:
            conn = self._conn
            probes = list(self._probes)
            self.loop.at(self.loop.now + PROBE_TIMEOUT_S, lambda: self._check_probes(conn, probes))

    def _settle_command(self, command: Command) -> None:
        """Probe whether a run that must not be started twice runs; send any other command again."""
        if command.once and command.attempt_id not in self._probes:
            # Never sent twice, as it might end in between and run again. Stopping it shows whether it runs.
            self._probes[command.attempt_id] = True
            self._send(Command(command.attempt_id, proto.encode_pause(command.attempt_id), once=True))
        elif command.once:
            return
        elif command.attempt_id in self._probes:
            self._probes[command.attempt_id] = False  # its caller has gone, so it is not resumed
        else:
            # Where it runs already, nothing happens; where its request is over, the run ends as obsolete.
            self.counters.add("interpreter", "commands sent again")
            self._resent.add(command.attempt_id)
            self._send(command)

    def _check_probes(self, conn: Connection | None, probes: list[str]) -> None:
        """Give up the probes that are not answered behind one more fence, if the link is still the same."""
        if conn is self._conn and self._ready and not self._moving:
            self._fence(lambda: self._give_up_probes(probes))

    def _give_up_probes(self, probes: list[str]) -> None:
        """None of these reported that it was stopped, so it does not run, though that is no full proof."""
        for attempt_id in probes:
            if self._probes.pop(attempt_id, None) is not None:
                self.counters.add("interpreter", "runs given up")
                self._forget(attempt_id)
                self._listener.run_finished(attempt_id, outcome_of(ConnectionEnd.RESET), 0.0, b"")

    # ---- Notices
    def _process(self, message: proto.Message) -> None:
        if isinstance(message, proto.RunEnded):
            self._process_value(message)
        elif isinstance(message, proto.GaugeReadings):
            self._process_sample(message)
        elif isinstance(message, proto.HealthChecked):
            self._health_checks.settle(message.tag, message.healthy)
        elif isinstance(message, proto.CommandRejected):
            self._process_rejection(message)
        elif isinstance(message, proto.Banner):
            self._process_banner(message)

    def _process_value(self, message: proto.RunEnded) -> None:
        # Other notices (remarks) are numbered too; only ends of runs advance the number, so that none is skipped.
        if message.number <= self._last_notice:
            self.counters.add("interpreter", "notices seen before")
            return
        self._last_notice = message.number
        self._run_ended(message)

    def _process_sample(self, message: proto.GaugeReadings) -> None:
        self._unconfirmed.answered(self.loop.now, message.tag)
        self._sample_requested = False
        self._listener.load_sampled(dict(zip(self._gauge_names, message.values, strict=False)))
        then = self._fences.pop(message.tag, None)
        if then is not None:
            then()

    def _process_rejection(self, message: proto.CommandRejected) -> None:
        self.counters.add("interpreter", f"rejected {message.command}")
        if message.command == "APPLY":
            # It was not carried out, so nothing of it ran, unless it had been sent before as well.
            outcome = Outcome.OBSOLETE if message.attempt_id in self._resent else Outcome.UNREACHABLE
            self._forget(message.attempt_id)
            self._listener.run_finished(message.attempt_id, outcome, 0.0, b"")

    def _process_banner(self, message: proto.Banner) -> None:
        """The interpreter is up on this link: send what waits for it."""
        self._ready = True
        self._listener.backend_up(message.slow_start, message.uptime)
        waiting = self._waiting
        self._waiting = []
        for command in waiting:
            self._send(command)
        for tag in self._health_checks.tags:
            self._ask_health(tag)
        if self._uncertain:
            self._fence(self._settle_uncertain)
        elif self._sample_requested:
            self._fence(None)

    def _run_ended(self, message: proto.RunEnded) -> None:
        outcome = OUTCOMES.get(message.outcome, Outcome.ERROR)
        resumes = outcome is Outcome.CANCELLED and self._should_resume(message.attempt_id)
        self._forget(message.attempt_id)
        if resumes:
            self.resume(message.attempt_id)
            return
        self._listener.run_finished(message.attempt_id, outcome, message.elapsed, message.result)

    def _should_resume(self, attempt_id: str) -> bool:
        """Whether a run was stopped just to see whether it runs; the report may come over the next link."""
        only_probes = [command.once for command in self._uncertain if command.attempt_id == attempt_id]
        return self._probes.get(attempt_id, bool(only_probes) and all(only_probes))

    def _forget(self, attempt_id: str) -> None:
        self._running.discard(attempt_id)
        self._resent.discard(attempt_id)
        self._probes.pop(attempt_id, None)
        if self._uncertain:
            self._uncertain = [command for command in self._uncertain if command.attempt_id != attempt_id]

    def failed(self) -> None:
        """``run`` has ended by a fault of this program: break the link, as it is started again."""
        if self._conn is not None:
            self._conn.abort(ConnectionEnd.FAULT)

    def close(self) -> None:
        """Break the link and dial no further one."""
        self._stopped = True
        if self._redial_pause is not None:
            self._redial_pause.wake()
        if self._conn is not None:
            self._conn.abort(ConnectionEnd.SHUTDOWN)
