"""Ejection of endpoints that fail several times in a row, as in Envoy's outlier detection."""

from __future__ import annotations

from random import Random

from lapishaven.load_balancing.endpoint_state import EndpointState
from lapishaven.load_balancing.rules import BalancingRules

MIN_JITTER, MAX_JITTER = 0.8, 1.2  # of an ejection's duration, lest balancers return at one time


class OutlierEjection:
    """Ejects after ``ejection_failures`` in a row, for a duration that doubles each time. When it is over the endpoint
    gets one attempt on trial: if that fails it is ejected again at once. At most ``max_ejected_fraction`` are out at
    one time, as a fault of this side (its network, its disk) shows as a failure of all."""

    def __init__(self, rules: BalancingRules, random: Random) -> None:
        self._rules = rules
        self._random = random
        self._ejected: set[EndpointState] = set()  # until they serve again

    def record_success(self, endpoint: EndpointState) -> None:
        """An attempt was served: the endpoint is trusted again."""
        endpoint.consecutive_failures = 0
        endpoint.ejections = 0
        endpoint.on_trial = False
        self._ejected.discard(endpoint)

    def record_failure(self, now: float, endpoint: EndpointState, endpoint_count: int) -> bool:
        """An attempt failed or could not be sent; whether the endpoint is ejected for it.

        ``endpoint_count``: how many endpoints there are.
        """
        endpoint.consecutive_failures += 1
        suspicious = endpoint.on_trial or endpoint.consecutive_failures >= self._rules.ejection_failures
        if not suspicious or not self._may_eject(endpoint, endpoint_count):
            return False
        duration_s = min(self._rules.max_ejection_s, self._rules.base_ejection_s * 2**endpoint.ejections)
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
        """The endpoint was removed."""
        self._ejected.discard(endpoint)
