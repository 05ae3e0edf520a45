"""The table of the endpoints that a client tracks, with their connections."""

from __future__ import annotations

from collections.abc import Iterator

from lapishaven.client.actions import CloseConnection, OpenConnection
from lapishaven.client.engine import Engine
from lapishaven.client.fleet.aperture import placement_number
from lapishaven.client.fleet.connection_manager import ConnectionManager
from lapishaven.client.health import OutlierDetector
from lapishaven.client.membership import Membership
from lapishaven.client.model import Connection, ConnectionState, Endpoint
from lapishaven.client.routing import make_strategy
from lapishaven.client.traffic import Traffic
from lapishaven.load_balancing.failure_detector import FailureDetector
from lapishaven.load_balancing.rules import BalancingRules


class EndpointTable:
    """The tracked endpoints, with the membership, the outlier detector and the failure detector.

    ``endpoints``: the tracked endpoints by name.
    ``connection_manager``: chooses the endpoints to keep connected (deterministic subsetting only).
    ``one_request_per_connection``: a connection carries a single request (uwsgi).
    ``probes_connections``: endpoints are probed on open connections (``health.watch_s`` above 0).
    ``uses_aperture``: the subset is chosen by deterministic subsetting; otherwise by rendezvous hashing.
    ``rendezvous_panic``: with rendezvous hashing, most of the subset fails its health checks.
    """

    def __init__(self, engine: Engine, traffic: Traffic, clock_offset_s: float) -> None:
        settings, random = engine.settings, engine.random
        self._engine = engine
        self._traffic = traffic
        self.one_request_per_connection = settings.wire == "uwsgi"
        self.uses_aperture = settings.routing.subsetting == "aperture"
        self.probes_connections = settings.health.watch_s > 0 and not self.one_request_per_connection
        self.identity = random.getrandbits(64)
        self.membership = Membership(settings.catalog_rules)
        self.endpoints: dict[str, Endpoint] = {}
        self.outliers = OutlierDetector(settings.health)
        typical_attempt_s = sum(rule.estimate_s for rule in settings.classes.values()) / len(settings.classes)
        self.routing = make_strategy(settings.routing, random, typical_attempt_s)
        self.connection_manager = ConnectionManager(
            settings.connections,
            self.membership,
            self.endpoints,
            placement_number(settings.caller, settings.callers, self.identity),
            random,
            bool(settings.catalog),
            clock_offset_s,
        )
        rules = BalancingRules(watch_interval_s=settings.health.watch_s, probe_timeout_s=settings.health.silent_s)
        self.failure_detector: FailureDetector[Endpoint] = FailureDetector(rules, random)
        self.rendezvous_panic = False

    # ---- Queries
    @property
    def panic(self) -> bool:
        """Whether most listed endpoints fail their health checks, so that the list's health is ignored."""
        return self.connection_manager.panic if self.uses_aperture else self.rendezvous_panic

    @property
    def any_connected(self) -> bool:
        """Whether any endpoint is connected and not suspected of being unresponsive."""
        responsive = (endpoint for endpoint in self.endpoints.values() if endpoint.suspected_since is None)
        return any(
            connection.state is ConnectionState.READY for endpoint in responsive for connection in endpoint.connections
        )

    def is_tracked(self, endpoint: Endpoint) -> bool:
        """Whether this endpoint object is tracked, and not a later one of the same name."""
        return self.endpoints.get(endpoint.name) is endpoint

    def passes_health_checks(self, endpoint: Endpoint) -> bool:
        """Whether the endpoint list shows the endpoint as healthy, or its health is ignored (``panic``)."""
        return endpoint.member.listed.passing or self.panic

    def open_connections(self) -> Iterator[Connection]:
        """Return every connection to a tracked endpoint, including those being dialled."""
        return (connection for endpoint in self.endpoints.values() for connection in endpoint.connections)

    # ---- Tracking
    def track(self, name: str) -> Endpoint | None:
        """Track the endpoint of this name and return it; None if it is not on the list."""
        if name not in self.endpoints and (member := self.membership.track(name)) is not None:
            self.endpoints[name] = Endpoint(name, member, None if member.warmed_up else member.listed_since)
        return self.endpoints.get(name)

    def remove(self, name: str) -> None:
        """Stop tracking an endpoint: its attempts in flight are completed, new ones are not sent."""
        endpoint = self.endpoints.pop(name, None)
        self.membership.untrack(name)
        if endpoint is None:
            return
        self.outliers.forget(name)
        self.failure_detector.forget(endpoint)
        for connection in list(endpoint.connections):
            if not connection.in_flight:
                self.close_connection(connection)
            elif connection.state is ConnectionState.READY:
                connection.state = ConnectionState.DRAINING

    def track_window(self, now: float) -> None:
        """Track the endpoints that the connection manager needs, and no others; notify the routing of changes."""
        before = set(self.endpoints)
        self.connection_manager.update_window(now, self._traffic.first_attempt_rate.per_second(now))
        for name in [name for name in self.endpoints if not self.connection_manager.keep_tracked(now, name)]:
            self.remove(name)
        for name in self.connection_manager.window:
            self.track(name)
        if self.endpoints.keys() != before:
            self.notify_routing()

    def track_subset(self, names: list[str]) -> None:
        """Track exactly these endpoints (rendezvous hashing)."""
        for name in [name for name in self.endpoints if name not in names]:
            self.remove(name)
        for name in names:
            self.track(name)
        passing = sum(endpoint.member.listed.passing for endpoint in self.endpoints.values())
        self.rendezvous_panic = passing * 2 < len(self.endpoints)

    def notify_routing(self) -> None:
        """Tell the routing strategy which endpoints are tracked."""
        self.routing.endpoints_changed(tuple(self.endpoints))

    # ---- Connections
    def open_connection(self, now: float, endpoint: Endpoint, reason: str) -> Connection:
        """Dial an endpoint. ``reason`` is reported in the event ``dial``."""
        connection = Connection(self._engine.next_id(), endpoint, now, last_received_at=now, idle_since=now)
        connection.replaces_idle_close = endpoint.closed_idle_connection and reason == "urgent"
        endpoint.closed_idle_connection = False
        endpoint.connections.append(connection)
        self._engine.report(now, "dial", server=endpoint.name, why=reason)
        self._engine.emit(OpenConnection(connection))
        return connection

    def close_connection(self, connection: Connection) -> None:
        """Close a connection from this side."""
        if connection.state is not ConnectionState.CLOSED:
            connection.state = ConnectionState.CLOSED
            self._engine.emit(CloseConnection(connection))
        self.forget_connection(connection)

    def forget_connection(self, connection: Connection) -> None:
        """Remove a closed connection from its endpoint."""
        if connection in connection.endpoint.connections:
            connection.endpoint.connections.remove(connection)
