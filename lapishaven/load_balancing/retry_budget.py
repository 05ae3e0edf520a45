"""Limits retries to a fraction of the first attempts: a token bucket like Finagle's ``RetryBudget``."""

from __future__ import annotations

from lapishaven.load_balancing.rules import BalancingRules

MAX_BALANCE = 20.0  # in retries
INITIAL_BALANCE = 1.0  # in retries


class RetryBudget:
    """Each first attempt deposits ``retry_ratio`` of a retry, and each retry withdraws 1."""

    def __init__(self, rules: BalancingRules) -> None:
        self._rules = rules
        self._balance = INITIAL_BALANCE
        self._raised_until = float("-inf")

    def deposit(self, now: float) -> None:
        """Deposit for a first attempt."""
        ratio = self._rules.raised_retry_ratio if now < self._raised_until else self._rules.retry_ratio
        self._balance = min(MAX_BALANCE, self._balance + ratio)

    def raise_ratio(self, now: float, suspects: int) -> None:
        """Allow more retries for ``raised_ratio_s`` if several endpoints are unresponsive, to retry their requests.

        The balance is raised to at least half of the maximum immediately, and first attempts deposit
        ``raised_retry_ratio``.
        """
        if suspects > 1 and now >= self._raised_until:
            self._raised_until = now + self._rules.raised_ratio_s
            self._balance = max(self._balance, MAX_BALANCE / 2)

    def try_withdraw(self, now: float) -> bool:
        """Withdraw one retry; return whether the balance allowed it."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
