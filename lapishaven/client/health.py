"""What each server's answers say of it: advice to stay away, and the ejection of outliers. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lapishaven.client import settings

ATTEMPT_WINDOW = 20  # tries over which the share of failures counts


class EjectionState(Enum):
    HEALTHY = "in"
    EJECTED = "out"  # left out until a time
    PROBING = "probing"  # that time came; it was asked how it is
    TRIAL = "trial"  # one request at a time, until one succeeds


@dataclass(slots=True)
class EndpointHealth:
    """One server. A refusal is an answer like any other: it keeps the server away for its span, no longer."""

    state: EjectionState = EjectionState.HEALTHY
    retry_after_until: float = float("-inf")  # advice: nothing goes there before this
    ejected_until: float = 0.0  # of OUT
    ejections: int = 0  # ejections since it last stood well
    consecutive_failures: int = 0  # failures in a row
    recent_failures: int = 0  # the last tries as bits, 1 for a failure
    recent_attempts: int = 0  # how many of them there are
    trial_in_flight: bool = False

    def accepts_requests(self, now: float) -> bool:
        """Whether a request may go there."""
        if self.retry_after_until > now:
            return False
        return self.state is EjectionState.HEALTHY or (self.state is EjectionState.TRIAL and not self.trial_in_flight)

    def available_at(self, now: float) -> float:
        """When a request may go there, as far as is known."""
        return max(self.retry_after_until, self.ejected_until if self.state is EjectionState.EJECTED else now, now)


class OutlierDetector:
    """Leaves out what fails more than the others, never more than a share of all servers.

    Past the cap a failing server stays selectable: where most fail, the fault is not theirs, and to send
    everything to the few that are left would bring these down.
    """

    def __init__(self, rules: settings.Health) -> None:
        self.rules = rules
        self.ejected: set[str] = set()

    def may_eject(self, servers: int) -> bool:
        """Whether one more of so many servers may be left out. Of two or more one always may."""
        return servers > 1 and len(self.ejected) + 1 <= max(1.0, self.rules.out_share * servers)

    def record_success(self, name: str, health: EndpointHealth) -> bool:
        """Note a served try; true if the server comes back in with it."""
        health.consecutive_failures = 0
        self._record(health, 0)
        if health.state is EjectionState.TRIAL:
            health.state, health.trial_in_flight = EjectionState.HEALTHY, False
            health.ejections = max(0, health.ejections - 1)
            health.recent_failures = health.recent_attempts = 0
            self.ejected.discard(name)
            return True
        if health.ejections and health.recent_attempts >= ATTEMPT_WINDOW and not health.recent_failures:
            health.ejections = 0
        return False

    def record_rejection(self, health: EndpointHealth) -> None:
        """It refused or failed in an orderly way: no success, but alive."""
        health.trial_in_flight = False

    def record_failure(self, now: float, name: str, health: EndpointHealth, servers: int) -> bool:
        """Note a failed try; true if the server is left out from now on."""
        health.consecutive_failures += 1
        self._record(health, 1)
        if health.state is EjectionState.TRIAL or health.state is EjectionState.PROBING:
            self._eject(now, name, health)
            return True
        share = health.recent_failures.bit_count() / health.recent_attempts
        bad = health.consecutive_failures >= self.rules.failures or (
            health.recent_attempts >= ATTEMPT_WINDOW and share >= self.rules.error_share
        )
        if health.state is EjectionState.HEALTHY and bad and self.may_eject(servers):
            self._eject(now, name, health)
            return True
        return False

    def record_unresponsive(self, now: float, name: str, health: EndpointHealth, servers: int) -> bool:
        """It said nothing, not even to a probe: that weighs as much as a row of failures."""
        health.consecutive_failures = self.rules.failures
        if health.state is not EjectionState.EJECTED and (name in self.ejected or self.may_eject(servers)):
            self._eject(now, name, health)
            return True
        return False

    def end_ejection(self, now: float, health: EndpointHealth) -> bool:
        """Whether its time out is over; it is then to be probed, or tried at once where there are no probes."""
        if health.state is not EjectionState.EJECTED or health.ejected_until > now:
            return False
        health.state = EjectionState.PROBING if self.rules.probes else EjectionState.TRIAL
        health.trial_in_flight = False
        return True

    def record_probe(self, now: float, name: str, health: EndpointHealth, good: bool) -> None:
        """The answer to a probe on the way back."""
        if health.state is not EjectionState.PROBING:
            return
        if good:
            health.state, health.trial_in_flight = EjectionState.TRIAL, False
        else:
            self._eject(now, name, health)

    def forget(self, name: str) -> None:
        self.ejected.discard(name)

    def _eject(self, now: float, name: str, health: EndpointHealth) -> None:
        span = min(self.rules.out_s * 2 ** min(health.ejections, 16), self.rules.out_max_s)
        health.state, health.ejected_until, health.trial_in_flight = EjectionState.EJECTED, now + span, False
        health.ejections += 1
        health.consecutive_failures = health.recent_failures = health.recent_attempts = 0
        self.ejected.add(name)

    def _record(self, health: EndpointHealth, bad: int) -> None:
        health.recent_failures = (health.recent_failures << 1 | bad) & ((1 << ATTEMPT_WINDOW) - 1)
        health.recent_attempts = min(health.recent_attempts + 1, ATTEMPT_WINDOW)
