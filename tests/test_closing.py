"""Connections that close while bytes are in transit: real sockets, with the unfavourable order of events forced."""

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


class IdleConnections(Tcp):
    """The server closes an idle connection while bytes are in transit."""

    def exceed_idle_timeout(self) -> None:
        """Advance the clock beyond the idle timeout, without the sweep that closes idle connections."""
        self.now += self.server.callers.idle_timeout + 1
        self.server.loop.now = self.now

    # Guards against closing a connection as idle, with a reset, while the kernel already holds its next request.
    def test_request_in_the_kernel_when_the_idle_timeout_expires_is_served(self) -> None:
        caller = self.connect()
        self.serve(caller, "t1", 1)
        self.exceed_idle_timeout()
        self.send(caller, self.message("t1", "2", "fuzzy-match"))
        self.server.callers.sweep()
        self.until(lambda: "t1.2" in self.vm.handles, "the run of t1.2")
        self.vm.end("OK", "t1.2")
        self.answered(caller, "result 1", "result 2")
        self.assertIsNone(caller.ended)

    def test_request_in_the_kernel_when_connections_are_evicted_is_served(self) -> None:
        caller = self.connect()
        self.serve(caller, "t1", 1)
        # It now counts as unused since the last eviction check, so it is closed next unless the kernel holds a request.
        self.server.callers.sessions[self.of(caller)] = self.now
        self.send(caller, self.message("t1", "2", "fuzzy-match"))
        self.server.budget.limit = self.server.budget.used
        self.server.callers.make_room()
        self.until(lambda: "t1.2" in self.vm.handles, "the run of t1.2")
        self.vm.end("OK", "t1.2")
        self.answered(caller, "result 1", "result 2")

    # Guards against dropping a slow message whose last bytes arrive just as it times out.
    def test_message_that_becomes_complete_as_it_times_out_is_served(self) -> None:
        caller, line = self.connect(), self.message("t1", "1", "fuzzy-match")
        self.send(caller, line[:50])
        self.until(
            lambda: self.of(caller).awaiting_since is not None and not buffered(self.of(caller).conn.sock),
            "the first half of the message",
        )
        self.send(caller, line[50:])
        self.now += MESSAGE_TIMEOUT_S + 0.1
        self.server.loop.now = self.now
        self.server.callers.sweep()
        self.until(lambda: "t1.1" in self.vm.handles, "the run of t1.1")

    # Guards against a reset in reply to requests sent before the caller saw the close: the reset would make the caller
    # lose its last answer.
    def test_requests_that_cross_a_close_are_not_run_and_cause_no_reset(self) -> None:
        caller = self.connect()
        self.serve(caller, "t1", 1)
        session = self.of(caller)
        self.exceed_idle_timeout()
        self.server.callers.sweep()
        self.round()
        self.assertTrue(session.conn.awaits_peer_close())
        for n in range(2, 5):
            caller.sock.sendall(self.message("t1", str(n), "approve-commit"))
        self.until(lambda: session.conn._bytes_received > 500, "the requests sent after the close")
        self.ended(caller, "closed")
        self.assertNotIn("t1.2", self.vm.handles)
        caller.sock.close()
        self.until(lambda: session.conn.end is not None, "the end of the connection on both sides")
        self.assertEqual((session.conn.end, self.server.budget.used), (ConnectionEnd.IDLE, 0))

    # Guards against a close that waits for ever for the peer to close its side.
    def test_peer_that_never_closes_is_abandoned(self) -> None:
        caller = self.connect()
        self.serve(caller, "t1", 1)
        self.exceed_idle_timeout()
        self.server.callers.sweep()
        self.wait(LINGER_S + 0.1)
        self.assertEqual((self.server.budget.used, len(self.server.callers.sessions)), (0, 0))

    # Guards against a descriptor that is held for ever by a peer that does not read its answers.
    def test_peer_that_never_reads_is_abandoned(self) -> None:
        for partial in (b"{", b""):
            with self.subTest(partial=partial):
                caller = self.connect(SO_RCVBUF=2048)
                conn = self.of(caller).conn
                conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
                for _ in range(8):
                    self.send(caller, b"[]\n" * 100)
                    self.until(lambda conn=conn: not buffered(conn.sock), "the lines to be read")
                self.send(caller, partial) if partial else None
                self.until(lambda conn=conn: not buffered(conn.sock), "the partial line to be read")
                self.assertGreater(conn.send_buffer.size, 0)
                sent = conn.sent
                self.wait((MESSAGE_TIMEOUT_S if partial else self.server.callers.idle_timeout) + LINGER_S + 0.2)
                while conn.end is None and conn.sent != sent:
                    # The kernel accepted more bytes, in real time, after the close had begun, which renews the wait.
                    sent = conn.sent
                    self.wait(LINGER_S)
                self.assertIsNotNone(conn.end)
                self.assertEqual((self.server.budget.used, self.server.loop.unsent), (0, 0))

    def test_peer_that_never_stops_sending_is_abandoned(self) -> None:
        caller = self.connect()
        self.send(caller, b"x" * 9000)
        self.until(lambda: self.of(caller).conn.closing is not None, "the error for a line that is too long")
        session = self.of(caller)
        for _ in range(int(MAX_LINGER_S / 0.5) + 1):
            if session.conn.end is None:
                caller.sock.sendall(b"x" * 100)
                self.wait(0.5)
        self.assertEqual(session.conn.end, ConnectionEnd.TOO_LARGE)


class HalfClosed(Tcp):
    """The caller has half-closed its connection and waits for its answers."""

    # Guards against treating a half-close as a full close: open requests are still to be answered.
    def test_caller_that_half_closes_gets_its_answers(self) -> None:
        caller = self.connect()
        self.send(caller, self.message("t1", "1", "fuzzy-match"), self.message("t1", "2", "approve-commit"))
        caller.sock.shutdown(socket.SHUT_WR)
        self.round()
        self.wait(platform.CLOSE_PROBE_S)
        self.until(lambda: "t1.2" in self.vm.handles, "the runs of t1.1 and t1.2")
        self.vm.end("OK", "t1.1")
        self.vm.end("OK", "t1.2")
        self.answered(caller, "result 1", "result 2")
        self.ended(caller, "closed")
        self.until(lambda: self.server.budget.used == 0, "the release of the memory of the closed connection")

    # Guards against losing messages read before the half-close while the session waits for its next round.
    def test_half_close_drops_no_message_that_came_before_it(self) -> None:
        caller, malformed_count = self.connect(), platform.MESSAGES_PER_ROUND + 4
        session = self.of(caller)
        assert isinstance(session, platform.Session)
        self.send(caller, *[b"[]\n"] * malformed_count, *(self.message("t1", str(n), "fuzzy-match") for n in (1, 2, 3)))
        caller.sock.shutdown(socket.SHUT_WR)
        self.round()
        self.assertEqual((session._feeding, session.open), (True, {}), "the session should wait for its next round")
        self.server.callers.close_gracefully()  # messages that were read are processed even so
        self.wait(platform.CLOSE_PROBE_S)
        self.until(lambda: "t1.3" in self.vm.handles, "the run of t1.3")
        for n in (1, 2, 3):
            self.vm.end("OK", f"t1.{n}")
        self.answered(caller, *["-32600 None"] * malformed_count, "result 1", "result 2", "result 3")
        self.ended(caller, "closed")

    # Guards against running requests of a caller that has fully closed: writing to it is answered with a reset.
    def test_requests_of_a_caller_that_has_fully_closed_are_cancelled(self) -> None:
        caller = self.connect()
        self.send(caller, self.message("t1", "1", "approve-commit"))
        self.until(lambda: "t1.1" in self.vm.handles, "the run of t1.1")
        caller.sock.close()
        self.until(lambda: "BREAK t1.1" in self.vm.log, "the pause of the run of t1.1")
        self.vm.end("STOPPED", "t1.1")
        self.until(lambda: not self.server.broker.requests, "an empty request table")
        self.assertEqual(self.server.budget.used, 0)

    # Guards against requests that are sent on after their caller has closed, because they were not read before.
    def test_requests_that_were_not_read_before_a_full_close_are_not_run(self) -> None:
        caller = self.connect()
        session = self.of(caller)
        self.send(caller, *(self.message("t1", str(n), "approve-commit", f"key=k{n}") for n in range(1, 40)))
        caller.sock.close()
        self.round()
        self.wait(platform.CLOSE_PROBE_S)
        self.until(lambda: session.conn.end is not None, "the end of the connection")
        self.assertEqual((self.vm.handles, self.server.broker.requests), ({}, {}))

    # Guards against the same after a reset: the kernel still gives the bytes that came before it.
    def test_requests_that_were_not_read_before_a_reset_are_not_run(self) -> None:
        caller = self.connect()
        session = self.of(caller)
        self.send(caller, *(self.message("t1", str(n), "approve-commit", f"key=k{n}") for n in range(1, 40)))
        reset(caller.sock)
        self.until(lambda: session.conn.end is not None, "the end of the connection after its reset")
        self.assertEqual((self.vm.handles, self.server.broker.requests), ({}, {}))

    # Guards against a uwsgi request that is run though its client has closed, as bytes behind it hide the close.
    def test_a_uwsgi_request_with_more_behind_it_is_not_run_after_a_close(self) -> None:
        sock = socket.create_connection(self.server.listeners[1].address)
        self.until(lambda: self.server.callers.sessions, "the accept")
        session = self.session()
        data = self.message("u1", "approve-commit", "id=k") + b"m" * 20_000
        sock.sendall(data)
        wait_for(lambda: buffered(session.conn.sock) == len(data), "the request in the kernel's buffer")
        sock.close()
        self.until(lambda: not self.server.callers.sessions, "the end of the connection")
        self.assertEqual(self.vm.handles, {})
        self.assertEqual(self.server.counters.groups["uwsgi"]["given up before it was read"], 1)

    def test_reset_with_unread_requests_releases_everything(self) -> None:
        caller = self.connect()
        self.send(caller, *(self.message("t1", str(n), "fuzzy-match") for n in range(1, 40)))
        session = self.of(caller)
        reset(caller.sock)
        self.until(lambda: session.conn.end is not None, "the end of the connection after its reset")
        for label in list(self.vm.handles):
            self.vm.end("STOPPED", label)
        self.until(lambda: not self.server.broker.requests, "an empty request table")
        self.assertEqual((self.server.budget.used, self.server.loop.unsent), (0, 0))


class SlowReader(Tcp):
    """A caller reads its answers slowly or not at all."""

    # Guards against truncating the last answer a second after the close because the caller reads slowly.
    def test_answer_is_sent_completely_however_slowly_it_is_read(self) -> None:
        caller = self.connect(SO_RCVBUF=2048)
        conn = self.of(caller).conn
        conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
        whole = b"".join(jsonrpc.encode_result(n, bytes(4096)) for n in range(1, 6))
        conn.write(whole)
        conn.close(ConnectionEnd.FINISHED)
        self.round()
        self.assertGreater(conn.send_buffer.size, 0)
        received, began = b"", self.now
        while conn.send_buffer.size:
            sent = conn.sent
            # The clock advances only once reading has let the server send more.
            while conn.sent == sent:
                received += caller.sock.recv(1024)
                self.round()
            self.wait(LINGER_S / 2)
        self.assertGreater(self.now, began + LINGER_S)
        while data := caller.sock.recv(65536):
            received += data
        self.assertEqual(received, whole)

    # Guards against losing one caller's answer because another caller does not read.
    def test_at_the_limit_of_unsent_bytes_the_largest_holder_is_evicted(self) -> None:
        slow_reader, other_caller = self.connect(SO_RCVBUF=2048), self.connect()
        conn, other = self.of(slow_reader).conn, self.of(other_caller).conn
        conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
        conn.write(bytes(60_000))
        self.round()
        self.server.loop.unsent_limit = conn.send_buffer.size + 10
        other.write(jsonrpc.encode_health(1, True))
        self.answered(other_caller, "well")
        self.assertEqual((conn.end, other.end), (ConnectionEnd.EVICTED, None))
        self.assertEqual(self.server.loop.unsent, 0)

    def test_nothing_is_sent_after_close(self) -> None:
        caller = self.connect()
        conn = self.of(caller).conn
        conn.write(b"first\n")
        conn.close(ConnectionEnd.FINISHED)
        conn.write(b"second\n")
        self.ended(caller, "closed")
        self.assertEqual(bytes(caller.data), b"first\n")


class TooLarge(Tcp):
    """A caller sends a line that is longer than allowed."""

    # Guards against dropping answers because a later line on the connection is too long.
    def test_requests_before_a_line_that_is_too_long_are_answered(self) -> None:
        caller = self.connect()
        self.send(caller, self.message("t1", "1", "approve-commit"))
        self.until(lambda: "t1.1" in self.vm.handles, "the run of t1.1")
        self.send(caller, b"x" * 9000)
        self.until(lambda: (caller.pump(), len(caller.lines) == 1)[1], "the error for a line that is too long")
        for _ in range(20):  # more than any buffer holds, so the server must keep reading
            caller.sock.sendall(bytes(200_000))
            self.until(lambda: not buffered(self.of(caller).conn.sock), "an empty receive buffer of the server")
        self.vm.end("OK", "t1.1")
        self.answered(caller, "-32700 None", "result 1")
        self.ended(caller, "closed")


class Loops(World):
    """Stale events, timers and exceptions in the event loop."""

    # Guards against delivering an event of a descriptor closed in the same round to the descriptor that reuses its
    # number.
    def test_stale_event_is_not_delivered_to_the_next_owner_of_the_descriptor_number(self) -> None:
        loop, events = Loop(), list[str]()
        pairs = [socket.socketpair() for _ in range(2)]
        new_pair: list[socket.socket] = []

        # Both descriptors are ready. Whichever callback runs first closes the other and reuses its descriptor number.
        def on_first_ready(ready: int) -> None:
            events.append("first")
            loop.unwatch(pairs[ready][0].fileno())
            other = pairs[1 - ready][0]
            number = other.fileno()
            loop.unwatch(number)
            other.close()
            reused, peer = socket.socketpair()
            new_pair.extend((reused, peer))
            assert reused.fileno() == number
            loop.watch(number, 1, lambda mask: events.append("new owner"))  # 1: EPOLLIN

        for n, (ours, peer) in enumerate(pairs):
            loop.watch(ours.fileno(), 1, lambda mask, n=n: on_first_ready(n))
            peer.sendall(b"x")
        loop.round(0, lambda now: None)
        self.assertEqual(events, ["first"])
        new_pair[1].sendall(b"x")
        loop.round(0, lambda now: None)
        self.assertEqual(events, ["first", "new owner"])
        for sock in (*(end for pair in pairs for end in pair), *new_pair):
            sock.close()
        loop.close()

    # Guards against timers that accumulate: each wait with a timeout left one behind until it was due.
    def test_timers_of_ended_waits_are_released(self) -> None:
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

    # Guards against a connection that stays open without being served after an exception in its coroutine.
    def test_exception_in_a_session_closes_it_once_open_requests_are_answered(self) -> None:
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

    # Guards against a server that loses its interpreter for ever after one exception on the link.
    def test_exception_on_the_link_restarts_the_link(self) -> None:
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


def test_many_short_connections_release_everything() -> None:
    """Guards against timers and senders that are kept after their connection has ended."""
    loop, ended = Loop(), list[ConnectionEnd]()
    for n in range(300):
        ours, theirs = socket.socketpair()
        conn = Connection(loop, ours, ended.append)
        conn.write(b"answer\n")
        conn.close(ConnectionEnd.FINISHED)
        theirs.close() if n % 2 else reset(theirs)
        wait_for(lambda conn=conn: (loop.round(0.001, lambda now: None), conn.end)[1], "the end of a short connection")
    assert len(ended) == 300
    assert (loop.unsent, len(loop.senders), len(loop._watched)) == (0, 0, 0)
    assert loop.timers < 200
    loop.close()


@pytest.mark.parametrize("how", ["cancelled", "timed out"])
def test_partly_sent_request_that_is_abandoned_is_never_completed_at_the_backend(how: str) -> None:
    """Guards against running an abandoned request: a graceful close would send its queued rest and so complete it."""
    clock = [100.0]
    loop = Loop(lambda: clock[0])
    ours, theirs = socket.socketpair()
    theirs.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
    ended: list[Outcome] = []

    class Listener:
        def backend_up(self, cold: bool, up_for: float) -> None: ...
        def load_sampled(self, gauges: dict[str, float]) -> None: ...
        def run_finished(self, attempt_id: str, outcome: Outcome, elapsed: float, result: bytes) -> None:
            ended.append(outcome)

    def dial(loop: Loop, address: tuple[str, int], span: float) -> Generator[Wait, None, socket.socket]:
        return theirs
        yield

    backend = UwsgiBackend(loop, ("127.0.0.1", 1), "/run/", 1, Listener(), Counters(), dial)  # type: ignore[arg-type]
    backend.start("attempt", "fuzzy-match", bytes(60_000), True, 5.6)
    loop.round(0, lambda now: None)
    if how == "cancelled":
        backend.pause("attempt")
    else:
        clock[0] += 6.0
    received = b""
    while True:
        loop.round(0, lambda now: None)
        if not select.select([ours], [], [], 0)[0]:
            assert loop.unsent == 0
            continue
        data = ours.recv(65536)
        if not data:
            break
        received += data
    assert 0 < len(received) < 60_000
    assert ended == [Outcome.CANCELLED if how == "cancelled" else Outcome.TIMEOUT]
    ours.close()
    loop.close()


def test_dial_without_a_free_descriptor_ends_as_unreached_without_exception() -> None:
    """Guards against a link that is lost for ever because there was no free descriptor for a moment."""
    from lapishaven.net.connection import connect

    loop, received = Loop(), list[object]()

    def dials() -> object:
        received.append((yield from connect(loop, ("127.0.0.1", 1), 1.0)))

    with mock.patch("socket.socket", side_effect=OSError(24, "too many open files")):
        loop.spawn(dials())  # type: ignore[arg-type]
    assert received == [ConnectionEnd.UNREACHED]
    loop.close()


def test_request_lines_of_these_tests_are_valid() -> None:
    """Guards against invalid lines from the test helper: tests that expect a request not to run would always pass."""
    line = World.message(IdleConnections(), "t1", "1", "fuzzy-match")
    assert isinstance(next(iter(jsonrpc.ServerParser().feed(line))), jsonrpc.RunRequest) and json.loads(line)["id"] == 1
