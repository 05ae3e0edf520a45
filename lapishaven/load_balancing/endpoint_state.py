"""What a load balancer knows of one endpoint: its last report, what was sent there since, and how that ended."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp

from lapishaven.load_balancing.choice import AttemptOutcome
from lapishaven.load_balancing.endpoint_cost import queueing_cost
from lapishaven.load_balancing.failure_detector import OutstandingProbe
from lapishaven.load_balancing.load_report import LoadReport, is_newer
from lapishaven.load_balancing.rules import BalancingRules

NEVER = float("-inf")
TOLERATED_SLOWDOWN = 1.5  # up to which slow requests are chance; more is load that the endpoint does not report
SLOWDOWN_SMOOTHING = 0.15  # weight of a new sample
MAX_SLOWDOWN_SAMPLE = 8.0
MIN_DECAY_S = 1e-3


@dataclass(slots=True, eq=False)
class EndpointState:
    """Times are in seconds of the caller's clock.

    Attributes:
        name: ``HOST:PORT``.
        report: its last load report.
        report_as_of: when that was asked for, so that no request sent later is counted in it.
        last_heard_at: when anything last came from it.
        unreported_sends: when each of our requests was sent that the last report cannot have counted.
        in_flight: our requests in flight there.
        report_uses_left: requests that may still be sent on the strength of the cached report.
        retry_after_until: the end of the time for which it asked to be left alone.
        consecutive_failures: attempts that failed in a row.
        ejections: in a row, without a served request between them.
        ejected_until: the end of its last ejection.
        on_trial: whether it gets one attempt at a time, after an ejection.
        phantom_requests: until when each request that ended too soon counts as in flight.
        outstanding_probe: the probe that it has not answered.
        suspected_since: since when it is suspected to be unresponsive.
        expected_durations: how long each of our requests was expected to take, in durations of a typical one, by the
            time that it was sent.
        slowdown: how many times as long as expected its requests took, as a running mean.
    """

    name: str
    report: LoadReport | None = None
    report_as_of: float = NEVER
    last_heard_at: float = NEVER
    unreported_sends: list[float] = field(default_factory=list)
    in_flight: int = 0
    report_uses_left: int = 0
    retry_after_until: float = NEVER
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: float = NEVER
    on_trial: bool = False
    phantom_requests: list[float] = field(default_factory=list)
    outstanding_probe: OutstandingProbe | None = None
    suspected_since: float | None = None
    expected_durations: dict[float, float] = field(default_factory=dict)
    slowdown: float = 1.0

    def receive_report(self, now: float, as_of: float, report: LoadReport | None) -> bool:
        """Record that something came, with or without a report that was asked for at ``as_of``; whether it is newer."""
        self.last_heard_at = now
        if report is None or not is_newer(report, self.report):
            return False
        if self.report is not None and report.incarnation != self.report.incarnation:
            self._forget_faults()
        self.report = report
        self.report_as_of = as_of
        self.unreported_sends = [sent_at for sent_at in self.unreported_sends if sent_at >= as_of]
        return True

    def _forget_faults(self) -> None:
        """The process was restarted."""
        self.consecutive_failures = 0
        self.ejections = 0
        self.phantom_requests.clear()
        self.ejected_until = NEVER
        self.retry_after_until = NEVER

    def accepts_requests(self, now: float) -> bool:
        """Whether it may be sent to, as far as its reports, its Retry-After and its failures go."""
        if self.is_draining():
            return False
        if self.retry_after_until > now or self.ejected_until > now:
            return False
        return not (self.on_trial and self.in_flight)

    def is_draining(self) -> bool:
        """Whether it asked for no more requests."""
        return self.report is not None and self.report.desired_share <= 0

    def desired_share(self) -> float:
        """The part of its full share of the requests that it asks for."""
        return self.report.desired_share if self.report is not None else 1.0

    def slots(self) -> int:
        """How many requests it works on at one time."""
        return self.report.slots if self.report is not None else 1

    def estimated_load(self, now: float, load_per_slot: float, request_s: float, rules: BalancingRules) -> float:
        """Its requests in flight, as far as can be known.

        The last report decays towards the fleet's mean ``load_per_slot`` with its age. To that come our requests sent
        since, those that ended too soon, and load that shows only in how long requests take.
        """
        slots = self.slots()
        if self.report is None:
            reported = load_per_slot * slots
        else:
            decay_s = max(MIN_DECAY_S, rules.report_decay_requests * request_s)
            trust = exp(-max(0.0, now - self.report_as_of) / decay_s)
            without_report = max(load_per_slot * slots, float(self.in_flight))
            reported = trust * self.report.weighted_load + (1 - trust) * without_report
        if self.phantom_requests:
            self.phantom_requests = [until for until in self.phantom_requests if until > now]
        unreported = max(0.0, self.slowdown - TOLERATED_SLOWDOWN) * slots
        return reported + len(self.unreported_sends) + len(self.phantom_requests) + unreported

    def cost(
        self, now: float, load_per_slot: float, mean_speed: float, request_s: float, rules: BalancingRules
    ) -> float:
        """The cost of one more request; ``mean_speed`` stands in where its own is not known."""
        load = self.estimated_load(now, load_per_slot, request_s, rules)
        own_speed = self.report.speed if self.report is not None else 0.0
        return queueing_cost(load, self.slots(), own_speed or mean_speed)

    def attempt_started(self, now: float, load_per_slot: float, request_s: float, rules: BalancingRules) -> None:
        """A request was sent there."""
        load = self.estimated_load(now, load_per_slot, request_s, rules)
        self.expected_durations[now] = max(1.0, (load + 1) / self.slots())
        self.in_flight += 1
        self.unreported_sends.append(now)
        self.report_uses_left -= 1

    def attempt_ended(
        self, now: float, sent_at: float, outcome: AttemptOutcome, request_s: float, mean_speed: float
    ) -> None:
        """The request that was sent at ``sent_at`` ended."""
        self.in_flight = max(0, self.in_flight - 1)
        expected = self.expected_durations.pop(sent_at, 1.0)
        if sent_at in self.unreported_sends:
            self.unreported_sends.remove(sent_at)
        if outcome is AttemptOutcome.SERVED:
            self._learn_slowdown(now - sent_at, expected, request_s, mean_speed)
        elif outcome is not AttemptOutcome.ABANDONED:
            # An endpoint that rejects or fails at once would look idle, so what it did not do counts as in flight.
            self.phantom_requests.append(now + max(request_s - (now - sent_at), 0.0) + request_s)

    def _learn_slowdown(self, duration_s: float, expected: float, request_s: float, mean_speed: float) -> None:
        took = 1.0
        if request_s:
            own_speed = self.report.speed if self.report is not None else 0.0
            took = duration_s / (request_s * (mean_speed / own_speed if own_speed else 1.0))
        self.slowdown += SLOWDOWN_SMOOTHING * (min(took / expected, MAX_SLOWDOWN_SAMPLE) - self.slowdown)
