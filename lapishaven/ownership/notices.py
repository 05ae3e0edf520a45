"""Typed events of ownership, for operators, duties and tests."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lapishaven.ownership.model import Shard


class NoticeKind(Enum):
    """What happened. The values are the words that are logged (``docs/operators/ownership.md``)."""

    JOINED = "joined"
    NAME_TAKEN = "name taken"
    SESSION_ENDED = "out"
    DRAINING = "leaving"
    SHARD_GAINED = "gained"
    SHARD_LOST = "lost"
    SHARD_TRANSFERRED = "handed"
    OUTCOME_UNCERTAIN = "doubt"
    EFFECT_REJECTED = "refused"
    # From here on: events of the agent and the participant.
    EFFECT_ACKNOWLEDGED = "acked"
    EFFECT_STALE = "stale"
    RECEIVER_BEHIND = "behind"
    FAILED = "failed"
    RESTARTING = "restarting"
    OVERLOADED = "overloaded"


@dataclass(frozen=True, slots=True)
class Notice:
    """One event of a member. ``token`` is 0 and ``reason`` empty where there is none."""

    kind: NoticeKind
    shard: Shard | None = None
    token: int = 0
    reason: str = ""


class NoticeQueue:
    """Notices in order, until the driver takes them."""

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
