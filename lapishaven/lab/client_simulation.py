"""The client's policy in simulated time: thousands of clients and a thousand servers in one process.

The policy is that of real clients. The servers are a simple model: cores that serve a FIFO queue, and a rejection with
Retry-After where the queue is too long for the latency objective. The simulation therefore shows how retry and
reconnect storms grow with the size of the fleet, and says nothing about the admission decisions of a match server.

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

ONE_WAY_DELAY_S = 0.0005
RETRY_AFTER_S = 0.2  # of a rejection
CATALOG_LAG_S = 1.5
REPORT_TTL_S = 3.0  # until the list omits a server that died
DRAIN_S = 3.2  # from the announcement of a graceful shutdown to its end
BOOT_S = 0.4  # from the end of a process until its successor accepts connections
LATE_WORTH = 0.2  # share of a class's worth for a result after its latency objective
NAIVE_REDIAL_S = 0.1
NAIVE_RETRY_S = 0.002
NAIVE_MIN_TIME_S = 0.05  # the naive client does not retry with less time than this before the deadline


@dataclass(frozen=True, slots=True)
class Spec:
    """What to simulate.

    ``seconds``: the duration of the measured load. ``load``: as a share of the servers' capacity. ``script``: faults,
    as for ``lapishaven lab fleet --script``. ``naive``: the baseline ``NaivePolicy`` in place of ``Policy``.
    ``settle``: seconds of load before the measurement starts, as clients connect over some seconds.
    ``together``: all clients make their first call within the same second.
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

    ``client``: the client's index. ``class_index``: that of its class of requests. ``work_s``: in seconds of a standard
    core. ``entry`` and ``submitted_at`` are set by the emulator: the Broker's entry of the request, and the time of its
    submission.
    """

    attempt: Attempt
    client: int
    class_index: int
    work_s: float
    entry: Any = None
    submitted_at: float = 0.0


@dataclass(slots=True)
class Server:
    """One server of the model.

    ``cold_since``: when it started; None if it is warmed up. ``factor``: applied to the speed by a fault. ``busy``: the
    cores in use. ``queued_work_s``: the work in ``queue``, in seconds of a standard core. ``connections``: as (client's
    index, connection). ``stopped_at``: when it last stopped.
    """

    name: str
    cores: int
    speed: float
    up: bool = True
    draining: bool = False
    cold_since: float | None = None
    factor: float = 1.0
    incarnation: int = 0
    busy: int = 0
    queue: deque[Request] = field(default_factory=deque)
    queued_work_s: float = 0.0
    connections: dict[int, tuple[int, Connection]] = field(default_factory=dict)
    running: set[int] = field(default_factory=set)
    stopped_at: float = 0.0

    def rate(self, now: float) -> float:
        """The speed of one core at ``now``, in standard cores."""
        warm = 1.0
        if self.cold_since is not None:
            warm = min(1.0, 0.24 + 0.76 * (now - self.cold_since) / 17.0)
        return self.speed * self.factor * warm


class Simulation:
    """A discrete-event simulation. The same specification and seed give the same figures."""

    def __init__(self, spec: Spec, settings: Settings | None = None) -> None:
        self.spec, self.random = spec, Random(spec.seed)
        self.kinds: tuple[site.RequestClass, ...] = getattr(self, "kinds", site.CLASSES)
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
        self.rate = spec.load * sum(s.cores * s.speed for s in self.servers.values()) / site.MEAN_WORK_S
        self.listing = self._list(0)
        self.steps = parse(spec.script, list(self.servers), spec.seed)
        base = settings or Settings(site.rules(), catalog="127.0.0.1:1")
        base = replace(base, routing=replace(base.routing, subsetting=spec.subsetting))  # type: ignore[arg-type]
        self.policies: list[Policy] = []
        self._timer_at: list[float] = []
        self._poll_phases: list[float] = []
        self._polls_scheduled: set[int] = set()  # clients with a poll in the event queue
        self._make_clients(base)
        self.connects: list[float] = []
        self.attempts: list[float] = []
        self.offered_worth = self.worth = self.offered_commit_worth = self.commit_worth = 0.0
        self.outcomes: Counter[str] = Counter()
        self.attempts_by_retry: Counter[bool] = Counter()
        self.late_attempts = self.unmarked = self.duplicate_runs = 0
        self.runs: Counter[tuple[int, int]] = Counter()
        self.versions = 0
        self.balance, self.links = 0.0, 0

    def _make_clients(self, base: Settings) -> None:
        spec = self.spec
        policy_type = NaivePolicy if spec.naive else Policy
        for client in range(spec.clients):
            client_settings = replace(base, caller=client, callers=spec.clients)
            policy = policy_type(client_settings, Random(self.random.getrandbits(64)), self.now)
            policy.update_endpoints(self.now, self.listing)
            self.policies.append(policy)
            self._timer_at.append(float("inf"))
            # The offset of its polls within each second. Only polls that find a new list are simulated.
            self._poll_phases.append(self.random.random())

    # ---- The event loop
    def at(self, when: float, callback: Callable[..., None], *args: Any) -> None:
        """Schedule ``callback(*args)`` for a simulated time."""
        self._order += 1
        heappush(self._heap, (when, self._order, callback, args))

    def run(self) -> dict[str, Any]:
        """Run to the end and return the figures."""
        started_at = perf_counter()
        self.at(self.now, self._arrive, 0)
        for step in self.steps:
            self.at(step.at, self._apply_fault, step)
        self.at(self.spec.seconds, self._count_links)
        if self.spec.together:
            for client in range(self.spec.clients):
                self.at(self.now + self.random.random(), self._call, client)
        end_at = self.spec.seconds + 8.0
        while self._heap and self._heap[0][0] <= end_at:
            self.now, _, callback, args = heappop(self._heap)
            self.events += 1
            callback(*args)
        return self._figures(perf_counter() - started_at)

    def _drive(self, client: int) -> None:
        """Execute the actions of a client's policy and schedule its next timer."""
        policy = self.policies[client]
        while actions := policy.take_actions():
            for action in actions:
                self._handlers[type(action)](client, action)
        when = policy.next_timer_at()
        if when is not None and when < self._timer_at[client]:
            self._timer_at[client] = when
            self.at(when, self._run_timers, client, when)

    def _send_request(self, client: int, action: SendRequest) -> None:
        self._sent(client, action.connection, action.attempt)

    def _complete_call(self, client: int, action: CompleteCall) -> None:
        self._finished(client, action.call, action.outcome)

    def _open_connection(self, client: int, action: OpenConnection) -> None:
        self.connects.append(self.now)
        self.at(self.now + ONE_WAY_DELAY_S, self._dial_ended, client, action.connection)

    def _cancel_request(self, client: int, action: CancelRequest) -> None:
        self.at(self.now + ONE_WAY_DELAY_S, self._cancelled, action.connection, action.attempt)

    def _close_connection(self, client: int, action: CloseConnection) -> None:
        server = self.servers.get(action.connection.endpoint.name)
        if server is not None:
            server.connections.pop(action.connection.id * self.spec.clients + client, None)

    def _send_probe(self, client: int, action: SendProbe) -> None:
        if self.servers[action.connection.endpoint.name].up:
            self.at(self.now + 2 * ONE_WAY_DELAY_S, self._probe_answered, client, action.connection)

    def _check_health(self, client: int, action: CheckHealth) -> None:
        up = self.servers[action.endpoint.name].up
        self.at(self.now + ONE_WAY_DELAY_S, self._health_checked, client, action.endpoint, up)

    def _run_timers(self, client: int, when: float) -> None:
        if self._timer_at[client] == when:
            self._timer_at[client] = float("inf")
            self.policies[client].run_timers(self.now)
            self._drive(client)

    def _probe_answered(self, client: int, connection: Connection) -> None:
        self.policies[client].probe_answered(self.now, connection)
        self._drive(client)

    def _health_checked(self, client: int, endpoint: Endpoint, healthy: bool) -> None:
        self.policies[client].health_checked(self.now, endpoint, healthy)
        self._drive(client)

    # ---- Arrivals and outcomes
    def _arrive(self, number: int) -> None:
        active_surges = [s.factor for s in self.steps if s.what == "surge" and s.at <= self.now < s.at + s.duration_s]
        surge = max(active_surges, default=1.0)
        if self.now < self.spec.seconds:
            # One arrival at a random time within each slot, as in trials on sockets.
            self.at(self.now + 1.0 / (self.rate * surge), self._arrive, number + 1)
            self.at(self.now + self.random.random() / (self.rate * surge), self._call)

    def _call(self, client: int | None = None) -> None:
        client = self.random.randrange(self.spec.clients) if client is None else client
        request_class = self._draw_class()
        policy = self.policies[client]
        if self.now >= 0:
            self.offered_worth += request_class.worth
            self.offered_commit_worth += request_class.worth * (not request_class.safe)
        policy.submit(self.now, request_class.name, b"")
        self._drive(client)

    def _draw_class(self) -> site.RequestClass:
        return self.random.choices(self.kinds, [cls.share for cls in self.kinds])[0]

    def _record_call(self, request_class: site.RequestClass, duration_s: float, served: bool) -> None:
        """A hook for subclasses: a call within the measurement has ended."""

    def _finished(self, client: int, call: Call, outcome: Outcome) -> None:
        if call.started_at < 0:
            return
        request_class = next(cls for cls in self.kinds if cls.name == call.class_name)
        self._record_call(request_class, self.now - call.started_at, isinstance(outcome, Served))
        self.outcomes[OUTCOME_NAMES[type(outcome)]] += 1
        duration_s = self.now - call.started_at
        earned = (
            request_class.worth * (1.0 if duration_s <= request_class.objective_s else LATE_WORTH)
            if isinstance(outcome, Served)
            else 0.0
        )
        self.worth += earned
        self.commit_worth += earned * (not request_class.safe)
        if not request_class.safe and not isinstance(outcome, Served | Uncertain):
            self.duplicate_runs += self.runs[client, call.number] > 0  # reported as never run

    # ---- Connections and attempts
    def _dial_ended(self, client: int, connection: Connection) -> None:
        server = self.servers[connection.endpoint.name]
        if server.up:
            self.policies[client].connected(self.now, connection)
            server.connections[connection.id * self.spec.clients + client] = client, connection
            if server.draining:
                self.policies[client].draining(self.now, connection)
        else:
            self.policies[client].dial_failed(self.now, connection)
        self._drive(client)

    def _sent(self, client: int, connection: Connection, attempt: Attempt) -> None:
        call = attempt.call
        self.attempts.append(self.now)
        self.late_attempts += self.now > call.deadline
        self.unmarked += (call.attempts_sent > 1) != attempt.is_retry
        self.attempts_by_retry[attempt.is_retry] += 1
        class_index = next(i for i, cls in enumerate(self.kinds) if cls.name == call.class_name)
        work = self.kinds[class_index].work
        request = Request(attempt, client, class_index, self.random.uniform(work.min_s, work.max_s))
        self.at(self.now + ONE_WAY_DELAY_S, self._received, self.servers[connection.endpoint.name], request)

    def _received(self, server: Server, request: Request) -> None:
        if not server.up or request.attempt.id not in request.attempt.connection.in_flight:
            return
        if server.busy < server.cores:
            return self._start(server, request)
        queue_delay_s = server.queued_work_s / (server.cores * server.rate(self.now))
        request_class = self.kinds[request.class_index]
        if queue_delay_s + request.work_s / server.rate(self.now) > request_class.objective_s:
            reply = AttemptResult(
                AttemptEnd.REJECTED,
                text="load",
                retry_after_s=RETRY_AFTER_S,
                no_retry_elsewhere=self.random.random() < 0.5,
            )
            return self.at(self.now + ONE_WAY_DELAY_S, self._answered, request, reply)
        server.queue.append(request)
        server.queued_work_s += request.work_s

    def _start(self, server: Server, request: Request) -> None:
        server.busy += 1
        if not request.attempt.call.idempotent:
            key = request.client, request.attempt.call.number
            self.runs[key] += 1
            self.duplicate_runs += self.runs[key] > 1
        duration_s = request.work_s / server.rate(self.now)
        self.at(self.now + duration_s, self._run_ended, server, server.incarnation, request)

    def _run_ended(self, server: Server, incarnation: int, request: Request) -> None:
        if server.incarnation != incarnation:
            return
        server.busy -= 1
        self.at(self.now + ONE_WAY_DELAY_S, self._answered, request, AttemptResult(AttemptEnd.SERVED, b""))
        while server.queue and server.busy < server.cores:
            queued = server.queue.popleft()
            server.queued_work_s -= queued.work_s
            if queued.attempt.id in queued.attempt.connection.in_flight:
                self._start(server, queued)

    def _answered(self, request: Request, reply: AttemptResult) -> None:
        connection = request.attempt.connection
        if connection.state.value != "closed":
            self.policies[request.client].response_received(self.now, connection, request.attempt.id, reply)
            self._drive(request.client)

    def _cancelled(self, connection: Connection, attempt: Attempt) -> None:
        """Does nothing: attempts that are no longer in flight are skipped when they reach the head of the queue."""

    # ---- Faults
    def _apply_fault(self, step: Step) -> None:
        for name in step.servers:
            server = self.servers[name]
            if step.what == "kill":
                self._stop_server(server)
                self.at(self.now + REPORT_TTL_S + CATALOG_LAG_S, self._relist)
                self.at(self.now + step.duration_s, self._boot_server, server)
            elif step.what == "drain":
                server.draining = True
                for client, connection in list(server.connections.values()):
                    self.policies[client].draining(self.now, connection)
                    self._drive(client)
                self.at(self.now + CATALOG_LAG_S, self._relist)
                self.at(self.now + DRAIN_S, self._end_drain, server)
            elif step.what == "slow":
                server.factor = step.factor
                self.at(self.now + step.duration_s, setattr, server, "factor", 1.0)

    def _end_drain(self, server: Server) -> None:
        self._stop_server(server)
        self.at(self.now + BOOT_S, self._boot_server, server)

    def _stop_server(self, server: Server) -> None:
        server.up, server.draining, server.stopped_at = False, False, self.now
        server.incarnation += 1
        server.busy, server.queued_work_s = 0, 0.0
        server.queue.clear()
        connections, server.connections = server.connections, {}
        for client, connection in connections.values():
            self.policies[client].closed(self.now, connection, True)
            self._drive(client)

    def _boot_server(self, server: Server) -> None:
        server.up, server.cold_since = True, self.now
        self.at(self.now + CATALOG_LAG_S, self._relist)

    def _list(self, version: int) -> ServerList:
        rows = tuple(
            ListedServer(s.name, "127.0.0.1", 1 + index, self._passing(s))
            for index, s in enumerate(self.servers.values())
            if s.up or self.now - s.stopped_at < REPORT_TTL_S
        )
        return ServerList("sim", version, rows)

    def _passing(self, server: Any) -> bool:
        return not server.draining

    def _relist(self) -> None:
        new_listing = self._list(self.versions + 1)
        if new_listing.servers != self.listing.servers:
            self.versions += 1
            self.listing = new_listing
            if self.now < self.spec.seconds:
                for client, phase in enumerate(self._poll_phases):
                    if client not in self._polls_scheduled:
                        self._polls_scheduled.add(client)
                        self.at(self.now + (phase - self.now) % 1.0, self._poll, client)

    def _poll(self, client: int) -> None:
        self._polls_scheduled.discard(client)
        policy = self.policies[client]
        if policy.membership.version != self.listing.version:
            policy.update_endpoints(self.now, self.listing)
            self._drive(client)

    # ---- Figures
    def _count_links(self) -> None:
        """Measure how evenly connections are spread over the servers.

        Called at the end of the load, before idle connections close.
        """
        counts = [len(server.connections) for server in self.servers.values() if server.up]
        mean = sum(counts) / max(1, len(counts))
        self.balance = round(max(counts, default=0) / mean, 3) if mean else 0.0
        self.links = sum(counts)

    def _figures(self, wall_s: float) -> dict[str, Any]:
        end_at = self.spec.seconds
        load = [at for at in self.connects + self.attempts if 0.0 <= at < end_at]
        surge = max((s.factor for s in self.steps if s.what == "surge"), default=1.0)
        return {
            "spec": asdict(self.spec),
            "rate": round(self.rate, 1),
            "outcomes": dict(self.outcomes),
            "worth": round(self.worth / max(self.offered_worth, 1e-9), 4),
            "commit_worth": round(self.commit_worth / max(self.offered_commit_worth, 1e-9), 4),
            "dials": len(self.connects),
            "busiest_dials": most_in_a_second(self.connects, -self.spec.settle, end_at),
            "busiest": most_in_a_second(load, 0.0, end_at),
            "storm": round(most_in_a_second(load, 0.0, end_at) / (self.rate * surge), 3),
            "storm_connects": round(most_in_a_second(self.connects, 0.0, end_at) / (self.rate * surge), 3),
            "tries_per_call": round(sum(self.attempts_by_retry.values()) / max(1, self.attempts_by_retry[False]), 3),
            "late_tries": self.late_attempts,
            "unmarked": self.unmarked,
            "commits_twice": self.duplicate_runs,
            "balance": self.balance,
            "links": self.links,
            "events": self.events,
            "events_per_s": round(self.events / wall_s),
            "wall_s": round(wall_s, 2),
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
    """The baseline: the same client without retry budget, backoff, jitter and dial budget."""

    dialer_type = NaiveDialer
    results_type = NaiveResults


def main(spec: Spec) -> dict[str, Any]:
    """Run one simulation and return its figures."""
    return Simulation(spec).run()


if __name__ == "__main__":
    import json
    import sys

    print(json.dumps(main(Spec(**json.loads(sys.argv[1])))))
