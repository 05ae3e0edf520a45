"""The ring: the known endpoints in one fixed order. Pure.

The order is by a hash of the name, so that neighbours on the ring have nothing else in common (such as a rack or a
deploy batch). The same names give the same ring in every process. Recent rings are cached, so that the thousands of
clients of a simulation that see the same list share one.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from lapishaven.client.hashing import hash64

RING_SALT = 0x72696E67
MAX_CACHED_RINGS = 8


class Ring:
    """``names``: the names of the endpoints in ring order."""

    __slots__ = ("names",)

    def __init__(self, names: Iterable[str]) -> None:
        self.names: tuple[str, ...] = tuple(sorted(set(names), key=lambda name: (hash64(name, RING_SALT), name)))

    def __len__(self) -> int:
        return len(self.names)


_rings: OrderedDict[frozenset[str], Ring] = OrderedDict()


def ring_of(names: frozenset[str]) -> Ring:
    """Return the ring of these names. Cached."""
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
    """Return the ring of ``names`` and the recently ``removed`` ones, which keep their positions. Cached.

    A cache hit costs the hashing of ``removed`` only, not of the whole list, as a frozenset caches its hash.
    """
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
