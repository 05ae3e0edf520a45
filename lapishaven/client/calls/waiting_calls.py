"""The queue of calls that wait for an endpoint with free capacity."""

from __future__ import annotations

from collections import deque
from typing import Any

from lapishaven.client.calls.attempt_scheduler import AttemptScheduler
from lapishaven.client.calls.attempt_time import AttemptTimeEstimates
from lapishaven.client.calls.availability import Availability
from lapishaven.client.calls.call_table import CallTable
from lapishaven.client.connections.connectivity import Connectivity
from lapishaven.client.engine import Engine
from lapishaven.client.model import Call, CallState, ConnectionState
from lapishaven.client.traffic import Traffic

DIALS_GRACE_S = 0.01  # once the first endpoint is connected, calls wait this long for more of them


class WaitingCalls:
    """A FIFO queue. Ended calls stay in it, so the number of waiting calls is ``traffic.waiting_calls``."""

    def __init__(
        self,
        engine: Engine,
        connectivity: Connectivity,
        traffic: Traffic,
        calls: CallTable,
        availability: Availability,
        attempts: AttemptScheduler,
        estimates: AttemptTimeEstimates,
    ) -> None:
        self._engine = engine
        self._table = connectivity.table
        self._traffic = traffic
        self._dialer = connectivity.dialer
        self._calls = calls
        self._availability = availability
        self._attempts = attempts
        self._estimates = estimates
        self._queue: deque[Call] = deque()
        self._next_pass_at = float("inf")

    def place_or_wait(self, now: float, call: Call) -> None:
        """Start an attempt of the call now, or queue it."""
        if not self._attempts.place(now, call):
            self.add(now, call)

    def add(self, now: float, call: Call) -> None:
        """Queue a call, or reject it at once if no endpoint is expected to accept it in time."""
        available_at = self._availability.next_available_at(now)
        time_left_s = call.deadline - now - self._estimates.typical_s(call.class_name)
        longest_wait_s = min(self._engine.settings.wait_s, time_left_s)
        if available_at - now > longest_wait_s:
            self._calls.reject(
                now, call, f"no server is expected within {longest_wait_s:.3f} s, the longest that the call may wait"
            )
            return
        call.state = CallState.WAITING
        self._queue.append(call)
        self._traffic.waiting_calls += 1
        self._engine.schedule(now + longest_wait_s, self._wait_over, call)
        self._dialer.ensure_connected(now)
        self._plan_pass(available_at)

    def _wait_over(self, now: float, call: Call) -> None:
        if call.state is CallState.WAITING:
            self._calls.reject(
                now,
                call,
                f"no server accepted the call within its waiting time ({now - call.started_at:.3f} s after its start)",
            )

    def endpoint_connected(self, now: float) -> None:
        """Place waiting calls after an endpoint was connected, at once or after ``DIALS_GRACE_S``."""
        if self._traffic.waiting_calls and any(
            connection.state is ConnectionState.DIALING for connection in self._table.open_connections()
        ):
            # Otherwise the first connected endpoint would get all waiting calls, and the others none.
            self._plan_pass(now + DIALS_GRACE_S)
        else:
            self.place_waiting(now)

    def place_waiting(self, now: float) -> None:
        """Start attempts of waiting calls, in FIFO order, while endpoints have free capacity."""
        while self._queue:
            call = self._queue[0]
            if call.state is CallState.WAITING:
                if not self._attempts.place(now, call):
                    available_at = self._availability.next_available_at(now)
                    if available_at > now:
                        self._plan_pass(available_at)
                    return
                if call.attempts:  # for a call that was rejected instead, ``CallTable.finish`` lowered the count
                    self._traffic.waiting_calls -= 1
            self._queue.popleft()

    def _plan_pass(self, when: float) -> None:
        if when < self._next_pass_at:
            self._next_pass_at = when
            self._engine.schedule(when, self._pass_due)

    def _pass_due(self, now: float, _: Any) -> None:
        if self._next_pass_at <= now:
            self._next_pass_at = float("inf")
            self.place_waiting(now)

    def clear(self) -> None:
        """Remove every queued call. ``Policy.close`` delivers their outcomes."""
        self._queue.clear()
