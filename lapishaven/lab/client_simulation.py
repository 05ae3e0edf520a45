"""The client's policy in simulated time: thousands of clients and a thousand servers in one process.

The policy is the one that real clients run; the servers are a plain model (cores that work off a queue in order, and a
rejection with Retry-After where the queue is too long for the latency objective). So it tells how retry and reconnect
storms grow with the fleet, not how well a match server decides.

``python -m lapishaven.lab.client_simulation JSON`` runs one ``Spec`` and prints its figures as JSON.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import asdict, dataclass, field, replace
from heapq import heappop, heappush
from random import Random
from time import perf_counter
from typing import Any

from lapishaven.client.actions import (
    Action,
    CancelRequest,
    CheckHealth,
    CloseConnection,
    CompleteCall,
    OpenConnection,
    SendProbe,
    SendRequest,
)
from lapishaven.client.calls.attempt_results import AttemptResults
from lapishaven.client.connections.dialer import Dialer
from lapishaven.client.model import Attempt, Call, CallState, Connection, Endpoint
from lapishaven.client.outcomes import OUTCOME_NAMES, AttemptEnd, AttemptResult, Outcome, Served, Uncertain
from lapishaven.client.policy import Policy
from lapishaven.client.settings import Settings
from lapishaven.lab import site
from lapishaven.lab.script import Step, parse
from lapishaven.lab.wiretap import most_in_a_second
from lapishaven.proto.catalog import ListedServer, ServerList

HOP = 0.0005  # s one way
ADVICE = 0.2  # s: Retry-After of a rejection
CATALOG_LAG = 1.5  # s
EXPIRY = 3.0  # s until the list leaves out a server that died
DRAIN = 3.2  # s from the announcement of a graceful shutdown to its end
BOOT = 0.4  # s for a successor to come up
LATE_WORTH = 0.2
NAIVE_REDIAL_S = 0.1
NAIVE_RETRY_S = 0.002
NAIVE_MIN_TIME_S = 0.05  # before the deadline, below which the naive client does not retry


@dataclass(frozen=True, slots=True)
class Spec:
    """What to simulate.

    ``seconds``: of load that count. ``load``: as a share of the servers' capacity. ``script``: faults, as for
    ``lapishaven lab fleet --script``. ``naive``: the baseline ``NaivePolicy`` in place of ``Policy``.
    ``settle``: seconds before what counts, as clients make their connections over some seconds.
    ``together``: all clients start, with a call, in the same second.
    ``subsetting``: as ``settings.Routing.subsetting``.
    """

    servers: int = 10
    clients: int = 100
    seconds: float = 20.0
    load: float = 0.42
    script: str = ""
    seed: int = 1
    naive: bool = False
    settle: float = 12.0
    together: bool = False
    subsetting: str = "aperture"


@dataclass(slots=True)
class Request:
    """An attempt on its server.

    ``client``: the client's index. ``cls``: the index of its class of work. ``work``: in seconds of a standard core.
    ``entry``: the emulator's request table entry. ``at``: when the emulator's server had read it.
    """

    attempt: Attempt
    client: int
    cls: int
    work: float
    entry: Any = None
    at: float = 0.0


@dataclass(slots=True)
class Server:
    """One server of the model.

    ``cold_since``: when it started; None if it is warmed up. ``factor``: of a fault that slows it down.
    ``life``: its incarnation. ``busy``: cores at work. ``line``: the queue; ``waits``: the work in it, in seconds of
    a standard core. ``links``: connections, as (client's index, connection). ``gone_at``: when it last stopped.
    """

    name: str
    cores: int
    speed: float
    up: bool = True
    draining: bool = False
    cold_since: float | None = None
    factor: float = 1.0
    life: int = 0
    busy: int = 0
    line: deque[Request] = field(default_factory=deque)
    waits: float = 0.0
    links: dict[int, tuple[int, Connection]] = field(default_factory=dict)
    running: set[int] = field(default_factory=set)
    gone_at: float = 0.0

    def rate(self, now: float) -> float:
        """Its speed now, in standard cores, for each of its cores."""
        warm = 1.0
        if self.cold_since is not None:
            warm = min(1.0, 0.24 + 0.76 * (now - self.cold_since) / 17.0)
        return self.speed * self.factor * warm


class Simulation:
    """Events in the order of their times; the same seed gives the same figures."""

    def __init__(self, spec: Spec, settings: Settings | None = None) -> None:
        self.spec, self.random = spec, Random(spec.seed)
        self.kinds: tuple[site.Kind, ...] = getattr(self, "kinds", site.KINDS)
        self.now = -spec.settle
        self.events = 0
        self._handlers: dict[type[Action], Callable[[int, Any], None]] = {
            SendRequest: self._send_request,
            CompleteCall: self._complete_call,
            OpenConnection: self._open_connection,
            CancelRequest: self._cancel_request,
            CloseConnection: self._close_connection,
            SendProbe: self._send_probe,
            CheckHealth: self._check_health,
        }
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = 0
        boxes = [site.box(self.random) for _ in range(spec.servers)]
        self.servers = {f"n{n + 1}": Server(f"n{n + 1}", box.cores, box.speed) for n, box in enumerate(boxes)}
        self.rate = spec.load * sum(s.cores * s.speed for s in self.servers.values()) / site.MEAN_WORK
        self.listing = self._list(0)
        self.steps = parse(spec.script, list(self.servers), spec.seed)
        base = settings or Settings(site.rules(), catalog="127.0.0.1:1")
        base = replace(base, routing=replace(base.routing, subsetting=spec.subsetting))  # type: ignore[arg-type]
        self.policies: list[Policy] = []
        self._planned: list[float] = []
        self._phases: list[float] = []
        self._polls: set[int] = set()  # clients whose next poll is an event
        self._make_clients(base)
        self.connects: list[float] = []
        self.tries: list[float] = []
        self.asked = self.worth = self.commits = self.commit_worth = 0.0
        self.outcomes: Counter[str] = Counter()
        self.first: Counter[bool] = Counter()
        self.late = self.unmarked = self.twice = 0
        self.runs: Counter[tuple[int, int]] = Counter()
        self.versions = 0
        self.balance, self.links = 0.0, 0

    def _make_clients(self, base: Settings) -> None:
        spec = self.spec
        kind = NaivePolicy if spec.naive else Policy
        for n in range(spec.clients):
            own = replace(base, caller=n, callers=spec.clients)
            policy = kind(own, Random(self.random.getrandbits(64)), self.now)
            policy.update_endpoints(self.now, self.listing)
            self.policies.append(policy)
            self._planned.append(float("inf"))
            # When in each second it polls. A poll that finds nothing new changes nothing, so only others are events.
            self._phases.append(self.random.random())

    # ---- The event loop
    def at(self, when: float, then: Callable[..., None], *what: Any) -> None:
        """Call ``then(*what)`` at a simulated time."""
        self._order += 1
        heappush(self._heap, (when, self._order, then, what))

    def run(self) -> dict[str, Any]:
        """Run to the end and return the figures."""
        begun = perf_counter()
        self.at(self.now, self._arrive, 0)
        for step in self.steps:
            self.at(step.at, self._step, step)
        self.at(self.spec.seconds, self._count_links)
        if self.spec.together:
            for n in range(self.spec.clients):
                self.at(self.now + self.random.random(), self._call, n)
        until = self.spec.seconds + 8.0
        while self._heap and self._heap[0][0] <= until:
            self.now, _, then, what = heappop(self._heap)
            self.events += 1
            then(*what)
        return self._figures(perf_counter() - begun)

    def _drive(self, n: int) -> None:
        """Execute what a client's policy wants, and plan its next timer."""
        policy = self.policies[n]
        while actions := policy.take_actions():
            for action in actions:
                self._handlers[type(action)](n, action)
        when = policy.next_timer_at()
        if when is not None and when < self._planned[n]:
            self._planned[n] = when
            self.at(when, self._turn, n, when)

    def _send_request(self, n: int, action: SendRequest) -> None:
        self._sent(n, action.connection, action.attempt)

    def _complete_call(self, n: int, action: CompleteCall) -> None:
        self._finished(n, action.call, action.outcome)

    def _open_connection(self, n: int, action: OpenConnection) -> None:
        self.connects.append(self.now)
        self.at(self.now + HOP, self._dialled, n, action.connection)

    def _cancel_request(self, n: int, action: CancelRequest) -> None:
        self.at(self.now + HOP, self._forgotten, action.connection, action.attempt)

    def _close_connection(self, n: int, action: CloseConnection) -> None:
        server = self.servers.get(action.connection.endpoint.name)
        if server is not None:
            server.links.pop(action.connection.id * self.spec.clients + n, None)

    def _send_probe(self, n: int, action: SendProbe) -> None:
        if self.servers[action.connection.endpoint.name].up:
            self.at(self.now + 2 * HOP, self._probe_answered, n, action.connection)

    def _check_health(self, n: int, action: CheckHealth) -> None:
        up = self.servers[action.endpoint.name].up
        self.at(self.now + HOP, self._health_checked, n, action.endpoint, up)

    def _turn(self, n: int, when: float) -> None:
        if self._planned[n] == when:
            self._planned[n] = float("inf")
            self.policies[n].run_timers(self.now)
            self._drive(n)

    def _probe_answered(self, n: int, connection: Connection) -> None:
        self.policies[n].probe_answered(self.now, connection)
        self._drive(n)

    def _health_checked(self, n: int, endpoint: Endpoint, healthy: bool) -> None:
        self.policies[n].health_checked(self.now, endpoint, healthy)
        self._drive(n)

    # ---- Arrivals and what became of them
    def _arrive(self, number: int) -> None:
        on = [s.factor for s in self.steps if s.what == "surge" and s.at <= self.now < s.at + s.span]
        surge = max(on, default=1.0)
        if self.now < self.spec.seconds:
            # One arrival within each slot, as in trials on sockets.
            self.at(self.now + 1.0 / (self.rate * surge), self._arrive, number + 1)
            self.at(self.now + self.random.random() / (self.rate * surge), self._call)

    def _call(self, client: int | None = None) -> None:
        n = self.random.randrange(self.spec.clients) if client is None else client
        kind = self._kind()
        policy = self.policies[n]
        if self.now >= 0:
            self.asked += kind.worth
            self.commits += kind.worth * (not kind.safe)
        policy.submit(self.now, kind.name, b"")
        self._drive(n)

    def _kind(self) -> site.Kind:
        return self.random.choices(self.kinds, [k.share for k in self.kinds])[0]

    def _note(self, kind: site.Kind, span: float, served: bool) -> None:
        """A call that counts has ended."""

    def _finished(self, n: int, call: Call, outcome: Outcome) -> None:
        if call.started_at < 0:
            return
        kind = next(k for k in self.kinds if k.name == call.class_name)
        self._note(kind, self.now - call.started_at, isinstance(outcome, Served))
        self.outcomes[OUTCOME_NAMES[type(outcome)]] += 1
        span = self.now - call.started_at
        got = kind.worth * (1.0 if span <= kind.aim else LATE_WORTH) if isinstance(outcome, Served) else 0.0
        self.worth += got
        self.commit_worth += got * (not kind.safe)
        if not kind.safe and not isinstance(outcome, Served | Uncertain):
            self.twice += self.runs[n, call.number] > 0  # it was said that it never ran

    # ---- Connections and tries
    def _dialled(self, n: int, connection: Connection) -> None:
        server = self.servers[connection.endpoint.name]
        if server.up:
            self.policies[n].connected(self.now, connection)
            server.links[connection.id * self.spec.clients + n] = n, connection
            if server.draining:
                self.policies[n].draining(self.now, connection)
        else:
            self.policies[n].dial_failed(self.now, connection)
        self._drive(n)

    def _sent(self, n: int, connection: Connection, attempt: Attempt) -> None:
        call = attempt.call
        self.tries.append(self.now)
        self.late += self.now > call.deadline
        self.unmarked += (call.attempts_sent > 1) != attempt.is_retry
        self.first[attempt.is_retry] += 1
        place = next(i for i, k in enumerate(self.kinds) if k.name == call.class_name)
        work = self.kinds[place].work
        request = Request(attempt, n, place, self.random.uniform(work.least, work.most))
        self.at(self.now + HOP, self._read, self.servers[connection.endpoint.name], request)

    def _read(self, server: Server, request: Request) -> None:
        if not server.up or request.attempt.id not in request.attempt.connection.in_flight:
            return
        if server.busy < server.cores:
            return self._start(server, request)
        wait = server.waits / (server.cores * server.rate(self.now))
        kind = self.kinds[request.cls]
        if wait + request.work / server.rate(self.now) > kind.aim:
            reply = AttemptResult(
                AttemptEnd.REJECTED, text="load", retry_after_s=ADVICE, no_retry_elsewhere=self.random.random() < 0.5
            )
            return self.at(self.now + HOP, self._answered, request, reply)
        server.line.append(request)
        server.waits += request.work

    def _start(self, server: Server, request: Request) -> None:
        server.busy += 1
        if not request.attempt.call.idempotent:
            key = request.client, request.attempt.call.number
            self.runs[key] += 1
            self.twice += self.runs[key] > 1
        span = request.work / server.rate(self.now)
        self.at(self.now + span, self._ran, server, server.life, request)

    def _ran(self, server: Server, life: int, request: Request) -> None:
        if server.life != life:
            return
        server.busy -= 1
        self.at(self.now + HOP, self._answered, request, AttemptResult(AttemptEnd.SERVED, b""))
        while server.line and server.busy < server.cores:
            next_one = server.line.popleft()
            server.waits -= next_one.work
            if next_one.attempt.id in next_one.attempt.connection.in_flight:
                self._start(server, next_one)

    def _answered(self, request: Request, reply: AttemptResult) -> None:
        connection = request.attempt.connection
        if connection.state.value != "closed":
            self.policies[request.client].response_received(self.now, connection, request.attempt.id, reply)
            self._drive(request.client)

    def _forgotten(self, connection: Connection, attempt: Attempt) -> None:
        """Nothing: the queue skips attempts that are no longer in flight."""

    # ---- Faults
    def _step(self, step: Step) -> None:
        for name in step.servers:
            server = self.servers[name]
            if step.what == "kill":
                self._down(server)
                self.at(self.now + EXPIRY + CATALOG_LAG, self._relist)
                self.at(self.now + step.span, self._boot, server)
            elif step.what == "drain":
                server.draining = True
                for n, connection in list(server.links.values()):
                    self.policies[n].draining(self.now, connection)
                    self._drive(n)
                self.at(self.now + CATALOG_LAG, self._relist)
                self.at(self.now + DRAIN, self._leave, server)
            elif step.what == "slow":
                server.factor = step.factor
                self.at(self.now + step.span, setattr, server, "factor", 1.0)

    def _leave(self, server: Server) -> None:
        self._down(server)
        self.at(self.now + BOOT, self._boot, server)

    def _down(self, server: Server) -> None:
        server.up, server.draining, server.gone_at = False, False, self.now
        server.life += 1
        server.busy, server.waits = 0, 0.0
        server.line.clear()
        links, server.links = server.links, {}
        for n, connection in links.values():
            self.policies[n].closed(self.now, connection, True)
            self._drive(n)

    def _boot(self, server: Server) -> None:
        server.up, server.cold_since = True, self.now
        self.at(self.now + CATALOG_LAG, self._relist)

    def _list(self, version: int) -> ServerList:
        rows = tuple(
            ListedServer(s.name, "127.0.0.1", 1 + n, self._passing(s))
            for n, s in enumerate(self.servers.values())
            if s.up or self.now - s.gone_at < EXPIRY
        )
        return ServerList("sim", version, rows)

    def _passing(self, server: Any) -> bool:
        return not server.draining

    def _relist(self) -> None:
        fresh = self._list(self.versions + 1)
        if fresh.servers != self.listing.servers:
            self.versions += 1
            self.listing = fresh
            if self.now < self.spec.seconds:
                for n, phase in enumerate(self._phases):
                    if n not in self._polls:
                        self._polls.add(n)
                        self.at(self.now + (phase - self.now) % 1.0, self._poll, n)

    def _poll(self, n: int) -> None:
        self._polls.discard(n)
        policy = self.policies[n]
        if policy.membership.version != self.listing.version:
            policy.update_endpoints(self.now, self.listing)
            self._drive(n)

    # ---- Figures
    def _count_links(self) -> None:
        """Connections by server at the end of the load, before idle ones close: how evenly clients spread."""
        counts = [len(server.links) for server in self.servers.values() if server.up]
        mean = sum(counts) / max(1, len(counts))
        self.balance = round(max(counts, default=0) / mean, 3) if mean else 0.0
        self.links = sum(counts)

    def _figures(self, wall: float) -> dict[str, Any]:
        until = self.spec.seconds
        load = [at for at in self.connects + self.tries if 0.0 <= at < until]
        surge = max((s.factor for s in self.steps if s.what == "surge"), default=1.0)
        return {
            "spec": asdict(self.spec),
            "rate": round(self.rate, 1),
            "outcomes": dict(self.outcomes),
            "worth": round(self.worth / max(self.asked, 1e-9), 4),
            "commit_worth": round(self.commit_worth / max(self.commits, 1e-9), 4),
            "dials": len(self.connects),
            "busiest_dials": most_in_a_second(self.connects, -self.spec.settle, until),
            "busiest": most_in_a_second(load, 0.0, until),
            "storm": round(most_in_a_second(load, 0.0, until) / (self.rate * surge), 3),
            "storm_connects": round(most_in_a_second(self.connects, 0.0, until) / (self.rate * surge), 3),
            "tries_per_call": round(sum(self.first.values()) / max(1, self.first[False]), 3),
            "late_tries": self.late,
            "unmarked": self.unmarked,
            "commits_twice": self.twice,
            "balance": self.balance,
            "links": self.links,
            "events": self.events,
            "events_per_s": round(self.events / wall),
            "wall_s": round(wall, 2),
        }


class NaiveDialer(Dialer):
    """Dials every unconnected endpoint at once and again after a fixed delay, without a budget."""

    def redial_delay(self, now: float, failures: int) -> float:
        """The same short delay after every failed dial."""
        return NAIVE_REDIAL_S

    def ensure_connected(self, now: float) -> None:
        """Dial every endpoint that is not connected."""
        for endpoint in self._table.endpoints.values():
            listed = endpoint.member.listed.passing or self._table.rendezvous_panic
            if endpoint.usable_connections or not listed:
                continue
            if endpoint.next_dial_at <= now:
                self._table.open_connection(now, endpoint, "naive")
            else:
                self.schedule_check(endpoint.next_dial_at)


class NaiveResults(AttemptResults):
    """Retries every attempt that was not served almost at once, commits included, and ignores Retry-After."""

    def attempt_ended(self, now: float, attempt: Attempt, result: AttemptResult) -> None:
        """Schedule a retry, unless the attempt was served or the deadline is near."""
        call = attempt.call
        if result.end is AttemptEnd.SERVED or call.deadline - now < NAIVE_MIN_TIME_S:
            super().attempt_ended(now, attempt, result)
            return
        self._calls.release(now, attempt)
        call.possibly_run -= attempt.sent_at is not None and result.end is not AttemptEnd.LOST
        call.retries += 1
        call.state = CallState.PAUSED
        self._engine.schedule(now + NAIVE_RETRY_S, self.resume, call)


class NaivePolicy(Policy):
    """The baseline: the same client with no retry budget, backoff, jitter or dial budget."""

    dialer_type = NaiveDialer
    results_type = NaiveResults


def main(spec: Spec) -> dict[str, Any]:
    """Run one simulation and return its figures."""
    return Simulation(spec).run()


if __name__ == "__main__":
    import json
    import sys

    print(json.dumps(main(Spec(**json.loads(sys.argv[1])))))
