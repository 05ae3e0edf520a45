"""Outlier ejection: an endpoint that goes on failing is ejected for a bounded time, again and again."""

from __future__ import annotations

from random import Random

from lapishaven.load_balancing.endpoint_state import EndpointState
from lapishaven.load_balancing.outlier_ejection import MAX_JITTER, OutlierEjection
from lapishaven.load_balancing.rules import BalancingRules


def test_thousands_of_failures_in_a_row_eject_for_at_most_the_longest_duration() -> None:
    """Guards the doubled duration against overflow, after which no failure was recorded any more."""
    rules = BalancingRules()
    ejection = OutlierEjection(rules, Random(1))
    endpoint = EndpointState("127.0.0.1:1")
    now = 0.0
    for _ in range(3000):
        now = max(now, endpoint.ejected_until)
        while not ejection.record_failure(now, endpoint, 10):
            pass
        assert now < endpoint.ejected_until <= now + rules.max_ejection_s * MAX_JITTER
