"""HTTP/1.1 for the admin server: one request per connection, without a body. h11 implements HTTP."""

from __future__ import annotations

import h11

from lapishaven.proto import ProtocolError

MAX_HEAD_BYTES = 8 * 1024  # request line and header fields together


class BadRequestError(ProtocolError):
    """The bytes are not a valid request. ``status`` is that of the response: 400, or 431 for a too large head."""

    def __init__(self, message: str, status: int) -> None:
        super().__init__(message)
        self.status = status


class RequestParser:
    """Parses one request and encodes its response."""

    def __init__(self) -> None:
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)

    def feed(self, data: bytes) -> tuple[str, str] | None:
        """Method and path (without the query) once the head is complete, else ``None``. Raises ``BadRequestError``."""
        try:
            self._http.receive_data(data)
            event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            raise BadRequestError(str(error), error.error_status_hint) from None
        if isinstance(event, h11.Request):
            return event.method.decode("ascii"), event.target.decode("ascii").split("?", 1)[0]
        if event is h11.NEED_DATA:
            return None
        raise BadRequestError("the connection ended before a whole request", 400)

    def response(self, status: int, body: bytes, content_type: str = "text/plain; charset=utf-8") -> bytes:
        """Encode the response, after which the connection is closed. Also possible after a ``BadRequestError``."""
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body))), ("Connection", "close")]
        events = (h11.Response(status_code=status, headers=headers), h11.Data(data=body), h11.EndOfMessage())
        return b"".join(self._http.send(event) or b"" for event in events)
