"""What follows the end of an attempt: learning about its endpoint, a retry, or the outcome of its call."""

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

MIN_TYPICAL_S = 1e-3  # a shorter typical time would make relative latencies meaningless


class AttemptResults:
    """Handles each attempt's end, however it came about."""

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
        """End an attempt: finish its call, retry it, or leave it to a hedged request that is in flight."""
        call, endpoint = attempt.call, attempt.endpoint
        self._calls.release(now, attempt)
        self._engine.report(now, f"try {result.end.value}", number=call.number, server=endpoint.name)
        if attempt.sent_at is not None and (result.end in NEVER_RAN or result.end in INVALID_REQUEST):
            call.possibly_run -= 1
        self._learn(now, attempt, result)
        if call.state is CallState.OVER:
            return
        if result.end is AttemptEnd.SERVED:
            elapsed = now - call.started_at
            self._calls.finish(now, call, Served(call.attempts_sent, elapsed, "", result.body, endpoint.name))
            return
        call.excluded_endpoints.add(endpoint.name)
        if call.attempts:
            return  # a hedged request is still in flight
        self._retry_or_finish(now, call, result)

    def _retry_or_finish(self, now: float, call: Call, result: AttemptResult) -> None:
        context = RetryContext(
            idempotent=call.idempotent,
            possibly_run=call.possibly_run > 0,
            retries=call.retries,
            remaining_s=call.deadline - now,
            typical_s=self._estimates.typical(call.class_name),
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
            # With no wait for an endpoint, the retry budget was what ended the call, so Retry-After counts.
            wait = self._availability.next_available_at(now) - now
            come_back = wait or result.retry_after_s or self._engine.settings.retry.backoff_max_s
            return Refused(call.attempts_sent, elapsed, decision.reason, come_back, result.no_retry_elsewhere)
        return Failed(call.attempts_sent, elapsed, decision.reason, result.code)

    def _learn(self, now: float, attempt: Attempt, result: AttemptResult) -> None:
        """Update the latency, weight and health of the endpoint."""
        endpoint = attempt.endpoint
        if result.end is AttemptEnd.SERVED:
            self._learn_latency(now, attempt)
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
            # A lost connection counts as one failure, however many attempts were on it: ``ConnectionEvents``.
            self._ejection.record_rejection(endpoint)

    def _learn_latency(self, now: float, attempt: Attempt) -> None:
        class_name = attempt.call.class_name
        latency = now - (attempt.sent_at if attempt.sent_at is not None else now)
        typical = max(self._estimates.typical(class_name), MIN_TYPICAL_S)
        attempt.endpoint.record_latency(now, latency / typical)
        self._estimates.add(class_name, latency)
