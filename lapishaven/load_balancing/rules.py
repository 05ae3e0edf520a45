"""The tunable parameters of the load balancer."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BalancingRules:
    """Parameters of endpoint selection, failure detection, ejection and retries.

    ``settings.NUMERIC_KEYS`` maps the keys of the settings file to these fields.


    Attributes:
        probes_per_choice: number of endpoints that are probed for each choice.
        probe_wait_s: maximum time that a choice waits for the answers to its probes.
        cached_reports: capacity of the report cache; 0 disables it.
        report_uses: number of requests that may be sent because of one cached report.
        cached_report_life_s: age above which a cached report is dropped.
        report_decay_requests: time constant of the exponential decay of a report's weight, in multiples of the duration
            of a typical request.
        watch_interval_s: an endpoint with requests of this balancer in flight is probed when nothing has been received
            from it for this long.
        probe_timeout_s: an endpoint that does not answer a probe within this time is suspected of being unresponsive.
        uncertain_after_s: a request that is not idempotent fails with an uncertain outcome when its endpoint has been
            unresponsive for this long.
        panic_fraction: while more than this fraction of the recent probes is unanswered, no further endpoint is
            suspected, because the fault is more likely on the balancer's side.
        ejection_failures: number of consecutive failures after which an endpoint is ejected.
        base_ejection_s: duration of the first ejection; doubled for each further one.
        max_ejection_s: maximum duration of an ejection, before jitter.
        max_ejected_fraction: maximum fraction of all endpoints that may be ejected at the same time; one always may.
        retry_ratio: number of retries allowed per first attempt.
        raised_retry_ratio: the retry ratio after several endpoints became unresponsive at once.
        raised_ratio_s: how long ``raised_retry_ratio`` then applies.
        initial_request_s: initial value of the mean duration of a request.
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
