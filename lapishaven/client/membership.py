"""The client's view of the endpoint list, which tolerates late, missing and wrong versions. Pure.

The list itself is a shared, immutable ``EndpointList``. The state of each client is small: the doubted endpoints
(kept although a list that was held back lacks them), when each endpoint last responded, and when each version was
applied. A process therefore holds the list once, and a simulation of thousands of clients needs little more memory.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum

from lapishaven.client.fleet.endpoint_list import EMPTY, EndpointList, ListUpdate, apply_delta, replace_list
from lapishaven.client.settings import Catalog
from lapishaven.proto.catalog import Delta, ListedServer, ServerList, decode_list, encode_list

MAX_VERSION_TIMES = 64  # the times at which this many of the most recent versions were applied are remembered
NEVER_S = -1e18  # seconds; earlier than any time on the client's clock


@dataclass(slots=True)
class Member:
    """A tracked endpoint as the list shows it, kept up to date while it is tracked.

    ``listed``: its row in the list.
    ``listed_since``: when this client first saw it on the list; if that is no longer remembered, when the registry
    last answered before it was tracked.
    ``warmed_up``: it was on the first list, so it is assumed to have been running for a while.
    ``doubted_since``: when a list that lacks it was first held back (``ListVerdict.HELD_BACK``); None if it is listed.
    ``last_seen_at``: when the client last received a response from it.
    """

    listed: ListedServer
    listed_since: float
    warmed_up: bool
    doubted_since: float | None = None
    last_seen_at: float = float("-inf")


class VersionTimes:
    """When this client applied each of the last ``MAX_VERSION_TIMES`` versions, by ``EndpointList.serial``."""

    def __init__(self) -> None:
        self.first_serial = -1  # serial of the first list that was applied
        self._times: OrderedDict[int, float] = OrderedDict()

    def record(self, now: float, serial: int, is_first: bool) -> None:
        """Record that a list was applied; ``is_first``: it is the first one, from the registry or from a file."""
        self._times[serial] = now
        while len(self._times) > MAX_VERSION_TIMES:
            self._times.popitem(last=False)
        if is_first:
            self.first_serial = serial

    def applied_at(self, serial: int, default: float) -> float:
        """Return when the list of this serial was applied; ``default`` if that is no longer recorded."""
        return self._times.get(serial, default)


class ListVerdict(StrEnum):
    """How an endpoint list was treated. The values are part of event names (``list taken``, ...)."""

    TAKEN = "taken"
    STALE = "stale"  # not newer than the current version
    EMPTY = "empty"  # it has no endpoints, but the client knows some: ignored
    HELD_BACK = "held back"  # it lacks too many endpoints: these are kept for now, all other changes are applied
    NOT_CONSECUTIVE = "apart"  # a delta that does not start at the current version; the full list is needed


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """The changes made by one list, as names of endpoints.

    ``left``: removed, or replaced by another server under the same name.
    ``changed``: began or ceased to pass the health checks.
    ``doubted``: missing on a list that was held back, including those that were doubted before.
    """

    verdict: ListVerdict
    joined: tuple[str, ...] = ()
    left: tuple[str, ...] = ()
    changed: tuple[str, ...] = ()
    doubted: tuple[str, ...] = ()


class Membership:
    """The last good endpoint list. It stays in use while the service registry is unreachable.

    A list that lacks more than ``rules.drop_share`` of the known endpoints (listed and doubted) is treated as a fault
    of the registry and held back: its other changes are applied, but the missing endpoints are doubted instead of
    removed. A doubted endpoint is kept until it has sent no response for ``rules.confirm_s``, or until the client
    itself finds it gone: a dial fails, or its connection is lost or drained (``remove_doubted``). The first list is
    never held back. An empty list is ignored as a fault once any endpoint is known.

    ``endpoint_list``: the current list, identified by ``epoch`` and ``version``.
    ``last_update_at``: when the registry last answered with a list or a delta, whether or not it was applied.
    ``needs_full_list``: the next poll must request the full list instead of a delta.
    """

    def __init__(self, rules: Catalog) -> None:
        self.rules = rules
        self.endpoint_list: EndpointList = EMPTY
        self.epoch: str | None = None
        self.version = -1
        self.last_update_at: float | None = None
        self.needs_full_list = True
        self._doubted: dict[str, tuple[ListedServer, float]] = {}  # row, doubted since
        self._last_seen_at: dict[str, float] = {}
        self._tracked: dict[str, Member] = {}
        self._version_times = VersionTimes()

    # ---- Queries
    @property
    def version_tag(self) -> str | None:
        """The tag of the current list in requests to the registry; None before the first list."""
        return f"{self.epoch}.{self.version}" if self.epoch is not None else None

    def row(self, name: str) -> ListedServer | None:
        """Return the endpoint's row, also for a doubted endpoint; None if it is unknown."""
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
        """The names of all endpoints, including doubted ones."""
        if not self._doubted:
            return self.endpoint_list.names
        return self.endpoint_list.names | frozenset(self._doubted)

    @property
    def passing(self) -> int:
        """The number of endpoints that pass their health checks, including doubted ones."""
        return self.endpoint_list.passing + sum(row.passing for row, _ in self._doubted.values())

    @property
    def has_doubted(self) -> bool:
        """Whether any endpoint is doubted."""
        return bool(self._doubted)

    # ---- Tracking
    def track(self, name: str) -> Member | None:
        """Return the member of this name and keep it up to date from now on; None if it is unknown."""
        member = self._tracked.get(name)
        if member is not None:
            return member
        row = self.row(name)
        if row is None:
            return None
        added_at_serial = self.endpoint_list.added_at_serial.get(name, self._version_times.first_serial)
        default_listed_since = self.last_update_at if self.last_update_at is not None else 0.0
        doubted = self._doubted.get(name)
        member = Member(
            listed=row,
            listed_since=self._version_times.applied_at(added_at_serial, default_listed_since),
            warmed_up=added_at_serial <= self._version_times.first_serial,
            doubted_since=doubted[1] if doubted else None,
            last_seen_at=self._last_seen_at.get(name, NEVER_S),
        )
        self._tracked[name] = member
        return member

    def untrack(self, name: str) -> None:
        """Stop keeping the member of this name up to date."""
        self._tracked.pop(name, None)

    # ---- Lists
    def apply_list(self, now: float, new_list: ServerList) -> MembershipChange:
        """Apply a full list, unless it is stale or ignored as empty. Its removals may be held back."""
        is_first = self.epoch is None
        self.last_update_at = now
        if not is_first and new_list.epoch == self.epoch and new_list.version <= self.version:
            return MembershipChange(ListVerdict.STALE)
        if not new_list.servers and len(self):
            self.needs_full_list = True
            return MembershipChange(ListVerdict.EMPTY)
        self.needs_full_list = False
        return self._apply(now, replace_list(self.endpoint_list, new_list), is_first)

    def apply_delta(self, now: float, delta: Delta) -> MembershipChange:
        """Apply the changes since the current version, by the same rules as a full list."""
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

    # ---- Across restarts of the process
    def serialize(self) -> bytes:
        """Return the current list in the registry's own format, including doubted endpoints, to be saved in a file."""
        rows = tuple(self.endpoint_list.rows.values()) + tuple(row for row, _ in self._doubted.values())
        return encode_list(ServerList(self.epoch or "", self.version, rows))

    def restore(self, now: float, data: bytes) -> MembershipChange:
        """Apply a list that an earlier process saved, unless the registry has already answered.

        Its endpoints count as warmed up, as they existed before this process. Raises ``ProtocolError`` if ``data`` is
        not a list.
        """
        if self.epoch is not None:
            return MembershipChange(ListVerdict.STALE)
        saved_list = decode_list(data)
        self.needs_full_list = True  # the registry may have a newer version
        return self._apply(now, replace_list(self.endpoint_list, saved_list), True)

    # ---- Applying an update
    def _apply(self, now: float, update: ListUpdate, is_first: bool) -> MembershipChange:
        before, after = self.endpoint_list, update.endpoint_list
        size_before = len(self)
        self.endpoint_list = after
        self.epoch = after.epoch
        self.version = after.version
        self._version_times.record(now, after.serial, is_first)
        replaced = [name for name in update.left if name in after.rows]  # another server with the same name
        for name in replaced:
            self._tracked.pop(name, None)
        newly_missing = [name for name in update.left if name not in after.rows]
        missing = newly_missing + [name for name in self._doubted if name not in after.rows]
        for name in [name for name in self._doubted if name in after.rows]:
            del self._doubted[name]
        hold_back = not is_first and len(missing) > self.rules.drop_share * size_before
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

    # ---- Observations of the client itself
    def record_seen(self, now: float, name: str) -> None:
        """Record that the endpoint answered, so it exists even if the list lacks it."""
        if name in self:
            self._last_seen_at[name] = now
            if (member := self._tracked.get(name)) is not None:
                member.last_seen_at = now

    def remove_doubted(self, name: str) -> bool:
        """Remove an endpoint that the client found gone, if it is doubted; return whether it was removed."""
        if name not in self._doubted:
            return False
        self._forget(name)
        return True

    def remove_expired(self, now: float) -> list[str]:
        """Remove doubted endpoints without a response in the last ``rules.confirm_s``; return their names."""
        expired = [
            name
            for name, (_, doubted_since) in self._doubted.items()
            if max(doubted_since, self._last_seen_at.get(name, NEVER_S)) + self.rules.confirm_s <= now
        ]
        for name in expired:
            self._forget(name)
        return expired


def rendezvous_subset(names: list[str], size: int, client_identity: int) -> list[str]:
    """Return the endpoints that one process uses, by rendezvous hashing (Thaler and Ravishankar, 1998).

    ``client_identity``: the random number of the process, which seeds the hash (``EndpointTable.identity``). The
    endpoints are spread evenly over the processes. When an endpoint joins or leaves, each subset that contains it
    changes by that endpoint and the one that it replaces or that replaces it; no other subset changes. A ``size`` of 0
    selects all endpoints.
    """
    if not size or len(names) <= size:
        return sorted(names)
    from lapishaven.client.hashing import hash64

    return sorted(sorted(names, key=lambda name: hash64(name, client_identity), reverse=True)[:size])
