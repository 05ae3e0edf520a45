"""Dispatches runs to endpoints: chooses an endpoint, sends the request and retries it elsewhere if allowed."""

from __future__ import annotations

from collections.abc import Callable, Generator, Mapping
from typing import Any

from lapishaven.admission import Outcome
from lapishaven.backends.balanced_run import BalancedRun
from lapishaven.backends.endpoint_prober import EndpointProber
from lapishaven.backends.uwsgi import DIAL_TIMEOUT_S, read_response
from lapishaven.connection_end import ConnectionEnd, outcome_of
from lapishaven.core.outcome_metrics import OUTCOME_LABELS
from lapishaven.counters import Counters
from lapishaven.load_balancing import AttemptOutcome, Choice, LoadBalancer, LoadReport, LoadReportError
from lapishaven.load_balancing.load_report import decode_text
from lapishaven.load_balancing.settings import BalancingSettings
from lapishaven.net.connection import Connection, Dial
from lapishaven.net.loop import Loop, Wait
from lapishaven.proto import uwsgi as proto

MAX_ATTEMPTS = 4  # of one run, over all endpoints
MIN_TIME_FOR_RETRY_S = 0.05  # a run with less time left until its deadline is not retried
MAX_RETRY_AFTER_S = 60.0  # a longer time that an endpoint's response asks for is cut to this
# The outcomes reported to the balancer; all others are reported as failures.
ATTEMPT_OUTCOMES = {
    Outcome.OK: AttemptOutcome.SERVED,
    Outcome.OVERLOADED: AttemptOutcome.REJECTED,
    Outcome.UNREACHABLE: AttemptOutcome.UNREACHABLE,
    Outcome.CANCELLED: AttemptOutcome.ABANDONED,
}
NEVER_RAN = (Outcome.OVERLOADED, Outcome.UNREACHABLE)  # outcomes which prove that the attempt had no effect
FinishedCallback = Callable[[str, Outcome, float, bytes], None]  # attempt id, outcome, elapsed seconds, result


class RunDispatcher:
    """Tracks the runs in flight and makes their attempts.

    Parameters:
        balancer: chooses endpoints.
        addresses: host and port by endpoint.
        settings: request path, limit of concurrent runs and rules.
        finished: called at the end of each run.
        dial: opens connections.

    Attributes:
        runs: the runs in flight, by attempt id.
    """

    def __init__(
        self,
        loop: Loop,
        balancer: LoadBalancer,
        addresses: Mapping[str, tuple[str, int]],
        settings: BalancingSettings,
        finished: FinishedCallback,
        counters: Counters,
        dial: Dial,
    ) -> None:
        self.loop = loop
        self.balancer = balancer
        self.settings = settings
        self.counters = counters
        self.runs: dict[str, BalancedRun] = {}
        self._addresses = addresses
        self._finished = finished
        self._dial = dial
        self._runs_by_endpoint: dict[str, set[BalancedRun]] = {}  # the runs with an attempt in flight, by endpoint
        self._runs_by_choice: dict[Choice, BalancedRun] = {}
        self._prober = EndpointProber(
            loop, balancer, addresses, counters, self._finish_choice, self._handle_unresponsive
        )

    def dispatch(self, run: BalancedRun) -> None:
        """Begin a run, or end it as unreachable if the limit of concurrent runs, ``settings.attempts``, is reached."""
        self.runs[run.attempt_id] = run
        if len(self.runs) > self.settings.attempts:
            self.counters.add("spread", "no descriptor")
            self.finish(run, Outcome.UNREACHABLE)
        else:
            self._begin_choice(run, first=True)

    # ---- Choosing an endpoint
    def _begin_choice(self, run: BalancedRun, first: bool) -> None:
        """Choose an endpoint: at once if no probes are needed, else when they are answered or at the choice's deadline.

        ``first``: whether this is for the run's first attempt.
        """
        choice = self.balancer.begin_choice(self.loop.now, run.excluded, first)
        self._prober.send(choice.probes)
        if choice.probes:
            self._runs_by_choice[choice] = run
            self.loop.at(choice.deadline, lambda: self._finish_choice(choice))
        else:
            self._send(run, choice)
        self._prober.schedule_check()

    def _finish_choice(self, choice: Choice) -> None:
        """Send the attempt of a choice that waited for probes, once, unless its run has finished."""
        run = self._runs_by_choice.pop(choice, None)
        if run is not None and self.runs.get(run.attempt_id) is run:
            self._send(run, choice)

    def _send(self, run: BalancedRun, choice: Choice) -> None:
        if run.cancelled:
            return self.finish(run, Outcome.CANCELLED)
        endpoint = self.balancer.finish_choice(self.loop.now, choice)
        if endpoint is None:
            self.counters.add("spread", "nobody to be used")
            return self.finish(run, Outcome.UNREACHABLE)
        run.attempt_number += 1
        run.endpoint = endpoint
        run.sent_at = self.loop.now
        self._runs_by_endpoint.setdefault(endpoint, set()).add(run)
        self.balancer.attempt_started(self.loop.now, endpoint)
        self.counters.add("spread", "sent")
        attempt_number = run.attempt_number
        self.loop.spawn(self._attempt(run, attempt_number), lambda error: self._attempt_crashed(run, attempt_number))
        self._prober.schedule_check()

    # ---- One attempt
    def _attempt(self, run: BalancedRun, attempt_number: int) -> Generator[Wait, Any, None]:
        timeout_s = min(DIAL_TIMEOUT_S, run.deadline - self.loop.now)
        sock = yield from self._dial(self.loop, self._addresses[run.endpoint], timeout_s)
        if run.attempt_number != attempt_number:  # the attempt was abandoned while dialling
            if not isinstance(sock, ConnectionEnd):
                sock.close()
            return
        if isinstance(sock, ConnectionEnd):
            # Refused or timed out: nothing was sent, so the attempt never ran.
            return self._attempt_ended(run, attempt_number, outcome_of(ConnectionEnd.UNREACHED), b"", None)
        connection = Connection(self.loop, sock, lambda end: self.counters.add("ends", f"uwsgi backend {end.value}"))
        run.connection = connection
        if run.cancelled:
            connection.close(ConnectionEnd.ABANDONED, unsent=False)
        connection.write(self._request(run, attempt_number))
        outcome, result, response = yield from read_response(self.loop, connection, run.deadline)
        self._attempt_ended(run, attempt_number, outcome, result, response)

    def _request(self, run: BalancedRun, attempt_number: int) -> bytes:
        variables = {
            "REQUEST_METHOD": "POST",
            "PATH_INFO": self.settings.path + run.class_name,
            "HTTP_X_REQUEST_ID": run.attempt_id,
        }
        if attempt_number > 1:
            variables["HTTP_X_RETRY"] = "1"
        return proto.encode_request(variables, run.body)

    def _attempt_crashed(self, run: BalancedRun, attempt_number: int) -> None:
        """The attempt's coroutine has ended by an unexpected exception."""
        if run.connection is not None and run.attempt_number == attempt_number:
            run.connection.abort(ConnectionEnd.FAULT)
        self._attempt_ended(run, attempt_number, outcome_of(ConnectionEnd.FAULT), b"", None)

    def _attempt_ended(
        self, run: BalancedRun, attempt_number: int, outcome: Outcome, result: bytes, response: proto.Response | None
    ) -> None:
        if run.attempt_number != attempt_number or self.runs.get(run.attempt_id) is not run:
            return  # the attempt was abandoned or the run has finished
        now = self.loop.now
        self._release(run, ATTEMPT_OUTCOMES.get(outcome, AttemptOutcome.FAILED), _retry_after_s(response))
        if response is not None:
            self.balancer.receive_response_report(now, run.endpoint, _load_report(response))
        if outcome in NEVER_RAN and self._may_retry(run):
            self._retry(run, OUTCOME_LABELS[outcome])
        else:
            self.finish(run, outcome, result)

    def _release(self, run: BalancedRun, outcome: AttemptOutcome, retry_after_s: float = 0.0) -> None:
        """Detach the run from its endpoint and report the attempt's end to the balancer."""
        run.connection = None
        self._runs_by_endpoint[run.endpoint].discard(run)
        self.balancer.attempt_ended(self.loop.now, run.endpoint, run.sent_at, outcome, retry_after_s)

    def finish(self, run: BalancedRun, outcome: Outcome, result: bytes = b"") -> None:
        """Report the end of a run, once."""
        if self.runs.pop(run.attempt_id, None) is not None:
            run.attempt_number += 1  # so that late events of the current attempt are ignored
            self._finished(run.attempt_id, outcome, self.loop.now - run.started_at, result)

    # ---- Retries
    def _may_retry(self, run: BalancedRun) -> bool:
        """Whether the run may be retried at another endpoint; if so, the retry budget is charged by this call."""
        now = self.loop.now
        if run.cancelled or run.attempt_number >= MAX_ATTEMPTS or now + MIN_TIME_FOR_RETRY_S > run.deadline:
            return False
        return self.balancer.retry_budget.try_withdraw(now)

    def _retry(self, run: BalancedRun, reason: str) -> None:
        self.counters.add("spread", f"again after {reason}")
        run.excluded |= {run.endpoint}
        self._begin_choice(run, first=False)

    def _handle_unresponsive(self, endpoint: str) -> None:
        """Retry the idempotent runs of a suspected endpoint; time out the others after ``uncertain_after_s``."""
        now = self.loop.now
        suspected_since = self.balancer.suspected_since(endpoint)
        for run in sorted(self._runs_by_endpoint.get(endpoint, ()), key=lambda run: run.sent_at):
            if suspected_since is None or run.cancelled:
                continue
            if not run.at_most_once:
                if self._may_retry(run):
                    self._abandon_attempt(run)
                    self._retry(run, "silence")
            elif now - suspected_since >= self.settings.rules.uncertain_after_s:
                self._abandon_attempt(run)
                self.counters.add("spread", "told uncertain")
                self.finish(run, Outcome.TIMEOUT)

    def _abandon_attempt(self, run: BalancedRun) -> None:
        """Close the attempt's connection, so that an endpoint that responds again later does not run the request."""
        connection = run.connection
        self._release(run, AttemptOutcome.ABANDONED)
        run.attempt_number += 1  # so that its late events are ignored
        if connection is not None:
            connection.close(ConnectionEnd.ABANDONED, unsent=False)

    def close(self) -> None:
        """Abort all runs in flight."""
        for run in list(self.runs.values()):
            if run.connection is not None:
                run.connection.abort(ConnectionEnd.SHUTDOWN)
        self._prober.close()


def _retry_after_s(response: proto.Response | None) -> float:
    """Seconds for which the endpoint asks for no requests; ``X-Pushback-Ms`` takes precedence over ``Retry-After``.

    Only the first six digits of a value are parsed; a longer value is above ``MAX_RETRY_AFTER_S`` anyway.
    """
    if response is None:
        return 0.0
    milliseconds = response.headers.get("x-pushback-ms", "")
    seconds = response.headers.get("retry-after", "")
    if milliseconds.isdecimal():
        return min(MAX_RETRY_AFTER_S, int(milliseconds[:6]) / 1000)
    return min(MAX_RETRY_AFTER_S, float(seconds[:6])) if seconds.isdecimal() else 0.0


def _load_report(response: proto.Response) -> LoadReport | None:
    try:
        return decode_text(response.headers["x-load"])
    except (KeyError, LoadReportError):
        return None
