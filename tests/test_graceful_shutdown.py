"""Every crossing of a departure with requests, reloads and links, in the bad order every time."""

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
from scenario import Peer, Vm, World, configuration
from wire import Caller, Tcp, wait_for

from lapishaven.core.drain_state import FINAL_ANSWER_MARGIN_S
from lapishaven.net.listener import MAX_ACCEPTS_PER_WAKEUP
from lapishaven.server.client_connections import EVICTION_BATCH_DIVISOR
from lapishaven.server.graceful_shutdown import EXIT_MARGIN_S
from lapishaven.server.signals import ReceivedSignal, Signals

STOP = 3.2  # s from the notice to the kill in these configurations
GRACE = 2.0


class Leaves(Tcp):
    def stopped(self) -> bool:
        return self.server.loop._stopped

    def wait_to_stop(self, span: float) -> None:
        """Let the time pass until the loop stops, which it must within ``span``."""
        until = self.now + span
        while not self.stopped() and self.now < until:
            self.now += 0.01
            self.pump()
        self.assertTrue(self.stopped(), "it stays")

    # Guards against requests in the listening queue that are reset as the doors close: the kernel accepted them.
    def test_all_that_wait_at_the_door_are_served_before_it_shuts(self) -> None:
        self.server.budget.limit = 4 * MAX_ACCEPTS_PER_WAKEUP
        many = 2 * MAX_ACCEPTS_PER_WAKEUP + 20
        self.server.drain()
        self.wait(GRACE - 0.05)
        callers = [self.knock() for _ in range(many)]
        for n, caller in enumerate(callers, 1):
            caller.sock.sendall(self.message(f"t{n}", "1", "fuzzy-match"))
        self.now += 0.06  # the grace ends before the server looks again
        self.round()
        self.assertIsNone(self.server.listeners[0].sock)
        self.until(lambda: all(self._has_answer(caller) for caller in callers), "an answer to each")
        self.assertEqual([caller.ended for caller in callers], [None] * many)

    def _has_answer(self, caller: Caller) -> bool:
        caller.pump()
        for label in list(self.vm.handles):
            if label in self.vm.applied:
                self.vm.applied.remove(label)
                self.vm.end("OK", label)
        return len(caller.answers) == 1 or caller.ended is not None

    # Guards against a door that shuts on callers as there was no descriptor for them in that moment.
    def test_with_no_descriptor_at_the_end_of_the_grace_the_door_waits_for_one(self) -> None:
        self.server.budget.limit = EVICTION_BATCH_DIVISOR
        busy = [self.connect() for _ in range(EVICTION_BATCH_DIVISOR)]
        for n, caller in enumerate(busy, 1):
            self.send(caller, self.message(f"t{n}", "1", "fuzzy-match"))
        self.until(lambda: all(f"t{n}.1" in self.vm.handles for n in range(1, 6)), "runs")
        self.server.drain()
        late = self.knock()
        late.sock.sendall(self.message("t99", "1", "fuzzy-match"))
        self.wait(GRACE + 0.1)
        self.assertIsNotNone(self.server.listeners[0].sock)
        for caller in busy:
            caller.sock.close()
        self.wait(0.2)
        self.assertIsNone(self.server.listeners[0].sock)
        self.until(lambda: self._has_answer(late), "its answer")

    # Guards against unread requests that are reset as a server that never came up ends at once.
    def test_before_the_banner_all_that_was_asked_is_refused_and_closed_in_order(self) -> None:
        self.server.core.broker, broker = None, self.server.broker
        assert broker is not None
        connected = self.connect()
        self.send(connected, self.message("t1", "1", "fuzzy-match"))
        queued = self.knock()
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

    def test_before_the_banner_a_silent_peer_does_not_keep_the_process(self) -> None:
        self.server.core.broker = None
        self.connect()
        self.server.drain()
        self.wait_to_stop(1.1)

    # Guards against last answers that are cut, and against a reset by bytes that come as the process closes.
    def test_the_last_moment_answers_all_and_closes_in_order(self) -> None:
        held, crossing = self.connect(), self.connect()
        self.serve(crossing, "t2", 1)
        self.send(held, self.message("t1", "1", "approve-commit"))
        self.until(lambda: "t1.1" in self.vm.handles, "its run")
        self.server.drain()
        self.wait(STOP - FINAL_ANSWER_MARGIN_S - 0.02)
        held.pump()
        before = list(held.answers)
        self.send(crossing, self.message("t2", "2", "fuzzy-match"))
        self.now += 0.05
        self.round()
        held.sock.sendall(b'{"id":2')  # half a line in the very moment
        self.until(lambda: (held.pump(), crossing.pump(), held.ended and crossing.ended)[2], "the ends")
        self.assertEqual((held.answers, held.ended), (["failed 1"], "closed"))
        self.assertEqual((crossing.answers, crossing.ended), (["result 1", "refused 2"], "closed"))
        self.assertIn(before, ([], ["failed 1"]))
        self.assertFalse(self.stopped())
        held.sock.close()
        crossing.sock.close()
        self.wait_to_stop(0.05)
        self.assertNotIn("t2.2", self.vm.handles)

    def test_a_peer_that_never_closes_keeps_it_until_just_before_the_kill(self) -> None:
        caller = self.connect()
        self.serve(caller, "t1", 1)
        began = self.now
        self.server.drain()
        self.wait_to_stop(STOP)
        self.assertAlmostEqual(self.now - began, STOP - EXIT_MARGIN_S, delta=0.03)

    # Guards against answers held back until the kill: a reader that is slow may be half through its last one.
    def test_a_slow_reader_gets_its_last_answers_whole(self) -> None:
        caller = self.connect(SO_RCVBUF=2048)
        self.serve(caller, "t1", 1)
        conn = self.of(caller).conn
        conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
        self.server.drain()
        conn.write(bytes(30_000))
        self.wait(STOP - FINAL_ANSWER_MARGIN_S + 0.02)
        self.assertGreater(conn.send_buffer.size, 0)
        got = 0
        while conn.end is None and not conn.awaits_peer_close():
            got += len(caller.sock.recv(1024))
            self.round()
        while more := caller.sock.recv(65536):
            got += len(more)
        self.assertGreater(got, 30_000)

    # Guards against a run of what came too late, as the loop was busy while the signal came: the time counts from it.
    def test_the_grace_counts_from_the_signal_and_not_from_the_loop_s_look_at_it(self) -> None:
        noticed = self.now
        self.now += 0.5
        self.round()
        self.server.drain(noticed)
        self.wait(GRACE - 0.4)  # 2.1 s after the signal, 1.6 s after the look
        self.play("""
            send c1 1 fuzzy-match
            expect c1 draining
            expect c1 refused 1
        """)
        self.assertNotIn("c1.1", self.vm.handles)
        self.wait_to_stop(STOP - GRACE)
        self.assertLess(self.now - noticed, STOP)

    # Guards against a second notice that starts the grace anew.
    def test_a_second_notice_changes_nothing(self) -> None:
        began = self.now
        self.server.drain()
        self.wait(1.5)
        self.server.drain()
        self.wait(GRACE - 1.4)
        self.play("""
            send c1 1 fuzzy-match
            expect c1 draining
            expect c1 refused 1
        """)
        self.wait_to_stop(STOP)
        self.assertLess(self.now - began, STOP)


class Reloads(Tcp):
    """A reload and the notice to leave in one wake-up, either way round."""

    def signalled(self, *numbers: int) -> None:
        self.server.signal_dispatcher.dispatch([ReceivedSignal(number, self.now) for number in numbers])
        self.pump()

    # Guards against a kill that finds requests open: the file just taken says how long there is.
    def test_a_reload_just_before_the_notice_says_how_long_there_is(self) -> None:
        self.play("expect vm CONNECT 0\nsend c1 1 approve-commit\nexpect vm APPLY c1.1")
        self.files = configuration(vm="127.0.0.1:2", stop_ms=1000)
        self.signalled(signal.SIGHUP, signal.SIGTERM)
        self.play("""
            expect c1 draining
            wait 0.85
            expect c1 failed 1
        """)

    def test_a_reload_just_after_the_notice_may_shorten_but_not_stretch_it(self) -> None:
        for stop_ms, due in ((1000, 0.85), (9000, STOP - 0.15)):
            with self.subTest(stop_ms=stop_ms):
                self.tearDown()
                self.setUp()
                self.play("expect vm CONNECT 0\nsend c1 1 fuzzy-match\nexpect vm APPLY c1.1")
                self.files = configuration(vm="127.0.0.1:2", stop_ms=stop_ms)
                self.signalled(signal.SIGTERM, signal.SIGHUP)
                self.play(f"""
                    expect c1 draining
                    wait {due}
                    expect c1 failed 1
                """)

    # Guards against answers lost as the link is on its way to a new address while the server leaves.
    def test_a_notice_in_the_middle_of_the_interpreter_s_move(self) -> None:
        self.play("expect vm CONNECT 0\nsend c1 1 approve-commit\nexpect vm APPLY c1.1")
        self.files = configuration(vm="127.0.0.1:4")
        self.play("""
            lose vm 1000
            send server HUP
            send server TERM
            send c1 2 fuzzy-match
            expect c1 draining
            expect vm nothing        # held for the new link
            wait 0.2
            lose vm 0
            wait 0.1
            expect vm CONNECT 0
            expect vm APPLY c1.2
            expect vm BREAK c1.1     # in doubt: the old link's fence was lost
            send vm STOPPED c1.1
            expect vm CONTINUE c1.1
            send vm OK c1.1
            expect c1 result 1
            send vm OK c1.2
            expect c1 result 2
        """)

    def test_a_notice_while_runs_are_looked_for(self) -> None:
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

    def test_a_reload_that_moves_nothing_after_the_notice_keeps_the_catalog_told(self) -> None:
        self.catalog_up = True
        self.play("expect vm CONNECT 0\nwait 0.1")
        self.files = configuration(vm="127.0.0.1:2", directory="127.0.0.1:5")
        self.signalled(signal.SIGTERM, signal.SIGHUP)
        self.wait(0.3)
        self.assertIn(b'{"status":"critical"}', bytes(self.catalog[-1].data))


@contextmanager
def program(folder: Path, **changes: object) -> Iterator[tuple[subprocess.Popen[str], socket.socket, int]]:
    """The real program, the stand-in interpreter's door, and the callers' port."""
    with socket.create_server(("127.0.0.1", 0)) as door:
        door.settimeout(20)
        path = folder / "c.json"
        path.write_text(configuration(vm=f"127.0.0.1:{door.getsockname()[1]}", **changes))
        command = [sys.executable, "-m", "lapishaven", "serve", "--config", str(path)]
        with subprocess.Popen(command, stderr=subprocess.PIPE, text=True) as process:
            try:
                assert process.stderr is not None
                port = int(re.findall(r"127.0.0.1:(\d+)", process.stderr.readline())[0])
                yield process, door, port
            finally:
                process.kill()


class _Link(Vm):
    """The stand-in interpreter on a socket of the program's."""

    def pump_until(self, label: str) -> None:
        wait_for(lambda: (self.pump(), label in self.handles)[1], f"the run of {label}")


def stopped_in_state(process: subprocess.Popen[str], state: str) -> bool:
    """Whether the kernel says that the process is in this state."""
    return Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()[0] == state


@pytest.mark.parametrize("resting", [False, True])
def test_a_paused_process_answers_what_came_before_its_notice(tmp_path: Path, resting: bool) -> None:
    """Guards against requests that a process finds together with its notice: all are answered, none is reset."""
    with program(tmp_path, stop_ms=1500) as (process, door, port):
        link = _Link()
        sock, _ = door.accept()
        link.link = Peer(sock)
        wait_for(lambda: (link.pump(), "CONNECT 0" in link.log)[1], "the link")
        caller = Caller(socket.create_connection(("127.0.0.1", port), 20))
        message = World.message
        if resting:
            caller.sock.sendall(message(Tcp(), "t1", "1", "fuzzy-match"))
            link.pump_until("t1.1")
            link.end("OK", "t1.1")
            wait_for(lambda: (caller.pump(), caller.answers == ["result 1"])[1], "an answer")
        process.send_signal(signal.SIGSTOP)
        wait_for(lambda: stopped_in_state(process, "T"), "the pause")
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


def test_a_notice_before_the_interpreter_came_up(tmp_path: Path) -> None:
    """Guards against a process that resets its callers, or waits for its kill, as its interpreter never came up."""
    with program(tmp_path, stop_ms=20_000) as (process, door, port):
        sock, _ = door.accept()  # the link is there, the banner is held back
        caller = Caller(socket.create_connection(("127.0.0.1", port), 20))
        process.send_signal(signal.SIGSTOP)
        wait_for(lambda: stopped_in_state(process, "T"), "the pause")
        caller.sock.sendall(World.message(Tcp(), "t1", "1", "fuzzy-match"))
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGCONT)
        wait_for(lambda: (caller.pump(), caller.ended)[1], "the end")
        assert (caller.answers, caller.ended) == (["refused 1"], "closed")
        caller.sock.close()
        assert process.wait(20) == 0
        sock.close()


def test_a_signal_is_heard_with_its_time_also_while_the_loop_is_busy() -> None:
    """Guards against a notice that kills as nobody listens yet, and against a grace that starts too late."""
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
