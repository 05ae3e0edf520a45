"""Tests of the bound on the memory of open requests."""

from __future__ import annotations

from scenario import World

from lapishaven.core.request_table import REQUEST_BYTES

PLACES = 10  # open requests for which the test leaves memory


class OpenRequestMemory(World):
    def setUp(self) -> None:
        super().setUp()
        self.play("expect vm CONNECT 0")
        assert self.server.broker is not None
        self.server.broker._intake._memory_limit = PLACES * (REQUEST_BYTES + 10)

    # Guards against a process that is killed for its memory, as many connections open requests that book next to none.
    def test_requests_beyond_the_memory_are_refused_at_once(self) -> None:
        for number in range(1, PLACES + 1):
            self.play(f"send c{number} 1 approve-commit key=k{number}")
        self.play(f"""
            send c50 1 approve-commit key=k50
            expect c50 refused 1
            send c51 1 approve-commit key=k1 body=c1.1      # a repeat of what runs is not refused
            send vm OK c1.1
            expect c1 result 1
            send c50 2 approve-commit key=k50
            expect c50 nothing                               # there is room again
            send c50 3 approve-commit key=k51
            expect c50 refused 3
            send c52 1 approve-commit key=k{PLACES} body=c{PLACES}.1
        """)
        self.assertIn(b'"result"', bytes(self.peers["c51"].data))
        self.assertEqual(bytes(self.peers["c52"].data), b"")
        self.assertEqual(self.server.counters.groups["reasons"]["too many open requests"], 2)

    def test_the_memory_of_requests_is_given_back(self) -> None:
        assert self.server.broker is not None
        for number in range(1, 6):
            self.play(f"send c{number} 1 fuzzy-match\n expect vm APPLY c{number}.1")
        self.assertGreater(self.server.broker._table.held_bytes, 5 * REQUEST_BYTES)
        for number in range(1, 6):
            self.play(f"send vm OK c{number}.1\n expect c{number} result 1")
        self.assertEqual(self.server.broker._table.held_bytes, 0)
