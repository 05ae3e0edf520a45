"""Which servers there are: versions of a list that comes late, not at all, or wrong. Pure.

The list itself is a shared, immutable ``Roster`` (``fleet/roster.py``); what is this process's own is small: the
servers that a list left out but that are not believed gone (doubted), when each answered last, when it took which
version. So a process costs the size of the list once, and a simulation of thousands of processes not much more.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from lapishaven.client.fleet.endpoint_list import EMPTY, EndpointList, ListUpdate, apply_delta, replace_list
from lapishaven.client.settings import Catalog
from lapishaven.proto.catalog import Delta, Listed, Listing, listing, text

MAX_VERSION_TIMES = 64  # versions of which the time they were taken is kept


@dataclass(slots=True)
class Member:
    """A server that the client goes by; made for the servers that it follows, and kept up to date."""

    listed: Listed
    listed_since: float  # when it came to the list, as this client saw it
    warmed_up: bool  # it was there before the client, so it is taken to be warm
    doubted_since: float | None = None  # since when a list that is not believed leaves it out
    last_seen_at: float = float("-inf")  # when it last answered anything


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """What one list did. ``verdict``: taken, stale, empty, or held back (``apart``: a delta that does not follow
    on from the version held, so that the whole list is to be asked for)."""

    verdict: str
    joined: tuple[str, ...] = ()
    left: tuple[str, ...] = ()
    changed: tuple[str, ...] = ()  # passing changed
    doubted: tuple[str, ...] = ()


class Membership:
    """The last good list. It stays in force while the catalog is away.

    A list that lacks more than ``drop_share`` of the members is taken for a lie of the catalog's, as an empty
    one always is: what it adds is taken, and what it lacks stays until ``confirm_s`` have passed in which the
    server answered nothing, or its own evidence (``gone``) says that it left.
    """

    def __init__(self, rules: Catalog) -> None:
        self.rules = rules
        self.endpoint_list: EndpointList = EMPTY
        self.epoch: str | None = None
        self.version = -1
        self.last_update_at: float | None = None  # when the catalog last answered
        self._doubted: dict[str, tuple[Listed, float]] = {}  # doubted: the row and since when
        self._last_seen_at: dict[str, float] = {}
        self._tracked: dict[str, Member] = {}  # made for those that are followed
        self._first_serial = -1  # the serial of the first roster taken
        self._version_times: OrderedDict[int, float] = OrderedDict()  # serial: when it was taken
        self.needs_full_list = True  # the next question asks for the whole list, not what changed since

    @property
    def version_tag(self) -> str | None:
        """Names the list that is held, for the catalog."""
        return f"{self.epoch}.{self.version}" if self.epoch is not None else None

    # ---- What the client asks
    def row(self, name: str) -> Listed | None:
        row = self.endpoint_list.rows.get(name)
        if row is None and (held := self._doubted.get(name)) is not None:
            return held[0]
        return row

    def __contains__(self, name: str) -> bool:
        return name in self.endpoint_list.rows or name in self._doubted

    def __len__(self) -> int:
        return len(self.endpoint_list) + len(self._doubted)

    @property
    def names(self) -> frozenset[str]:
        return self.endpoint_list.names | frozenset(self._doubted) if self._doubted else self.endpoint_list.names

    @property
    def passing(self) -> int:
        return self.endpoint_list.passing + sum(row.passing for row, _ in self._doubted.values())

    @property
    def has_doubted(self) -> bool:
        return bool(self._doubted)

    def track(self, name: str) -> Member | None:
        """The member of that name, made now if it was not followed yet; None if it is not on the list."""
        member = self._tracked.get(name)
        if member is not None:
            return member
        row = self.row(name)
        if row is None:
            return None
        born = self.endpoint_list.added_at_serial.get(name, self._first_serial)
        since = self._version_times.get(born, self.last_update_at if self.last_update_at is not None else 0.0)
        held = self._doubted.get(name)
        member = Member(
            row, since, born <= self._first_serial, held[1] if held else None, self._last_seen_at.get(name, -1e18)
        )
        self._tracked[name] = member
        return member

    def untrack(self, name: str) -> None:
        """The client no longer follows it: its member need not be kept up to date."""
        self._tracked.pop(name, None)

    # ---- What the catalog says
    def apply_list(self, now: float, listing: Listing) -> MembershipChange:
        """Take a list, or as much of it as is believed."""
        first = self.epoch is None
        self.last_update_at = now
        if not first and listing.epoch == self.epoch and listing.version <= self.version:
            return MembershipChange("stale")
        if not listing.servers and len(self):
            self.needs_full_list = True
            return MembershipChange("empty")  # not held, so that the catalog is asked for it in full again
        self.needs_full_list = False
        return self._apply(now, replace_list(self.endpoint_list, listing), first)

    def apply_delta(self, now: float, delta: Delta) -> MembershipChange:
        """Take what changed since the version held; ``apart`` where it does not follow on from that one."""
        self.last_update_at = now
        if self.epoch is not None and delta.epoch == self.epoch and delta.version <= self.version:
            return MembershipChange("stale")
        step = apply_delta(self.endpoint_list, delta)
        if step is None:
            self.needs_full_list = True
            return MembershipChange("apart")
        if not step.endpoint_list.rows and len(self):
            self.needs_full_list = True
            return MembershipChange("empty")
        return self._apply(now, step, False)

    # ---- Over a restart of the process
    def serialize(self) -> bytes:
        """The list held, as the catalog's own text, for a file that outlives the process."""
        rows = tuple(self.endpoint_list.rows.values()) + tuple(row for row, _ in self._doubted.values())
        return text(Listing(self.epoch or "", self.version, rows))

    def restore(self, now: float, data: bytes) -> MembershipChange:
        """Take a list that an earlier process saved, before the catalog has said anything; ``ProtocolError``
        where the text is not one. Its servers are taken to be warm, as they were there before this process."""
        if self.epoch is not None:
            return MembershipChange("stale")
        found = listing(data)
        self.needs_full_list = True  # the catalog may have moved on since: ask it for the whole list
        return self._apply(now, replace_list(self.endpoint_list, found), True)

    def _apply(self, now: float, step: ListUpdate, first: bool) -> MembershipChange:
        before, endpoint_list = self.endpoint_list, step.endpoint_list
        known = len(before) + len(self._doubted)
        self.endpoint_list, self.epoch, self.version = endpoint_list, endpoint_list.epoch, endpoint_list.version
        self._version_times[endpoint_list.serial] = now
        while len(self._version_times) > MAX_VERSION_TIMES:
            self._version_times.popitem(last=False)
        if first:
            self._first_serial = endpoint_list.serial
        gone_now = [name for name in step.left if name not in endpoint_list.rows]
        missing = gone_now + [name for name in self._doubted if name not in endpoint_list.rows]
        held = not first and len(missing) > self.rules.drop_share * known
        left = [name for name in step.left if name in endpoint_list.rows]  # another server under the same name
        doubted = []
        for name in left:
            self._tracked.pop(name, None)
        for name in list(self._doubted):
            if name in endpoint_list.rows:
                del self._doubted[name]
        for name in missing:
            if held:
                if name not in self._doubted:
                    self._doubted[name] = before.rows[name], now
                doubted.append(name)
            else:
                left.append(name)
                self._doubted.pop(name, None)
                self._tracked.pop(name, None)
                self._last_seen_at.pop(name, None)
        for name, member in self._tracked.items():
            fresh = self.row(name)
            if fresh is not None:
                member.listed = fresh
                member.doubted_since = self._doubted[name][1] if name in self._doubted else None
        verdict = "held back" if held else "taken"
        return MembershipChange(verdict, step.joined, tuple(left), step.changed, tuple(doubted))

    # ---- What the client itself sees
    def record_seen(self, now: float, name: str) -> None:
        """The server answered something, so it is there whatever the list says."""
        if name in self:
            self._last_seen_at[name] = now
            if (member := self._tracked.get(name)) is not None:
                member.last_seen_at = now

    def remove_doubted(self, name: str) -> bool:
        """The server's own doing says that it left: true if it is doubted and so let go."""
        if name not in self._doubted:
            return False
        del self._doubted[name]
        self._tracked.pop(name, None)
        self._last_seen_at.pop(name, None)
        return True

    def remove_expired(self, now: float) -> list[str]:
        """Let go of what has been doubted for long enough and answered nothing since."""
        late = [
            name
            for name, (_, since) in self._doubted.items()
            if max(since, self._last_seen_at.get(name, -1e18)) + self.rules.confirm_s <= now
        ]
        for name in late:
            self.remove_doubted(name)
        return late


def rendezvous_subset(names: list[str], size: int, client: int) -> list[str]:
    """The servers that one process keeps to, by rendezvous hashing: evenly spread over processes, and a
    server that comes or goes changes one place of those that have it and no other."""
    if not size or len(names) <= size:
        return sorted(names)
    from lapishaven.client.hashing import hash64

    return sorted(sorted(names, key=lambda name: hash64(name, client), reverse=True)[:size])
