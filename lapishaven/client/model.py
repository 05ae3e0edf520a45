"""What the client deals in: calls, tries, connections and servers. These four know each other, so they are together."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from lapishaven.client.health import EjectionState, EndpointHealth
from lapishaven.client.membership import Member
from lapishaven.client.settings import Routing
from lapishaven.load_balancing.failure_detector import Asked

CLOSE_RACE_WINDOW_S = 0.05  # s: a request sent so shortly before a close that PROTOCOL allows was not read
LATENCY_SMOOTHING = 0.1  # part of a new time in the smoothed latency
LATENCY_SMOOTHING_RISING = 0.3  # the same where it is longer: slowness is believed sooner than its end
LATENCY_DECAY_S = 5.0  # s in which a latency goes most of the way back to the usual
REJECTION_MEMORY_S = 5.0  # s after a refusal for which a server counts as strained
MIN_WEIGHT_SHARE = 0.1  # of its share that a server keeps however often it refuses
UNKNOWN_LATENCY = 0.0  # latency of a server that has answered nothing yet


class CallState(Enum):
    NEW = "new"
    WAITING = "waiting"  # for a server that has room
    OPEN = "open"  # one try or more is out
    PAUSED = "paused"  # before a further try
    OVER = "over"


@dataclass(slots=True, eq=False)
class Call:
    """One call of the application, with one budget of time for all its tries."""

    number: int
    class_name: str
    body: bytes
    idempotent: bool
    started_at: float
    deadline: float
    row_id: int | None = None
    memory_kb: float = 30.0
    rank: float = 0.0
    idempotency_key: str = ""  # names the effect on wires that have such a name
    state: CallState = CallState.NEW
    attempts_sent: int = 0  # tries that were written, or may have been
    retries: int = 0  # tries after the first, charged to the budget of repeats
    attempts: list[Attempt] = field(default_factory=list)
    excluded_endpoints: set[str] = field(default_factory=set)  # servers that turned this call away or failed it
    possibly_run: int = 0  # tries that were sent and of which it is not proved that they never ran


@dataclass(slots=True, eq=False)
class Attempt:
    """One try of a call on one server."""

    id: int  # counts up over the client
    request_id: str  # 16 hex digits, new with every try
    call: Call
    endpoint: Endpoint
    connection: Connection
    is_retry: bool
    is_hedge: bool = False  # a second copy beside one that is slow
    sent_at: float | None = None  # when it was handed to the connection
    connection_idle_s: float = 0.0  # how long nothing had been open on the connection before it


class ConnectionState(Enum):
    DIALING = "dialing"
    READY = "ready"
    DRAINING = "draining"  # nothing new goes on it
    CLOSED = "closed"


@dataclass(slots=True, eq=False)
class Connection:
    """One connection to one server."""

    id: int
    endpoint: Endpoint
    dialled_at: float
    state: ConnectionState = ConnectionState.DIALING
    in_flight: dict[int, Attempt] = field(default_factory=dict)
    last_received_at: float = 0.0  # when anything last came
    idle_since: float = 0.0  # since when nothing is open
    response_timer_set: bool = False  # a look for silence is planned
    idle_timer_set: bool = False
    replaces_idle_close: bool = False  # dialled for a call that waits, where the server had closed a resting connection

    def free_capacity(self, limit: int) -> int:
        """Requests that may still go on it."""
        return limit - len(self.in_flight) if self.state is ConnectionState.READY else 0

    def close_proves_unread(self, now: float, attempt: Attempt, clean: bool, quiet: float) -> bool:
        """Whether this end proves that the server never read the try.

        PROTOCOL lets a server close a connection with nothing open on it, or one that it has told to drain; a
        request that meets such a close within 50 ms is sent once more. The end that a killed process leaves
        looks alike, so the connection must also have been told to drain or, where ``quiet`` is above 0, have
        been quiet for that many seconds, with the try alone on it.
        """
        if attempt.sent_at is None:
            return True
        if not clean or now - attempt.sent_at > CLOSE_RACE_WINDOW_S or self.last_received_at > attempt.sent_at:
            return False
        if self.state is ConnectionState.DRAINING:
            return True
        return quiet > 0 and len(self.in_flight) == 1 and attempt.connection_idle_s >= quiet


@dataclass(slots=True, eq=False)
class Endpoint:
    """A server of this process's subset."""

    name: str
    member: Member
    slow_start_since: float | None  # when it began cold, as far as the client knows
    health: EndpointHealth = field(default_factory=EndpointHealth)
    connections: list[Connection] = field(default_factory=list)
    open: int = 0  # tries out to it
    smoothed_latency: float = UNKNOWN_LATENCY  # smoothed over all classes, each over its class's usual time: 1 is usual
    smoothed_latency_at: float = 0.0
    dial_failures: int = 0  # in a row
    next_dial_at: float = float("-inf")  # not dialled before this
    round_robin_credit: float = 0.0  # smooth weighted round robin
    weight_penalty: float = 0.0  # part of its share taken away by refusals, as of ``cut_at``
    weight_penalty_at: float = 0.0
    health_check_pending: bool = False
    heard: float = float("-inf")  # when anything last came from it
    asked: Asked | None = None  # the question that waits for its answer
    suspected: float | None = None  # since when it says nothing
    lost_at: float | None = None  # aperture: when it was found away, until news that it is back
    closed_idle_connection: bool = (
        False  # it closed its last connection in good order, soon after the last answer on it
    )

    def least_loaded_connection(self, limit: int) -> Connection | None:
        """The connection with the least open that has room."""
        best: Connection | None = None
        for connection in self.connections:
            if connection.free_capacity(limit) > 0 and (
                best is None or len(connection.in_flight) < len(best.in_flight)
            ):
                best = connection
        return best

    @property
    def is_dialing(self) -> bool:
        return any(c.state is ConnectionState.DIALING for c in self.connections)

    @property
    def ejected(self) -> bool:
        return self.health.state is EjectionState.EJECTED

    @property
    def usable_connections(self) -> int:
        """Connections that are there or on their way."""
        count = 0
        for connection in self.connections:
            count += connection.state is ConnectionState.READY or connection.state is ConnectionState.DIALING
        return count

    def weight(self, now: float, rules: Routing) -> float:
        """Its part of a full share: a cold server's grows evenly, and each refusal takes some away for a while."""
        warm = 1.0
        if self.slow_start_since is not None:
            age = now - self.slow_start_since
            if age < rules.slow_start_s:
                warm = rules.slow_start_from + (1.0 - rules.slow_start_from) * max(age, 0.0) / rules.slow_start_s
            else:
                self.slow_start_since = None
        if not self.weight_penalty:
            return warm
        return warm * (1.0 - self._current_penalty(now, rules))

    def _current_penalty(self, now: float, rules: Routing) -> float:
        left = self.weight_penalty * math.exp((self.weight_penalty_at - now) / rules.recover_s)
        return left if left > 0.01 else 0.0

    def record_rejection(self, now: float, rules: Routing) -> None:
        """It turned a try away, so it has more than its share."""
        share = max(MIN_WEIGHT_SHARE, (1.0 - self._current_penalty(now, rules)) * rules.refused_cut)
        self.weight_penalty, self.weight_penalty_at = 1.0 - share, now

    def recently_rejected(self, now: float) -> bool:
        """Whether it turned something away lately, so that it cannot be relied on alone."""
        return self.weight_penalty > 0 and now - self.weight_penalty_at < REJECTION_MEMORY_S

    def record_latency(self, now: float, relative: float) -> None:
        """A try was served in ``relative`` times its class's usual time."""
        relative, known = min(relative, 20.0), self.decayed_latency(now)
        part = LATENCY_SMOOTHING_RISING if relative > known else LATENCY_SMOOTHING
        self.smoothed_latency = relative if not self.smoothed_latency else known + part * (relative - known)
        self.smoothed_latency_at = now

    def decayed_latency(self, now: float) -> float:
        """The smoothed latency. What is long past counts less and less, or one that was slow once and is passed
        over since would never be found to be quick again."""
        if not self.smoothed_latency:
            return UNKNOWN_LATENCY
        return 1.0 + (self.smoothed_latency - 1.0) * math.exp((self.smoothed_latency_at - now) / LATENCY_DECAY_S)

    def oldest_attempt_age(self, now: float) -> float:
        """Seconds for which the oldest open try has been out."""
        sent = (next(iter(c.in_flight.values())).sent_at for c in self.connections if c.in_flight)
        return max((now - at for at in sent if at is not None), default=0.0)
