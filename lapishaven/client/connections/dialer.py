"""Dials: keeps as many endpoints connected as the traffic needs, within the budget of dials."""

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
    """Decides at each check whether to dial, which endpoint, and when to check again.

    With deterministic subsetting (``settings.routing.subsetting = "aperture"``) the connection manager chooses the
    endpoint and its time slot; with rendezvous hashing any unconnected endpoint of the subset is dialled.
    """

    def __init__(self, engine: Engine, table: EndpointTable, traffic: Traffic, budget: DialBudget) -> None:
        self._engine = engine
        self._table = table
        self._traffic = traffic
        self.budget = budget
        self._rules = engine.settings.connections
        self._starting = True  # the first connections are still being made
        self._next_check_at = float("inf")
        self._spread_until = float("inf")  # rendezvous: no dial before this; infinite until it is drawn

    @property
    def _urgent(self) -> bool:
        """Whether a call waits and nothing is connected."""
        return self._traffic.waiting_calls > 0 and not self._table.any_connected

    def ensure_connected(self, now: float) -> None:
        """Dial what is missing, or schedule the next check."""
        if self._table.uses_aperture:
            self._ensure_window(now)
        else:
            self._ensure_subset(now)

    # ---- Deterministic subsetting
    def _ensure_window(self, now: float) -> None:
        table, manager = self._table, self._table.connection_manager
        quiet = now - self._traffic.last_call_at > self._traffic.keep_connected_s
        if table.one_request_per_connection or self._traffic.closed or quiet:
            return
        table.track_window(now)
        for name in manager.surplus_stand_ins():
            table.remove(name)
        rate = self._traffic.first_attempt_rate.per_second(now)
        dialling = any(endpoint.is_dialing for endpoint in table.endpoints.values())
        urgent = self._urgent
        planned = manager.next_dial(now, rate, urgent)
        if planned is None:
            if self._starting and self._window_connected():
                self.end_start(now)
            return
        if dialling and not urgent:
            return  # one dial at a time: its end checks again
        if planned.at > now:
            self.schedule_check(planned.at)
            return
        max_saved = float(len(manager.window))
        if not self.budget.try_acquire(now, rate, urgent, max_saved):
            self.schedule_check(self.budget.available_at(now, rate, urgent, max_saved))
            return
        self._dial_planned(now, planned)

    def _window_connected(self) -> bool:
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
        rate = self._traffic.first_attempt_rate.per_second(now)
        quiet = now - self._traffic.last_call_at > rules.idle_s
        if table.one_request_per_connection or self._traffic.closed or quiet:
            return
        listed = [endpoint for endpoint in table.endpoints.values() if table.passes_health_checks(endpoint)]
        usable = sum(
            endpoint.usable_connections > 0 and endpoint.health.state is not EjectionState.EJECTED
            for endpoint in listed
        )
        missing = connections_wanted(rules, rate, len(listed)) - usable
        if missing <= 0:
            return  # an endpoint list, or a later check, will say when one is wanted
        candidates = self._dial_candidates(now, listed, usable)
        urgent = self._urgent
        for dial_at, _, _, endpoint in candidates[:missing]:
            if dial_at > now:
                self.schedule_check(dial_at)
                return
            if not urgent and not self._starting and self._delay_dial(now, usable, missing):
                return
            if not self.budget.try_acquire(now, rate, urgent):
                self.schedule_check(self.budget.available_at(now, rate, urgent))
                return
            reason = "start" if self._starting else "wanted"
            table.open_connection(now, endpoint, "urgent" if urgent else reason)

    def _dial_candidates(
        self, now: float, listed: list[Endpoint], usable: int
    ) -> list[tuple[float, bool, float, Endpoint]]:
        """The unconnected endpoints with their earliest dial times, in the order in which to dial them.

        One that came back from a restart has the fewest connections of all, and will not restart again soon; but
        it is warming up, so these are preferred for half of the connections only.
        """
        warming_up = sum(
            endpoint.usable_connections > 0 and endpoint.slow_start_since is not None for endpoint in listed
        )
        prefer_restarted = warming_up * 2 < usable
        return sorted(
            (
                max(endpoint.next_dial_at, now),
                (endpoint.slow_start_since is not None) != prefer_restarted,
                self._engine.random.random(),
                endpoint,
            )
            for endpoint in listed
            if not endpoint.usable_connections
        )

    def _delay_dial(self, now: float, usable: int, missing: int) -> bool:
        """Whether the dial has to wait for its jittered time.

        What closed the connection may have hit every client at this moment, so each draws a time of its own: the
        sooner, the fewer endpoints are left.
        """
        if self._spread_until == float("inf"):
            self._spread_until = now + self.redial_delay(now, 0) * (usable + 1) / (usable + missing)
        if self._spread_until > now:
            self.schedule_check(self._spread_until)
            return True
        self._spread_until = float("inf")
        return False

    # ---- Start, timers, further connections
    def end_start(self, now: float, _: Any = None) -> None:
        """The first connections are made; every later dial comes out of the regular budget."""
        self._starting = False
        self._table.connection_manager.starting = False
        self.budget.end_start_burst()

    def schedule_check(self, when: float) -> None:
        """Check again at ``when``, unless an earlier check is scheduled."""
        if when < self._next_check_at:
            self._next_check_at = when
            self._engine.schedule(when, self._check_due)

    def _check_due(self, now: float, _: Any) -> None:
        if self._next_check_at <= now:
            self._next_check_at = float("inf")
            self.ensure_connected(now)

    def add_connection(self, now: float, endpoint: Endpoint) -> None:
        """Dial an endpoint once more whose connection is nearly full, if the limit and the budget allow it."""
        if endpoint.usable_connections >= self._rules.each:
            return
        if self.budget.try_acquire(now, self._traffic.first_attempt_rate.per_second(now)):
            self._table.open_connection(now, endpoint, "further")

    # ---- Backoff
    def back_off(self, now: float, endpoint: Endpoint) -> None:
        """Put off the next dial to an endpoint that is unreachable or draining, for longer each time in a row."""
        endpoint.next_dial_at = now + self.redial_delay(now, endpoint.dial_failures)
        endpoint.dial_failures += 1

    def redial_delay(self, now: float, failures: int) -> float:
        """Seconds to wait after so many failed dials in a row, with full jitter."""
        rate = self.budget.refill_rate(self._traffic.first_attempt_rate.per_second(now), not self._table.any_connected)
        return redial_delay(self._rules, failures, rate, self._engine.random)
