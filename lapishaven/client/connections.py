"""When to dial: the process's budget of dials, how many servers to keep, the pause before the next dial. Pure."""

from __future__ import annotations

import math
from random import Random

from lapishaven.client import settings


class DialBudget:
    """Dials of the whole process, so that a fleet that comes back is not met by everybody at once.

    A token bucket that fills with the process's own traffic: ``dial_share`` of its first tries. So the dials of
    any number of clients together stay under that share of their arrivals, however thin each one's traffic is.
    """

    def __init__(self, rules: settings.Connections, now: float) -> None:
        self.rules = rules
        self._tokens, self._refilled_at = max(rules.start_burst, rules.dial_burst), now

    def refill_rate(self, calls: float, urgent: bool) -> float:
        """Dials a second at so many calls a second; ``urgent`` where a call waits and no server is connected."""
        rate = self.rules.dial_share * calls + self.rules.dial_floor_per_s
        return max(rate, self.rules.urgent_per_s if urgent else 1e-3)

    def _refill(self, now: float, calls: float, urgent: bool, saved: float = 0.0) -> float:
        span, rate = max(0.0, now - self._refilled_at), self.refill_rate(calls, urgent)
        self._refilled_at = max(now, self._refilled_at)
        most = max(self.rules.dial_burst, self.rules.dial_share * calls, saved)
        if self._tokens < most:  # what is over from the start is kept, not added to
            self._tokens = min(self._tokens + span * rate, most)
        return rate

    def try_acquire(self, now: float, calls: float, urgent: bool = False, saved: float = 0.0) -> bool:
        """Whether a dial may be made now; it is then charged. ``saved``: dials that may be saved up at the most,
        where that is more than the settings' burst (the aperture saves a window's worth)."""
        self._refill(now, calls, urgent, saved)
        if self._tokens < (1.0 - self.rules.urgent_debt if urgent else 1.0):
            return False
        self._tokens -= 1.0
        return True

    def refund(self) -> None:
        """A dial that took the place of a connection which its server had let rest too long, and which it answered:
        no sign of trouble, and no part of a storm. Where servers close what rests at once, a thin client has to
        dial for most of its calls."""
        self._tokens = min(self._tokens + 1.0, max(self._tokens, self.rules.dial_burst))

    def end_start_burst(self) -> None:
        """The first connections are made: what the start had left in hand goes."""
        self._tokens = min(self._tokens, self.rules.dial_burst)

    def available_at(self, now: float, calls: float, urgent: bool = False, saved: float = 0.0) -> float:
        """When the next one is there."""
        rate = self._refill(now, calls, urgent, saved)
        # A hair later than exactly then, lest rounding leave it a hair short and the look be made in vain.
        need = (1.0 - self.rules.urgent_debt if urgent else 1.0) - self._tokens
        return now if need <= 0 else now + need / rate + 1e-6


def connections_wanted(rules: settings.Connections, calls: float, servers: int) -> int:
    """Servers to keep connected at so many calls a second: a client of little traffic holds few connections,
    so that a server that dies loses, and one that returns is dialled for, few of them."""
    return min(servers, rules.least + math.ceil(calls / 2))


def redial_delay(rules: settings.Connections, failures: int, dial_rate: float, random: Random) -> float:
    """Seconds before a server is dialled again: full jitter under an exponential ceiling.

    The ceiling starts no lower than the time in which the process may dial once. Thousands of clients that each
    have one dial saved up would else spend them all in the first second after a server died.
    """
    start = max(rules.redial_s, 1.0 / dial_rate)
    return random.uniform(0.0, min(start * 2 ** min(failures, 16), max(rules.redial_max_s, start)))
