"""Typed events of ownership, for operators, duties and tests."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lapishaven.ownership.model import Shard


class NoticeKind(Enum):
    """Kind of an event. The values are logged (``docs/operators/ownership.md``)."""

    JOINED = "joined"
    NAME_TAKEN = "name taken"
    SESSION_ENDED = "out"
    DRAINING = "leaving"
    SHARD_GAINED = "gained"
    SHARD_LOST = "lost"
    SHARD_TRANSFERRED = "handed"
    OUTCOME_UNCERTAIN = "doubt"
    EFFECT_REJECTED = "refused"
    # Events of the agent and the participant.
    EFFECT_ACKNOWLEDGED = "acked"
    EFFECT_STALE = "stale"
    RECEIVER_BEHIND = "behind"
    FAILED = "failed"
    RESTARTING = "restarting"
    OVERLOADED = "overloaded"
    SLOW_LOCK = "slow lock"
    WAITING = "waiting"


@dataclass(frozen=True, slots=True)
class Notice:
    """One event of a member. ``token`` is 0 and ``reason`` is empty if it has none."""

    kind: NoticeKind
    shard: Shard | None = None
    token: int = 0
    reason: str = ""


class NoticeQueue:
    """Notices in order of occurrence, until the driver takes them."""

    def __init__(self) -> None:
        self._notices: list[Notice] = []

    def add(self, kind: NoticeKind, shard: Shard | None = None, token: int = 0, reason: str = "") -> None:
        """Append one notice."""
        self._notices.append(Notice(kind, shard, token, reason))

    def take_all(self) -> list[Notice]:
        """Remove and return all notices, the oldest first."""
        notices = self._notices
        self._notices = []
        return notices
