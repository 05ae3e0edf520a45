"""Starts attempts: chooses the endpoint, sends the request, and hedges slow requests."""

from __future__ import annotations

from lapishaven.client.actions import SendRequest
from lapishaven.client.calls.attempt_time import AttemptTimeEstimates
from lapishaven.client.calls.availability import Availability
from lapishaven.client.calls.call_table import CallTable
from lapishaven.client.calls.retry import RetryBudget
from lapishaven.client.connections.connectivity import Connectivity
from lapishaven.client.engine import Engine
from lapishaven.client.health import EjectionState
from lapishaven.client.model import Attempt, Call, CallState, ConnectionState, Endpoint

NEARLY_FULL_MARGIN = 4  # another connection is dialled when this many requests more reach the limit of one


class AttemptScheduler:
    """Starts the attempts of calls, including hedged requests."""

    def __init__(
        self,
        engine: Engine,
        connectivity: Connectivity,
        calls: CallTable,
        availability: Availability,
        estimates: AttemptTimeEstimates,
        retry_budget: RetryBudget,
    ) -> None:
        self._engine = engine
        self._table = connectivity.table
        self._dialer = connectivity.dialer
        self._prober = connectivity.prober
        self._calls = calls
        self._availability = availability
        self._estimates = estimates
        self._retry_budget = retry_budget
        self._open_limit = engine.settings.connections.open_limit
        self._hedges = engine.settings.retry.second_copies

    def fits(self, now: float, call: Call) -> bool:
        """Whether an attempt of typical duration that starts now would end before the deadline."""
        return self._estimates.fits_in(call.class_name, call.deadline - now)

    def place(self, now: float, call: Call) -> bool:
        """Start an attempt, or reject the call if too little time is left; False if no endpoint accepts it now."""
        if not self.fits(now, call):
            self._calls.reject(
                now,
                call,
                f"not sent: {call.deadline - now:.3f} s remain until the deadline, an attempt typically takes "
                f"{self._estimates.typical_s(call.class_name):.3f} s",
            )
            return True
        candidates = self._availability.candidates(now)
        if not candidates:
            return False
        # An endpoint that already rejected or failed this call is used again only if there is no other.
        preferred = [endpoint for endpoint in candidates if endpoint.name not in call.excluded_endpoints]
        endpoint = self._table.routing.pick(now, preferred or candidates, call)
        self._start(now, call, endpoint, is_hedge=False)
        return True

    def _place_hedge(self, now: float, call: Call, first_endpoint: Endpoint) -> None:
        if not self.fits(now, call):
            return
        candidates = self._availability.candidates(now, first_endpoint.name)
        preferred = [endpoint for endpoint in candidates if endpoint.name not in call.excluded_endpoints]
        if preferred:
            self._start(now, call, self._table.routing.pick(now, preferred, call), is_hedge=True)

    def _start(self, now: float, call: Call, endpoint: Endpoint, is_hedge: bool) -> None:
        one_request = self._table.one_request_per_connection
        connection = None if one_request else endpoint.least_loaded_connection(self._open_limit)
        if connection is None:
            connection = self._table.open_connection(now, endpoint, "call")
        attempt = Attempt(
            self._engine.next_id(),
            f"{self._engine.random.getrandbits(64):016x}",
            call,
            endpoint,
            connection,
            is_retry=call.attempts_sent > 0,
            is_hedge=is_hedge,
        )
        if call.attempts_sent == 0 and call.retries == 0 and not is_hedge:
            self._retry_budget.record_first_attempt(now)
        self._register(now, attempt)
        if connection.state is ConnectionState.READY:
            self._send_or_probe(now, attempt)
            if len(connection.in_flight) >= self._open_limit - NEARLY_FULL_MARGIN and not endpoint.is_dialing:
                self._dialer.add_connection(now, endpoint)

    def _register(self, now: float, attempt: Attempt) -> None:
        """Register an attempt with its call, its endpoint and its connection."""
        call, endpoint, connection = attempt.call, attempt.endpoint, attempt.connection
        call.state = CallState.OPEN
        call.attempts.append(attempt)
        endpoint.in_flight += 1
        if endpoint.health.state is EjectionState.TRIAL:
            endpoint.health.trial_in_flight = True
        attempt.connection_idle_s = 0.0 if connection.in_flight else now - connection.idle_since
        connection.in_flight[attempt.id] = attempt

    def _send_or_probe(self, now: float, attempt: Attempt) -> None:
        if not self._prober.must_probe_first(now, attempt.endpoint):
            self.send(now, attempt)
            return
        if attempt.endpoint.outstanding_probe is None:
            self._prober.probe(
                now, attempt.endpoint
            )  # the request is sent once the probe is answered (``ConnectionEvents``)
        self._prober.schedule_check()

    def send(self, now: float, attempt: Attempt) -> None:
        """Send the request of an attempt on its connection."""
        call = attempt.call
        attempt.sent_at = now
        attempt.is_retry = call.attempts_sent > 0
        call.attempts_sent += 1
        call.possibly_run += 1
        self._engine.emit(SendRequest(attempt.connection, attempt))
        self._engine.report(now, "try", number=call.number, server=attempt.endpoint.name, rep=attempt.is_retry)
        self._prober.request_sent(now, attempt.connection)
        if self._hedges and call.idempotent and not attempt.is_hedge:
            self._engine.schedule(now + self._estimates.hedge_delay_s(call.class_name), self._hedge, attempt)

    def _hedge(self, now: float, attempt: Attempt) -> None:
        """Send a second request to another endpoint if the first is still in flight and the retry budget allows it."""
        call = attempt.call
        if call.state is not CallState.OPEN or call.attempts != [attempt]:
            return
        other_accepts = any(
            endpoint is not attempt.endpoint and self._availability.accepts(now, endpoint)
            for endpoint in self._table.endpoints.values()
        )
        if other_accepts and self._retry_budget.try_acquire(now):
            self._engine.report(now, "second copy", number=call.number)
            self._place_hedge(now, call, attempt.endpoint)
