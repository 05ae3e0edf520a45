"""Detects unresponsive endpoints by unanswered probes.

An endpoint's event loop answers a probe immediately regardless of its load, so a missing answer means that the process
is not running, not that it is overloaded. Probes for a choice and health-check probes count alike. A suspected endpoint
is sent only probes, at increasing intervals, until anything is received from it. While most probes are unanswered, the
fault is probably on the balancer's side, and no further endpoint is suspected (panic mode).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush
from random import Random
from typing import Generic, Protocol, TypeVar

from lapishaven.load_balancing.rules import BalancingRules

RECENT_PROBES = 32  # panic mode depends on this many of the latest probe results
MIN_RECENT_PROBES = RECENT_PROBES // 4  # with fewer results there is no panic mode
MAX_PROBE_INTERVAL_S = 2.0  # upper bound of the interval between probes of a suspected endpoint, before jitter
PROBE_BACKOFF = 1.5  # factor by which this interval grows with each unanswered probe
MAX_BACKOFF_STEPS = 32  # keeps the power finite; the interval reaches its upper bound long before
TIMEOUT_IN_ONE_WAY_DELAYS = 6.0  # lower bound of the probe timeout, in one-way network delays
# Lower bound of the probe interval of an endpoint with requests in flight, in durations of a typical request.
INTERVAL_IN_REQUEST_DURATIONS = 0.75
CHECK_JITTER = (0.9, 1.1)  # range of the random factor of the interval until a check of an endpoint
PROBE_JITTER = (0.8, 1.2)  # the same for the interval until the next probe after an unanswered one
# A check sends a probe if nothing was received for this fraction of the probe interval. It is below the minimum of
# CHECK_JITTER, so that a check made early by jitter sends its probe too.
MIN_SILENT_FRACTION = 0.89
CLOCK_TOLERANCE_S = 1e-9  # allows for rounding errors in sums and differences of times


@dataclass(slots=True, eq=False)
class OutstandingProbe:
    """The unanswered probe of an endpoint whose timeout is running; an endpoint has at most one.

    ``sent_at``: when it was sent, in seconds.
    ``check_at``: when it is checked whether it has timed out.
    ``unanswered_before``: the number of consecutive probes before it that timed out.
    """

    sent_at: float
    check_at: float
    unanswered_before: int = 0


class MonitoredEndpoint(Protocol):
    """An endpoint as the failure detector uses it. Times are in seconds.

    ``last_heard_at``: when anything was last received from the endpoint.
    ``in_flight``: the number of the balancer's requests in flight at the endpoint.
    ``outstanding_probe``: the probe whose timeout is running; ``None`` if there is none.
    ``suspected_since``: when the probe was sent whose missing answer made the endpoint suspected; ``None`` if it is not
        suspected.
    """

    last_heard_at: float
    in_flight: int
    outstanding_probe: OutstandingProbe | None
    suspected_since: float | None


Endpoint = TypeVar("Endpoint", bound=MonitoredEndpoint)


class FailureDetector(Generic[Endpoint]):
    """Is notified of probes, responses and requests; ``check`` returns the endpoints to probe and the new suspects.

    Attributes:
        suspects: endpoints suspected of being unresponsive.
        panics: number of probe timeouts that did not make their endpoint suspected because of panic mode.
        probe_interval_s: an endpoint with requests in flight is probed after this time without any response from it.
        probe_timeout_s: an endpoint whose probe is unanswered for this long becomes suspected, except in panic mode.
    """

    def __init__(self, rules: BalancingRules, random: Random) -> None:
        self._rules = rules
        self._random = random
        self._checks: list[tuple[float, int, Endpoint]] = []  # a heap: time of the check, tie-breaker, endpoint
        self._check_sequence = 0
        self._recent_unanswered: deque[bool] = deque(maxlen=RECENT_PROBES)
        self.suspects: set[Endpoint] = set()
        self.panics = 0
        self.probe_interval_s = rules.watch_interval_s
        self.probe_timeout_s = rules.probe_timeout_s

    def set_request_duration(self, duration_s: float) -> None:
        """Adapt the probe interval to the mean duration of a request: a typical request causes about one probe."""
        self.probe_interval_s = max(self._rules.watch_interval_s, INTERVAL_IN_REQUEST_DURATIONS * duration_s)

    def set_one_way_delay(self, delay_s: float) -> None:
        """Adapt the probe timeout to the one-way network delay, so that a slow network is not taken for a failure."""
        self.probe_timeout_s = max(self._rules.probe_timeout_s, TIMEOUT_IN_ONE_WAY_DELAYS * delay_s)

    def _schedule_check(self, when: float, endpoint: Endpoint) -> None:
        self._check_sequence += 1
        heappush(self._checks, (when, self._check_sequence, endpoint))

    @property
    def panic(self) -> bool:
        """Whether so many recent probes are unanswered that the fault is probably on the balancer's side."""
        recent = self._recent_unanswered
        return len(recent) >= MIN_RECENT_PROBES and sum(recent) > self._rules.panic_fraction * len(recent)

    def probe_sent(self, now: float, endpoint: Endpoint) -> None:
        """Record that a probe is sent to the endpoint. If one is outstanding already, its timeout keeps running."""
        if endpoint.outstanding_probe is None:
            check_at = now + self.probe_timeout_s
            endpoint.outstanding_probe = OutstandingProbe(now, check_at)
            self._schedule_check(check_at, endpoint)

    def request_sent(self, now: float, endpoint: Endpoint) -> None:
        """Record that a request was sent to the endpoint."""
        self._schedule_check(now + self.probe_interval_s * self._random.uniform(*CHECK_JITTER), endpoint)

    def response_received(self, endpoint: Endpoint) -> bool:
        """Record that anything was received from the endpoint; return whether it was suspected until now."""
        if endpoint.outstanding_probe is not None:
            self._recent_unanswered.append(False)
            endpoint.outstanding_probe = None
        endpoint.suspected_since = None
        was_suspected = endpoint in self.suspects
        self.suspects.discard(endpoint)
        return was_suspected

    def forget(self, endpoint: Endpoint) -> None:
        """Discard the state of a removed endpoint. ``check`` drops its scheduled checks."""
        self.suspects.discard(endpoint)
        endpoint.outstanding_probe = None
        endpoint.suspected_since = None

    def next_check_at(self) -> float:
        """Return when ``check`` should be called next; infinity if there is nothing to check."""
        return self._checks[0][0] if self._checks else float("inf")

    def check(self, now: float, is_current: Callable[[Endpoint], bool]) -> tuple[list[Endpoint], list[Endpoint]]:
        """Return the endpoints to probe now, and those that are newly suspected.

        An endpoint whose check is due is probed again if its outstanding probe has timed out. If the probe's own check
        comes before its timeout, which may have grown since, the check is repeated then; other checks of the endpoint
        are dropped. Without an outstanding probe, an endpoint with requests in flight is probed if
        nothing was received from it for about the probe interval, or else checked again later.

        ``is_current``: returns whether an endpoint still exists.
        """
        to_probe: list[Endpoint] = []
        newly_suspected: list[Endpoint] = []
        while self._checks and self._checks[0][0] <= now:
            check_at, _, endpoint = heappop(self._checks)
            if not is_current(endpoint):
                continue
            probe = endpoint.outstanding_probe
            if probe is not None:
                if now - probe.sent_at >= self.probe_timeout_s - CLOCK_TOLERANCE_S:
                    if self._probe_timed_out(endpoint, probe):
                        newly_suspected.append(endpoint)
                    self._probe_again(now, endpoint, probe)
                    to_probe.append(endpoint)
                elif check_at == probe.check_at:
                    probe.check_at = probe.sent_at + self.probe_timeout_s
                    self._schedule_check(probe.check_at, endpoint)
            elif endpoint.in_flight and now - endpoint.last_heard_at >= self.probe_interval_s * MIN_SILENT_FRACTION:
                self.probe_sent(now, endpoint)
                to_probe.append(endpoint)
            elif endpoint.in_flight:
                jitter = self._random.uniform(*CHECK_JITTER)
                self._schedule_check(endpoint.last_heard_at + self.probe_interval_s * jitter, endpoint)
        return to_probe, newly_suspected

    def _probe_timed_out(self, endpoint: Endpoint, probe: OutstandingProbe) -> bool:
        """Record a probe that timed out; return whether the endpoint is newly suspected."""
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
        """Record that the next probe is sent after ``probe`` timed out, and schedule the one after it."""
        unanswered = probe.unanswered_before + 1
        backoff = PROBE_BACKOFF ** min(unanswered, MAX_BACKOFF_STEPS)
        interval_s = min(MAX_PROBE_INTERVAL_S, self.probe_timeout_s * backoff)
        check_at = now + interval_s * self._random.uniform(*PROBE_JITTER)
        endpoint.outstanding_probe = OutstandingProbe(now, check_at, unanswered)
        self._schedule_check(check_at, endpoint)
