"""Starts calls: sets the deadline timer, then starts an attempt, queues the call, or rejects it."""

from __future__ import annotations

from lapishaven.client.calls.availability import Availability
from lapishaven.client.calls.call_table import CallTable
from lapishaven.client.calls.outlier_ejection import OutlierEjection
from lapishaven.client.calls.waiting_calls import WaitingCalls
from lapishaven.client.connections.connectivity import Connectivity
from lapishaven.client.engine import Engine
from lapishaven.client.model import Call, CallState
from lapishaven.client.outcomes import Refused
from lapishaven.client.traffic import Traffic

CONNECTION_CHECK_INTERVAL_S = 0.5  # between checks whether the traffic needs more connections
SUBSET_START_S = 2.0  # duration of the start phase after the first call (rendezvous hashing)
WINDOW_START_S = 10.0  # the same for deterministic subsetting, which ends it earlier once all are connected
SLOW_ATTEMPT_SHARE = 0.9  # of the class's deadline: an unanswered attempt of this age counts as a failure
KEEP_CONNECTED_CALL_GAPS = 3.0  # a client stays connected for this many mean intervals between calls
MAX_KEEP_CONNECTED_S = 14.0  # servers close idle connections after 15 s


class CallSubmission:
    """Starts calls, and ends them when their deadlines pass."""

    def __init__(
        self,
        engine: Engine,
        connectivity: Connectivity,
        traffic: Traffic,
        calls: CallTable,
        waiting: WaitingCalls,
        availability: Availability,
        ejection: OutlierEjection,
    ) -> None:
        self._engine = engine
        self._dialer = connectivity.dialer
        self._start_s = WINDOW_START_S if connectivity.table.uses_aperture else SUBSET_START_S
        self._traffic = traffic
        self._calls = calls
        self._waiting = waiting
        self._availability = availability
        self._ejection = ejection
        self._next_connection_check_at = float("-inf")

    def submit(
        self, now: float, class_name: str, body: bytes, deadline: float | None, row_id: int | None, key: str
    ) -> Call:
        """Start a call (``Policy.submit``)."""
        call = self._calls.create(now, class_name, body, deadline, row_id, key)
        self._check_connections(now)
        if self._traffic.closed:
            self._calls.finish(now, call, Refused(0, 0.0, "not sent: the client is closed"))
        elif self._traffic.waiting_calls >= self._engine.settings.waiting_limit:
            come_back = self._availability.next_available_at(now) - now
            self._calls.finish(
                now,
                call,
                Refused(
                    0,
                    0.0,
                    f"not sent: {self._traffic.waiting_calls} calls wait already, the limit is "
                    f"{self._engine.settings.waiting_limit}",
                    come_back,
                ),
            )
        else:
            self._engine.schedule(call.deadline, self._deadline_reached, call)
            if self._traffic.waiting_calls:
                self._waiting.add(now, call)
            else:
                self._waiting.place_or_wait(now, call)
        return call

    def _check_connections(self, now: float) -> None:
        """Update the traffic state with a new call, and dial if the client was idle or a check is due."""
        traffic, idle_s = self._traffic, self._engine.settings.connections.idle_s
        if traffic.last_call_at == float("-inf"):
            self._engine.schedule(now + self._start_s, self._dialer.end_start)
        was_idle = now - traffic.last_call_at > idle_s
        traffic.last_call_at = now
        rate = traffic.first_attempt_rate.per_second(now)
        call_gaps_s = KEEP_CONNECTED_CALL_GAPS / rate if rate > 0 else 0.0
        traffic.keep_connected_s = min(max(idle_s, call_gaps_s), MAX_KEEP_CONNECTED_S)
        if was_idle or now >= self._next_connection_check_at:
            self._next_connection_check_at = now + CONNECTION_CHECK_INTERVAL_S
            self._dialer.ensure_connected(now)

    def _deadline_reached(self, now: float, call: Call) -> None:
        if call.state is CallState.OVER:
            return
        slow_after_s = SLOW_ATTEMPT_SHARE * self._engine.settings.classes[call.class_name].deadline_s
        for attempt in call.attempts:
            if attempt.sent_at is not None and now - attempt.sent_at >= slow_after_s:
                self._ejection.record_failure(now, attempt.endpoint)
        self._calls.expire(now, call)
