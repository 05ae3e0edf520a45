"""Creates calls, withdraws their attempts, and ends each call with exactly one outcome."""

from __future__ import annotations

from lapishaven.client.actions import CancelRequest, CompleteCall
from lapishaven.client.calls.availability import Availability
from lapishaven.client.connections.connectivity import Connectivity
from lapishaven.client.engine import Engine
from lapishaven.client.model import Attempt, Call, CallState, ConnectionState
from lapishaven.client.outcomes import OUTCOME_NAMES, Cancelled, Expired, Failed, Outcome, Refused, Uncertain
from lapishaven.client.traffic import Traffic

MAX_RANK = 0.9999  # on the wire, ranks must be below 1


class CallTable:
    """Creates and ends calls. ``open_calls``: the number of calls without an outcome."""

    def __init__(
        self, engine: Engine, connectivity: Connectivity, traffic: Traffic, availability: Availability
    ) -> None:
        self._engine = engine
        self._table = connectivity.table
        self._traffic = traffic
        self._idle_timeouts = connectivity.idle_timeouts
        self._availability = availability
        self.open_calls = 0

    def create(
        self,
        now: float,
        class_name: str,
        body: bytes,
        deadline: float | None,
        row_id: int | None,
        idempotency_key: str,
    ) -> Call:
        """Create a call. ``deadline`` is a time on the policy's clock, bounded by the deadline of the class."""
        engine = self._engine
        rule = engine.settings.classes[class_name]
        class_deadline = now + rule.deadline_s
        call = Call(
            number=engine.next_id(),
            class_name=class_name,
            body=body,
            idempotent=rule.effect == "safe",
            started_at=now,
            deadline=class_deadline if deadline is None else min(deadline, class_deadline),
            row_id=row_id,
            memory_kb=rule.heap_kb,
            rank=min(rule.rank + engine.random.random() * rule.rank_span, MAX_RANK),
            idempotency_key=idempotency_key or f"{engine.random.getrandbits(128):032x}",
        )
        self.open_calls += 1
        engine.report(now, "call", number=call.number, cls=class_name, deadline=call.deadline - now)
        return call

    # ---- Outcomes
    def cancel(self, now: float, call: Call) -> None:
        """Cancel a call, as the application no longer waits for it."""
        if call.state is not CallState.OVER:
            uncertain = not call.idempotent and call.possibly_run > 0
            self.finish(
                now,
                call,
                Cancelled(call.attempts_sent, now - call.started_at, "cancelled by the application", uncertain),
            )

    def expire(self, now: float, call: Call) -> None:
        """End a call whose deadline has passed."""
        elapsed = now - call.started_at
        if not call.idempotent and call.possibly_run:
            reason = "deadline passed while an attempt that may have run was in flight"
            self.finish(now, call, Uncertain(call.attempts_sent, elapsed, reason))
        else:
            self.finish(now, call, Expired(call.attempts_sent, elapsed, "deadline passed"))

    def reject(self, now: float, call: Call, reason: str) -> None:
        """End a call that has no attempt in flight and for which none will start; tell when to call again."""
        elapsed = now - call.started_at
        if call.possibly_run:
            self.finish(now, call, Failed(call.attempts_sent, elapsed, reason))
            return
        wait = self._availability.next_available_at(now) - now
        come_back = wait or self._engine.settings.retry.backoff_s
        self.finish(now, call, Refused(call.attempts_sent, elapsed, reason, come_back))

    def finish(self, now: float, call: Call, outcome: Outcome) -> None:
        """End a call: withdraw its attempts and deliver the outcome to the driver."""
        if call.state is CallState.WAITING:
            self._traffic.waiting_calls -= 1
        call.state = CallState.OVER
        self.open_calls -= 1
        for attempt in list(call.attempts):
            self._withdraw(now, call, attempt)
        self._engine.report(
            now,
            f"end {OUTCOME_NAMES[type(outcome)]}",
            number=call.number,
            cls=call.class_name,
            tries=call.attempts_sent,
            span=now - call.started_at,
            reason=outcome.reason,
        )
        self._engine.emit(CompleteCall(call, outcome))

    # ---- Attempts
    def _withdraw(self, now: float, call: Call, attempt: Attempt) -> None:
        connection = attempt.connection
        self.release(now, attempt)
        if attempt.sent_at is not None and connection.state is not ConnectionState.CLOSED:
            self._engine.emit(CancelRequest(connection, attempt))
            self._engine.report(now, "forget", number=call.number, server=attempt.endpoint.name)
        if self._table.one_request_per_connection:
            self._table.close_connection(connection)
        self._idle_timeouts.connection_used(now, connection)

    def release(self, now: float, attempt: Attempt) -> None:
        """Remove an attempt from its call, its connection and its endpoint."""
        connection, endpoint = attempt.connection, attempt.endpoint
        connection.in_flight.pop(attempt.id, None)
        if attempt in attempt.call.attempts:
            attempt.call.attempts.remove(attempt)
            endpoint.in_flight -= 1
            endpoint.health.trial_in_flight = False
        if not connection.in_flight:
            connection.idle_since = now
