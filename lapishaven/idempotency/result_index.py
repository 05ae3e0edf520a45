"""In-memory index of the stored effects, from which repeated requests are answered. Does no I/O.

An intent is durable before the run starts, the result before the reply is sent. So after a kill, an effect with a
result is answered with it; one with only an intent may have run, so it is never run again and never reported as
rejected; one with neither never ran.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from lapishaven.core.ports import EffectState
from lapishaven.core.requests import BODY_DIGEST_BYTES

# First byte of a stored value. Earlier versions kept no digest of the body: an intent of theirs has nothing after the
# start time, and a result of theirs is a ``RESULT_WITHOUT_DIGEST``. They take an intent with a digest as their own.
INTENT, RESULT, RESULT_WITHOUT_DIGEST = b"I", b"D", b"R"
TIME_BYTES = 8  # length of the start time that follows: Unix milliseconds, little-endian
HEADER_BYTES = 1 + TIME_BYTES
MIN_BYTES_BY_TYPE = {
    INTENT: HEADER_BYTES,
    RESULT: HEADER_BYTES + BODY_DIGEST_BYTES,
    RESULT_WITHOUT_DIGEST: HEADER_BYTES,
}
MIN_EXPIRY_WAIT_S = 0.05


@dataclass(frozen=True, slots=True)
class Entry:
    """What is known of an effect.

    ``since`` is when it began, in Unix seconds, ``body_digest`` of the body that its key stands for; ``None`` if an
    earlier version stored it without.
    """

    effect_state: EffectState
    since: float
    result: bytes = b""
    body_digest: bytes | None = None


def encode(since: float, result: bytes | None, body_digest: bytes | None = None) -> bytes:
    """Encode the stored value of a result, or of an intent if ``result`` is ``None``."""
    value_type = INTENT
    if result is not None:
        value_type = RESULT_WITHOUT_DIGEST if body_digest is None else RESULT
    return value_type + int(since * 1000).to_bytes(TIME_BYTES, "little") + (body_digest or b"") + (result or b"")


def decode(value: bytes) -> Entry:
    """Decode a stored value as seen by a later process. Raises ``ValueError`` if it is not valid."""
    value_type = value[:1]
    min_bytes = MIN_BYTES_BY_TYPE.get(value_type)
    if min_bytes is None or len(value) < min_bytes:
        raise ValueError(f"not a stored effect: {len(value)} bytes that begin with {value[:HEADER_BYTES]!r}")
    since = int.from_bytes(value[1:HEADER_BYTES], "little") / 1000
    if value_type == RESULT_WITHOUT_DIGEST:
        return Entry(EffectState.DONE, since, value[HEADER_BYTES:])
    body_digest = value[HEADER_BYTES : HEADER_BYTES + BODY_DIGEST_BYTES] or None
    if value_type == INTENT:
        return Entry(EffectState.UNCERTAIN, since, body_digest=body_digest)
    return Entry(EffectState.DONE, since, value[HEADER_BYTES + BODY_DIGEST_BYTES :], body_digest)


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

    def mark_running(self, wall: float, store_key: bytes, body_digest: bytes | None = None) -> None:
        """Note that the intent of a run is being recorded."""
        self._entries[store_key] = Entry(EffectState.IN_PROGRESS, wall, body_digest=body_digest)

    def mark_completed(self, wall: float, store_key: bytes, result: bytes) -> None:
        """Note that the result is durable."""
        entry = self._entries.get(store_key, Entry(EffectState.UNKNOWN, wall))
        self._entries[store_key] = Entry(EffectState.DONE, entry.since, result, entry.body_digest)

    def mark_uncertain(self, store_key: bytes) -> None:
        """Note that the effect ran or may have run and has no result."""
        if (entry := self._entries.get(store_key)) is not None:
            self._entries[store_key] = Entry(EffectState.UNCERTAIN, entry.since, body_digest=entry.body_digest)

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
