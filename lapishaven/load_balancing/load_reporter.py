"""What a process says of itself: in hand by class, measured speed, how warm it is, whether it leaves. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from math import exp

from lapishaven.load_balancing.load_report import U8, LoadReport

MEMORY = 10.0  # s over which speed is measured
ENOUGH = 1.0  # s of a slot's work before a speed is told
CLASS = 0.05  # part that a run counts in its class's mean
FAILING = 0.1  # part that a run counts in what is told of failures
LEAST = 1.0 / U8  # of its share, which one that fails throughout still wants: else it would never be heard of again
FORGIVEN = 5.0  # s in which that falls to a third with nothing run


class LoadReporter:
    """Told of every run's start and end. ``start``: drawn for this life. ``warm_span``: s until it wants its full
    share, from ``warm_from`` of it at first; 0 where it starts warm."""

    def __init__(self, start: int, slots: int, now: float, warm_from: float = 1.0, warm_span: float = 0.0) -> None:
        self._start, self._slots, self._born = start, slots, now
        self._warm_from, self._warm_span = warm_from, warm_span
        self._number = 0
        self._since = now
        self._busy = self._done = 0.0  # slot seconds and usual requests, both forgotten alike
        self._running: dict[str, tuple[int, float]] = {}
        self._spans: dict[int, float] = {}  # mean span of a class's runs
        self._usual = 0.0
        self._failing = 0.0  # part of the last runs that failed
        self.leaving = False

    def _flow(self, now: float) -> None:
        span = now - self._since
        if span > 0:
            kept = max(0.0, 1.0 - span / MEMORY)
            self._busy = self._busy * kept + span * min(self._slots, len(self._running))
            self._done *= kept
            self._failing *= exp(-span / FORGIVEN)
            self._since = now

    def size(self, cls: int) -> float:
        """What a request of the class counts beside a usual one."""
        return self._spans.get(cls, self._usual) / self._usual if self._usual else 1.0

    def started(self, now: float, handle: str, cls: int) -> None:
        self._flow(now)
        self._running[handle] = cls, now

    def ended(self, now: float, handle: str, served: bool, failed: bool) -> None:
        """A run that was stopped is neither served nor failed."""
        self._flow(now)
        found = self._running.pop(handle, None)
        if found is None:
            return
        self._failing += FAILING * (float(failed) - self._failing)
        if not served:
            return
        cls, began = found
        span = now - began
        known = self._spans.get(cls, span)
        self._spans[cls] = known + CLASS * (span - known)
        self._usual += CLASS * (span - self._usual) if self._usual else span
        self._done += self.size(cls)

    def news(self, now: float, in_hand: Mapping[int, int]) -> LoadReport:
        """``in_hand``: how many requests it has of each class, waiting or running."""
        self._flow(now)
        self._number += 1
        speed = self._done / self._busy if self._busy >= ENOUGH else 0.0
        warm = 1.0
        if self._warm_span:
            age = (now - self._born) / self._warm_span
            warm = min(1.0, self._warm_from + (1.0 - self._warm_from) * age)
        return LoadReport(
            self._start,
            self._number,
            sum(in_hand.values()),
            sum(n * self.size(cls) for cls, n in in_hand.items()),
            self._slots,
            speed,
            0.0 if self.leaving else max(warm * (1.0 - self._failing), LEAST),
        )
