"""The load balancer: chooses an endpoint for each request from sparse and outdated load reports.

    choice = balancer.begin_choice(now)
    # send choice.probes, and pass each answer to receive_probe_answer
    endpoint = balancer.finish_choice(now, choice)  # when all probes are answered, or at choice.deadline
    sent_at = now
    balancer.attempt_started(sent_at, endpoint)
    balancer.attempt_ended(now, endpoint, sent_at, AttemptOutcome.SERVED)  # when the attempt has ended

The balancer performs no I/O, and the time, in seconds, is an argument. See ``docs/design/spread.md`` for the design.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from random import Random
from typing import Any

from lapishaven.load_balancing.choice import AttemptOutcome, Choice, Probe
from lapishaven.load_balancing.endpoint_selector import EndpointSelector
from lapishaven.load_balancing.endpoint_state import EndpointState
from lapishaven.load_balancing.endpoint_status import describe
from lapishaven.load_balancing.endpoint_table import EndpointTable
from lapishaven.load_balancing.failure_detector import FailureDetector
from lapishaven.load_balancing.fleet_averages import FleetAverages
from lapishaven.load_balancing.load_report import LoadReport
from lapishaven.load_balancing.outlier_ejection import OutlierEjection
from lapishaven.load_balancing.outstanding_probes import OutstandingProbes
from lapishaven.load_balancing.report_cache import ReportCache
from lapishaven.load_balancing.retry_budget import RetryBudget
from lapishaven.load_balancing.rules import BalancingRules

# A choice probe discards the expired probes if the number of probes sent so far is a multiple of this. Health-check
# probes also count, so that a multiple may be skipped.
PROBES_BETWEEN_CLEANUPS = 64


class LoadBalancer:
    """Tracks the state of all endpoints and chooses among them.

    Attributes:
        counts: number of events by name; exported as metrics:
            "probes": probes sent, of which "watches" are health checks;
            "answers": probe answers matched to a probe; "strays": answers that match no probe or no current endpoint;
            "chosen": choices among endpoints with a load report; "blind": choices without any usable load report;
            "suspects": endpoints that became suspected; "back": suspected endpoints that responded again;
            "cast out": ejections.
        retry_budget: the caller withdraws from it before each retry.
    """

    def __init__(self, rules: BalancingRules, random: Random) -> None:
        self.rules = rules
        self.endpoints = EndpointTable()
        self.averages = FleetAverages(rules)
        self.failure_detector: FailureDetector[EndpointState] = FailureDetector(rules, random)
        self.retry_budget = RetryBudget(rules)
        self.counts: Counter[str] = Counter()
        self.selector = EndpointSelector(rules, random, self.endpoints, self.averages, self.failure_detector)
        self._cache = ReportCache(rules, random, self.selector.cost)
        self._ejection = OutlierEjection(rules, random)
        self._probes = OutstandingProbes(random)

    def set_endpoints(self, names: Iterable[str]) -> None:
        """Replace the set of endpoints. Requests in flight at a removed endpoint continue."""
        for removed in self.endpoints.replace(names):
            self._cache.forget(removed)
            self._ejection.forget(removed)
            self.failure_detector.forget(removed)

    def is_usable(self, now: float, endpoint: EndpointState) -> bool:
        """Whether a request may be sent to the endpoint now."""
        return self.selector.is_usable(now, endpoint)

    # ---- Choices
    def begin_choice(self, now: float, excluded: frozenset[str] = frozenset(), first: bool = True) -> Choice:
        """Start choosing an endpoint for an attempt; the caller sends the probes of the returned choice.

        ``excluded``: endpoints that already had an attempt of this request.
        ``first``: whether this is the request's first attempt, which adds to the retry budget.
        """
        if first:
            self.retry_budget.deposit(now)
        choice = Choice(excluded, self._create_probes(now, excluded), now + self.rules.probe_wait_s)
        for probe in choice.probes:
            probe.choice = choice
            self._record_probe(now, probe)
        return choice

    def _create_probes(self, now: float, excluded: frozenset[str]) -> list[Probe]:
        probes: list[Probe] = []
        sampled: set[str] = set()
        if len(self.endpoints) <= 1:
            return probes
        for _ in range(self.rules.probes_per_choice):
            endpoint = self.selector.sample(now, excluded, sampled)
            if endpoint is None:
                break
            sampled.add(endpoint.name)
            probes.append(self._probes.create(now, endpoint.name))
        return probes

    def _record_probe(self, now: float, probe: Probe) -> None:
        """Record a choice probe. The failure detector records its health-check probes itself."""
        self.counts["probes"] += 1
        endpoint = self.endpoints.state_of(probe.endpoint)
        if endpoint is not None:
            self.failure_detector.probe_sent(now, endpoint)
        if self.counts["probes"] % PROBES_BETWEEN_CLEANUPS == 0:
            self._probes.discard_expired(now)

    def finish_choice(self, now: float, choice: Choice) -> str | None:
        """Return the endpoint to send the request to; ``None`` if none is usable.

        The candidates are the endpoints that answered their probe and the cached endpoint with the lowest cost.
        """
        choice.decided = True
        candidates = self.selector.filter_usable(now, list(choice.reports))
        cached = self._cache.least_cost(now, choice.excluded, self.selector.is_usable)
        if cached is not None and cached not in candidates:
            candidates.append(cached)
        if not candidates:
            self.counts["blind"] += 1
            endpoint = self.selector.choose_without_reports(now, choice)
            return endpoint.name if endpoint is not None else None
        self.counts["chosen"] += 1
        candidates = self.selector.limit_slow_start(candidates, len(choice.probes))
        return self.selector.choose_least_cost(now, candidates).name

    # ---- Reports
    def receive_probe_answer(self, now: float, probe_id: int, report: LoadReport) -> Choice | None:
        """Record the answer to a probe; return the probe's choice if this was the last answer that it waited for."""
        probe = self._probes.pop(probe_id)
        endpoint = self.endpoints.state_of(probe.endpoint) if probe is not None else None
        if probe is None or endpoint is None:
            self.counts["strays"] += 1
            return None
        self.counts["answers"] += 1
        self.receive_report(now, endpoint.name, probe.sent_at, report)
        self.averages.observe_probe_answer(report, now - probe.sent_at)
        self.failure_detector.set_one_way_delay(self.averages.one_way_s)
        choice = probe.choice
        if choice is None or choice.decided:
            return None
        choice.reports[endpoint.name] = report
        return choice if choice.complete else None

    def receive_report(self, now: float, name: str, as_of: float, report: LoadReport | None) -> None:
        """Record that an endpoint responded, and its report, if any; see ``EndpointState.receive_report``."""
        endpoint = self.endpoints.state_of(name)
        if endpoint is None:
            return
        if self.failure_detector.response_received(endpoint):
            self.counts["back"] += 1
        if not endpoint.receive_report(now, as_of, report) or report is None:
            return
        self.averages.observe_slots(report.slots)
        self.endpoints.set_slots(name, report.slots, self.averages.slots)
        self._cache.add(now, endpoint)

    def receive_response_report(self, now: float, name: str, report: LoadReport | None) -> None:
        """Record a response and the report in it, if any; the endpoint made the report when it sent the response."""
        self.receive_report(now, name, now - self.averages.one_way_s, report)

    # ---- Attempts
    def attempt_started(self, now: float, name: str) -> None:
        """Record that a request was sent to an endpoint. ``now`` identifies the attempt in ``attempt_ended``."""
        endpoint = self.endpoints.state_of(name)
        if endpoint is None:
            return
        endpoint.attempt_started(now, self.averages.load_per_slot, self.averages.request_s, self.rules)
        self.failure_detector.request_sent(now, endpoint)

    def attempt_ended(
        self, now: float, name: str, sent_at: float, outcome: AttemptOutcome, retry_after_s: float = 0.0
    ) -> None:
        """Record the end of an attempt.

        ``sent_at``: the time that was passed to ``attempt_started``. ``retry_after_s``: how long the endpoint asked not
        to be sent requests (its Retry-After). Rejected and abandoned attempts count neither for nor against an
        ejection. A report in the response is recorded separately, by ``receive_response_report``.
        """
        endpoint = self.endpoints.state_of(name)
        if endpoint is None:
            return
        endpoint.attempt_ended(now, sent_at, outcome, self.averages.request_s, self.averages.speed)
        if outcome is AttemptOutcome.SERVED:
            self.averages.observe_request(now - sent_at)
            self.failure_detector.set_request_duration(self.averages.request_s)
            self._ejection.record_success(endpoint)
        elif outcome is AttemptOutcome.REJECTED:
            endpoint.retry_after_until = max(endpoint.retry_after_until, now + retry_after_s)
        elif outcome in (AttemptOutcome.FAILED, AttemptOutcome.UNREACHABLE):
            if self._ejection.record_failure(now, endpoint, len(self.endpoints)):
                self.counts["cast out"] += 1

    # ---- Failure detection
    def check_responsiveness(self, now: float) -> tuple[list[Probe], list[str]]:
        """Return the health-check probes to send now, and the names of the endpoints that are newly suspected."""
        to_probe, newly_suspected = self.failure_detector.check(now, self.endpoints.is_current)
        probes = []
        for endpoint in to_probe:
            probe = self._probes.create(now, endpoint.name)
            self.counts["probes"] += 1
            self.counts["watches"] += 1
            probes.append(probe)
        if newly_suspected:
            self.counts["suspects"] += len(newly_suspected)
            self.retry_budget.raise_ratio(now, len(self.failure_detector.suspects))
        return probes, [endpoint.name for endpoint in newly_suspected]

    def suspected_since(self, name: str) -> float | None:
        """When the probe was sent whose missing answer made the endpoint suspected; ``None`` if it is not suspected."""
        endpoint = self.endpoints.state_of(name)
        if endpoint is None or endpoint not in self.failure_detector.suspects:
            return None
        return endpoint.suspected_since

    def next_check_at(self) -> float:
        """When ``check_responsiveness`` should be called next; infinity if there is nothing to check."""
        return self.failure_detector.next_check_at()

    # ---- For operators
    def describe_endpoints(self, now: float) -> list[dict[str, Any]]:
        """Return the rows of ``lapishaven spread status``, one per endpoint."""
        rows = []
        for name in sorted(self.endpoints.names()):
            endpoint = self.endpoints.state_of(name)
            assert endpoint is not None
            suspected = endpoint in self.failure_detector.suspects
            load = endpoint.estimated_load(now, self.averages.load_per_slot, self.averages.request_s, self.rules)
            rows.append(describe(now, endpoint, suspected, load, self.selector.cost(now, endpoint)))
        return rows
