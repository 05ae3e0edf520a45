"""The interpreter's lines: commands as bytes, and what comes back as messages."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from lapishaven.proto import ProtocolError, TooLargeError
from lapishaven.proto.lines import Lines

LINE_LIMIT = 16 * 1024
RESULT_LIMIT = 64 * 1024


@dataclass(frozen=True, slots=True)
class Banner:
    cold: bool
    up_for: float  # seconds


@dataclass(frozen=True, slots=True)
class Value:
    number: int
    handle: str
    end: str
    spent: float
    result: bytes


@dataclass(frozen=True, slots=True)
class Tops:
    tag: str
    values: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Smoked:
    tag: str
    good: bool


@dataclass(frozen=True, slots=True)
class Rejected:
    """A command was not carried out."""

    command: str
    handle: str


@dataclass(frozen=True, slots=True)
class Trace:
    number: int
    text: str


Message = Banner | Value | Tops | Smoked | Rejected | Trace


def connect(last: int) -> bytes:
    return b"CONNECT %d\r\n" % last


def apply(handle: str, cls: str, body: bytes) -> bytes:
    return b"APPLY %s %s %d\r\n%s\r\n" % (handle.encode(), cls.encode(), len(body), body)


def pause(handle: str) -> bytes:
    return b"BREAK %s\r\n" % handle.encode()


def resume(handle: str) -> bytes:
    return b"CONTINUE %s\r\n" % handle.encode()


def top(tag: str) -> bytes:
    return b"TOP %s\r\n" % tag.encode()


def smoke(tag: str) -> bytes:
    return b"SMOKE %s\r\n" % tag.encode()


class Client:
    """One link's input."""

    def __init__(self) -> None:
        self._lines = Lines(LINE_LIMIT)
        self._value: tuple[Value, int] | None = None  # whose result is still to come, and its length

    def feed(self, data: bytes) -> Iterator[Message]:
        self._lines.feed(data)
        while True:
            if self._value is not None:
                value, size = self._value
                block = self._lines.block(size + 2)
                if block is None:
                    return
                if block[size:] != b"\r\n":
                    raise ProtocolError("a result does not end where its length says")
                self._value = None
                yield Value(value.number, value.handle, value.end, value.spent, block[:size])
                continue
            line = self._lines.line()
            if line is None:
                return
            try:
                message = self._message(line.decode())
            except (ValueError, IndexError) as error:
                if isinstance(error, ProtocolError):
                    raise
                raise ProtocolError(f"not a notice: {line[:80]!r}") from None
            if message is not None:
                yield message

    def _message(self, line: str) -> Message | None:
        words = line.split(" ")
        kind = words[0]
        if kind == "VALUE":
            size = int(words[5])
            if not 0 <= size <= RESULT_LIMIT:
                raise TooLargeError(f"a result of {size} bytes")
            self._value = Value(int(words[1]), words[2], words[3], float(words[4]) / 1000, b""), size
            return None
        if kind == "TOPS":
            return Tops(words[1], tuple(float(word) for word in words[2:]))
        if kind == "BANNER":
            return Banner(words[1] == "COLD", float(words[2]) / 1000)
        if kind == "SMOKED":
            return Smoked(words[1], words[2] == "OK")
        if kind == "ERROR":
            return Rejected(words[1], words[2] if len(words) > 2 else "")
        if kind == "TRACE":
            return Trace(int(words[1]), " ".join(words[2:]))
        raise ProtocolError(f"unknown notice: {line[:80]!r}")
