"""A tier of fronts before a tier of processes in simulated time: the real ``Spread``, plain choosers, and an oracle.

A process works at ``slots`` requests at one time, in their order, each for its work over the process's speed. A front
gets Poisson arrivals and chooses for each. A way takes ``WAY`` seconds. The same seed gives every chooser the same
arrivals and works.
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

WAY = 0.0004  # s
DIAL = 1.0  # s after which a connection that does not come about is given up
COLD_FROM, COLD_SPAN = 0.24, 10.0
NEVER = 1e6  # s, for a call that was not served
PUSHBACK = 0.5  # s
BOUND = 4.0  # requests in hand for a slot at which a process turns away
POLICIES = ("random", "round robin", "own least", "two choices", "idle first", "ours", "oracle")


@dataclass(slots=True)
class Job:
    front: Front
    work: float
    came: float
    sent: float = 0.0
    process: Process | None = None
    tries: int = 0
    safe: bool = True
    over: bool = False
    avoid: frozenset[str] = frozenset()


@dataclass(slots=True, eq=False)
class Process:
    name: str
    slots: int
    speed: float
    start: int
    born: float = float("-inf")  # when it started cold
    waiting: deque[Job] = field(default_factory=deque)
    running: dict[int, Job] = field(default_factory=dict)
    stopped: list[Callable[[], None]] | None = None  # what it does when it wakes
    dead: bool = False
    cold: bool = False
    factor: float = 1.0
    fails: str = ""  # "error" or "refuse": at once
    lie: float | None = None  # what it says it has in hand
    number: int = 0
    coming: int = 0  # on their way to it, which only the oracle sees
    failing: float = 0.0  # as it says of itself
    got: list[float] = field(default_factory=list)

    @property
    def open(self) -> int:
        return len(self.waiting) + len(self.running)

    def warm(self, now: float) -> float:
        return min(1.0, COLD_FROM + (1 - COLD_FROM) * (now - self.born) / COLD_SPAN)

    def news(self, now: float) -> LoadReport:
        self.number += 1
        said = self.open if self.lie is None else int(self.lie)
        return LoadReport(
            self.start,
            self.number,
            said,
            float(said),
            self.slots,
            self.speed * self.warm(now),
            self.warm(now) * (1 - self.failing),
        )


class Front:
    """Where requests come in. ``choose`` by policy."""

    def __init__(self, sim: Sim, number: int, rate: float, random: Random) -> None:
        self.sim, self.number, self.rate = sim, number, rate
        self.random = random
        self.turn = random.randrange(1 << 20)
        self.own: Counter[str] = Counter()
        self.idle: deque[Process] = deque()  # idle first: those that reported here
        self.spread: LoadBalancer | None = None
        self.restart()

    def restart(self) -> None:
        """Another life, which knows nothing."""
        self._woken = float("inf")
        self.own.clear()
        if self.sim.policy == "ours":
            self.spread = LoadBalancer(self.sim.rules, self.random)
            self.spread.set_endpoints(self.sim.names)

    def dispatch(self, job: Job) -> None:
        sim, balancer = self.sim, self.spread
        if balancer is None:
            return sim.send(job, self.plain(job))
        choice = balancer.begin_choice(sim.now, job.avoid, job.tries == 0)
        for probe in choice.probes:
            sim.choices[choice] = job
            sim.ask(self, probe.probe_id, probe.endpoint)
        if choice.probes:
            sim.at(choice.deadline, lambda: self.settle(job, choice))
        else:
            self.settle(job, choice)
        self.wake()

    def settle(self, job: Job, choice: Choice) -> None:
        self.sim.choices.pop(choice, None)
        if choice.decided or job.over:
            return
        assert self.spread is not None
        name = self.spread.finish_choice(self.sim.now, choice)
        if name is None:
            return self.sim.finish(job, False)
        self.sim.send(job, self.sim.processes[name])
        self.wake()

    def receive_answer(self, id: int, news: LoadReport) -> None:
        assert self.spread is not None
        choice = self.spread.receive_probe_answer(self.sim.now, id, news)
        if choice is not None and (job := self.sim.choices.get(choice)) is not None:
            self.settle(job, choice)

    def wake(self) -> None:
        """A look at silence when it is due."""
        assert self.spread is not None
        when = self.spread.next_check_at()
        if when < self._woken:
            self._woken = when
            self.sim.at(when, self.look)

    def look(self) -> None:
        sim, spread = self.sim, self.spread
        assert spread is not None
        self._woken = float("inf")
        probes, fell = spread.check_responsiveness(sim.now)
        for probe in probes:
            sim.ask(self, probe.probe_id, probe.endpoint)
        for name in fell:
            for job in [j for j in sim.out.get((self.number, name), ()) if j.safe]:
                if spread.retry_budget.try_withdraw(sim.now):
                    sim.give_up(job)
                    job.avoid |= {name}
                    job.tries += 1
                    sim.counts["second tries"] += 1
                    self.dispatch(job)
        self.wake()

    def plain(self, job: Job) -> Process:
        sim, own, random = self.sim, self.own, self.random
        there = [p for p in sim.listed if p.name not in job.avoid] if job.avoid else sim.listed
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
                if not process.dead and process.name not in job.avoid:
                    return process
            return random.choice(there)
        one, two = random.sample(there, 2)
        return one if (own[one.name], random.random()) < (own[two.name], random.random()) else two


class Sim:
    """``speeds``: one for each process. ``load``: of the capacity. ``differ``: so many times fronts' rates differ."""

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
        self.policy, self.rules, self.seed = policy, rules or BalancingRules(), seed
        self.now, self.work, self.late, self.aim = 0.0, work, late, aim
        self.random = Random(seed * 7 + 1)
        self.arrivals = Random(seed)
        self.processes = {f"p{n}": Process(f"p{n}", slots, speed, seed * 100_000 + n) for n, speed in enumerate(speeds)}
        self.names = list(self.processes)
        self.listed = list(self.processes.values())
        self.capacity = slots * sum(speeds)
        self.rate = load * self.capacity / work
        parts = [differ ** self.arrivals.random() for _ in range(fronts)]
        self.fronts = [
            Front(self, n, self.rate * part / sum(parts), Random(f"{seed}/{n}")) for n, part in enumerate(parts)
        ]
        self.weights = parts
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0
        self.choices: dict[Choice, Job] = {}
        self.cut: set[tuple[int, str]] = set()  # of fronts and processes, that hear nothing of each other
        self.out: dict[tuple[int, str], list[Job]] = {}
        self.counts: Counter[str] = Counter()
        self.spans: list[tuple[float, float, float]] = []  # came, span, served
        self._waits = 0
        self._since = 0.0
        self.idle = 0.0
        self._empty = len(self.processes)
        self.measured_from = 0.0

    # ---- Time
    def at(self, when: float, what: Callable[[], None]) -> None:
        self._order += 1
        heappush(self._heap, (when, self._order, what))

    def run(self, seconds: float) -> None:
        self._arrive()
        while self._heap and self._heap[0][0] <= seconds:
            self.now, _, what = heappop(self._heap)
            what()
        self.now = seconds

    def _arrive(self) -> None:
        front = self.arrivals.choices(self.fronts, self.weights)[0]
        job = Job(front, self.arrivals.uniform(0.5, 1.5) * self.work, self.now, safe=self.arrivals.random() > 0.16)
        self.at(self.now + self.arrivals.expovariate(self.rate), self._arrive)
        self.counts["arrivals"] += 1
        front.dispatch(job)

    # ---- Ways
    def ask(self, front: Front, id: int, name: str) -> None:
        process = self.processes[name]
        spread = front.spread
        assert spread is not None
        self.counts["probes"] += 1

        def answer() -> None:
            if process.dead or (front.number, name) in self.cut:
                return
            if process.stopped is not None:
                process.stopped.append(answer)
                return
            news = process.news(self.now)
            self.at(self.now + WAY + self.late, lambda: front.receive_answer(id, news))

        self.at(self.now + WAY, answer)

    def send(self, job: Job, process: Process) -> None:
        job.process, job.sent = process, self.now
        process.coming += 1
        front = job.front
        front.own[process.name] += 1
        if front.spread is not None:
            front.spread.attempt_started(self.now, process.name)
        self.out.setdefault((front.number, process.name), []).append(job)
        tries = job.tries  # as it is now: one that is given up on its way is not to arrive as the next try
        self.at(self.now + WAY, lambda: self._reach(job, process, tries))

    def _account(self) -> None:
        if self._waits and self.now > self.measured_from:
            span = self.now - max(self._since, self.measured_from)
            self.idle += span * self._empty
        self._since = self.now

    def _count(self, process: Process, sign: int) -> None:
        if not process.dead and process.stopped is None and not process.fails:
            self._waits += sign * bool(process.waiting)
            self._empty += sign * (process.open == 0 and not process.cold)

    def _reach(self, job: Job, process: Process, tries: int) -> None:
        process.coming -= 1
        self._reached(job, process, tries)

    def _reached(self, job: Job, process: Process, tries: int) -> None:
        if job.tries != tries or job.over:
            return
        if (job.front.number, process.name) in self.cut:
            return self.at(
                self.now + DIAL, lambda: self._back(job, process, AttemptOutcome.UNREACHABLE, None, tries, job.sent)
            )
        if process.dead:
            return self._answer(job, process, AttemptOutcome.UNREACHABLE, None)
        if process.stopped is not None:
            process.stopped.append(lambda: self._reached(job, process, tries))
            return
        process.got.append(self.now)
        if process.fails or process.open >= BOUND * process.slots:
            ending = AttemptOutcome.FAILED if process.fails == "error" else AttemptOutcome.REJECTED
            if ending is AttemptOutcome.FAILED:
                process.failing += FAILURE_SMOOTHING * (1 - process.failing)
            return self._answer(job, process, ending, process.news(self.now))
        self._account()
        self._count(process, -1)
        process.waiting.append(job)
        self._work(process)
        self._count(process, 1)

    def _work(self, process: Process) -> None:
        while process.waiting and len(process.running) < process.slots:
            job = process.waiting.popleft()
            process.running[id(job)] = job
            span = job.work / (process.speed * process.factor * process.warm(self.now))
            self.at(self.now + span, lambda job=job, tries=job.tries: self._done(job, process, tries))  # type: ignore[misc]

    def _done(self, job: Job, process: Process, tries: int) -> None:
        if process.running.get(id(job)) is not job or job.tries != tries:
            return
        if process.stopped is not None:
            process.stopped.append(lambda: self._done(job, process, tries))
            return
        self._account()
        self._count(process, -1)
        del process.running[id(job)]
        self._work(process)
        self._count(process, 1)
        if self.policy == "idle first" and process.open < process.slots:
            self.random.choice(self.fronts).idle.append(process)
        self._answer(job, process, AttemptOutcome.SERVED, process.news(self.now))

    def _answer(self, job: Job, process: Process, ending: AttemptOutcome, news: LoadReport | None) -> None:
        tries, sent = job.tries, job.sent
        self.at(self.now + WAY, lambda: self._back(job, process, ending, news, tries, sent))

    def _back(
        self, job: Job, process: Process, ending: AttemptOutcome, news: LoadReport | None, tries: int, sent: float
    ) -> None:
        if job.over or job.tries != tries:
            return
        self._let_go(job, process, ending, sent)
        front = job.front
        if front.spread is not None and news is not None:
            front.spread.receive_response_report(self.now, process.name, None if self.late else news)
        again = ending in (AttemptOutcome.REJECTED, AttemptOutcome.UNREACHABLE) and job.tries < 3
        if again and (front.spread is None or front.spread.retry_budget.try_withdraw(self.now)):
            job.tries += 1
            job.avoid |= {process.name}
            self.counts["second tries"] += 1
            return front.dispatch(job)
        self.finish(job, ending is AttemptOutcome.SERVED)

    def _let_go(self, job: Job, process: Process, ending: AttemptOutcome, sent: float) -> None:
        front = job.front
        front.own[process.name] -= 1
        self.out[front.number, process.name].remove(job)
        if front.spread is not None:
            front.spread.attempt_ended(
                self.now, process.name, sent, ending, PUSHBACK if ending is AttemptOutcome.REJECTED else 0.0
            )

    def give_up(self, job: Job) -> None:
        """The front closes the connection: what waits is dropped, what runs is stopped."""
        process = job.process
        assert process is not None
        self._let_go(job, process, AttemptOutcome.ABANDONED, job.sent)
        self._account()
        self._count(process, -1)
        if job in process.waiting:
            process.waiting.remove(job)
        if process.running.pop(id(job), None) is not None and process.stopped is None:
            self._work(process)
        self._count(process, 1)

    def finish(self, job: Job, served: bool) -> None:
        job.over = True
        if job.came >= self.measured_from:
            self.spans.append((job.came, self.now - job.came, float(served)))

    # ---- Faults
    def stop(self, name: str) -> None:
        process = self.processes[name]
        self._account()
        self._count(process, -1)
        process.stopped = []

    def wake(self, name: str) -> None:
        process = self.processes[name]
        todo, process.stopped = process.stopped or [], None
        self._account()
        self._work(process)
        self._count(process, 1)
        for what in todo:
            what()

    def break_down(self, name: str, how: str) -> None:
        """From now on it fails ("error") or turns away ("refuse") at once; what it has is finished."""
        self._account()
        self._count(self.processes[name], -1)
        self.processes[name].fails = how

    def kill(self, name: str) -> None:
        process = self.processes[name]
        self._account()
        self._count(process, -1)
        process.dead = True
        for job in [*process.waiting, *process.running.values()]:
            self._answer(job, process, AttemptOutcome.FAILED, None)
        process.waiting.clear()
        process.running.clear()

    def start(self, name: str) -> None:
        """Back, cold, as another life."""
        process = self.processes[name]
        process.dead, process.born, process.start = False, self.now, process.start + 50_000
        process.cold = True
        self._account()
        self._count(process, 1)
        self.at(self.now + COLD_SPAN, lambda start=process.start: self._warmed(process, start))  # type: ignore[misc]

    def _warmed(self, process: Process, start: int) -> None:
        if process.start == start and not process.dead:
            self._account()
            self._count(process, -1)
            process.cold = False
            self._count(process, 1)

    # ---- The oracle and the figures
    def true_cost(self, process: Process) -> float:
        if process.dead or process.stopped is not None or process.fails:
            return float("inf")
        speed = process.speed * process.factor * process.warm(self.now)
        return queueing_cost(process.open + process.coming, process.slots, speed)

    def busiest(self, window: float = 1.0) -> float:
        """The mean over windows of the largest share of arrivals for its speed, where an even share is 1."""
        counts: dict[int, Counter[str]] = {}
        for process in self.listed:
            for when in process.got:
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
        spans = sorted(span if served else NEVER for _, span, served in self.spans)
        span = self.now - self.measured_from

        def p(part: float) -> float:
            return round(spans[min(len(spans) - 1, int(part * len(spans)))], 4)

        return {
            "policy": self.policy,
            "calls": len(spans),
            "p50": p(0.5),
            "p99": p(0.99),
            "on_time": round(sum(s <= self.aim for s in spans) / len(spans), 4),
            "busiest": round(self.busiest(), 3),
            "idle": round(self.idle / (span * len(self.listed)), 5),
            "probes": round(self.counts["probes"] / self.counts["arrivals"], 2),
            "tries": round(1 + self.counts["second tries"] / self.counts["arrivals"], 3),
        }
