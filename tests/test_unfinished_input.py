"""Tests of the bound on what all connections hold of messages that are not complete."""

from __future__ import annotations

from scenario import World

from lapishaven.proto import uwsgi

HALF_LINE = b'{"jsonrpc":"2.0","id":1,"params":{"' + b"a" * 7000
HALF_PACKET = uwsgi.encode_request({"PATH_INFO": "/" * 7000}, b"body")[:-1]
LIMIT_BYTES = 64 * 1024
CONNECTIONS = 12  # of each frontend; together they hold far more than the limit


class UnfinishedInput(World):
    def setUp(self) -> None:
        super().setUp()
        self.server.callers._unfinished_limit = LIMIT_BYTES
        self.play("expect vm CONNECT 0")

    def held_bytes(self) -> int:
        return sum(session.unfinished_bytes for session in self.server.callers.sessions)

    def send_halves(self) -> list[str]:
        """Open connections that send half a message each; returns their names, oldest first."""
        names = [f"{frontend}{number}" for number in range(10, 10 + CONNECTIONS) for frontend in "cu"]
        for name in names:
            self.peer(name).sock.sendall(HALF_LINE if name[0] == "c" else HALF_PACKET)
            self.wait(0.01)
        return names

    # Guards against memory that grows with the connections: hundreds of half messages pass the process's limit.
    def test_the_oldest_incomplete_messages_are_given_up_beyond_the_limit(self) -> None:
        names = self.send_halves()
        self.wait(0.1)
        self.assertLessEqual(self.held_bytes(), LIMIT_BYTES)
        closed = [name for name in names if self.peers[name].closed]
        self.assertEqual(closed, names[: len(closed)])
        self.assertGreater(LIMIT_BYTES - self.held_bytes(), 0)
        self.assertLess(LIMIT_BYTES - self.held_bytes(), 2 * len(HALF_LINE))  # and no more are closed than need be
        counters = self.server.counters.groups["connections"]
        self.assertEqual(counters["closed for incomplete messages"], len(closed))

    # Guards against a bound that harms those who send whole messages while others hold half ones.
    def test_whole_messages_and_open_requests_are_served_meanwhile(self) -> None:
        self.play("send c1 1 fuzzy-match\n expect vm APPLY c1.1")
        self.peer("c1").sock.sendall(HALF_LINE)  # the oldest incomplete message, on a connection with an open request
        self.wait(0.05)
        self.send_halves()
        self.wait(0.1)
        self.play("""
            send c2 1 fuzzy-match
            expect vm APPLY c2.1
            send u1 fuzzy-match
            expect vm APPLY u1
            send vm OK u1
            expect u1 200 u1
            send vm OK c2.1
            expect c2 result 1
            send vm OK c1.1
            expect c1 result 1
            expect c1 closed
        """)

    def test_below_the_limit_nothing_is_closed(self) -> None:
        self.server.callers._unfinished_limit = 2 * CONNECTIONS * (len(HALF_LINE) + 100)
        names = self.send_halves()
        self.wait(0.1)
        self.assertEqual([name for name in names if self.peers[name].closed], [])
