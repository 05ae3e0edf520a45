"""The interpreter's protocol: commands as bytes, and what comes back as typed notices.

The protocol's themed words stand in this module alone; the rest of the program uses the names of the classes here.
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

    slow_start: bool  # whether the interpreter has just started and is still warming up
    uptime: float  # seconds since its start


@dataclass(frozen=True, slots=True)
class RunEnded:
    """``VALUE``: a run ended."""

    number: int  # of the notice; counts up
    attempt_id: str
    outcome: str  # the protocol's word for it
    elapsed: float  # seconds
    result: bytes


@dataclass(frozen=True, slots=True)
class GaugeReadings:
    """``TOPS``: the answer to ``encode_read_gauges``."""

    tag: str
    values: tuple[float, ...]  # in the order that the settings give


@dataclass(frozen=True, slots=True)
class HealthChecked:
    """``SMOKED``: the answer to ``encode_health_check``."""

    tag: str
    healthy: bool


@dataclass(frozen=True, slots=True)
class CommandRejected:
    """``ERROR``: a command was not carried out."""

    command: str  # the protocol's word
    attempt_id: str  # empty if the notice names none


@dataclass(frozen=True, slots=True)
class Trace:
    """``TRACE``: a line for people."""

    number: int  # of the notice; counts up
    text: str


Message = Banner | RunEnded | GaugeReadings | HealthChecked | CommandRejected | Trace


def encode_connect(last: int) -> bytes:
    """``CONNECT``: the first command; ``last`` is the number of the last notice that was received."""
    return b"CONNECT %d\r\n" % last


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
    """``TOP``: read the gauges; the answer carries the tag."""
    return b"TOP %s\r\n" % tag.encode()


def encode_health_check(tag: str) -> bytes:
    """``SMOKE``: check the interpreter's health; the answer carries the tag."""
    return b"SMOKE %s\r\n" % tag.encode()


class NoticeParser:
    """Parses the bytes received on one connection."""

    def __init__(self) -> None:
        self._lines = LineBuffer(MAX_LINE_BYTES)
        self._incomplete: tuple[RunEnded, int] | None = None  # a run whose result is still to come, and its size

    def feed(self, data: bytes) -> Iterator[Message]:
        """The notices that are complete now. Raises ``ProtocolError``; the connection cannot be read any further."""
        self._lines.feed(data)
        while (message := self._next()) is not None:
            yield message

    def _next(self) -> Message | None:
        """The next complete notice."""
        while self._incomplete is None:
            line = self._lines.line()
            if line is None:
                return None
            try:
                message = self._parse_line(line.decode())
            except ProtocolError:
                raise
            except (ValueError, IndexError):
                raise ProtocolError(f"not a notice: {line[:80]!r}") from None
            if message is not None:
                return message
        return self._complete_result(*self._incomplete)

    def _complete_result(self, run: RunEnded, size: int) -> RunEnded | None:
        block = self._lines.block(size + len(LINE_END))
        if block is None:
            return None
        if block[size:] != LINE_END:
            raise ProtocolError("a result does not end where its length says")
        self._incomplete = None
        return RunEnded(run.number, run.attempt_id, run.outcome, run.elapsed, block[:size])

    def _parse_line(self, line: str) -> Message | None:
        """The notice of a line; ``None`` if its result follows."""
        words = line.split(" ")
        match words[0]:
            case "VALUE":
                self._begin_result(words)
                return None
            case "TOPS":
                return GaugeReadings(words[1], tuple(float(word) for word in words[2:]))
            case "BANNER":
                return Banner(words[1] == "COLD", float(words[2]) / 1000)
            case "SMOKED":
                return HealthChecked(words[1], words[2] == "OK")
            case "ERROR":
                return CommandRejected(words[1], words[2] if len(words) > 2 else "")
            case "TRACE":
                return Trace(int(words[1]), " ".join(words[2:]))
        raise ProtocolError(f"unknown notice: {line[:80]!r}")

    def _begin_result(self, words: list[str]) -> None:
        size = int(words[5])
        if not 0 <= size <= MAX_RESULT_BYTES:
            raise TooLargeError(f"a result of {size} bytes")
        run = RunEnded(int(words[1]), words[2], words[3], float(words[4]) / 1000, b"")
        self._incomplete = run, size
