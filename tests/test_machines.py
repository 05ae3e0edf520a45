"""Property tests of parsers and buffers, and tests of the server's bounds on memory and descriptors."""

from __future__ import annotations

import socket
import unittest
from collections.abc import Callable, Iterable
from typing import Any
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st
from scenario import World

from lapishaven.core.idempotency_keys import IdempotencyKeyTable
from lapishaven.net.ring_buffer import RingBuffer, RingBufferFullError
from lapishaven.proto import ProtocolError, catalog, interpreter, jsonrpc, uwsgi
from lapishaven.server.client_connections import EVICTION_BATCH_DIVISOR

LINES = (
    b'{"jsonrpc":"2.0","id":1,"method":"m","params":{"call":"9b1f03aa5c7e2d41","heap":24.5,"arg":"AAH/"}}\n'
    b'nonsense\n{"jsonrpc":"2.0","method":"forget","params":{"call":"9b1f03aa5c7e2d41"}}\n'
)
NOTICES = (
    b"BANNER COLD 12\r\nVALUE 1 ab OK 200 4\r\n\r\n\n\r\r\nTOPS t 0.5 3 0.1 9\r\n" b"ERROR APPLY ab\r\nTRACE 2 a b\r\n"
)
PACKET = uwsgi.encode_request({"PATH_INFO": "/match/m", "HTTP_X_REQUEST_ID": "k"}, b"\x00\xff")
RESPONSE = uwsgi.encode_response(uwsgi.HTTPStatus.OK, b"done", "text/plain")


def reporter() -> catalog.ReportClient:
    client = catalog.ReportClient("host", "n1")
    client.report(True)
    return client


PARSERS: list[tuple[Callable[[], Any], bytes, int]] = [
    (jsonrpc.ServerParser, LINES, 3),
    (interpreter.NoticeParser, NOTICES, 5),
    (uwsgi.RequestParser, PACKET, 1),
    (uwsgi.ResponseParser, RESPONSE, 1),
    (reporter, b"HTTP/1.1 204 No Content\r\n\r\n", 1),
]


def messages(parser: Any, pieces: Iterable[bytes]) -> list[Any]:
    collected: list[Any] = []
    for piece in pieces:
        result = parser.feed(piece)
        collected += [] if result is None else list(result) if hasattr(result, "__next__") else [result]
    return collected


class Parsers(unittest.TestCase):
    # Guards against messages that depend on how the stream is split into reads.
    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(st.integers(0, len(PARSERS) - 1), st.lists(st.integers(1, 40), min_size=1, max_size=30))
    def test_pieces_of_any_size_give_the_same_messages(self, index: int, sizes: list[int]) -> None:
        make, data, count = PARSERS[index]
        pieces, at = [], 0
        while at < len(data):
            size = sizes[len(pieces) % len(sizes)]
            pieces.append(data[at : at + size])
            at += size
        whole = messages(make(), [data])
        self.assertEqual(messages(make(), pieces), whole)
        self.assertEqual(len(whole), count)

    # Guards against a crash on hostile input: no exception other than ProtocolError may leave a parser.
    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.integers(0, len(PARSERS) - 1), st.binary(max_size=200), st.integers(0, 120), st.booleans())
    def test_malformed_input_raises_nothing_but_protocol_errors(
        self, index: int, garbage: bytes, at: int, cut: bool
    ) -> None:
        make, data, _ = PARSERS[index]
        try:
            messages(make(), [data[:at] + garbage + (b"" if cut else data[at:]) + b"\n"])
        except ProtocolError:
            return

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(st.lists(st.tuples(st.binary(max_size=90), st.integers(0, 90)), max_size=40))
    def test_ring_buffer_is_a_bounded_queue(self, steps: list[tuple[bytes, int]]) -> None:
        ring, model = RingBuffer(200, 16), b""
        for data, count in steps:
            if len(model) + len(data) > 200:
                self.assertRaises(RingBufferFullError, ring.write, data)
            else:
                ring.write(data)
                model += data
            self.assertEqual(ring.peek(count), model[:count])
            ring.skip(min(count, len(model)))
            model = model[min(count, len(model)) :]
            self.assertEqual(len(ring), len(model))


class UnreadAnswers(World):
    # Guards against exhausting memory with answers to callers that never read; all callers share one bound.
    def test_unread_answers_are_bounded(self) -> None:
        with mock.patch.object(self.server.loop, "unsent_limit", 400):
            self.play("send c1 1 no-such-class\nexpect c1 -32601 1")
            self.peer("c1").sock.sendall(b"x\n" * 20)  # twenty errors in one round exceed the bound
            self.pump()
        self.play("send c2 1 fuzzy-match\nsend vm OK c2.1\nexpect c2 result 1")
        self.assertEqual(self.server.counters.get("ends", "caller evicted"), 1)
        self.assertEqual(self.server.loop.unsent, 0)


class Bounds(World):
    # Guards against memory that grows with keys: results are evicted, oldest first, and none is counted twice.
    def test_kept_results_are_bounded(self) -> None:
        table = IdempotencyKeyTable(100)
        for id in range(1, 50):
            table.open((0, f"k{id % 7}"), id)
            table.reserve((0, f"k{id % 7}"), id, 10.0)
            table.close((0, f"k{id % 7}"), id, b"x" * 40)
            self.assertLessEqual(table.result_bytes, 100)
        kept = [table.find((0, f"k{n}"), 5.0) for n in range(7)]
        self.assertEqual(sorted(e.request_id for e in kept if e is not None and e.result), [48, 49])
        self.assertEqual([table.find((0, f"k{n}"), 11.0) for n in range(7)], [None] * 7)
        self.assertEqual((len(table), table.result_bytes), (0, 0))

    # Guards against memory that grows with commits: attempts are kept for their retention time, and a commit that
    # cannot be recorded is rejected, as dropping a record early could let a commit run twice.
    def test_execution_guard_is_bounded_and_drops_no_record_early(self) -> None:
        self.server.broker.guard.attempts.limit = 2
        self.play("""
            expect vm CONNECT 0
            send c1 1 approve-commit
            send c1 2 approve-commit
            send c1 3 approve-commit
            send c1 4 fuzzy-match
            expect c1 refused 3
            expect vm APPLY c1.1
            expect vm APPLY c1.2
            expect vm APPLY c1.4
            wait 76
            send c2 1 approve-commit
            expect vm BREAK c1.1
            expect vm BREAK c1.2
            expect vm BREAK c1.4
            expect vm APPLY c2.1
        """)


class DescriptorLimit(World):
    # Guards against exhausting descriptors: callers beyond the limit evict idle connections, never busy ones.
    def test_connections_stay_within_the_budget_and_busy_callers_are_served(self) -> None:
        self.play("send c1 1 fuzzy-match\nexpect vm CONNECT 0\nexpect vm APPLY c1.1")
        limit = self.server.budget.limit
        socks = [socket.create_connection(self.server.listeners[0].address) for _ in range(limit + 40)]
        for _ in range(4000):
            self.now += 0.001
            self.server.loop.round(0, self.server.turn)
            self.assertLessEqual(self.server.budget.used, limit)
            if self.server.counters.get("connections", "accepted") == len(socks) + 1:
                break
        # These peers never answer a half-close, so each is abandoned after the linger time. No more than the needed
        # number are evicted, plus one batch.
        evicted = self.server.counters.get("ends", "caller evicted")
        self.assertGreaterEqual(evicted, 41)
        self.assertLessEqual(evicted, 41 + limit // EVICTION_BATCH_DIVISOR)
        self.play("send vm OK c1.1\nexpect c1 result 1")
        for sock in socks:
            sock.close()


class ControllerFault(World):
    # Guards against an exception in the controller that ends the process: the request still fails at its deadline.
    def test_exception_in_a_turn_leaves_the_deadline_in_force(self) -> None:
        self.pump()
        controller = self.server.broker.controller
        fault = mock.Mock(side_effect=ValueError("injected"))
        with mock.patch.object(controller, "steps", tuple(fault for _ in controller.steps)):
            with mock.patch("traceback.print_exc") as print_exc:
                self.play("send c1 1 approve-commit\nwait 3.9\nexpect c1 failed 1")
            self.assertTrue(print_exc.called)
