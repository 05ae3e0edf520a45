"""How many second tries there may be: a part of the first ones, more for a while after several fell silent at once."""

from __future__ import annotations

from lapishaven.load_balancing.model import Rules

MOST = 20.0  # second tries that may be saved up
START = 1.0


class RetryBudget:
    def __init__(self, rules: Rules) -> None:
        self._rules, self._left, self._high = rules, START, float("-inf")

    def first(self, now: float) -> None:
        part = self._rules.budget_high if now < self._high else self._rules.budget
        self._left = min(MOST, self._left + part)

    def raised(self, now: float, silent: int) -> None:
        """So many are silent: what waits on them may be tried elsewhere, for a bounded time."""
        if silent > 1 and now >= self._high:
            self._high = now + self._rules.high_span
            self._left = max(self._left, MOST / 2)

    def take(self, now: float) -> bool:
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
