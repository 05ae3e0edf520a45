"""The load balancer: which of many endpoints gets a request, from little and old knowledge of each.

    choice = balancer.begin_choice(now)
    # send choice.probes, pass each answer to receive_probe_answer
    endpoint = balancer.finish_choice(now, choice)  # all answered, or choice.deadline
    balancer.attempt_started(now, endpoint)
    balancer.attempt_ended(now, endpoint, sent_at, AttemptOutcome.SERVED)

Pure: no I/O; the time in s is an argument. ``docs/design/spread.md`` has the reasons.
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

PROBES_BETWEEN_CLEANUPS = 64


class LoadBalancer:
    """One balancer's view of all endpoints, and its choices among them.

    Attributes:
        counts: events by name, as the metrics have them.
        retry_budget: asked by the driver before each retry.
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
        """Make ``names`` all that there are. What is in flight at a removed one goes on."""
        for removed in self.endpoints.replace(names):
            self._cache.forget(removed)
            self._ejection.forget(removed)
            self.failure_detector.forget(removed)

    def is_usable(self, now: float, endpoint: EndpointState) -> bool:
        """Whether a request may be sent there now."""
        return self.selector.is_usable(now, endpoint)

    # ---- Choices
    def begin_choice(self, now: float, excluded: frozenset[str] = frozenset(), first: bool = True) -> Choice:
        """A choice, with the probes that are to be sent for it.

        ``excluded``: endpoints that had this request before. ``first``: whether it is the request's first attempt.
        """
        if first:
            self.retry_budget.deposit(now)
        choice = Choice(excluded, self._draw_probes(now, excluded), now + self.rules.probe_wait_s)
        for probe in choice.probes:
            probe.choice = choice
            self._count_probe(now, probe)
        return choice

    def _draw_probes(self, now: float, excluded: frozenset[str]) -> list[Probe]:
        probes: list[Probe] = []
        drawn: set[str] = set()
        if len(self.endpoints) <= 1:
            return probes
        for _ in range(self.rules.probes_per_choice):
            endpoint = self.selector.sample(now, excluded, drawn)
            if endpoint is None:
                break
            drawn.add(endpoint.name)
            probes.append(self._probes.create(now, endpoint.name))
        return probes

    def _count_probe(self, now: float, probe: Probe) -> None:
        self.counts["probes"] += 1
        endpoint = self.endpoints.state_of(probe.endpoint)
        if endpoint is not None:
            self.failure_detector.probe_sent(now, endpoint)
        if self.counts["probes"] % PROBES_BETWEEN_CLEANUPS == 0:
            self._probes.discard_old(now)

    def finish_choice(self, now: float, choice: Choice) -> str | None:
        """The endpoint that gets the request; ``None`` if none is usable."""
        choice.decided = True
        candidates = self.selector.usable(now, list(choice.reports))
        cached = self._cache.best(now, choice.excluded, self.selector.is_usable)
        if cached is not None and cached not in candidates:
            candidates.append(cached)
        if not candidates:
            self.counts["blind"] += 1
            endpoint = self.selector.without_reports(now, choice)
            return endpoint.name if endpoint is not None else None
        self.counts["chosen"] += 1
        candidates = self.selector.drop_warming_up(candidates, len(choice.probes))
        return self.selector.least_cost(now, candidates).name

    # ---- Reports
    def receive_probe_answer(self, now: float, probe_id: int, report: LoadReport) -> Choice | None:
        """Record the answer to a probe; returns the choice that has all its answers with it, if there is one."""
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
        """Record that something came from an endpoint, with or without a report that was asked for at ``as_of``."""
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
        """Record the report that came with a response, which was made as the response was sent."""
        self.receive_report(now, name, now - self.averages.one_way_s, report)

    # ---- Attempts
    def attempt_started(self, now: float, name: str) -> None:
        """A request was sent to an endpoint."""
        endpoint = self.endpoints.state_of(name)
        if endpoint is None:
            return
        endpoint.attempt_started(now, self.averages.load_per_slot, self.averages.request_s, self.rules)
        self.failure_detector.request_sent(now, endpoint)

    def attempt_ended(
        self, now: float, name: str, sent_at: float, outcome: AttemptOutcome, retry_after_s: float = 0.0
    ) -> None:
        """The request that was sent at ``sent_at`` ended. ``retry_after_s``: for how long the endpoint asked to be left
        alone. A report that came with it is recorded by ``receive_response_report``."""
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
        """The health checks that are to be sent now, and the endpoints that have just become unresponsive."""
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
        """Since when an endpoint is suspected to be unresponsive; ``None`` if it is not."""
        endpoint = self.endpoints.state_of(name)
        if endpoint is None or endpoint not in self.failure_detector.suspects:
            return None
        return endpoint.suspected_since

    def next_check_at(self) -> float:
        """When ``check_responsiveness`` should be called next, in s."""
        return self.failure_detector.next_check_at()

    # ---- For operators
    def describe_endpoints(self, now: float) -> list[dict[str, Any]]:
        """What is known of each endpoint, for ``lapishaven spread status``."""
        rows = []
        for name in sorted(self.endpoints.names()):
            endpoint = self.endpoints.state_of(name)
            assert endpoint is not None
            suspected = endpoint in self.failure_detector.suspects
            load = endpoint.estimated_load(now, self.averages.load_per_slot, self.averages.request_s, self.rules)
            rows.append(describe(now, endpoint, suspected, load, self.selector.cost(now, endpoint)))
        return rows
