"""The core's result store on the ledger: nothing here is waited for on the event loop."""

from __future__ import annotations

import threading
import time
from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from lapishaven.core.ports import EffectState, IntentCallback, IntentOutcome, KnownEffect
from lapishaven.core.requests import Submission
from lapishaven.ledger.backpressure import Backpressure, BackpressureRules
from lapishaven.ledger.database import LedgerDatabase, Operation, OperationOutcome
from lapishaven.ledger.metering import Meter
from lapishaven.ledger.transitions import Decision, EffectEvent
from lapishaven.ledger.writer import Writer
from lapishaven.net.completion_queue import CompletionQueue

CACHED_RESULTS = 20_000  # answered from memory; older ones are found in the file
CLOSE_TIMEOUT_S = 0.1  # for what is still to be written: the process is killed soon after

EffectName = tuple[str, str]  # class and idempotency key


@dataclass(frozen=True, slots=True)
class KnownResult:
    """What is known of an effect, and its result if it completed."""

    effect_state: EffectState
    result: bytes = b""


class Recorder:
    """Records effects in the ledger and answers repeats of them. See ``core.ports.DurableResultStore``.

    Parameters:
        database: the file; belongs to this object from now on.
        incarnation: names this start of the server.
        meters: what each class is charged by.
        default_meter: what classes without a meter of their own are charged by.
        rules: limits of what waits to be written.
        wall: Unix seconds.
        clock: seconds that never step.

    Attributes:
        rejected: commits rejected as the ledger was slow or broken.
        completed_elsewhere: commits that another incarnation had completed.
        uncertain: commits that another incarnation may have run.
    """

    label = "record"

    def __init__(
        self,
        database: LedgerDatabase,
        incarnation: str,
        meters: Mapping[str, Meter],
        default_meter: Meter,
        rules: BackpressureRules | None = None,
        wall: Callable[[], float] = time.time,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.incarnation = incarnation
        self._meters = meters
        self._default_meter = default_meter
        self._wall = wall
        self._clock = clock
        self._database = database
        self._backpressure = Backpressure(rules or BackpressureRules())
        self._backpressure_lock = threading.Lock()  # held for moments only
        self._writer = Writer(database, self._group_ended)
        self._completions = CompletionQueue()
        self._cached_results: OrderedDict[EffectName, bytes] = OrderedDict()
        self._running: dict[EffectName, Submission] = {}  # intended by this incarnation, and not ended
        self.rejected = 0
        self.completed_elsewhere = 0
        self.uncertain = 0

    @property
    def ready(self) -> int:
        """A descriptor that is readable when ``process_completions`` should be called."""
        return self._completions.ready

    # ---- The core's port
    def find(self, cls: str, key: str) -> KnownEffect:
        """What is known without a look into the file: results of this incarnation, and others' that were met."""
        result = self._cached_results.get((cls, key))
        if result is None:
            return KnownResult(EffectState.UNKNOWN)
        return KnownResult(EffectState.DONE, result)

    def record_intent(self, cls: str, key: str, sub: Submission, then: IntentCallback) -> float | None:
        """Make the intent durable.

        ``then`` gets whether it is, or what else is known of the effect. Returns seconds after which to retry if it is
        not even tried, else ``None``.
        """
        with self._backpressure_lock:
            retry_after = self._backpressure.retry_after(self._clock())
        if retry_after is not None:
            self.rejected += 1
            return retry_after
        name = cls, key
        self._running[name] = sub
        customer = f"{sub.team}/{sub.service}" if sub.team else f"caller/{sub.caller_id}"
        operation = Operation(EffectEvent.INTEND, cls, key, self.incarnation, self._wall(), customer)
        self._submit(operation, lambda outcome: then(self._intent_answered(name, outcome)))
        return None

    def _intent_answered(self, name: EffectName, outcome: OperationOutcome | None) -> IntentOutcome | KnownEffect:
        if outcome is not None and outcome.decision is Decision.APPLY:
            return IntentOutcome.RECORDED
        self._running.pop(name, None)
        if outcome is None:
            return IntentOutcome.NOT_RECORDED
        if outcome.decision is Decision.ALREADY_COMPLETED:
            self.completed_elsewhere += 1
            self._cache_result(name, outcome.row.result)
            return KnownResult(EffectState.DONE, outcome.row.result)
        self.uncertain += 1
        return KnownResult(EffectState.UNCERTAIN)

    def record_result(self, cls: str, key: str, result: bytes, then: Callable[[bool], None]) -> None:
        """Make the result and its charge durable; ``then`` gets whether they are."""
        name = cls, key
        sub = self._running.pop(name, None)
        meter = self._meters.get(cls, self._default_meter)
        words = meter(sub.body if sub is not None else b"", result)

        def written(outcome: OperationOutcome | None) -> None:
            durable = outcome is not None and outcome.decision is not Decision.IGNORE
            if durable:
                self._cache_result(name, result)
            then(durable)

        self._submit(
            Operation(EffectEvent.COMPLETE, cls, key, self.incarnation, self._wall(), "", result, words),
            written,
        )

    def record_failure(self, cls: str, key: str) -> None:
        """It ran and gave no result."""
        self._end_without_result(EffectEvent.FAIL, cls, key)

    def cancel_intent(self, cls: str, key: str) -> None:
        """It provably never ran: its key is free."""
        self._end_without_result(EffectEvent.CANCEL, cls, key)

    def _end_without_result(self, event: EffectEvent, cls: str, key: str) -> None:
        self._running.pop((cls, key), None)
        self._submit(Operation(event, cls, key, self.incarnation, self._wall()), lambda outcome: None)

    def uncertain_effects(self) -> list[tuple[str, str, float]]:
        """None: each repeat is compared with the file before it runs."""
        return []

    def process_completions(self) -> None:
        """On the event loop: notify of what was written since."""
        self._completions.run_pending()

    def state(self) -> dict[str, int]:
        """Gauges by name, for operators."""
        with self._backpressure_lock:
            waiting = len(self._backpressure)
            broken = self._backpressure.circuit_open
        return {
            "waiting": waiting,
            "broken": int(broken),
            "commits": self._writer.commits,
            "operations": self._writer.operations,
            "failures": self._writer.failures,
            "refused": self.rejected,
            "done elsewhere": self.completed_elsewhere,
            "uncertain": self.uncertain,
        }

    def close(self) -> None:
        """Write what can be written soon, and close the file."""
        self._writer.close(CLOSE_TIMEOUT_S)
        self._completions.close()
        self._database.close()

    # ---- To and from the writer's thread
    def _submit(self, operation: Operation, when_written: Callable[[OperationOutcome | None], None]) -> None:
        with self._backpressure_lock:
            self._backpressure.entry_added(self._clock())
        self._writer.submit(operation, lambda outcome: self._completions.post(lambda: when_written(outcome)))

    def _group_ended(self, count: int, durable: bool) -> None:
        with self._backpressure_lock:
            self._backpressure.entries_written(self._clock(), count, durable)

    def _cache_result(self, name: EffectName, result: bytes) -> None:
        self._cached_results[name] = result
        while len(self._cached_results) > CACHED_RESULTS:
            self._cached_results.popitem(last=False)
