"""What passes between the load balancer and its driver: probes, choices and the outcomes of attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from lapishaven.load_balancing.load_report import LoadReport


class AttemptOutcome(Enum):
    """How an attempt ended, as far as it says something of its endpoint."""

    SERVED = "served"
    REJECTED = "rejected"  # the endpoint shed it before it ran
    UNREACHABLE = "unreachable"  # no connection came about, so nothing was sent
    FAILED = "failed"
    ABANDONED = "abandoned"  # cancelled by this side


@dataclass(slots=True, eq=False)
class Probe:
    """A request for an endpoint's load report. ``choice`` waits for it; it is ``None`` for a health check."""

    probe_id: int
    endpoint: str
    sent_at: float  # s
    choice: Choice | None = None


@dataclass(slots=True, eq=False)
class Choice:
    """A choice under way: send ``probes``, then finish it once all are answered, or at ``deadline``.

    Attributes:
        excluded: endpoints that had this request before.
        probes: what is to be sent for it.
        deadline: when it is made with the answers that came until then, in s.
        reports: the answers by endpoint.
        decided: whether it was made.
    """

    excluded: frozenset[str]
    probes: list[Probe]
    deadline: float
    reports: dict[str, LoadReport] = field(default_factory=dict)
    decided: bool = False

    @property
    def complete(self) -> bool:
        """Whether every probe is answered."""
        return len(self.reports) == len(self.probes)


class RecentChoice(NamedTuple):
    """A choice that was made, for operators."""

    at: float  # s
    endpoint: str
    costs: list[tuple[str, float]]  # of each candidate
