"""Keyed results in the embedded store, off the event path: the store's thread tells when a thing is durable."""

from __future__ import annotations

import threading
import time
from collections import deque
from collections.abc import Callable
from concurrent.futures import Future
from contextlib import suppress

from lapishaven.core.ports import IntentOutcome, KnownEffect
from lapishaven.core.requests import Submission
from lapishaven.idempotency.result_index import Entry, ResultIndex, Standing, decode, encode
from lapishaven.net.wake import Wake
from lapishaven.storage import Store, StoreError, StoreFullError

STALL = 0.5  # s for which the store has made nothing durable, after which no new run is taken on
RETRY = 1.0  # s to keep away while nothing better is known
SWEEP = 10.0  # s between two looks for what is past its life


class DurableResults:
    """The Broker's keeper. ``ready`` is a descriptor that has something to read once ``told`` should be called."""

    label = "storage"

    def __init__(self, store: Store, life: float, limit: int = 100_000, wall: Callable[[], float] = time.time) -> None:
        self.store, self.limit, self._wall = store, limit, wall
        self.ledger = ResultIndex(life)
        self._ends: deque[Callable[[], None]] = deque()
        self._pending: deque[float] = deque()  # since when each is under way
        self._wake = Wake()
        self._lock = threading.Lock()
        self._swept = wall()
        for name, value, _ in store.scan():
            with suppress(ValueError):
                self.ledger.load(name, decode(value))

    @property
    def ready(self) -> int:
        return self._wake.reader

    @staticmethod
    def name(cls: str, key: str) -> bytes:
        return f"{cls}\0{key}".encode()

    def find(self, cls: str, key: str) -> Entry:
        """What a repeat of the effect is to be told."""
        return self.ledger.find(self._wall(), self.name(cls, key))

    def record_intent(
        self, cls: str, key: str, sub: Submission, then: Callable[[IntentOutcome | KnownEffect], None]
    ) -> float | None:
        """Have the intent made durable; ``then`` is told whether it was. Seconds to stay away if it is not even
        tried: the bound is reached, or the store stands still."""
        wall, name = self._wall(), self.name(cls, key)
        if wall - self._swept > SWEEP:
            self._swept = wall
            self.ledger.sweep(wall)
        if len(self.ledger) >= self.limit:
            self.ledger.sweep(wall)
            if len(self.ledger) >= self.limit:
                return self.ledger.frees_in(wall) or RETRY
        with self._lock:
            stalled = self._pending and time.monotonic() - self._pending[0] > STALL
        if stalled:
            return RETRY
        try:
            future = self.store.put(name, encode(wall, None), wall + self.ledger.life)
        except StoreFullError as full:
            return full.frees_in or RETRY
        except (StoreError, ValueError):
            return RETRY
        self.ledger.intend(wall, name)

        def settled(durable: bool) -> None:
            then(IntentOutcome.RECORDED if durable else IntentOutcome.NOT_RECORDED)

        self._when(future, settled)
        return None

    def record_result(self, cls: str, key: str, result: bytes, then: Callable[[bool], None]) -> None:
        """Have the result made durable; ``then`` is told whether it was."""
        name = self.name(cls, key)
        since = self.ledger.find(self._wall(), name).since
        try:
            future = self.store.put(name, encode(since, result), since + self.ledger.life)
        except (StoreError, ValueError):
            self.ledger.failed(name)
            self._post(lambda: then(False))
            return

        def recorded(good: bool) -> None:
            if good:
                self.ledger.done(self._wall(), name, result)
            else:
                self.ledger.failed(name)
            then(good)

        self._when(future, recorded)

    def record_failure(self, cls: str, key: str) -> None:
        """It ran and gave no result; the intent that is durable says just that."""
        self.ledger.failed(self.name(cls, key))

    def cancel_intent(self, cls: str, key: str) -> None:
        """It provably never ran: its key is free."""
        name = self.name(cls, key)
        self.ledger.void(name)
        with suppress(StoreError):
            self.store.delete(name)

    def uncertain_effects(self) -> list[tuple[str, str, float]]:
        """Class, key and age in seconds of what an earlier life may have run."""
        found, wall = [], self._wall()
        for name, entry in self.ledger.doubts():
            cls, _, key = name.decode().partition("\0")
            found.append((cls, key, max(0.0, wall - entry.since)))
        return found

    def state(self) -> dict[str, int]:
        """Gauges by name, for operators."""
        syncs = sorted(self.store.stats.sync_seconds)
        return {
            "effects": len(self.ledger),
            "in doubt": sum(1 for _ in self.ledger.doubts()),
            "commits": self.store.stats.commits,
            "refused": self.store.stats.rejected,
            "failed": self.store.stats.failed,
            "damaged": len(self.store.damage),
            "bytes": self.store.disk_bytes,
            "fsync p99 us": round(syncs[int(len(syncs) * 0.99)] * 1e6) if syncs else 0,
        }

    def _when(self, future: Future[int], then: Callable[[bool], None]) -> None:
        with self._lock:
            self._pending.append(time.monotonic())

        def over(ended: Future[int]) -> None:
            with self._lock:
                if self._pending:
                    self._pending.popleft()  # they end in their order
            good = ended.exception() is None
            self._post(lambda: then(good))

        future.add_done_callback(over)

    def _post(self, what: Callable[[], None]) -> None:
        self._ends.append(what)
        self._wake.poke()

    def process_completions(self) -> None:
        """On the event path: carry out what was told since."""
        self._wake.drain()
        while self._ends:
            self._ends.popleft()()

    def close(self) -> None:
        """All that was begun is durable after this."""
        self.store.close()
        self.process_completions()
        self._wake.close()


__all__ = ["DurableResults", "Standing"]
