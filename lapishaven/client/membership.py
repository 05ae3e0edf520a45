"""Which servers there are: versions of a list that comes late, not at all, or wrong. Pure.

The list itself is a shared, immutable ``Roster`` (``fleet/roster.py``); what is this process's own is small: the
servers that a list left out but that are not believed gone (doubted), when each answered last, when it took which
version. So a process costs the size of the list once, and a simulation of thousands of processes not much more.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from lapishaven.client.fleet.endpoint_list import EMPTY, EndpointList, Step, applied, whole
from lapishaven.client.settings import Catalog
from lapishaven.proto.catalog import Delta, Listed, Listing, listing, text

TAKEN_KEPT = 64  # versions of which the time they were taken is kept


@dataclass(slots=True)
class Member:
    """A server that the client goes by; made for the servers that it follows, and kept up to date."""

    listed: Listed
    since: float  # when it came to the list, as this client saw it
    warm: bool  # it was there before the client, so it is taken to be warm
    doubted: float | None = None  # since when a list that is not believed leaves it out
    vouched: float = float("-inf")  # when it last answered anything


@dataclass(frozen=True, slots=True)
class Change:
    """What one list did. ``verdict``: taken, stale, empty, or held back (``apart``: a delta that does not follow
    on from the version held, so that the whole list is to be asked for)."""

    verdict: str
    joined: tuple[str, ...] = ()
    left: tuple[str, ...] = ()
    altered: tuple[str, ...] = ()  # passing changed
    doubted: tuple[str, ...] = ()


class Membership:
    """The last good list. It stays in force while the catalog is away.

    A list that lacks more than ``drop_share`` of the members is taken for a lie of the catalog's, as an empty
    one always is: what it adds is taken, and what it lacks stays until ``confirm_s`` have passed in which the
    server answered nothing, or its own evidence (``gone``) says that it left.
    """

    def __init__(self, rules: Catalog) -> None:
        self.rules = rules
        self.roster: EndpointList = EMPTY
        self.epoch: str | None = None
        self.version = -1
        self.heard: float | None = None  # when the catalog last answered
        self._held: dict[str, tuple[Listed, float]] = {}  # doubted: the row and since when
        self._vouched: dict[str, float] = {}
        self._members: dict[str, Member] = {}  # made for those that are followed
        self._first = -1  # the serial of the first roster taken
        self._taken: OrderedDict[int, float] = OrderedDict()  # serial: when it was taken
        self.wants_whole = True  # the next question asks for the whole list, not what changed since

    @property
    def tag(self) -> str | None:
        """Names the list that is held, for the catalog."""
        return f"{self.epoch}.{self.version}" if self.epoch is not None else None

    # ---- What the client asks
    def row(self, name: str) -> Listed | None:
        row = self.roster.rows.get(name)
        if row is None and (held := self._held.get(name)) is not None:
            return held[0]
        return row

    def __contains__(self, name: str) -> bool:
        return name in self.roster.rows or name in self._held

    def __len__(self) -> int:
        return len(self.roster) + len(self._held)

    @property
    def names(self) -> frozenset[str]:
        return self.roster.names | frozenset(self._held) if self._held else self.roster.names

    @property
    def passing(self) -> int:
        return self.roster.passing + sum(row.passing for row, _ in self._held.values())

    @property
    def doubting(self) -> bool:
        return bool(self._held)

    def member(self, name: str) -> Member | None:
        """The member of that name, made now if it was not followed yet; None if it is not on the list."""
        member = self._members.get(name)
        if member is not None:
            return member
        row = self.row(name)
        if row is None:
            return None
        born = self.roster.born.get(name, self._first)
        since = self._taken.get(born, self.heard if self.heard is not None else 0.0)
        held = self._held.get(name)
        member = Member(row, since, born <= self._first, held[1] if held else None, self._vouched.get(name, -1e18))
        self._members[name] = member
        return member

    def unfollow(self, name: str) -> None:
        """The client no longer follows it: its member need not be kept up to date."""
        self._members.pop(name, None)

    # ---- What the catalog says
    def offer(self, now: float, listing: Listing) -> Change:
        """Take a list, or as much of it as is believed."""
        first = self.epoch is None
        self.heard = now
        if not first and listing.epoch == self.epoch and listing.version <= self.version:
            return Change("stale")
        if not listing.servers and len(self):
            self.wants_whole = True
            return Change("empty")  # not held, so that the catalog is asked for it in full again
        self.wants_whole = False
        return self._take(now, whole(self.roster, listing), first)

    def offer_delta(self, now: float, delta: Delta) -> Change:
        """Take what changed since the version held; ``apart`` where it does not follow on from that one."""
        self.heard = now
        if self.epoch is not None and delta.epoch == self.epoch and delta.version <= self.version:
            return Change("stale")
        step = applied(self.roster, delta)
        if step is None:
            self.wants_whole = True
            return Change("apart")
        if not step.roster.rows and len(self):
            self.wants_whole = True
            return Change("empty")
        return self._take(now, step, False)

    # ---- Over a restart of the process
    def saved(self) -> bytes:
        """The list held, as the catalog's own text, for a file that outlives the process."""
        rows = tuple(self.roster.rows.values()) + tuple(row for row, _ in self._held.values())
        return text(Listing(self.epoch or "", self.version, rows))

    def restore(self, now: float, data: bytes) -> Change:
        """Take a list that an earlier process saved, before the catalog has said anything; ``ProtocolError``
        where the text is not one. Its servers are taken to be warm, as they were there before this process."""
        if self.epoch is not None:
            return Change("stale")
        found = listing(data)
        self.wants_whole = True  # the catalog may have moved on since: ask it for the whole list
        return self._take(now, whole(self.roster, found), True)

    def _take(self, now: float, step: Step, first: bool) -> Change:
        before, roster = self.roster, step.roster
        known = len(before) + len(self._held)
        self.roster, self.epoch, self.version = roster, roster.epoch, roster.version
        self._taken[roster.serial] = now
        while len(self._taken) > TAKEN_KEPT:
            self._taken.popitem(last=False)
        if first:
            self._first = roster.serial
        gone_now = [name for name in step.left if name not in roster.rows]
        missing = gone_now + [name for name in self._held if name not in roster.rows]
        held = not first and len(missing) > self.rules.drop_share * known
        left = [name for name in step.left if name in roster.rows]  # another server under the same name
        doubted = []
        for name in left:
            self._members.pop(name, None)
        for name in list(self._held):
            if name in roster.rows:
                del self._held[name]
        for name in missing:
            if held:
                if name not in self._held:
                    self._held[name] = before.rows[name], now
                doubted.append(name)
            else:
                left.append(name)
                self._held.pop(name, None)
                self._members.pop(name, None)
                self._vouched.pop(name, None)
        for name, member in self._members.items():
            fresh = self.row(name)
            if fresh is not None:
                member.listed = fresh
                member.doubted = self._held[name][1] if name in self._held else None
        verdict = "held back" if held else "taken"
        return Change(verdict, step.joined, tuple(left), step.altered, tuple(doubted))

    # ---- What the client itself sees
    def vouch(self, now: float, name: str) -> None:
        """The server answered something, so it is there whatever the list says."""
        if name in self:
            self._vouched[name] = now
            if (member := self._members.get(name)) is not None:
                member.vouched = now

    def gone(self, name: str) -> bool:
        """The server's own doing says that it left: true if it is doubted and so let go."""
        if name not in self._held:
            return False
        del self._held[name]
        self._members.pop(name, None)
        self._vouched.pop(name, None)
        return True

    def sweep(self, now: float) -> list[str]:
        """Let go of what has been doubted for long enough and answered nothing since."""
        late = [
            name
            for name, (_, since) in self._held.items()
            if max(since, self._vouched.get(name, -1e18)) + self.rules.confirm_s <= now
        ]
        for name in late:
            self.gone(name)
        return late


def subset(names: list[str], size: int, client: int) -> list[str]:
    """The servers that one process keeps to, by rendezvous hashing: evenly spread over processes, and a
    server that comes or goes changes one place of those that have it and no other."""
    if not size or len(names) <= size:
        return sorted(names)
    from lapishaven.client.hashing import hash64

    return sorted(sorted(names, key=lambda name: hash64(name, client), reverse=True)[:size])
