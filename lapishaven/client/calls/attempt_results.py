"""Handles the end of an attempt: updates its endpoint, then retries or ends its call."""

from __future__ import annotations

from lapishaven.client.calls.attempt_time import AttemptTimeEstimates
from lapishaven.client.calls.availability import Availability
from lapishaven.client.calls.call_table import CallTable
from lapishaven.client.calls.outlier_ejection import OutlierEjection
from lapishaven.client.calls.retry import GiveUp, RetryBudget, RetryContext, decide_retry
from lapishaven.client.calls.waiting_calls import WaitingCalls
from lapishaven.client.engine import Engine
from lapishaven.client.model import Attempt, Call, CallState
from lapishaven.client.outcomes import (
    INVALID_REQUEST,
    NEVER_RAN,
    AttemptEnd,
    AttemptResult,
    Failed,
    Outcome,
    Refused,
    Served,
    Uncertain,
)

MIN_TYPICAL_S = 1e-3  # relative to a shorter typical time, latencies would be mostly noise


class AttemptResults:
    """Handles the end of each attempt, by a response or by the loss of its connection."""

    def __init__(
        self,
        engine: Engine,
        calls: CallTable,
        waiting: WaitingCalls,
        availability: Availability,
        ejection: OutlierEjection,
        estimates: AttemptTimeEstimates,
        retry_budget: RetryBudget,
    ) -> None:
        self._engine = engine
        self._calls = calls
        self._waiting = waiting
        self._availability = availability
        self._ejection = ejection
        self._estimates = estimates
        self._retry_budget = retry_budget

    def attempt_ended(self, now: float, attempt: Attempt, result: AttemptResult) -> None:
        """End an attempt: finish its call, retry it, or wait for another attempt that is in flight (hedging)."""
        call, endpoint = attempt.call, attempt.endpoint
        self._calls.release(now, attempt)
        self._engine.report(now, f"try {result.end.value}", number=call.number, server=endpoint.name)
        if attempt.sent_at is not None and (result.end in NEVER_RAN or result.end in INVALID_REQUEST):
            call.possibly_run -= 1
        self._update_endpoint(now, attempt, result)
        if call.state is CallState.OVER:
            return
        if result.end is AttemptEnd.SERVED:
            elapsed = now - call.started_at
            self._calls.finish(now, call, Served(call.attempts_sent, elapsed, "", result.body, endpoint.name))
            return
        call.excluded_endpoints.add(endpoint.name)
        if call.attempts:
            return  # another attempt is still in flight (hedging)
        self._retry_or_finish(now, call, result)

    def _retry_or_finish(self, now: float, call: Call, result: AttemptResult) -> None:
        context = RetryContext(
            idempotent=call.idempotent,
            possibly_run=call.possibly_run > 0,
            retries=call.retries,
            remaining_s=call.deadline - now,
            typical_s=self._estimates.typical_s(call.class_name),
        )
        rules = self._engine.settings.retry
        decision = decide_retry(now, context, result, rules, self._retry_budget, self._engine.random)
        if isinstance(decision, GiveUp):
            self._calls.finish(now, call, self._outcome(now, call, decision, result))
            return
        call.retries += 1
        call.state = CallState.PAUSED
        self._engine.report(now, "again", number=call.number, wait=decision.delay_s)
        self._engine.schedule(now + decision.delay_s, self.resume, call)

    def resume(self, now: float, call: Call) -> None:
        """Start the next attempt of a call whose backoff is over."""
        if call.state is CallState.PAUSED:
            self._waiting.place_or_wait(now, call)

    def _outcome(self, now: float, call: Call, decision: GiveUp, result: AttemptResult) -> Outcome:
        elapsed = now - call.started_at
        if decision.uncertain:
            return Uncertain(call.attempts_sent, elapsed, decision.reason)
        if result.end in NEVER_RAN and not call.possibly_run:
            # If an endpoint is available now, another limit (e.g. the retry budget) ended the call: use Retry-After.
            wait = self._availability.next_available_at(now) - now
            come_back = wait or result.retry_after_s or self._engine.settings.retry.backoff_max_s
            return Refused(call.attempts_sent, elapsed, decision.reason, come_back, result.no_retry_elsewhere)
        return Failed(call.attempts_sent, elapsed, decision.reason, result.code)

    def _update_endpoint(self, now: float, attempt: Attempt, result: AttemptResult) -> None:
        """Update the latency, weight and health of the endpoint."""
        endpoint = attempt.endpoint
        if result.end is AttemptEnd.SERVED:
            self._record_latency(now, attempt)
            self._ejection.record_success(now, endpoint)
        elif result.end is AttemptEnd.REJECTED:
            endpoint.record_rejection(now, self._engine.settings.routing)
            if result.retry_after_s:
                health = endpoint.health
                health.retry_after_until = max(health.retry_after_until, now + result.retry_after_s)
            self._ejection.record_rejection(endpoint)
        elif result.end in (AttemptEnd.FAILED, AttemptEnd.MALFORMED_RESPONSE):
            self._ejection.record_failure(now, endpoint)
        else:
            # ``ConnectionEvents`` counts a lost connection as one failure, however many attempts were on it.
            self._ejection.record_rejection(endpoint)

    def _record_latency(self, now: float, attempt: Attempt) -> None:
        class_name = attempt.call.class_name
        latency_s = now - (attempt.sent_at if attempt.sent_at is not None else now)
        typical_s = max(self._estimates.typical_s(class_name), MIN_TYPICAL_S)
        attempt.endpoint.record_latency(now, latency_s / typical_s)
        self._estimates.add(class_name, latency_s)
