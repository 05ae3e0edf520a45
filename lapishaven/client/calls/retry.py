"""Retries: the budget they come out of, the backoff between them, and the decision after a failed attempt. Pure.

The budget is a token bucket filled by first attempts, as in Finagle's ``RetryBudget``; the backoff is exponential
with full jitter (M. Brooker, "Exponential Backoff And Jitter", AWS Architecture Blog, 2015).
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from lapishaven.client.outcomes import INVALID_REQUEST, NEVER_RAN, AttemptEnd, AttemptResult
from lapishaven.client.settings import Retry
from lapishaven.client.traffic import EventRate

MAX_SAVED_S = 2.0  # the bucket holds the retries that first attempts of so many seconds earn
OUTAGE_CAPACITY_FACTOR = 4.0  # times the bucket's size that may be granted when several endpoints stop responding
MAX_BACKOFF_DOUBLINGS = 16


class RetryBudget:
    """Retries and hedged requests as a share of first attempts, with a floor for clients of little traffic.

    A token bucket filled by ``rules.share`` for each first attempt and ``rules.floor_per_s`` each second. It holds
    no more than ``MAX_SAVED_S`` seconds of first attempts earn (or ``rules.burst``, if that is more): a larger
    bucket would let all of its tokens go at once, which is the retry storm that the budget prevents.
    """

    def __init__(self, rules: Retry, first_attempt_rate: EventRate, now: float) -> None:
        self.rules = rules
        self._first_attempt_rate = first_attempt_rate
        self._tokens = rules.burst
        self._refilled_at = now

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        self._tokens = min(self._tokens + elapsed * self.rules.floor_per_s, self.capacity(now))

    def capacity(self, now: float) -> float:
        """The most tokens that the bucket holds."""
        return max(self.rules.burst, self.rules.share * self._first_attempt_rate.per_second(now) * MAX_SAVED_S)

    def record_first_attempt(self, now: float) -> None:
        """A first attempt starts, which earns ``rules.share`` of a retry."""
        self._refill(now)
        self._first_attempt_rate.add(now)
        self._tokens = min(self._tokens + self.rules.share, self.capacity(now))

    def try_acquire(self, now: float) -> bool:
        """Whether a retry may start now; it is then charged."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def grant_at_least(self, now: float, tokens: float) -> None:
        """Allow so many retries now, within limits: several endpoints stopped responding at once."""
        self._refill(now)
        self._tokens = max(self._tokens, min(tokens, max(1.0, self.capacity(now) * OUTAGE_CAPACITY_FACTOR)))

    def charge(self, now: float) -> None:
        """Charge a retry that the protocol itself demands, even into debt; later retries make up for it."""
        self._refill(now)
        self._tokens -= 1.0


def backoff_delay(rules: Retry, retry_number: int, random: Random) -> float:
    """Seconds before the given retry (from 1): full jitter under an exponential ceiling."""
    doublings = min(retry_number - 1, MAX_BACKOFF_DOUBLINGS)
    ceiling = min(rules.backoff_s * 2**doublings, rules.backoff_max_s)
    return random.uniform(0.0, ceiling)


@dataclass(frozen=True, slots=True)
class ScheduleRetry:
    """Try again after ``delay_s`` seconds."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class GiveUp:
    """End the call with the result of its last attempt; ``uncertain``: it must not run twice and may have run."""

    reason: str = ""
    uncertain: bool = False


@dataclass(frozen=True, slots=True)
class RetryContext:
    """What ``decide_retry`` needs to know of a call.

    ``idempotent``: the call may run twice.
    ``possibly_run``: some attempt of the call, the last one included, is not proved never to have run.
    ``retries``: retries so far.
    ``remaining_s``: seconds to the deadline.
    ``typical_s``: seconds that an attempt typically takes.
    """

    idempotent: bool
    possibly_run: bool
    retries: int
    remaining_s: float
    typical_s: float


def decide_retry(
    now: float, context: RetryContext, result: AttemptResult, rules: Retry, budget: RetryBudget, random: Random
) -> ScheduleRetry | GiveUp:
    """Decide what follows an attempt that was not served.

    There is no retry of a call that must not run twice, unless every attempt of it provably never ran; after "no
    retry elsewhere"; past ``rules.tries``; where no attempt fits before the deadline; or without budget. A close race
    is the one retry that the protocol demands: it is made at once, and charged even if the budget is empty.
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
        return _retry_close_race(now, context, budget)
    delay_s = backoff_delay(rules, context.retries + 1, random)
    if context.remaining_s - delay_s < context.typical_s:
        return GiveUp("no time for a further try")
    if not budget.try_acquire(now):
        return GiveUp("the budget of repeats is used up")
    return ScheduleRetry(delay_s)


def _retry_close_race(now: float, context: RetryContext, budget: RetryBudget) -> ScheduleRetry | GiveUp:
    if context.remaining_s < context.typical_s:
        return GiveUp("no time for a further try")
    budget.charge(now)
    return ScheduleRetry(0.0)
