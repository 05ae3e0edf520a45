"""What a chooser knows of one process: its last word, what was sent there since, and how that ended."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp

from lapishaven.load_balancing.failure_detector import Asked
from lapishaven.load_balancing.load_report import LoadReport, newer
from lapishaven.load_balancing.model import Ending, Rules

EVEN = 0.1  # how much the load counts where a slot is free all the same
EXCESS = 1.5  # times what was expected that are chance; more is load that a process does not tell of
LEARN, MOST_EXCESS = 0.15, 8.0
IDLE = 0.5  # estimated in hand below which a process is without work, and is chosen before any other


def wait(load: float, slots: int, speed: float) -> float:
    """The cost of one more at a process with ``load`` in hand: how long it would wait there; where it would not wait,
    how full the process is for its speed, which counts for less than any wait. So a free slot, also a slow one, comes
    first, and one without any work before that."""
    each = (load + 1) / slots
    if load < IDLE:
        return EVEN * EVEN * each / speed
    return (max(0.0, each - 1.0) + EVEN * each) / speed


@dataclass(slots=True, eq=False)
class EndpointState:
    """``at``: when the question was sent that the last word answers, so that what was sent later is not in it."""

    name: str
    news: LoadReport | None = None
    at: float = float("-inf")
    heard: float = float("-inf")  # when anything last came from it
    sends: list[float] = field(default_factory=list)  # of ours that the last word cannot have counted
    open: int = 0  # of ours, in hand there
    uses: int = 0  # of the last word, in the pool
    away: float = float("-inf")  # pushed back until
    faults: int = 0  # in a row
    outs: int = 0
    out: float = float("-inf")  # cast out until
    trial: bool = False  # one attempt after a time out
    ghosts: list[float] = field(default_factory=list)  # until when what ended too soon counts as in hand
    asked: Asked | None = None
    suspected: float | None = None  # since when
    expected: dict[float, float] = field(default_factory=dict)  # usual spans that each of ours was to take, by its send
    excess: float = 1.0  # how many times what was expected its requests took of late

    def hear(self, now: float, asked: float, news: LoadReport | None) -> bool:
        """A word that answers a question of ``asked``; whether it was news."""
        self.heard = now
        if news is None or not newer(news, self.news):
            return False
        if self.news is not None and news.start != self.news.start:
            self.faults = self.outs = 0
            self.ghosts.clear()
            self.out = self.away = float("-inf")
        self.news, self.at = news, asked
        self.sends = [sent for sent in self.sends if sent >= asked]
        return True

    def slots(self) -> int:
        return self.news.slots if self.news is not None else 1

    def load(self, now: float, mean: float, usual: float, rules: Rules) -> float:
        """Requests in hand there, as far as can be known: the last word falls towards ``mean`` (in hand for a slot)
        with its age, what was sent since is on top, and so is what ended there too soon to be good."""
        slots = self.slots()
        if self.news is None:
            told = mean * slots
        else:
            trust = exp(-max(0.0, now - self.at) / max(1e-3, rules.memory * usual))
            told = trust * self.news.load + (1 - trust) * max(mean * slots, float(self.open))
        if self.ghosts:
            self.ghosts = [until for until in self.ghosts if until > now]
        unsaid = max(0.0, self.excess - EXCESS) * slots
        return told + len(self.sends) + len(self.ghosts) + unsaid

    def cost(self, now: float, mean: float, speed: float, usual: float, rules: Rules) -> float:
        """What another one would wait there; ``speed``: of those that do not know their own."""
        own = self.news.speed if self.news is not None else 0.0
        return wait(self.load(now, mean, usual, rules), self.slots(), own or speed)

    def sent(self, now: float, mean: float, usual: float, rules: Rules) -> None:
        self.expected[now] = max(1.0, (self.load(now, mean, usual, rules) + 1) / self.slots())
        self.open += 1
        self.sends.append(now)
        self.uses -= 1

    def ended(self, now: float, sent: float, ending: Ending, usual: float, speed: float) -> None:
        """An attempt that was sent at ``sent`` ended; ``speed``: the mean one."""
        self.open = max(0, self.open - 1)
        expected = self.expected.pop(sent, 1.0)
        if sent in self.sends:
            self.sends.remove(sent)
        if ending is Ending.SERVED:
            self.faults = self.outs = 0
            own = self.news.speed if self.news is not None else 0.0
            took = (now - sent) / (usual * (speed / own if own else 1.0)) if usual else 1.0
            self.excess += LEARN * (min(took / expected, MOST_EXCESS) - self.excess)
        elif ending is not Ending.LEFT:
            # One that turns away or fails at once looks idle: what it did not do counts as if it were in hand.
            self.ghosts.append(now + max(usual - (now - sent), 0.0) + usual)
