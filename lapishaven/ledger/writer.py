"""The thread that makes operations durable, in groups: what came during one transaction goes into the next."""

from __future__ import annotations

import threading
import time
from collections import deque
from collections.abc import Callable, Sequence

from lapishaven.ledger.database import LedgerDatabase, LedgerError, Op, Told
from lapishaven.ledger.transitions import Event

GROUP = 256  # operations of one transaction at most
AGAIN, AGAIN_MOST = 0.05, 0.5  # s between tries of what must not be lost
Then = Callable[[Told | None], None]  # none: it could not be made durable


class Writer:
    """``ended(count, good)`` and each operation's ``then`` are called on this thread.

    An intent that cannot be written is given up, as nothing has run for it yet. What says how a run ended is tried
    again until it is durable or ``close`` comes.
    """

    def __init__(self, base: LedgerDatabase, ended: Callable[[int, bool], None]) -> None:
        self._base, self._ended = base, ended
        self._ops: deque[tuple[Op, Then]] = deque()
        self._come = threading.Condition()
        self._closing = False
        self.commits = self.operations = self.failures = 0
        self._thread = threading.Thread(target=self._run, name="record", daemon=True)
        self._thread.start()

    def put(self, op: Op, then: Then) -> None:
        """Never waits for the file."""
        with self._come:
            self._ops.append((op, then))
            self._come.notify()

    def _run(self) -> None:
        pause = AGAIN
        while True:
            with self._come:
                while not self._ops and not self._closing:
                    self._come.wait()
                group = [self._ops.popleft() for _ in range(min(GROUP, len(self._ops)))]
                closing = self._closing
            if not group:
                return
            try:
                told: Sequence[Told | None] = self._base.write([op for op, _ in group])
            except LedgerError:
                self.failures += 1
                keep = [] if closing else [pair for pair in group if pair[0].event is not Event.INTEND]
                with self._come:
                    self._ops.extendleft(reversed(keep))
                lost = [pair for pair in group if pair not in keep]
                self._ended(len(lost), False)
                for _, then in lost:
                    then(None)
                time.sleep(pause)
                pause = min(AGAIN_MOST, 2 * pause)
                continue
            pause = AGAIN
            self.commits += 1
            self.operations += len(group)
            self._ended(len(group), True)
            for (_, then), each in zip(group, told, strict=True):
                then(each)

    def close(self, timeout: float) -> None:
        """Write what is there, then end; what cannot be written within ``timeout`` s stays in doubt in the file."""
        with self._come:
            self._closing = True
            self._come.notify()
        self._thread.join(timeout)
