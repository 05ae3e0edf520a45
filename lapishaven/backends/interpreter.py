"""Runs attempts on the interpreter over one persistent connection (the link).

The link is dialled again when it breaks, and replaced by one to the new address when a reload changes the address.

A break may lose the last commands, so a command is unconfirmed until a ``TOPS`` answer proves that it was read. On the
next link a ``TOP`` query after the ``BANNER`` serves as a fence: once it is answered, all notices of earlier ends of
runs have been read. A run that is still uncertain then is either running or was never started, which is resolved next.
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
REDIAL_DELAYS_S = (0.02, 0.05, 0.1, 0.25)  # by the number of consecutive failures; the last delay is repeated
HEALTH_CHECK_TIMEOUT_S = 3.0  # for a deep health check; callers' own timeouts are shorter
MOVE_TIMEOUT_S = 0.25  # for the fence on the old link when the address changes
PROBE_TIMEOUT_S = 0.1  # for the report of a run paused as a probe; if none has come by the next fence, it ends as reset
OUTCOMES = {"OK": Outcome.OK, "ERROR": Outcome.ERROR, "STOPPED": Outcome.CANCELLED, "MOOT": Outcome.OBSOLETE}


class InterpreterBackend:
    """A backend that speaks the interpreter's line protocol."""

    can_pause = True

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        gauge_names: tuple[str, ...],
        listener: BackendListener,
        counters: Counters,
        dial: Dial = connect,
    ) -> None:
        """``gauge_names`` name the values of a load sample, in order."""
        self.loop = loop
        self.address = address
        self.counters = counters
        self._gauge_names = gauge_names
        self._listener = listener
        self._dial = dial
        self._ready = False  # whether the interpreter has sent its banner on the link
        self._conn: Connection | None = None
        self._last_run_end_number = 0  # number of the latest run-end notice that was processed
        self._unconfirmed = UnconfirmedCommands()
        self._unsent_commands: list[Command] = []  # commands to send on the next link
        self._running: set[str] = set()  # attempt ids of runs that were started and have not ended
        self._resent: set[str] = set()  # the attempts among them whose command was sent on more than one link
        self._uncertain: list[Command] = []  # from broken links, to be resolved after the fence
        # Runs paused to see whether they are running, by attempt id: whether to resume them if they are.
        self._pause_probes: dict[str, bool] = {}
        self._fences: dict[str, Callable[[], None]] = {}  # callbacks of unanswered fences, by tag
        self._tag_count = 0
        self._sample_requested = False  # whether a load sample was requested and has not arrived
        self._health_checks = PendingHealthChecks()
        self._redial_wait: Wait | None = None
        self._moving = False  # whether the link awaits its fence before it is dialled at a new address
        self._stopped = False

    # ---- Commands
    def start(self, attempt_id: str, class_name: str, body: bytes, at_most_once: bool, time_limit_s: float) -> None:
        """Start a run, on the next link if there is no usable one. The interpreter is given no time limit."""
        self._running.add(attempt_id)
        self._send(
            Command(
                attempt_id, proto.encode_start(attempt_id, class_name, body), starts_run=True, at_most_once=at_most_once
            )
        )

    def pause(self, attempt_id: str) -> None:
        """Pause a run; one whose start was never sent ends as unreachable."""
        pause_command = Command(attempt_id, proto.encode_pause(attempt_id))
        if any(command.attempt_id == attempt_id and command.starts_run for command in self._unsent_commands):
            # The start was never sent, so there is nothing to pause.
            self._unsent_commands = [command for command in self._unsent_commands if command.attempt_id != attempt_id]
            self._remove_attempt(attempt_id)
            self.loop.at(self.loop.now, lambda: self._listener.run_finished(attempt_id, Outcome.UNREACHABLE, 0.0, b""))
        elif attempt_id in self._pause_probes:
            self._pause_probes[attempt_id] = False
        elif self._is_uncertain(attempt_id):
            self._uncertain.append(pause_command)
        else:
            self._send(pause_command)

    def _is_uncertain(self, attempt_id: str) -> bool:
        """Whether a command about the attempt is still to be resolved."""
        return any(command.attempt_id == attempt_id for command in self._uncertain)

    def resume(self, attempt_id: str) -> None:
        """Resume a paused run."""
        self._running.add(attempt_id)
        self._send(Command(attempt_id, proto.encode_resume(attempt_id)))

    def request_load_sample(self) -> None:
        """Request a load sample, on the next link if there is no usable one."""
        self._sample_requested = True
        if self._ready and not self._moving:
            self._fence(None)

    def health_check(self, callback: Callable[[bool], None]) -> None:
        """Run a deep health check; ``callback`` is called once.

        If the link breaks, the query is sent again on the next link.
        """
        if self._health_checks.join(callback):
            return
        self._tag_count += 1
        tag = f"s{self._tag_count}"
        self._health_checks.add(tag, callback)
        self.loop.at(self.loop.now + HEALTH_CHECK_TIMEOUT_S, lambda: self._health_checks.settle(tag, False))
        self._send_health_query(tag)

    def _send_health_query(self, tag: str) -> None:
        if self._ready and not self._moving and self._conn is not None:
            query = proto.encode_health_check(tag)
            self._unconfirmed.add_query(tag, len(query))
            self._conn.write(query)

    def _send(self, command: Command) -> None:
        """Send a command, on the next link if there is no usable one."""
        if self._ready and not self._moving and self._conn is not None:
            self._unconfirmed.add(self.loop.now, command)
            self._conn.write(command.data)
        else:
            self._unsent_commands.append(command)

    def _fence(self, on_answered: Callable[[], None] | None) -> None:
        """Query the gauges; ``on_answered`` is called at the answer, which proves that all sent before it was read."""
        assert self._conn is not None
        self._tag_count += 1
        tag = f"t{self._tag_count}"
        query = proto.encode_read_gauges(tag)
        self._unconfirmed.add_query(tag, len(query))
        self._conn.write(query)
        if on_answered is not None:
            self._fences[tag] = on_answered

    # ---- The link
    def run(self) -> Generator[Wait, Any, None]:
        """Maintain the link: dial, read until it ends, dial again."""
        failures = 0
        while not self._stopped:
            address = self.address
            sock = yield from self._dial(self.loop, address, DIAL_TIMEOUT_S)
            if isinstance(sock, ConnectionEnd):
                self.counters.add("interpreter", sock.value)
            elif self._stopped or self.address != address:
                sock.close()  # closed, or moved again, while dialling
            else:
                number_before = self._last_run_end_number
                yield from self._read(self._open_link(sock))
                # A link counts as a failure unless the end of a run was read on it.
                failures = 0 if self._last_run_end_number > number_before else failures
            if self.address == address:
                self._redial_wait = Wait(REDIAL_DELAYS_S[min(failures, len(REDIAL_DELAYS_S) - 1)])
                yield self._redial_wait
                self._redial_wait = None
                failures += 1
            else:
                failures = 0

    def _open_link(self, sock: socket.socket) -> Connection:
        """Set up a link on a socket; requests all notices after the last one that was processed."""
        conn = self._conn = Connection(self.loop, sock, self._ended)
        connect_line = proto.encode_connect(self._last_run_end_number)
        self._unconfirmed.add_query("", len(connect_line))  # counts its bytes; no answer has the empty tag
        conn.write(connect_line)
        return conn

    def _read(self, conn: Connection) -> Generator[Wait, Any, None]:
        """Process the messages on a link until it ends."""
        parser = proto.NoticeParser()
        while True:
            data = yield from conn.read()
            if isinstance(data, ConnectionEnd):
                # A graceful close would send the queued commands, which are sent on the next link and not twice.
                conn.abort(data)
                return
            if conn.end is not None:
                return  # notices that were not read here are sent again on the next link
            try:
                for message in parser.feed(data or b""):
                    self._process(message)
            except ProtocolError:
                conn.abort(ConnectionEnd.PROTOCOL_ERROR)
                return

    def change_address(self, address: tuple[str, int]) -> None:
        """Move the link to a new address, behind a fence if possible so that no command becomes uncertain."""
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
        elif self._redial_wait is not None:
            self._redial_wait.wake()

    def _ended(self, end: ConnectionEnd) -> None:
        """Handle the end of a link: keep its unsent and its uncertain commands for the next one."""
        assert self._conn is not None
        self.counters.add("ends", f"interpreter {end.value}")
        unconfirmed = self._unconfirmed.take_unconfirmed(self._conn.sent)
        self._unsent_commands = unconfirmed.unsent + self._unsent_commands
        uncertain = [command for command in unconfirmed.uncertain if command.attempt_id in self._running]
        self._uncertain += uncertain
        self.counters.add("interpreter", "commands in doubt", len(uncertain))
        self._ready = False
        self._moving = False
        self._fences.clear()
        for attempt_id, resume in self._pause_probes.items():
            # A placeholder, of which no data is sent: at_most_once makes the next link probe the run again.
            self._uncertain.append(Command(attempt_id, b"", at_most_once=True))
            if not resume:
                self._uncertain.append(Command(attempt_id, proto.encode_pause(attempt_id)))
        self._pause_probes.clear()

    # ---- Uncertain commands
    def _resolve_uncertain(self) -> None:
        """Resolve the uncertain commands; as all earlier notices were read, each run is running or never started."""
        uncertain = self._uncertain
        self._uncertain = []
        for command in uncertain:
            self._resolve_command(command)
        if self._pause_probes:
            conn = self._conn
            probes = list(self._pause_probes)
            self.loop.at(self.loop.now + PROBE_TIMEOUT_S, lambda: self._check_probes(conn, probes))

    def _resolve_command(self, command: Command) -> None:
        """Probe a run that must not be started twice; send any other command again."""
        if command.at_most_once and command.attempt_id not in self._pause_probes:
            # If its start were sent again, it might run twice, as the first run may end in between. Pausing it shows
            # whether it is running.
            self._pause_probes[command.attempt_id] = True
            self._send(Command(command.attempt_id, proto.encode_pause(command.attempt_id), at_most_once=True))
        elif command.at_most_once:
            return  # its run is being probed already
        elif command.attempt_id in self._pause_probes:
            self._pause_probes[command.attempt_id] = False  # its request was cancelled, so it is not resumed
        else:
            # No effect if it is already running; if its request has ended, the run ends as obsolete.
            self.counters.add("interpreter", "commands sent again")
            self._resent.add(command.attempt_id)
            self._send(command)

    def _check_probes(self, conn: Connection | None, probes: list[str]) -> None:
        """Unless the link has changed, end the runs whose probes are still unanswered at the next fence."""
        if conn is self._conn and self._ready and not self._moving:
            self._fence(lambda: self._end_unanswered_probes(probes))

    def _end_unanswered_probes(self, probes: list[str]) -> None:
        """End the runs that did not report a pause: they are most likely not running, though that is not proven."""
        for attempt_id in probes:
            if self._pause_probes.pop(attempt_id, None) is not None:
                self.counters.add("interpreter", "runs given up")
                self._remove_attempt(attempt_id)
                self._listener.run_finished(attempt_id, outcome_of(ConnectionEnd.RESET), 0.0, b"")

    # ---- Notices
    def _process(self, message: proto.Message) -> None:
        if isinstance(message, proto.RunEnded):
            self._process_run_ended(message)
        elif isinstance(message, proto.GaugeReadings):
            self._process_gauges(message)
        elif isinstance(message, proto.HealthChecked):
            self._health_checks.settle(message.tag, message.healthy)
        elif isinstance(message, proto.CommandRejected):
            self._process_rejection(message)
        elif isinstance(message, proto.Banner):
            self._process_banner(message)

    def _process_run_ended(self, message: proto.RunEnded) -> None:
        # Other notices (remarks) have numbers too. Only run ends advance the number, so that none is skipped.
        if message.number <= self._last_run_end_number:
            self.counters.add("interpreter", "notices seen before")
            return
        self._last_run_end_number = message.number
        self._report_run_end(message)

    def _process_gauges(self, message: proto.GaugeReadings) -> None:
        self._unconfirmed.answered(self.loop.now, message.tag)
        self._sample_requested = False
        self._listener.load_sampled(dict(zip(self._gauge_names, message.values, strict=False)))
        on_answered = self._fences.pop(message.tag, None)
        if on_answered is not None:
            on_answered()

    def _process_rejection(self, message: proto.CommandRejected) -> None:
        self.counters.add("interpreter", f"rejected {message.command}")
        if message.command == "APPLY":
            # The start was rejected, so the run had no effect, unless its command had been sent before.
            outcome = Outcome.OBSOLETE if message.attempt_id in self._resent else Outcome.UNREACHABLE
            self._remove_attempt(message.attempt_id)
            self._listener.run_finished(message.attempt_id, outcome, 0.0, b"")

    def _process_banner(self, message: proto.Banner) -> None:
        """The interpreter is up on this link: send the waiting commands and queries."""
        self._ready = True
        self._listener.backend_up(message.slow_start, message.uptime_s)
        waiting = self._unsent_commands
        self._unsent_commands = []
        for command in waiting:
            self._send(command)
        for tag in self._health_checks.tags:
            self._send_health_query(tag)
        if self._uncertain:
            self._fence(self._resolve_uncertain)
        elif self._sample_requested:
            self._fence(None)

    def _report_run_end(self, message: proto.RunEnded) -> None:
        outcome = OUTCOMES.get(message.outcome, Outcome.ERROR)
        resume = outcome is Outcome.CANCELLED and self._should_resume(message.attempt_id)
        self._remove_attempt(message.attempt_id)
        if resume:
            self.resume(message.attempt_id)
            return
        self._listener.run_finished(message.attempt_id, outcome, message.elapsed_s, message.result)

    def _should_resume(self, attempt_id: str) -> bool:
        """Whether a run was paused only as a probe.

        The report of the pause may arrive on the next link, where ``_uncertain`` then holds the probe's placeholder.
        """
        probe_flags = [command.at_most_once for command in self._uncertain if command.attempt_id == attempt_id]
        return self._pause_probes.get(attempt_id, bool(probe_flags) and all(probe_flags))

    def _remove_attempt(self, attempt_id: str) -> None:
        """Remove an attempt from the runs and the probes, and its commands from the uncertain ones."""
        self._running.discard(attempt_id)
        self._resent.discard(attempt_id)
        self._pause_probes.pop(attempt_id, None)
        if self._uncertain:
            self._uncertain = [command for command in self._uncertain if command.attempt_id != attempt_id]

    def failed(self) -> None:
        """``run`` has ended by an unexpected exception: abort the link before ``run`` is restarted."""
        if self._conn is not None:
            self._conn.abort(ConnectionEnd.FAULT)

    def close(self) -> None:
        """Abort the link and dial no further one."""
        self._stopped = True
        if self._redial_wait is not None:
            self._redial_wait.wake()
        if self._conn is not None:
            self._conn.abort(ConnectionEnd.SHUTDOWN)
