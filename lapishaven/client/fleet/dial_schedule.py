"""How fast the fleet changes, and when a client may dial: the deploy's pace, and turns. Pure; times in seconds.

A rolling deploy takes servers away in batches at its own pace. Clients that move their connections spread over that
pace, each in its own turn, have moved most before the next batch comes; each at a time of its own choosing, they would
crowd by chance.
"""

from __future__ import annotations

import math

BATCH_GAP_S = 2.0  # s: servers that leave within this of each other are one batch, as clients poll the list apart
GOLDEN_RATIO_CONJUGATE = 0.6180339887498949
BASE_CYCLE_S = 12.0  # s: cycles are this times a power of two
MAX_DEPARTURES = 64  # servers that went of late, before those long past are cleared out
FLAP_MEMORY_S = 60.0  # s after which a server that went counts as steady again
DEPLOY_END_S = 30.0  # s without a batch after which a deploy is over
SPREAD_SHARE = 1.0  # of the span between batches over which moves are spread


def next_slot(now: float, cycle: float, offset: float) -> float:
    """The first time from ``now`` on that lies at ``offset`` (0 to under 1) of a cycle, the cycles counted from 0.

    On a clock that all clients share, those with different offsets take turns, whenever each of them learned that
    a server is back: from the times of their own news they would come in bunches, as these lie apart by as much
    as clients poll the list apart.
    """
    at = (now // cycle + offset) * cycle
    return at if at >= now else at + cycle


class DialSlots:
    """When a client may make a dial that no call waits for. Each client has one turn a cycle, at its own place in
    it, and takes one dial a turn: of ``n`` clients with the same traffic never more than ``n / cycle`` dial in a
    second, whatever happened to how many servers, and ``share`` (of its first tries) bounds the cycle from below.

    The places are the golden ratio's multiples of the clients' numbers modulo 1, which lie as evenly as any numbers
    can (a Weyl sequence), also those of any run of clients; drawn ones would bunch by chance. ``shared`` is what to
    add to the client's clock for one that all clients share (Unix time): counted from each one's own news, the
    places would be shifted by as much as clients poll the list apart. A clock that is off costs evenness only.
    """

    def __init__(self, number: int, share: float, shared: float = 0.0) -> None:
        self.offset, self.share, self.clock_offset_s = number * GOLDEN_RATIO_CONJUGATE % 1.0, share, shared
        self._slot_at: float | None = None
        self._cycle = 0.0
        self._last_dial_at = float("-inf")

    def cycle(self, rate: float, missing: int, spread_s: float, urgency: int) -> float:
        """Seconds between two turns at ``rate`` first tries a second, where ``lacking`` servers are to be dialled
        over ``spread`` seconds. One of a few lengths, so that clients whose traffic differs a little by chance take
        turns in the same cycles."""
        least = max(1.0 / max(self.share * rate, 1e-3), spread_s / max(1, missing))
        return BASE_CYCLE_S * 2.0 ** (round(math.log2(least / BASE_CYCLE_S)) + urgency)

    def next_at(self, now: float, rate: float, missing: int, spread_s: float, urgency: int) -> float:
        """The next turn; the same until it is taken or the cycle changes."""
        cycle = self.cycle(rate, missing, spread_s, urgency)
        if self._slot_at is None or cycle != self._cycle and self._slot_at > now:
            since = max(now, self._last_dial_at + cycle / 2)  # not twice in a turn
            self._slot_at, self._cycle = (
                next_slot(since + self.clock_offset_s, cycle, self.offset) - self.clock_offset_s,
                cycle,
            )
        return self._slot_at

    def record_dial(self, now: float) -> None:
        """A dial was made."""
        self._slot_at, self._last_dial_at = None, now

    def clear(self) -> None:
        """Nothing is to be dialled."""
        self._slot_at = None


class DeployInterval:
    """``left(now, name)`` when the list first shows a server away, ``back(name)`` when it shows it again;
    ``window()`` the span to spread moves over. Only the list counts, which all clients see alike; an outage is
    counted once, however many signs of it the list gives."""

    def __init__(self, default: float, least: float, most: float) -> None:
        self.default, self.least, self.most = default, least, most
        self.batch_interval_s: float | None = None  # the least between the starts of two batches
        self._batch_at: float | None = None
        self._last_departure_at = float("-inf")
        self._away: set[str] = set()
        self._departures: dict[str, tuple[int, float]] = {}  # how often each went of late, and when last
        self._returned: set[str] = set()  # servers that came back in the deploy under way

    def is_away(self, name: str) -> bool:
        return name in self._away

    def record_return(self, name: str) -> None:
        if name in self._away:
            self._away.discard(name)
            self._returned.add(name)

    def recently_replaced(self, now: float, name: str) -> bool:
        """Whether it was away and came back in the deploy under way, so that it is not likely to go again soon."""
        return name in self._returned and self._batch_at is not None and now - self._batch_at <= DEPLOY_END_S

    def is_flapping(self, now: float, name: str) -> bool:
        """Whether it keeps going and coming: from the second time within ``STEADY`` on it is to show that it stays,
        for twice as long each time."""
        times, last = self._departures.get(name, (0, now))
        return times > 1 and now - last < min(2.0**times, FLAP_MEMORY_S)

    def record_departure(self, now: float, name: str) -> None:
        if name in self._away:
            return
        self._away.add(name)
        self._returned.discard(name)
        if len(self._departures) > MAX_DEPARTURES:
            self._departures = {name: went for name, went in self._departures.items() if now - went[1] < FLAP_MEMORY_S}
        times, last = self._departures.get(name, (0, now))
        self._departures[name] = (times + 1 if now - last < FLAP_MEMORY_S else 1), now
        if now - self._last_departure_at > BATCH_GAP_S:
            if self._batch_at is not None:
                gap = now - self._batch_at
                if self.batch_interval_s is not None and gap > 4 * self.batch_interval_s:
                    self.batch_interval_s = None  # the last deploy is over; this batch begins another
                else:
                    self.batch_interval_s = gap if self.batch_interval_s is None else min(self.batch_interval_s, gap)
            if self._batch_at is None or now - self._batch_at > DEPLOY_END_S:
                self._returned.clear()
            self._batch_at = now
        self._last_departure_at = now

    def spread_s(self, now: float) -> float:
        """Seconds over which a move is spread. A pace not seen again for four spans is over."""
        if self.batch_interval_s is None or self._batch_at is None or now - self._batch_at > 4 * self.batch_interval_s:
            return self.default
        return min(max(SPREAD_SHARE * self.batch_interval_s, self.least), self.most)
