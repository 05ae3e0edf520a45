"""Draws what happens in one run of the soak from its seed. Pure.

Times are in seconds from the start of the load. A run on an *inherited* socket has upgrades, in which two or more
processes serve at once; in a run without one, a process that was terminated is replaced by a cold one.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

from lapishaven.lab import site
from lapishaven.lab.interpreter import Work

LOAD_S = 8.0  # length of the main load
FIRST_STEP_S = 0.8
LAST_STEP_S = 6.0  # a later step would cross the end of the load
STEP_GAP_S = (0.0, 2.2)  # between two steps
CLOSE_GAP_S = (0.0, 0.06)  # between two signals that are sent close together
OUTAGE_S = (0.1, 1.2)
CROWD_S = 1.5
KEYED_CLASS = site.RequestClass("segment-sync", 0.2, Work(0.17, 0.30), 1.5, 4.5, 1.0, False)
ADDED_CLASS = site.RequestClass("glossary-hint", 0.2, Work(0.17, 0.30), 1.5, 4.5, 1.0, True)
STOP_MS = (2600, 3200, 5000)
DEADLINE_FACTORS = (1.0, 0.5, 0.3)


class StepKind(Enum):
    """What is done to the processes round the callers."""

    RELOAD = "SIGHUP with changed settings"
    MOVE_INTERPRETER = "SIGHUP with another address of the interpreter"
    RELOAD_BROKEN = "SIGHUP with a file that is cut short"
    UPGRADE = "upgrade"
    UPGRADE_TWICE = "a second upgrade while the first old process drains"
    TERMINATE_EARLY = "SIGTERM to the old process before the new one is ready"
    RELOAD_THEN_TERMINATE = "SIGHUP just before SIGTERM"
    TERMINATE_THEN_RELOAD = "SIGHUP just after SIGTERM"
    TERMINATE_TWICE = "SIGTERM twice"
    TERMINATE = "SIGTERM"
    KILL = "SIGKILL and a cold start"
    CUT_INTERPRETER = "the interpreter's connection breaks"
    INTERPRETER_DOWN = "the interpreter is gone and comes back without its runs"
    CATALOG_DOWN = "the catalog is away"


ANYWHERE = (
    StepKind.RELOAD,
    StepKind.MOVE_INTERPRETER,
    StepKind.RELOAD_BROKEN,
    StepKind.RELOAD_THEN_TERMINATE,
    StepKind.TERMINATE_THEN_RELOAD,
    StepKind.TERMINATE_TWICE,
    StepKind.KILL,
    StepKind.CUT_INTERPRETER,
    StepKind.INTERPRETER_DOWN,
    StepKind.CATALOG_DOWN,
)
INHERITED_ONLY = (StepKind.UPGRADE, StepKind.UPGRADE_TWICE, StepKind.TERMINATE_EARLY, StepKind.UPGRADE)
OWN_SOCKET_ONLY = (StepKind.TERMINATE, StepKind.TERMINATE)


@dataclass(frozen=True, slots=True)
class Step:
    """One step: when, what, and a drawn duration (of an outage, or between two signals sent close together)."""

    at: float
    kind: StepKind
    duration_s: float


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """One run.

    Attributes:
        seed: the seed that it was drawn from.
        inherited: whether the platform holds the callers' socket and passes it to the servers.
        rate: requests a second of the callers that use connections until their end, and of as many that heed notices.
        crowd_rate: further requests a second for ``CROWD_S`` from ``crowd_at`` on; 0 for none.
        crowd_connections: over which these come.
        speed: of the stand-in interpreters' cores, in standard cores.
        stop_ms: from SIGTERM to SIGKILL, as the settings have it at the start.
        reloaded_stop_ms: the same after a reload with changed settings.
        deadline_factor: by which the classes' deadlines are multiplied.
        interpreter_delay_s: how much later than its server each interpreter is up.
        steps: what is done during the load.
    """

    seed: int
    inherited: bool
    rate: float
    crowd_rate: float
    crowd_at: float
    crowd_connections: int
    speed: float
    stop_ms: int
    reloaded_stop_ms: int
    deadline_factor: float
    interpreter_delay_s: float
    steps: tuple[Step, ...]

    @property
    def classes(self) -> tuple[site.RequestClass, ...]:
        """The classes of requests that callers use."""
        return tuple(_scaled(kind, self.deadline_factor) for kind in (*site.CLASSES, KEYED_CLASS))

    @property
    def reloaded_classes(self) -> tuple[site.RequestClass, ...]:
        """The classes after a reload with changed settings: one more."""
        return (*self.classes, _scaled(ADDED_CLASS, self.deadline_factor))


def _scaled(kind: site.RequestClass, factor: float) -> site.RequestClass:
    return site.RequestClass(
        kind.name, kind.share, kind.work, kind.objective_s * factor, kind.deadline_s * factor, kind.worth, kind.safe
    )


def draw_plan(seed: int) -> SoakPlan:
    """Draw the plan of one run."""
    random = Random(f"soak/{seed}")
    inherited = random.random() < 0.5
    has_crowd = random.random() < 0.35
    speed = random.choice((2.0, 4.0))
    rate = random.uniform(8.0, 14.0) * speed / 2.0
    return SoakPlan(
        seed=seed,
        inherited=inherited,
        rate=round(rate, 1),
        crowd_rate=round(random.uniform(60.0, 120.0) * speed / 2.0, 1) if has_crowd else 0.0,
        crowd_at=round(random.uniform(0.5, 5.0), 2),
        crowd_connections=random.randint(40, 120),
        speed=speed,
        stop_ms=random.choice(STOP_MS),
        reloaded_stop_ms=random.choice(STOP_MS),
        deadline_factor=random.choice(DEADLINE_FACTORS),
        interpreter_delay_s=round(random.choice((0.0, 0.0, random.uniform(0.1, 1.0))), 2),
        steps=_draw_steps(random, inherited),
    )


def _draw_steps(random: Random, inherited: bool) -> tuple[Step, ...]:
    kinds = ANYWHERE + (INHERITED_ONLY if inherited else OWN_SOCKET_ONLY)
    steps = []
    at = FIRST_STEP_S
    while at < LAST_STEP_S:
        kind = random.choice(kinds)
        outage = kind in (StepKind.INTERPRETER_DOWN, StepKind.CATALOG_DOWN)
        duration_s = random.uniform(*(OUTAGE_S if outage else CLOSE_GAP_S))
        steps.append(Step(round(at, 3), kind, round(duration_s, 4)))
        at += random.uniform(*STEP_GAP_S)
    return tuple(steps)
