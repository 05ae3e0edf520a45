"""Why a request is rejected or fails."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Rejection:
    """The verdict of a rule that rejects a request, or fails it if it has run."""

    reason: str
    """For people and counters, not for callers."""
    retry_after: float = 0.0
    """Seconds after which there will be capacity; 0 if the rule cannot say."""
    no_retry_elsewhere: bool = False
    """Whether peers would reject the request as well."""


OUT_OF_MEMORY = Rejection("memory")
OVERLOADED = Rejection("load")
FLEET_OVERLOADED = Rejection("load", no_retry_elsewhere=True)
KEY_TABLE_FULL = Rejection("keys full")
HOPELESS = Rejection("hopeless")
DRAINING = Rejection("drain")
DEADLINE_EXPIRED = Rejection("due")
RUN_CANCELLED = Rejection("stopped")
DEPENDENCY_FAILED = Rejection("call failed")
