"""What ownership deals in: shards, members, what a coordinator says, and the ports."""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

Shard = tuple[str, int]  # duty, number of the shard
SHARDS = 1024  # of one duty at most


class Standing(Enum):
    """What a member says of itself."""

    JOINING = "joining"  # alive, given no work yet
    SERVING = "serving"
    LEAVING = "leaving"  # hands over what it has, and is given nothing


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """A member as the others see it. ``weight`` is its part of the work beside the others' weights."""

    name: str
    start: str  # names this start of the process; two processes of one name differ in it
    standing: Standing = Standing.JOINING
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Joined:
    """A session was given. ``joins``: how often this name has joined since it was last calm, this time counted."""

    session: int
    joins: int


@dataclass(frozen=True, slots=True)
class Seen:
    """A living member in a view."""

    session: int
    card: MemberRecord


@dataclass(frozen=True, slots=True)
class Owned:
    """A shard's owner in a view."""

    session: int
    token: int


@dataclass(frozen=True, slots=True)
class View:
    """All that the coordinator holds, at one revision."""

    revision: int
    members: tuple[Seen, ...]
    owners: Mapping[Shard, Owned]
    marks: Mapping[Shard, int]  # effects that a shard's receiver is known to hold

    def named(self, name: str) -> Seen | None:
        return next((seen for seen in self.members if seen.card.name == name), None)


class CoordinatorError(Exception):
    """The coordinator gave no answer that says whether it was done: it may have been, and may still be."""


class SessionGone(Exception):
    """The coordinator answered: this session is over."""


class AlreadyOwned(Exception):
    """The coordinator answered: another one has it."""


class Coordinator(Protocol):
    """Where leases are kept. Each call blocks for a bounded time and raises ``CoordinatorError`` where the answer did
    not come, ``Gone`` where the session is over; all but ``look`` may have been done although they raised."""

    def join(self, card: MemberRecord, ttl: float) -> Joined:
        """A session for a new member, for ``ttl`` seconds from now unless it is renewed. ``Taken``: the name is."""

    def renew(self, session: int) -> int:
        """The session lives for its time again; gives the revision."""

    def peek(self) -> int:
        """The revision alone, which is cheap; it is another one whenever a look would show something else."""

    def announce(self, session: int, card: MemberRecord, calm: bool = False) -> None:
        """The member's card changes. ``calm``: it has been there for long, its joins are forgotten."""

    def look(self) -> View: ...

    def claim(self, session: int, shard: Shard) -> int:
        """The token of a shard that had no owner. ``Taken`` where it has one."""

    def hand(self, session: int, shard: Shard, token: int, to: int | None) -> bool:
        """Give a shard to another session, which gets a new token, or to nobody. No: it was not this one's."""

    def mark(self, session: int, shard: Shard, token: int, held: int) -> bool:
        """Note that the shard's receiver holds so many effects. No: the token is not in force."""

    def leave(self, session: int) -> None:
        """The session ends at once, with all that it owns."""

    def close(self) -> None: ...


class Clock(Protocol):
    def now(self) -> float:
        """Seconds on a clock that never steps, and goes on while the process is stopped or the machine sleeps."""

    def wall(self) -> float:
        """Unix seconds; may step. Nothing safe hangs on it."""


class SystemClock:
    """CLOCK_BOOTTIME: CLOCK_MONOTONIC stands still while the machine sleeps, and the wall clock may step."""

    def now(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        return time.time()
