"""Health of endpoints by the results of attempts and health checks: Retry-After and outlier ejection. Pure.

Ejection follows Envoy's outlier detection: consecutive failures or a high failure rate eject an endpoint for a time
that doubles with each ejection, and only a fraction of the endpoints may be ejected at the same time.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lapishaven.client import settings

ATTEMPT_WINDOW = 20  # the failure rate is computed over this many attempts
ATTEMPT_WINDOW_MASK = (1 << ATTEMPT_WINDOW) - 1
MAX_EJECTION_DOUBLINGS = 16


class EjectionState(Enum):
    """Whether outlier detection lets an endpoint take requests."""

    HEALTHY = "in"
    EJECTED = "out"  # takes no requests until ``EndpointHealth.ejected_until``
    PROBING = "probing"  # the ejection ended; a health check is under way
    TRIAL = "trial"  # takes one request at a time until one succeeds


@dataclass(slots=True)
class EndpointHealth:
    """The health of one endpoint. Times are in seconds on the policy's clock.

    ``retry_after_until``: no request may be sent before this (the endpoint's Retry-After).
    ``ejected_until``: when an ejection ends.
    ``ejections``: the number of ejections since the endpoint last served a whole window of attempts.
    ``consecutive_failures``: failures since the last success.
    ``recent_failures``: the last attempts as bits, the newest in the lowest bit, 1 for a failure.
    ``recent_attempts``: the number of these bits that are in use.
    ``trial_in_flight``: a request is in flight in the state ``TRIAL``.
    """

    state: EjectionState = EjectionState.HEALTHY
    retry_after_until: float = float("-inf")
    ejected_until: float = 0.0
    ejections: int = 0
    consecutive_failures: int = 0
    recent_failures: int = 0
    recent_attempts: int = 0
    trial_in_flight: bool = False

    def accepts_requests(self, now: float) -> bool:
        """Whether a request may go to the endpoint."""
        if self.retry_after_until > now:
            return False
        if self.state is EjectionState.TRIAL:
            return not self.trial_in_flight
        return self.state is EjectionState.HEALTHY

    def available_at(self, now: float) -> float:
        """Return when a request may go to the endpoint, by its Retry-After and its ejection."""
        return max(self.retry_after_until, self.ejected_until if self.state is EjectionState.EJECTED else now, now)


class OutlierDetector:
    """Ejects failing endpoints, up to a fraction of all endpoints (``rules.out_share``).

    Beyond that fraction, failing endpoints stay selectable: when most endpoints fail, the cause lies elsewhere, and
    sending every request to the few that are left would overload them. ``ejected`` holds the names of the ejected
    endpoints, including those in the states ``PROBING`` and ``TRIAL``.
    """

    def __init__(self, rules: settings.Health) -> None:
        self.rules = rules
        self.ejected: set[str] = set()

    def may_eject(self, endpoints: int) -> bool:
        """Whether one more of ``endpoints`` endpoints may be ejected. One of two or more always may."""
        return endpoints > 1 and len(self.ejected) + 1 <= max(1.0, self.rules.out_share * endpoints)

    def record_success(self, name: str, health: EndpointHealth) -> bool:
        """Record a served attempt; return whether it ends the endpoint's trial."""
        health.consecutive_failures = 0
        self._record(health, failed=False)
        if health.state is EjectionState.TRIAL:
            health.state = EjectionState.HEALTHY
            health.trial_in_flight = False
            health.ejections = max(0, health.ejections - 1)
            self._clear_window(health)
            self.ejected.discard(name)
            return True
        if health.ejections and health.recent_attempts >= ATTEMPT_WINDOW and not health.recent_failures:
            health.ejections = 0
        return False

    def record_rejection(self, health: EndpointHealth) -> None:
        """Record an attempt that did not succeed, without a fault of the endpoint."""
        health.trial_in_flight = False

    def record_failure(self, now: float, name: str, health: EndpointHealth, endpoints: int) -> bool:
        """Record a failed attempt; return whether it ejects the endpoint."""
        health.consecutive_failures += 1
        self._record(health, failed=True)
        if health.state is EjectionState.TRIAL or health.state is EjectionState.PROBING:
            self._eject(now, name, health)
            return True
        if health.state is EjectionState.HEALTHY and self._is_outlier(health) and self.may_eject(endpoints):
            self._eject(now, name, health)
            return True
        return False

    def _is_outlier(self, health: EndpointHealth) -> bool:
        if health.consecutive_failures >= self.rules.failures:
            return True
        failure_rate = health.recent_failures.bit_count() / health.recent_attempts
        return health.recent_attempts >= ATTEMPT_WINDOW and failure_rate >= self.rules.error_share

    def record_unresponsive(self, now: float, name: str, health: EndpointHealth, endpoints: int) -> bool:
        """Record a failed health check, which counts as ``rules.failures`` failures; return whether it ejects."""
        health.consecutive_failures = self.rules.failures
        if health.state is not EjectionState.EJECTED and (name in self.ejected or self.may_eject(endpoints)):
            self._eject(now, name, health)
            return True
        return False

    def end_ejection(self, now: float, health: EndpointHealth) -> bool:
        """End an ejection whose time is over; return whether it ended. Its health check or trial comes next."""
        if health.state is not EjectionState.EJECTED or health.ejected_until > now:
            return False
        health.state = EjectionState.PROBING if self.rules.probes else EjectionState.TRIAL
        health.trial_in_flight = False
        return True

    def record_health_check(self, now: float, name: str, health: EndpointHealth, healthy: bool) -> None:
        """Record the health check after an ejection: if healthy, the trial begins; otherwise eject again."""
        if health.state is not EjectionState.PROBING:
            return
        if healthy:
            health.state = EjectionState.TRIAL
            health.trial_in_flight = False
        else:
            self._eject(now, name, health)

    def forget(self, name: str) -> None:
        """Forget an endpoint that is no longer tracked."""
        self.ejected.discard(name)

    def _eject(self, now: float, name: str, health: EndpointHealth) -> None:
        doublings = min(health.ejections, MAX_EJECTION_DOUBLINGS)
        health.state = EjectionState.EJECTED
        health.ejected_until = now + min(self.rules.out_s * 2**doublings, self.rules.out_max_s)
        health.trial_in_flight = False
        health.ejections += 1
        health.consecutive_failures = 0
        self._clear_window(health)
        self.ejected.add(name)

    def _record(self, health: EndpointHealth, failed: bool) -> None:
        health.recent_failures = (health.recent_failures << 1 | failed) & ATTEMPT_WINDOW_MASK
        health.recent_attempts = min(health.recent_attempts + 1, ATTEMPT_WINDOW)

    def _clear_window(self, health: EndpointHealth) -> None:
        health.recent_failures = 0
        health.recent_attempts = 0
