"""Encodes records of the shared log as lines of text. Pure.

A line is a CRC-32 of the rest in hex, the id of the process that wrote it, a sequence number that makes it unique, the
record's type, the Unix time from which on it means nothing, and its fields as a JSON array. JSON escapes line ends and
base64 has none, so a line end always ends a record, and what follows a damaged one can be read.
"""

from __future__ import annotations

import json
from base64 import b64decode, b64encode
from dataclasses import dataclass
from json.encoder import encode_basestring_ascii
from zlib import crc32

from lapishaven.core.effect_records import ClaimWithdrawn, EffectAwaited, EffectClaim, EffectEnded, EffectRecord

CRC_HEX_LENGTH = 8
LINE_WORDS = 6
TYPE_WORDS: dict[type, bytes] = {
    EffectClaim: b"claim",
    ClaimWithdrawn: b"withdrawn",
    EffectAwaited: b"awaited",
    EffectEnded: b"ended",
}
NO_RESULT = b"-"  # base64 has no such character
SEAL_WORD = b"seal"  # the last record of a segment


class RecordError(ValueError):
    """A line is not a record: it was cut short, is damaged, or is of a version that this one does not know."""


@dataclass(frozen=True, slots=True)
class Line:
    """The words of a line whose checksum is right; the fields are decoded only where they are wanted."""

    owner: str
    type_word: bytes
    expires_at: float  # Unix seconds
    fields: bytes

    @property
    def is_seal(self) -> bool:
        """Whether the line seals its segment."""
        return self.type_word == SEAL_WORD


def encode(record: EffectRecord, sequence: int) -> bytes:
    """The line of a record, without its line end."""
    expires_at = 0.0
    if isinstance(record, EffectClaim):
        expires_at = max(record.attempt_expires_at, record.effect_expires_at)
    elif isinstance(record, EffectEnded):
        expires_at = record.expires_at
    return _line(record.owner, sequence, TYPE_WORDS[type(record)], expires_at, _fields(record))


def encode_seal(owner: str, sequence: int) -> bytes:
    """The line that seals a segment."""
    return _line(owner, sequence, SEAL_WORD, 0.0, b"[]")


def _line(owner: str, sequence: int, type_word: bytes, expires_at: float, fields: bytes) -> bytes:
    rest = b"%s %d %s %.3f %s" % (owner.encode(), sequence, type_word, expires_at, fields)
    return b"%08x %s" % (crc32(rest), rest)


def _fields(record: EffectRecord) -> bytes:
    """A JSON array; behind that of an end a space and its result."""
    if isinstance(record, EffectEnded):
        result = NO_RESULT if record.result is None else b64encode(record.result)
        return _json([record.attempt_id, record.class_name, record.key]) + b" " + result
    if isinstance(record, EffectAwaited):
        return _json([record.class_name, record.key])
    if isinstance(record, ClaimWithdrawn):
        return _json([record.attempt_id, record.class_name, record.key])
    digest = None if record.body_digest is None else record.body_digest.hex()
    times = [record.claimed_at, record.attempt_expires_at, record.effect_expires_at]
    return _json([record.attempt_id, record.class_name, record.key, digest, *times])


def _json(fields: list[str | float | None]) -> bytes:
    """A JSON array; ``json.dumps`` makes a new encoder for each call, which takes longer than all the rest."""
    return f"[{', '.join(map(_json_value, fields))}]".encode()


def _json_value(value: str | float | None) -> str:
    if isinstance(value, str):
        return encode_basestring_ascii(value)
    return "null" if value is None else repr(value)


def parse(line: bytes) -> Line:
    """The words of a line. Raises ``RecordError``."""
    words = line.split(b" ", LINE_WORDS - 1)
    if len(words) != LINE_WORDS or words[0] != b"%08x" % crc32(line[CRC_HEX_LENGTH + 1 :]):
        raise RecordError(f"not a record of the effect log: {line[:60]!r}")
    try:
        return Line(words[1].decode(), words[3], float(words[4]), words[5])
    except ValueError as error:
        raise RecordError(f"not a record of the effect log: {line[:60]!r}") from error


def expiry_of(line: bytes) -> float:
    """The Unix time from which on an own line, as it was encoded, means nothing."""
    return float(line.split(b" ", LINE_WORDS - 1)[4])


def decode(line: Line) -> EffectRecord:
    """The record of a line that is no seal. Raises ``RecordError``."""
    try:
        if line.type_word == b"ended":
            text, _, encoded = line.fields.rpartition(b" ")
            attempt_id, class_name, key = json.loads(text)
            result = None if encoded == NO_RESULT else b64decode(encoded)
            return EffectEnded(line.owner, attempt_id, class_name, key, result, line.expires_at)
        fields = json.loads(line.fields)
        if line.type_word == b"claim":
            attempt_id, class_name, key, digest, *times = fields
            claimed_at, attempt_expires_at, effect_expires_at = map(float, times)
            body_digest = None if digest is None else bytes.fromhex(digest)
            return EffectClaim(
                line.owner, attempt_id, class_name, key, body_digest, claimed_at, attempt_expires_at, effect_expires_at
            )
        if line.type_word == b"withdrawn":
            return ClaimWithdrawn(line.owner, *fields)
        if line.type_word == b"awaited":
            return EffectAwaited(line.owner, *fields)
    except (ValueError, TypeError) as error:
        raise RecordError(f"a record of the effect log has wrong fields: {line.fields[:60]!r}") from error
    raise RecordError(f"a record of the effect log is of the unknown type {line.type_word[:20]!r}")
