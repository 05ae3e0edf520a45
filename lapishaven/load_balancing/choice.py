"""The data exchanged between the load balancer and its caller: probes, choices and outcomes of attempts.

Times are in seconds on the caller's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from lapishaven.load_balancing.load_report import LoadReport


class AttemptOutcome(Enum):
    """The outcome of an attempt, as far as it concerns the state of the endpoint."""

    SERVED = "served"
    REJECTED = "rejected"  # the endpoint rejected the request before running it
    UNREACHABLE = "unreachable"  # no connection was established, so nothing was sent
    FAILED = "failed"
    ABANDONED = "abandoned"  # cancelled by the balancer's side


@dataclass(slots=True, eq=False)
class Probe:
    """A request for an endpoint's load report.

    ``choice``: the choice that waits for the answer; ``None`` for a health check.
    """

    probe_id: int
    endpoint: str
    sent_at: float
    choice: Choice | None = None


@dataclass(slots=True, eq=False)
class Choice:
    """An endpoint choice in progress.

    The caller sends ``probes`` and finishes the choice when all are answered, or at ``deadline``.

    Attributes:
        excluded: endpoints that already had an attempt of this request.
        probes: the probes to send.
        deadline: when the choice is made with the answers received so far.
        reports: the received reports by endpoint.
        decided: whether the choice has been made.
    """

    excluded: frozenset[str]
    probes: list[Probe]
    deadline: float
    reports: dict[str, LoadReport] = field(default_factory=dict)
    decided: bool = False

    @property
    def complete(self) -> bool:
        """Whether every probe has been answered."""
        return len(self.reports) == len(self.probes)


class RecentChoice(NamedTuple):
    """A finished choice, recorded for operators: the time, the chosen endpoint and the cost of each candidate."""

    at: float
    endpoint: str
    costs: list[tuple[str, float]]
