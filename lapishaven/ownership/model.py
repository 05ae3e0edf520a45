"""What ownership deals in: shards, members, the coordinator's state, and the ports to coordinator and clock."""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

Shard = tuple[str, int]
"""The name of a duty, and the number of one of its shards."""
MAX_SHARDS_PER_DUTY = 1024


class MemberState(Enum):
    """What a member announces of itself. The values are stored by the coordinators."""

    JOINING = "joining"  # alive, given no work yet
    SERVING = "serving"
    LEAVING = "leaving"  # draining: transfers its shards, and is given none


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """A member as the others see it."""

    name: str
    incarnation: str
    """Names one start of the process; two processes of one name differ in it."""
    state: MemberState = MemberState.JOINING
    weight: float = 1.0
    """The member's part of the work, relative to the others' weights."""


@dataclass(frozen=True, slots=True)
class SessionGrant:
    """A session was opened."""

    session: int
    join_count: int
    """How often this name has joined since it was last stable, this time included."""


@dataclass(frozen=True, slots=True)
class ListedMember:
    """A living member in a view."""

    session: int
    record: MemberRecord


@dataclass(frozen=True, slots=True)
class ShardOwner:
    """A shard's owner in a view."""

    session: int
    token: int
    """The fencing token under which the session owns the shard."""


@dataclass(frozen=True, slots=True)
class View:
    """All that the coordinator holds, at one revision."""

    revision: int
    members: tuple[ListedMember, ...]
    owners: Mapping[Shard, ShardOwner]
    effect_counts: Mapping[Shard, int]
    """How many effects each shard's receiver is known to hold, at the least."""

    def find_member(self, name: str) -> ListedMember | None:
        """The living member of that name."""
        return next((member for member in self.members if member.record.name == name), None)


class CoordinatorError(Exception):
    """The coordinator gave no answer that says whether the call was done: it may have been, and may still be."""


class SessionExpiredError(Exception):
    """The coordinator answered that the session is over."""


class AlreadyOwnedError(Exception):
    """The coordinator answered that another member has the name or the shard."""


class Coordinator(Protocol):
    """Where leases are kept.

    Each call blocks for a bounded time. It raises ``CoordinatorError`` where no answer came, and
    ``SessionExpiredError`` where the session is over. All calls but ``read_state`` may have been done although they
    raised.
    """

    def join(self, record: MemberRecord, ttl: float) -> SessionGrant:
        """Open a session for a new member, for ``ttl`` seconds from now unless it is renewed. Raises
        ``AlreadyOwnedError`` where a living member has the name."""

    def renew(self, session: int) -> int:
        """Renew the session for its time to live; gives the revision."""

    def read_revision(self) -> int:
        """The revision alone, which is cheap. It differs whenever ``read_state`` would give something else."""

    def announce(self, session: int, record: MemberRecord, stable: bool = False) -> None:
        """Replace the member's record. ``stable``: forget how often its name has joined."""

    def read_state(self) -> View:
        """All that the coordinator holds."""

    def claim(self, session: int, shard: Shard) -> int:
        """Take a shard that has no owner; gives its fencing token. Raises ``AlreadyOwnedError`` where it has one."""

    def transfer(self, session: int, shard: Shard, token: int, successor: int | None) -> bool:
        """Give a shard to another session, which gets a new token, or to nobody. False if ``token`` is not in
        force."""

    def record_effect_count(self, session: int, shard: Shard, token: int, effect_count: int) -> bool:
        """Keep how many effects the shard's receiver holds. False if ``token`` is not in force."""

    def deregister(self, session: int) -> None:
        """End the session at once, and its ownership of shards with it."""

    def close(self) -> None:
        """Close the connection. Sessions are left to run out."""


class Clock(Protocol):
    """Time, as ownership needs it."""

    def now(self) -> float:
        """Seconds on a clock that never steps, and goes on while the process is stopped or the machine sleeps."""

    def wall(self) -> float:
        """Unix time in seconds; may step. Nothing that has to be safe depends on it."""


class SystemClock:
    """CLOCK_BOOTTIME: CLOCK_MONOTONIC stands still while the machine sleeps, and the wall clock may step."""

    def now(self) -> float:
        """Seconds since the machine booted, sleep included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Unix time in seconds."""
        return time.time()
