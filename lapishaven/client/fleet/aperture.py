"""Deterministic subsetting: which endpoints a client keeps connected. Pure.

After "deterministic aperture" (Finagle) and deterministic subsetting (Beyer et al., "Site Reliability Engineering",
2016, chapter 20). The clients are divided into rounds. In each round the ring of endpoints is shuffled by the
round's number, and each client of the round takes the next ``least`` endpoints. So each endpoint has one client a
round (those left over by the division differ from round to round), the numbers of clients of any two endpoints
differ by one at most, and the endpoints that share clients with a given one differ by round: when it fails, its
load is spread over many others. Where the number of client processes is known (``callers``) a client is placed by
its own number; otherwise by a random identity, and the spread is even on average only.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterator

from lapishaven.client.fleet.ring import Ring

SERVER_IDLE_TIMEOUT_S = 15.0  # servers close a connection that was idle for so long
CALLS_PER_S_PER_ENDPOINT = 2  # above the minimum, one more endpoint for so many calls per second
UINT64_MASK = (1 << 64) - 1
MAX_CACHED_ORDERS = 512
LCG_MULTIPLIER = 0x5851F42D4C957F2D  # Knuth's MMIX: spreads the rounds' numbers over the seeds


def placement_number(caller: int, callers: int, identity: int) -> int:
    """The number that places a client: its own where the number of processes is known, otherwise a random one."""
    return caller % callers if callers > 0 else (identity & UINT64_MASK) >> 32


def window_size(least: int, calls_per_s: float, endpoints: int) -> int:
    """How many endpoints to keep connected.

    ``least``, and one more for each whole ``CALLS_PER_S_PER_ENDPOINT``. Fewer where a connection would go without a
    call for ``SERVER_IDLE_TIMEOUT_S`` and so be closed as idle before it is of use.
    """
    minimum = max(1, min(least, math.floor(calls_per_s * SERVER_IDLE_TIMEOUT_S)))
    return min(endpoints, minimum + math.floor(calls_per_s / CALLS_PER_S_PER_ENDPOINT))


def _splitmix64(value: int) -> int:
    """One 64-bit number from another (Steele, Lea and Flood, 2014), the same everywhere."""
    value = (value + 0x9E3779B97F4A7C15) & UINT64_MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & UINT64_MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & UINT64_MASK
    return value ^ (value >> 31)


_orders: OrderedDict[tuple[int, int], tuple[int, ...]] = OrderedDict()


def shuffled_order(round_number: int, size: int) -> tuple[int, ...]:
    """The round's order of ``size`` endpoints: place ``n`` has the endpoint at ring index ``order[n]``. Cached."""
    key = round_number, size
    found = _orders.get(key)
    if found is not None:
        _orders.move_to_end(key)
        return found
    found = _orders[key] = _shuffle(round_number, size)
    while len(_orders) > MAX_CACHED_ORDERS:
        _orders.popitem(last=False)
    return found


def _shuffle(round_number: int, size: int) -> tuple[int, ...]:
    """A Fisher-Yates shuffle seeded by the round's number alone, the same in every process."""
    places = list(range(size))
    state = round_number * LCG_MULTIPLIER & UINT64_MASK
    for last in range(size - 1, 0, -1):
        state = _splitmix64(state)
        other = state % (last + 1)
        places[last], places[other] = places[other], places[last]
    return tuple(places)


class Subset:
    """One client's endpoints: the round's order of the ring, from the client's own place on.

    Places lie ``least`` endpoints apart whatever the window's size, so that a window that grows or shrinks with the
    traffic keeps its first endpoints and changes at its end only.
    """

    __slots__ = ("_base", "_places", "_window", "ring")

    def __init__(self, ring: Ring, number: int, least: int) -> None:
        """``number`` is the client's ``placement_number``."""
        self.ring = ring
        size = len(ring)
        least = max(1, min(least, size))
        round_number, place = divmod(number, max(1, size // least))
        self._places = shuffled_order(round_number, size)
        self._base = place * least
        self._window: tuple[str, ...] = ()  # the last one asked for

    def _at(self, place: int) -> str:
        size = len(self.ring)
        return self.ring.names[self._places[(self._base + place) % size]]

    def window(self, size: int) -> tuple[str, ...]:
        """The first ``size`` endpoints; fewer where there are no more."""
        size = min(size, len(self.ring))
        if len(self._window) != size:
            self._window = tuple(self._at(place) for place in range(size))
        return self._window

    def stand_ins(self, window_size: int) -> Iterator[str]:
        """The endpoints after the window, in the order in which they replace unreachable ones."""
        return (self._at(place) for place in range(window_size, len(self.ring)))
