"""Dials endpoints: keeps as many connected as the traffic needs, within the dial budget."""

from __future__ import annotations

from typing import Any

from lapishaven.client.connections.dial_budget import DialBudget, connections_wanted, redial_delay
from lapishaven.client.connections.endpoint_table import EndpointTable
from lapishaven.client.engine import Engine
from lapishaven.client.fleet.connection_manager import PlannedDial
from lapishaven.client.health import EjectionState
from lapishaven.client.model import Endpoint
from lapishaven.client.traffic import Traffic


class Dialer:
    """Decides at each check whether to dial, which endpoint to dial, and when to check again.

    With deterministic subsetting (``settings.routing.subsetting = "aperture"``) the connection manager chooses the
    endpoint and the time slot. With rendezvous hashing any unconnected endpoint of the subset may be dialled.
    A connection that is being dialled counts as usable in both, so that it is not dialled again.
    """

    def __init__(self, engine: Engine, table: EndpointTable, traffic: Traffic, budget: DialBudget) -> None:
        self._engine = engine
        self._table = table
        self._traffic = traffic
        self.budget = budget
        self._rules = engine.settings.connections
        self._starting = True  # the start phase: the first connections are still being made
        self._next_check_at = float("inf")
        self._delayed_until = float("inf")  # rendezvous hashing: see ``_delay_dial``; infinite while none is drawn

    @property
    def _urgent(self) -> bool:
        """Whether a call waits and no endpoint is connected."""
        return self._traffic.waiting_calls > 0 and not self._table.any_connected

    def ensure_connected(self, now: float) -> None:
        """Dial missing connections, or schedule the next check."""
        if self._table.uses_aperture:
            self._ensure_window(now)
        else:
            self._ensure_subset(now)

    # ---- Deterministic subsetting
    def _ensure_window(self, now: float) -> None:
        table, manager = self._table, self._table.connection_manager
        idle = now - self._traffic.last_call_at > self._traffic.keep_connected_s
        if table.one_request_per_connection or self._traffic.closed or idle:
            return
        table.track_window(now)
        for name in manager.surplus_stand_ins():
            table.remove(name)
        calls_per_s = self._traffic.first_attempt_rate.per_second(now)
        dial_in_progress = any(endpoint.is_dialing for endpoint in table.endpoints.values())
        urgent = self._urgent
        planned = manager.next_dial(now, calls_per_s, urgent)
        if planned is None:
            if self._starting and self._window_connected():
                self.end_start(now)
            return
        if dial_in_progress and not urgent:
            return  # one dial at a time; its end triggers the next check
        if planned.at > now:
            self.schedule_check(planned.at)
            return
        max_saved_tokens = float(len(manager.window))
        if not self.budget.try_acquire(now, calls_per_s, urgent, max_saved_tokens):
            self.schedule_check(self.budget.available_at(now, calls_per_s, urgent, max_saved_tokens))
            return
        self._dial_planned(now, planned)

    def _window_connected(self) -> bool:
        """Whether every tracked endpoint of the window has a connection or is being dialled."""
        endpoints, window = self._table.endpoints, self._table.connection_manager.window
        return all(endpoints[name].usable_connections for name in window if name in endpoints)

    def _dial_planned(self, now: float, planned: PlannedDial) -> None:
        manager = self._table.connection_manager
        endpoint = self._table.track(planned.name)
        if endpoint is None:
            return
        self._table.open_connection(now, endpoint, planned.reason.value)
        manager.record_dial(now, planned)
        if planned.name not in manager.window:
            self._table.notify_routing()

    # ---- Rendezvous hashing
    def _ensure_subset(self, now: float) -> None:
        table, rules = self._table, self._rules
        calls_per_s = self._traffic.first_attempt_rate.per_second(now)
        idle = now - self._traffic.last_call_at > rules.idle_s
        if table.one_request_per_connection or self._traffic.closed or idle:
            return
        passing = [endpoint for endpoint in table.endpoints.values() if table.passes_health_checks(endpoint)]
        usable = sum(
            endpoint.usable_connections > 0 and endpoint.health.state is not EjectionState.EJECTED
            for endpoint in passing
        )
        missing = connections_wanted(rules, calls_per_s, len(passing)) - usable
        if missing <= 0:
            return  # checked again on the next endpoint list, lost connection or periodic check
        candidates = self._dial_candidates(now, passing, usable)
        urgent = self._urgent
        for dial_at, _, _, endpoint in candidates[:missing]:
            if dial_at > now:
                self.schedule_check(dial_at)
                return
            if not urgent and not self._starting and self._delay_dial(now, usable, missing):
                return
            if not self.budget.try_acquire(now, calls_per_s, urgent):
                self.schedule_check(self.budget.available_at(now, calls_per_s, urgent))
                return
            reason = "start" if self._starting else "wanted"
            table.open_connection(now, endpoint, "urgent" if urgent else reason)

    def _dial_candidates(
        self, now: float, passing: list[Endpoint], usable: int
    ) -> list[tuple[float, bool, float, Endpoint]]:
        """Return the unconnected endpoints in the order in which to dial them.

        Each is a tuple that sorts in that order: the earliest dial time, whether other endpoints are preferred, a
        random number that breaks ties, and the endpoint. ``passing``: the endpoints that pass their health checks;
        ``usable``: how many of them have a connection and are not ejected.

        A restarted endpoint (one in its slow start) has the fewest connections of all and is unlikely to restart again
        soon, but it is still warming up. Restarted endpoints are therefore preferred for half of the connections only.
        """
        warming_up = sum(
            endpoint.usable_connections > 0 and endpoint.slow_start_since is not None for endpoint in passing
        )
        prefer_restarted = warming_up * 2 < usable
        return sorted(
            (
                max(endpoint.next_dial_at, now),
                (endpoint.slow_start_since is not None) != prefer_restarted,
                self._engine.random.random(),
                endpoint,
            )
            for endpoint in passing
            if not endpoint.usable_connections
        )

    def _delay_dial(self, now: float, usable: int, missing: int) -> bool:
        """Whether the dial has to wait for a time drawn at random; if so, schedule the check at that time.

        The cause of a lost connection may have hit every client at the same moment, so each client draws its own
        delay, which is shorter the fewer endpoints it still has. The time is drawn once and kept until it has passed.
        """
        if self._delayed_until == float("inf"):
            self._delayed_until = now + self.redial_delay(now, 0) * (usable + 1) / (usable + missing)
        if self._delayed_until > now:
            self.schedule_check(self._delayed_until)
            return True
        self._delayed_until = float("inf")
        return False

    # ---- Start, timers, further connections
    def end_start(self, now: float, _: Any = None) -> None:
        """End the start phase: later dials come out of the regular budget. May be scheduled as a callback."""
        self._starting = False
        self._table.connection_manager.starting = False
        self.budget.end_start_burst()

    def schedule_check(self, when: float) -> None:
        """Check again at ``when``, unless an earlier check is scheduled."""
        if when < self._next_check_at:
            self._next_check_at = when
            self._engine.schedule(when, self._check_due)

    def _check_due(self, now: float, _: Any) -> None:
        """Run the check, unless an earlier one has run in its place: callbacks are not cancelled."""
        if self._next_check_at <= now:
            self._next_check_at = float("inf")
            self.ensure_connected(now)

    def add_connection(self, now: float, endpoint: Endpoint) -> None:
        """Dial one more connection to an endpoint whose connections are nearly full.

        Not beyond ``Connections.each`` connections to the endpoint, and only if the dial budget allows it.
        """
        if endpoint.usable_connections >= self._rules.each:
            return
        if self.budget.try_acquire(now, self._traffic.first_attempt_rate.per_second(now)):
            self._table.open_connection(now, endpoint, "further")

    # ---- Backoff
    def back_off(self, now: float, endpoint: Endpoint) -> None:
        """Delay the next dial to an unreachable or draining endpoint, by more after each consecutive failure."""
        endpoint.next_dial_at = now + self.redial_delay(now, endpoint.dial_failures)
        endpoint.dial_failures += 1

    def redial_delay(self, now: float, failures: int) -> float:
        """Return the seconds to wait after ``failures`` consecutive failed dials, with full jitter."""
        dial_rate = self.budget.refill_rate(
            self._traffic.first_attempt_rate.per_second(now), not self._table.any_connected
        )
        return redial_delay(self._rules, failures, dial_rate, self._engine.random)
