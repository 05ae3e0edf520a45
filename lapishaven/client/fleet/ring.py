"""The ring: the servers that a client knows of, in one fixed order. Pure.

The order is by a hash of the name, so that neighbours on the ring are no neighbours in any other sense (a rack, a
batch of a deploy). The same set of names gives the same ring in every process; a process keeps a few rings at
hand, so that thousands of clients of one simulation that see the same list share one.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from lapishaven.client.hashing import hash64

RING_SALT = 0x72696E67
MAX_CACHED_RINGS = 8  # rings kept at hand


class Ring:
    """``names`` in ring order."""

    __slots__ = ("names",)

    def __init__(self, names: Iterable[str]) -> None:
        self.names: tuple[str, ...] = tuple(sorted(set(names), key=lambda name: (hash64(name, RING_SALT), name)))

    def __len__(self) -> int:
        return len(self.names)


_rings: OrderedDict[frozenset[str], Ring] = OrderedDict()


def ring_of(names: frozenset[str]) -> Ring:
    """The ring of these names, from those at hand where it is there."""
    ring = _rings.get(names)
    if ring is None:
        ring = _rings[names] = Ring(names)
        while len(_rings) > MAX_CACHED_RINGS:
            _rings.popitem(last=False)
    else:
        _rings.move_to_end(names)
    return ring


_unions: OrderedDict[tuple[frozenset[str], frozenset[str]], Ring] = OrderedDict()


def ring_with_removed(names: frozenset[str], removed: frozenset[str]) -> Ring:
    """The ring of ``names`` and of those ``gone`` lately, which keep their places for a while. Costs the size of
    ``gone``, not of the list, where another client asked for the same before: the sets' hashes are kept."""
    if not removed:
        return ring_of(names)
    key = names, removed
    ring = _unions.get(key)
    if ring is None:
        ring = _unions[key] = ring_of(names | removed)
        while len(_unions) > MAX_CACHED_RINGS:
            _unions.popitem(last=False)
    else:
        _unions.move_to_end(key)
    return ring
