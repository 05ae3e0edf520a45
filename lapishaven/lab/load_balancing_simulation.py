"""Frontends before a tier of processes in simulated time: the real ``LoadBalancer``, plain policies, and an oracle.

A process works on ``slots`` requests at one time, in their order, each for its work over the process's speed. A
frontend gets Poisson arrivals and chooses a process for each. A message takes ``ONE_WAY_S``. The same seed gives every
policy the same arrivals and works.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random
from typing import Any

from lapishaven.load_balancing import AttemptOutcome, BalancingRules, Choice, LoadBalancer, LoadReport
from lapishaven.load_balancing.endpoint_cost import queueing_cost
from lapishaven.load_balancing.load_reporter import FAILURE_SMOOTHING

ONE_WAY_S = 0.0004
CONNECT_TIMEOUT_S = 1.0
COLD_FROM, COLD_SPAN = 0.24, 10.0
NEVER = 1e6  # s, for a call that was not served
RETRY_AFTER_S = 0.5
MAX_LOAD_PER_SLOT = 4.0  # from which a process rejects
NOT_IDEMPOTENT_PART = 0.16  # of all requests
POLICIES = ("random", "round robin", "own least", "two choices", "idle first", "ours", "oracle")


@dataclass(slots=True)
class SimulatedRequest:
    """``work``: s that it takes at speed 1. ``retries`` grows with each attempt, which tells late events of earlier
    ones apart."""

    front: Frontend
    work: float
    arrived_at: float
    sent_at: float = 0.0
    process: Process | None = None
    retries: int = 0
    idempotent: bool = True
    finished: bool = False
    excluded: frozenset[str] = frozenset()


@dataclass(slots=True, eq=False)
class Process:
    """A simulated endpoint, and the faults that it has."""

    name: str
    slots: int
    speed: float
    incarnation: int
    started_at: float = float("-inf")  # last start with slow start
    waiting: deque[SimulatedRequest] = field(default_factory=deque)
    running: dict[int, SimulatedRequest] = field(default_factory=dict)
    stopped: list[Callable[[], None]] | None = None  # what it does when it goes on; None while it is not stopped
    dead: bool = False
    cold: bool = False
    factor: float = 1.0
    fails: str = ""  # "error" or "refuse": how it ends requests at once; empty for no fault
    reported_in_flight: float | None = None  # what it reports instead of the truth
    report_sequence: int = 0
    in_transit: int = 0  # on their way to it, which only the oracle sees
    failing: float = 0.0  # part of its runs that fail, as it reports
    arrivals: list[float] = field(default_factory=list)

    @property
    def in_flight(self) -> int:
        """Requests that it has, queued or running."""
        return len(self.waiting) + len(self.running)

    def warm_up_factor(self, now: float) -> float:
        """Its speed over that of a warm process; it asks for this share of requests too."""
        return min(1.0, COLD_FROM + (1 - COLD_FROM) * (now - self.started_at) / COLD_SPAN)

    def report(self, now: float) -> LoadReport:
        """Its next load report."""
        self.report_sequence += 1
        in_flight = self.in_flight if self.reported_in_flight is None else int(self.reported_in_flight)
        return LoadReport(
            self.incarnation,
            self.report_sequence,
            in_flight,
            float(in_flight),
            self.slots,
            self.speed * self.warm_up_factor(now),
            self.warm_up_factor(now) * (1 - self.failing),
        )


class Frontend:
    """Where requests come in; it chooses by the simulation's policy."""

    def __init__(self, sim: Simulation, number: int, rate: float, random: Random) -> None:
        self.sim, self.number, self.rate = sim, number, rate
        self.random = random
        self.turn = random.randrange(1 << 20)
        self.own: Counter[str] = Counter()
        self.idle: deque[Process] = deque()  # idle first: those that reported here
        self.balancer: LoadBalancer | None = None
        self.restart()

    def restart(self) -> None:
        """Another incarnation, which knows nothing."""
        self._check_at = float("inf")
        self.own.clear()
        if self.sim.policy == "ours":
            self.balancer = LoadBalancer(self.sim.rules, self.random)
            self.balancer.set_endpoints(self.sim.names)

    def dispatch(self, job: SimulatedRequest) -> None:
        """Choose a process for a request, and send it there."""
        sim, balancer = self.sim, self.balancer
        if balancer is None:
            return sim.send(job, self.choose_without_balancer(job))
        choice = balancer.begin_choice(sim.now, job.excluded, job.retries == 0)
        for probe in choice.probes:
            sim.choices[choice] = job
            sim.send_probe(self, probe.probe_id, probe.endpoint)
        if choice.probes:
            sim.at(choice.deadline, lambda: self.finish_choice(job, choice))
        else:
            self.finish_choice(job, choice)
        self.schedule_check()

    def finish_choice(self, job: SimulatedRequest, choice: Choice) -> None:
        """Every probe is answered, or the choice's deadline came."""
        self.sim.choices.pop(choice, None)
        if choice.decided or job.finished:
            return
        assert self.balancer is not None
        name = self.balancer.finish_choice(self.sim.now, choice)
        if name is None:
            return self.sim.finish(job, False)
        self.sim.send(job, self.sim.processes[name])
        self.schedule_check()

    def receive_answer(self, probe_id: int, report: LoadReport) -> None:
        """The answer to a probe."""
        assert self.balancer is not None
        choice = self.balancer.receive_probe_answer(self.sim.now, probe_id, report)
        if choice is not None and (job := self.sim.choices.get(choice)) is not None:
            self.finish_choice(job, choice)

    def schedule_check(self) -> None:
        """Check for unresponsive processes when the balancer asks for it."""
        assert self.balancer is not None
        when = self.balancer.next_check_at()
        if when < self._check_at:
            self._check_at = when
            self.sim.at(when, self.check)

    def check(self) -> None:
        """Probe, and retry the idempotent requests of processes that became unresponsive."""
        sim, balancer = self.sim, self.balancer
        assert balancer is not None
        self._check_at = float("inf")
        probes, newly_suspected = balancer.check_responsiveness(sim.now)
        for probe in probes:
            sim.send_probe(self, probe.probe_id, probe.endpoint)
        for name in newly_suspected:
            for job in [j for j in sim.out.get((self.number, name), ()) if j.idempotent]:
                if balancer.retry_budget.try_withdraw(sim.now):
                    sim.give_up(job)
                    job.excluded |= {name}
                    job.retries += 1
                    sim.counts["second tries"] += 1
                    self.dispatch(job)
        self.schedule_check()

    def choose_without_balancer(self, job: SimulatedRequest) -> Process:
        """The choice of the plain policies and the oracle."""
        sim, own, random = self.sim, self.own, self.random
        there = [p for p in sim.listed if p.name not in job.excluded] if job.excluded else sim.listed
        if sim.policy == "oracle":
            return min(there, key=sim.true_cost)
        if sim.policy == "random":
            return random.choice(there)
        if sim.policy == "round robin":
            self.turn += 1
            return there[self.turn % len(there)]
        if sim.policy == "own least":
            least = min(own[p.name] for p in random.sample(there, min(len(there), 32)))
            return random.choice([p for p in there if own[p.name] <= least] or there)
        if sim.policy == "idle first":
            while self.idle:
                process = self.idle.popleft()
                if not process.dead and process.name not in job.excluded:
                    return process
            return random.choice(there)
        one, two = random.sample(there, 2)
        return one if (own[one.name], random.random()) < (own[two.name], random.random()) else two


class Simulation:
    """Parameters:
    policy: one of ``POLICIES``.
    fronts: how many frontends there are.
    speeds: one for each process.
    load: of the capacity.
    slots: of each process.
    work: s of a typical request at speed 1.
    late: s by which the answers to probes are late.
    differ: the largest rate of a frontend over the least.
    aim: s within which a request counts as on time.
    """

    def __init__(
        self,
        policy: str,
        fronts: int,
        speeds: Sequence[float],
        load: float,
        seed: int,
        *,
        slots: int = 4,
        work: float = 0.3,
        rules: BalancingRules | None = None,
        late: float = 0.0,
        differ: float = 1.0,
        aim: float = 1.5,
    ) -> None:
        self.policy = policy
        self.rules = rules or BalancingRules()
        self.seed = seed
        self.now = 0.0
        self.work = work
        self.late = late
        self.latency_objective_s = aim
        self.random = Random(seed * 7 + 1)
        self.arrivals = Random(seed)
        self.processes = {f"p{n}": Process(f"p{n}", slots, speed, seed * 100_000 + n) for n, speed in enumerate(speeds)}
        self.names = list(self.processes)
        self.listed = list(self.processes.values())
        self.capacity = slots * sum(speeds)
        self.rate = load * self.capacity / work
        parts = [differ ** self.arrivals.random() for _ in range(fronts)]
        self.fronts = [
            Frontend(self, n, self.rate * part / sum(parts), Random(f"{seed}/{n}")) for n, part in enumerate(parts)
        ]
        self.weights = parts
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0
        self.choices: dict[Choice, SimulatedRequest] = {}
        self.cut: set[tuple[int, str]] = set()  # frontends and processes without a network between them
        self.out: dict[tuple[int, str], list[SimulatedRequest]] = {}
        self.counts: Counter[str] = Counter()
        self.spans: list[tuple[float, float, float]] = []  # arrival, duration, whether served
        self._waits = 0
        self._since = 0.0
        self.idle = 0.0
        self._empty = len(self.processes)
        self.measured_from = 0.0

    # ---- Time
    def at(self, when: float, what: Callable[[], None]) -> None:
        """Call ``what`` at a time."""
        self._order += 1
        heappush(self._heap, (when, self._order, what))

    def run(self, seconds: float) -> None:
        """Simulate until a time."""
        self._arrive()
        while self._heap and self._heap[0][0] <= seconds:
            self.now, _, what = heappop(self._heap)
            what()
        self.now = seconds

    def _arrive(self) -> None:
        front = self.arrivals.choices(self.fronts, self.weights)[0]
        work = self.arrivals.uniform(0.5, 1.5) * self.work
        idempotent = self.arrivals.random() > NOT_IDEMPOTENT_PART
        job = SimulatedRequest(front, work, self.now, idempotent=idempotent)
        self.at(self.now + self.arrivals.expovariate(self.rate), self._arrive)
        self.counts["arrivals"] += 1
        front.dispatch(job)

    # ---- Messages
    def send_probe(self, front: Frontend, id: int, name: str) -> None:
        """Send a frontend's probe to a process, which answers it unless it is stopped, dead or cut off."""
        process = self.processes[name]
        assert front.balancer is not None
        self.counts["probes"] += 1

        def answer() -> None:
            if process.dead or (front.number, name) in self.cut:
                return
            if process.stopped is not None:
                process.stopped.append(answer)
                return
            report = process.report(self.now)
            self.at(self.now + ONE_WAY_S + self.late, lambda: front.receive_answer(id, report))

        self.at(self.now + ONE_WAY_S, answer)

    def send(self, job: SimulatedRequest, process: Process) -> None:
        """Send a request to a process."""
        job.process, job.sent_at = process, self.now
        process.in_transit += 1
        front = job.front
        front.own[process.name] += 1
        if front.balancer is not None:
            front.balancer.attempt_started(self.now, process.name)
        self.out.setdefault((front.number, process.name), []).append(job)
        tries = job.retries  # as it is now: one that is given up on its way is not to arrive as the next try
        self.at(self.now + ONE_WAY_S, lambda: self._reach(job, process, tries))

    def _account(self) -> None:
        if self._waits and self.now > self.measured_from:
            span = self.now - max(self._since, self.measured_from)
            self.idle += span * self._empty
        self._since = self.now

    def _count(self, process: Process, sign: int) -> None:
        if not process.dead and process.stopped is None and not process.fails:
            self._waits += sign * bool(process.waiting)
            self._empty += sign * (process.in_flight == 0 and not process.cold)

    def _reach(self, job: SimulatedRequest, process: Process, tries: int) -> None:
        process.in_transit -= 1
        self._reached(job, process, tries)

    def _reached(self, job: SimulatedRequest, process: Process, tries: int) -> None:
        if job.retries != tries or job.finished:
            return
        if (job.front.number, process.name) in self.cut:
            return self.at(
                self.now + CONNECT_TIMEOUT_S,
                lambda: self._back(job, process, AttemptOutcome.UNREACHABLE, None, tries, job.sent_at),
            )
        if process.dead:
            return self._answer(job, process, AttemptOutcome.UNREACHABLE, None)
        if process.stopped is not None:
            process.stopped.append(lambda: self._reached(job, process, tries))
            return
        process.arrivals.append(self.now)
        if process.fails or process.in_flight >= MAX_LOAD_PER_SLOT * process.slots:
            outcome = AttemptOutcome.FAILED if process.fails == "error" else AttemptOutcome.REJECTED
            if outcome is AttemptOutcome.FAILED:
                process.failing += FAILURE_SMOOTHING * (1 - process.failing)
            return self._answer(job, process, outcome, process.report(self.now))
        self._account()
        self._count(process, -1)
        process.waiting.append(job)
        self._work(process)
        self._count(process, 1)

    def _work(self, process: Process) -> None:
        while process.waiting and len(process.running) < process.slots:
            job = process.waiting.popleft()
            process.running[id(job)] = job
            span = job.work / (process.speed * process.factor * process.warm_up_factor(self.now))
            self.at(self.now + span, lambda job=job, tries=job.retries: self._done(job, process, tries))  # type: ignore[misc]

    def _done(self, job: SimulatedRequest, process: Process, tries: int) -> None:
        if process.running.get(id(job)) is not job or job.retries != tries:
            return
        if process.stopped is not None:
            process.stopped.append(lambda: self._done(job, process, tries))
            return
        self._account()
        self._count(process, -1)
        del process.running[id(job)]
        self._work(process)
        self._count(process, 1)
        if self.policy == "idle first" and process.in_flight < process.slots:
            self.random.choice(self.fronts).idle.append(process)
        self._answer(job, process, AttemptOutcome.SERVED, process.report(self.now))

    def _answer(
        self, job: SimulatedRequest, process: Process, outcome: AttemptOutcome, report: LoadReport | None
    ) -> None:
        tries, sent = job.retries, job.sent_at
        self.at(self.now + ONE_WAY_S, lambda: self._back(job, process, outcome, report, tries, sent))

    def _back(
        self,
        job: SimulatedRequest,
        process: Process,
        outcome: AttemptOutcome,
        report: LoadReport | None,
        tries: int,
        sent: float,
    ) -> None:
        if job.finished or job.retries != tries:
            return
        self._let_go(job, process, outcome, sent)
        front = job.front
        if front.balancer is not None and report is not None:
            front.balancer.receive_response_report(self.now, process.name, None if self.late else report)
        again = outcome in (AttemptOutcome.REJECTED, AttemptOutcome.UNREACHABLE) and job.retries < 3
        if again and (front.balancer is None or front.balancer.retry_budget.try_withdraw(self.now)):
            job.retries += 1
            job.excluded |= {process.name}
            self.counts["second tries"] += 1
            return front.dispatch(job)
        self.finish(job, outcome is AttemptOutcome.SERVED)

    def _let_go(self, job: SimulatedRequest, process: Process, outcome: AttemptOutcome, sent: float) -> None:
        front = job.front
        front.own[process.name] -= 1
        self.out[front.number, process.name].remove(job)
        if front.balancer is not None:
            front.balancer.attempt_ended(
                self.now, process.name, sent, outcome, RETRY_AFTER_S if outcome is AttemptOutcome.REJECTED else 0.0
            )

    def give_up(self, job: SimulatedRequest) -> None:
        """The frontend closes the connection: the request is removed from the queue or cancelled."""
        process = job.process
        assert process is not None
        self._let_go(job, process, AttemptOutcome.ABANDONED, job.sent_at)
        self._account()
        self._count(process, -1)
        if job in process.waiting:
            process.waiting.remove(job)
        if process.running.pop(id(job), None) is not None and process.stopped is None:
            self._work(process)
        self._count(process, 1)

    def finish(self, job: SimulatedRequest, served: bool) -> None:
        """The request is over."""
        job.finished = True
        if job.arrived_at >= self.measured_from:
            self.spans.append((job.arrived_at, self.now - job.arrived_at, float(served)))

    # ---- Faults
    def stop(self, name: str) -> None:
        """Stop a process (SIGSTOP)."""
        process = self.processes[name]
        self._account()
        self._count(process, -1)
        process.stopped = []

    def wake(self, name: str) -> None:
        """Have a stopped process go on."""
        process = self.processes[name]
        todo, process.stopped = process.stopped or [], None
        self._account()
        self._work(process)
        self._count(process, 1)
        for what in todo:
            what()

    def break_down(self, name: str, how: str) -> None:
        """From now on it fails ("error") or rejects ("refuse") at once; what it has is finished."""
        self._account()
        self._count(self.processes[name], -1)
        self.processes[name].fails = how

    def kill(self, name: str) -> None:
        """Kill a process; what it has fails."""
        process = self.processes[name]
        self._account()
        self._count(process, -1)
        process.dead = True
        for job in [*process.waiting, *process.running.values()]:
            self._answer(job, process, AttemptOutcome.FAILED, None)
        process.waiting.clear()
        process.running.clear()

    def start(self, name: str) -> None:
        """Restart a process as another incarnation, in slow start."""
        process = self.processes[name]
        process.dead, process.started_at, process.incarnation = False, self.now, process.incarnation + 50_000
        process.cold = True
        self._account()
        self._count(process, 1)
        self.at(self.now + COLD_SPAN, lambda start=process.incarnation: self._warmed(process, start))  # type: ignore[misc]

    def _warmed(self, process: Process, start: int) -> None:
        if process.incarnation == start and not process.dead:
            self._account()
            self._count(process, -1)
            process.cold = False
            self._count(process, 1)

    # ---- The oracle and the figures
    def true_cost(self, process: Process) -> float:
        """The cost of one more request, by what only the oracle knows."""
        if process.dead or process.stopped is not None or process.fails:
            return float("inf")
        speed = process.speed * process.factor * process.warm_up_factor(self.now)
        return queueing_cost(process.in_flight + process.in_transit, process.slots, speed)

    def busiest(self, window: float = 1.0) -> float:
        """The mean over windows of the largest share of arrivals for its speed, where an even share is 1."""
        counts: dict[int, Counter[str]] = {}
        for process in self.listed:
            for when in process.arrivals:
                if when >= self.measured_from:
                    counts.setdefault(int(when / window), Counter())[process.name] += 1
        tops = []
        for _, found in sorted(counts.items())[:-1]:
            total = sum(found.values())
            if total >= 2 * len(self.listed):
                speeds = sum(p.speed for p in self.listed)
                tops.append(max(found[p.name] / p.speed for p in self.listed) / (total / speeds))
        return sum(tops) / len(tops) if tops else 0.0

    def figures(self) -> dict[str, Any]:
        """The results, by the names of the benchmark's columns."""
        spans = sorted(span if served else NEVER for _, span, served in self.spans)
        span = self.now - self.measured_from

        def p(part: float) -> float:
            return round(spans[min(len(spans) - 1, int(part * len(spans)))], 4)

        return {
            "policy": self.policy,
            "calls": len(spans),
            "p50": p(0.5),
            "p99": p(0.99),
            "on_time": round(sum(s <= self.latency_objective_s for s in spans) / len(spans), 4),
            "busiest": round(self.busiest(), 3),
            "idle": round(self.idle / (span * len(self.listed)), 5),
            "probes": round(self.counts["probes"] / self.counts["arrivals"], 2),
            "tries": round(1 + self.counts["second tries"] / self.counts["arrivals"], 3),
        }
