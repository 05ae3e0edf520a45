"""Ejects endpoints after several consecutive failures, like Envoy's outlier detection."""

from __future__ import annotations

from random import Random

from lapishaven.load_balancing.endpoint_state import EndpointState
from lapishaven.load_balancing.rules import BalancingRules

# Random factor of an ejection's duration, so that balancers do not all return to the endpoint at the same time.
MIN_JITTER, MAX_JITTER = 0.8, 1.2
MAX_DOUBLINGS = 32  # keeps the power finite; the duration reaches its upper bound before


class OutlierEjection:
    """Ejects an endpoint after ``ejection_failures`` consecutive failures, for a duration that doubles each time.

    After an ejection the endpoint gets one trial attempt; if that fails, it is ejected again immediately. At most
    ``max_ejected_fraction`` of the endpoints are ejected at the same time, because a fault on the balancer's side (its
    network or disk) appears as a failure of all endpoints.
    """

    def __init__(self, rules: BalancingRules, random: Random) -> None:
        self._rules = rules
        self._random = random
        self._ejected: set[EndpointState] = set()  # each until it serves a request again

    def record_success(self, endpoint: EndpointState) -> None:
        """Record a served attempt; this ends the endpoint's trial."""
        endpoint.consecutive_failures = 0
        endpoint.ejections = 0
        endpoint.on_trial = False
        self._ejected.discard(endpoint)

    def record_failure(self, now: float, endpoint: EndpointState, endpoint_count: int) -> bool:
        """Record an attempt that failed or could not be sent; return whether the endpoint is ejected now.

        ``endpoint_count``: the total number of endpoints.
        """
        endpoint.consecutive_failures += 1
        should_eject = endpoint.on_trial or endpoint.consecutive_failures >= self._rules.ejection_failures
        if not should_eject or not self._may_eject(endpoint, endpoint_count):
            return False
        doublings = min(endpoint.ejections, MAX_DOUBLINGS)
        duration_s = min(self._rules.max_ejection_s, self._rules.base_ejection_s * 2**doublings)
        endpoint.ejected_until = now + duration_s * self._random.uniform(MIN_JITTER, MAX_JITTER)
        endpoint.ejections += 1
        endpoint.on_trial = True
        endpoint.consecutive_failures = 0
        self._ejected.add(endpoint)
        return True

    def _may_eject(self, endpoint: EndpointState, endpoint_count: int) -> bool:
        if endpoint in self._ejected:
            return True
        return len(self._ejected) + 1 <= max(1.0, self._rules.max_ejected_fraction * endpoint_count)

    def forget(self, endpoint: EndpointState) -> None:
        """Discard the state of a removed endpoint."""
        self._ejected.discard(endpoint)
