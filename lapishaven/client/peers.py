"""One server as the client sees it, with all that routing goes by."""

from __future__ import annotations

from dataclasses import dataclass, field

from lapishaven.client.connections import Connection, Phase
from lapishaven.client.health import ServerHealth
from lapishaven.client.membership import Member

SMOOTH = 0.1  # part of a new time in the smoothed latency
UNKNOWN = 0.0  # latency of a server that has answered nothing yet


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
    dial_failures: int = 0  # in a row
    dial_at: float = float("-inf")  # not dialled before this
    turn: float = 0.0  # smooth weighted round robin
    probing: bool = False

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
    def usable(self) -> int:
        """Connections that are there or on their way."""
        return sum(c.phase in (Phase.DIALING, Phase.READY) for c in self.connections)

    def weight(self, now: float, span: float, start: float) -> float:
        """Its part of a full share: a cold server's grows evenly to 1 over ``span`` seconds."""
        if self.cold_since is None or span <= 0:
            return 1.0
        age = now - self.cold_since
        if age >= span:
            self.cold_since = None
            return 1.0
        return start + (1.0 - start) * max(age, 0.0) / span

    def took(self, relative: float) -> None:
        """A try was served in ``relative`` times its class's usual time."""
        relative = min(relative, 20.0)
        self.latency = relative if not self.latency else self.latency + SMOOTH * (relative - self.latency)
