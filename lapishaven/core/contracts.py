"""Contracts between teams' services and this broker: what they may ask for, how much of it, and by when."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

Party = tuple[str, str, int]  # team, service, class


@dataclass(frozen=True, slots=True)
class Contract:
    """One service's right to one class."""

    team: str
    service: str
    cls: int
    deadline: float  # seconds; never past the class's own
    route: str  # the backend that runs it
    rate: float  # requests a second that the budget is refilled with
    burst: float  # requests that it holds at most


@dataclass(frozen=True, slots=True)
class Denied:
    """Why a request does not come before the module, and when it may."""

    reason: str
    wait: float | None  # None: waiting does not help


class Budgets(Protocol):
    """Budgets that are dealt from elsewhere, for the contracts that it knows."""

    def take_budget(self, now: float, contract: Contract) -> float:
        """Charge one request: below 0 if this contract is not dealt, 0 if it may go, else seconds until it might."""


class Contracts:
    """The book of contracts with each one's budget: a token bucket, or what ``budgets`` says where that deals it."""

    def __init__(self, contracts: list[Contract], budgets: Budgets | None = None) -> None:
        self._dealt = budgets
        self._book = {(c.team, c.service, c.cls): c for c in contracts}
        self._budget: dict[Party, tuple[float, float]] = {}  # when, and what was left then

    def inherit(self, old: Contracts) -> None:
        """Take over what is left of the budgets, so that a reload is no refill."""
        self._budget = {party: left for party, left in old._budget.items() if party in self._book}

    def admit(self, now: float, party: Party) -> Contract | Denied:
        """The contract that covers a request, whose budget is then charged with it."""
        contract = self._book.get(party)
        if contract is None:
            return Denied("no contract", None)
        if self._dealt is not None and (wait := self._dealt.take_budget(now, contract)) >= 0.0:
            return Denied("over budget", wait) if wait > 0.0 else contract
        since, left = self._budget.get(party, (now, contract.burst))
        left = min(contract.burst, left + contract.rate * (now - since))
        if left < 1.0:
            self._budget[party] = now, left
            return Denied("over budget", (1.0 - left) / contract.rate)
        self._budget[party] = now, left - 1.0
        return contract
