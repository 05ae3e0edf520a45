"""Repeated attempts: the budget, the pauses, and what follows the end of a try. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass
from random import Random

from lapishaven.client.outcomes import INVALID_REQUEST, NEVER_RAN, AttemptEnd, AttemptResult
from lapishaven.client.settings import Retry

MAX_SAVED_S = 2.0  # s of first tries, the share of which may be saved up
OUTAGE_CAPACITY_FACTOR = 4.0  # times what may be saved up, after several servers fell silent at once
RATE_SMOOTHING_S = 20.0  # s over which the rate of first tries is smoothed


class EventRate:
    """Events a second, smoothed exponentially over ``RATE_SPAN``, and over what there was at the start."""

    def __init__(self, now: float) -> None:
        self._value, self._updated_at, self._started_at = 0.0, now, now

    def add(self, now: float) -> None:
        self._value = self._decayed(now) + 1.0 / RATE_SMOOTHING_S
        self._updated_at = max(now, self._updated_at)

    def _decayed(self, now: float) -> float:
        return self._value * math.exp(min(0.0, self._updated_at - now) / RATE_SMOOTHING_S)

    def per_second(self, now: float) -> float:
        return self._decayed(now) / -math.expm1(-max(now - self._started_at, 1.0) / RATE_SMOOTHING_S)


class RetryBudget:
    """Repeats as a share of first tries, with a floor for quiet clients.

    A token bucket filled by ``share`` for each first try and ``floor_per_s`` each second. It holds no more
    than the share of two seconds' first tries (or ``burst``, where that is more): a full window of
    savings would let all of them go at once, which is the storm that the budget is there to prevent.
    """

    def __init__(self, rules: Retry, now: float) -> None:
        self.rules = rules
        self._tokens, self._refilled_at = rules.burst, now
        self.first_attempt_rate = EventRate(now)  # of first tries

    def _refill(self, now: float) -> None:
        span = max(0.0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        self._tokens = min(self._tokens + span * self.rules.floor_per_s, self.capacity(now))

    def capacity(self, now: float) -> float:
        """Tokens that may be saved up."""
        return max(self.rules.burst, self.rules.share * self.first_attempt_rate.per_second(now) * MAX_SAVED_S)

    def record_first_attempt(self, now: float) -> None:
        """A first try starts."""
        self._refill(now)
        self.first_attempt_rate.add(now)
        self._tokens = min(self._tokens + self.rules.share, self.capacity(now))

    def try_acquire(self, now: float) -> bool:
        """Whether a repeat may start now; it is then charged."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def grant_at_least(self, now: float, tokens: float) -> None:
        """So many repeats at the least may start now: several servers fell silent at once, which is nobody's storm."""
        self._refill(now)
        self._tokens = max(self._tokens, min(tokens, max(1.0, self.capacity(now) * OUTAGE_CAPACITY_FACTOR)))

    def charge(self, now: float) -> None:
        """Charge a repeat that the protocol itself asks for, whatever is left; later ones make up for it."""
        self._refill(now)
        self._tokens -= 1.0


def backoff_delay(rules: Retry, retry_number: int, random: Random) -> float:
    """Seconds before the n-th further try (from 1): full jitter under an exponential ceiling."""
    ceiling = min(rules.backoff_s * 2 ** min(retry_number - 1, 16), rules.backoff_max_s)
    return random.uniform(0.0, ceiling)


@dataclass(frozen=True, slots=True)
class RetryAfter:
    """Try again after ``wait`` seconds."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class GiveUp:
    """The call ends with what this try brought."""

    reason: str = ""
    uncertain: bool = False


@dataclass(frozen=True, slots=True)
class RetryContext:
    """What the decision after a try's end rests on."""

    idempotent: bool
    possibly_run: bool  # some try of the call is not proved never to have run, this one included
    retries: int  # tries after the first so far
    remaining_s: float  # seconds to the deadline
    typical_s: float  # seconds that a try takes


def decide_retry(
    now: float, context: RetryContext, result: AttemptResult, rules: Retry, budget: RetryBudget, random: Random
) -> RetryAfter | GiveUp:
    """What follows a try that was not served.

    Never again: work that must not run twice, unless every try of it provably never ran; after ``stop``; past
    the number of tries; where the rest of the time does not hold a try; without budget. A crossing close is
    the one repeat that the protocol asks for: it is made at once and charged, if the budget has it or not.
    """
    if not context.idempotent and (context.possibly_run or result.end not in NEVER_RAN | INVALID_REQUEST):
        return GiveUp(result.text or f"the try was {result.end.value}", uncertain=True)
    if result.end is AttemptEnd.INVALID or (result.end is AttemptEnd.TIMESTAMP_REJECTED and not context.idempotent):
        return GiveUp(result.text or "the server takes no such request")
    if result.no_retry_elsewhere:
        return GiveUp(result.text or "no other server should be tried")
    if context.retries + 1 >= rules.tries:
        return GiveUp(result.text or "every try was used")
    if result.end is AttemptEnd.CLOSE_RACE:
        if context.remaining_s < context.typical_s:
            return GiveUp("no time for a further try")
        budget.charge(now)
        return RetryAfter(0.0)
    wait = backoff_delay(rules, context.retries + 1, random)
    if context.remaining_s - wait < context.typical_s:
        return GiveUp("no time for a further try")
    if not budget.try_acquire(now):
        return GiveUp("the budget of repeats is used up")
    return RetryAfter(wait)
