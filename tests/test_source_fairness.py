"""Tests of the fairness between sources of requests: the rule alone, and with the real frontends and core."""

from __future__ import annotations

import json
from typing import Any

from scenario import World

from lapishaven.core.source_fairness import (
    FLOOD_PER_CORE,
    FLOOD_PER_SERVED,
    NEW_CONNECTION_S,
    RETRY_AFTER_S,
    UPDATE_INTERVAL_S,
    WINDOW_S,
    RequestSource,
    SlidingCount,
    SourceFairness,
)

CORES = 6
LIMIT = int(FLOOD_PER_CORE * CORES)  # requests a second
START = 1000.0


class Sources:
    """A ``SourceFairness`` and its clock."""

    def __init__(self) -> None:
        self.now = START
        self.fairness = SourceFairness()
        self.shared = RequestSource.shared()

    def connection(self, age_s: float = 10.0) -> RequestSource:
        """A connection that was opened this long ago."""
        return RequestSource(self.now - age_s, self.shared)

    def send(self, *rates: tuple[RequestSource, int], duration_s: float = 0.2) -> None:
        """Let each source send evenly so many requests in a second, for the duration."""
        until, sent = self.now + duration_s, [0.0] * len(rates)
        step_s = 0.001
        while self.now < until:
            self.now += step_s
            for number, (source, rate) in enumerate(rates):
                sent[number] += rate * step_s
                while sent[number] >= 1.0:
                    sent[number] -= 1.0
                    self.fairness.record_arrival(self.now, source, CORES)

    def may_open(self, source: RequestSource, open_requests: int = CORES) -> bool:
        return self.fairness.may_open(self.now, source, open_requests, CORES)


def test_a_count_covers_the_last_window() -> None:
    """Guards against a flood that is counted twice, or for ever."""
    count = SlidingCount()
    for number in range(100):
        count.add(START + number / 100 * WINDOW_S)
    assert count.value(START + 0.99 * WINDOW_S) == 100
    assert 45 <= count.value(START + 1.5 * WINDOW_S) <= 55
    assert count.value(START + 2 * WINDOW_S) == 0
    count.add(START + 5.5)
    assert count.value(START + 5.5) == 1


def test_only_the_source_that_floods_is_limited_and_only_while_it_does() -> None:
    """Guards against one connection that takes all places, and against a limit that outlasts the flood."""
    sources = Sources()
    flood, caller = sources.connection(), sources.connection()
    sources.send((flood, 10_000), (caller, 20))
    assert not sources.may_open(flood) and sources.may_open(caller)
    assert sources.may_open(flood, open_requests=CORES // 2 - 1)  # cores that nobody else wants
    sources.send((caller, 20), duration_s=RETRY_AFTER_S)
    assert sources.may_open(flood)


def test_a_source_alone_is_not_limited() -> None:
    """Guards against a limit on the only gateway of a server, whose overload the controller decides on by rank."""
    sources = Sources()
    gateway = sources.connection()
    sources.send((gateway, 10_000))
    assert sources.may_open(gateway)


def test_many_ordinary_sources_are_not_limited_whatever_they_send_together() -> None:
    """Guards against a limit in an ordinary overload, where each caller sends a little."""
    sources = Sources()
    callers = [(sources.connection(), LIMIT // 2) for _ in range(20)]
    sources.send(*callers, duration_s=1.0)
    assert all(sources.may_open(caller) for caller, _ in callers)


def test_a_fast_backend_raises_the_limit() -> None:
    """Guards against a limit below what a server really serves."""
    sources = Sources()
    gateway, caller = sources.connection(), sources.connection()
    rate, step_s = 3 * LIMIT, 0.01
    for _ in range(200):
        for _ in range(int(rate / FLOOD_PER_SERVED * step_s) + 1):
            sources.fairness.record_served()
        sources.send((gateway, rate), (caller, 200), duration_s=step_s)
    assert sources.may_open(gateway)


def test_a_flood_over_many_short_connections_is_one_source() -> None:
    """Guards against a client that evades the limit with a new connection for every few requests."""
    sources = Sources()
    caller = sources.connection()
    for _ in range(100):
        short = sources.connection(age_s=0.0)
        sources.send((short, 10_000), (caller, 400), duration_s=0.003)
    newcomer = sources.connection(age_s=0.0)
    assert not sources.may_open(newcomer) and sources.may_open(caller)


def test_a_new_connection_that_floods_is_told_from_the_other_new_ones() -> None:
    """Guards against callers that are refused because another one floods on a connection as new as theirs."""
    sources = Sources()
    flood, newcomer = sources.connection(age_s=0.0), sources.connection(age_s=0.0)
    sources.send((flood, 10_000), (newcomer, 20), duration_s=0.5)
    assert not sources.may_open(flood) and sources.may_open(newcomer)


def test_nothing_is_kept_of_connections_that_are_silent() -> None:
    """Guards against memory that grows with every connection ever opened."""
    sources = Sources()
    for _ in range(500):
        sources.send((sources.connection(age_s=0.0), 1000), duration_s=0.002)
    caller = sources.connection()
    sources.send((caller, 20), duration_s=3 * WINDOW_S + NEW_CONNECTION_S + UPDATE_INTERVAL_S)
    assert len(sources.fairness._active) <= 1


class Floods(World):
    """A client floods one connection with sound requests, under new names each time, beside an ordinary caller."""

    def setUp(self) -> None:
        super().setUp()
        self.play("expect vm CONNECT 0")
        self.peer("c1"), self.peer("c2")
        self.wait(NEW_CONNECTION_S)
        self.sent = 0

    def flood(self, count: int, method: str = "approve-commit") -> None:
        lines = []
        for _ in range(count):
            self.sent += 1
            changes: dict[str, Any] = {"src": str(self.sent), "key": f"k{self.sent}", "of": f"o{self.sent}"}
            lines.append(self.message("c1", str(self.sent), method, *(f"{k}={v}" for k, v in changes.items())))
        self.peer("c1").sock.sendall(b"".join(lines))
        self.pump()

    def answers(self, name: str) -> list[str]:
        self.pump()
        return [self.kind(json.loads(line)) for line in bytes(self.peers[name].data).splitlines()]

    # Guards against a caller whose answers come late or never while another one floods the server (picture b).
    def test_a_flood_does_not_take_the_places_of_an_ordinary_caller(self) -> None:
        self.flood(64)
        self.play("send c2 1 fuzzy-match")
        for _ in range(10):
            self.flood(64)
            self.wait(0.05)
        queued = [request for request in self.server.broker.requests.values() if not request.ran]
        self.assertLessEqual(len(queued), 1)
        first_runs = list(self.vm.applied)
        for label in first_runs:
            self.vm.end("OK", label)
            self.pump()
        self.assertIn("c2.1", self.vm.applied)
        self.flood(64)
        self.play("send c2 2 fuzzy-match")
        self.assertIn("c2.2", self.vm.applied)  # started at once
        self.assertNotIn("refused 1", self.answers("c2"))
        self.assertGreater(self.server.counters.groups["reasons"]["too many requests on one connection"], 40)

    # Guards against idle connections of all callers being closed after a tenth of a second, as one connection names a
    # new caller in each request and the controller takes them for a crowd.
    def test_new_names_on_one_connection_are_no_crowd(self) -> None:
        before = self.server.callers.idle_timeout
        for _ in range(100):
            self.flood(2, "fuzzy-match")
            for label in list(self.vm.handles):
                self.vm.end("OK", label)
            self.wait(0.025)
        self.assertGreater(len(self.vm.applied), 150)
        self.assertEqual(self.server.callers.idle_timeout, before)

    # Guards against an answer that is lost, or two of them, where queued requests are given up.
    def test_each_request_of_the_flood_gets_one_answer(self) -> None:
        self.play("send c2 1 fuzzy-match")
        for _ in range(10):
            self.flood(64)
            self.wait(0.05)
        for label in list(self.vm.applied):
            self.vm.end("OK", label)
        self.wait(6.0)
        answers = self.answers("c1")
        ids = sorted(int(answer.split()[1]) for answer in answers if answer != "draining")
        self.assertEqual(ids, list(range(1, self.sent + 1)))
        self.assertEqual(self.server.broker.requests, {})

    # Guards against a repeat of a commit that ran being called refused because its connection floods.
    def test_a_repeat_of_what_ran_is_never_refused(self) -> None:
        self.play("""
            send c2 1 fuzzy-match
            expect vm APPLY c2.1
            send c1 1 approve-commit key=k
            expect vm APPLY c1.1
            send vm OK c1.1
            expect c1 result 1
            wait 6
            send c2 2 fuzzy-match
        """)
        self.sent = 1
        for _ in range(10):
            self.flood(64)
            self.wait(0.02)
        self.peers["c1"].data.clear()
        self.play("send c1 900 approve-commit key=k rep=1 body=c1.1")
        answers = [answer for answer in self.answers("c1") if answer.endswith(" 900")]
        self.assertNotIn("refused 900", answers)
