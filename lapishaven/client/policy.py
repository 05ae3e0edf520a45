"""The pure core of the client: makes its decisions for any wire protocol, in real or simulated time.

The policy does no I/O. A driver reports events to it and executes the actions that it returns; time and
randomness are arguments::

    policy = Policy(settings, Random(), clock())
    call = policy.submit(clock(), "fuzzy-match", b"...")
    for action in policy.take_actions():
        ...  # see ``actions``; then wait for ``policy.next_timer_at()`` and call ``policy.run_timers(clock())``

Each concern has its own package or module: ``calls`` handles the life cycle of a call, ``connections`` endpoints
and dials, ``connection_events`` and ``endpoint_updates`` the events that the driver reports. ``Policy`` only connects
them.
"""

from __future__ import annotations

from random import Random

from lapishaven.client.actions import Action
from lapishaven.client.calls.attempt_results import AttemptResults
from lapishaven.client.calls.attempt_scheduler import AttemptScheduler
from lapishaven.client.calls.attempt_time import AttemptTimeEstimates
from lapishaven.client.calls.availability import Availability
from lapishaven.client.calls.call_table import CallTable
from lapishaven.client.calls.outlier_ejection import OutlierEjection
from lapishaven.client.calls.retry import RetryBudget
from lapishaven.client.calls.submission import CallSubmission
from lapishaven.client.calls.unresponsive_endpoints import UnresponsiveEndpoints
from lapishaven.client.calls.waiting_calls import WaitingCalls
from lapishaven.client.connection_events import ConnectionEvents
from lapishaven.client.connections.connectivity import Connectivity
from lapishaven.client.connections.dial_budget import DialBudget
from lapishaven.client.connections.dialer import Dialer
from lapishaven.client.connections.endpoint_table import EndpointTable
from lapishaven.client.connections.idle_timeouts import IdleTimeouts
from lapishaven.client.connections.probing import Prober
from lapishaven.client.endpoint_updates import EndpointUpdates
from lapishaven.client.engine import Engine, Hook
from lapishaven.client.membership import ListVerdict
from lapishaven.client.model import Call, Connection, Endpoint
from lapishaven.client.outcomes import AttemptResult
from lapishaven.client.settings import Settings, split_address
from lapishaven.client.traffic import EventRate, Traffic
from lapishaven.proto.catalog import Delta, ListedServer, ServerList


class Policy:
    """The decisions of one client. Methods take the time ``now`` in seconds of a clock that never steps back.

    ``engine``: timers, actions and event reports.
    ``counts``: the number of reports of each event.
    ``table``: the endpoint table; ``endpoints``: its tracked endpoints by name.
    ``membership``: the endpoint list, with the endpoints that are doubted.
    ``retry_budget``: the budget for retries and hedged requests.
    ``one_request_per_connection``: a connection carries one request only (uwsgi).
    ``dialer_type``, ``results_type``: the classes of these parts, which a simulation may replace.
    """

    dialer_type: type[Dialer] = Dialer
    results_type: type[AttemptResults] = AttemptResults

    def __init__(
        self,
        settings: Settings,
        random: Random,
        now: float,
        hook: Hook | None = None,
        clock_offset_s: float = 0.0,
    ) -> None:
        """``clock_offset_s``: seconds to add to the policy's clock to get a clock that all clients share (Unix time).

        The time slots for dials are defined on the shared clock. If it is off, the dials of a fleet are less evenly
        spread; nothing else depends on it.
        """
        self.settings = settings
        self.engine = Engine(settings, random, hook)
        self.traffic = Traffic(EventRate(now), settings.connections.idle_s)
        self.retry_budget = RetryBudget(settings.retry, self.traffic.first_attempt_rate, now)
        self.counts = self.engine.counts
        self._connect_parts(now, clock_offset_s)
        self.endpoints = self.table.endpoints
        self.membership = self.table.membership
        self.one_request_per_connection = self.table.one_request_per_connection
        if settings.servers:
            rows = (ListedServer(address, *split_address(address, "servers")) for address in settings.servers)
            self.update_endpoints(now, ServerList("fixed", 0, tuple(rows)))

    def _connect_parts(self, now: float, clock_offset_s: float) -> None:
        engine, traffic, settings = self.engine, self.traffic, self.settings
        dial_budget = DialBudget(settings.connections, now)
        self.table = table = EndpointTable(engine, traffic, clock_offset_s)
        prober = Prober(engine, table, dial_budget)
        dialer = self.dialer_type(engine, table, traffic, dial_budget)
        connectivity = Connectivity(table, dialer, IdleTimeouts(engine, table, traffic), prober)
        availability = Availability(settings, table, traffic, dial_budget)
        estimates = AttemptTimeEstimates.from_settings(settings)
        ejection = OutlierEjection(engine, table, prober)
        self._calls = CallTable(engine, connectivity, traffic, availability)
        attempts = AttemptScheduler(engine, connectivity, self._calls, availability, estimates, self.retry_budget)
        self._waiting = WaitingCalls(engine, connectivity, traffic, self._calls, availability, attempts, estimates)
        results = self.results_type(
            engine, self._calls, self._waiting, availability, ejection, estimates, self.retry_budget
        )
        unresponsive = UnresponsiveEndpoints(engine, table, self._calls, attempts, results, self.retry_budget)
        self._updates = EndpointUpdates(engine, connectivity, self._waiting)
        self._events = ConnectionEvents(engine, connectivity, attempts, self._waiting, results, ejection, self._updates)
        self._submission = CallSubmission(
            engine, connectivity, traffic, self._calls, self._waiting, availability, ejection
        )
        # The only two callbacks from lower-level parts to higher-level ones.
        ejection.on_capacity = self._waiting.place_waiting
        prober.on_unresponsive = unresponsive.move_attempts

    # ---- State
    @property
    def open_calls(self) -> int:
        """The number of calls without an outcome."""
        return self._calls.open_calls

    @property
    def hook(self) -> Hook | None:
        """The hook that receives every event. It may be replaced at any time."""
        return self.engine.hook

    @hook.setter
    def hook(self, hook: Hook | None) -> None:
        self.engine.hook = hook

    # ---- Actions and timers, for the driver
    def take_actions(self) -> list[Action]:
        """Return the actions queued since the last call, in order."""
        return self.engine.take_actions()

    def next_timer_at(self) -> float | None:
        """Return when ``run_timers`` is due next; None if no timer is set."""
        return self.engine.next_timer_at()

    def run_timers(self, now: float) -> None:
        """Run every timer that is due."""
        self.engine.run_timers(now)

    # ---- Calls
    def submit(
        self,
        now: float,
        class_name: str,
        body: bytes,
        *,
        deadline: float | None = None,
        row: int | None = None,
        key: str = "",
    ) -> Call:
        """Start a call; its outcome is delivered by the action ``CompleteCall``.

        ``deadline`` is a time on the policy's clock, bounded by the deadline of the class. ``row`` identifies the row
        that a read concerns (for affinity). ``key`` is the idempotency key on wires that have one; if it is empty, a
        random one is drawn.
        """
        return self._submission.submit(now, class_name, body, deadline, row, key)

    def cancel(self, now: float, call: Call) -> None:
        """The application no longer waits for a call."""
        self._calls.cancel(now, call)

    def close(self, now: float) -> None:
        """End every call and close every connection."""
        self.traffic.closed = True
        # Every open call has a deadline timer, so the timers lead to all open calls.
        open_calls = {id(call): call for call in self.engine.timer_arguments() if isinstance(call, Call)}
        for call in open_calls.values():
            self.cancel(now, call)
        for endpoint in self.table.endpoints.values():
            for connection in list(endpoint.connections):
                self.table.close_connection(connection)
        self.engine.clear_timers()
        self._waiting.clear()

    # ---- Endpoint lists
    def update_endpoints(self, now: float, listing: ServerList | Delta) -> ListVerdict:
        """Apply a full endpoint list or a delta; return the verdict (``MembershipChange.verdict``)."""
        return self._updates.update(now, listing)

    def restore_endpoints(self, now: float, data: bytes) -> ListVerdict:
        """Apply a list that an earlier process saved; raise ``ProtocolError`` if ``data`` is not a list."""
        return self._updates.restore(now, data)

    # ---- Events on connections, from the driver
    def connected(self, now: float, connection: Connection) -> None:
        """A dial succeeded."""
        self._events.connected(now, connection)

    def dial_failed(self, now: float, connection: Connection) -> None:
        """A dial failed; nothing was sent on the connection."""
        self._events.dial_failed(now, connection)

    def response_received(self, now: float, connection: Connection, attempt_id: int, result: AttemptResult) -> None:
        """A response to an attempt arrived."""
        self._events.response_received(now, connection, attempt_id, result)

    def probe_answered(self, now: float, connection: Connection) -> None:
        """An answer to ``SendProbe`` arrived. Whatever its content, the endpoint is responsive."""
        self._events.probe_answered(now, connection)

    def health_checked(self, now: float, endpoint: Endpoint, healthy: bool) -> None:
        """A health check (``CheckHealth``) ended. No answer within its timeout counts as unhealthy."""
        self._events.health_checked(now, endpoint, healthy)

    def draining(self, now: float, connection: Connection) -> None:
        """A server announced its graceful shutdown."""
        self._events.draining(now, connection)

    def closed(self, now: float, connection: Connection, clean: bool) -> None:
        """The peer closed the connection; ``clean`` unless it was reset or its data could not be parsed."""
        self._events.closed(now, connection, clean)
