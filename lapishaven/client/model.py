"""What the client deals in: calls, tries, connections and servers. These four know each other, so they are together."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from lapishaven.client.health import ServerHealth, Standing
from lapishaven.client.membership import Member
from lapishaven.client.settings import Routing
from lapishaven.load_balancing.failure_detector import OutstandingProbe

CROSSING = 0.05  # s: a request sent so shortly before a close that PROTOCOL allows was not read
SMOOTH = 0.1  # part of a new time in the smoothed latency
RISE = 0.3  # the same where it is longer: slowness is believed sooner than its end
FADE = 5.0  # s in which a latency goes most of the way back to the usual
STRAIN = 5.0  # s after a refusal for which a server counts as strained
LEAST = 0.1  # of its share that a server keeps however often it refuses
UNKNOWN = 0.0  # latency of a server that has answered nothing yet


class State(Enum):
    NEW = "new"
    WAITING = "waiting"  # for a server that has room
    OPEN = "open"  # one try or more is out
    PAUSED = "paused"  # before a further try
    OVER = "over"


@dataclass(slots=True, eq=False)
class Call:
    """One call of the application, with one budget of time for all its tries."""

    number: int
    cls: str
    body: bytes
    safe: bool
    started: float
    deadline: float
    row: int | None = None
    heap: float = 30.0
    rank: float = 0.0
    key: str = ""  # names the effect on wires that have such a name
    state: State = State.NEW
    sent: int = 0  # tries that were written, or may have been
    further: int = 0  # tries after the first, charged to the budget of repeats
    open: list[Attempt] = field(default_factory=list)
    avoid: set[str] = field(default_factory=set)  # servers that turned this call away or failed it
    unproven: int = 0  # tries that were sent and of which it is not proved that they never ran


@dataclass(slots=True, eq=False)
class Attempt:
    """One try of a call on one server."""

    id: int  # counts up over the client
    name: str  # 16 hex digits, new with every try
    call: Call
    peer: Peer
    connection: Connection
    rep: bool
    second: bool = False  # a second copy beside one that is slow
    sent: float | None = None  # when it was handed to the connection
    quiet: float = 0.0  # how long nothing had been open on the connection before it


class Phase(Enum):
    DIALING = "dialing"
    READY = "ready"
    DRAINING = "draining"  # nothing new goes on it
    CLOSED = "closed"


@dataclass(slots=True, eq=False)
class Connection:
    """One connection to one server."""

    id: int
    peer: Peer
    since: float
    phase: Phase = Phase.DIALING
    open: dict[int, Attempt] = field(default_factory=dict)
    heard: float = 0.0  # when anything last came
    emptied: float = 0.0  # since when nothing is open
    watched: bool = False  # a look for silence is planned
    idle_planned: bool = False
    resumes: bool = False  # dialled for a call that waits, where the server had closed a resting connection

    def room(self, limit: int) -> int:
        """Requests that may still go on it."""
        return limit - len(self.open) if self.phase is Phase.READY else 0

    def crossed(self, now: float, attempt: Attempt, clean: bool, quiet: float) -> bool:
        """Whether this end proves that the server never read the try.

        PROTOCOL lets a server close a connection with nothing open on it, or one that it has told to drain; a
        request that meets such a close within 50 ms is sent once more. The end that a killed process leaves
        looks alike, so the connection must also have been told to drain or, where ``quiet`` is above 0, have
        been quiet for that many seconds, with the try alone on it.
        """
        if attempt.sent is None:
            return True
        if not clean or now - attempt.sent > CROSSING or self.heard > attempt.sent:
            return False
        if self.phase is Phase.DRAINING:
            return True
        return quiet > 0 and len(self.open) == 1 and attempt.quiet >= quiet


@dataclass(slots=True, eq=False)
class Peer:
    """A server of this process's subset."""

    name: str
    member: Member
    cold_since: float | None  # when it began cold, as far as the client knows
    health: ServerHealth = field(default_factory=ServerHealth)
    connections: list[Connection] = field(default_factory=list)
    open: int = 0  # tries out to it
    latency: float = UNKNOWN  # smoothed over all classes, each over its class's usual time: 1 is usual
    latency_at: float = 0.0
    dial_failures: int = 0  # in a row
    dial_at: float = float("-inf")  # not dialled before this
    turn: float = 0.0  # smooth weighted round robin
    cut: float = 0.0  # part of its share taken away by refusals, as of ``cut_at``
    cut_at: float = 0.0
    probing: bool = False
    heard: float = float("-inf")  # when anything last came from it
    asked: OutstandingProbe | None = None  # the question that waits for its answer
    suspected: float | None = None  # since when it says nothing
    lost_at: float | None = None  # aperture: when it was found away, until news that it is back
    rested: bool = False  # it closed its last connection in good order, soon after the last answer on it

    def ready(self, limit: int) -> Connection | None:
        """The connection with the least open that has room."""
        best: Connection | None = None
        for connection in self.connections:
            if connection.room(limit) > 0 and (best is None or len(connection.open) < len(best.open)):
                best = connection
        return best

    @property
    def dialing(self) -> bool:
        return any(c.phase is Phase.DIALING for c in self.connections)

    @property
    def left_out(self) -> bool:
        return self.health.standing is Standing.OUT

    @property
    def usable(self) -> int:
        """Connections that are there or on their way."""
        count = 0
        for connection in self.connections:
            count += connection.phase is Phase.READY or connection.phase is Phase.DIALING
        return count

    def weight(self, now: float, rules: Routing) -> float:
        """Its part of a full share: a cold server's grows evenly, and each refusal takes some away for a while."""
        warm = 1.0
        if self.cold_since is not None:
            age = now - self.cold_since
            if age < rules.slow_start_s:
                warm = rules.slow_start_from + (1.0 - rules.slow_start_from) * max(age, 0.0) / rules.slow_start_s
            else:
                self.cold_since = None
        if not self.cut:
            return warm
        return warm * (1.0 - self._cut(now, rules))

    def _cut(self, now: float, rules: Routing) -> float:
        left = self.cut * math.exp((self.cut_at - now) / rules.recover_s)
        return left if left > 0.01 else 0.0

    def refused(self, now: float, rules: Routing) -> None:
        """It turned a try away, so it has more than its share."""
        share = max(LEAST, (1.0 - self._cut(now, rules)) * rules.refused_cut)
        self.cut, self.cut_at = 1.0 - share, now

    def strained(self, now: float) -> bool:
        """Whether it turned something away lately, so that it cannot be relied on alone."""
        return self.cut > 0 and now - self.cut_at < STRAIN

    def took(self, now: float, relative: float) -> None:
        """A try was served in ``relative`` times its class's usual time."""
        relative, known = min(relative, 20.0), self.slowness(now)
        part = RISE if relative > known else SMOOTH
        self.latency = relative if not self.latency else known + part * (relative - known)
        self.latency_at = now

    def slowness(self, now: float) -> float:
        """The smoothed latency. What is long past counts less and less, or one that was slow once and is passed
        over since would never be found to be quick again."""
        if not self.latency:
            return UNKNOWN
        return 1.0 + (self.latency - 1.0) * math.exp((self.latency_at - now) / FADE)

    def oldest(self, now: float) -> float:
        """Seconds for which the oldest open try has been out."""
        sent = (next(iter(c.open.values())).sent for c in self.connections if c.open)
        return max((now - at for at in sent if at is not None), default=0.0)
