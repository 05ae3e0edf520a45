"""The state of one endpoint: its last load report, the requests sent since then, and the outcomes of attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp

from lapishaven.load_balancing.choice import AttemptOutcome
from lapishaven.load_balancing.endpoint_cost import queueing_cost
from lapishaven.load_balancing.failure_detector import OutstandingProbe
from lapishaven.load_balancing.load_report import LoadReport, is_newer
from lapishaven.load_balancing.rules import BalancingRules

NEVER = float("-inf")
# A slowdown up to this is attributed to chance; a higher one to load that the endpoint does not report.
TOLERATED_SLOWDOWN = 1.5
SLOWDOWN_SMOOTHING = 0.15  # weight of a new sample
MAX_SLOWDOWN_SAMPLE = 8.0  # larger samples are clamped to this
MIN_DECAY_S = 1e-3  # lower bound of the time constant of a report's decay; it is a divisor, and must not be 0


@dataclass(slots=True, eq=False)
class EndpointState:
    """The state of one endpoint, as seen by one balancer.

    Times are in seconds on the caller's clock. Requests and attempts are those of this balancer.

    Attributes:
        name: ``HOST:PORT``.
        report: the last load report.
        report_as_of: requests sent before this time count as included in ``report``.
        last_heard_at: when anything was last received from the endpoint.
        unreported_sends: the times at which requests were sent that count as not included in ``report``.
        in_flight: number of requests in flight.
        report_uses_left: number of requests that may still be sent because of the cached report. Every request reduces
            it, also without a cached report, so that it can be negative.
        retry_after_until: no request may be sent before this (the endpoint's Retry-After).
        consecutive_failures: number of failed attempts since the last served one or the last ejection.
        ejections: number of ejections since the last served request.
        ejected_until: the end of the last ejection.
        on_trial: whether the endpoint gets only one attempt at a time, after an ejection.
        penalty_ends: for each attempt that was rejected, failed or could not connect, until when it still counts as in
            flight.
        outstanding_probe: the unanswered probe whose timeout is running (``FailureDetector``).
        suspected_since: when the probe was sent whose missing answer made the endpoint suspected; ``None`` if it is not
            suspected.
        expected_durations: the expected duration of each request in flight, in durations of a typical request, by the
            time at which it was sent. Requests sent at exactly the same time share an entry.
        slowdown: running mean of the actual over the expected duration of requests.
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
    penalty_ends: list[float] = field(default_factory=list)
    outstanding_probe: OutstandingProbe | None = None
    suspected_since: float | None = None
    expected_durations: dict[float, float] = field(default_factory=dict)
    slowdown: float = 1.0

    def receive_report(self, now: float, as_of: float, report: LoadReport | None) -> bool:
        """Record that the endpoint responded, and its report, if any; return whether the report is newer than the last.

        ``as_of``: when the report was requested or, for a report in a response, made. Requests sent before this time
        count as included in it.
        """
        self.last_heard_at = now
        if report is None or not is_newer(report, self.report):
            return False
        if self.report is not None and report.incarnation != self.report.incarnation:
            self._clear_failures()
        self.report = report
        self.report_as_of = as_of
        self.unreported_sends = [sent_at for sent_at in self.unreported_sends if sent_at >= as_of]
        return True

    def _clear_failures(self) -> None:
        """Clear failures, ejection and Retry-After after a restart of the process."""
        self.consecutive_failures = 0
        self.ejections = 0
        self.penalty_ends.clear()
        self.ejected_until = NEVER
        self.retry_after_until = NEVER

    def accepts_requests(self, now: float) -> bool:
        """Whether reports, Retry-After and ejection allow another request; the failure detector is not consulted."""
        if self.is_draining():
            return False
        if self.retry_after_until > now or self.ejected_until > now:
            return False
        return not (self.on_trial and self.in_flight)

    def is_draining(self) -> bool:
        """Whether the endpoint has asked for no more requests."""
        return self.report is not None and self.report.desired_share <= 0

    def desired_share(self) -> float:
        """The fraction of its full share of requests that the endpoint asks for; 1 if unknown."""
        return self.report.desired_share if self.report is not None else 1.0

    def slots(self) -> int:
        """The number of requests that the endpoint runs concurrently; 1 if unknown."""
        return self.report.slots if self.report is not None else 1

    def estimated_load(self, now: float, load_per_slot: float, request_s: float, rules: BalancingRules) -> float:
        """Return the estimated number of requests in flight at the endpoint, from all balancers.

        With its age, the last report decays towards the fleet's mean load, or this balancer's requests in flight if
        those are more. Added to it are the requests sent since the report, the penalties for unsuccessful attempts, and
        the unreported load that a high ``slowdown`` indicates.

        ``load_per_slot``, ``request_s``: the fleet's means (``FleetAverages``).
        """
        slots = self.slots()
        if self.report is None:
            reported = load_per_slot * slots
        else:
            decay_s = max(MIN_DECAY_S, rules.report_decay_requests * request_s)
            report_weight = exp(-max(0.0, now - self.report_as_of) / decay_s)
            load_without_report = max(load_per_slot * slots, float(self.in_flight))
            reported = report_weight * self.report.weighted_load + (1 - report_weight) * load_without_report
        if self.penalty_ends:
            self.penalty_ends = [until for until in self.penalty_ends if until > now]
        unreported_load = max(0.0, self.slowdown - TOLERATED_SLOWDOWN) * slots
        return reported + len(self.unreported_sends) + len(self.penalty_ends) + unreported_load

    def cost(
        self, now: float, load_per_slot: float, mean_speed: float, request_s: float, rules: BalancingRules
    ) -> float:
        """Return the cost of one more request; ``mean_speed`` is used while the endpoint's own speed is unknown."""
        load = self.estimated_load(now, load_per_slot, request_s, rules)
        own_speed = self.report.speed if self.report is not None else 0.0
        return queueing_cost(load, self.slots(), own_speed or mean_speed)

    def attempt_started(self, now: float, load_per_slot: float, request_s: float, rules: BalancingRules) -> None:
        """Record that a request was sent to the endpoint."""
        load = self.estimated_load(now, load_per_slot, request_s, rules)
        self.expected_durations[now] = max(1.0, (load + 1) / self.slots())
        self.in_flight += 1
        self.unreported_sends.append(now)
        self.report_uses_left -= 1

    def attempt_ended(
        self, now: float, sent_at: float, outcome: AttemptOutcome, request_s: float, mean_speed: float
    ) -> None:
        """Record the end of the attempt for which ``attempt_started`` was called with the time ``sent_at``."""
        self.in_flight = max(0, self.in_flight - 1)
        expected = self.expected_durations.pop(sent_at, 1.0)
        if sent_at in self.unreported_sends:
            self.unreported_sends.remove(sent_at)
        if outcome is AttemptOutcome.SERVED:
            self._update_slowdown(now - sent_at, expected, request_s, mean_speed)
        elif outcome is not AttemptOutcome.ABANDONED:
            # Without a penalty, an endpoint that rejects or fails requests immediately would look idle and attract
            # more. The penalty lasts for the rest of a typical request's duration, plus one further such duration.
            self.penalty_ends.append(now + max(request_s - (now - sent_at), 0.0) + request_s)

    def _update_slowdown(self, duration_s: float, expected: float, request_s: float, mean_speed: float) -> None:
        """Add a sample: the duration of a served request over ``expected``, in durations of a typical request.

        A typical request is taken to last longer on an endpoint that is slower than the mean. While ``request_s`` is 0,
        the duration counts as typical.
        """
        relative_duration = 1.0
        if request_s:
            own_speed = self.report.speed if self.report is not None else 0.0
            relative_duration = duration_s / (request_s * (mean_speed / own_speed if own_speed else 1.0))
        self.slowdown += SLOWDOWN_SMOOTHING * (min(relative_duration / expected, MAX_SLOWDOWN_SAMPLE) - self.slowdown)
