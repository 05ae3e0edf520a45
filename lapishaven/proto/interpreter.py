"""The interpreter's protocol: encodes commands and parses notices.

The rest of the program uses the class and function names below. The protocol's keywords leave this module only as the
values of ``RunEnded.outcome`` and ``CommandRejected.command``.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from lapishaven.proto import ProtocolError, TooLargeError
from lapishaven.proto.lines import LineBuffer

MAX_LINE_BYTES = 16 * 1024
MAX_RESULT_BYTES = 64 * 1024
LINE_END = b"\r\n"


@dataclass(frozen=True, slots=True)
class Banner:
    """``BANNER``: the first notice on a connection."""

    slow_start: bool  # whether the interpreter is still warming up after its start
    uptime_s: float


@dataclass(frozen=True, slots=True)
class RunEnded:
    """``VALUE``: a run ended."""

    number: int  # sequence number of the notice
    attempt_id: str
    outcome: str  # the protocol's keyword for how it ended
    elapsed_s: float
    result: bytes


@dataclass(frozen=True, slots=True)
class GaugeReadings:
    """``TOPS``: the response to ``encode_read_gauges``."""

    tag: str
    values: tuple[float, ...]  # in the order of the gauge names in the settings


@dataclass(frozen=True, slots=True)
class HealthChecked:
    """``SMOKED``: the response to ``encode_health_check``."""

    tag: str
    healthy: bool


@dataclass(frozen=True, slots=True)
class CommandRejected:
    """``ERROR``: a command was rejected."""

    command: str  # the protocol's keyword of the rejected command
    attempt_id: str  # empty if the notice has none


@dataclass(frozen=True, slots=True)
class Trace:
    """``TRACE``: a diagnostic message."""

    number: int  # sequence number of the notice
    text: str


Message = Banner | RunEnded | GaugeReadings | HealthChecked | CommandRejected | Trace


def encode_connect(last_received: int) -> bytes:
    """``CONNECT``: the first command, with the number of the last notice that was received."""
    return b"CONNECT %d\r\n" % last_received


def encode_start(attempt_id: str, class_name: str, body: bytes) -> bytes:
    """``APPLY``: start a run."""
    return b"APPLY %s %s %d\r\n%s\r\n" % (attempt_id.encode(), class_name.encode(), len(body), body)


def encode_pause(attempt_id: str) -> bytes:
    """``BREAK``: pause a run."""
    return b"BREAK %s\r\n" % attempt_id.encode()


def encode_resume(attempt_id: str) -> bytes:
    """``CONTINUE``: resume a paused run."""
    return b"CONTINUE %s\r\n" % attempt_id.encode()


def encode_read_gauges(tag: str) -> bytes:
    """``TOP``: read the gauges; the response carries the tag."""
    return b"TOP %s\r\n" % tag.encode()


def encode_health_check(tag: str) -> bytes:
    """``SMOKE``: check the interpreter's health; the response carries the tag."""
    return b"SMOKE %s\r\n" % tag.encode()


class NoticeParser:
    """Parses the notices received on one connection."""

    def __init__(self) -> None:
        self._lines = LineBuffer(MAX_LINE_BYTES)
        # A run whose result is not yet received completely, and the size of that result in bytes.
        self._incomplete: tuple[RunEnded, int] | None = None

    def feed(self, data: bytes) -> Iterator[Message]:
        """Yield the notices that ``data`` completes. After a ``ProtocolError`` the connection is unusable."""
        self._lines.feed(data)
        while (message := self._next()) is not None:
            yield message

    def _next(self) -> Message | None:
        """The next complete notice, or ``None``."""
        while self._incomplete is None:
            line = self._lines.line()
            if line is None:
                return None
            try:
                message = self._parse_line(line.decode())
            except ProtocolError:
                raise
            except (ValueError, IndexError):
                raise ProtocolError(f"malformed interpreter notice: {line[:80]!r}") from None
            if message is not None:
                return message
        return self._complete_result(*self._incomplete)

    def _complete_result(self, run: RunEnded, size: int) -> RunEnded | None:
        block = self._lines.block(size + len(LINE_END))
        if block is None:
            return None
        if block[size:] != LINE_END:
            raise ProtocolError(f"the {size}-byte result of attempt {run.attempt_id[:40]!r} is not followed by CRLF")
        self._incomplete = None
        return RunEnded(run.number, run.attempt_id, run.outcome, run.elapsed_s, block[:size])

    def _parse_line(self, line: str) -> Message | None:
        """The notice in a line; ``None`` for a ``VALUE`` line, whose result follows in the next bytes."""
        fields = line.split(" ")
        match fields[0]:
            case "VALUE":
                self._begin_result(fields)
                return None
            case "TOPS":
                return GaugeReadings(fields[1], tuple(float(field) for field in fields[2:]))
            case "BANNER":
                return Banner(fields[1] == "COLD", float(fields[2]) / 1000)
            case "SMOKED":
                return HealthChecked(fields[1], fields[2] == "OK")
            case "ERROR":
                return CommandRejected(fields[1], fields[2] if len(fields) > 2 else "")
            case "TRACE":
                return Trace(int(fields[1]), " ".join(fields[2:]))
        raise ProtocolError(f"unknown interpreter notice: {line[:80]!r}")

    def _begin_result(self, fields: list[str]) -> None:
        size = int(fields[5])
        if not 0 <= size <= MAX_RESULT_BYTES:
            raise TooLargeError(
                f"result of attempt {fields[2][:40]!r}: {fields[5][:20]} bytes, allowed are 0 to {MAX_RESULT_BYTES}"
            )
        run = RunEnded(int(fields[1]), fields[2], fields[3], float(fields[4]) / 1000, b"")
        self._incomplete = run, size
