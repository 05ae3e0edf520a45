"""Detection of unresponsive endpoints by probes that go unanswered.

An endpoint's event loop answers a probe at once, whatever it works on, so a missing answer means that its process does
not run, and not that it is loaded. Probes for a choice and health checks count alike. A suspected endpoint gets nothing
but probes, at growing intervals, until anything comes from it. When most probes go unanswered the fault is likely on
this side, and nobody more is suspected.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush
from random import Random
from typing import Generic, Protocol, TypeVar

from lapishaven.load_balancing.rules import BalancingRules

RECENT_PROBES = 32  # by which it is told whether most go unanswered
MIN_RECENT_PROBES = RECENT_PROBES // 4
MAX_PROBE_INTERVAL_S = 2.0  # between probes of a suspected endpoint
PROBE_BACKOFF = 1.5  # factor from one interval to the next
TIMEOUT_IN_ONE_WAY_DELAYS = 6.0
INTERVAL_IN_REQUESTS = 0.75  # of a typical request's duration, between probes of an endpoint that has one in flight
CHECK_JITTER = (0.9, 1.1)  # factor of the probe interval
PROBE_JITTER = (0.8, 1.2)  # factor of the interval to the next probe of a suspected endpoint
INTERVAL_TOLERANCE = 0.89  # below the least of CHECK_JITTER, so that a check that comes early still counts
CLOCK_TOLERANCE_S = 1e-9  # rounding of sums and differences of times


@dataclass(slots=True, eq=False)
class OutstandingProbe:
    """A probe that waits for its answer. ``sent_at`` in s; ``unanswered_before``: probes in a row before it."""

    sent_at: float
    unanswered_before: int = 0


class Watched(Protocol):
    """An endpoint as the failure detector sees it."""

    last_heard_at: float  # when anything last came from it, in s
    in_flight: int  # our requests in flight there
    outstanding_probe: OutstandingProbe | None
    suspected_since: float | None  # since when, in s


Endpoint = TypeVar("Endpoint", bound=Watched)


class FailureDetector(Generic[Endpoint]):
    """Is notified of probes, answers and requests; ``check`` gives whom to probe and who became unresponsive.

    Attributes:
        suspects: endpoints that are suspected to be unresponsive.
        panics: how often nobody was suspected because most probes went unanswered.
        probe_interval_s: time without an answer or report after which an endpoint with requests in flight is probed.
        probe_timeout_s: time after which an unanswered probe makes its endpoint suspected.
    """

    def __init__(self, rules: BalancingRules, random: Random) -> None:
        self._rules = rules
        self._random = random
        self._checks: list[tuple[float, int, Endpoint]] = []  # a heap: when to check, order of entry, whom
        self._check_count = 0
        self._recent_unanswered: deque[bool] = deque(maxlen=RECENT_PROBES)
        self.suspects: set[Endpoint] = set()
        self.panics = 0
        self.probe_interval_s = rules.watch_interval_s
        self.probe_timeout_s = rules.probe_timeout_s

    def set_request_duration(self, duration_s: float) -> None:
        """Fit the probe interval to the duration of a typical request, in s: about one probe for each of them."""
        self.probe_interval_s = max(self._rules.watch_interval_s, INTERVAL_IN_REQUESTS * duration_s)

    def set_one_way_delay(self, delay_s: float) -> None:
        """Fit the probe timeout to the one-way network delay, in s: where all answers are late, late is no failure."""
        self.probe_timeout_s = max(self._rules.probe_timeout_s, TIMEOUT_IN_ONE_WAY_DELAYS * delay_s)

    def _schedule_check(self, when: float, endpoint: Endpoint) -> None:
        self._check_count += 1
        heappush(self._checks, (when, self._check_count, endpoint))

    @property
    def panic(self) -> bool:
        """Whether so many probes go unanswered that the fault is likely on this side."""
        recent = self._recent_unanswered
        return len(recent) >= MIN_RECENT_PROBES and sum(recent) > self._rules.panic_fraction * len(recent)

    def probe_sent(self, now: float, endpoint: Endpoint) -> None:
        """The endpoint is probed."""
        if endpoint.outstanding_probe is None:
            endpoint.outstanding_probe = OutstandingProbe(now)
            self._schedule_check(now + self.probe_timeout_s, endpoint)

    def request_sent(self, now: float, endpoint: Endpoint) -> None:
        """A request was sent to the endpoint."""
        self._schedule_check(now + self.probe_interval_s * self._random.uniform(*CHECK_JITTER), endpoint)

    def response_received(self, endpoint: Endpoint) -> bool:
        """Anything came from the endpoint; whether it was suspected until now."""
        if endpoint.outstanding_probe is not None:
            self._recent_unanswered.append(False)
            endpoint.outstanding_probe = None
        endpoint.suspected_since = None
        was_suspected = endpoint in self.suspects
        self.suspects.discard(endpoint)
        return was_suspected

    def forget(self, endpoint: Endpoint) -> None:
        """The endpoint was removed."""
        self.suspects.discard(endpoint)
        endpoint.outstanding_probe = None
        endpoint.suspected_since = None

    def next_check_at(self) -> float:
        """When ``check`` should be called next, in s; infinite if there is nothing to check."""
        return self._checks[0][0] if self._checks else float("inf")

    def check(self, now: float, is_current: Callable[[Endpoint], bool]) -> tuple[list[Endpoint], list[Endpoint]]:
        """Whom to probe now, and who has just become unresponsive. ``is_current``: whether an endpoint still exists."""
        to_probe: list[Endpoint] = []
        newly_suspected: list[Endpoint] = []
        while self._checks and self._checks[0][0] <= now:
            endpoint = heappop(self._checks)[2]
            if not is_current(endpoint):
                continue
            probe = endpoint.outstanding_probe
            if probe is not None:
                if now - probe.sent_at >= self.probe_timeout_s - CLOCK_TOLERANCE_S:
                    if self._probe_timed_out(endpoint, probe):
                        newly_suspected.append(endpoint)
                    self._probe_again(now, endpoint, probe)
                    to_probe.append(endpoint)
            elif endpoint.in_flight and now - endpoint.last_heard_at >= self.probe_interval_s * INTERVAL_TOLERANCE:
                self.probe_sent(now, endpoint)
                to_probe.append(endpoint)
            elif endpoint.in_flight:
                jitter = self._random.uniform(*CHECK_JITTER)
                self._schedule_check(endpoint.last_heard_at + self.probe_interval_s * jitter, endpoint)
        return to_probe, newly_suspected

    def _probe_timed_out(self, endpoint: Endpoint, probe: OutstandingProbe) -> bool:
        """Whether the endpoint is suspected from now on, and was not before."""
        self._recent_unanswered.append(True)
        if endpoint in self.suspects:
            return False
        if self.panic:
            self.panics += 1
            return False
        endpoint.suspected_since = probe.sent_at
        self.suspects.add(endpoint)
        return True

    def _probe_again(self, now: float, endpoint: Endpoint, probe: OutstandingProbe) -> None:
        unanswered = probe.unanswered_before + 1
        endpoint.outstanding_probe = OutstandingProbe(now, unanswered)
        interval_s = min(MAX_PROBE_INTERVAL_S, self.probe_timeout_s * PROBE_BACKOFF**unanswered)
        self._schedule_check(now + interval_s * self._random.uniform(*PROBE_JITTER), endpoint)
