"""Types of ownership: shards, members and the coordinator's state; interfaces of the coordinator and the clock."""

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
    """State that a member announces. The values are stored by the coordinators."""

    JOINING = "joining"  # live, takes no shards yet
    SERVING = "serving"
    LEAVING = "leaving"  # draining: transfers its shards and takes none


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """A member as the others see it."""

    name: str
    incarnation: str
    """Identifies one start of the process; two processes with the same name differ in it."""
    state: MemberState = MemberState.JOINING
    weight: float = 1.0
    """The member's share of the work, relative to the weights of the others."""


@dataclass(frozen=True, slots=True)
class SessionGrant:
    """Answer to a successful join."""

    session: int
    join_count: int
    """Joins of this name since it was last stable, this one included."""


@dataclass(frozen=True, slots=True)
class ListedMember:
    """A live member in a view."""

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
    """The coordinator's whole state at one revision."""

    revision: int
    members: tuple[ListedMember, ...]
    owners: Mapping[Shard, ShardOwner]
    effect_counts: Mapping[Shard, int]
    """Lower bound of the number of effects that each shard's receiver holds."""

    def find_member(self, name: str) -> ListedMember | None:
        """The live member of that name, None without one."""
        return next((member for member in self.members if member.record.name == name), None)


class CoordinatorError(Exception):
    """The coordinator gave no usable answer: the call may have been carried out, or may still be."""


class SessionExpiredError(Exception):
    """The coordinator answered that the session has expired."""


class AlreadyOwnedError(Exception):
    """The coordinator answered that another member has the name or the shard."""


class Coordinator(Protocol):
    """Stores the leases.

    Each call blocks for a bounded time. It raises ``CoordinatorError`` if no answer came, and ``SessionExpiredError``
    if the session has expired. Any call that writes may have been carried out although it raised.
    """

    def join(self, record: MemberRecord, ttl: float) -> SessionGrant:
        """Open a session for a new member; it expires ``ttl`` seconds from now unless renewed. Raises
        ``AlreadyOwnedError`` if a live member has the name."""

    def renew(self, session: int) -> int:
        """Renew the session for its time to live; returns the revision."""

    def read_revision(self) -> int:
        """Read only the revision, which is cheap. It changes whenever the result of ``read_state`` does."""

    def announce(self, session: int, record: MemberRecord, stable: bool = False) -> None:
        """Replace the member's record. ``stable`` resets the join count of its name."""

    def read_state(self) -> View:
        """Read the whole state."""

    def claim(self, session: int, shard: Shard) -> int:
        """Take a shard that has no owner; returns its fencing token. Raises ``AlreadyOwnedError`` if it has one."""

    def transfer(self, session: int, shard: Shard, token: int, successor: int | None) -> bool:
        """Transfer a shard to another session, under a new token, or release it. False if ``token`` is not in force."""

    def record_effect_count(self, session: int, shard: Shard, token: int, effect_count: int) -> bool:
        """Store how many effects the shard's receiver holds. False if ``token`` is not in force."""

    def deregister(self, session: int) -> None:
        """End the session at once, and its ownership of shards with it."""

    def close(self) -> None:
        """Close the connection; sessions are left to expire."""


class Clock(Protocol):
    """Source of monotonic and wall-clock time."""

    def now(self) -> float:
        """Seconds on a monotonic clock that also runs while the process is stopped or the machine sleeps."""

    def wall(self) -> float:
        """Unix time in seconds, which may step. No safety property depends on it."""


class SystemClock:
    """The system's clocks. Uses CLOCK_BOOTTIME, as CLOCK_MONOTONIC stops while the machine sleeps."""

    def now(self) -> float:
        """Seconds since the machine booted, sleep included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Unix time in seconds."""
        return time.time()
