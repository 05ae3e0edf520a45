"""How often to dial: the process's budget of dials and the backoff before an endpoint is dialled again. Pure."""

from __future__ import annotations

import math
from random import Random

from lapishaven.client import settings

MIN_DIALS_PER_S = 1e-3
MAX_BACKOFF_DOUBLINGS = 16
ROUNDING_MARGIN_S = 1e-6  # rounding must not leave the bucket just short of a token when a planned dial is due


class DialBudget:
    """Dials of the whole process, so that the clients of a fleet that recovers do not all dial at once.

    A token bucket filled by the process's own traffic: ``rules.dial_share`` of its first attempts. So the dials of
    any number of clients together stay below that share of their calls, however little traffic each one has.
    Rates of calls are in first attempts per second.
    """

    def __init__(self, rules: settings.Connections, now: float) -> None:
        self.rules = rules
        self._tokens = max(rules.start_burst, rules.dial_burst)
        self._refilled_at = now

    def refill_rate(self, calls_per_s: float, urgent: bool) -> float:
        """Dials per second; ``urgent`` where a call waits and no endpoint is connected."""
        rate = self.rules.dial_share * calls_per_s + self.rules.dial_floor_per_s
        return max(rate, self.rules.urgent_per_s if urgent else MIN_DIALS_PER_S)

    def _required_tokens(self, urgent: bool) -> float:
        return 1.0 - self.rules.urgent_debt if urgent else 1.0

    def _refill(self, now: float, calls_per_s: float, urgent: bool, max_saved: float) -> float:
        elapsed = max(0.0, now - self._refilled_at)
        rate = self.refill_rate(calls_per_s, urgent)
        self._refilled_at = max(now, self._refilled_at)
        capacity = max(self.rules.dial_burst, self.rules.dial_share * calls_per_s, max_saved)
        if self._tokens < capacity:  # what is left of the start's burst stays, and is not added to
            self._tokens = min(self._tokens + elapsed * rate, capacity)
        return rate

    def try_acquire(self, now: float, calls_per_s: float, urgent: bool = False, max_saved: float = 0.0) -> bool:
        """Whether a dial may be made now; it is then charged.

        ``max_saved``: tokens that may be saved up where that is more than ``rules.dial_burst`` (deterministic
        subsetting saves as many as its window has endpoints).
        """
        self._refill(now, calls_per_s, urgent, max_saved)
        if self._tokens < self._required_tokens(urgent):
            return False
        self._tokens -= 1.0
        return True

    def refund(self) -> None:
        """Give back a dial that replaced a connection closed for idleness, and that the endpoint answered.

        Such a dial is no part of a reconnect storm. Where servers close idle connections at once, a client of
        little traffic has to dial for most of its calls.
        """
        self._tokens = min(self._tokens + 1.0, max(self._tokens, self.rules.dial_burst))

    def end_start_burst(self) -> None:
        """The first connections are made: the rest of the start's burst is dropped."""
        self._tokens = min(self._tokens, self.rules.dial_burst)

    def available_at(self, now: float, calls_per_s: float, urgent: bool = False, max_saved: float = 0.0) -> float:
        """When the next dial may be made."""
        rate = self._refill(now, calls_per_s, urgent, max_saved)
        missing = self._required_tokens(urgent) - self._tokens
        return now if missing <= 0 else now + missing / rate + ROUNDING_MARGIN_S


def connections_wanted(rules: settings.Connections, calls_per_s: float, endpoints: int) -> int:
    """How many endpoints to keep connected (rendezvous hashing).

    A client of little traffic holds few connections, so that an endpoint that dies loses few of them, and one that
    returns is dialled for few.
    """
    return min(endpoints, rules.least + math.ceil(calls_per_s / 2))


def redial_delay(rules: settings.Connections, failures: int, dial_rate: float, random: Random) -> float:
    """Seconds before an endpoint is dialled again: full jitter under an exponential ceiling.

    The ceiling starts no lower than the time in which the process may dial once: thousands of clients with one
    saved dial each would otherwise spend them all in the first second after an endpoint died.
    """
    start = max(rules.redial_s, 1.0 / dial_rate)
    ceiling = min(start * 2 ** min(failures, MAX_BACKOFF_DOUBLINGS), max(rules.redial_max_s, start))
    return random.uniform(0.0, ceiling)
