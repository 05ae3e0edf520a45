"""Random plans of faults: which process, which fault, when and for how long. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

PROCESS_FAULTS = ("stop", "stop before act", "kill", "kill after act", "leave", "step clock")
COORDINATOR_FAULTS = ("stall", "refuse", "lose", "twice", "late", "restart kept", "restart aged")


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of a process, or of the coordinator if ``process`` is empty.

    ``at`` and ``span`` are in seconds. A stopped process is resumed, and a killed or leaving one restarted, after
    ``span``; for ``step clock`` it is the step.
    """

    at: float
    kind: str
    process: str
    span: float


def draw_faults(
    names: Sequence[str], count: int, seconds: float, ttl: float, seed: int, coordinator: bool
) -> list[Fault]:
    """``count`` faults over ``seconds``, during which at least half of the processes run at any time.

    With ``coordinator`` one fault in five is the coordinator's.
    """
    random = Random(seed)
    back_at: dict[str, float] = {}
    faults = []
    for n in range(count):
        at = seconds * (n + random.random()) / count
        if coordinator and random.random() < 0.2:
            kind = random.choice(COORDINATOR_FAULTS)
            faults.append(Fault(at, kind, "", ttl * random.uniform(0.3, 1.2)))
            continue
        running = [name for name in names if back_at.get(name, 0.0) <= at]
        if len(running) <= len(names) / 2:
            faults.append(Fault(at, "step clock", random.choice(names), random.choice((-3600.0, 3600.0))))
            continue
        name, kind = random.choice(running), random.choice(PROCESS_FAULTS)
        span = ttl * random.uniform(1.3, 2.5) if kind.startswith("stop") else random.uniform(0.2, 1.0)
        if kind == "step clock":
            span = random.choice((-3600.0, 3600.0))
        else:
            back_at[name] = at + span + 1.0
        faults.append(Fault(at, kind, name, span))
    return faults
