"""Polls the service registry for the endpoint list, and saves the last good list to a file."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable
from random import Random

from lapishaven.client.connection_pool import SocketFactory, connect
from lapishaven.client.endpoint_updates import APPLIED_VERDICTS
from lapishaven.client.policy import Policy
from lapishaven.client.settings import Settings, split_address
from lapishaven.proto import ProtocolError
from lapishaven.proto.catalog import MAX_LIST_BYTES, ListClient

POLL_JITTER = 0.1  # as a fraction of the poll interval, up and down
RECEIVE_BYTES = 65536


class EndpointListWatcher:
    """Polls the service registry every ``settings.catalog_rules.poll_s`` on one persistent connection.

    ``run_policy`` is called after each list, to execute the policy's actions.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        policy: Policy,
        random: Random,
        sockets: SocketFactory,
        run_policy: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._policy = policy
        self._random = random
        self._sockets = sockets
        self._run_policy = run_policy
        self._settings: Settings = policy.settings
        self._rules = policy.settings.catalog_rules
        self._sock: socket.socket | None = None
        self._reader: ListClient | None = None
        self._file_saved_at = float("-inf")

    # ---- Polls
    async def run(self) -> None:
        """Poll until cancelled. A failed poll is reported as an event; the next one comes at the usual interval."""
        address = split_address(self._settings.catalog, "catalog")
        try:
            while True:
                try:
                    async with asyncio.timeout(self._rules.timeout_s):
                        await self._poll(address)
                except (TimeoutError, OSError, ProtocolError) as error:
                    reason = f"polling {self._settings.catalog}: {error!r:.200}"
                    self._policy.engine.report(self._loop.time(), "catalog failed", error=reason)
                    self._disconnect()
                jitter = self._random.uniform(1 - POLL_JITTER, 1 + POLL_JITTER)
                await asyncio.sleep(self._rules.poll_s * jitter)
        finally:
            self._disconnect()

    def _disconnect(self) -> None:
        if self._sock is not None:
            self._sock.close()
        self._sock = None

    async def _poll(self, address: tuple[str, int]) -> None:
        sock, reader = await self._connection(address)
        membership = self._policy.membership
        request_delta = self._rules.deltas and not membership.needs_full_list
        await self._loop.sock_sendall(sock, reader.encode_request(membership.version_tag, request_delta))
        complete = False
        while not complete:
            complete, listing = reader.feed(await self._loop.sock_recv(sock, RECEIVE_BYTES))
        if listing is not None:
            verdict = self._policy.update_endpoints(self._loop.time(), listing)
            self._run_policy()
            if verdict in APPLIED_VERDICTS:
                self._save()

    async def _connection(self, address: tuple[str, int]) -> tuple[socket.socket, ListClient]:
        """Return the persistent connection, or a new one if the last response ended it."""
        if self._sock is not None and self._reader is not None and self._reader.reusable:
            return self._sock, self._reader
        self._disconnect()
        host, port = address
        self._sock = await connect(self._loop, self._sockets, address, self._rules.timeout_s)
        self._reader = ListClient(f"{host}:{port}")
        return self._sock, self._reader

    # ---- The last good list across restarts
    def restore(self) -> None:
        """Apply the list that an earlier process saved.

        A missing, unreadable or malformed file is treated as no list: the client starts with the registry's list. An
        unreadable or malformed one is reported as an event.
        """
        if not self._rules.file:
            return
        try:
            with open(self._rules.file, "rb") as file:
                data = file.read(MAX_LIST_BYTES + 1)
            self._policy.restore_endpoints(self._loop.time(), data)
            self._run_policy()
        except FileNotFoundError:
            pass
        except (OSError, ProtocolError) as error:
            reason = f"reading {self._rules.file}: {error!r:.200}"
            self._policy.engine.report(self._loop.time(), "list file unreadable", error=reason)

    def _save(self) -> None:
        """Replace the file atomically (write a temporary file, then rename it), at most once every ``save_s``."""
        path, now = self._rules.file, self._loop.time()
        if not path or now < self._file_saved_at + self._rules.save_s:
            return
        self._file_saved_at = now
        partial_path = f"{path}.part"
        try:
            with open(partial_path, "wb") as file:
                file.write(self._policy.membership.serialize())
                file.flush()
                os.fsync(file.fileno())
            os.replace(partial_path, path)
        except OSError as error:
            reason = f"writing {path}: {error!r:.200}"
            self._policy.engine.report(self._loop.time(), "list file unwritable", error=reason)
