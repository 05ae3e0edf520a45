"""How fast the fleet changes, and when a client may dial: the deploy's pace, and turns. Pure; times in seconds.

A rolling deploy takes servers away in batches at its own pace. Clients that move their connections spread over that
pace, each in its own turn, have moved most before the next batch comes; each at a time of its own choosing, they would
crowd by chance.
"""

from __future__ import annotations

import math

BATCH = 2.0  # s: servers that leave within this of each other are one batch, as clients poll the list apart
GOLDEN = 0.6180339887498949
BASE = 12.0  # s: cycles are this times a power of two
WENT_KEPT = 64  # servers that went of late, before those long past are cleared out
STEADY = 60.0  # s after which a server that went counts as steady again
OVER = 30.0  # s without a batch after which a deploy is over
PART = 1.0  # of the span between batches over which moves are spread


def slot(now: float, cycle: float, offset: float) -> float:
    """The first time from ``now`` on that lies at ``offset`` (0 to under 1) of a cycle, the cycles counted from 0.

    On a clock that all clients share, those with different offsets take turns, whenever each of them learned that
    a server is back: from the times of their own news they would come in bunches, as these lie apart by as much
    as clients poll the list apart.
    """
    at = (now // cycle + offset) * cycle
    return at if at >= now else at + cycle


class Turns:
    """When a client may make a dial that no call waits for. Each client has one turn a cycle, at its own place in
    it, and takes one dial a turn: of ``n`` clients with the same traffic never more than ``n / cycle`` dial in a
    second, whatever happened to how many servers, and ``share`` (of its first tries) bounds the cycle from below.

    The places are the golden ratio's multiples of the clients' numbers modulo 1, which lie as evenly as any numbers
    can (a Weyl sequence), also those of any run of clients; drawn ones would bunch by chance. ``shared`` is what to
    add to the client's clock for one that all clients share (Unix time): counted from each one's own news, the
    places would be shifted by as much as clients poll the list apart. A clock that is off costs evenness only.
    """

    def __init__(self, number: int, share: float, shared: float = 0.0) -> None:
        self.offset, self.share, self.shared = number * GOLDEN % 1.0, share, shared
        self._at: float | None = None
        self._cycle = 0.0
        self._took = float("-inf")

    def cycle(self, rate: float, lacking: int, spread: float, need: int) -> float:
        """Seconds between two turns at ``rate`` first tries a second, where ``lacking`` servers are to be dialled
        over ``spread`` seconds. One of a few lengths, so that clients whose traffic differs a little by chance take
        turns in the same cycles."""
        least = max(1.0 / max(self.share * rate, 1e-3), spread / max(1, lacking))
        return BASE * 2.0 ** (round(math.log2(least / BASE)) + need)

    def at(self, now: float, rate: float, lacking: int, spread: float, need: int) -> float:
        """The next turn; the same until it is taken or the cycle changes."""
        cycle = self.cycle(rate, lacking, spread, need)
        if self._at is None or cycle != self._cycle and self._at > now:
            since = max(now, self._took + cycle / 2)  # not twice in a turn
            self._at, self._cycle = slot(since + self.shared, cycle, self.offset) - self.shared, cycle
        return self._at

    def took(self, now: float) -> None:
        """A dial was made."""
        self._at, self._took = None, now

    def none(self) -> None:
        """Nothing is to be dialled."""
        self._at = None


class Pace:
    """``left(now, name)`` when the list first shows a server away, ``back(name)`` when it shows it again;
    ``window()`` the span to spread moves over. Only the list counts, which all clients see alike; an outage is
    counted once, however many signs of it the list gives."""

    def __init__(self, default: float, least: float, most: float) -> None:
        self.default, self.least, self.most = default, least, most
        self.span: float | None = None  # the least between the starts of two batches
        self._batch_at: float | None = None
        self._last = float("-inf")
        self._away: set[str] = set()
        self._went: dict[str, tuple[int, float]] = {}  # how often each went of late, and when last
        self._back: set[str] = set()  # servers that came back in the deploy under way

    def away(self, name: str) -> bool:
        return name in self._away

    def back(self, name: str) -> None:
        if name in self._away:
            self._away.discard(name)
            self._back.add(name)

    def replaced(self, now: float, name: str) -> bool:
        """Whether it was away and came back in the deploy under way, so that it is not likely to go again soon."""
        return name in self._back and self._batch_at is not None and now - self._batch_at <= OVER

    def flapping(self, now: float, name: str) -> bool:
        """Whether it keeps going and coming: from the second time within ``STEADY`` on it is to show that it stays,
        for twice as long each time."""
        times, last = self._went.get(name, (0, now))
        return times > 1 and now - last < min(2.0**times, STEADY)

    def left(self, now: float, name: str) -> None:
        if name in self._away:
            return
        self._away.add(name)
        self._back.discard(name)
        if len(self._went) > WENT_KEPT:
            self._went = {name: went for name, went in self._went.items() if now - went[1] < STEADY}
        times, last = self._went.get(name, (0, now))
        self._went[name] = (times + 1 if now - last < STEADY else 1), now
        if now - self._last > BATCH:
            if self._batch_at is not None:
                gap = now - self._batch_at
                if self.span is not None and gap > 4 * self.span:
                    self.span = None  # the last deploy is over; this batch begins another
                else:
                    self.span = gap if self.span is None else min(self.span, gap)
            if self._batch_at is None or now - self._batch_at > OVER:
                self._back.clear()
            self._batch_at = now
        self._last = now

    def window(self, now: float) -> float:
        """Seconds over which a move is spread. A pace not seen again for four spans is over."""
        if self.span is None or self._batch_at is None or now - self._batch_at > 4 * self.span:
            return self.default
        return min(max(PART * self.span, self.least), self.most)
