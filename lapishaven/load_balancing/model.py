"""The rules of spreading and what passes between the policy and its driver."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from lapishaven.load_balancing.load_report import LoadReport


class Ending(Enum):
    """How an attempt ended, as far as choosing goes."""

    SERVED = "served"
    REFUSED = "refused"  # turned away unrun
    UNREACHED = "unreached"  # nothing was sent
    FAILED = "failed"
    LEFT = "left"  # given up by this side


@dataclass(frozen=True, slots=True)
class Rules:
    """Times in seconds. ``probes``: questions for a choice. ``wait``: how long a choice waits for answers.
    ``pool``: words of load that are kept to choose by, each used ``uses`` times and for ``pool_life`` at the most.
    ``memory``: how long a word sways, in spans of a usual request. ``watch``: how long after its last word a process
    with something of ours in hand is asked whether it is there. ``silent``: a question unanswered for this long makes a
    suspect. ``uncertain``: a commit on a suspect is told uncertain after this. ``panic``: with more than this part
    silent, the machine is slow and nobody is suspected. ``faults`` in a row make an outcast for ``out`` (doubled each
    time, up to ``out_most``), of at most ``out_part`` of all. ``budget``: second tries for each first one; up to
    ``budget_high`` for ``high_span`` after several fell silent at once."""

    probes: int = 2
    wait: float = 0.01
    pool: int = 4
    uses: int = 1
    pool_life: float = 1.0
    memory: float = 1.0
    watch: float = 0.3
    silent: float = 0.15
    uncertain: float = 0.6
    panic: float = 0.5
    faults: int = 3
    out: float = 1.0
    out_most: float = 30.0
    out_part: float = 0.2
    budget: float = 0.1
    budget_high: float = 0.4
    high_span: float = 3.0
    usual: float = 0.3  # s of a usual request, until it is measured


@dataclass(slots=True, eq=False)
class Probe:
    """A question to one process. ``choice``: what waits for it; none where it is asked to hear whether it is there."""

    id: int
    name: str
    asked: float
    choice: Choice | None = None


@dataclass(slots=True, eq=False)
class Choice:
    """A choice under way: ``ask`` these, and settle it once all answered or at ``until``."""

    avoid: frozenset[str]
    ask: list[Probe]
    until: float
    told: dict[str, LoadReport] = field(default_factory=dict)
    settled: bool = False

    @property
    def complete(self) -> bool:
        return len(self.told) == len(self.ask)
