"""Contracts between teams' services and this server: what they may request, how much of it, and by when."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple, Protocol


class Party(NamedTuple):
    """Whom a contract is with, and about which class."""

    team: str
    service: str
    class_index: int


@dataclass(frozen=True, slots=True)
class Contract:
    """One service's right to one class."""

    team: str
    service: str
    class_index: int  # the class's place in the settings
    deadline: float  # seconds; never beyond the class's own
    route: str  # name of the backend that runs it
    rate: float  # requests a second by which the budget is refilled
    burst: float  # requests that the budget holds at most

    @property
    def party(self) -> Party:
        """The key under which it is found."""
        return Party(self.team, self.service, self.class_index)


@dataclass(frozen=True, slots=True)
class Denied:
    """Why a request does not reach the controller, and when a retry may."""

    reason: str
    retry_after: float | None  # seconds; None: a retry does not help


class Budgets(Protocol):
    """Budgets that are allotted outside this process, for the contracts that it knows."""

    def take_budget(self, now: float, contract: Contract) -> float:
        """Charge one request.

        Returns a number below 0 if the contract has no allotted budget, 0 if the request may pass, else the seconds
        until one might.
        """


@dataclass(slots=True)
class _Bucket:
    """The state of one token bucket: the tokens (requests) that were left at a time in seconds."""

    updated_at: float
    tokens: float


class Contracts:
    """All contracts, each with its budget: a token bucket, or what ``budgets`` says where that allots it."""

    def __init__(self, contracts: list[Contract], budgets: Budgets | None = None) -> None:
        self._allotted = budgets
        self._contracts = {contract.party: contract for contract in contracts}
        self._buckets: dict[Party, _Bucket] = {}

    def inherit(self, old: Contracts) -> None:
        """Take over the budgets of the contracts before a reload, so that a reload does not refill them."""
        self._buckets = {party: bucket for party, bucket in old._buckets.items() if party in self._contracts}

    def admit(self, now: float, party: Party) -> Contract | Denied:
        """The contract that covers a request, whose budget is charged with it; or why it is denied."""
        contract = self._contracts.get(party)
        if contract is None:
            return Denied("no contract", None)
        if self._allotted is not None:
            wait = self._allotted.take_budget(now, contract)
            if wait > 0.0:
                return Denied("over budget", wait)
            if wait == 0.0:
                return contract
        return self._take_token(now, party, contract)

    def _take_token(self, now: float, party: Party, contract: Contract) -> Contract | Denied:
        """Charge the contract's token bucket."""
        bucket = self._buckets.get(party)
        if bucket is None:
            bucket = self._buckets[party] = _Bucket(now, contract.burst)
        bucket.tokens = min(contract.burst, bucket.tokens + contract.rate * (now - bucket.updated_at))
        bucket.updated_at = now
        if bucket.tokens < 1.0:
            return Denied("over budget", (1.0 - bucket.tokens) / contract.rate)
        bucket.tokens -= 1.0
        return contract
