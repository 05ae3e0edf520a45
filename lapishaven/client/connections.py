"""Connections: when to dial, what each may carry, when to close, when one is only half there. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import TYPE_CHECKING

from lapishaven.client import settings

if TYPE_CHECKING:
    from lapishaven.client.model import Attempt
    from lapishaven.client.peers import Peer

CROSSING = 0.05  # s: a request sent so shortly before a close that PROTOCOL allows was not read
QUIET = 1.0  # s with nothing open, after which a server may have found a connection idle


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

    def room(self, limit: int) -> int:
        """Requests that may still go on it."""
        return limit - len(self.open) if self.phase is Phase.READY else 0

    def crossed(self, now: float, attempt: Attempt, clean: bool) -> bool:
        """Whether this end proves that the server never read the try.

        PROTOCOL lets a server close a connection with nothing open on it, or one that it has told to drain; a
        request that meets such a close within 50 ms is sent once more. The end that a killed process leaves
        looks alike, so the connection must also have been told to drain, or have been quiet for long enough
        to be closed as idle, and the try must be alone on it.
        """
        if attempt.sent is None:
            return True
        if not clean or now - attempt.sent > CROSSING or self.heard > attempt.sent:
            return False
        if self.phase is Phase.DRAINING:
            return True
        return len(self.open) == 1 and attempt.quiet >= QUIET


class DialBudget:
    """Dials of the whole process: a token bucket, so that a fleet that comes back is not met by all at once."""

    def __init__(self, rules: settings.Connections, now: float) -> None:
        self.rate, self.burst = rules.dials_per_s, rules.dial_burst
        self._tokens, self._at = max(rules.start_burst, rules.dial_burst), now

    def _turn(self, now: float) -> None:
        span = max(0.0, now - self._at)
        self._at = max(now, self._at)
        if self._tokens < self.burst:  # what is over from the start is kept, not added to
            self._tokens = min(self._tokens + span * self.rate, self.burst)

    def take(self, now: float) -> bool:
        self._turn(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def started(self) -> None:
        """The first connections are made: what the start had left in hand goes."""
        self._tokens = min(self._tokens, self.burst)

    def at(self, now: float) -> float:
        """When the next one is there."""
        self._turn(now)
        # A hair later than exactly then, lest rounding leave it a hair short and the look be made in vain.
        return now if self._tokens >= 1.0 else now + (1.0 - self._tokens) / self.rate + 1e-6


def redial(rules: settings.Connections, failures: int, random: Random) -> float:
    """Seconds before a server is dialled again: full jitter under an exponential ceiling."""
    return random.uniform(0.0, min(rules.redial_s * 2 ** min(failures, 16), rules.redial_max_s))
