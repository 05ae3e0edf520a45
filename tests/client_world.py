"""A simulated driver, clock and set of servers for tests of the client's policy.

It neither sleeps nor opens sockets. It asserts that no request is sent after its deadline, that every retry is marked,
that each attempt has its own request id, that at most 32 requests are in flight on a connection, and that each call
has one outcome.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random
from typing import Any

from lapishaven.client.actions import (
    CancelRequest,
    CheckHealth,
    CloseConnection,
    CompleteCall,
    OpenConnection,
    SendProbe,
    SendRequest,
)
from lapishaven.client.model import Attempt, Call, Connection, Endpoint
from lapishaven.client.outcomes import AttemptEnd, AttemptResult, Outcome
from lapishaven.client.policy import Policy
from lapishaven.client.settings import ClassRule, Connections, Health, Retry, Routing, Settings, check
from lapishaven.proto.catalog import ListedServer, ServerList

CLASSES = {
    "fuzzy-match": ClassRule(5.6, "safe", 0.3),
    "approve-commit": ClassRule(3.8, "once", 0.2),
}


def settings(servers: int = 4, **changes: Any) -> Settings:
    """Settings with a fixed list of ``servers``, all of them kept connected unless ``changes`` override that."""
    names = tuple(f"10.0.0.{n + 1}:80" for n in range(servers))
    # Dials are spread over 1 ms only. Tests of the spread set their own.
    changes.setdefault("connections", Connections(least=max(2, servers), spread_s=0.001, spread_least_s=0.001))
    if changes.get("catalog"):
        names = ()
    return check(replace(Settings(CLASSES, servers=names), **changes))


def listing(version: int, *names: str, epoch: str = "e", critical: tuple[str, ...] = ()) -> ServerList:
    return ServerList(
        epoch, version, tuple(ListedServer(n, "10.0.0.1", 1000 + int(n[1:]), n not in critical) for n in names)
    )


class ClientWorld:
    """Runs a policy in simulated time. Servers are identified by name."""

    def __init__(self, client_settings: Settings | None = None, seed: int = 1) -> None:
        self.now = 0.0
        self.policy = Policy(client_settings or settings(), Random(seed), 0.0)
        self.pending_dials: list[Connection] = []  # in progress
        self.dialled: list[Connection] = []  # all dials so far
        self.sent: list[Attempt] = []
        self.cancelled: list[Attempt] = []
        self.health_checks: list[Endpoint] = []
        self.outcomes: dict[int, Outcome] = {}
        self.event_times: dict[str, list[float]] = {"dial": [], "try": []}
        self.unreachable: set[str] = set()  # names of servers that refuse connections
        self.closed: list[Connection] = []
        self.unresponsive: set[str] = set()  # stopped servers: they accept connections and requests, and answer nothing
        self.execute_actions()

    def execute_actions(self) -> None:
        while actions := self.policy.take_actions():
            for action in actions:
                if isinstance(action, OpenConnection):
                    self.pending_dials.append(action.connection)
                    self.dialled.append(action.connection)
                    self.event_times["dial"].append(self.now)
                elif isinstance(action, SendRequest):
                    self.record_request(action.connection, action.attempt)
                elif isinstance(action, CancelRequest):
                    self.cancelled.append(action.attempt)
                elif isinstance(action, CheckHealth):
                    self.health_checks.append(action.endpoint)
                elif isinstance(action, SendProbe):
                    if action.connection.endpoint.name not in self.unresponsive:
                        self.policy.probe_answered(self.now, action.connection)
                elif isinstance(action, CloseConnection):
                    self.closed.append(action.connection)
                elif isinstance(action, CompleteCall):
                    assert action.call.number not in self.outcomes, "two outcomes for one call"
                    self.outcomes[action.call.number] = action.outcome

    def record_request(self, connection: Connection, attempt: Attempt) -> None:
        call = attempt.call
        assert self.now < call.deadline, "an attempt after the deadline"
        earlier = [other for other in self.sent if other.call is call]
        assert attempt.is_retry == bool(earlier), "a retry that is not marked, or a first attempt that is"
        assert all(other.request_id != attempt.request_id for other in earlier), "two attempts under one request id"
        assert len(connection.in_flight) <= 32, "more requests in flight than the protocol allows"
        self.sent.append(attempt)
        self.event_times["try"].append(self.now)

    def complete_dials(self) -> None:
        """Complete every dial in progress; it fails where the server is dead."""
        while self.pending_dials:
            connection = self.pending_dials.pop(0)
            if connection.endpoint.name in self.unreachable:
                self.policy.dial_failed(self.now, connection)
            else:
                self.policy.connected(self.now, connection)
            self.execute_actions()

    def advance(self, seconds: float, connect: bool = True) -> None:
        """Advance the clock, running timers. Dials complete at once unless ``connect`` is False."""
        until = self.now + seconds
        while True:
            if connect:
                self.complete_dials()
            when = self.policy.next_timer_at()
            if when is None or when > until:
                break
            self.now = max(self.now, when)
            self.policy.run_timers(self.now)
            self.execute_actions()
        self.now = until

    def call(self, cls: str = "fuzzy-match", **options: Any) -> Call:
        call = self.policy.submit(self.now, cls, b"body", **options)
        self.execute_actions()
        return call

    def respond(self, attempt: Attempt, end: AttemptEnd = AttemptEnd.SERVED, **fields: Any) -> None:
        body = b"done" if end is AttemptEnd.SERVED else b""
        self.policy.response_received(self.now, attempt.connection, attempt.id, AttemptResult(end, body, **fields))
        self.execute_actions()

    def close(self, connection: Connection, clean: bool = True) -> None:
        self.policy.closed(self.now, connection, clean)
        self.execute_actions()

    def kill(self, name: str) -> None:
        self.unreachable.add(name)
        for connection in list(self.policy.endpoints[name].connections):
            self.close(connection)

    def serve_all(self, seconds: float = 0.0) -> None:
        """Serve every attempt in flight, after ``seconds``."""
        self.now += seconds
        for attempt in [a for c in self.policy.table.open_connections() for a in list(c.in_flight.values())]:
            if attempt.sent_at is not None:
                self.respond(attempt)

    def outcome(self, call: Call) -> Any:
        return self.outcomes.get(call.number)

    def outcome_counts(self) -> Counter[str]:
        return Counter(type(outcome).__name__ for outcome in self.outcomes.values())

    def max_per_second(self, *events: str) -> int:
        """The maximum number of these events in any window of one second."""
        times = sorted(t for event in events for t in self.event_times[event])
        return max((sum(t <= u < t + 1.0 for u in times) for t in times), default=0)


__all__ = [
    "CLASSES",
    "ClientWorld",
    "Connections",
    "AttemptEnd",
    "Health",
    "AttemptResult",
    "Retry",
    "Routing",
    "Settings",
    "listing",
    "settings",
]
