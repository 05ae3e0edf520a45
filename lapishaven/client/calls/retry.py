"""Retries: the retry budget, the backoff, and the decision after an attempt that was not served. Pure.

The budget is a token bucket filled by first attempts, as in Finagle's ``RetryBudget``; the backoff is exponential
with full jitter (M. Brooker, "Exponential Backoff And Jitter", AWS Architecture Blog, 2015).
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from lapishaven.client.outcomes import INVALID_REQUEST, NEVER_RAN, AttemptEnd, AttemptResult
from lapishaven.client.settings import Retry
from lapishaven.client.traffic import EventRate

MAX_SAVED_S = 2.0  # the bucket holds at most the retries that the first attempts of this many seconds earn
OUTAGE_CAPACITY_FACTOR = 4.0  # ``grant_at_least`` fills the bucket to at most this many times its capacity
MAX_BACKOFF_DOUBLINGS = 16  # bounds the power of two; ``rules.backoff_max_s`` bounds the delay itself


class RetryBudget:
    """Retries and hedged requests as a share of first attempts, with a floor for clients of little traffic.

    A token bucket that earns ``rules.share`` for each first attempt and ``rules.floor_per_s`` each second. Its capacity
    is what first attempts earn in ``MAX_SAVED_S`` seconds, or ``rules.burst`` if that is more: a larger bucket could be
    spent all at once, which is the retry storm that the budget prevents.
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
        """Return the maximum number of tokens that the bucket holds."""
        return max(self.rules.burst, self.rules.share * self._first_attempt_rate.per_second(now) * MAX_SAVED_S)

    def record_first_attempt(self, now: float) -> None:
        """Record the start of a first attempt, which earns ``rules.share`` tokens."""
        self._refill(now)
        self._first_attempt_rate.add(now)
        self._tokens = min(self._tokens + self.rules.share, self.capacity(now))

    def try_acquire(self, now: float) -> bool:
        """Charge a retry if the budget allows it; return whether it does."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def grant_at_least(self, now: float, tokens: float) -> None:
        """Raise the budget to ``tokens`` retries, as several endpoints stopped responding at once.

        At most to ``OUTAGE_CAPACITY_FACTOR`` times the capacity, but always to one retry.
        """
        self._refill(now)
        self._tokens = max(self._tokens, min(tokens, max(1.0, self.capacity(now) * OUTAGE_CAPACITY_FACTOR)))

    def charge(self, now: float) -> None:
        """Charge a retry that the protocol requires, even into debt; later retries wait until the debt is refilled."""
        self._refill(now)
        self._tokens -= 1.0


def backoff_delay(rules: Retry, retry_number: int, random: Random) -> float:
    """Return the delay in seconds before a retry (counted from 1): full jitter below an exponential ceiling."""
    doublings = min(retry_number - 1, MAX_BACKOFF_DOUBLINGS)
    ceiling = min(rules.backoff_s * 2**doublings, rules.backoff_max_s)
    return random.uniform(0.0, ceiling)


@dataclass(frozen=True, slots=True)
class ScheduleRetry:
    """Retry after ``delay_s`` seconds."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class GiveUp:
    """End the call with the result of its last attempt; ``uncertain``: it must not run twice and may have run."""

    reason: str = ""
    uncertain: bool = False


@dataclass(frozen=True, slots=True)
class RetryContext:
    """The state of a call that ``decide_retry`` needs.

    ``idempotent``: the call may run twice.
    ``possibly_run``: an attempt of the call (the last one included) may have run.
    ``retries``: retries so far.
    ``remaining_s``: seconds until the deadline.
    ``typical_s``: the typical duration of an attempt in seconds.
    """

    idempotent: bool
    possibly_run: bool
    retries: int
    remaining_s: float
    typical_s: float


def decide_retry(
    now: float, context: RetryContext, result: AttemptResult, rules: Retry, budget: RetryBudget, random: Random
) -> ScheduleRetry | GiveUp:
    """Decide whether to retry a call after an attempt that was not served.

    It is not retried if it must not run twice and any attempt may have run; if the request is invalid; if the server
    asked for no retry elsewhere; after ``rules.tries`` attempts; if no attempt fits before the deadline; or if the
    budget is exhausted. A rejected timestamp is final only for a call that must not run twice.
    After a close race the protocol requires a retry: it is made at once, and charged even if the budget is exhausted.
    """
    if not context.idempotent and (context.possibly_run or result.end not in (NEVER_RAN | INVALID_REQUEST)):
        return GiveUp(
            result.text or f"last attempt ended as {result.end.value!r}; the call may have run and must not run twice",
            uncertain=True,
        )
    if result.end is AttemptEnd.INVALID or (result.end is AttemptEnd.TIMESTAMP_REJECTED and not context.idempotent):
        return GiveUp(
            result.text or f"server answered that the request is invalid (attempt ended as {result.end.value!r})"
        )
    if result.no_retry_elsewhere:
        return GiveUp(result.text or "server rejected the request and asked for no retry elsewhere")
    if context.retries + 1 >= rules.tries:
        return GiveUp(result.text or f"attempt ended as {result.end.value!r}, the last of {rules.tries} allowed")
    if result.end is AttemptEnd.CLOSE_RACE:
        return _retry_close_race(now, context, budget)
    delay_s = backoff_delay(rules, context.retries + 1, random)
    if context.remaining_s - delay_s < context.typical_s:
        return GiveUp(
            f"not retried: {context.remaining_s:.3f} s remain until the deadline, too little for a backoff of "
            f"{delay_s:.3f} s and an attempt of typically {context.typical_s:.3f} s"
        )
    if not budget.try_acquire(now):
        return GiveUp(f"attempt ended as {result.end.value!r}; not retried, as the retry budget is exhausted")
    return ScheduleRetry(delay_s)


def _retry_close_race(now: float, context: RetryContext, budget: RetryBudget) -> ScheduleRetry | GiveUp:
    if context.remaining_s < context.typical_s:
        return GiveUp(
            f"not retried after a close race: {context.remaining_s:.3f} s remain until the deadline, an attempt "
            f"typically takes {context.typical_s:.3f} s"
        )
    budget.charge(now)
    return ScheduleRetry(0.0)
