"""A stand-in for the catalog: answers every report with 204."""

from __future__ import annotations

import asyncio

from lib.settings import Address


class Catalog:
    """Takes reports over HTTP/1.1 connections that stay open."""

    def __init__(self) -> None:
        self.address: Address = ("", 0)
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                for line in head.decode().lower().split("\r\n"):
                    if line.startswith("content-length:"):
                        await reader.readexactly(int(line.partition(":")[2]))
                writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()
