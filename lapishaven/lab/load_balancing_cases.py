"""Difficult cases for load balancing in simulated time: each has a load, a tier of processes and faults.

``play(case, policy, ...)`` returns the results of one policy in one case; the same seed gives all policies the same
arrivals. Most faults begin at ``FAULTS_AT_S`` seconds; the results count from ``MEASURED_FROM_S`` seconds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from lapishaven.lab.load_balancing_simulation import Frontend, Process, Simulation
from lapishaven.load_balancing import BalancingRules

MEASURED_FROM_S, FAULTS_AT_S = 3.0, 4.0
SPEEDS = (0.5, 0.7, 1.0, 1.3)


@dataclass(frozen=True, slots=True)
class Case:
    """A case. ``faults`` schedules the faults in a simulation.

    load: the arrival rate relative to the capacity.
    rate_spread: the highest rate of a frontend relative to the lowest.
    probe_delay_s: seconds by which answers to probes are delayed.
    sparse_frontends: so many frontends that each sends one request in 8 s.
    same_speed: all processes have the same speed.
    """

    load: float
    seconds: float
    faults: Callable[[Simulation], None] = lambda simulation: None
    rate_spread: float = 1.0
    probe_delay_s: float = 0.0
    sparse_frontends: bool = False
    same_speed: bool = False


def _first_processes(simulation: Simulation, fraction: float) -> list[Process]:
    return simulation.listed[: max(1, round(fraction * len(simulation.listed)))]


def _kill_fifth(simulation: Simulation) -> None:
    for process in _first_processes(simulation, 0.2):
        simulation.schedule(FAULTS_AT_S, lambda name=process.name: simulation.kill(name))  # type: ignore[misc]
        simulation.schedule(FAULTS_AT_S + 1.0, lambda name=process.name: simulation.start(name))  # type: ignore[misc]


def _replace_most(simulation: Simulation) -> None:
    for n, process in enumerate(_first_processes(simulation, 0.98)):
        at = FAULTS_AT_S + 37.0 * n / len(simulation.listed)
        simulation.schedule(at, lambda name=process.name: simulation.kill(name))  # type: ignore[misc]
        simulation.schedule(at + 0.5, lambda name=process.name: simulation.start(name))  # type: ignore[misc]


def _slow_one(simulation: Simulation) -> None:
    def set_factor(factor: float) -> None:
        simulation.listed[0].factor = factor

    simulation.schedule(FAULTS_AT_S, lambda: set_factor(0.1))
    simulation.schedule(FAULTS_AT_S + 30.0, lambda: set_factor(1.0))


def _fail_one(mode: str) -> Callable[[Simulation], None]:
    def fail(simulation: Simulation) -> None:
        simulation.schedule(FAULTS_AT_S, lambda: simulation.set_fault_mode(simulation.listed[0].name, mode))

    return fail


def _stop_fifth(simulation: Simulation) -> None:
    for process in _first_processes(simulation, 0.2):
        simulation.schedule(FAULTS_AT_S, lambda name=process.name: simulation.stop(name))  # type: ignore[misc]
        simulation.schedule(FAULTS_AT_S + 8.0, lambda name=process.name: simulation.resume(name))  # type: ignore[misc]


def _misreport(in_flight: float) -> Callable[[Simulation], None]:
    def misreport(simulation: Simulation) -> None:
        simulation.listed[0].reported_in_flight = in_flight

    return misreport


def _partition(simulation: Simulation) -> None:
    half = {process.name for process in _first_processes(simulation, 0.5)}
    fronts = {front.number for front in simulation.fronts if front.number % 2}
    simulation.schedule(
        FAULTS_AT_S, lambda: simulation.partitioned.update((number, name) for number in fronts for name in half)
    )
    simulation.schedule(FAULTS_AT_S + 4.0, simulation.partitioned.clear)


def _restart_frontends(simulation: Simulation) -> None:
    def restart() -> None:
        for front in simulation.fronts:
            front.restart()

    simulation.schedule(FAULTS_AT_S, restart)


def _start_late(simulation: Simulation) -> None:
    simulation.kill(simulation.listed[0].name)
    simulation.schedule(FAULTS_AT_S, lambda: simulation.start(simulation.listed[0].name))


CASES = {
    "0.7 of capacity": Case(0.7, 8.0),
    "0.9 of capacity": Case(0.9, 8.0),
    "1.0 of capacity": Case(1.0, 8.0),
    "1.1 of capacity": Case(1.1, 8.0),
    "a fifth killed, back cold": Case(0.6, 12.0, _kill_fifth),
    "98% replaced in 37 s": Case(0.4, 44.0, _replace_most),
    "one ten times slower": Case(0.8, 12.0, _slow_one),
    "one fails at once": Case(0.8, 10.0, _fail_one("error")),
    "one refuses at once": Case(0.8, 10.0, _fail_one("refuse")),
    "a fifth stopped for 8 s": Case(0.6, 16.0, _stop_fifth),
    "one says it is empty": Case(0.8, 8.0, _misreport(0.0)),
    "one says it is full": Case(0.8, 8.0, _misreport(60.0)),
    "half cut off from half": Case(0.4, 10.0, _partition),
    "all news 2 s late": Case(0.8, 8.0, probe_delay_s=2.0),
    "all fronts restarted": Case(0.8, 8.0, _restart_frontends),
    "one new beside the loaded": Case(0.8, 10.0, _start_late, same_speed=True),
    "fronts differ a hundredfold": Case(0.8, 8.0, rate_spread=100.0),
    "a call in 8 s a front": Case(0.8, 8.0, sparse_frontends=True),
}


def build(
    case: Case,
    policy: str,
    fronts: int,
    processes: int,
    seed: int,
    *,
    slots: int = 4,
    work: float = 0.3,
    rules: BalancingRules | None = None,
) -> Simulation:
    """A simulation of the case that has not run yet."""
    random = Random(seed * 31 + 7)
    speeds = [1.0 if case.same_speed else random.choice(SPEEDS) for _ in range(processes)]
    if case.sparse_frontends:
        fronts = round(8.0 * case.load * slots * sum(speeds) / work)
    simulation = Simulation(
        policy,
        fronts,
        speeds,
        case.load,
        seed,
        slots=slots,
        work=work,
        rules=rules,
        probe_delay_s=case.probe_delay_s,
        rate_spread=case.rate_spread,
    )
    simulation.measured_from = MEASURED_FROM_S
    case.faults(simulation)
    return simulation


def play(
    name: str, policy: str, fronts: int, processes: int, seed: int, seconds: float | None = None, **options: Any
) -> dict[str, Any]:
    """Run a case, for ``seconds`` instead of its own duration if given, and return its results."""
    simulation = build(CASES[name], policy, fronts, processes, seed, **options)
    simulation.run(seconds or CASES[name].seconds)
    return {"case": name, **simulation.figures()}


__all__ = ["CASES", "FAULTS_AT_S", "MEASURED_FROM_S", "Case", "Frontend", "build", "play"]
