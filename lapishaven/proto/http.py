"""HTTP/1.1 for the control address: one request a connection, its head only; sans-IO.

Only ``GET`` without a body is served there, so the head is all that is read: the request line and the header
fields up to the empty line, 8 KiB at most.
"""

from __future__ import annotations

from dataclasses import dataclass

from lapishaven.proto import ProtocolError, TooLarge

HEAD_LIMIT = 8 * 1024  # bytes of a request line and its fields together
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 503: "Service Unavailable"}


@dataclass(frozen=True, slots=True)
class Head:
    method: str
    target: str  # the path, without a query


class HeadReader:
    """Fed bytes until ``feed`` gives the head; raises ``ProtocolError`` (``TooLarge`` past 8 KiB)."""

    def __init__(self) -> None:
        self._got = b""

    def feed(self, data: bytes) -> Head | None:
        self._got += data
        end = self._got.find(b"\r\n\r\n")
        if end < 0:
            # A bare LF ends a head too, as RFC 9112 lets a server accept.
            end = self._got.find(b"\n\n")
        if end < 0:
            if len(self._got) > HEAD_LIMIT:
                raise TooLarge("the request head is over 8 KiB")
            return None
        if end > HEAD_LIMIT:
            raise TooLarge("the request head is over 8 KiB")
        line = self._got[:end].split(b"\n", 1)[0].rstrip(b"\r")
        parts = line.split(b" ")
        if len(parts) != 3 or not parts[2].startswith(b"HTTP/1.") or not parts[0].isalpha():
            raise ProtocolError("the request line is not METHOD TARGET HTTP/1.x")
        try:
            target = parts[1].decode("ascii")
        except UnicodeDecodeError:
            raise ProtocolError("the target is not ASCII") from None
        return Head(parts[0].decode("ascii"), target.split("?", 1)[0])


def response(status: int, body: bytes, kind: str = "text/plain; charset=utf-8") -> bytes:
    """A whole response that closes its connection."""
    head = (
        f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\nContent-Type: {kind}\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\nCache-Control: no-store\r\n\r\n"
    )
    return head.encode("ascii") + body
