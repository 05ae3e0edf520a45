"""Contracts between teams' services and this server: permitted classes, request budgets and deadlines."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple, Protocol


class Party(NamedTuple):
    """The service that a contract is with, and the class that it covers."""

    team: str
    service: str
    class_name: str


@dataclass(frozen=True, slots=True)
class Contract:
    """The right of one service to send requests of one class."""

    team: str
    service: str
    class_name: str  # by name, as the index of a class may differ between the file's settings and the active ones
    deadline: float  # seconds; at most the deadline of the class
    route: str  # name of the backend that runs its requests
    rate: float  # requests per second by which the budget is refilled
    burst: float  # maximum number of requests in the budget

    @property
    def party(self) -> Party:
        """The key under which the contract is looked up."""
        return Party(self.team, self.service, self.class_name)

    @property
    def name(self) -> str:
        """The contract's name in stored data, the same on all servers."""
        return f"{self.team}/{self.service}/{self.class_name}"


@dataclass(frozen=True, slots=True)
class Denied:
    """A request that is denied before it reaches the controller."""

    reason: str
    retry_after: float | None  # seconds; None if a retry does not help


class Budgets(Protocol):
    """Budgets that are assigned outside this process, for the contracts that they cover."""

    def take_budget(self, now: float, contract: Contract) -> float:
        """Charge one request.

        Returns a negative number if no budget is assigned to the contract, 0 if the request may pass, and otherwise
        the seconds after which a request may pass.
        """


@dataclass(slots=True)
class _Bucket:
    """A token bucket: the tokens (requests) that were left at ``updated_at``, in seconds on the host's clock."""

    updated_at: float
    tokens: float


class Contracts:
    """All contracts with their budgets: local token buckets, except where ``budgets`` assigns one."""

    def __init__(self, contracts: list[Contract], budgets: Budgets | None = None) -> None:
        self._assigned_budgets = budgets
        self._contracts = {contract.party: contract for contract in contracts}
        self._buckets: dict[Party, _Bucket] = {}

    def inherit(self, old: Contracts) -> None:
        """Copy the budgets from before a reload, so that a reload does not refill them."""
        self._buckets = {party: bucket for party, bucket in old._buckets.items() if party in self._contracts}

    def find(self, party: Party) -> Contract | Denied:
        """The contract that covers a request; if there is none, why the request is denied."""
        return self._contracts.get(party) or Denied("no contract", None)

    def charge(self, now: float, contract: Contract) -> Denied | None:
        """Charge a request to its contract; return why it is denied, or ``None`` if it is not."""
        if self._assigned_budgets is not None:
            wait = self._assigned_budgets.take_budget(now, contract)
            if wait > 0.0:
                return Denied("over budget", wait)
            if wait == 0.0:
                return None
        return self._take_token(now, contract)

    def _take_token(self, now: float, contract: Contract) -> Denied | None:
        """Charge the contract's token bucket."""
        party = contract.party
        bucket = self._buckets.get(party)
        if bucket is None:
            bucket = self._buckets[party] = _Bucket(now, contract.burst)
        bucket.tokens = min(contract.burst, bucket.tokens + contract.rate * (now - bucket.updated_at))
        bucket.updated_at = now
        if bucket.tokens < 1.0:
            return Denied("over budget", (1.0 - bucket.tokens) / contract.rate)
        bucket.tokens -= 1.0
        return None
