"""A test double for the driver, servers and clock around the client's policy.

Nothing sleeps and no socket is opened. Every action is checked: no attempt past the deadline, every retry marked, at
most 32 requests in flight on a connection.
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
from lapishaven.proto.catalog import Listed, Listing

CLASSES = {
    "fuzzy-match": ClassRule(5.6, "safe", 0.3),
    "approve-commit": ClassRule(3.8, "once", 0.2),
}


def settings(servers: int = 4, **changes: Any) -> Settings:
    """A fixed list of ``servers``, each kept connected (a window of all of them), unless ``changes`` say else."""
    names = tuple(f"10.0.0.{n + 1}:80" for n in range(servers))
    # Moves spread over a millisecond: the tests of the spread set their own.
    changes.setdefault("connections", Connections(least=max(2, servers), spread_s=0.001, spread_least_s=0.001))
    if changes.get("catalog"):
        names = ()
    return check(replace(Settings(CLASSES, servers=names), **changes))


def listing(version: int, *names: str, epoch: str = "e", critical: tuple[str, ...] = ()) -> Listing:
    return Listing(epoch, version, tuple(Listed(n, "10.0.0.1", 1000 + int(n[1:]), n not in critical) for n in names))


class ClientWorld:
    """Time is set by hand; servers are known by name."""

    def __init__(self, given: Settings | None = None, seed: int = 1) -> None:
        self.now = 0.0
        self.policy = Policy(given or settings(), Random(seed), 0.0)
        self.dials: list[Connection] = []  # dials in progress
        self.dialled: list[Connection] = []  # every dial that was made
        self.sent: list[Attempt] = []
        self.withdrawn: list[Attempt] = []
        self.probes: list[Endpoint] = []
        self.outcomes: dict[int, Outcome] = {}
        self.at: dict[str, list[float]] = {"dial": [], "try": []}
        self.dead: set[str] = set()  # servers that refuse connections
        self.closed: list[Connection] = []
        self.silent: set[str] = set()  # stopped servers: their kernel accepts everything, nothing is answered
        self.act()

    def act(self) -> None:
        while actions := self.policy.take_actions():
            for action in actions:
                if isinstance(action, OpenConnection):
                    self.dials.append(action.connection)
                    self.dialled.append(action.connection)
                    self.at["dial"].append(self.now)
                elif isinstance(action, SendRequest):
                    self.check(action.connection, action.attempt)
                elif isinstance(action, CancelRequest):
                    self.withdrawn.append(action.attempt)
                elif isinstance(action, CheckHealth):
                    self.probes.append(action.endpoint)
                elif isinstance(action, SendProbe):
                    if action.connection.endpoint.name not in self.silent:
                        self.policy.probe_answered(self.now, action.connection)
                elif isinstance(action, CloseConnection):
                    self.closed.append(action.connection)
                elif isinstance(action, CompleteCall):
                    assert action.call.number not in self.outcomes, "two outcomes for one call"
                    self.outcomes[action.call.number] = action.outcome

    def check(self, connection: Connection, attempt: Attempt) -> None:
        call = attempt.call
        assert self.now < call.deadline, "an attempt after the deadline"
        earlier = [each for each in self.sent if each.call is call]
        assert attempt.is_retry == bool(earlier), "a retry that is not marked, or a first attempt that is"
        assert all(each.request_id != attempt.request_id for each in earlier), "two attempts under one request id"
        assert len(connection.in_flight) <= 32, "more requests in flight than the protocol allows"
        self.sent.append(attempt)
        self.at["try"].append(self.now)

    def connect(self) -> None:
        """Complete every dial in progress; it fails where the server is dead."""
        while self.dials:
            connection = self.dials.pop(0)
            if connection.endpoint.name in self.dead:
                self.policy.dial_failed(self.now, connection)
            else:
                self.policy.connected(self.now, connection)
            self.act()

    def go(self, span: float, connect: bool = True) -> None:
        """Let time pass; dials complete at once unless ``connect`` is False."""
        until = self.now + span
        while True:
            if connect:
                self.connect()
            when = self.policy.next_timer_at()
            if when is None or when > until:
                break
            self.now = max(self.now, when)
            self.policy.run_timers(self.now)
            self.act()
        self.now = until

    def call(self, cls: str = "fuzzy-match", **options: Any) -> Call:
        call = self.policy.submit(self.now, cls, b"body", **options)
        self.act()
        return call

    def reply(self, attempt: Attempt, ending: AttemptEnd = AttemptEnd.SERVED, **fields: Any) -> None:
        body = b"done" if ending is AttemptEnd.SERVED else b""
        self.policy.response_received(self.now, attempt.connection, attempt.id, AttemptResult(ending, body, **fields))
        self.act()

    def cut(self, connection: Connection, clean: bool = True) -> None:
        self.policy.closed(self.now, connection, clean)
        self.act()

    def kill(self, name: str) -> None:
        self.dead.add(name)
        for connection in list(self.policy.endpoints[name].connections):
            self.cut(connection)

    def serve_all(self, span: float = 0.0) -> None:
        """Serve every attempt in flight."""
        self.now += span
        for attempt in [a for c in self.policy.table.open_connections() for a in list(c.in_flight.values())]:
            if attempt.sent_at is not None:
                self.reply(attempt)

    def outcome(self, call: Call) -> Any:
        return self.outcomes.get(call.number)

    def ends(self) -> Counter[str]:
        return Counter(type(outcome).__name__ for outcome in self.outcomes.values())

    def worst_second(self, *kinds: str) -> int:
        """The most of these events in any window of one second."""
        times = sorted(t for kind in kinds for t in self.at[kind])
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
