"""The core's result store, backed by the ledger. The event loop never waits for the file."""

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

MAX_CACHED_RESULTS = 20_000  # answered from memory; older ones are read from the file
DEFAULT_CACHE_BYTES = 8 * 1024 * 1024
ENTRY_BYTES = 512  # memory that a cached result takes besides its bytes
CLOSE_TIMEOUT_S = 0.1  # short, as the process is killed soon after shutdown begins

EffectId = tuple[str, str]  # class and idempotency key


@dataclass(frozen=True, slots=True)
class KnownResult:
    """What is known of an effect: its result if it completed, and the digest of the body that its key stands for."""

    effect_state: EffectState
    result: bytes = b""
    body_digest: bytes | None = None


class Recorder:
    """Records effects in the ledger and answers repeats of them. See ``core.ports.DurableResultStore``.

    Parameters:
        database: the ledger's file; this object closes it.
        incarnation: identifies this start of the server.
        meters: the meter of each class that has one of its own. A meter counts the words that an effect is charged.
        default_meter: the meter of all other classes.
        rules: limits of the queue of entries that wait to be written.
        cache_bytes: memory that results may take which are answered without reading the file.
        wall: clock that gives Unix seconds.
        clock: monotonic clock in seconds.

    Attributes:
        rejected: intents rejected because the ledger was slow or failing.
        completed_elsewhere: intents of effects that the ledger has as completed, as a rule by another incarnation.
        uncertain: intents of effects that may have run and have no result, as a rule under another incarnation.
    """

    label = "record"

    def __init__(
        self,
        database: LedgerDatabase,
        incarnation: str,
        meters: Mapping[str, Meter],
        default_meter: Meter,
        rules: BackpressureRules | None = None,
        cache_bytes: int = DEFAULT_CACHE_BYTES,
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
        self._backpressure_lock = threading.Lock()  # guards _backpressure; held only briefly
        self._writer = Writer(database, self._group_settled)
        self._completions = CompletionQueue()
        self._cached_results: OrderedDict[EffectId, KnownResult] = OrderedDict()
        self._cache_limit = cache_bytes
        self._cached_bytes = 0  # estimate of the memory that they take
        self._running: dict[EffectId, Submission] = {}  # intended by this incarnation, without an outcome yet
        self.rejected = 0
        self.completed_elsewhere = 0
        self.uncertain = 0

    @property
    def ready(self) -> int:
        """A file descriptor that is readable when ``process_completions`` should be called."""
        return self._completions.ready

    # ---- Implementation of core.ports.DurableResultStore
    def find(self, class_name: str, key: str) -> KnownEffect:
        """What is known without reading the file: cached results, of this incarnation and of others."""
        return self._cached_results.get((class_name, key), KnownResult(EffectState.UNKNOWN))

    def record_intent(
        self, class_name: str, key: str, submission: Submission, callback: IntentCallback
    ) -> float | None:
        """Write the intent; ``callback`` is called with whether it is durable, or with what is known of the effect.

        Returns ``None``, or the seconds after which to retry if the intent is rejected; ``callback`` is then never
        called.
        """
        with self._backpressure_lock:
            retry_after = self._backpressure.retry_after(self._clock())
        if retry_after is not None:
            self.rejected += 1
            return retry_after
        effect_id = class_name, key
        self._running[effect_id] = submission
        customer = f"{submission.team}/{submission.service}" if submission.team else f"caller/{submission.caller_id}"
        operation = Operation(
            EffectEvent.INTEND,
            class_name,
            key,
            self.incarnation,
            self._wall(),
            customer,
            body_digest=submission.body_digest,
        )
        self._submit(operation, lambda outcome: callback(self._intent_outcome(effect_id, outcome)))
        return None

    def _intent_outcome(self, effect_id: EffectId, outcome: OperationOutcome | None) -> IntentOutcome | KnownEffect:
        if outcome is not None and outcome.decision is Decision.APPLY:
            return IntentOutcome.RECORDED
        self._running.pop(effect_id, None)
        if outcome is None:  # the write failed
            return IntentOutcome.NOT_RECORDED
        if outcome.decision is Decision.ALREADY_COMPLETED:
            self.completed_elsewhere += 1
            known = KnownResult(EffectState.DONE, outcome.row.result, outcome.row.body_digest)
            self._cache_result(effect_id, known)
            return known
        self.uncertain += 1
        return KnownResult(EffectState.UNCERTAIN, body_digest=outcome.row.body_digest)

    def record_result(self, class_name: str, key: str, result: bytes, callback: Callable[[bool], None]) -> None:
        """Write the result and its charge; ``callback`` is called with whether they are durable."""
        effect_id = class_name, key
        submission = self._running.pop(effect_id, None)
        meter = self._meters.get(class_name, self._default_meter)
        words = meter(submission.body if submission is not None else b"", result)

        def result_written(outcome: OperationOutcome | None) -> None:
            durable = outcome is not None and outcome.decision is not Decision.IGNORE
            if durable:
                body_digest = submission.body_digest if submission is not None else None
                self._cache_result(effect_id, KnownResult(EffectState.DONE, result, body_digest))
            callback(durable)

        self._submit(
            Operation(EffectEvent.COMPLETE, class_name, key, self.incarnation, self._wall(), "", result, words),
            result_written,
        )

    def record_failure(self, class_name: str, key: str) -> None:
        """Record that the effect ran or may have run, and gave no result."""
        self._end_without_result(EffectEvent.FAIL, class_name, key)

    def cancel_intent(self, class_name: str, key: str) -> None:
        """Record that the effect provably never ran, which frees its key."""
        self._end_without_result(EffectEvent.CANCEL, class_name, key)

    def _end_without_result(self, event: EffectEvent, class_name: str, key: str) -> None:
        self._running.pop((class_name, key), None)
        self._submit(Operation(event, class_name, key, self.incarnation, self._wall()), lambda outcome: None)

    def uncertain_effects(self) -> list[tuple[str, str, float]]:
        """Always empty: each repeat is checked against the file before it runs."""
        return []

    def process_completions(self) -> None:
        """Call the callbacks of writes that have ended. Runs on the event loop."""
        self._completions.run_pending()

    def state(self) -> dict[str, int]:
        """Figures by name, for operators."""
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
        """Write what can be written within ``CLOSE_TIMEOUT_S``, and close the file."""
        self._writer.close(CLOSE_TIMEOUT_S)
        self._completions.close()
        self._database.close()

    # ---- Communication with the writer thread
    def _submit(self, operation: Operation, on_written: Callable[[OperationOutcome | None], None]) -> None:
        """Queue an operation; ``on_written`` is called on the event loop, with ``None`` if the write failed."""
        with self._backpressure_lock:
            self._backpressure.entry_added(self._clock())
        self._writer.submit(operation, lambda outcome: self._completions.post(lambda: on_written(outcome)))

    def _group_settled(self, count: int, durable: bool) -> None:
        """Take note that the writer has written a group of ``count`` operations, or has failed to."""
        with self._backpressure_lock:
            self._backpressure.entries_settled(self._clock(), count, durable)

    def _cache_result(self, effect_id: EffectId, known: KnownResult) -> None:
        before = self._cached_results.pop(effect_id, None)
        if before is not None:
            self._cached_bytes -= ENTRY_BYTES + len(before.result)
        self._cached_results[effect_id] = known
        self._cached_bytes += ENTRY_BYTES + len(known.result)
        while len(self._cached_results) > MAX_CACHED_RESULTS or self._cached_bytes > self._cache_limit:
            _, evicted = self._cached_results.popitem(last=False)
            self._cached_bytes -= ENTRY_BYTES + len(evicted.result)
