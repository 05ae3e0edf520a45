"""Immutable versions of the service registry's list, and the updates between them. Pure.

A client holds the current list, and its own state in ``membership``. A list is never modified, but replaced by the
next version. The update from one version to the next is computed once and cached, so that the thousands of clients of
a simulation that apply the same versions in the same order share each list. After the first full list, applying an
update costs each client time in proportion to the number of changes.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from lapishaven.proto.catalog import Delta, ListedServer, ServerList

MAX_CACHED_UPDATES = 256


class EndpointList:
    """The list at one version.

    ``rows``: the rows by the endpoints' names.
    ``serial``: the number of updates since the empty list, across epochs.
    ``added_at_serial``: by name, the serial at which the endpoint joined the list.
    ``passing``: the number of endpoints that pass their health checks.
    """

    __slots__ = ("added_at_serial", "epoch", "names", "passing", "rows", "serial", "version")

    def __init__(
        self, epoch: str, version: int, rows: dict[str, ListedServer], added_at_serial: dict[str, int], serial: int = 0
    ) -> None:
        self.epoch = epoch
        self.version = version
        self.rows = rows
        self.added_at_serial = added_at_serial
        self.serial = serial
        self.names = frozenset(rows)
        self.passing = sum(row.passing for row in rows.values())

    def __len__(self) -> int:
        return len(self.rows)


EMPTY = EndpointList("", -1, {}, {})


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """The update from one list to the next. A new address under the same name counts as left and joined.

    ``endpoint_list``: the next list.
    ``changed``: began or ceased to pass the health checks.
    """

    endpoint_list: EndpointList
    joined: tuple[str, ...]
    left: tuple[str, ...]
    changed: tuple[str, ...]


_updates: OrderedDict[tuple[int, int], tuple[EndpointList, object, ListUpdate]] = OrderedDict()


def _cached(before: EndpointList, source: object, compute: Callable[[], ListUpdate]) -> ListUpdate:
    """Return the update from ``before`` by ``source`` (a list or a delta), computed once.

    An entry references both objects, so that their ids, which form its key, cannot be reused while it is cached.
    """
    key = id(before), id(source)
    entry = _updates.get(key)
    if entry is not None and entry[0] is before and entry[1] is source:
        _updates.move_to_end(key)
        return entry[2]
    update = compute()
    _updates[key] = before, source, update
    while len(_updates) > MAX_CACHED_UPDATES:
        _updates.popitem(last=False)
    return update


def _make_update(
    before: EndpointList, epoch: str, version: int, rows: dict[str, ListedServer], candidates: Iterable[str]
) -> ListUpdate:
    """Return the update from ``before`` to ``rows``, which differ at most in the names in ``candidates``."""
    joined: list[str] = []
    left: list[str] = []
    changed: list[str] = []
    serial = before.serial + 1
    added_at_serial = dict(before.added_at_serial)
    for name in candidates:
        row = rows.get(name)
        old = before.rows.get(name)
        if row is None:
            if old is not None:
                left.append(name)
                added_at_serial.pop(name, None)
        elif old is None or (old.host, old.port) != (row.host, row.port):
            if old is not None:
                left.append(name)
            joined.append(name)
            added_at_serial[name] = serial
        elif old.passing != row.passing:
            changed.append(name)
    after = EndpointList(epoch, version, rows, added_at_serial, serial)
    return ListUpdate(after, tuple(joined), tuple(left), tuple(changed))


def replace_list(before: EndpointList, listing: ServerList) -> ListUpdate:
    """Return the update from ``before`` to a full list."""

    def compute() -> ListUpdate:
        rows = {row.name: row for row in listing.servers}
        return _make_update(before, listing.epoch, listing.version, rows, before.names | rows.keys())

    return _cached(before, listing, compute)


def apply_delta(before: EndpointList, delta: Delta) -> ListUpdate | None:
    """Return the update of ``before`` by a delta; None if the delta starts from another version."""
    if delta.epoch != before.epoch or delta.since != before.version or delta.version <= before.version:
        return None

    def compute() -> ListUpdate:
        rows = dict(before.rows)
        for name in delta.left:
            rows.pop(name, None)
        for row in (*delta.joined, *delta.changed):
            rows[row.name] = row
        names = {*delta.left, *(row.name for row in (*delta.joined, *delta.changed))}
        return _make_update(before, delta.epoch, delta.version, rows, names)

    return _cached(before, delta, compute)
