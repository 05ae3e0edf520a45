"""What is known of each effect, and so what a repeat of it is told. Pure: the durable truth's copy in memory.

An intent is durable before the run starts, the result before the reply leaves. So after a kill an effect with a result
is answered with it; one with an intent alone may have run, is never run again and never said to be refused; one with
neither never ran.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from lapishaven.core.ports import EffectState

INTENT, RESULT = b"I", b"R"


class Standing(Enum):
    UNKNOWN = "unknown"  # it never ran, as far as its life is remembered
    GOING = "going"  # this life is at it
    DOUBT = "doubt"  # an intent of an earlier life, and no result
    DONE = "done"


EFFECT_STATES: dict[Standing, EffectState] = {
    Standing.UNKNOWN: EffectState.UNKNOWN,
    Standing.GOING: EffectState.IN_PROGRESS,
    Standing.DOUBT: EffectState.UNCERTAIN,
    Standing.DONE: EffectState.DONE,
}


@dataclass(frozen=True, slots=True)
class Entry:
    state: Standing
    since: float  # Unix seconds
    result: bytes = b""

    @property
    def effect_state(self) -> EffectState:
        """The state in the terms of the port ``core.ports.KnownEffect``."""
        return EFFECT_STATES[self.state]


def encode(since: float, result: bytes | None) -> bytes:
    """The stored value of an intent, or of a result."""
    mark = INTENT if result is None else RESULT
    return mark + int(since * 1000).to_bytes(8, "little") + (result or b"")


def decode(value: bytes) -> Entry:
    """What a stored value of an earlier life says; raises ``ValueError`` if it is none."""
    if len(value) < 9 or value[:1] not in (INTENT, RESULT):
        raise ValueError("not the value of an effect")
    since = int.from_bytes(value[1:9], "little") / 1000
    if value[:1] == RESULT:
        return Entry(Standing.DONE, since, value[9:])
    return Entry(Standing.DOUBT, since)


class ResultIndex:
    """Effects by name, aged out ``life`` seconds after they began. Nothing is forgotten early to make room."""

    def __init__(self, life: float) -> None:
        self.life = life
        self._entries: dict[bytes, Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def load(self, name: bytes, entry: Entry) -> None:
        self._entries[name] = entry

    def find(self, wall: float, name: bytes) -> Entry:
        entry = self._entries.get(name)
        if entry is None or entry.since + self.life <= wall:
            return Entry(Standing.UNKNOWN, wall)
        return entry

    def intend(self, wall: float, name: bytes) -> None:
        """A run of it is about to be recorded."""
        self._entries[name] = Entry(Standing.GOING, wall)

    def done(self, wall: float, name: bytes, result: bytes) -> None:
        since = self._entries[name].since if name in self._entries else wall
        self._entries[name] = Entry(Standing.DONE, since, result)

    def failed(self, name: bytes) -> None:
        """It ran, or may have, and gave no result: from now on that is all that is known."""
        if (entry := self._entries.get(name)) is not None:
            self._entries[name] = Entry(Standing.DOUBT, entry.since)

    def void(self, name: bytes) -> None:
        """It provably never ran."""
        self._entries.pop(name, None)

    def sweep(self, wall: float) -> int:
        """Let go of what is past its life; gives how many."""
        old = [name for name, entry in self._entries.items() if entry.since + self.life <= wall]
        for name in old:
            del self._entries[name]
        return len(old)

    def doubts(self) -> Iterator[tuple[bytes, Entry]]:
        return ((name, entry) for name, entry in self._entries.items() if entry.state is Standing.DOUBT)

    def frees_in(self, wall: float) -> float | None:
        """Seconds until the oldest is let go."""
        oldest = min((entry.since for entry in self._entries.values()), default=None)
        return None if oldest is None else max(0.05, oldest + self.life - wall)
