"""The policy of choosing: which process gets the next request, by few words that are old.

``begin`` names whom to ask; ``heard`` takes every word; ``settle`` chooses among those that answered and the best of
the words that are kept, and by what is known at all where no answer came in time. ``sent`` and ``ended`` tell of
attempts, ``due`` names whom to ask because of silence. ``docs/design/spread.md`` has the reasons.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable
from random import Random
from typing import Any

from lapishaven.load_balancing.endpoint_state import EndpointState
from lapishaven.load_balancing.failure_detector import FailureDetector
from lapishaven.load_balancing.load_report import LoadReport
from lapishaven.load_balancing.model import Choice, Ending, Probe, Rules
from lapishaven.load_balancing.retry_budget import RetryBudget
from lapishaven.load_balancing.weighted_sampler import WeightedSampler

LEAST, MOST = 1 / 4, 4.0  # of the mean size: what a process says of its own is believed within these
SMOOTH = 0.05  # part that a new measurement of the mean counts
REDRAWS = 8
STEP, WAY_LEAST, WAY_MOST = 1.1, 0.00005, 2.0  # s
LAST = 32  # choices that are remembered for operators
FORGET = 30.0  # s after which a question without an answer is forgotten


class LoadBalancer:
    """One chooser's view of all processes."""

    def __init__(self, rules: Rules, random: Random) -> None:
        self.rules, self._random = rules, random
        self.known: dict[
            str, EndpointState
        ] = {}  # those that there was something to know of; of 10,000 a front meets few
        self.draw = WeightedSampler()
        self.silence: FailureDetector[EndpointState] = FailureDetector(rules, random)
        self.budget = RetryBudget(rules)
        self.usual, self.mean = rules.usual, 0.5  # s of a usual request; in hand for a slot
        self.speed, self.slots, self.way = 1.0, 1.0, rules.wait / 4  # mean speed and slots; s of a question one way
        self.last: deque[tuple[float, str, list[tuple[str, float]]]] = deque(maxlen=LAST)  # when, who, of whom
        self.counts: Counter[str] = Counter()
        self._pool: dict[EndpointState, None] = {}  # oldest word first
        self._probes: dict[int, Probe] = {}
        self._number = random.getrandbits(31)
        self._out: set[EndpointState] = set()

    # ---- Members
    def members(self, names: Iterable[str]) -> None:
        """All that there are from now on. What is in hand at one that left goes on."""
        names = dict.fromkeys(names)
        for name in [name for name in self.draw.names() if name not in names]:
            self.draw.drop(name)
            known = self.known.pop(name, None)
            if known is not None:
                self._pool.pop(known, None)
                self._out.discard(known)
                self.silence.forget(known)
        for name in names:
            if name not in self.draw:
                self.draw.put(name, 1.0)

    def _of(self, name: str) -> EndpointState | None:
        """What is known of a member; none of one that left."""
        known = self.known.get(name)
        if known is None and name in self.draw:
            known = self.known[name] = EndpointState(name)
        return known

    def usable(self, now: float, known: EndpointState) -> bool:
        if known.news is not None and known.news.warm <= 0:
            return False  # it leaves
        if known.away > now or known.out > now or (known.trial and known.open):
            return False
        return known not in self.silence.suspects

    # ---- A choice
    def begin(self, now: float, avoid: frozenset[str] = frozenset(), first: bool = True) -> Choice:
        """A choice and whom to ask for it. ``avoid``: those that have had this request already."""
        if first:
            self.budget.first(now)
        ask: list[Probe] = []
        seen: set[str] = set()
        if len(self.draw) > 1:
            for _ in range(self.rules.probes):
                known = self._drawn(now, avoid, seen)
                if known is None:
                    break
                seen.add(known.name)
                ask.append(Probe(self._next(), known.name, now))
        choice = Choice(avoid, ask, now + self.rules.wait)
        for probe in ask:
            probe.choice = choice
            self._put(now, probe)
        return choice

    def _next(self) -> int:
        self._number = (self._number + 1) & 0xFFFFFFFF
        return self._number

    def _put(self, now: float, probe: Probe) -> None:
        self._probes[probe.id] = probe
        self.counts["probes"] += 1
        known = self._of(probe.name)
        if known is not None:
            self.silence.asked(now, known)
        if self.counts["probes"] % 64 == 0:  # never answered: let go
            for old in [p for p in self._probes.values() if now - p.asked > FORGET]:
                del self._probes[old.id]

    def _drawn(self, now: float, avoid: frozenset[str], seen: set[str]) -> EndpointState | None:
        for _ in range(REDRAWS if len(self.draw) else 0):
            name = self.draw.take(self._random)
            if name in seen or name in avoid:
                continue
            known = self._of(name)
            if known is not None and self.usable(now, known):
                return known
        there = (name for name in self.draw.names() if name not in seen and name not in avoid)
        left = [known for name in there if (known := self._of(name)) is not None and self.usable(now, known)]
        return self._random.choice(left) if left else None

    def settle(self, now: float, choice: Choice) -> str | None:
        """Who gets it; none where nobody is to be used."""
        choice.settled = True
        found = [k for name in choice.told if (k := self._of(name)) is not None and self.usable(now, k)]
        kept = self._best_kept(now, choice.avoid)
        if kept is not None and kept not in found:
            found.append(kept)
        if not found:
            self.counts["blind"] += 1
            known = self._blind(now, choice)
            return known.name if known is not None else None
        self.counts["chosen"] += 1
        return self._least(now, self._without_joiners(found, len(choice.ask))).name

    def _without_joiners(self, found: list[EndpointState], asked: int) -> list[EndpointState]:
        """One that is not warm, or fails, looks empty to all: each chooser leaves it to chance, so that from all
        together it draws the part that it wants, and no more however often it is the emptiest of those asked."""
        warmest = max(known.news.warm if known.news is not None else 1.0 for known in found)
        left = [
            known
            for known in found
            if known.news is None
            or known.news.warm >= warmest
            or self._random.random() < known.news.warm / warmest / max(1, asked)
        ]
        return left or found

    def _cost(self, now: float, known: EndpointState) -> float:
        return known.cost(now, self.mean, self.speed, self.usual, self.rules)

    def _least(self, now: float, found: list[EndpointState]) -> EndpointState:
        costs = [(known.name, self._cost(now, known)) for known in found]
        best = min(range(len(found)), key=lambda n: (costs[n][1], self._random.random()))
        self.last.append((now, found[best].name, costs))
        return found[best]

    def _best_kept(self, now: float, avoid: frozenset[str]) -> EndpointState | None:
        """The best of the words in the pool, which are aged out and used a bounded number of times."""
        least, best = float("inf"), None
        for known in list(self._pool):
            if known.uses <= 0 or now - known.at > self.rules.pool_life:
                del self._pool[known]
            elif known.name not in avoid and self.usable(now, known):
                cost = self._cost(now, known)
                if cost < least:
                    least, best = cost, known
        return best

    def _blind(self, now: float, choice: Choice) -> EndpointState | None:
        """No answer came in time: the better of those that were drawn, as far as is known; else anybody."""
        drawn = [k for p in choice.ask if (k := self._of(p.name)) is not None and self.usable(now, k)]
        if not drawn:
            return self._drawn(now, choice.avoid, set())
        return self._least(now, drawn)

    # ---- Words
    def heard(self, now: float, id: int, news: LoadReport) -> Choice | None:
        """The answer to a question; gives the choice that is complete with it. One that nobody waits for is a word all
        the same; one of a question that was never asked is none."""
        probe = self._probes.pop(id, None)
        known = self._of(probe.name) if probe is not None else None
        if probe is None or known is None:
            self.counts["strays"] += 1
            return None
        self.counts["answers"] += 1
        self.word(now, known.name, probe.asked, news)
        # Those asked are drawn at random, so these are the means of all.
        # The way by its median, followed in steps: what one that was stopped answers late says nothing of its length.
        step = STEP if now - probe.asked > 2 * self.way else 1 / STEP
        self.way = min(WAY_MOST, max(WAY_LEAST, self.way * step))
        self.silence.way(self.way)
        self.mean += SMOOTH * (news.load / news.slots - self.mean)
        if news.speed:
            self.speed += SMOOTH * (news.speed - self.speed)
        choice = probe.choice
        if choice is None or choice.settled:
            return None
        choice.told[known.name] = news
        return choice if choice.complete else None

    def word(self, now: float, name: str, asked: float, news: LoadReport | None) -> None:
        """Anything that came from a process: with ``news``, what it says of itself, not from before ``asked``."""
        known = self._of(name)
        if known is None:
            return
        if self.silence.heard(known):
            self.counts["back"] += 1
        if not known.hear(now, asked, news) or news is None:
            return
        self.slots += SMOOTH * (news.slots - self.slots)
        self.draw.put(name, max(LEAST, min(MOST, news.slots / self.slots)))
        self._pool.pop(known, None)
        if self.rules.pool and news.warm >= 1.0:
            known.uses = self.rules.uses
            self._pool[known] = None
            if len(self._pool) > self.rules.pool:
                self._shrink(now)

    def answered(self, now: float, name: str, news: LoadReport | None) -> None:
        """The word that came with an attempt's answer, made as it was sent."""
        self.word(now, name, now - self.way, news)

    def _shrink(self, now: float) -> None:
        """The worst goes, and every other time the oldest, lest the pool be left with what nobody would choose."""
        if self._random.random() < 0.5:
            del self._pool[next(iter(self._pool))]
            return
        worst = max(self._pool, key=lambda known: self._cost(now, known))
        del self._pool[worst]

    # ---- Attempts
    def sent(self, now: float, name: str) -> None:
        known = self._of(name)
        if known is not None:
            known.sent(now, self.mean, self.usual, self.rules)
            self.silence.sent(now, known)

    def ended(self, now: float, name: str, sent: float, ending: Ending, pushback: float = 0.0) -> None:
        """An attempt ended, and what that says of its process. Its word comes by ``word``."""
        known = self._of(name)
        if known is None:
            return
        known.ended(now, sent, ending, self.usual, self.speed)
        if ending is Ending.SERVED:
            self.usual += SMOOTH * (now - sent - self.usual)
            self.silence.usual(self.usual)
            known.trial = False
            self._out.discard(known)
        elif ending is Ending.REFUSED:
            known.away = max(known.away, now + pushback)
        elif ending in (Ending.FAILED, Ending.UNREACHED):
            known.faults += 1
            if (known.faults >= self.rules.faults or known.trial) and self._may_cast_out(known):
                span = min(self.rules.out_most, self.rules.out * 2**known.outs)
                known.out = now + span * self._random.uniform(0.8, 1.2)
                known.outs += 1
                known.trial, known.faults = True, 0
                self._out.add(known)
                self.counts["cast out"] += 1

    def _may_cast_out(self, known: EndpointState) -> bool:
        return known in self._out or len(self._out) + 1 <= max(1.0, self.rules.out_part * len(self.draw))

    # ---- Silence
    def due(self, now: float) -> tuple[list[Probe], list[str]]:
        """Whom to ask whether it is there, and who fell silent just now."""
        ask, fell = self.silence.due(now, lambda known: self.known.get(known.name) is known)
        probes = []
        for known in ask:
            probe = Probe(self._next(), known.name, now)
            self._probes[probe.id] = probe
            self.counts["probes"] += 1
            self.counts["watches"] += 1
            probes.append(probe)
        if fell:
            self.counts["suspects"] += len(fell)
            self.budget.raised(now, len(self.silence.suspects))
        return probes, [known.name for known in fell]

    def suspect(self, name: str) -> float | None:
        """Since when it says nothing; none where it does."""
        known = self._of(name)
        return known.suspected if known is not None and known in self.silence.suspects else None

    def next_at(self) -> float:
        return self.silence.next_at()

    # ---- For operators
    def state(self, now: float) -> list[dict[str, Any]]:
        """What is known of each process, for ``lapishaven spread status``."""
        rows: list[dict[str, Any]] = []
        for name in sorted(self.draw.names()):
            known = self._of(name)
            assert known is not None
            news = known.news
            standing = (
                "silent"
                if known in self.silence.suspects
                else "out"
                if known.out > now
                else "pushed back"
                if known.away > now
                else "leaves"
                if news is not None and news.warm <= 0
                else "ok"
            )
            rows.append(
                {
                    "process": name,
                    "standing": standing,
                    "in_hand": news.open if news is not None else None,
                    "slots": known.slots(),
                    "speed": round(news.speed, 2) if news is not None else None,
                    "warm": round(news.warm, 2) if news is not None else None,
                    "age_s": round(now - known.at, 3) if news is not None else None,
                    "ours": known.open,
                    "estimate": round(known.load(now, self.mean, self.usual, self.rules), 2),
                    "cost": round(self._cost(now, known), 3),
                    "faults": known.faults,
                }
            )
        return rows
