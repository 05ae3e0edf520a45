"""The endpoint list as this client believes it: versions that come late, not at all, or wrong. Pure.

The list itself is a shared, immutable ``EndpointList``. What a process adds is small: the endpoints that a list
lacks but that are not believed to be removed (doubted), when each was last seen, when each version was applied. So
a process costs the size of the list once, and a simulation of thousands of clients not much more.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum

from lapishaven.client.fleet.endpoint_list import EMPTY, EndpointList, ListUpdate, apply_delta, replace_list
from lapishaven.client.settings import Catalog
from lapishaven.proto.catalog import Delta, Listed, Listing, listing, text

MAX_VERSION_TIMES = 64  # versions of which the time they were applied is remembered
NEVER = -1e18  # s: before every time on the policy's clock


@dataclass(slots=True)
class Member:
    """A tracked endpoint as the list shows it; kept up to date while it is tracked.

    ``listed``: its row of the list.
    ``listed_since``: when this client first saw it on the list.
    ``warmed_up``: it was on the first list, so it is taken to have been running for long.
    ``doubted_since``: since when a list that is not believed lacks it; None if the list has it.
    ``last_seen_at``: when it last answered anything.
    """

    listed: Listed
    listed_since: float
    warmed_up: bool
    doubted_since: float | None = None
    last_seen_at: float = float("-inf")


class VersionTimes:
    """When this client applied each of the last versions, by the serial of the list."""

    def __init__(self) -> None:
        self.first_serial = -1  # of the first list applied
        self._times: OrderedDict[int, float] = OrderedDict()

    def record(self, now: float, serial: int, first: bool) -> None:
        """A list was applied."""
        self._times[serial] = now
        while len(self._times) > MAX_VERSION_TIMES:
            self._times.popitem(last=False)
        if first:
            self.first_serial = serial

    def applied_at(self, serial: int, default: float) -> float:
        """When the list of that serial was applied; ``default`` if that is forgotten."""
        return self._times.get(serial, default)


class ListVerdict(StrEnum):
    """What became of an endpoint list. The values are words in events (``list taken``, ...)."""

    TAKEN = "taken"
    STALE = "stale"  # no newer than the version that is held
    EMPTY = "empty"  # never believed
    HELD_BACK = "held back"  # lacks too many endpoints: these stay for now, what it adds is taken
    NOT_CONSECUTIVE = "apart"  # a delta from another version than the one held; the full list is needed


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """What one list changed, by the endpoints' names.

    ``left``: removed, or replaced by another server under the same name.
    ``changed``: passing its health checks turned on or off.
    ``doubted``: lacking on a list that was held back.
    """

    verdict: ListVerdict
    joined: tuple[str, ...] = ()
    left: tuple[str, ...] = ()
    changed: tuple[str, ...] = ()
    doubted: tuple[str, ...] = ()


class Membership:
    """The last good endpoint list. It stays in force while the service registry is unreachable.

    A list that lacks more than ``rules.drop_share`` of the endpoints is taken for a fault of the registry, as an
    empty one always is: what it adds is applied, and what it lacks stays until the endpoint has answered nothing
    for ``rules.confirm_s``, or the client's own evidence (``remove_doubted``) says that it is gone.

    ``endpoint_list``: the list that is held; ``epoch`` and ``version`` name it.
    ``last_update_at``: when the registry last answered with a list.
    ``needs_full_list``: the next poll asks for the full list, not for what changed.
    """

    def __init__(self, rules: Catalog) -> None:
        self.rules = rules
        self.endpoint_list: EndpointList = EMPTY
        self.epoch: str | None = None
        self.version = -1
        self.last_update_at: float | None = None
        self.needs_full_list = True
        self._doubted: dict[str, tuple[Listed, float]] = {}  # row, and since when it is doubted
        self._last_seen_at: dict[str, float] = {}
        self._tracked: dict[str, Member] = {}
        self._version_times = VersionTimes()

    # ---- Queries
    @property
    def version_tag(self) -> str | None:
        """Names the list that is held, for the registry."""
        return f"{self.epoch}.{self.version}" if self.epoch is not None else None

    def row(self, name: str) -> Listed | None:
        """The endpoint's row, doubted ones included."""
        row = self.endpoint_list.rows.get(name)
        if row is None and (doubted := self._doubted.get(name)) is not None:
            return doubted[0]
        return row

    def __contains__(self, name: str) -> bool:
        return name in self.endpoint_list.rows or name in self._doubted

    def __len__(self) -> int:
        return len(self.endpoint_list) + len(self._doubted)

    @property
    def names(self) -> frozenset[str]:
        """The names of all endpoints, doubted ones included."""
        if not self._doubted:
            return self.endpoint_list.names
        return self.endpoint_list.names | frozenset(self._doubted)

    @property
    def passing(self) -> int:
        """How many endpoints pass their health checks."""
        return self.endpoint_list.passing + sum(row.passing for row, _ in self._doubted.values())

    @property
    def has_doubted(self) -> bool:
        """Whether some endpoint is doubted."""
        return bool(self._doubted)

    # ---- Tracking
    def track(self, name: str) -> Member | None:
        """The member of that name, kept up to date from now on; None if it is not on the list."""
        member = self._tracked.get(name)
        if member is not None:
            return member
        row = self.row(name)
        if row is None:
            return None
        added_at = self.endpoint_list.added_at_serial.get(name, self._version_times.first_serial)
        first_seen = self.last_update_at if self.last_update_at is not None else 0.0
        doubted = self._doubted.get(name)
        member = Member(
            listed=row,
            listed_since=self._version_times.applied_at(added_at, first_seen),
            warmed_up=added_at <= self._version_times.first_serial,
            doubted_since=doubted[1] if doubted else None,
            last_seen_at=self._last_seen_at.get(name, NEVER),
        )
        self._tracked[name] = member
        return member

    def untrack(self, name: str) -> None:
        """The member need not be kept up to date any more."""
        self._tracked.pop(name, None)

    # ---- Lists
    def apply_list(self, now: float, listing: Listing) -> MembershipChange:
        """Apply a full list, or as much of it as is believed."""
        first = self.epoch is None
        self.last_update_at = now
        if not first and listing.epoch == self.epoch and listing.version <= self.version:
            return MembershipChange(ListVerdict.STALE)
        if not listing.servers and len(self):
            self.needs_full_list = True
            return MembershipChange(ListVerdict.EMPTY)
        self.needs_full_list = False
        return self._apply(now, replace_list(self.endpoint_list, listing), first)

    def apply_delta(self, now: float, delta: Delta) -> MembershipChange:
        """Apply what changed since the version that is held."""
        self.last_update_at = now
        if self.epoch is not None and delta.epoch == self.epoch and delta.version <= self.version:
            return MembershipChange(ListVerdict.STALE)
        update = apply_delta(self.endpoint_list, delta)
        if update is None:
            self.needs_full_list = True
            return MembershipChange(ListVerdict.NOT_CONSECUTIVE)
        if not update.endpoint_list.rows and len(self):
            self.needs_full_list = True
            return MembershipChange(ListVerdict.EMPTY)
        return self._apply(now, update, False)

    # ---- Over a restart of the process
    def serialize(self) -> bytes:
        """The list that is held, in the registry's own format, for a file that outlives the process."""
        rows = tuple(self.endpoint_list.rows.values()) + tuple(row for row, _ in self._doubted.values())
        return text(Listing(self.epoch or "", self.version, rows))

    def restore(self, now: float, data: bytes) -> MembershipChange:
        """Apply a list that an earlier process saved, unless the registry answered already.

        Its endpoints are taken to have warmed up, as they were there before this process. Raises ``ProtocolError``
        where ``data`` is not a list.
        """
        if self.epoch is not None:
            return MembershipChange(ListVerdict.STALE)
        saved_list = listing(data)
        self.needs_full_list = True  # the registry may have moved on since
        return self._apply(now, replace_list(self.endpoint_list, saved_list), True)

    # ---- Applying an update
    def _apply(self, now: float, update: ListUpdate, first: bool) -> MembershipChange:
        before, after = self.endpoint_list, update.endpoint_list
        size_before = len(self)
        self.endpoint_list = after
        self.epoch = after.epoch
        self.version = after.version
        self._version_times.record(now, after.serial, first)
        replaced = [name for name in update.left if name in after.rows]  # another server under the same name
        for name in replaced:
            self._tracked.pop(name, None)
        newly_missing = [name for name in update.left if name not in after.rows]
        missing = newly_missing + [name for name in self._doubted if name not in after.rows]
        for name in [name for name in self._doubted if name in after.rows]:
            del self._doubted[name]
        hold_back = not first and len(missing) > self.rules.drop_share * size_before
        for name in missing:
            if not hold_back:
                self._forget(name)
            elif name not in self._doubted:
                self._doubted[name] = before.rows[name], now
        self._refresh_tracked()
        if hold_back:
            return MembershipChange(
                ListVerdict.HELD_BACK, update.joined, tuple(replaced), update.changed, tuple(missing)
            )
        return MembershipChange(ListVerdict.TAKEN, update.joined, (*replaced, *missing), update.changed)

    def _refresh_tracked(self) -> None:
        for name, member in self._tracked.items():
            row = self.row(name)
            if row is not None:
                member.listed = row
                member.doubted_since = self._doubted[name][1] if name in self._doubted else None

    def _forget(self, name: str) -> None:
        self._doubted.pop(name, None)
        self._tracked.pop(name, None)
        self._last_seen_at.pop(name, None)

    # ---- The client's own evidence
    def record_seen(self, now: float, name: str) -> None:
        """The endpoint answered something, so it is there whatever the list says."""
        if name in self:
            self._last_seen_at[name] = now
            if (member := self._tracked.get(name)) is not None:
                member.last_seen_at = now

    def remove_doubted(self, name: str) -> bool:
        """The client found the endpoint gone: remove it if it is doubted, and return whether it was."""
        if name not in self._doubted:
            return False
        self._forget(name)
        return True

    def remove_expired(self, now: float) -> list[str]:
        """Remove what has been doubted for ``rules.confirm_s`` and answered nothing since; returns the names."""
        expired = [
            name
            for name, (_, doubted_since) in self._doubted.items()
            if max(doubted_since, self._last_seen_at.get(name, NEVER)) + self.rules.confirm_s <= now
        ]
        for name in expired:
            self._forget(name)
        return expired


def rendezvous_subset(names: list[str], size: int, client_identity: int) -> list[str]:
    """The endpoints that one process uses, by rendezvous hashing (Thaler and Ravishankar, 1998).

    They are spread evenly over processes, and an endpoint that joins or leaves changes one place of those processes
    that have it and nothing else. A ``size`` of 0 is all endpoints.
    """
    if not size or len(names) <= size:
        return sorted(names)
    from lapishaven.client.hashing import hash64

    return sorted(sorted(names, key=lambda name: hash64(name, client_identity), reverse=True)[:size])
