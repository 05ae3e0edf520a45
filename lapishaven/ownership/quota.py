"""This server's quota of the contracts: token buckets on the event path, refilled by grants in the background."""

from __future__ import annotations

import sqlite3
import threading
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from lapishaven.core.contracts import Contract
from lapishaven.ownership.duties import budgets
from lapishaven.ownership.fenced_store import FencedStore
from lapishaven.ownership.model import Clock
from lapishaven.ownership.settings import BudgetSettings

BURST_S = 1.0  # seconds of a grant that may be saved up
NOT_GRANTED_HERE = -1.0  # ``take``: the contract is not under quota grants


class _Demand(NamedTuple):
    requests_per_s: float
    round: int
    overflow_rate: float


class _Grant(NamedTuple):
    contract: str
    rate: float
    round: int


def contract_name(contract: Contract, classes: Sequence[str]) -> str:
    """The contract's name in the store: the same on all servers, whose class numbers may differ."""
    class_name = classes[contract.class_index] if contract.class_index < len(classes) else str(contract.class_index)
    return f"{contract.team}/{contract.service}/{class_name}"


class QuotaClient:
    """Takes tokens of granted quota, and exchanges demand for grants. ``take`` never waits for the store."""

    def __init__(
        self,
        member: str,
        settings: BudgetSettings,
        contracts: Iterable[Contract],
        classes: Sequence[str],
        clock: Clock,
    ) -> None:
        self.buckets = {
            contract_name(contract, classes): budgets.QuotaBucket(
                contract.rate, settings.members, settings.fallback_share, BURST_S
            )
            for contract in contracts
        }
        self._member = member
        self._span = settings.span
        self._classes = classes
        self._clock = clock
        self._lock = threading.Lock()  # of the buckets; held for moments only
        self._exchanges = 0

    def take(self, contract: Contract) -> float:
        """Take a token: 0 if there is one, else the seconds until there might be; ``NOT_GRANTED_HERE``."""
        bucket = self.buckets.get(contract_name(contract, self._classes))
        if bucket is None:
            return NOT_GRANTED_HERE
        with self._lock:
            return bucket.take(self._clock.now()) or 0.0

    def exchange(self, store: FencedStore) -> None:
        """Report the demand and take over the grants. Raises ``FencedStoreError``."""
        if not self.buckets:
            return
        asked_at = self._clock.now()
        self._exchanges += 1
        # Grows with each report, also over restarts, so that the owner can tell dead members from living ones.
        report_count = self._exchanges + int(asked_at * 1000)
        with self._lock:
            demands = {
                name: _Demand(bucket.measure_demand(asked_at), bucket.round, bucket.overflow_rate)
                for name, bucket in self.buckets.items()
            }

        def report_and_read(base: sqlite3.Connection) -> list[_Grant]:
            for name, demand in demands.items():
                budgets.report_demand(
                    base, name, self._member, demand.requests_per_s, report_count, demand.round, demand.overflow_rate
                )
            rows = base.execute("select contract, rate, round from budget_grant where member = ?", (self._member,))
            return [_Grant(*row) for row in rows.fetchall()]

        grants: list[_Grant] = store.write(report_and_read)
        with self._lock:
            for grant in grants:
                if grant.contract in self.buckets:
                    bucket = self.buckets[grant.contract]
                    bucket.grant(self._clock.now(), asked_at, grant.rate, self._span, grant.round)
