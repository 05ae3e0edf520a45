"""What the client deals with: calls, attempts, connections and endpoints. The four refer to one another."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from lapishaven.client.health import EjectionState, EndpointHealth
from lapishaven.client.membership import Member
from lapishaven.client.settings import Routing
from lapishaven.load_balancing.failure_detector import OutstandingProbe

CLOSE_RACE_WINDOW_S = 0.05  # PROTOCOL: a request sent so shortly before a close may be retried as never read
LATENCY_SMOOTHING = 0.1  # weight of a new latency in the smoothed one
LATENCY_SMOOTHING_RISING = 0.3  # the same for a higher one: slowness is noticed faster than its end
LATENCY_DECAY_S = 5.0  # time constant with which a smoothed latency returns to the typical one
MAX_RELATIVE_LATENCY = 20.0
REJECTION_MEMORY_S = 5.0  # after a rejection, for which an endpoint counts as overloaded
MIN_WEIGHT_SHARE = 0.1  # of its weight that an endpoint keeps however often it rejects
MIN_PENALTY = 0.01  # a smaller penalty counts as none
UNKNOWN_LATENCY = 0.0  # of an endpoint that has served nothing yet


class CallState(Enum):
    """Where a call stands."""

    NEW = "new"
    WAITING = "waiting"  # for an endpoint with free capacity
    OPEN = "open"  # one attempt or more is in flight
    PAUSED = "paused"  # in the backoff before a retry
    OVER = "over"


@dataclass(slots=True, eq=False)
class Call:
    """One call of the application, with one deadline for all its attempts. Times are on the policy's clock.

    ``number``: unique within the client.
    ``idempotent``: the call may run twice.
    ``row_id``: what a read is about, for affinity and for the server.
    ``memory_kb``: memory that the server reserves for the request.
    ``rank``: the priority on the wire, from 0 to below 1.
    ``idempotency_key``: names the effect, on wires that have such a key.
    ``attempts_sent``: attempts that were sent, or may have been.
    ``retries``: attempts after the first, charged to the retry budget.
    ``attempts``: the attempts in flight, or waiting for their connection.
    ``excluded_endpoints``: names of endpoints that rejected or failed this call.
    ``possibly_run``: how many sent attempts are not proved never to have run.
    """

    number: int
    class_name: str
    body: bytes
    idempotent: bool
    started_at: float
    deadline: float
    row_id: int | None = None
    memory_kb: float = 30.0
    rank: float = 0.0
    idempotency_key: str = ""
    state: CallState = CallState.NEW
    attempts_sent: int = 0
    retries: int = 0
    attempts: list[Attempt] = field(default_factory=list)
    excluded_endpoints: set[str] = field(default_factory=set)
    possibly_run: int = 0


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a call on one endpoint.

    ``id``: unique within the client; never on the wire.
    ``request_id``: 16 hex digits, new with every attempt; names the request on the wire.
    ``is_retry``: another attempt of the call was sent before; the request is marked so.
    ``is_hedge``: a hedged request, beside an attempt that is slow.
    ``sent_at``: when the request was handed to the connection; None while it waits for it.
    ``connection_idle_s``: how long the connection had carried nothing before this attempt.
    """

    id: int
    request_id: str
    call: Call
    endpoint: Endpoint
    connection: Connection
    is_retry: bool
    is_hedge: bool = False
    sent_at: float | None = None
    connection_idle_s: float = 0.0


class ConnectionState(Enum):
    """Where a connection stands."""

    DIALING = "dialing"
    READY = "ready"
    DRAINING = "draining"  # carries nothing new
    CLOSED = "closed"


@dataclass(slots=True, eq=False)
class Connection:
    """One connection to one endpoint.

    ``id``: unique within the client.
    ``in_flight``: the attempts on it, or waiting for it, by their ids.
    ``last_received_at``: when anything last arrived on it.
    ``idle_since``: when it last stopped carrying attempts.
    ``response_timer_set``: a check for missing responses is scheduled.
    ``idle_timer_set``: a check for idleness is scheduled.
    ``replaces_idle_close``: dialled for a call that waits, after the server had closed an idle connection.
    """

    id: int
    endpoint: Endpoint
    dialled_at: float
    state: ConnectionState = ConnectionState.DIALING
    in_flight: dict[int, Attempt] = field(default_factory=dict)
    last_received_at: float = 0.0
    idle_since: float = 0.0
    response_timer_set: bool = False
    idle_timer_set: bool = False
    replaces_idle_close: bool = False

    def free_capacity(self, limit: int) -> int:
        """Requests that may still be sent on it, at so many in flight at most."""
        return limit - len(self.in_flight) if self.state is ConnectionState.READY else 0

    def close_proves_unread(self, now: float, attempt: Attempt, clean: bool, idle_threshold_s: float) -> bool:
        """Whether the connection's end proves that the server never read the attempt.

        PROTOCOL lets a server close an idle connection, or one on which it announced its shutdown, and has a request
        that meets such a close within 50 ms sent once more. The end that a killed process leaves looks the same, so
        the server must also have announced its shutdown or, with an ``idle_threshold_s`` above 0, the connection
        must have been idle for so many seconds, with this attempt alone on it.
        """
        if attempt.sent_at is None:
            return True
        if not clean or now - attempt.sent_at > CLOSE_RACE_WINDOW_S or self.last_received_at > attempt.sent_at:
            return False
        if self.state is ConnectionState.DRAINING:
            return True
        alone = len(self.in_flight) == 1
        return idle_threshold_s > 0 and alone and attempt.connection_idle_s >= idle_threshold_s


@dataclass(slots=True, eq=False)
class Endpoint:
    """A server that the client tracks.

    ``last_heard_at``, ``in_flight``, ``outstanding_probe`` and ``suspected_since`` serve the failure detector.

    ``slow_start_since``: when the server started, as far as the client knows; None once it has warmed up.
    ``in_flight``: attempts in flight to it.
    ``smoothed_latency``: over all classes, relative to each class's typical time: 1 is typical.
    ``dial_failures``: failed dials in a row.
    ``next_dial_at``: it is not dialled before this.
    ``round_robin_credit``: the state of smooth weighted round robin.
    ``weight_penalty``: the part of its weight that rejections took away, as of ``weight_penalty_at``.
    ``health_check_pending``: a health check on a connection of its own is under way.
    ``last_heard_at``: when anything last arrived from it.
    ``outstanding_probe``: the probe that waits for its answer.
    ``suspected_since``: since when it is suspected of being unresponsive; None if it is not.
    ``lost_at``: when its connection was lost, until the endpoint list shows it again (deterministic subsetting).
    ``closed_idle_connection``: it closed its last connection cleanly, soon after the last response on it.
    """

    name: str
    member: Member
    slow_start_since: float | None
    health: EndpointHealth = field(default_factory=EndpointHealth)
    connections: list[Connection] = field(default_factory=list)
    in_flight: int = 0
    smoothed_latency: float = UNKNOWN_LATENCY
    smoothed_latency_at: float = 0.0
    dial_failures: int = 0
    next_dial_at: float = float("-inf")
    round_robin_credit: float = 0.0
    weight_penalty: float = 0.0
    weight_penalty_at: float = 0.0
    health_check_pending: bool = False
    last_heard_at: float = float("-inf")
    outstanding_probe: OutstandingProbe | None = None
    suspected_since: float | None = None
    lost_at: float | None = None
    closed_idle_connection: bool = False

    # ---- Connections
    def least_loaded_connection(self, limit: int) -> Connection | None:
        """The connection with the fewest attempts in flight, if one has free capacity."""
        best: Connection | None = None
        for connection in self.connections:
            if connection.free_capacity(limit) <= 0:
                continue
            if best is None or len(connection.in_flight) < len(best.in_flight):
                best = connection
        return best

    @property
    def is_dialing(self) -> bool:
        """Whether a connection to it is being dialled."""
        return any(connection.state is ConnectionState.DIALING for connection in self.connections)

    @property
    def usable_connections(self) -> int:
        """Connections that are established or being dialled."""
        count = 0
        for connection in self.connections:
            count += connection.state is ConnectionState.READY or connection.state is ConnectionState.DIALING
        return count

    @property
    def ejected(self) -> bool:
        """Whether it is ejected as an outlier."""
        return self.health.state is EjectionState.EJECTED

    # ---- Weight
    def weight(self, now: float, rules: Routing) -> float:
        """Its part of a full weight: rises evenly during slow start, and falls for a while with each rejection."""
        weight = self._slow_start_weight(now, rules)
        if not self.weight_penalty:
            return weight
        return weight * (1.0 - self._current_penalty(now, rules))

    def _slow_start_weight(self, now: float, rules: Routing) -> float:
        if self.slow_start_since is None:
            return 1.0
        age = now - self.slow_start_since
        if age >= rules.slow_start_s:
            self.slow_start_since = None
            return 1.0
        return rules.slow_start_from + (1.0 - rules.slow_start_from) * max(age, 0.0) / rules.slow_start_s

    def _current_penalty(self, now: float, rules: Routing) -> float:
        penalty = self.weight_penalty * math.exp((self.weight_penalty_at - now) / rules.recover_s)
        return penalty if penalty > MIN_PENALTY else 0.0

    def record_rejection(self, now: float, rules: Routing) -> None:
        """It rejected an attempt, so it has more than its share of the load: lower its weight."""
        share = max(MIN_WEIGHT_SHARE, (1.0 - self._current_penalty(now, rules)) * rules.refused_cut)
        self.weight_penalty = 1.0 - share
        self.weight_penalty_at = now

    def recently_rejected(self, now: float) -> bool:
        """Whether it rejected an attempt within ``REJECTION_MEMORY_S``, so that it is not to be relied on alone."""
        return self.weight_penalty > 0 and now - self.weight_penalty_at < REJECTION_MEMORY_S

    # ---- Latency
    def record_latency(self, now: float, relative: float) -> None:
        """An attempt was served in ``relative`` times the typical time of its class."""
        relative = min(relative, MAX_RELATIVE_LATENCY)
        known = self.decayed_latency(now)
        smoothing = LATENCY_SMOOTHING_RISING if relative > known else LATENCY_SMOOTHING
        self.smoothed_latency = relative if not self.smoothed_latency else known + smoothing * (relative - known)
        self.smoothed_latency_at = now

    def decayed_latency(self, now: float) -> float:
        """The smoothed latency, moved towards the typical one by its age.

        Otherwise an endpoint that was slow once, and is chosen no more, would never be found to be fast again.
        """
        if not self.smoothed_latency:
            return UNKNOWN_LATENCY
        return 1.0 + (self.smoothed_latency - 1.0) * math.exp((self.smoothed_latency_at - now) / LATENCY_DECAY_S)

    def oldest_attempt_age(self, now: float) -> float:
        """Seconds for which the oldest attempt in flight has been out."""
        sent_times = (
            next(iter(connection.in_flight.values())).sent_at for connection in self.connections if connection.in_flight
        )
        return max((now - sent_at for sent_at in sent_times if sent_at is not None), default=0.0)
