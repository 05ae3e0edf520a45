"""Tests of the bound on the messages that all connections process in one round of the loop."""

from __future__ import annotations

from scenario import World

from lapishaven.frontends.platform import MESSAGES_PER_ROUND, TOTAL_MESSAGES_PER_ROUND

CONNECTIONS = 100
MESSAGES = 3 * MESSAGES_PER_ROUND  # on each connection


class MessagesPerRound(World):
    def processed(self) -> int:
        return self.server.counters.groups["platform"]["malformed -32600"]

    # Guards against rounds of the loop that grow with the connections: each message of one round is opened and held
    # before the core rejects any, and everybody's answers wait for the round's end.
    def test_a_round_takes_no_more_messages_when_more_connections_have_some(self) -> None:
        for number in range(CONNECTIONS):
            self.peer(f"c{number}").sock.sendall(b"[]\n" * MESSAGES)
        self.server.counters.add("platform", "malformed -32600", 0)
        while not self.processed():
            self.server.loop.round(0, self.server.turn)
        while (before := self.processed()) < CONNECTIONS * MESSAGES:
            self.now += 0.001
            self.server.loop.round(0, self.server.turn)
            self.assertLessEqual(self.processed() - before, max(TOTAL_MESSAGES_PER_ROUND, CONNECTIONS))
            self.assertGreater(self.processed(), before)
        self.pump()
        for number in range(CONNECTIONS):
            self.assertEqual(bytes(self.peers[f"c{number}"].data).count(b"\n"), MESSAGES)

    # Guards against a bound that slows a connection that is alone.
    def test_a_connection_alone_may_process_its_full_number(self) -> None:
        self.peer("c1").sock.sendall(b"[]\n" * MESSAGES)
        self.server.counters.add("platform", "malformed -32600", 0)
        while not self.processed():
            self.server.loop.round(0, self.server.turn)
        self.assertEqual(self.processed(), MESSAGES_PER_ROUND)
