"""What is known of each effect, and so what a repeat of it is answered: the stored values, kept in memory. Pure.

An intent is durable before the run starts, the result before the reply leaves. So after a kill an effect with a result
is answered with it; one with an intent alone may have run, is never run again and never reported as rejected; one with
neither never ran.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from lapishaven.core.ports import EffectState

INTENT, RESULT = b"I", b"R"  # the first byte of a stored value
TIME_BYTES = 8  # the milliseconds after it, little-endian
HEADER_BYTES = 1 + TIME_BYTES
MIN_EXPIRY_WAIT_S = 0.05


@dataclass(frozen=True, slots=True)
class Entry:
    """What is known of one effect. ``since``: when it began, in Unix seconds."""

    effect_state: EffectState
    since: float
    result: bytes = b""


def encode(since: float, result: bytes | None) -> bytes:
    """The stored value of a result, or of an intent where it is ``None``."""
    kind = INTENT if result is None else RESULT
    return kind + int(since * 1000).to_bytes(TIME_BYTES, "little") + (result or b"")


def decode(value: bytes) -> Entry:
    """What a value says that an earlier process stored. Raises ``ValueError`` if it is none."""
    kind = value[:1]
    if len(value) < HEADER_BYTES or kind not in (INTENT, RESULT):
        raise ValueError("not the value of an effect")
    since = int.from_bytes(value[1:HEADER_BYTES], "little") / 1000
    if kind == RESULT:
        return Entry(EffectState.DONE, since, value[HEADER_BYTES:])
    return Entry(EffectState.UNCERTAIN, since)


class ResultIndex:
    """Effects by stored key. They expire ``lifetime_s`` after they began, and are not removed earlier to make room.

    The time ``wall`` is in Unix seconds.
    """

    def __init__(self, lifetime_s: float) -> None:
        self.lifetime_s = lifetime_s
        self._entries: dict[bytes, Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def restore(self, name: bytes, entry: Entry) -> None:
        """Take over what an earlier process stored."""
        self._entries[name] = entry

    def find(self, wall: float, name: bytes) -> Entry:
        """What is known of an effect."""
        entry = self._entries.get(name)
        if entry is None or entry.since + self.lifetime_s <= wall:
            return Entry(EffectState.UNKNOWN, wall)
        return entry

    def mark_running(self, wall: float, name: bytes) -> None:
        """A run of it is about to be recorded."""
        self._entries[name] = Entry(EffectState.IN_PROGRESS, wall)

    def mark_completed(self, wall: float, name: bytes, result: bytes) -> None:
        """Its result is durable."""
        since = self._entries[name].since if name in self._entries else wall
        self._entries[name] = Entry(EffectState.DONE, since, result)

    def mark_uncertain(self, name: bytes) -> None:
        """It ran, or may have, and gave no result."""
        if (entry := self._entries.get(name)) is not None:
            self._entries[name] = Entry(EffectState.UNCERTAIN, entry.since)

    def remove(self, name: bytes) -> None:
        """It provably never ran."""
        self._entries.pop(name, None)

    def remove_expired(self, wall: float) -> int:
        """Remove what is past its lifetime; returns how many."""
        expired = [name for name, entry in self._entries.items() if entry.since + self.lifetime_s <= wall]
        for name in expired:
            del self._entries[name]
        return len(expired)

    def uncertain_entries(self) -> Iterator[tuple[bytes, Entry]]:
        """Every effect that may have run without a result."""
        return ((name, entry) for name, entry in self._entries.items() if entry.effect_state is EffectState.UNCERTAIN)

    def next_expiry_in(self, wall: float) -> float | None:
        """Seconds until the oldest expires; ``None`` if there are none."""
        oldest = min((entry.since for entry in self._entries.values()), default=None)
        return None if oldest is None else max(MIN_EXPIRY_WAIT_S, oldest + self.lifetime_s - wall)
