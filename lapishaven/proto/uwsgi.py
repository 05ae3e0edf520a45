"""The uwsgi protocol, both sides of it: a binary packet of variables and a body, answered with an HTTP response."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from http import HTTPStatus
from struct import Struct

import h11

from lapishaven.proto import ProtocolError, TooLargeError

PACKET_HEADER = Struct("<BHB")  # modifier1, size of the variables in bytes, modifier2
STRING_LENGTH = Struct("<H")  # precedes each name and each value
MAX_VARIABLES_BYTES = 16 * 1024
MAX_VARIABLES = 256  # bounds the time that one head takes; a gateway sends some dozens
CONTENT_LENGTH = "CONTENT_LENGTH"
MAX_BODY_BYTES = 2048  # the same limit as in ``jsonrpc``
MAX_RESPONSE_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class Request:
    """A complete request."""

    variables: dict[str, str]  # those that the parser was asked for
    body: bytes


def _end_of_string(block: bytes, offset: int) -> int:
    """Where the string ends whose length stands at ``offset``. Raises ``ProtocolError``."""
    if offset + STRING_LENGTH.size > len(block):
        raise ProtocolError("a variable's length is cut short")
    (size,) = STRING_LENGTH.unpack_from(block, offset)
    end: int = offset + STRING_LENGTH.size + size
    if end > len(block):
        raise ProtocolError("a variable reaches past its packet")
    return end


def _parse_variables(block: bytes, names: Collection[str] | None) -> dict[str, str]:
    """The variables with these names, or all of them. Raises ``ProtocolError``.

    The others are passed over and not kept: a short variable takes many times its bytes as two strings in a dictionary.
    """
    variables: dict[str, str] = {}
    offset = count = 0
    while offset < len(block):
        count += 1
        if count > MAX_VARIABLES:
            raise TooLargeError(f"there are more than {MAX_VARIABLES} variables")
        name_end = _end_of_string(block, offset)
        if name_end == len(block):
            raise ProtocolError("a variable has no value")
        value_end = _end_of_string(block, name_end)
        name = block[offset + STRING_LENGTH.size : name_end].decode("latin-1")
        if names is None or name in names:
            variables[name] = block[name_end + STRING_LENGTH.size : value_end].decode("latin-1")
        offset = value_end
    return variables


class RequestParser:
    """Parses the single request of a connection; limits are checked as soon as a size field is received.

    What it holds of an incomplete request takes no more memory than a small multiple of the bytes received, as long as
    ``names`` are few.
    """

    def __init__(self, names: Collection[str] | None = None) -> None:
        """``names`` are those of the variables that are wanted; ``None``: all of them."""
        self._names = None if names is None else frozenset((*names, CONTENT_LENGTH))
        self._data = bytearray()  # the packet; once the variables are parsed, the body alone
        self._variables: dict[str, str] | None = None
        self._kept_bytes = 0  # size of the names and values in them
        self._body_bytes = 0  # size of the body, from CONTENT_LENGTH
        self.done = False

    @property
    def unfinished_bytes(self) -> int:
        """Bytes held of a request that is not complete."""
        return 0 if self.done else len(self._data) + self._kept_bytes

    def feed(self, data: bytes) -> Request | None:
        """The request once it is complete, else ``None``. Bytes after it are ignored. Raises ``ProtocolError``."""
        if self.done:
            return None
        self._data += data
        if self._variables is None and not self._read_variables():
            return None
        if len(self._data) < self._body_bytes:
            return None
        self.done = True
        assert self._variables is not None
        return Request(self._variables, bytes(self._data[: self._body_bytes]))

    def _read_variables(self) -> bool:
        if len(self._data) < PACKET_HEADER.size:
            return False
        modifier1, size, modifier2 = PACKET_HEADER.unpack_from(self._data)
        if modifier1 or modifier2:
            raise ProtocolError(f"modifiers {modifier1} and {modifier2} are not served here")
        if size > MAX_VARIABLES_BYTES:
            raise TooLargeError(f"the variables are longer than {MAX_VARIABLES_BYTES} bytes")
        if len(self._data) < PACKET_HEADER.size + size:
            return False
        block = bytes(self._data[PACKET_HEADER.size : PACKET_HEADER.size + size])
        self._variables = _parse_variables(block, self._names)
        self._kept_bytes = sum(len(name) + len(value) for name, value in self._variables.items())
        del self._data[: PACKET_HEADER.size + size]
        length = self._variables.get(CONTENT_LENGTH, "") or "0"
        if not (length.isascii() and length.isdigit()):
            raise ProtocolError("CONTENT_LENGTH is not a number")
        # The number of digits is checked first, because ``int`` raises ``ValueError`` for thousands of digits.
        if len(length) > 9 or int(length) > MAX_BODY_BYTES:
            raise TooLargeError(f"a body is longer than {MAX_BODY_BYTES} bytes")
        self._body_bytes = int(length)
        return True


def encode_response(
    status: HTTPStatus, body: bytes, content_type: str, headers: tuple[tuple[str, str], ...] = ()
) -> bytes:
    """Encode a complete HTTP response, after which the connection is closed."""
    lines = [f"HTTP/1.1 {status.value} {status.phrase}", f"Content-Type: {content_type}"]
    lines += [f"Content-Length: {len(body)}", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def encode_request(variables: dict[str, str], body: bytes = b"") -> bytes:
    """Encode a client's request."""
    block = bytearray()
    for name, value in {**variables, CONTENT_LENGTH: str(len(body))}.items():
        for string in (name.encode("latin-1"), value.encode("latin-1")):
            block += STRING_LENGTH.pack(len(string)) + string
    return PACKET_HEADER.pack(0, len(block), 0) + bytes(block) + body


@dataclass(frozen=True, slots=True)
class Response:
    """A complete HTTP response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class ResponseParser:
    """Parses the HTTP response to one request, with h11."""

    def __init__(self) -> None:
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=16 * 1024)
        # h11 parses a response only after a request was sent through it. The bytes of this one are discarded, because
        # the actual request is sent as a uwsgi packet.
        self._http.send(h11.Request(method="GET", target="/", headers=[("Host", "uwsgi")]))
        self._http.send(h11.EndOfMessage())
        self._head: h11.Response | None = None
        self._body = bytearray()

    def feed(self, data: bytes) -> Response | None:
        """The response once it is complete, else ``None``. Raises ``ProtocolError``."""
        return self._receive(data) if data else None

    def end_of_input(self) -> Response | None:
        """The response if the peer's orderly close completes it, as it does for one without a length.

        Only a FIN is such an end (RFC 9112, section 6.3 and 8). After a reset or any other end of the connection bytes
        may be missing, so this must not be called. Raises ``ProtocolError`` if the response is incomplete.
        """
        return self._receive(b"")

    def _receive(self, data: bytes) -> Response | None:
        try:
            self._http.receive_data(data)
            while (event := self._http.next_event()) is not h11.NEED_DATA:
                if isinstance(event, h11.Response):
                    self._head = event
                elif isinstance(event, h11.Data):
                    self._body += event.data
                    if len(self._body) > MAX_RESPONSE_BYTES:
                        raise TooLargeError(f"the uwsgi response body is longer than {MAX_RESPONSE_BYTES} bytes")
                elif isinstance(event, h11.EndOfMessage) and self._head is not None:
                    headers = {name.decode(): value.decode("latin-1") for name, value in self._head.headers}
                    return Response(self._head.status_code, headers, bytes(self._body))
                elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                    raise ProtocolError(f"the uwsgi response ended early, after {len(self._body)} body bytes")
        except h11.RemoteProtocolError as error:
            raise ProtocolError(str(error)) from None
        return None
