"""Calls that wait, in their order, for an endpoint with free capacity."""

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

DIALS_GRACE_S = 0.01  # calls wait so long for further endpoints once the first is connected


class WaitingCalls:
    """A first-in, first-out queue; its length is ``traffic.waiting_calls``, as calls that ended stay in it."""

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
        """Queue a call, or end it at once where no endpoint takes it in time."""
        available_at = self._availability.next_available_at(now)
        time_left = call.deadline - now - self._estimates.typical(call.class_name)
        longest_wait = min(self._engine.settings.wait_s, time_left)
        if available_at - now > longest_wait:
            self._calls.reject(now, call, "no server takes it in time")
            return
        call.state = CallState.WAITING
        self._queue.append(call)
        self._traffic.waiting_calls += 1
        self._engine.schedule(now + longest_wait, self._wait_over, call)
        self._dialer.ensure_connected(now)
        self._plan_pass(available_at)

    def _wait_over(self, now: float, call: Call) -> None:
        if call.state is CallState.WAITING:
            self._calls.reject(now, call, "no server took it in time")

    def endpoint_connected(self, now: float) -> None:
        """Place waiting calls on an endpoint that was just connected, and on those that are being dialled."""
        if self._traffic.waiting_calls and any(
            connection.state is ConnectionState.DIALING for connection in self._table.open_connections()
        ):
            # The first endpoint to be connected is not to get all the calls that wait for the others too.
            self._plan_pass(now + DIALS_GRACE_S)
        else:
            self.place_waiting(now)

    def place_waiting(self, now: float) -> None:
        """Give waiting calls to endpoints that have free capacity, in the order in which they came."""
        while self._queue:
            call = self._queue[0]
            if call.state is CallState.WAITING:
                if not self._attempts.place(now, call):
                    available_at = self._availability.next_available_at(now)
                    if available_at > now:
                        self._plan_pass(available_at)
                    return
                if call.attempts:  # a call that ended instead was taken off the count there
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
        """Forget every queued call; their outcomes are given elsewhere."""
        self._queue.clear()
