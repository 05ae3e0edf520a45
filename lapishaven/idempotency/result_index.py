"""In-memory index of the stored effects, from which repeated requests are answered. Does no I/O.

An intent is durable before the run starts, the result before the reply is sent. So after a kill, an effect with a
result is answered with it; one with only an intent may have run, so it is never run again and never reported as
rejected; one with neither never ran.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from lapishaven.core.ports import EffectState

INTENT, RESULT = b"I", b"R"  # first byte of a stored value
TIME_BYTES = 8  # length of the start time that follows: Unix milliseconds, little-endian
HEADER_BYTES = 1 + TIME_BYTES
MIN_EXPIRY_WAIT_S = 0.05


@dataclass(frozen=True, slots=True)
class Entry:
    """What is known of an effect. ``since`` is when it began, in Unix seconds."""

    effect_state: EffectState
    since: float
    result: bytes = b""


def encode(since: float, result: bytes | None) -> bytes:
    """Encode the stored value of a result, or of an intent if ``result`` is ``None``."""
    value_type = INTENT if result is None else RESULT
    return value_type + int(since * 1000).to_bytes(TIME_BYTES, "little") + (result or b"")


def decode(value: bytes) -> Entry:
    """Decode a stored value as seen by a later process. Raises ``ValueError`` if it is not valid."""
    value_type = value[:1]
    if len(value) < HEADER_BYTES or value_type not in (INTENT, RESULT):
        raise ValueError(f"not a stored effect: {len(value)} bytes that begin with {value[:HEADER_BYTES]!r}")
    since = int.from_bytes(value[1:HEADER_BYTES], "little") / 1000
    if value_type == RESULT:
        return Entry(EffectState.DONE, since, value[HEADER_BYTES:])
    return Entry(EffectState.UNCERTAIN, since)


class ResultIndex:
    """Effects by store key. They expire ``lifetime_s`` after they began and are never evicted earlier.

    The parameter ``wall`` is the current time in Unix seconds.
    """

    def __init__(self, lifetime_s: float) -> None:
        self.lifetime_s = lifetime_s
        self._entries: dict[bytes, Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def restore(self, store_key: bytes, entry: Entry) -> None:
        """Add an effect that an earlier process stored."""
        self._entries[store_key] = entry

    def find(self, wall: float, store_key: bytes) -> Entry:
        """What is known of an effect; its state is ``UNKNOWN`` if there is no entry or it has expired."""
        entry = self._entries.get(store_key)
        if entry is None or entry.since + self.lifetime_s <= wall:
            return Entry(EffectState.UNKNOWN, wall)
        return entry

    def mark_running(self, wall: float, store_key: bytes) -> None:
        """Note that the intent of a run is being recorded."""
        self._entries[store_key] = Entry(EffectState.IN_PROGRESS, wall)

    def mark_completed(self, wall: float, store_key: bytes, result: bytes) -> None:
        """Note that the result is durable."""
        since = self._entries[store_key].since if store_key in self._entries else wall
        self._entries[store_key] = Entry(EffectState.DONE, since, result)

    def mark_uncertain(self, store_key: bytes) -> None:
        """Note that the effect ran or may have run and has no result."""
        if (entry := self._entries.get(store_key)) is not None:
            self._entries[store_key] = Entry(EffectState.UNCERTAIN, entry.since)

    def remove(self, store_key: bytes) -> None:
        """Remove an effect that provably never ran."""
        self._entries.pop(store_key, None)

    def remove_expired(self, wall: float) -> int:
        """Remove effects past their lifetime; returns how many were removed."""
        expired = [store_key for store_key, entry in self._entries.items() if entry.since + self.lifetime_s <= wall]
        for store_key in expired:
            del self._entries[store_key]
        return len(expired)

    def uncertain_entries(self) -> Iterator[tuple[bytes, Entry]]:
        """Every effect that ran or may have run and has no result."""
        return (
            (store_key, entry)
            for store_key, entry in self._entries.items()
            if entry.effect_state is EffectState.UNCERTAIN
        )

    def next_expiry_in(self, wall: float) -> float | None:
        """Seconds until the oldest effect expires, at least ``MIN_EXPIRY_WAIT_S``; ``None`` if there is no effect."""
        oldest = min((entry.since for entry in self._entries.values()), default=None)
        return None if oldest is None else max(MIN_EXPIRY_WAIT_S, oldest + self.lifetime_s - wall)
