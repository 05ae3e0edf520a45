"""The tunable limits of the load balancer."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BalancingRules:
    """Limits of choosing, failure detection, ejection and retries. ``settings.FIELDS`` maps TOML keys to them.

    Attributes:
        probes_per_choice: endpoints that are probed for each choice.
        probe_wait_s: longest time for which a choice waits for the answers to its probes.
        cached_reports: load reports that are kept to choose by; 0 for none.
        report_uses: requests that may be sent on the strength of one cached report.
        cached_report_life_s: age at which a cached report is dropped.
        report_decay_requests: time constant with which a report loses its weight, in durations of a typical request.
        watch_interval_s: an endpoint that has our requests in flight is probed when nothing came from it for this long.
        probe_timeout_s: an endpoint that leaves a probe unanswered for this long is suspected to be unresponsive.
        uncertain_after_s: a request that is not idempotent and waits on a suspected endpoint fails after this, with an
            uncertain outcome.
        panic_fraction: when more than this part of the last probes went unanswered nobody more is suspected, as the
            fault is more likely on this side.
        ejection_failures: failures in a row after which an endpoint is ejected.
        base_ejection_s: duration of a first ejection, doubled with each further one.
        max_ejection_s: upper bound of that duration.
        max_ejected_fraction: part of all endpoints that may be ejected at one time; one always may.
        retry_ratio: retries that are allowed for each first attempt.
        raised_retry_ratio: the same, for a while after several endpoints became unresponsive at once.
        raised_ratio_s: how long that while is.
        initial_request_s: duration of a typical request until one was measured.
    """

    probes_per_choice: int = 2
    probe_wait_s: float = 0.01
    cached_reports: int = 4
    report_uses: int = 1
    cached_report_life_s: float = 1.0
    report_decay_requests: float = 1.0
    watch_interval_s: float = 0.3
    probe_timeout_s: float = 0.15
    uncertain_after_s: float = 0.6
    panic_fraction: float = 0.5
    ejection_failures: int = 3
    base_ejection_s: float = 1.0
    max_ejection_s: float = 30.0
    max_ejected_fraction: float = 0.2
    retry_ratio: float = 0.1
    raised_retry_ratio: float = 0.4
    raised_ratio_s: float = 3.0
    initial_request_s: float = 0.3
