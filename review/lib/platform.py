"""A stand-in for the platform: starts match servers with the ``run`` command of the deploy file, and signals them."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

from lib.record import Record
from lib.settings import Address

ROOT = Path(__file__).resolve().parents[2]
INHERITED_FD = 3
READY_WITHIN_S = 30.0  # of a start; in an upgrade it is less
CONTROL_TIMEOUT_S = 1.0


class CannotRunError(RuntimeError):
    """The case could not be played, so nothing can be said about the rule."""


def free_port() -> int:
    """A port of 127.0.0.1 that is free now."""
    with socket.create_server(("127.0.0.1", 0)) as probe:
        port: int = probe.getsockname()[1]
        return port


def listening_socket() -> Address:
    """Open the callers' socket as descriptor 3, which every process inherits. Call it before anything else."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
    address: Address = listener.getsockname()[:2]
    descriptor = listener.detach()
    if descriptor != INHERITED_FD:
        os.dup2(descriptor, INHERITED_FD)
        os.close(descriptor)
    os.set_inheritable(INHERITED_FD, True)
    return address


class Server:
    """One match server process."""

    def __init__(self, name: str, process: subprocess.Popen[bytes], control: Address, config: Path) -> None:
        self.name = name
        self.process = process
        self.control = control
        self.config = config
        self.started_at = time.monotonic()


class Platform:
    """Holds the temporary folder and the processes of one trial; ``close`` ends all of them."""

    def __init__(self, record: Record, logs: Path) -> None:
        """The servers' own logs go to the file ``logs``."""
        self.record = record
        self.servers: list[Server] = []
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._log = logs.open("wb")
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            self._run_command = str(tomllib.load(file)["run"])

    def start(self, name: str, config: str, arguments: str = "", inherited: bool = False) -> Server:
        """Start ``run``, followed by ``arguments``, with this configuration."""
        path = self.folder / f"{name}.json"
        path.write_text(config)
        control = ("127.0.0.1", free_port())
        environment = {
            **os.environ,
            "NODE_CONFIG": str(path),
            "NODE_CONTROL": "{}:{}".format(*control),
            "TMPDIR": str(self.folder),
        }
        environment.pop("NODE_INHERITED_FD", None)
        if inherited:
            environment["NODE_INHERITED_FD"] = str(INHERITED_FD)
        process = subprocess.Popen(
            ["/bin/sh", "-c", f"{self._run_command} {arguments}"],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
            pass_fds=(INHERITED_FD,) if inherited else (),
        )
        server = Server(name, process, control, path)
        self.servers.append(server)
        self.record.add(f"start server={name}")
        return server

    async def ready(self, server: Server, within_s: float = READY_WITHIN_S) -> None:
        """Wait for a yes of ``/v1/readyz``."""
        while time.monotonic() < server.started_at + within_s:
            if server.process.poll() is not None:
                raise CannotRunError(f"server {server.name} ended with code {server.process.returncode}")
            if (await self.get(server, "/v1/readyz")).startswith(b"HTTP/1.1 200"):
                self.record.add(f"ready server={server.name}")
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"server {server.name} was not ready within {within_s:g} s")

    async def get(self, server: Server, path: str) -> bytes:
        """One call to the second address; empty if there was no answer."""
        try:
            async with asyncio.timeout(CONTROL_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*server.control)
                writer.write(f"GET {path} HTTP/1.1\r\nHost: platform\r\n\r\n".encode())
                data = await reader.read()
                writer.close()
                return data
        except (OSError, TimeoutError):
            return b""

    def signal(self, server: Server, number: signal.Signals) -> None:
        """Send a signal to a process that this trial started."""
        self.record.add(f"{number.name} server={server.name}")
        if server.process.poll() is None:
            server.process.send_signal(number)

    def replace(self, server: Server, config: str) -> None:
        """Replace the configuration file, and send SIGHUP."""
        new = server.config.with_suffix(".new")
        new.write_text(config)
        new.rename(server.config)
        self.signal(server, signal.SIGHUP)

    def close(self) -> None:
        """End every process and remove the temporary folder."""
        for server in self.servers:
            if server.process.poll() is None:
                server.process.send_signal(signal.SIGCONT)
                server.process.kill()
            server.process.wait()
        self._log.close()
        for path in sorted(self.folder.rglob("*"), reverse=True):
            with contextlib.suppress(OSError):
                path.rmdir() if path.is_dir() else path.unlink()
        with contextlib.suppress(OSError):
            self.folder.rmdir()
