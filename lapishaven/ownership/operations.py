"""Calls of a member to the coordinator (operations) and their results (outcomes).

``Member`` decides which operation is due, ``driver.perform`` carries it out, and ``Member.record_outcome`` takes the
outcome. ``fault_point`` is the operation's part of the names of the points at which tests stop or kill a process:
``before-join``, ``after-join`` and so on.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from lapishaven.ownership.model import MemberRecord, SessionGrant, Shard, View


# ---- Operations
@dataclass(frozen=True, slots=True)
class Join:
    """Open a session for a new member."""

    fault_point: ClassVar[str] = "join"
    record: MemberRecord


@dataclass(frozen=True, slots=True)
class Renew:
    """Renew the lease of a session."""

    fault_point: ClassVar[str] = "renew"
    session: int


@dataclass(frozen=True, slots=True)
class ReadState:
    """Read the coordinator's whole state."""

    fault_point: ClassVar[str] = "read-state"


@dataclass(frozen=True, slots=True)
class ReadRevision:
    """Read only the revision, as a cheap check whether the state has changed."""

    fault_point: ClassVar[str] = "read-revision"


@dataclass(frozen=True, slots=True)
class Announce:
    """Replace the member's record. ``stable`` resets the join count of its name."""

    fault_point: ClassVar[str] = "announce"
    session: int
    record: MemberRecord
    stable: bool = False


@dataclass(frozen=True, slots=True)
class Claim:
    """Take a shard that has no owner."""

    fault_point: ClassVar[str] = "claim"
    session: int
    shard: Shard


@dataclass(frozen=True, slots=True)
class Transfer:
    """Transfer a shard that is owned under ``token`` to the session ``successor``, or release it if that is None."""

    fault_point: ClassVar[str] = "transfer"
    session: int
    shard: Shard
    token: int
    successor: int | None


@dataclass(frozen=True, slots=True)
class Deregister:
    """End the session at once."""

    fault_point: ClassVar[str] = "deregister"
    session: int


Operation = Join | Renew | ReadRevision | ReadState | Announce | Claim | Transfer | Deregister


# ---- Outcomes
@dataclass(frozen=True, slots=True)
class Completed:
    """The coordinator answered. ``value``: a session, a revision or token, a view, a bool, or None without a result."""

    value: int | bool | View | SessionGrant | None = None


@dataclass(frozen=True, slots=True)
class Unknown:
    """No usable answer came: the operation may have been carried out, or may still be."""


@dataclass(frozen=True, slots=True)
class SessionExpired:
    """The coordinator answered that the session has expired."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The coordinator answered that another member has the name or the shard."""


Outcome = Completed | Unknown | SessionExpired | Rejected
