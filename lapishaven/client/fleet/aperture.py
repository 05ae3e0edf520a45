"""Which servers a client keeps connected: its window, and what stands in where it has a gap. Pure.

Deterministic subsetting over the ring. The clients are dealt out in rounds: in each round the servers are laid out
in an order of that round's own (a shuffle of the ring drawn from the round's number), and
each client of the round takes the next ``width`` of them. So in every round each server has one client (the few
left over by the division move round from round), every server has the same number of clients to within one, and
the servers that share clients with one are others in each round: when one goes, its clients' calls are spread over
many servers, not piled on its neighbours. Where the number of client processes is known (``callers``) the client's
own number places it; else a number drawn from its identity does, and the spread is only even on average.

What is done about servers that go and come is decided in ``keeping``.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterator

from lapishaven.client.fleet.ring import Ring

SERVER_IDLE_TIMEOUT_S = 15.0  # s: servers close a connection that was idle for so long
UINT64_MASK = (1 << 64) - 1


def placement_number(caller: int, callers: int, identity: int) -> int:
    """The client's number for dealing: its own where the number of processes is known, else drawn."""
    return caller % callers if callers > 0 else (identity & UINT64_MASK) >> 32


def window_size(least: int, calls_per_s: float, endpoints: int) -> int:
    """Servers to keep connected at ``calls`` a second: ``least`` and one more for each whole two calls a second; fewer
    where a connection would go ``QUIET`` seconds without a call and so be closed as idle before it is of use."""
    return min(
        endpoints, max(1, min(least, math.floor(calls_per_s * SERVER_IDLE_TIMEOUT_S))) + math.floor(calls_per_s / 2)
    )


def _splitmix64(value: int) -> int:
    """splitmix64: one 64-bit number from another, the same everywhere."""
    value = (value + 0x9E3779B97F4A7C15) & UINT64_MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & UINT64_MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & UINT64_MASK
    return value ^ (value >> 31)


_orders: OrderedDict[tuple[int, int], tuple[int, ...]] = OrderedDict()
MAX_CACHED_ORDERS = 512


def shuffled_order(round_: int, size: int) -> tuple[int, ...]:
    """The round's order of ``n`` servers: position ``j`` holds ring index ``order[j]``. A shuffle drawn from the
    round's number alone (Fisher and Yates, with splitmix64), the same in every process; kept at hand."""
    key = round_, size
    found = _orders.get(key)
    if found is not None:
        _orders.move_to_end(key)
        return found
    places, state = list(range(size)), round_ * 0x5851F42D4C957F2D & UINT64_MASK
    for i in range(size - 1, 0, -1):
        state = _splitmix64(state)
        j = state % (i + 1)
        places[i], places[j] = places[j], places[i]
    found = _orders[key] = tuple(places)
    while len(_orders) > MAX_CACHED_ORDERS:
        _orders.popitem(last=False)
    return found


class Subset:
    """What one client was dealt: the round's order of the ring from the client's own place on. Clients are dealt
    ``least`` servers each, whatever their width, so that a window that grows or shrinks with the traffic keeps its
    first servers and only gains or loses at its end."""

    __slots__ = ("_base", "_places", "_window", "ring")

    def __init__(self, ring: Ring, number: int, least: int) -> None:
        """``number`` is the client's ``ticket``."""
        self.ring = ring
        n = len(ring)
        least = max(1, min(least, n))
        round_, slot = divmod(number, max(1, n // least))
        self._places = shuffled_order(round_, n)
        self._base = slot * least
        self._window: tuple[str, ...] = ()  # the last one asked for

    def _at(self, j: int) -> str:
        n = len(self.ring)
        return self.ring.names[self._places[(self._base + j) % n]]

    def window(self, size: int) -> tuple[str, ...]:
        """The first ``wide`` servers; fewer where there are no more."""
        if len(self._window) != min(size, len(self.ring)):
            self._window = tuple(self._at(j) for j in range(min(size, len(self.ring))))
        return self._window

    def stand_ins(self, window_size: int) -> Iterator[str]:
        """Those after a window of ``wide``, in the order in which they would stand in."""
        return (self._at(j) for j in range(window_size, len(self.ring)))
