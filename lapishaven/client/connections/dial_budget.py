"""The dial budget of the process, and the backoff before an endpoint is dialled again. Pure."""

from __future__ import annotations

import math
from random import Random

from lapishaven.client import settings

MIN_DIALS_PER_S = 1e-3
MAX_BACKOFF_DOUBLINGS = 16
ROUNDING_MARGIN_S = 1e-6  # so that rounding does not leave the bucket just short of a token at a planned dial


class DialBudget:
    """Limits the dials of the whole process, so that the clients of a recovering fleet do not all dial at once.

    A token bucket filled by the process's own traffic, with ``rules.dial_share`` for each first attempt. The dials of
    any number of clients together therefore stay below that share of their calls, however little traffic each one
    has. ``calls_per_s`` counts first attempts.
    """

    def __init__(self, rules: settings.Connections, now: float) -> None:
        self.rules = rules
        self._tokens = max(rules.start_burst, rules.dial_burst)
        self._refilled_at = now

    def refill_rate(self, calls_per_s: float, urgent: bool) -> float:
        """Return the allowed dials per second; ``urgent``: a call waits and no endpoint is connected."""
        dials_per_s = self.rules.dial_share * calls_per_s + self.rules.dial_floor_per_s
        return max(dials_per_s, self.rules.urgent_per_s if urgent else MIN_DIALS_PER_S)

    def _required_tokens(self, urgent: bool) -> float:
        return 1.0 - self.rules.urgent_debt if urgent else 1.0

    def _refill(self, now: float, calls_per_s: float, urgent: bool, max_saved: float) -> float:
        elapsed = max(0.0, now - self._refilled_at)
        dials_per_s = self.refill_rate(calls_per_s, urgent)
        self._refilled_at = max(now, self._refilled_at)
        capacity = max(self.rules.dial_burst, self.rules.dial_share * calls_per_s, max_saved)
        if self._tokens < capacity:  # above the capacity (rest of the start burst), nothing is added
            self._tokens = min(self._tokens + elapsed * dials_per_s, capacity)
        return dials_per_s

    def try_acquire(self, now: float, calls_per_s: float, urgent: bool = False, max_saved: float = 0.0) -> bool:
        """Charge a dial if the budget allows it now; return whether it does.

        ``max_saved``: the tokens that may be saved up, if more than ``rules.dial_burst`` (deterministic subsetting
        saves as many as its window has endpoints).
        """
        self._refill(now, calls_per_s, urgent, max_saved)
        if self._tokens < self._required_tokens(urgent):
            return False
        self._tokens -= 1.0
        return True

    def refund(self) -> None:
        """Refund a dial that replaced a connection closed as idle, once the endpoint has answered on the new one.

        Such a dial is not part of a reconnect storm. Where servers close idle connections at once, a client with
        little traffic has to dial for most of its calls.
        """
        self._tokens = min(self._tokens + 1.0, max(self._tokens, self.rules.dial_burst))

    def end_start_burst(self) -> None:
        """Drop the rest of the start burst, as the start phase is over."""
        self._tokens = min(self._tokens, self.rules.dial_burst)

    def available_at(self, now: float, calls_per_s: float, urgent: bool = False, max_saved: float = 0.0) -> float:
        """Return when the next dial may be made."""
        dials_per_s = self._refill(now, calls_per_s, urgent, max_saved)
        missing = self._required_tokens(urgent) - self._tokens
        return now if missing <= 0 else now + missing / dials_per_s + ROUNDING_MARGIN_S


def connections_wanted(rules: settings.Connections, calls_per_s: float, endpoints: int) -> int:
    """Return how many endpoints to keep connected (rendezvous hashing).

    A client with little traffic holds few connections, so that few have to be dialled again when an endpoint dies or
    returns.
    """
    return min(endpoints, rules.least + math.ceil(calls_per_s / 2))


def redial_delay(rules: settings.Connections, failures: int, dial_rate: float, random: Random) -> float:
    """Return the seconds before an endpoint is dialled again: full jitter below an exponential ceiling.

    The initial ceiling is at least the time in which the budget earns one dial. Otherwise thousands of clients with
    one saved dial each would all dial in the first second after an endpoint died.
    """
    initial_ceiling = max(rules.redial_s, 1.0 / dial_rate)
    ceiling = min(initial_ceiling * 2 ** min(failures, MAX_BACKOFF_DOUBLINGS), max(rules.redial_max_s, initial_ceiling))
    return random.uniform(0.0, ceiling)
