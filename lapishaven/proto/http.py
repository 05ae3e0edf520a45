"""HTTP/1.1 for the control address, server side: one call a connection, its head only; h11 does the HTTP."""

from __future__ import annotations

import h11

from lapishaven.proto import ProtocolError

HEAD_LIMIT = 8 * 1024  # bytes of a request line and its fields together


class BadCall(ProtocolError):
    """What came is no request; ``status`` is the one to answer with (400, or 431 past 8 KiB)."""

    def __init__(self, text: str, status: int) -> None:
        super().__init__(text)
        self.status = status


class Calls:
    """Fed bytes until ``feed`` gives the method and the path (query left off); raises ``BadCall``."""

    def __init__(self) -> None:
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_LIMIT)

    def feed(self, data: bytes) -> tuple[str, str] | None:
        try:
            self._http.receive_data(data)
            event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            raise BadCall(str(error), error.error_status_hint) from None
        if isinstance(event, h11.Request):
            return event.method.decode("ascii"), event.target.decode("ascii").split("?", 1)[0]
        if event is h11.NEED_DATA:
            return None
        raise BadCall("the connection ended before a whole request", 400)

    def response(self, status: int, body: bytes, kind: str = "text/plain; charset=utf-8") -> bytes:
        """The whole response, after which the connection is closed; also after a ``BadCall``."""
        headers = [("Content-Type", kind), ("Content-Length", str(len(body))), ("Connection", "close")]
        events = (h11.Response(status_code=status, headers=headers), h11.Data(data=body), h11.EndOfMessage())
        return b"".join(self._http.send(event) or b"" for event in events)
