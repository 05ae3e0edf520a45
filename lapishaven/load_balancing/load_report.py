"""The load report of a process and its encoding: 15 bytes, or 20 characters of base64 in a header."""

from __future__ import annotations

import base64
import binascii
from dataclasses import dataclass
from math import log2
from struct import Struct

# Incarnation, sequence number, requests in flight, weighted load, slots, speed, desired share.
LAYOUT = Struct("<IIHHBBB")
ENCODED_SIZE = LAYOUT.size
WEIGHTED_LOAD_STEPS = 16  # encoding steps per typical request
SPEED_STEPS_PER_DOUBLING = 16
SPEED_STEP_OF_ONE = 128  # encodes one typical request per second; 0 encodes an unknown speed
MAX_U32, MAX_U16, MAX_U8 = (1 << 32) - 1, (1 << 16) - 1, 255
SEQUENCE_HALF = 1 << 31  # sequence numbers wrap: a number ahead by less than this is newer (RFC 1982)


class LoadReportError(ValueError):
    """The data is not a valid load report."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load of a process, as measured by itself.

    Attributes:
        incarnation: a random number chosen at each start of the process.
        sequence: incremented with each report of an incarnation; wraps at 32 bits.
        in_flight: number of requests queued or running.
        weighted_load: the same, with each request weighted by the mean duration of its class relative to a typical
            request.
        slots: number of requests that the process runs concurrently.
        speed: typical requests that a busy slot serves per second; 0 if unknown.
        desired_share: the fraction of its full share of requests that the process asks for: below 1 during slow start
            or while runs fail, 0 while it drains.
    """

    incarnation: int
    sequence: int
    in_flight: int
    weighted_load: float
    slots: int = 1
    speed: float = 0.0
    desired_share: float = 1.0


def _round_and_clamp(value: float, maximum: int) -> int:
    return max(0, min(maximum, round(value)))


def encode(report: LoadReport) -> bytes:
    """Encode a report as bytes. Values outside the range of their field are clamped."""
    if report.speed > 0:
        speed_step = SPEED_STEP_OF_ONE + SPEED_STEPS_PER_DOUBLING * log2(report.speed)
        speed = max(1, _round_and_clamp(speed_step, MAX_U8))
    else:
        speed = 0
    return LAYOUT.pack(
        report.incarnation & MAX_U32,
        report.sequence & MAX_U32,
        _round_and_clamp(report.in_flight, MAX_U16),
        _round_and_clamp(report.weighted_load * WEIGHTED_LOAD_STEPS, MAX_U16),
        max(1, _round_and_clamp(report.slots, MAX_U8)),
        speed,
        _round_and_clamp(report.desired_share * MAX_U8, MAX_U8),
    )


def decode(data: bytes) -> LoadReport:
    """Decode a report from bytes. Raises ``LoadReportError``."""
    if len(data) != ENCODED_SIZE:
        raise LoadReportError(f"malformed load report: got {len(data)} bytes, expected {ENCODED_SIZE}")
    incarnation, sequence, in_flight, load, slots, speed_step, share = LAYOUT.unpack(data)
    if not slots:
        raise LoadReportError(f"malformed load report: got 0 slots, expected 1 to {MAX_U8}")
    speed = 2.0 ** ((speed_step - SPEED_STEP_OF_ONE) / SPEED_STEPS_PER_DOUBLING) if speed_step else 0.0
    return LoadReport(incarnation, sequence, in_flight, load / WEIGHTED_LOAD_STEPS, slots, speed, share / MAX_U8)


def encode_text(report: LoadReport) -> str:
    """Encode a report as a header value."""
    return base64.b64encode(encode(report)).decode().rstrip("=")


def decode_text(text: str) -> LoadReport:
    """Decode a report from a header value. Raises ``LoadReportError``."""
    padding = "=" * (-len(text) % 4)
    try:
        return decode(base64.b64decode(text + padding, validate=True))
    except (binascii.Error, ValueError) as error:
        raise LoadReportError(str(error)) from None


def is_newer(report: LoadReport, previous: LoadReport | None) -> bool:
    """Whether the report is a later one of the same incarnation, or of another incarnation."""
    if previous is None or report.incarnation != previous.incarnation:
        return True
    return 0 < (report.sequence - previous.sequence) & MAX_U32 < SEQUENCE_HALF
