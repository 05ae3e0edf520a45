"""When a client of a fleet may dial: time slots, and the interval between a deploy's batches. Pure; seconds.

A rolling deploy stops servers in batches at intervals of its own. Clients that spread their dials over that
interval, each in its own time slot, have made most of them before the next batch; at times of their own choosing
the dials would bunch by chance.
"""

from __future__ import annotations

import math
from random import Random

BATCH_GAP_S = 2.0  # servers that leave within this of each other are one batch, as clients poll the list at intervals
GOLDEN_RATIO_CONJUGATE = 0.6180339887498949
BASE_CYCLE_S = 12.0  # cycles are this times a power of two
MIN_DIALS_PER_S = 1e-3
MAX_DEPARTURES = 64  # remembered departures, before old ones are removed
FLAP_MEMORY_S = 60.0  # after which an endpoint that left counts as stable again
DEPLOY_END_S = 30.0  # without a batch, after which a deploy is over
INTERVAL_END_FACTOR = 4  # intervals without a batch after which the interval is forgotten
SPREAD_SHARE = 1.0  # of the interval between batches over which dials are spread


def next_slot(now: float, cycle: float, offset: float) -> float:
    """The first time from ``now`` on that lies at ``offset`` (0 to below 1) of a cycle; cycles count from time 0.

    On a clock that all clients share, those with different offsets take turns whenever each of them learned that an
    endpoint is back. Counted from that moment their slots would bunch, as clients poll the list at different times.
    """
    slot_at = (now // cycle + offset) * cycle
    return slot_at if slot_at >= now else slot_at + cycle


class DialSlots:
    """When a client may make a dial that no call waits for: one dial in each cycle, in a time slot of its own.

    Of ``n`` clients with the same traffic never more than ``n / cycle`` dial in a second, however many endpoints
    were lost; ``share`` (dials per first attempt) bounds the cycle from below. The slots lie at the multiples of the
    golden ratio modulo 1, a Weyl sequence, which is as even as any numbers can be for any run of clients.
    ``clock_offset_s`` is what to add to the client's clock for one that all clients share (Unix time); a clock that
    is off makes the slots less even and does nothing else.
    """

    def __init__(self, number: int, share: float, clock_offset_s: float = 0.0) -> None:
        """``number`` is the client's ``aperture.placement_number``."""
        self.offset = number * GOLDEN_RATIO_CONJUGATE % 1.0
        self.share = share
        self.clock_offset_s = clock_offset_s
        self._slot_at: float | None = None
        self._cycle = 0.0
        self._last_dial_at = float("-inf")

    def cycle(self, rate: float, missing: int, spread_s: float, urgency: int) -> float:
        """Seconds between two slots at ``rate`` first attempts per second.

        ``missing`` endpoints are to be dialled over ``spread_s``; each step of ``urgency`` doubles the cycle.
        Cycles have a few lengths only, so that clients whose measured traffic differs a little share one.
        """
        least = max(1.0 / max(self.share * rate, MIN_DIALS_PER_S), spread_s / max(1, missing))
        return BASE_CYCLE_S * 2.0 ** (round(math.log2(least / BASE_CYCLE_S)) + urgency)

    def next_at(self, now: float, rate: float, missing: int, spread_s: float, urgency: int) -> float:
        """The next slot; the same one until it is used or the cycle changes."""
        cycle = self.cycle(rate, missing, spread_s, urgency)
        if self._slot_at is None or (cycle != self._cycle and self._slot_at > now):
            earliest = max(now, self._last_dial_at + cycle / 2)  # not twice in one slot
            self._slot_at = next_slot(earliest + self.clock_offset_s, cycle, self.offset) - self.clock_offset_s
            self._cycle = cycle
        return self._slot_at

    def record_dial(self, now: float) -> None:
        """A dial was made, which uses the slot."""
        self._slot_at = None
        self._last_dial_at = now

    def clear(self) -> None:
        """There is nothing to dial."""
        self._slot_at = None


class DeployInterval:
    """Measures the interval between a rolling deploy's batches, by what the endpoint list shows.

    Only the list counts, as all clients see the same one. An outage is counted once, however many versions show it.
    ``batch_interval_s``: the least time between the starts of two batches; None without a deploy.
    """

    def __init__(self, default: float, least: float, most: float) -> None:
        """``default``: the spread where there is no deploy; ``least`` and ``most`` bound it. All in seconds."""
        self.default = default
        self.least = least
        self.most = most
        self.batch_interval_s: float | None = None
        self._batch_at: float | None = None
        self._last_departure_at = float("-inf")
        self._away: set[str] = set()
        self._departures: dict[str, tuple[int, float]] = {}  # recent departures of each endpoint, and the last time
        self._returned: set[str] = set()  # endpoints that came back in the deploy under way

    # ---- Endpoints
    def is_away(self, name: str) -> bool:
        """Whether the list last showed the endpoint missing or failing its health checks."""
        return name in self._away

    def recently_replaced(self, now: float, name: str) -> bool:
        """Whether it was restarted in the deploy under way, so that it will hardly leave again soon."""
        return name in self._returned and self._batch_at is not None and now - self._batch_at <= DEPLOY_END_S

    def is_flapping(self, now: float, name: str) -> bool:
        """Whether it leaves and returns repeatedly: it must then stay for twice as long each time."""
        times, last = self._departures.get(name, (0, now))
        return times > 1 and now - last < min(2.0**times, FLAP_MEMORY_S)

    def record_return(self, name: str) -> None:
        """The list shows the endpoint again."""
        if name in self._away:
            self._away.discard(name)
            self._returned.add(name)

    def record_departure(self, now: float, name: str) -> None:
        """The list shows the endpoint missing or failing its health checks."""
        if name in self._away:
            return
        self._away.add(name)
        self._returned.discard(name)
        self._count_departure(now, name)
        if now - self._last_departure_at > BATCH_GAP_S:
            self._begin_batch(now)
        self._last_departure_at = now

    def _count_departure(self, now: float, name: str) -> None:
        if len(self._departures) > MAX_DEPARTURES:
            self._departures = {
                other: (times, last) for other, (times, last) in self._departures.items() if now - last < FLAP_MEMORY_S
            }
        times, last = self._departures.get(name, (0, now))
        self._departures[name] = (times + 1 if now - last < FLAP_MEMORY_S else 1), now

    # ---- Batches
    def _begin_batch(self, now: float) -> None:
        if self._batch_at is not None:
            gap_s = now - self._batch_at
            if self.batch_interval_s is None:
                self.batch_interval_s = gap_s
            elif gap_s > INTERVAL_END_FACTOR * self.batch_interval_s:
                self.batch_interval_s = None  # the last deploy is over; this batch begins another
            else:
                self.batch_interval_s = min(self.batch_interval_s, gap_s)
        if self._batch_at is None or now - self._batch_at > DEPLOY_END_S:
            self._returned.clear()
        self._batch_at = now

    def spread_s(self, now: float) -> float:
        """Seconds over which to spread dials."""
        interval_s = self.batch_interval_s
        if interval_s is None or self._batch_at is None or now - self._batch_at > INTERVAL_END_FACTOR * interval_s:
            return self.default
        return min(max(SPREAD_SHARE * interval_s, self.least), self.most)


class StartSchedule:
    """Random times for the first dials, within a spread of seconds from the start.

    So the clients of a fleet that start in the same second do not dial all their windows in it.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._began_at: float | None = None
        self._offsets: dict[str, float] = {}  # where in the spread each endpoint is dialled, 0 to 1

    def times(self, now: float, spread_s: float, names: list[str]) -> list[tuple[str, float]]:
        """Each endpoint's name and time; an endpoint keeps its place in the spread until it is dialled."""
        if self._began_at is None:
            self._began_at = now
        for name in names:
            if name not in self._offsets:
                self._offsets[name] = self._random.random()
        return [(name, max(now, self._began_at + spread_s * self._offsets[name])) for name in names]

    def record_dial(self, name: str) -> None:
        """The endpoint was dialled."""
        self._offsets.pop(name, None)
