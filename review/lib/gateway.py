"""A stand-in for a gateway that speaks uwsgi: one standard packet a connection, answered with an HTTP response."""

from __future__ import annotations

import asyncio
import struct
from dataclasses import dataclass

from lib.record import Record
from lib.settings import Address


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to one try; the status is 0 where the connection ended without one."""

    status: int
    body: bytes = b""
    retry_after_s: float = 0.0
    stop: bool = False


def packet(variables: dict[str, str], body: bytes) -> bytes:
    """Encode a request (modifiers 0)."""
    block = b""
    for name, value in {**variables, "CONTENT_LENGTH": str(len(body))}.items():
        for text in (name.encode(), value.encode()):
            block += struct.pack("<H", len(text)) + text
    return struct.pack("<BHB", 0, len(block), 0) + block + body


def parse(data: bytes) -> Answer:
    """The answer in all that was received."""
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    words = lines[0].split()
    if len(words) < 2 or not words[1].isdigit():
        return Answer(0)
    headers = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
    return Answer(int(words[1]), body, float(headers.get("retry-after", "0")), headers.get("x-stop") == "1")


class Gateway:
    """One gateway, with the caller number ``number``; it sends for one service of one team."""

    def __init__(self, record: Record, number: int, team: str, service: str) -> None:
        self._record = record
        self._number = number
        self._team = team
        self._service = service

    async def send(
        self, server: str, address: Address, class_name: str, request_id: str, body: bytes, again: bool = False
    ) -> Answer:
        """Send one try and wait for its answer; ``request_id`` names the effect, ``server`` is for the record."""
        variables = {
            "REQUEST_METHOD": "POST",
            "PATH_INFO": f"/match/{class_name}",
            "HTTP_X_REQUEST_ID": request_id,
            "HTTP_X_CALLER": str(self._number),
            "HTTP_X_TEAM": self._team,
            "HTTP_X_SERVICE": self._service,
        }
        if again:
            variables["HTTP_X_RETRY"] = "1"
        name = f"gateway={self._number} server={server} id={request_id} again={int(again)}"
        self._record.add(f"send  {name} class={class_name} body={body.decode()}")
        data = b""
        try:
            reader, writer = await asyncio.open_connection(*address)
            writer.write(packet(variables, body))
            data = await reader.read()
            writer.close()
        except ConnectionError:
            pass
        answer = parse(data)
        self._record.add(f"reply {name} status={answer.status} body={answer.body.decode(errors='replace')}")
        return answer
