"""The Broker's keeper on the store of record: nothing here is waited for on the event path."""

from __future__ import annotations

import threading
import time
from collections import OrderedDict, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from lapishaven.core.ports import EffectState, IntentOutcome, KnownEffect
from lapishaven.core.requests import Submission
from lapishaven.ledger.backpressure import Backpressure, BackpressureRules
from lapishaven.ledger.database import LedgerDatabase, Op, Told
from lapishaven.ledger.metering import Meter
from lapishaven.ledger.transitions import Event, Verdict
from lapishaven.ledger.writer import Writer
from lapishaven.net.wake import Wake

KEPT = 20_000  # results that are answered from memory; older ones are found in the file
LAST_WRITES = 0.1  # s that the end may take for what is still to be written: the kill comes soon after


@dataclass(frozen=True, slots=True)
class Found:
    """What is known of an effect; the result is empty unless the state is ``EffectState.DONE``."""

    effect_state: EffectState
    result: bytes = b""


class Recorder:
    """``ready`` is a descriptor that has something to read once ``told`` should be called. ``start`` names this start
    of the server; ``meters`` what each class is charged by, ``usual`` the others."""

    label = "record"

    def __init__(
        self,
        base: LedgerDatabase,
        start: str,
        meters: Mapping[str, Meter],
        usual: Meter,
        rules: BackpressureRules | None = None,
        wall: Callable[[], float] = time.time,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.start, self._meters, self._usual, self._wall, self._clock = start, meters, usual, wall, clock
        self._base = base
        self._lock = threading.Lock()  # of the flow, held for moments only
        self._flow = Backpressure(rules or BackpressureRules())
        self._writer = Writer(base, self._over)
        self._ends: deque[Callable[[], None]] = deque()
        self._wake = Wake()
        self._kept: OrderedDict[tuple[str, str], bytes] = OrderedDict()
        self._open: dict[tuple[str, str], Submission] = {}  # intended here and not ended
        self.refused = self.elsewhere = self.uncertain = 0

    @property
    def ready(self) -> int:
        return self._wake.reader

    # ---- The Broker's port
    def find(self, cls: str, key: str) -> KnownEffect:
        """What is known without a look into the file: results of this life, and others' that were met."""
        result = self._kept.get((cls, key))
        return Found(EffectState.UNKNOWN) if result is None else Found(EffectState.DONE, result)

    def record_intent(
        self, cls: str, key: str, sub: Submission, then: Callable[[IntentOutcome | KnownEffect], None]
    ) -> float | None:
        """Have the intent made durable; ``then`` is told yes, no, or what else is known of the effect. Seconds to stay
        away if it is not even tried."""
        with self._lock:
            wait = self._flow.wait(self._clock())
        if wait is not None:
            self.refused += 1
            return wait
        name = cls, key
        self._open[name] = sub
        customer = f"{sub.team}/{sub.service}" if sub.team else f"caller/{sub.caller_id}"

        def written(told: Told | None) -> None:
            if told is not None and told.verdict is Verdict.DO:
                return then(IntentOutcome.RECORDED)
            self._open.pop(name, None)
            if told is None:
                then(IntentOutcome.NOT_RECORDED)
            elif told.verdict is Verdict.KEPT:
                self.elsewhere += 1
                self._keep(name, told.row.result)
                then(Found(EffectState.DONE, told.row.result))
            else:
                self.uncertain += 1
                then(Found(EffectState.UNCERTAIN))

        self._put(Op(Event.INTEND, cls, key, self.start, self._wall(), customer), written)
        return None

    def record_result(self, cls: str, key: str, result: bytes, then: Callable[[bool], None]) -> None:
        """Have the result and its charge made durable; ``then`` is told whether they are."""
        name = cls, key
        sub = self._open.pop(name, None)
        words = self._meters.get(cls, self._usual)(sub.body if sub is not None else b"", result)

        def written(told: Told | None) -> None:
            good = told is not None and told.verdict is not Verdict.NOTHING
            if good:
                self._keep(name, result)
            then(good)

        self._put(Op(Event.FINISH, cls, key, self.start, self._wall(), "", result, words), written)

    def record_failure(self, cls: str, key: str) -> None:
        """It ran and gave no result."""
        self._open.pop((cls, key), None)
        self._put(Op(Event.FAIL, cls, key, self.start, self._wall()), lambda told: None)

    def cancel_intent(self, cls: str, key: str) -> None:
        """It provably never ran: its key is free."""
        self._open.pop((cls, key), None)
        self._put(Op(Event.VOID, cls, key, self.start, self._wall()), lambda told: None)

    def uncertain_effects(self) -> list[tuple[str, str, float]]:
        """None: each repeat is held against the file before it runs."""
        return []

    # ---- To and from the writer
    def _put(self, op: Op, then: Callable[[Told | None], None]) -> None:
        with self._lock:
            self._flow.taken(self._clock())
        self._writer.put(op, lambda told: self._post(lambda: then(told)))

    def _over(self, count: int, good: bool) -> None:
        with self._lock:
            self._flow.ended(self._clock(), count, good)

    def _post(self, what: Callable[[], None]) -> None:
        self._ends.append(what)
        self._wake.poke()

    def _keep(self, name: tuple[str, str], result: bytes) -> None:
        self._kept[name] = result
        while len(self._kept) > KEPT:
            self._kept.popitem(last=False)

    def process_completions(self) -> None:
        """On the event path: carry out what was told since."""
        self._wake.drain()
        while self._ends:
            self._ends.popleft()()

    def state(self) -> dict[str, int]:
        """Gauges by name, for operators."""
        with self._lock:
            waiting, broken = len(self._flow), self._flow.broken
        return {
            "waiting": waiting,
            "broken": int(broken),
            "commits": self._writer.commits,
            "operations": self._writer.operations,
            "failures": self._writer.failures,
            "refused": self.refused,
            "done elsewhere": self.elsewhere,
            "uncertain": self.uncertain,
        }

    def close(self) -> None:
        self._writer.close(LAST_WRITES)
        self.process_completions()
        self._wake.close()
        self._base.close()
