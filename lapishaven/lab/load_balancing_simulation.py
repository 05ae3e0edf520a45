"""Simulates frontends that balance requests over processes, with the real ``LoadBalancer``, baselines or an oracle.

A process serves up to ``slots`` requests at a time, in order, each for its work divided by the process's speed. A
frontend gets Poisson arrivals and chooses a process for each. A message takes ``ONE_WAY_S``. The same seed gives every
policy the same arrivals and the same work for each request.
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
COLD_START_SPEED, WARM_UP_S = 0.24, 10.0
NOT_SERVED_LATENCY_S = 1e6  # sorts requests that were not served after all others
RETRY_AFTER_S = 0.5
MAX_LOAD_PER_SLOT = 4.0  # requests per slot at which a process rejects further ones
NON_IDEMPOTENT_FRACTION = 0.16
POLICIES = ("random", "round robin", "own least", "two choices", "idle first", "ours", "oracle")


@dataclass(slots=True)
class SimulatedRequest:
    """A request. ``work`` is in seconds at speed 1.

    ``retries`` grows with each attempt, so that late events of an earlier attempt can be told apart.
    """

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
    """A simulated endpoint and its current faults."""

    name: str
    slots: int
    speed: float
    incarnation: int
    started_at: float = float("-inf")  # of the last slow start
    waiting: deque[SimulatedRequest] = field(default_factory=deque)
    running: dict[int, SimulatedRequest] = field(default_factory=dict)
    deferred: list[Callable[[], None]] | None = None  # events deferred until it resumes; None if it is not stopped
    dead: bool = False
    cold: bool = False
    factor: float = 1.0
    fault_mode: str = ""  # "error" or "refuse": how it ends requests at once; empty: no fault
    reported_in_flight: float | None = None  # reported instead of the real number, if set
    report_sequence: int = 0
    in_transit: int = 0  # requests on the network, which only the oracle sees
    failure_share: float = 0.0  # smoothed share of its runs that fail
    arrivals: list[float] = field(default_factory=list)

    @property
    def in_flight(self) -> int:
        """How many requests are queued or running."""
        return len(self.waiting) + len(self.running)

    def warm_up_factor(self, now: float) -> float:
        """The speed relative to a warm process, and the share of requests that it reports to want."""
        return min(1.0, COLD_START_SPEED + (1 - COLD_START_SPEED) * (now - self.started_at) / WARM_UP_S)

    def report(self, now: float) -> LoadReport:
        """The next load report."""
        self.report_sequence += 1
        in_flight = self.in_flight if self.reported_in_flight is None else int(self.reported_in_flight)
        return LoadReport(
            self.incarnation,
            self.report_sequence,
            in_flight,
            float(in_flight),
            self.slots,
            self.speed * self.warm_up_factor(now),
            self.warm_up_factor(now) * (1 - self.failure_share),
        )


class Frontend:
    """Receives requests and sends each to a process that the simulation's policy chooses."""

    def __init__(self, simulation: Simulation, number: int, rate: float, random: Random) -> None:
        self.simulation, self.number, self.rate = simulation, number, rate
        self.random = random
        self.next_index = random.randrange(1 << 20)
        self.open_attempts: Counter[str] = Counter()
        self.idle: deque[Process] = deque()  # for "idle first": processes that reported a free slot here
        self.balancer: LoadBalancer | None = None
        self.restart()

    def restart(self) -> None:
        """Restart without any state."""
        self._check_at = float("inf")
        self.open_attempts.clear()
        if self.simulation.policy == "ours":
            self.balancer = LoadBalancer(self.simulation.rules, self.random)
            self.balancer.set_endpoints(self.simulation.names)

    def dispatch(self, request: SimulatedRequest) -> None:
        """Choose a process for a request and send it there, after the answers to probes if there are any."""
        simulation, balancer = self.simulation, self.balancer
        if balancer is None:
            return simulation.send(request, self.choose_without_balancer(request))
        choice = balancer.begin_choice(simulation.now, request.excluded, request.retries == 0)
        for probe in choice.probes:
            simulation.choices[choice] = request
            simulation.send_probe(self, probe.probe_id, probe.endpoint)
        if choice.probes:
            simulation.schedule(choice.deadline, lambda: self.finish_choice(request, choice))
        else:
            self.finish_choice(request, choice)
        self.schedule_check()

    def finish_choice(self, request: SimulatedRequest, choice: Choice) -> None:
        """Decide, once all probes are answered or the choice's deadline has passed."""
        self.simulation.choices.pop(choice, None)
        if choice.decided or request.finished:
            return
        assert self.balancer is not None
        name = self.balancer.finish_choice(self.simulation.now, choice)
        if name is None:
            return self.simulation.finish(request, False)
        self.simulation.send(request, self.simulation.processes[name])
        self.schedule_check()

    def receive_answer(self, probe_id: int, report: LoadReport) -> None:
        """Handle the answer to a probe."""
        assert self.balancer is not None
        choice = self.balancer.receive_probe_answer(self.simulation.now, probe_id, report)
        if choice is not None and (request := self.simulation.choices.get(choice)) is not None:
            self.finish_choice(request, choice)

    def schedule_check(self) -> None:
        """Schedule the balancer's next responsiveness check."""
        assert self.balancer is not None
        when = self.balancer.next_check_at()
        if when < self._check_at:
            self._check_at = when
            self.simulation.schedule(when, self.check)

    def check(self) -> None:
        """Send due probes, and retry the idempotent requests of newly unresponsive processes elsewhere."""
        simulation, balancer = self.simulation, self.balancer
        assert balancer is not None
        self._check_at = float("inf")
        probes, newly_suspected = balancer.check_responsiveness(simulation.now)
        for probe in probes:
            simulation.send_probe(self, probe.probe_id, probe.endpoint)
        for name in newly_suspected:
            for request in [
                request for request in simulation.outstanding.get((self.number, name), ()) if request.idempotent
            ]:
                if balancer.retry_budget.try_withdraw(simulation.now):
                    simulation.abandon(request)
                    request.excluded |= {name}
                    request.retries += 1
                    simulation.counts["retries"] += 1
                    self.dispatch(request)
        self.schedule_check()

    def choose_without_balancer(self, request: SimulatedRequest) -> Process:
        """Choose by one of the baseline policies or by the oracle."""
        simulation, open_attempts, random = self.simulation, self.open_attempts, self.random
        candidates = (
            [process for process in simulation.listed if process.name not in request.excluded]
            if request.excluded
            else simulation.listed
        )
        if simulation.policy == "oracle":
            return min(candidates, key=simulation.true_cost)
        if simulation.policy == "random":
            return random.choice(candidates)
        if simulation.policy == "round robin":
            self.next_index += 1
            return candidates[self.next_index % len(candidates)]
        if simulation.policy == "own least":
            least = min(open_attempts[process.name] for process in random.sample(candidates, min(len(candidates), 32)))
            return random.choice(
                [process for process in candidates if open_attempts[process.name] <= least] or candidates
            )
        if simulation.policy == "idle first":
            while self.idle:
                process = self.idle.popleft()
                if not process.dead and process.name not in request.excluded:
                    return process
            return random.choice(candidates)
        first, second = random.sample(candidates, 2)
        return (
            first
            if (open_attempts[first.name], random.random()) < (open_attempts[second.name], random.random())
            else second
        )


class Simulation:
    """A discrete-event simulation.

    policy: one of ``POLICIES``.
    fronts: the number of frontends.
    speeds: one for each process.
    load: the arrival rate relative to the capacity.
    slots: of each process.
    work: seconds of a typical request at speed 1.
    probe_delay_s: seconds by which answers to probes are delayed.
    rate_spread: the highest rate of a frontend relative to the lowest.
    latency_objective_s: seconds within which a request counts as on time.
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
        probe_delay_s: float = 0.0,
        rate_spread: float = 1.0,
        latency_objective_s: float = 1.5,
    ) -> None:
        self.policy = policy
        self.rules = rules or BalancingRules()
        self.seed = seed
        self.now = 0.0
        self.work = work
        self.probe_delay_s = probe_delay_s
        self.latency_objective_s = latency_objective_s
        self.random = Random(seed * 7 + 1)
        self.arrivals = Random(seed)
        self.processes = {f"p{n}": Process(f"p{n}", slots, speed, seed * 100_000 + n) for n, speed in enumerate(speeds)}
        self.names = list(self.processes)
        self.listed = list(self.processes.values())
        self.capacity = slots * sum(speeds)
        self.rate = load * self.capacity / work
        rate_weights = [rate_spread ** self.arrivals.random() for _ in range(fronts)]
        self.fronts = [
            Frontend(self, n, self.rate * rate_weight / sum(rate_weights), Random(f"{seed}/{n}"))
            for n, rate_weight in enumerate(rate_weights)
        ]
        self.weights = rate_weights
        self._event_heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0
        self.choices: dict[Choice, SimulatedRequest] = {}
        self.partitioned: set[tuple[int, str]] = set()  # pairs of frontend and process that cannot reach each other
        self.outstanding: dict[tuple[int, str], list[SimulatedRequest]] = {}
        self.counts: Counter[str] = Counter()
        self.latencies: list[tuple[float, float, float]] = []  # arrival, duration, whether served
        self._processes_with_queue = 0
        self._accounted_until = 0.0
        self.idle = 0.0
        self._idle_processes = len(self.processes)
        self.measured_from = 0.0

    # ---- Time
    def schedule(self, when: float, action: Callable[[], None]) -> None:
        """Call ``action`` at the simulated time ``when``."""
        self._order += 1
        heappush(self._event_heap, (when, self._order, action))

    def run(self, seconds: float) -> None:
        """Simulate until the time ``seconds``."""
        self._generate_arrival()
        while self._event_heap and self._event_heap[0][0] <= seconds:
            self.now, _, action = heappop(self._event_heap)
            action()
        self.now = seconds

    def _generate_arrival(self) -> None:
        front = self.arrivals.choices(self.fronts, self.weights)[0]
        work = self.arrivals.uniform(0.5, 1.5) * self.work
        idempotent = self.arrivals.random() > NON_IDEMPOTENT_FRACTION
        request = SimulatedRequest(front, work, self.now, idempotent=idempotent)
        self.schedule(self.now + self.arrivals.expovariate(self.rate), self._generate_arrival)
        self.counts["arrivals"] += 1
        front.dispatch(request)

    # ---- Messages
    def send_probe(self, front: Frontend, probe_id: int, name: str) -> None:
        """Send a frontend's probe to a process, which answers it unless it is stopped, dead or cut off."""
        process = self.processes[name]
        assert front.balancer is not None
        self.counts["probes"] += 1

        def answer() -> None:
            if process.dead or (front.number, name) in self.partitioned:
                return
            if process.deferred is not None:
                process.deferred.append(answer)
                return
            report = process.report(self.now)
            self.schedule(self.now + ONE_WAY_S + self.probe_delay_s, lambda: front.receive_answer(probe_id, report))

        self.schedule(self.now + ONE_WAY_S, answer)

    def send(self, request: SimulatedRequest, process: Process) -> None:
        """Send a request to a process."""
        request.process, request.sent_at = process, self.now
        process.in_transit += 1
        front = request.front
        front.open_attempts[process.name] += 1
        if front.balancer is not None:
            front.balancer.attempt_started(self.now, process.name)
        self.outstanding.setdefault((front.number, process.name), []).append(request)
        retry_number = request.retries  # read now: an attempt abandoned on the network must not arrive as the next one
        self.schedule(self.now + ONE_WAY_S, lambda: self._deliver(request, process, retry_number))

    def _account_idle_time(self) -> None:
        if self._processes_with_queue and self.now > self.measured_from:
            duration_s = self.now - max(self._accounted_until, self.measured_from)
            self.idle += duration_s * self._idle_processes
        self._accounted_until = self.now

    def _count_state(self, process: Process, sign: int) -> None:
        if not process.dead and process.deferred is None and not process.fault_mode:
            self._processes_with_queue += sign * bool(process.waiting)
            self._idle_processes += sign * (process.in_flight == 0 and not process.cold)

    def _deliver(self, request: SimulatedRequest, process: Process, retry_number: int) -> None:
        process.in_transit -= 1
        self._receive(request, process, retry_number)

    def _receive(self, request: SimulatedRequest, process: Process, retry_number: int) -> None:
        if request.retries != retry_number or request.finished:
            return
        if (request.front.number, process.name) in self.partitioned:
            return self.schedule(
                self.now + CONNECT_TIMEOUT_S,
                lambda: self._receive_response(
                    request, process, AttemptOutcome.UNREACHABLE, None, retry_number, request.sent_at
                ),
            )
        if process.dead:
            return self._send_response(request, process, AttemptOutcome.UNREACHABLE, None)
        if process.deferred is not None:
            process.deferred.append(lambda: self._receive(request, process, retry_number))
            return
        process.arrivals.append(self.now)
        if process.fault_mode or process.in_flight >= MAX_LOAD_PER_SLOT * process.slots:
            outcome = AttemptOutcome.FAILED if process.fault_mode == "error" else AttemptOutcome.REJECTED
            if outcome is AttemptOutcome.FAILED:
                process.failure_share += FAILURE_SMOOTHING * (1 - process.failure_share)
            return self._send_response(request, process, outcome, process.report(self.now))
        self._account_idle_time()
        self._count_state(process, -1)
        process.waiting.append(request)
        self._start_requests(process)
        self._count_state(process, 1)

    def _start_requests(self, process: Process) -> None:
        while process.waiting and len(process.running) < process.slots:
            request = process.waiting.popleft()
            process.running[id(request)] = request
            duration_s = request.work / (process.speed * process.factor * process.warm_up_factor(self.now))
            self.schedule(
                self.now + duration_s,
                lambda request=request, retry_number=request.retries: self._complete(request, process, retry_number),  # type: ignore[misc]
            )

    def _complete(self, request: SimulatedRequest, process: Process, retry_number: int) -> None:
        if process.running.get(id(request)) is not request or request.retries != retry_number:
            return
        if process.deferred is not None:
            process.deferred.append(lambda: self._complete(request, process, retry_number))
            return
        self._account_idle_time()
        self._count_state(process, -1)
        del process.running[id(request)]
        self._start_requests(process)
        self._count_state(process, 1)
        if self.policy == "idle first" and process.in_flight < process.slots:
            self.random.choice(self.fronts).idle.append(process)
        self._send_response(request, process, AttemptOutcome.SERVED, process.report(self.now))

    def _send_response(
        self, request: SimulatedRequest, process: Process, outcome: AttemptOutcome, report: LoadReport | None
    ) -> None:
        retry_number, sent_at = request.retries, request.sent_at
        self.schedule(
            self.now + ONE_WAY_S,
            lambda: self._receive_response(request, process, outcome, report, retry_number, sent_at),
        )

    def _receive_response(
        self,
        request: SimulatedRequest,
        process: Process,
        outcome: AttemptOutcome,
        report: LoadReport | None,
        retry_number: int,
        sent_at: float,
    ) -> None:
        if request.finished or request.retries != retry_number:
            return
        self._end_attempt(request, process, outcome, sent_at)
        front = request.front
        if front.balancer is not None and report is not None:
            front.balancer.receive_response_report(self.now, process.name, None if self.probe_delay_s else report)
        may_retry = outcome in (AttemptOutcome.REJECTED, AttemptOutcome.UNREACHABLE) and request.retries < 3
        if may_retry and (front.balancer is None or front.balancer.retry_budget.try_withdraw(self.now)):
            request.retries += 1
            request.excluded |= {process.name}
            self.counts["retries"] += 1
            return front.dispatch(request)
        self.finish(request, outcome is AttemptOutcome.SERVED)

    def _end_attempt(
        self, request: SimulatedRequest, process: Process, outcome: AttemptOutcome, sent_at: float
    ) -> None:
        front = request.front
        front.open_attempts[process.name] -= 1
        self.outstanding[front.number, process.name].remove(request)
        if front.balancer is not None:
            front.balancer.attempt_ended(
                self.now, process.name, sent_at, outcome, RETRY_AFTER_S if outcome is AttemptOutcome.REJECTED else 0.0
            )

    def abandon(self, request: SimulatedRequest) -> None:
        """The frontend abandons the attempt: the process drops it from its queue or cancels its run."""
        process = request.process
        assert process is not None
        self._end_attempt(request, process, AttemptOutcome.ABANDONED, request.sent_at)
        self._account_idle_time()
        self._count_state(process, -1)
        if request in process.waiting:
            process.waiting.remove(request)
        if process.running.pop(id(request), None) is not None and process.deferred is None:
            self._start_requests(process)
        self._count_state(process, 1)

    def finish(self, request: SimulatedRequest, served: bool) -> None:
        """The request has its outcome."""
        request.finished = True
        if request.arrived_at >= self.measured_from:
            self.latencies.append((request.arrived_at, self.now - request.arrived_at, float(served)))

    # ---- Faults
    def stop(self, name: str) -> None:
        """Stop a process (SIGSTOP)."""
        process = self.processes[name]
        self._account_idle_time()
        self._count_state(process, -1)
        process.deferred = []

    def resume(self, name: str) -> None:
        """Resume a stopped process (SIGCONT)."""
        process = self.processes[name]
        deferred_events, process.deferred = process.deferred or [], None
        self._account_idle_time()
        self._start_requests(process)
        self._count_state(process, 1)
        for action in deferred_events:
            action()

    def set_fault_mode(self, name: str, mode: str) -> None:
        """Make a process fail ("error") or reject ("refuse") new requests at once; those that it has are finished."""
        self._account_idle_time()
        self._count_state(self.processes[name], -1)
        self.processes[name].fault_mode = mode

    def kill(self, name: str) -> None:
        """Kill a process; the requests that it has fail."""
        process = self.processes[name]
        self._account_idle_time()
        self._count_state(process, -1)
        process.dead = True
        for request in [*process.waiting, *process.running.values()]:
            self._send_response(request, process, AttemptOutcome.FAILED, None)
        process.waiting.clear()
        process.running.clear()

    def start(self, name: str) -> None:
        """Restart a process as another incarnation, in slow start."""
        process = self.processes[name]
        process.dead, process.started_at, process.incarnation = False, self.now, process.incarnation + 50_000
        process.cold = True
        self._account_idle_time()
        self._count_state(process, 1)
        self.schedule(self.now + WARM_UP_S, lambda start=process.incarnation: self._finish_warm_up(process, start))  # type: ignore[misc]

    def _finish_warm_up(self, process: Process, start: int) -> None:
        if process.incarnation == start and not process.dead:
            self._account_idle_time()
            self._count_state(process, -1)
            process.cold = False
            self._count_state(process, 1)

    # ---- The oracle and the figures
    def true_cost(self, process: Process) -> float:
        """The cost of one more request, from state that only the oracle can see."""
        if process.dead or process.deferred is not None or process.fault_mode:
            return float("inf")
        speed = process.speed * process.factor * process.warm_up_factor(self.now)
        return queueing_cost(process.in_flight + process.in_transit, process.slots, speed)

    def peak_load_ratio(self, window: float = 1.0) -> float:
        """The largest load of a process in a window, relative to an even load for its speed, as a mean over windows."""
        counts: dict[int, Counter[str]] = {}
        for process in self.listed:
            for when in process.arrivals:
                if when >= self.measured_from:
                    counts.setdefault(int(when / window), Counter())[process.name] += 1
        peaks = []
        for _, arrivals in sorted(counts.items())[:-1]:
            total = sum(arrivals.values())
            if total >= 2 * len(self.listed):
                speeds = sum(process.speed for process in self.listed)
                peaks.append(max(arrivals[process.name] / process.speed for process in self.listed) / (total / speeds))
        return sum(peaks) / len(peaks) if peaks else 0.0

    def figures(self) -> dict[str, Any]:
        """The results, under the names of the benchmark's columns."""
        latencies = sorted(duration_s if served else NOT_SERVED_LATENCY_S for _, duration_s, served in self.latencies)
        duration_s = self.now - self.measured_from

        def quantile(q: float) -> float:
            return round(latencies[min(len(latencies) - 1, int(q * len(latencies)))], 4)

        return {
            "policy": self.policy,
            "calls": len(latencies),
            "p50": quantile(0.5),
            "p99": quantile(0.99),
            "on_time": round(sum(latency <= self.latency_objective_s for latency in latencies) / len(latencies), 4),
            "busiest": round(self.peak_load_ratio(), 3),
            "idle": round(self.idle / (duration_s * len(self.listed)), 5),
            "probes": round(self.counts["probes"] / self.counts["arrivals"], 2),
            "tries": round(1 + self.counts["retries"] / self.counts["arrivals"], 3),
        }
