"""This server's quota of each contract: token buckets for the event path, whose rates come from grants that a
background thread reads."""

from __future__ import annotations

import sqlite3
import threading
from collections.abc import Iterable
from typing import NamedTuple

from lapishaven.core.contracts import Contract
from lapishaven.ownership.duties import budgets
from lapishaven.ownership.fenced_store import FencedStore
from lapishaven.ownership.model import Clock
from lapishaven.ownership.settings import BudgetSettings

BURST_S = 1.0  # bucket depth in seconds of the granted rate
NOT_GRANTED_HERE = -1.0  # result of ``take`` for a contract that is not under quota grants


class _Demand(NamedTuple):
    requests_per_s: float
    round: int
    overflow_rate: float


class _Grant(NamedTuple):
    contract: str
    rate: float
    round: int


class QuotaClient:
    """Takes tokens of granted quota, reports demand and reads grants. ``take`` never waits for the store."""

    def __init__(
        self,
        member: str,
        settings: BudgetSettings,
        contracts: Iterable[Contract],
        clock: Clock,
    ) -> None:
        self.buckets = {
            contract.name: budgets.QuotaBucket(contract.rate, settings.members, settings.fallback_share, BURST_S)
            for contract in contracts
        }
        self._member = member
        self._span = settings.span
        self._clock = clock
        self._lock = threading.Lock()  # protects the buckets; never held during a call to the store
        self._exchanges = 0

    def take(self, contract: Contract) -> float:
        """Take a token: returns 0 if one was available, else the seconds until one may be, or ``NOT_GRANTED_HERE``."""
        bucket = self.buckets.get(contract.name)
        if bucket is None:
            return NOT_GRANTED_HERE
        with self._lock:
            return bucket.take(self._clock.now()) or 0.0

    def exchange(self, store: FencedStore) -> None:
        """Report the demand and adopt the granted rates. Raises ``FencedStoreError``."""
        if not self.buckets:
            return
        asked_at = self._clock.now()
        self._exchanges += 1
        # Increases with each report, also across restarts, so that the owner can tell dead members from live ones.
        report_count = self._exchanges + int(asked_at * 1000)
        with self._lock:
            demands = {
                name: _Demand(bucket.measure_demand(asked_at), bucket.round, bucket.overflow_rate)
                for name, bucket in self.buckets.items()
            }

        def report_and_read(connection: sqlite3.Connection) -> list[_Grant]:
            for name, demand in demands.items():
                budgets.report_demand(
                    connection,
                    name,
                    self._member,
                    demand.requests_per_s,
                    report_count,
                    demand.round,
                    demand.overflow_rate,
                )
            rows = connection.execute(
                "select contract, rate, round from budget_grant where member = ?", (self._member,)
            )
            return [_Grant(*row) for row in rows.fetchall()]

        grants: list[_Grant] = store.write(report_and_read)
        with self._lock:
            for grant in grants:
                if grant.contract in self.buckets:
                    bucket = self.buckets[grant.contract]
                    bucket.grant(self._clock.now(), asked_at, grant.rate, self._span, grant.round)
