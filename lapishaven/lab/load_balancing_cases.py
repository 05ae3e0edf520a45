"""Hard cases for spreading in simulated time: each is a load, a fleet and faults at their times. Pure of any clock.

``play(case, policy, ...)`` gives the figures of one chooser in one case; the same seed gives all choosers the same
arrivals. The faults strike at ``AT`` seconds, figures count from ``FROM``.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from lapishaven.lab.load_balancing_simulation import Frontend, Process, Simulation
from lapishaven.load_balancing import BalancingRules

FROM, AT = 3.0, 4.0
SPEEDS = (0.5, 0.7, 1.0, 1.3)


@dataclass(frozen=True, slots=True)
class Case:
    """``load`` of the capacity; ``faults`` puts them on the sim's clock; ``thin``: a call in 8 s a front."""

    load: float
    seconds: float
    faults: Callable[[Simulation], None] = lambda sim: None
    differ: float = 1.0
    late: float = 0.0
    thin: bool = False
    even: bool = False  # boxes of one speed


def _first(sim: Simulation, part: float) -> list[Process]:
    return sim.listed[: max(1, round(part * len(sim.listed)))]


def _killed(sim: Simulation) -> None:
    for process in _first(sim, 0.2):
        sim.at(AT, lambda name=process.name: sim.kill(name))  # type: ignore[misc]
        sim.at(AT + 1.0, lambda name=process.name: sim.start(name))  # type: ignore[misc]


def _replaced(sim: Simulation) -> None:
    for n, process in enumerate(_first(sim, 0.98)):
        when = AT + 37.0 * n / len(sim.listed)
        sim.at(when, lambda name=process.name: sim.kill(name))  # type: ignore[misc]
        sim.at(when + 0.5, lambda name=process.name: sim.start(name))  # type: ignore[misc]


def _slow(sim: Simulation) -> None:
    def factor(value: float) -> None:
        sim.listed[0].factor = value

    sim.at(AT, lambda: factor(0.1))
    sim.at(AT + 30.0, lambda: factor(1.0))


def _fails(how: str) -> Callable[[Simulation], None]:
    def fail(sim: Simulation) -> None:
        sim.at(AT, lambda: sim.break_down(sim.listed[0].name, how))

    return fail


def _stopped(sim: Simulation) -> None:
    for process in _first(sim, 0.2):
        sim.at(AT, lambda name=process.name: sim.stop(name))  # type: ignore[misc]
        sim.at(AT + 8.0, lambda name=process.name: sim.wake(name))  # type: ignore[misc]


def _lies(said: float) -> Callable[[Simulation], None]:
    def lie(sim: Simulation) -> None:
        sim.listed[0].reported_in_flight = said

    return lie


def _cut(sim: Simulation) -> None:
    half = {process.name for process in _first(sim, 0.5)}
    fronts = {front.number for front in sim.fronts if front.number % 2}
    sim.at(AT, lambda: sim.cut.update((number, name) for number in fronts for name in half))
    sim.at(AT + 4.0, sim.cut.clear)


def _restarted(sim: Simulation) -> None:
    def restart() -> None:
        for front in sim.fronts:
            front.restart()

    sim.at(AT, restart)


def _newcomer(sim: Simulation) -> None:
    sim.kill(sim.listed[0].name)
    sim.at(AT, lambda: sim.start(sim.listed[0].name))


CASES = {
    "0.7 of capacity": Case(0.7, 8.0),
    "0.9 of capacity": Case(0.9, 8.0),
    "1.0 of capacity": Case(1.0, 8.0),
    "1.1 of capacity": Case(1.1, 8.0),
    "a fifth killed, back cold": Case(0.6, 12.0, _killed),
    "98% replaced in 37 s": Case(0.4, 44.0, _replaced),
    "one ten times slower": Case(0.8, 12.0, _slow),
    "one fails at once": Case(0.8, 10.0, _fails("error")),
    "one refuses at once": Case(0.8, 10.0, _fails("refuse")),
    "a fifth stopped for 8 s": Case(0.6, 16.0, _stopped),
    "one says it is empty": Case(0.8, 8.0, _lies(0.0)),
    "one says it is full": Case(0.8, 8.0, _lies(60.0)),
    "half cut off from half": Case(0.4, 10.0, _cut),
    "all news 2 s late": Case(0.8, 8.0, late=2.0),
    "all fronts restarted": Case(0.8, 8.0, _restarted),
    "one new beside the loaded": Case(0.8, 10.0, _newcomer, even=True),
    "fronts differ a hundredfold": Case(0.8, 8.0, differ=100.0),
    "a call in 8 s a front": Case(0.8, 8.0, thin=True),
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
    """The case, ready to be run."""
    random = Random(seed * 31 + 7)
    speeds = [1.0 if case.even else random.choice(SPEEDS) for _ in range(processes)]
    if case.thin:
        fronts = round(8.0 * case.load * slots * sum(speeds) / work)
    sim = Simulation(
        policy, fronts, speeds, case.load, seed, slots=slots, work=work, rules=rules, late=case.late, differ=case.differ
    )
    sim.measured_from = FROM
    case.faults(sim)
    return sim


def play(
    name: str, policy: str, fronts: int, processes: int, seed: int, seconds: float | None = None, **how: Any
) -> dict[str, Any]:
    """``seconds``: for as long in place of the case's own span."""
    sim = build(CASES[name], policy, fronts, processes, seed, **how)
    sim.run(seconds or CASES[name].seconds)
    return {"case": name, **sim.figures()}


__all__ = ["AT", "CASES", "FROM", "Case", "Frontend", "build", "play"]
