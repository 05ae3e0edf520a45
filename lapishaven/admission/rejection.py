"""The reasons for which a request is rejected or failed."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Rejection:
    """The decision of a rule to reject a request, or to fail it if it has run."""

    reason: str
    """A short text for people and the label of a counter; callers must not interpret it."""
    retry_after: float = 0.0
    """Seconds after which capacity is expected; 0 if the rule gives no estimate."""
    no_retry_elsewhere: bool = False
    """Whether the caller should not retry at another instance, because peers would reject the request as well."""
    by_estimate: bool = False
    """Whether it rests on an estimate of run times, which probes pass; see ``EstimateProbes``."""


OUT_OF_MEMORY = Rejection("memory")
OVERLOADED = Rejection("load")
FLEET_OVERLOADED = Rejection("load", no_retry_elsewhere=True)
KEY_TABLE_FULL = Rejection("keys full")
HOPELESS = Rejection("hopeless")
DRAINING = Rejection("drain")
DEADLINE_EXPIRED = Rejection("due")
RUN_CANCELLED = Rejection("stopped")
DEPENDENCY_FAILED = Rejection("call failed")
