"""What a process reports of its load, and its encoding: 15 bytes, or 20 characters of text in a header."""

from __future__ import annotations

import base64
import binascii
from dataclasses import dataclass
from math import log2
from struct import Struct

# Incarnation, sequence, requests in flight, weighted load, slots, speed, desired share.
LAYOUT = Struct("<IIHHBBB")
ENCODED_SIZE = LAYOUT.size  # bytes
WEIGHTED_LOAD_STEPS = 16  # of one typical request
SPEED_STEPS_PER_DOUBLING = 16
SPEED_STEP_OF_ONE = 128  # the step of one typical request a second; step 0 is an unknown speed
MAX_U32, MAX_U16, MAX_U8 = (1 << 32) - 1, (1 << 16) - 1, 255
SEQUENCE_HALF = 1 << 31  # sequence numbers wrap: less than this ahead is newer (RFC 1982)


class LoadReportError(ValueError):
    """What came is no load report."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load of a process, as it measures it.

    Attributes:
        incarnation: drawn at random at each start of the process.
        sequence: grows with each report of one incarnation, and wraps at 32 bits.
        in_flight: requests that it has, queued or running.
        weighted_load: the same, each weighted by the duration of its class beside a typical request.
        slots: requests that it works on at one time.
        speed: typical requests that a slot which is never idle serves in a second; 0 while it is not known.
        desired_share: the part of its full share of the requests that it asks for, below 1 in slow start or while
            runs fail, 0 while it drains.
    """

    incarnation: int
    sequence: int
    in_flight: int
    weighted_load: float
    slots: int = 1
    speed: float = 0.0
    desired_share: float = 1.0


def _rounded_within(value: float, most: int) -> int:
    return max(0, min(most, round(value)))


def encode(report: LoadReport) -> bytes:
    """The report in bytes. A figure beyond its range is sent as the nearest that is within."""
    if report.speed > 0:
        speed_step = SPEED_STEP_OF_ONE + SPEED_STEPS_PER_DOUBLING * log2(report.speed)
        speed = max(1, _rounded_within(speed_step, MAX_U8))
    else:
        speed = 0
    return LAYOUT.pack(
        report.incarnation & MAX_U32,
        report.sequence & MAX_U32,
        _rounded_within(report.in_flight, MAX_U16),
        _rounded_within(report.weighted_load * WEIGHTED_LOAD_STEPS, MAX_U16),
        max(1, _rounded_within(report.slots, MAX_U8)),
        speed,
        _rounded_within(report.desired_share * MAX_U8, MAX_U8),
    )


def decode(data: bytes) -> LoadReport:
    """The report in ``data``. Raises ``LoadReportError``."""
    if len(data) != ENCODED_SIZE:
        raise LoadReportError(f"a load report has {ENCODED_SIZE} bytes, not {len(data)}")
    incarnation, sequence, in_flight, load, slots, speed_step, share = LAYOUT.unpack(data)
    if not slots:
        raise LoadReportError("a load report without slots")
    speed = 2.0 ** ((speed_step - SPEED_STEP_OF_ONE) / SPEED_STEPS_PER_DOUBLING) if speed_step else 0.0
    return LoadReport(incarnation, sequence, in_flight, load / WEIGHTED_LOAD_STEPS, slots, speed, share / MAX_U8)


def encode_text(report: LoadReport) -> str:
    """The report as the value of a header."""
    return base64.b64encode(encode(report)).decode().rstrip("=")


def decode_text(text: str) -> LoadReport:
    """The report in the value of a header. Raises ``LoadReportError``."""
    padding = "=" * (-len(text) % 4)
    try:
        return decode(base64.b64decode(text + padding, validate=True))
    except (binascii.Error, ValueError) as error:
        raise LoadReportError(str(error)) from None


def is_newer(report: LoadReport, previous: LoadReport | None) -> bool:
    """Whether the report is of another incarnation, or a later one of the same."""
    if previous is None or report.incarnation != previous.incarnation:
        return True
    return 0 < (report.sequence - previous.sequence) & MAX_U32 < SEQUENCE_HALF
