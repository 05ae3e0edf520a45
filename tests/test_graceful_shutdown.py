"""Shutdowns that cross requests, reloads and link changes, with the unfavourable order of events forced."""

from __future__ import annotations

import os
import re
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest
from scenario import Peer, StandInInterpreter, World, configuration
from wire import Caller, Tcp, wait_for

from lapishaven.core.drain_state import FINAL_ANSWER_MARGIN_S
from lapishaven.net.listener import MAX_ACCEPTS_PER_WAKEUP
from lapishaven.server.client_connections import EVICTION_BATCH_DIVISOR
from lapishaven.server.graceful_shutdown import EXIT_MARGIN_S
from lapishaven.server.signals import ReceivedSignal, Signals

STOP_SPAN_S = 3.2  # from the shutdown notice to the kill, in these configurations
GRACE_S = 2.0  # from the notice to the close of the listeners


class Shutdown(Tcp):
    def is_stopped(self) -> bool:
        return self.server.loop._stopped

    def wait_to_stop(self, span: float) -> None:
        """Advance the clock until the loop stops, which it must within ``span`` seconds."""
        until = self.now + span
        while not self.is_stopped() and self.now < until:
            self.now += 0.01
            self.pump()
        self.assertTrue(self.is_stopped(), f"the loop did not stop within {span} s")

    # Guards against resetting requests in the backlog, which the kernel accepted, when the listeners close.
    def test_all_requests_in_the_backlog_are_served_before_the_listener_closes(self) -> None:
        self.server.budget.limit = 4 * MAX_ACCEPTS_PER_WAKEUP
        many = 2 * MAX_ACCEPTS_PER_WAKEUP + 20
        self.server.drain()
        self.wait(GRACE_S - 0.05)
        callers = [self.connect_unaccepted() for _ in range(many)]
        for n, caller in enumerate(callers, 1):
            caller.sock.sendall(self.message(f"t{n}", "1", "fuzzy-match"))
        self.now += 0.06  # the grace period ends before the server's next round
        self.round()
        self.assertIsNone(self.server.listeners[0].sock)
        self.until(lambda: all(self._has_answer(caller) for caller in callers), "an answer for each caller")
        self.assertEqual([caller.ended for caller in callers], [None] * many)

    def _has_answer(self, caller: Caller) -> bool:
        caller.pump()
        for label in list(self.vm.handles):
            if label in self.vm.applied:
                self.vm.applied.remove(label)
                self.vm.end("OK", label)
        return len(caller.answers) == 1 or caller.ended is not None

    # Guards against closing the listener on waiting callers because no descriptor is free at that moment.
    def test_without_a_free_descriptor_the_listener_stays_open_beyond_the_grace(self) -> None:
        self.server.budget.limit = EVICTION_BATCH_DIVISOR
        busy_callers = [self.connect() for _ in range(EVICTION_BATCH_DIVISOR)]
        for n, caller in enumerate(busy_callers, 1):
            self.send(caller, self.message(f"t{n}", "1", "fuzzy-match"))
        self.until(lambda: all(f"t{n}.1" in self.vm.handles for n in range(1, 6)), "the runs")
        self.server.drain()
        late_caller = self.connect_unaccepted()
        late_caller.sock.sendall(self.message("t99", "1", "fuzzy-match"))
        self.wait(GRACE_S + 0.1)
        self.assertIsNotNone(self.server.listeners[0].sock)
        for caller in busy_callers:
            caller.sock.close()
        self.wait(0.2)
        self.assertIsNone(self.server.listeners[0].sock)
        self.until(lambda: self._has_answer(late_caller), "its answer")

    # Guards against resetting unread requests when a server whose backend never came up shuts down.
    def test_before_the_backend_is_up_all_requests_are_rejected_and_closed_gracefully(self) -> None:
        self.server.core.broker, broker = None, self.server.broker
        assert broker is not None
        connected = self.connect()
        self.send(connected, self.message("t1", "1", "fuzzy-match"))
        queued = self.connect_unaccepted()
        queued.sock.sendall(self.message("t2", "1", "fuzzy-match"))
        half = self.connect()
        self.send(half, b'{"id":1')
        self.server.drain()
        self.until(lambda: (queued.pump(), connected.pump(), queued.ended and connected.ended)[2], "the ends")
        self.assertEqual((connected.answers, connected.ended), (["refused 1"], "closed"))
        self.assertEqual((queued.answers, queued.ended), (["refused 1"], "closed"))
        self.ended(half, "closed")
        for caller in (connected, queued, half):
            caller.sock.close()
        self.wait_to_stop(0.5)

    def test_before_the_backend_is_up_a_silent_peer_does_not_delay_the_exit(self) -> None:
        self.server.core.broker = None
        self.connect()
        self.server.drain()
        self.wait_to_stop(1.1)

    # Guards against truncated last answers, and against a reset caused by bytes that arrive during the close.
    def test_all_requests_are_answered_and_closed_gracefully_before_the_kill(self) -> None:
        held, crossing = self.connect(), self.connect()
        self.serve(crossing, "t2", 1)
        self.send(held, self.message("t1", "1", "approve-commit"))
        self.until(lambda: "t1.1" in self.vm.handles, "its run")
        self.server.drain()
        self.wait(STOP_SPAN_S - FINAL_ANSWER_MARGIN_S - 0.02)
        held.pump()
        before = list(held.answers)
        self.send(crossing, self.message("t2", "2", "fuzzy-match"))
        self.now += 0.05
        self.round()
        held.sock.sendall(b'{"id":2')  # an incomplete line, just as the connections are closed
        self.until(lambda: (held.pump(), crossing.pump(), held.ended and crossing.ended)[2], "the ends")
        self.assertEqual((held.answers, held.ended), (["failed 1"], "closed"))
        self.assertEqual((crossing.answers, crossing.ended), (["result 1", "refused 2"], "closed"))
        self.assertIn(before, ([], ["failed 1"]))
        self.assertFalse(self.is_stopped())
        held.sock.close()
        crossing.sock.close()
        self.wait_to_stop(0.05)
        self.assertNotIn("t2.2", self.vm.handles)

    def test_peer_that_never_closes_delays_the_exit_until_just_before_the_kill(self) -> None:
        caller = self.connect()
        self.serve(caller, "t1", 1)
        began = self.now
        self.server.drain()
        self.wait_to_stop(STOP_SPAN_S)
        self.assertAlmostEqual(self.now - began, STOP_SPAN_S - EXIT_MARGIN_S, delta=0.03)

    # Guards against truncating the last answers of a caller that is still reading them at the final close.
    def test_slow_reader_gets_its_last_answers_completely(self) -> None:
        caller = self.connect(SO_RCVBUF=2048)
        self.serve(caller, "t1", 1)
        conn = self.of(caller).conn
        conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
        self.server.drain()
        conn.write(bytes(30_000))
        self.wait(STOP_SPAN_S - FINAL_ANSWER_MARGIN_S + 0.02)
        self.assertGreater(conn.send_buffer.size, 0)
        got = 0
        while conn.end is None and not conn.awaits_peer_close():
            got += len(caller.sock.recv(1024))
            self.round()
        while more := caller.sock.recv(65536):
            got += len(more)
        self.assertGreater(got, 30_000)

    # Guards against running requests that come after the grace period, which counts from the signal, also when the
    # loop was busy as the signal arrived.
    def test_grace_period_counts_from_the_signal_and_not_from_its_processing(self) -> None:
        noticed = self.now
        self.now += 0.5
        self.round()
        self.server.drain(noticed)
        self.wait(GRACE_S - 0.4)  # 2.1 s after the signal, 1.6 s after its processing
        self.play("""
            send c1 1 fuzzy-match
            expect c1 draining
            expect c1 refused 1
        """)
        self.assertNotIn("c1.1", self.vm.handles)
        self.wait_to_stop(STOP_SPAN_S - GRACE_S)
        self.assertLess(self.now - noticed, STOP_SPAN_S)

    # Guards against a second notice that restarts the grace period.
    def test_second_shutdown_notice_has_no_effect(self) -> None:
        began = self.now
        self.server.drain()
        self.wait(1.5)
        self.server.drain()
        self.wait(GRACE_S - 1.4)
        self.play("""
            send c1 1 fuzzy-match
            expect c1 draining
            expect c1 refused 1
        """)
        self.wait_to_stop(STOP_SPAN_S)
        self.assertLess(self.now - began, STOP_SPAN_S)


class Reloads(Tcp):
    """A reload and the shutdown notice in one round of the loop, in either order."""

    def dispatch_signals(self, *numbers: int) -> None:
        self.server.signal_dispatcher.dispatch([ReceivedSignal(number, self.now) for number in numbers])
        self.pump()

    # Guards against open requests at the kill: the file that was just reloaded gives the time until the kill.
    def test_reload_just_before_the_notice_sets_the_time_until_the_kill(self) -> None:
        self.play("expect vm CONNECT 0\nsend c1 1 approve-commit\nexpect vm APPLY c1.1")
        self.files = configuration(vm="127.0.0.1:2", stop_ms=1000)
        self.dispatch_signals(signal.SIGHUP, signal.SIGTERM)
        self.play("""
            expect c1 draining
            wait 0.85
            expect c1 failed 1
        """)

    def test_reload_just_after_the_notice_may_shorten_but_not_extend_the_time_until_the_kill(self) -> None:
        for stop_ms, final_answers_s in ((1000, 0.85), (9000, STOP_SPAN_S - 0.15)):
            with self.subTest(stop_ms=stop_ms):
                self.tearDown()
                self.setUp()
                self.play("expect vm CONNECT 0\nsend c1 1 fuzzy-match\nexpect vm APPLY c1.1")
                self.files = configuration(vm="127.0.0.1:2", stop_ms=stop_ms)
                self.dispatch_signals(signal.SIGTERM, signal.SIGHUP)
                self.play(f"""
                    expect c1 draining
                    wait {final_answers_s}
                    expect c1 failed 1
                """)

    # Guards against losing answers when the server shuts down while the link moves to a new address.
    def test_shutdown_notice_while_the_interpreter_link_moves(self) -> None:
        self.play("expect vm CONNECT 0\nsend c1 1 approve-commit\nexpect vm APPLY c1.1")
        self.files = configuration(vm="127.0.0.1:4")
        self.play("""
            lose vm 1000
            send server HUP
            send server TERM
            send c1 2 fuzzy-match
            expect c1 draining
            expect vm nothing        # queued for the new link
            wait 0.2
            lose vm 0
            wait 0.1
            expect vm CONNECT 0
            expect vm APPLY c1.2
            expect vm BREAK c1.1     # uncertain: the old link's fence was lost
            send vm STOPPED c1.1
            expect vm CONTINUE c1.1
            send vm OK c1.1
            expect c1 result 1
            send vm OK c1.2
            expect c1 result 2
        """)

    def test_shutdown_notice_while_uncertain_runs_are_probed(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 approve-commit
            expect vm APPLY c1.1
            close vm
            wait 0.05
            expect vm CONNECT 0
            expect vm BREAK c1.1
            send server TERM
            expect c1 draining
            send vm STOPPED c1.1
            expect vm CONTINUE c1.1
            send vm OK c1.1
            expect c1 result 1
        """)

    def test_reload_after_the_notice_reports_critical_to_the_new_catalog(self) -> None:
        self.catalog_up = True
        self.play("expect vm CONNECT 0\nwait 0.1")
        self.files = configuration(vm="127.0.0.1:2", directory="127.0.0.1:5")
        self.dispatch_signals(signal.SIGTERM, signal.SIGHUP)
        self.wait(0.3)
        self.assertIn(b'{"status":"critical"}', bytes(self.catalog[-1].data))


@contextmanager
def program(folder: Path, **changes: object) -> Iterator[tuple[subprocess.Popen[str], socket.socket, int]]:
    """Start the real program; yields it, the stand-in interpreter's listener and the callers' port."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.settimeout(20)
        path = folder / "c.json"
        path.write_text(configuration(vm=f"127.0.0.1:{listener.getsockname()[1]}", **changes))
        command = [sys.executable, "-m", "lapishaven", "serve", "--config", str(path)]
        with subprocess.Popen(command, stderr=subprocess.PIPE, text=True) as process:
            try:
                assert process.stderr is not None
                port = int(re.findall(r"127.0.0.1:(\d+)", process.stderr.readline())[0])
                yield process, listener, port
            finally:
                process.kill()


class _Interpreter(StandInInterpreter):
    """The stand-in interpreter on a link dialled by the program."""

    def pump_until(self, label: str) -> None:
        wait_for(lambda: (self.pump(), label in self.handles)[1], f"the run of {label}")


def is_in_state(process: subprocess.Popen[str], state: str) -> bool:
    """Whether /proc reports that the process is in this state."""
    return Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()[0] == state


@pytest.mark.parametrize("idle_connection", [False, True])
def test_paused_process_answers_requests_that_came_before_its_notice(tmp_path: Path, idle_connection: bool) -> None:
    """Guards against resetting requests that a resumed process finds together with its shutdown notice."""
    with program(tmp_path, stop_ms=1500) as (process, listener, port):
        link = _Interpreter()
        sock, _ = listener.accept()
        link.link = Peer(sock)
        wait_for(lambda: (link.pump(), "CONNECT 0" in link.log)[1], "the link")
        caller = Caller(socket.create_connection(("127.0.0.1", port), 20))
        message = World.message
        if idle_connection:
            caller.sock.sendall(message(Tcp(), "t1", "1", "fuzzy-match"))
            link.pump_until("t1.1")
            link.end("OK", "t1.1")
            wait_for(lambda: (caller.pump(), caller.answers == ["result 1"])[1], "an answer")
        process.send_signal(signal.SIGSTOP)
        wait_for(lambda: is_in_state(process, "T"), "the pause")
        caller.sock.sendall(message(Tcp(), "t1", "2", "approve-commit"))
        other = Caller(socket.create_connection(("127.0.0.1", port), 20))  # accepted by the kernel alone
        other.sock.sendall(message(Tcp(), "t2", "1", "fuzzy-match"))
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGCONT)
        link.pump_until("t1.2")
        link.pump_until("t2.1")
        link.end("OK", "t1.2")
        link.end("OK", "t2.1")
        wait_for(lambda: (link.pump(), caller.pump(), other.pump(), caller.ended and other.ended)[3], "the ends")
        assert caller.answers[-1:] == ["result 2"] and other.answers == ["result 1"]
        assert (caller.ended, other.ended) == ("closed", "closed")
        caller.sock.close()
        other.sock.close()
        assert process.wait(20) == 0
        sock.close()


def test_shutdown_notice_before_the_interpreter_is_up(tmp_path: Path) -> None:
    """Guards against resetting callers, or waiting for the kill, when the interpreter never came up."""
    with program(tmp_path, stop_ms=20_000) as (process, listener, port):
        sock, _ = listener.accept()  # the link is established, but no banner is sent
        caller = Caller(socket.create_connection(("127.0.0.1", port), 20))
        process.send_signal(signal.SIGSTOP)
        wait_for(lambda: is_in_state(process, "T"), "the pause")
        caller.sock.sendall(World.message(Tcp(), "t1", "1", "fuzzy-match"))
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGCONT)
        wait_for(lambda: (caller.pump(), caller.ended)[1], "the end")
        assert (caller.answers, caller.ended) == (["refused 1"], "closed")
        caller.sock.close()
        assert process.wait(20) == 0
        sock.close()


def test_signal_is_received_with_its_time_of_arrival_while_the_loop_is_busy() -> None:
    """Guards against a signal that kills the process before the loop runs, and against a late grace period."""
    clock = iter([10.0, 99.0])
    signals = Signals(lambda: next(clock))
    try:
        os.kill(os.getpid(), signal.SIGTERM)
        wait_for(lambda: signals._received_at, "the handler")
        assert signals.take() == [(signal.SIGTERM, 10.0)]
        assert signals.take() == []
    finally:
        signals.close()
    assert signal.getsignal(signal.SIGTERM) is signal.SIG_DFL
