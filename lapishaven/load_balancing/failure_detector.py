"""Who is silent: judged by every question that is out to a process, whoever asked and for what.

An answer to a question is made by the process's loop at once, whatever it works at, so one that does not come within
``Rules.silent`` is silence and no load. One that had been asked before it fell silent, and one that is asked because
something of ours is in hand there, count alike. A suspect gets nothing but a question, less and less often, until any
word comes from it. Where more than ``Rules.panic`` of those asked are silent it is this machine that is slow.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush
from random import Random
from typing import Generic, Protocol, TypeVar

from lapishaven.load_balancing.model import Rules

RECENT = 32  # judgements by which panic is told
AGAIN_MOST = 2.0  # s between questions to a suspect
FAR = 6.0  # ways that an answer may take before it is late
OFTEN = 0.75  # of a usual request's span, between questions to a process that has one in hand


@dataclass(slots=True, eq=False)
class Asked:
    """A question that waits for its answer."""

    at: float
    tries: int = 0


class Watched(Protocol):
    """A process as far as its silence goes."""

    heard: float  # when anything last came from it
    open: int  # of ours, in hand there
    asked: Asked | None
    suspected: float | None  # since when


W = TypeVar("W", bound=Watched)


class FailureDetector(Generic[W]):
    """Told of questions, words and attempts; ``due`` gives whom to ask and who fell silent."""

    def __init__(self, rules: Rules, random: Random) -> None:
        self._rules, self._random = rules, random
        self._heap: list[tuple[float, int, W]] = []  # when to look at whom
        self._count = 0
        self._recent: deque[bool] = deque(maxlen=RECENT)  # whether each of the last questions went unanswered
        self.suspects: set[W] = set()
        self.panics = 0
        self.watch = rules.watch  # s, as it fits what a usual request takes
        self.silent = rules.silent  # s, as it fits the way

    def usual(self, span: float) -> None:
        """What a usual request takes: no more than about one question is asked while it is in hand."""
        self.watch = max(self._rules.watch, OFTEN * span)

    def way(self, span: float) -> None:
        """How long a question takes one way: where all answers come late, late is not silent."""
        self.silent = max(self._rules.silent, FAR * span)

    def _look(self, when: float, known: W) -> None:
        self._count += 1
        heappush(self._heap, (when, self._count, known))

    @property
    def panic(self) -> bool:
        return len(self._recent) >= RECENT // 4 and sum(self._recent) > self._rules.panic * len(self._recent)

    def asked(self, now: float, known: W) -> None:
        if known.asked is None:
            known.asked = Asked(now)
            self._look(now + self.silent, known)

    def sent(self, now: float, known: W) -> None:
        """Something of ours is in hand there from now on."""
        self._look(now + self.watch * self._random.uniform(0.9, 1.1), known)

    def heard(self, known: W) -> bool:
        """Any word; whether it was a suspect until now."""
        if known.asked is not None:
            self._recent.append(False)
            known.asked = None
        known.suspected = None
        was = known in self.suspects
        self.suspects.discard(known)
        return was

    def forget(self, known: W) -> None:
        self.suspects.discard(known)
        known.asked = known.suspected = None

    def next_at(self) -> float:
        return self._heap[0][0] if self._heap else float("inf")

    def due(self, now: float, there: Callable[[W], bool]) -> tuple[list[W], list[W]]:
        """Whom to ask now, and who has just fallen silent. ``there``: whether it is still a member."""
        ask: list[W] = []
        fell: list[W] = []
        while self._heap and self._heap[0][0] <= now:
            known = heappop(self._heap)[2]
            if not there(known):
                continue
            asked = known.asked
            if asked is not None and now - asked.at >= self.silent - 1e-9:
                self._recent.append(True)
                if known not in self.suspects:
                    if self.panic:
                        self.panics += 1
                    else:
                        known.suspected = asked.at
                        self.suspects.add(known)
                        fell.append(known)
                known.asked = Asked(now, asked.tries + 1)
                ask.append(known)
                span = min(AGAIN_MOST, self.silent * 1.5 ** (asked.tries + 1))
                self._look(now + span * self._random.uniform(0.8, 1.2), known)
            elif asked is None and known.open and now - known.heard >= self.watch * 0.89:
                known.asked = Asked(now)
                ask.append(known)
                self._look(now + self.silent, known)
            elif asked is None and known.open:
                self._look(known.heard + self.watch * self._random.uniform(0.9, 1.1), known)
        return ask, fell
