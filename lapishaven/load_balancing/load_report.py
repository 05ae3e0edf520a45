"""What a process says of its load: 15 bytes, or 20 characters of text."""

from __future__ import annotations

import base64
import binascii
from dataclasses import dataclass
from math import log2
from struct import Struct

WORD = Struct("<IIHHBBB")
SIZE = WORD.size
LOADS = 16  # steps of one usual request
OCTAVE, ONE = 16, 128  # steps of a doubling of speed, and where 1.0 a second is; step 0 is not known
U32, U16, U8 = (1 << 32) - 1, (1 << 16) - 1, 255


class LoadReportError(ValueError):
    """What came is no word of load."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """``start`` is drawn by each life of a process and ``number`` grows within it. ``open``: requests in hand.
    ``load``: the same, each counted by what its class takes beside a usual one. ``slots``: how many it works at at one
    time. ``speed``: usual requests that a slot which is never idle does in a second, as measured; 0 where it is not
    known yet. ``warm``: which part of its full share it wants, 0 while it leaves."""

    start: int
    number: int
    open: int
    load: float
    slots: int = 1
    speed: float = 0.0
    warm: float = 1.0


def _within(value: float, most: int) -> int:
    return max(0, min(most, round(value)))


def pack(news: LoadReport) -> bytes:
    """What does not fit is told as the most (or least) that does."""
    speed = max(1, _within(ONE + OCTAVE * log2(news.speed), U8)) if news.speed > 0 else 0
    return WORD.pack(
        news.start & U32,
        news.number & U32,
        _within(news.open, U16),
        _within(news.load * LOADS, U16),
        max(1, _within(news.slots, U8)),
        speed,
        _within(news.warm * U8, U8),
    )


def unpack(data: bytes) -> LoadReport:
    """Raises ``NewsError``."""
    if len(data) != SIZE:
        raise LoadReportError(f"a word of load has {SIZE} bytes, not {len(data)}")
    start, number, open_, load, slots, speed, warm = WORD.unpack(data)
    if not slots:
        raise LoadReportError("a word of load without slots")
    rate = 2.0 ** ((speed - ONE) / OCTAVE) if speed else 0.0
    return LoadReport(start, number, open_, load / LOADS, slots, rate, warm / U8)


def text(news: LoadReport) -> str:
    """For a header."""
    return base64.b64encode(pack(news)).decode().rstrip("=")


def parse(word: str) -> LoadReport:
    """Raises ``NewsError``."""
    try:
        return unpack(base64.b64decode(word + "=" * (-len(word) % 4), validate=True))
    except (binascii.Error, ValueError) as error:
        raise LoadReportError(str(error)) from None


def newer(word: LoadReport, than: LoadReport | None) -> bool:
    """Whether it is of another life, or a later word of the same one (numbers may wrap)."""
    return than is None or word.start != than.start or 0 < (word.number - than.number) & U32 < 1 << 31
