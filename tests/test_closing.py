"""Every crossing of a close with bytes on their way, on real connections and in the bad order every time."""

from __future__ import annotations

import json
import select
import socket
from collections.abc import Generator
from unittest import mock

import pytest
from scenario import World
from wire import Tcp, buffered, reset, wait_for

from lapishaven.admission import Outcome
from lapishaven.backends.uwsgi import UwsgiBackend
from lapishaven.connection_end import ConnectionEnd
from lapishaven.counters import Counters
from lapishaven.frontends import platform
from lapishaven.net.connection import LINGER_S, MAX_LINGER_S, Connection
from lapishaven.net.loop import Loop, Wait
from lapishaven.proto import jsonrpc
from lapishaven.server.client_connections import MESSAGE_TIMEOUT_S


class AtRest(Tcp):
    """The server closes what rests, while something crosses."""

    def rest(self) -> None:
        """Idle for longer than allowed, with no sweep in between."""
        self.now += self.server.callers.idle_timeout + 1
        self.server.loop.now = self.now

    # Guards against a request that the kernel had already, discarded by a close as idle and reset.
    def test_a_request_that_is_there_when_its_connection_is_idle_is_served(self) -> None:
        caller = self.connect()
        self.serve(caller, "t1", 1)
        self.rest()
        self.send(caller, self.message("t1", "2", "fuzzy-match"))
        self.server.callers.sweep()
        self.until(lambda: "t1.2" in self.vm.handles, "its run")
        self.vm.end("OK", "t1.2")
        self.answered(caller, "result 1", "result 2")
        self.assertIsNone(caller.ended)

    def test_a_request_that_is_there_when_room_is_made_is_served(self) -> None:
        caller = self.connect()
        self.serve(caller, "t1", 1)
        self.server.callers.sessions[self.of(caller)] = self.now  # was let off once already
        self.send(caller, self.message("t1", "2", "fuzzy-match"))
        self.server.budget.limit = self.server.budget.used
        self.server.callers.make_room()
        self.until(lambda: "t1.2" in self.vm.handles, "its run")
        self.vm.end("OK", "t1.2")
        self.answered(caller, "result 1", "result 2")

    # Guards against the last bytes of a slow message that come as its time runs out.
    def test_a_message_that_becomes_whole_as_it_times_out_is_served(self) -> None:
        caller, line = self.connect(), self.message("t1", "1", "fuzzy-match")
        self.send(caller, line[:50])
        self.until(
            lambda: self.of(caller).awaiting_since is not None and not buffered(self.of(caller).conn.sock), "half of it"
        )
        self.send(caller, line[50:])
        self.now += MESSAGE_TIMEOUT_S + 0.1
        self.server.loop.now = self.now
        self.server.callers.sweep()
        self.until(lambda: "t1.1" in self.vm.handles, "its run")

    # Guards against a reset over what crosses the close: it would reach the caller ahead of its answer.
    def test_what_crosses_a_close_is_not_run_and_resets_nothing(self) -> None:
        caller = self.connect()
        self.serve(caller, "t1", 1)
        session = self.of(caller)
        self.rest()
        self.server.callers.sweep()
        self.round()
        self.assertTrue(session.conn.awaits_peer_close())
        for n in range(2, 5):
            caller.sock.sendall(self.message("t1", str(n), "approve-commit"))
        self.until(lambda: session.conn._bytes_received > 500, "the crossing requests")
        self.ended(caller, "closed")
        self.assertNotIn("t1.2", self.vm.handles)
        caller.sock.close()
        self.until(lambda: session.conn.end is not None, "the close of both")
        self.assertEqual((session.conn.end, self.server.budget.used), (ConnectionEnd.IDLE, 0))

    # Guards against a close that waits for ever: a peer that rests in its turn is left.
    def test_a_peer_that_never_closes_is_left(self) -> None:
        caller = self.connect()
        self.serve(caller, "t1", 1)
        self.rest()
        self.server.callers.sweep()
        self.wait(LINGER_S + 0.1)
        self.assertEqual((self.server.budget.used, len(self.server.callers.sessions)), (0, 0))

    # Guards against a descriptor held for good by one that reads nothing of what it is owed.
    def test_a_peer_that_never_reads_is_left(self) -> None:
        for rest in (b"{", b""):
            with self.subTest(rest=rest):
                caller = self.connect(SO_RCVBUF=2048)
                conn = self.of(caller).conn
                conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
                for _ in range(8):
                    self.send(caller, b"[]\n" * 100)
                    self.until(lambda conn=conn: not buffered(conn.sock), "its lines read")
                self.send(caller, rest) if rest else None
                self.until(lambda conn=conn: not buffered(conn.sock), "the rest read")
                self.assertGreater(conn.send_buffer.size, 0)
                sent = conn.sent
                self.wait((MESSAGE_TIMEOUT_S if rest else self.server.callers.idle_timeout) + LINGER_S + 0.2)
                while conn.end is None and conn.sent != sent:
                    # The kernel took more bytes, in real time, after the close had begun: that renews the wait.
                    sent = conn.sent
                    self.wait(LINGER_S)
                self.assertIsNotNone(conn.end)
                self.assertEqual((self.server.budget.used, self.server.loop.unsent), (0, 0))

    def test_a_peer_that_sends_for_ever_is_left(self) -> None:
        caller = self.connect()
        self.send(caller, b"x" * 9000)
        self.until(lambda: self.of(caller).conn.closing is not None, "the refusal")
        session = self.of(caller)
        for _ in range(int(MAX_LINGER_S / 0.5) + 1):
            if session.conn.end is None:
                caller.sock.sendall(b"x" * 100)
                self.wait(0.5)
        self.assertEqual(session.conn.end, ConnectionEnd.TOO_LARGE)


class HalfClosed(Tcp):
    """The caller sends no more and waits for its answers."""

    # Guards against taking the end of the input for the end of the caller: what was asked is still owed.
    def test_a_caller_that_half_closes_gets_its_answers(self) -> None:
        caller = self.connect()
        self.send(caller, self.message("t1", "1", "fuzzy-match"), self.message("t1", "2", "approve-commit"))
        caller.sock.shutdown(socket.SHUT_WR)
        self.until(lambda: "t1.2" in self.vm.handles, "its runs")
        self.vm.end("OK", "t1.1")
        self.vm.end("OK", "t1.2")
        self.answered(caller, "result 1", "result 2")
        self.ended(caller, "closed")
        self.until(lambda: self.server.budget.used == 0, "the close")

    # Guards against losing what was read before the end, while the session waits for its next slice.
    def test_the_end_of_the_input_drops_nothing_that_came_before(self) -> None:
        caller, odd = self.connect(), platform.MESSAGES_PER_ROUND + 4
        session = self.of(caller)
        assert isinstance(session, platform.Session)
        self.send(caller, *[b"[]\n"] * odd, *(self.message("t1", str(n), "fuzzy-match") for n in (1, 2, 3)))
        caller.sock.shutdown(socket.SHUT_WR)
        self.round()
        self.assertEqual((session._feeding, session.open), (True, {}), "it waits for its slice")
        self.server.callers.close_gracefully()  # and even as all are closed, what was read is taken up first
        self.until(lambda: "t1.3" in self.vm.handles, "the runs")
        for n in (1, 2, 3):
            self.vm.end("OK", f"t1.{n}")
        self.answered(caller, *["-32600 None"] * odd, "result 1", "result 2", "result 3")
        self.ended(caller, "closed")

    # Guards against runs for a caller that has closed for good: what is written to it comes back as a reset.
    def test_a_caller_that_has_closed_for_good_is_gone(self) -> None:
        caller = self.connect()
        self.send(caller, self.message("t1", "1", "approve-commit"))
        self.until(lambda: "t1.1" in self.vm.handles, "its run")
        caller.sock.close()
        self.until(lambda: "BREAK t1.1" in self.vm.log, "its halt")
        self.vm.end("STOPPED", "t1.1")
        self.until(lambda: not self.server.broker.requests, "an empty table")
        self.assertEqual(self.server.budget.used, 0)

    def test_a_reset_with_requests_unread_leaves_nothing_behind(self) -> None:
        caller = self.connect()
        self.send(caller, *(self.message("t1", str(n), "fuzzy-match") for n in range(1, 40)))
        session = self.of(caller)
        reset(caller.sock)
        self.until(lambda: session.conn.end is not None, "the end")
        for label in list(self.vm.handles):
            self.vm.end("STOPPED", label)
        self.until(lambda: not self.server.broker.requests, "an empty table")
        self.assertEqual((self.server.budget.used, self.server.loop.unsent), (0, 0))


class SlowReader(Tcp):
    # Guards against a last answer that is cut a second after the close because its reader is slow.
    def test_an_answer_is_sent_whole_however_slowly_it_is_read(self) -> None:
        caller = self.connect(SO_RCVBUF=2048)
        conn = self.of(caller).conn
        conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
        whole = b"".join(jsonrpc.encode_result(n, bytes(4096)) for n in range(1, 6))
        conn.write(whole)
        conn.close(ConnectionEnd.FINISHED)
        self.round()
        self.assertGreater(conn.send_buffer.size, 0)
        got, began = b"", self.now
        while conn.send_buffer.size:
            sent = conn.sent
            # Time passes only once the bytes that were read have made room for others.
            while conn.sent == sent:
                got += caller.sock.recv(1024)
                self.round()
            self.wait(LINGER_S / 2)
        self.assertGreater(self.now, began + LINGER_S)
        while more := caller.sock.recv(65536):
            got += more
        self.assertEqual(got, whole)

    # Guards against an innocent's answer that is lost because another reads nothing.
    def test_at_the_memory_s_limit_the_one_that_holds_it_goes(self) -> None:
        hog, innocent = self.connect(SO_RCVBUF=2048), self.connect()
        conn, other = self.of(hog).conn, self.of(innocent).conn
        conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
        conn.write(bytes(60_000))
        self.round()
        self.server.loop.unsent_limit = conn.send_buffer.size + 10
        other.write(jsonrpc.encode_health(1, True))
        self.answered(innocent, "well")
        self.assertEqual((conn.end, other.end), (ConnectionEnd.EVICTED, None))
        self.assertEqual(self.server.loop.unsent, 0)

    def test_nothing_is_sent_after_a_close(self) -> None:
        caller = self.connect()
        conn = self.of(caller).conn
        conn.write(b"first\n")
        conn.close(ConnectionEnd.FINISHED)
        conn.write(b"second\n")
        self.ended(caller, "closed")
        self.assertEqual(bytes(caller.data), b"first\n")


class TooLarge(Tcp):
    # Guards against answers that are dropped as a later line on their connection has no end.
    def test_what_came_before_a_line_with_no_end_is_answered(self) -> None:
        caller = self.connect()
        self.send(caller, self.message("t1", "1", "approve-commit"))
        self.until(lambda: "t1.1" in self.vm.handles, "its run")
        self.send(caller, b"x" * 9000)
        self.until(lambda: (caller.pump(), len(caller.lines) == 1)[1], "the error")
        for _ in range(20):  # more of it than any buffer holds: it must be taken off its sender's hands
            caller.sock.sendall(bytes(200_000))
            self.until(lambda: not buffered(self.of(caller).conn.sock), "an empty buffer")
        self.vm.end("OK", "t1.1")
        self.answered(caller, "-32700 None", "result 1")
        self.ended(caller, "closed")


class Loops(World):
    # Guards against an event for a descriptor that was closed in the same wake-up, told to the next owner of its
    # number.
    def test_a_stale_event_is_not_told_to_the_next_owner_of_the_number(self) -> None:
        loop, told = Loop(), list[str]()
        pairs = [socket.socketpair() for _ in range(2)]
        later: list[socket.socket] = []

        def first(mine: int) -> None:
            told.append("first")
            loop.unwatch(pairs[mine][0].fileno())
            other = pairs[1 - mine][0]
            number = other.fileno()
            loop.unwatch(number)
            other.close()
            fresh, peer = socket.socketpair()
            later.extend((fresh, peer))
            assert fresh.fileno() == number
            loop.watch(number, 1, lambda mask: told.append("its own"))

        for n, (mine, peer) in enumerate(pairs):
            loop.watch(mine.fileno(), 1, lambda mask, n=n: first(n))
            peer.sendall(b"x")
        loop.round(0, lambda now: None)
        self.assertEqual(told, ["first"])
        later[1].sendall(b"x")
        loop.round(0, lambda now: None)
        self.assertEqual(told, ["first", "its own"])
        for sock in (*(end for pair in pairs for end in pair), *later):
            sock.close()
        loop.close()

    # Guards against timers that pile up: each wait with a limit left one behind until its time.
    def test_timers_of_what_is_over_are_let_go(self) -> None:
        loop = Loop(lambda: 1.0)

        def waits() -> object:
            for _ in range(10_000):
                wait = Wait(60.0)
                loop.at_end_of_round(wait.wake)
                yield wait

        loop.spawn(waits())  # type: ignore[arg-type]
        for _ in range(10_000):
            loop.round(0, lambda now: None)
        self.assertLess(loop.timers, 200)
        loop.close()

    # Guards against a connection that stays open, counted and silent because its coroutine fell to a fault.
    def test_a_fault_in_a_session_closes_it_and_answers_what_is_open(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 fuzzy-match
            expect vm APPLY c1.1
        """)
        used = self.server.budget.used
        with (
            mock.patch.object(platform.Session, "_process", side_effect=RuntimeError("planted")),
            mock.patch("traceback.print_exc"),
        ):
            self.play("send c1 2 fuzzy-match")
        self.play("""
            expect c1 nothing
            send vm OK c1.1
            expect c1 result 1
            expect c1 closed
            close c1
            wait 0.1
            send c2 1 fuzzy-match
            expect vm APPLY c2.1
        """)
        self.assertEqual(self.server.budget.used, used)
        self.assertEqual(self.server.counters.get("faults", "session"), 1)

    # Guards against a server that has lost its interpreter for good to one fault, and serves nobody.
    def test_a_fault_on_the_link_makes_the_link_anew(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 fuzzy-match
            expect vm APPLY c1.1
        """)
        with (
            mock.patch.object(self.server.core, "run_finished", side_effect=RuntimeError("planted")),
            mock.patch("traceback.print_exc"),
        ):
            self.play("send vm ERROR c1.1")
        self.assertEqual(self.server.counters.get("faults", "interpreter"), 1)
        self.play("""
            wait 1.1
            expect vm CONNECT 1
            send c2 1 fuzzy-match
            expect vm APPLY c2.1
            send vm OK c2.1
            expect c2 result 1
        """)


def test_many_short_connections_leave_nothing_behind() -> None:
    """Guards against timers and connections that outlive their end."""
    loop, ended = Loop(), list[ConnectionEnd]()
    for n in range(300):
        ours, theirs = socket.socketpair()
        conn = Connection(loop, ours, ended.append)
        conn.write(b"answer\n")
        conn.close(ConnectionEnd.FINISHED)
        theirs.close() if n % 2 else reset(theirs)
        wait_for(lambda conn=conn: (loop.round(0.001, lambda now: None), conn.end)[1], "its end")
    assert len(ended) == 300
    assert (loop.unsent, len(loop.senders), len(loop._watched)) == (0, 0, 0)
    assert loop.timers < 200
    loop.close()


@pytest.mark.parametrize("how", ["halted", "timed out"])
def test_a_request_that_is_withdrawn_half_sent_never_becomes_whole_at_the_backend(how: str) -> None:
    """Guards against a run that nobody waits for: a close in order sends what is queued, here the request's rest."""
    clock = [100.0]
    loop = Loop(lambda: clock[0])
    ours, theirs = socket.socketpair()
    theirs.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
    ended: list[Outcome] = []

    class Listener:
        def backend_up(self, cold: bool, up_for: float) -> None: ...
        def load_sampled(self, values: dict[str, float]) -> None: ...
        def run_finished(self, handle: str, outcome: Outcome, spent: float, result: bytes) -> None:
            ended.append(outcome)

    def dial(loop: Loop, address: tuple[str, int], span: float) -> Generator[Wait, None, socket.socket]:
        return theirs
        yield

    spans = {"fuzzy-match": 5.6}
    backend = UwsgiBackend(loop, ("127.0.0.1", 1), "/run/", 1, spans, Listener(), Counters(), dial)  # type: ignore[arg-type]
    backend.start("h", "fuzzy-match", bytes(60_000), True)
    loop.round(0, lambda now: None)
    if how == "halted":
        backend.pause("h")
    else:
        clock[0] += 6.0
    got = b""
    while True:
        loop.round(0, lambda now: None)
        if not select.select([ours], [], [], 0)[0]:
            assert loop.unsent == 0
            continue
        more = ours.recv(65536)
        if not more:
            break
        got += more
    assert 0 < len(got) < 60_000
    assert ended == [Outcome.CANCELLED if how == "halted" else Outcome.TIMEOUT]
    ours.close()
    loop.close()


def test_a_dial_without_a_descriptor_is_an_end_and_no_fault() -> None:
    """Guards against a link that is lost for good as the table of descriptors was full for a moment."""
    from lapishaven.net.connection import connect

    loop, got = Loop(), list[object]()

    def dials() -> object:
        got.append((yield from connect(loop, ("127.0.0.1", 1), 1.0)))

    with mock.patch("socket.socket", side_effect=OSError(24, "too many open files")):
        loop.spawn(dials())  # type: ignore[arg-type]
    assert got == [ConnectionEnd.UNREACHED]
    loop.close()


def test_lines_in_these_tests_are_what_the_protocol_says() -> None:
    """Guards the helpers: a line that the server could not read would make every test here pass for nothing."""
    line = World.message(AtRest(), "t1", "1", "fuzzy-match")
    assert isinstance(next(iter(jsonrpc.ServerParser().feed(line))), jsonrpc.RunRequest) and json.loads(line)["id"] == 1
