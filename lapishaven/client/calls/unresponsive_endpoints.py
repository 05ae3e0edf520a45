"""Moves attempts away from endpoints that are suspected of being unresponsive."""

from __future__ import annotations

from lapishaven.client.actions import CancelRequest
from lapishaven.client.calls.attempt_results import AttemptResults
from lapishaven.client.calls.attempt_scheduler import AttemptScheduler
from lapishaven.client.calls.call_table import CallTable
from lapishaven.client.calls.retry import RetryBudget
from lapishaven.client.connections.endpoint_table import EndpointTable
from lapishaven.client.engine import Engine
from lapishaven.client.model import Attempt, Call, CallState, Endpoint
from lapishaven.client.outcomes import Uncertain


class UnresponsiveEndpoints:
    """Retries idempotent calls on other endpoints, within the retry budget, and ends other calls as uncertain.

    A request that was not sent yet moves to another endpoint at once. A call that must not run twice becomes uncertain
    once its endpoint has been suspected for ``settings.health.uncertain_s``.
    """

    def __init__(
        self,
        engine: Engine,
        table: EndpointTable,
        calls: CallTable,
        attempts: AttemptScheduler,
        results: AttemptResults,
        retry_budget: RetryBudget,
    ) -> None:
        self._engine = engine
        self._table = table
        self._calls = calls
        self._attempts = attempts
        self._results = results
        self._retry_budget = retry_budget

    def move_attempts(self, now: float, endpoint: Endpoint) -> None:
        """Move the attempts in flight to a suspected endpoint, as far as the rules and the retry budget allow."""
        if len(self._table.failure_detector.suspects) > 1:
            self._retry_budget.grant_at_least(now, float(endpoint.in_flight))
        for connection in list(endpoint.connections):
            for attempt in list(connection.in_flight.values()):
                call = attempt.call
                if call.state is CallState.OPEN and call.attempts == [attempt]:
                    self._move_attempt(now, attempt)

    def _move_attempt(self, now: float, attempt: Attempt) -> None:
        call, endpoint = attempt.call, attempt.endpoint
        if attempt.sent_at is None or (call.idempotent and self._may_retry(now, call)):
            self._retry_elsewhere(now, attempt)
            return
        if call.idempotent or endpoint.suspected_since is None:
            return  # retried at a later check, when the budget allows it
        if now - endpoint.suspected_since >= self._engine.settings.health.uncertain_s:
            elapsed = now - call.started_at
            self._calls.finish(
                now,
                call,
                Uncertain(call.attempts_sent, elapsed, f"sent to {endpoint.name}, which has become unresponsive"),
            )

    def _may_retry(self, now: float, call: Call) -> bool:
        attempts_left = call.attempts_sent < self._engine.settings.retry.tries
        return attempts_left and self._attempts.fits(now, call) and self._retry_budget.try_acquire(now)

    def _retry_elsewhere(self, now: float, attempt: Attempt) -> None:
        call, endpoint = attempt.call, attempt.endpoint
        if attempt.sent_at is not None:
            self._engine.report(now, "given up", number=call.number, server=endpoint.name)
            self._engine.emit(CancelRequest(attempt.connection, attempt))
        self._calls.release(now, attempt)
        call.excluded_endpoints.add(endpoint.name)
        call.state = CallState.PAUSED
        self._results.resume(now, call)
