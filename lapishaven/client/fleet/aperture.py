"""Deterministic subsetting: which endpoints a client keeps connected. Pure.

Based on "deterministic aperture" (Finagle) and deterministic subsetting (Beyer et al., "Site Reliability Engineering",
2016, chapter 20). The clients are divided into rounds. In each round the ring of endpoints is shuffled with the round's
number as seed, and each client of the round takes the next ``least`` endpoints. Each endpoint therefore has one client
per round (the endpoints left over by the division differ from round to round), and the numbers of clients of any two
endpoints differ by at most one. The endpoints that share clients with a given one differ by round, so that its load is
spread over many others when it fails. If the number of client processes is known (``callers``), a client is placed by
its own number; otherwise by a random identity, so that the spread is even only on average.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterator

from lapishaven.client.fleet.ring import Ring

SERVER_IDLE_TIMEOUT_S = 15.0  # servers close a connection that was idle for this long
CALLS_PER_S_PER_ENDPOINT = 2  # one more endpoint than the minimum for each of these
UINT64_MASK = (1 << 64) - 1
MAX_CACHED_ORDERS = 512
LCG_MULTIPLIER = 0x5851F42D4C957F2D  # of Knuth's MMIX generator: spreads round numbers over the seeds


def placement_number(caller: int, callers: int, identity: int) -> int:
    """Return the number that places a client: its own if the number of processes is known, else a random one."""
    return caller % callers if callers > 0 else (identity & UINT64_MASK) >> 32


def window_size(least: int, calls_per_s: float, endpoints: int) -> int:
    """Return how many endpoints to keep connected.

    That is ``least``, and one more for each whole multiple of ``CALLS_PER_S_PER_ENDPOINT``. It is fewer if a
    connection would have no call within ``SERVER_IDLE_TIMEOUT_S``, as the server would close it as idle.
    """
    minimum = max(1, min(least, math.floor(calls_per_s * SERVER_IDLE_TIMEOUT_S)))
    return min(endpoints, minimum + math.floor(calls_per_s / CALLS_PER_S_PER_ENDPOINT))


def _splitmix64(value: int) -> int:
    """Return a pseudorandom 64-bit number (SplitMix64; Steele, Lea and Flood, 2014), the same in every process."""
    value = (value + 0x9E3779B97F4A7C15) & UINT64_MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & UINT64_MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & UINT64_MASK
    return value ^ (value >> 31)


_orders: OrderedDict[tuple[int, int], tuple[int, ...]] = OrderedDict()


def shuffled_order(round_number: int, size: int) -> tuple[int, ...]:
    """Return the round's order of ``size`` endpoints: ring indices by position in the round. Cached."""
    key = round_number, size
    order = _orders.get(key)
    if order is not None:
        _orders.move_to_end(key)
        return order
    order = _orders[key] = _shuffle(round_number, size)
    while len(_orders) > MAX_CACHED_ORDERS:
        _orders.popitem(last=False)
    return order


def _shuffle(round_number: int, size: int) -> tuple[int, ...]:
    """Return a Fisher-Yates shuffle seeded only by the round's number, the same in every process."""
    order = list(range(size))
    state = round_number * LCG_MULTIPLIER & UINT64_MASK
    for last in range(size - 1, 0, -1):
        state = _splitmix64(state)
        other = state % (last + 1)
        order[last], order[other] = order[other], order[last]
    return tuple(order)


class Subset:
    """One client's endpoints: the round's order of the ring, starting at the client's own position.

    The start positions of clients are ``least`` endpoints apart whatever the window size, so that a window that grows
    or shrinks with the traffic keeps its first endpoints and changes only at its end.
    """

    __slots__ = ("_order", "_start", "_window", "ring")

    def __init__(self, ring: Ring, number: int, least: int) -> None:
        """``number`` is the client's ``placement_number``."""
        self.ring = ring
        size = len(ring)
        least = max(1, min(least, size))
        round_number, client_index = divmod(number, max(1, size // least))
        self._order = shuffled_order(round_number, size)
        self._start = client_index * least
        self._window: tuple[str, ...] = ()  # cache of the last window

    def _at(self, index: int) -> str:
        size = len(self.ring)
        return self.ring.names[self._order[(self._start + index) % size]]

    def window(self, size: int) -> tuple[str, ...]:
        """Return the first ``size`` endpoints, or all if there are fewer."""
        size = min(size, len(self.ring))
        if len(self._window) != size:
            self._window = tuple(self._at(index) for index in range(size))
        return self._window

    def stand_ins(self, window_size: int) -> Iterator[str]:
        """Yield the endpoints after the window, in the order in which they replace unreachable ones."""
        return (self._at(index) for index in range(window_size, len(self.ring)))
