"""The catalog's HTTP: one report at a time over a connection that is kept."""

from __future__ import annotations

import json

import h11

from lapishaven.proto import ProtocolError


class Client:
    """Builds reports and reads their answers; h11 does the HTTP."""

    def __init__(self, host: str, name: str) -> None:
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=16 * 1024)
        self._host, self._path = host, f"/catalog/register/{name}"
        self._status: int | None = None

    def report(self, passing: bool) -> bytes:
        """The bytes of one report."""
        body = json.dumps({"status": "passing" if passing else "critical"}, separators=(",", ":")).encode()
        headers = [("Host", self._host), ("Content-Length", str(len(body)))]
        request = h11.Request(method="PUT", target=self._path, headers=headers)
        parts = (request, h11.Data(data=body), h11.EndOfMessage())
        return b"".join(self._http.send(part) or b"" for part in parts)

    def feed(self, data: bytes) -> int | None:
        """The status of the report's answer once it is whole."""
        try:
            self._http.receive_data(data)
            while True:
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return None
                if isinstance(event, h11.Response):
                    self._status = event.status_code
                elif isinstance(event, h11.EndOfMessage):
                    if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
                        self._http.start_next_cycle()
                    return self._status
                elif isinstance(event, h11.ConnectionClosed):
                    raise ProtocolError("the catalog closed the connection")
        except h11.RemoteProtocolError as error:
            raise ProtocolError(str(error)) from None

    @property
    def reusable(self) -> bool:
        return self._http.our_state is h11.IDLE
