"""Which servers there are: versions of a list that comes late, not at all, or wrong. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

from lapishaven.client.settings import Catalog
from lapishaven.proto.catalog import Listed, Listing


@dataclass(slots=True)
class Member:
    """A server that the client goes by."""

    listed: Listed
    since: float  # when it came to the list
    warm: bool  # it was there before the client, so it is taken to be warm
    doubted: float | None = None  # since when a list that is not believed leaves it out
    vouched: float = float("-inf")  # when it last answered anything


@dataclass(frozen=True, slots=True)
class Change:
    """What one list did. ``verdict``: taken, stale, empty, or held back."""

    verdict: str
    joined: tuple[str, ...] = ()
    left: tuple[str, ...] = ()
    altered: tuple[str, ...] = ()  # passing changed
    doubted: tuple[str, ...] = ()


@dataclass(slots=True)
class Membership:
    """The last good list. It stays in force while the catalog is away.

    A list that lacks more than ``drop_share`` of the members is taken for a lie of the catalog's, as an empty
    one always is: what it adds is taken, and what it lacks stays until ``confirm_s`` have passed in which the
    server answered nothing, or its own evidence (``gone``) says that it left.
    """

    rules: Catalog
    members: dict[str, Member] = field(default_factory=dict)
    epoch: str | None = None
    version: int = -1
    heard: float | None = None  # when the catalog last answered

    @property
    def tag(self) -> str | None:
        """Names the list that is held, for the catalog."""
        return f"{self.epoch}.{self.version}" if self.epoch is not None else None

    def offer(self, now: float, listing: Listing) -> Change:
        """Take a list, or as much of it as is believed."""
        first = self.epoch is None
        self.heard = now
        if not first and listing.epoch == self.epoch and listing.version <= self.version:
            return Change("stale")
        if not listing.servers and self.members:
            # Not held, so that the catalog is asked for it in full again.
            return Change("empty")
        self.epoch, self.version = listing.epoch, listing.version
        rows = {row.name: row for row in listing.servers}
        joined, left, altered, doubted = [], [], [], []
        for name, row in rows.items():
            member = self.members.get(name)
            if member is not None and (row.host, row.port) != (member.listed.host, member.listed.port):
                # Another server under the same name.
                left.append(name)
                member = None
            if member is None:
                self.members[name] = Member(row, now, warm=first)
                joined.append(name)
                continue
            if member.listed.passing != row.passing:
                altered.append(name)
            member.listed, member.doubted = row, None
        missing = [name for name in self.members if name not in rows]
        held = len(missing) > self.rules.drop_share * len(self.members)
        for name in missing:
            if held:
                member = self.members[name]
                member.doubted = now if member.doubted is None else member.doubted
                doubted.append(name)
            else:
                del self.members[name]
                left.append(name)
        verdict = "held back" if held else "taken"
        return Change(verdict, tuple(joined), tuple(left), tuple(altered), tuple(doubted))

    def vouch(self, now: float, name: str) -> None:
        """The server answered something, so it is there whatever the list says."""
        if (member := self.members.get(name)) is not None:
            member.vouched = now

    def gone(self, name: str) -> bool:
        """The server's own doing says that it left: true if it is doubted and so let go."""
        member = self.members.get(name)
        if member is None or member.doubted is None:
            return False
        del self.members[name]
        return True

    def sweep(self, now: float) -> list[str]:
        """Let go of what has been doubted for long enough and answered nothing since."""
        late = [
            name for name, member in self.members.items()
            if member.doubted is not None and max(member.doubted, member.vouched) + self.rules.confirm_s <= now
        ]  # fmt: skip
        for name in late:
            del self.members[name]
        return late


def subset(names: list[str], size: int, client: int) -> list[str]:
    """The servers that one process keeps to, by rendezvous hashing: evenly spread over processes, and a
    server that comes or goes changes one place of those that have it and no other."""
    if not size or len(names) <= size:
        return sorted(names)
    from lapishaven.client.hashing import hash64

    return sorted(sorted(names, key=lambda name: hash64(name, client), reverse=True)[:size])
