"""Rosters: the catalog's list at one version, immutable, and the steps between versions. Pure.

A client process holds one roster and the little that is its own (what it doubts, when it took what). A roster is
never changed, only followed by another; the step from one to the next (a whole list, or a delta of what joined,
left and changed since a version) is made once and kept at hand, so that the thousands of clients of one
simulation that take the same versions in the same order share one roster at each, as real processes would each
hold theirs. Nothing here costs a client more than the size of what changed, but the first whole list.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from lapishaven.proto.catalog import Delta, Listed, Listing

MAX_CACHED_UPDATES = 256  # steps kept at hand


class EndpointList:
    """The list at one version. ``serial`` counts the steps of the chain of rosters, over epochs too; ``born``
    gives for each name the serial at which it came to the list."""

    __slots__ = ("added_at_serial", "epoch", "names", "passing", "rows", "serial", "version")

    def __init__(
        self, epoch: str, version: int, rows: dict[str, Listed], born: dict[str, int], serial: int = 0
    ) -> None:
        self.epoch, self.version, self.rows, self.added_at_serial, self.serial = epoch, version, rows, born, serial
        self.names = frozenset(rows)
        self.passing = sum(row.passing for row in rows.values())

    def __len__(self) -> int:
        return len(self.rows)


EMPTY = EndpointList("", -1, {}, {})


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """From one roster to the next: what joined, left (gone from the list) and altered (a new address, or passing
    turned); an address that changed under a name counts as left and joined."""

    endpoint_list: EndpointList
    joined: tuple[str, ...]
    left: tuple[str, ...]
    changed: tuple[str, ...]


_updates: OrderedDict[tuple[int, int], tuple[EndpointList, object, ListUpdate]] = OrderedDict()


def _cached(before: EndpointList, source: object, make: Callable[[], ListUpdate]) -> ListUpdate:
    """The step from ``before`` by ``source`` (a list or a delta), made once. The entry holds both, so that their
    ids, which are its key, cannot be taken by other objects while it is kept."""
    key = id(before), id(source)
    entry = _updates.get(key)
    if entry is not None and entry[0] is before and entry[1] is source:
        _updates.move_to_end(key)
        return entry[2]
    step = make()
    _updates[key] = before, source, step
    while len(_updates) > MAX_CACHED_UPDATES:
        _updates.popitem(last=False)
    return step


def _make_update(
    before: EndpointList, epoch: str, version: int, rows: dict[str, Listed], changed: Iterable[str]
) -> ListUpdate:
    joined, left, altered = [], [], []
    serial = before.serial + 1
    born = dict(before.added_at_serial)
    for name in changed:
        row, old = rows.get(name), before.rows.get(name)
        if row is None:
            if old is not None:
                left.append(name)
                born.pop(name, None)
        elif old is None or (old.host, old.port) != (row.host, row.port):
            if old is not None:
                left.append(name)
            joined.append(name)
            born[name] = serial
        elif old.passing != row.passing:
            altered.append(name)
    return ListUpdate(EndpointList(epoch, version, rows, born, serial), tuple(joined), tuple(left), tuple(altered))


def replace_list(before: EndpointList, listing: Listing) -> ListUpdate:
    """The step to a whole list."""

    def make() -> ListUpdate:
        rows = {row.name: row for row in listing.servers}
        return _make_update(before, listing.epoch, listing.version, rows, before.names | rows.keys())

    return _cached(before, listing, make)


def apply_delta(before: EndpointList, delta: Delta) -> ListUpdate | None:
    """The step that a delta makes from ``before``; None where it does not follow on from it."""
    if delta.epoch != before.epoch or delta.since != before.version or delta.version <= before.version:
        return None

    def make() -> ListUpdate:
        rows = dict(before.rows)
        for name in delta.left:
            rows.pop(name, None)
        for row in (*delta.joined, *delta.changed):
            rows[row.name] = row
        names = {*delta.left, *(row.name for row in (*delta.joined, *delta.changed))}
        return _make_update(before, delta.epoch, delta.version, rows, names)

    return _cached(before, delta, make)
