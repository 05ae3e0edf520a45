"""When a client of a fleet may dial: time slots, and the interval between the batches of a deploy. Pure.

A rolling deploy stops servers in batches, at an interval that depends on the deploy. Clients that spread their dials
over that interval, each in its own time slot, have made most of them before the next batch. At random times the dials
would cluster by chance. All times are in seconds.
"""

from __future__ import annotations

import math
from random import Random

BATCH_GAP_S = 2.0  # departures within this time are one batch, as clients see them only at each poll of the list
GOLDEN_RATIO_CONJUGATE = 0.6180339887498949
BASE_CYCLE_S = 12.0  # every cycle is this times a power of two
MIN_DIALS_PER_S = 1e-3
MAX_DEPARTURES = 64  # with more than these remembered, old ones are removed
FLAP_MEMORY_S = 60.0  # a departure is forgotten after this
MAX_FLAP_DOUBLINGS = 32  # keeps the power finite; the required time reaches its upper bound before
DEPLOY_END_S = 30.0  # a deploy is over after this time without a batch
INTERVAL_END_FACTOR = 4  # the interval is forgotten after this many intervals without a batch
SPREAD_SHARE = 1.0  # of the interval between batches, over which dials are spread


def next_slot(now: float, cycle_s: float, offset: float) -> float:
    """Return the first time from ``now`` on at ``offset`` (0 to below 1) of a cycle; cycles count from time 0.

    On a shared clock, clients with different offsets dial at different times, no matter when each of them learned that
    an endpoint is back. If cycles counted from that moment, slots would cluster, as clients poll at different times.
    """
    slot_at = (now // cycle_s + offset) * cycle_s
    return slot_at if slot_at >= now else slot_at + cycle_s


class DialSlots:
    """When a client may make a dial that no call waits for: once per cycle, in its own time slot.

    Of ``n`` clients with equal traffic, at most ``n / cycle_s`` dial in a second, however many endpoints were lost.
    ``share`` (dials per first attempt) is a lower bound of the cycle. The slots of consecutive client numbers form the
    Weyl sequence of the golden ratio, so any range of client numbers is spread almost evenly over the cycle.
    ``clock_offset_s`` is added to the client's clock to get a clock that all clients share (Unix time). If it is off,
    the slots are less evenly spread; nothing else depends on it.
    """

    def __init__(self, number: int, share: float, clock_offset_s: float = 0.0) -> None:
        """``number`` is the client's ``aperture.placement_number``."""
        self.offset = number * GOLDEN_RATIO_CONJUGATE % 1.0
        self.share = share
        self.clock_offset_s = clock_offset_s
        self._slot_at: float | None = None
        self._cycle_s = 0.0
        self._last_dial_at = float("-inf")

    def cycle_s(self, calls_per_s: float, missing: int, spread_s: float, doublings: int) -> float:
        """Return the seconds between two slots at ``calls_per_s`` first attempts per second.

        ``missing`` endpoints are to be dialled over ``spread_s``; ``doublings`` is how often to double the cycle.
        Cycle lengths are coarse, so that clients whose measured traffic differs slightly have the same one.
        """
        min_cycle_s = max(1.0 / max(self.share * calls_per_s, MIN_DIALS_PER_S), spread_s / max(1, missing))
        return BASE_CYCLE_S * 2.0 ** (round(math.log2(min_cycle_s / BASE_CYCLE_S)) + doublings)

    def next_at(self, now: float, calls_per_s: float, missing: int, spread_s: float, doublings: int) -> float:
        """Return the time of the next slot, which is the same until it is used or the cycle changes."""
        cycle_s = self.cycle_s(calls_per_s, missing, spread_s, doublings)
        if self._slot_at is None or (cycle_s != self._cycle_s and self._slot_at > now):
            earliest_at = max(now, self._last_dial_at + cycle_s / 2)  # not twice in one slot
            self._slot_at = next_slot(earliest_at + self.clock_offset_s, cycle_s, self.offset) - self.clock_offset_s
            self._cycle_s = cycle_s
        return self._slot_at

    def record_dial(self, now: float) -> None:
        """Record a dial, which uses up the slot."""
        self._slot_at = None
        self._last_dial_at = now

    def clear(self) -> None:
        """Drop the planned slot, as there is nothing to dial."""
        self._slot_at = None


class DeployInterval:
    """Measures the interval between the batches of a rolling deploy, from the changes of the endpoint list.

    Only the list counts, as all clients see the same one. An outage is counted once, however many versions show it.
    ``batch_interval_s``: the shortest time between the starts of two batches; None if no deploy is under way.
    """

    def __init__(self, default_s: float, min_s: float, max_s: float) -> None:
        """``default_s``: the spread without a deploy; ``min_s``, ``max_s``: its bounds during a deploy."""
        self.default_s = default_s
        self.min_s = min_s
        self.max_s = max_s
        self.batch_interval_s: float | None = None
        self._batch_at: float | None = None
        self._last_departure_at = float("-inf")
        self._away: set[str] = set()
        self._departures: dict[str, tuple[int, float]] = {}  # by endpoint: recent departures, time of the last
        self._returned: set[str] = set()  # endpoints that returned in the current deploy

    # ---- Endpoints
    def is_away(self, name: str) -> bool:
        """Whether the last list shows the endpoint missing or failing its health checks."""
        return name in self._away

    def recently_replaced(self, now: float, name: str) -> bool:
        """Whether it was restarted in the current deploy, so that it is unlikely to leave again soon."""
        return name in self._returned and self._batch_at is not None and now - self._batch_at <= DEPLOY_END_S

    def is_flapping(self, now: float, name: str) -> bool:
        """Whether it left repeatedly and too recently: the required time since then doubles with each departure."""
        count, last_at = self._departures.get(name, (0, now))
        return count > 1 and now - last_at < min(2.0 ** min(count, MAX_FLAP_DOUBLINGS), FLAP_MEMORY_S)

    def record_return(self, name: str) -> None:
        """Record that the list shows the endpoint as healthy again."""
        if name in self._away:
            self._away.discard(name)
            self._returned.add(name)

    def record_departure(self, now: float, name: str) -> None:
        """Record that the list shows the endpoint missing or failing its health checks."""
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
                other: (count, last_at)
                for other, (count, last_at) in self._departures.items()
                if now - last_at < FLAP_MEMORY_S
            }
        count, last_at = self._departures.get(name, (0, now))
        self._departures[name] = (count + 1 if now - last_at < FLAP_MEMORY_S else 1), now

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
        """Return the seconds over which to spread dials."""
        interval_s = self.batch_interval_s
        if interval_s is None or self._batch_at is None or now - self._batch_at > INTERVAL_END_FACTOR * interval_s:
            return self.default_s
        return min(max(SPREAD_SHARE * interval_s, self.min_s), self.max_s)


class StartSchedule:
    """Random times for the first dials, spread over a time from the start.

    They prevent the clients of a fleet that start in the same second from dialling all endpoints in that second.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._began_at: float | None = None
        self._offsets: dict[str, float] = {}  # by endpoint: position in the spread, 0 to 1

    def times(self, now: float, spread_s: float, names: list[str]) -> list[tuple[str, float]]:
        """Return each endpoint's name and dial time. An endpoint keeps its position until it is dialled."""
        if self._began_at is None:
            self._began_at = now
        for name in names:
            if name not in self._offsets:
                self._offsets[name] = self._random.random()
        return [(name, max(now, self._began_at + spread_s * self._offsets[name])) for name in names]

    def record_dial(self, name: str) -> None:
        """Record that the endpoint was dialled."""
        self._offsets.pop(name, None)
