"""The objects of the client: calls, attempts, connections and endpoints. They refer to one another."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from lapishaven.client.health import EjectionState, EndpointHealth
from lapishaven.client.membership import Member
from lapishaven.client.settings import Routing
from lapishaven.load_balancing.failure_detector import OutstandingProbe

CLOSE_RACE_WINDOW_S = (
    0.05  # PROTOCOL: a request sent at most this long before a close counts as unread and may be retried
)
LATENCY_SMOOTHING = 0.1  # weight of a new sample in the smoothed latency
LATENCY_SMOOTHING_RISING = 0.3  # the same for a higher sample, so that an endpoint that becomes slow is noticed quickly
LATENCY_DECAY_S = 5.0  # time constant of the decay of a smoothed latency to the typical one
MAX_RELATIVE_LATENCY = 20.0
REJECTION_MEMORY_S = 5.0  # an endpoint counts as overloaded for this long after a rejection
MIN_WEIGHT_SHARE = 0.1  # of its weight, which an endpoint keeps however often it rejects
MIN_PENALTY = 0.01  # a smaller penalty is ignored
UNKNOWN_LATENCY = 0.0  # marks an endpoint that has served no attempt yet


class CallState(Enum):
    """The state of a call."""

    NEW = "new"
    WAITING = "waiting"  # for an endpoint with free capacity
    OPEN = "open"  # at least one attempt is in flight
    PAUSED = "paused"  # in the backoff before a retry
    OVER = "over"


@dataclass(slots=True, eq=False)
class Call:
    """One call of the application, with one deadline for all attempts. Times are on the policy's clock.

    ``number``: unique within the client.
    ``idempotent``: the call may run twice.
    ``row_id``: the row that a read concerns, for affinity and for the server.
    ``memory_kb``: the memory that the server reserves for the request.
    ``rank``: the priority on the wire, from 0 to below 1.
    ``idempotency_key``: identifies the effect of the call, on wires that have such a key.
    ``attempts_sent``: the number of attempts handed to a connection.
    ``retries``: the number of retries so far, which are charged to the retry budget.
    ``attempts``: the attempts in flight, or waiting for their connection.
    ``excluded_endpoints``: names of endpoints that rejected or failed this call.
    ``possibly_run``: the number of sent attempts that may have run (no response proves that they did not).
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

    ``id``: unique within the client; never sent.
    ``request_id``: 16 hexadecimal digits that identify the request on the wire; new for every attempt.
    ``is_retry``: another attempt of the call was sent before; the request is marked as a retry.
    ``is_hedge``: a hedged request, sent while a slow attempt is in flight.
    ``sent_at``: when the request was handed to the connection; None before that.
    ``connection_idle_s``: how long the connection had been idle before this attempt.
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
    """The state of a connection."""

    DIALING = "dialing"
    READY = "ready"
    DRAINING = "draining"  # takes no new attempts
    CLOSED = "closed"


@dataclass(slots=True, eq=False)
class Connection:
    """One connection to one endpoint.

    ``id``: unique within the client.
    ``in_flight``: the attempts that are on it or wait for it, by id.
    ``last_received_at``: when anything last arrived on it.
    ``idle_since``: when its last attempt ended.
    ``response_timer_set``: a check for overdue responses is scheduled.
    ``idle_timer_set``: a check of the idle timeout is scheduled.
    ``replaces_idle_close``: dialled for a waiting call after the server had closed an idle connection.
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
        """Return how many more requests may be sent on it, with at most ``limit`` in flight."""
        return limit - len(self.in_flight) if self.state is ConnectionState.READY else 0

    def close_proves_unread(self, now: float, attempt: Attempt, clean: bool, idle_threshold_s: float) -> bool:
        """Whether the connection's close proves that the server never read the attempt.

        PROTOCOL lets a server close an idle connection, or one on which it announced its shutdown, and has a request
        that crosses such a close within 50 ms sent again. The close that a killed process leaves looks the same. It is
        therefore a proof only if the server announced its shutdown or, with an ``idle_threshold_s`` above 0, if the
        connection had been idle for that long and this attempt is the only one on it.
        """
        if attempt.sent_at is None:
            return True
        if not clean or now - attempt.sent_at > CLOSE_RACE_WINDOW_S or self.last_received_at > attempt.sent_at:
            return False
        if self.state is ConnectionState.DRAINING:
            return True
        only_attempt = len(self.in_flight) == 1
        return idle_threshold_s > 0 and only_attempt and attempt.connection_idle_s >= idle_threshold_s


@dataclass(slots=True, eq=False)
class Endpoint:
    """A server that the client tracks.

    The failure detector uses ``last_heard_at``, ``in_flight``, ``outstanding_probe`` and ``suspected_since``.

    ``slow_start_since``: when its slow start began; None once it has warmed up.
    ``in_flight``: the number of attempts in flight to it.
    ``smoothed_latency``: over all classes, relative to the typical time of the class: 1 is typical.
    ``dial_failures``: consecutive failed dials; a drain counts as one.
    ``next_dial_at``: the earliest time of the next dial.
    ``round_robin_credit``: the state of smooth weighted round robin.
    ``weight_penalty``: the fraction by which rejections lowered its weight, as of ``weight_penalty_at``.
    ``health_check_pending``: a health check on a separate connection is under way.
    ``last_heard_at``: when anything last arrived from it.
    ``outstanding_probe``: the probe that is not answered yet.
    ``suspected_since``: since when it is suspected of being unresponsive; None if it is not.
    ``lost_at``: when its connection was lost, until the endpoint list shows it again (deterministic subsetting).
    ``closed_idle_connection``: it closed its last connection cleanly and soon after the last response on it.
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
        """Return the connection with the fewest attempts in flight, or None if none has free capacity."""
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
        """The number of connections that are established or being dialled."""
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
        """Return its fraction of full weight: rises linearly in slow start; each rejection lowers it for a while."""
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
        """Lower the weight of the endpoint, as it rejected an attempt and so has more than its share of the load."""
        weight_share = max(MIN_WEIGHT_SHARE, (1.0 - self._current_penalty(now, rules)) * rules.refused_cut)
        self.weight_penalty = 1.0 - weight_share
        self.weight_penalty_at = now

    def recently_rejected(self, now: float) -> bool:
        """Whether it rejected an attempt within ``REJECTION_MEMORY_S``, so that others are needed besides it."""
        return self.weight_penalty > 0 and now - self.weight_penalty_at < REJECTION_MEMORY_S

    # ---- Latency
    def record_latency(self, now: float, relative: float) -> None:
        """Record an attempt that was served in ``relative`` times the typical time of its class."""
        relative = min(relative, MAX_RELATIVE_LATENCY)
        previous = self.decayed_latency(now)
        smoothing = LATENCY_SMOOTHING_RISING if relative > previous else LATENCY_SMOOTHING
        self.smoothed_latency = relative if not self.smoothed_latency else previous + smoothing * (relative - previous)
        self.smoothed_latency_at = now

    def decayed_latency(self, now: float) -> float:
        """Return the smoothed latency, decayed towards the typical one by its age.

        Without the decay, an endpoint that was slow once and is no longer chosen could never be found to be fast again.
        """
        if not self.smoothed_latency:
            return UNKNOWN_LATENCY
        return 1.0 + (self.smoothed_latency - 1.0) * math.exp((self.smoothed_latency_at - now) / LATENCY_DECAY_S)

    def oldest_attempt_age_s(self, now: float) -> float:
        """Return how long the oldest attempt in flight has been in flight, in seconds."""
        sent_times = (
            next(iter(connection.in_flight.values())).sent_at for connection in self.connections if connection.in_flight
        )
        return max((now - sent_at for sent_at in sent_times if sent_at is not None), default=0.0)
