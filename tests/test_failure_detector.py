"""The failure detector: an unresponsive endpoint is probed until it answers, however long that takes."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from lapishaven.load_balancing.failure_detector import MAX_PROBE_INTERVAL_S, FailureDetector, OutstandingProbe
from lapishaven.load_balancing.rules import BalancingRules

DAY_S = 86_400.0


@dataclass(eq=False)
class Endpoint:
    """An endpoint that answers no probe."""

    last_heard_at: float = 0.0
    in_flight: int = 1
    outstanding_probe: OutstandingProbe | None = None
    suspected_since: float | None = None


def probe_times(detector: FailureDetector[Endpoint], until: float) -> list[float]:
    """Run the detector's checks in simulated time; returns when it probed."""
    times = []
    while (now := detector.next_check_at()) <= until:
        to_probe, _ = detector.check(now, lambda endpoint: True)
        times += [now] * len(to_probe)
    return times


def test_an_endpoint_that_was_silent_for_a_day_is_found_within_two_probe_intervals() -> None:
    """Guards the backoff against overflow: it ended the probes for good after about an hour."""
    detector: FailureDetector[Endpoint] = FailureDetector(BalancingRules(), Random(1))
    endpoint = Endpoint()
    detector.probe_sent(0.0, endpoint)
    times = probe_times(detector, DAY_S)
    longest_interval_s = 1.2 * MAX_PROBE_INTERVAL_S
    assert DAY_S - times[-1] <= longest_interval_s
    assert detector.next_check_at() <= DAY_S + 2 * longest_interval_s
    assert detector.response_received(endpoint)
    assert endpoint.suspected_since is None and not detector.suspects


def test_a_probe_timeout_that_grew_ends_no_probes() -> None:
    """Guards against an endpoint that is never probed again: its check came before the timeout, which had grown."""
    detector: FailureDetector[Endpoint] = FailureDetector(BalancingRules(), Random(2))
    endpoint = Endpoint()
    detector.probe_sent(0.0, endpoint)
    detector.set_one_way_delay(0.5)  # a slow network: the timeout is now 3 s, above the longest probe interval
    times = probe_times(detector, 60.0)
    assert times[0] == detector.probe_timeout_s
    assert len(times) >= 60.0 / detector.probe_timeout_s / 1.5 and 60.0 - times[-1] <= 2 * detector.probe_timeout_s
    assert endpoint in detector.suspects
