"""A stand-in for the platform during upgrades: it holds the callers' listening socket and passes it to servers.

As on the platform, every match server process inherits the one listening socket (its number in
``$NODE_INHERITED_FD``) and gets a control address of its own (``$NODE_CONTROL``). An upgrade starts a new process
while the old one serves, waits up to ``READY_TIMEOUT_S`` for ``/v1/readyz`` of the new one to succeed, then sends the
old one SIGTERM. If that is still running after the longest deadline, of which at most ``MAX_COUNTED_DEADLINE_S``
count, plus ``KILL_MARGIN_S``, it gets SIGKILL. A process that ends without a signal from the platform has crashed.

``Platform`` signals only the processes that it started, by their id.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from lapishaven.lab.ports import Ports

READY_TIMEOUT_S = 6.0  # from the start of a process until it is ready
MAX_COUNTED_DEADLINE_S = 3.0  # a longer deadline counts as this much
KILL_MARGIN_S = 0.7  # from the longest counted deadline to SIGKILL
READYZ_POLL_INTERVAL_S = 0.05
CONTROL_CALL_TIMEOUT_S = 1.0  # the platform's own time-out for calls to the control address
ROOT = Path(__file__).parent.parent.parent.parent


class PlatformError(RuntimeError):
    """A server process crashed, did not become ready in time, or could not be started."""


def kill_after(deadlines: Sequence[float]) -> float:
    """Seconds from SIGTERM to SIGKILL, for request classes with these deadlines in seconds."""
    return min(max(deadlines, default=0.0), MAX_COUNTED_DEADLINE_S) + KILL_MARGIN_S


@dataclass(slots=True)
class Process:
    """A match server process. Times are in seconds on the loop's clock."""

    name: str
    control: tuple[str, int]
    child: asyncio.subprocess.Process
    started_at: float
    ready_at: float | None = None
    terminated_at: float | None = None  # when SIGTERM was sent
    killed: bool = False  # by SIGKILL, as it outlasted the time after SIGTERM
    exit_code: int | None = None
    end_expected: bool = False  # its end is not a crash
    log: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Handover:
    """What a handover took.

    ``ready_s`` runs from the start of the new process until it was ready, ``left_s`` from SIGTERM to the end of the old
    process, whose exit code is ``old_code``.
    """

    ready_s: float
    left_s: float
    killed: bool
    old_code: int | None


class Platform:
    """``async with Platform(host, folder) as platform``: ``platform.address`` is where callers connect."""

    def __init__(
        self,
        host: str,
        folder: Path,
        *,
        on_terminate: Callable[[float, str], None] = lambda at, name: None,
        serve_arguments: Sequence[str] = (),
        inherit: bool = True,
    ) -> None:
        """With ``inherit`` the platform holds the callers' socket; without it each process binds its own address.

        ``on_terminate`` is called with the time and the process name at each SIGTERM; ``serve_arguments`` are further
        arguments of ``lapishaven serve``.
        """
        self.host, self.folder, self._on_terminate, self._serve_arguments, self.inherit = (
            host,
            folder,
            on_terminate,
            serve_arguments,
            inherit,
        )
        self.ports = Ports()
        self.processes: list[Process] = []
        self.crashes: list[str] = []
        self._watchers: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Platform:
        self.loop = asyncio.get_running_loop()
        self.listener: socket.socket | None = None
        self.address: tuple[str, int] = (self.host, 0)
        if self.inherit:
            self.listener = socket.create_server((self.host, 0), backlog=1024)
            self.listener.set_inheritable(True)
            self.address = self.listener.getsockname()[:2]
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in self.processes:
            await self.signal_and_wait(process, signal.SIGKILL)
        for task in list(self._watchers):
            task.cancel()
        await asyncio.gather(*self._watchers, return_exceptions=True)
        self.ports.close()
        if self.listener is not None:
            self.listener.close()

    async def start(self, name: str, config: str) -> Process:
        """Start ``lapishaven serve`` with this configuration (JSON), on the held socket if there is one."""
        path = self.folder / f"{name}.json"
        path.write_text(config)
        control = self.ports.take(self.host)
        env = {
            **os.environ,
            "PYTHONPATH": str(ROOT),
            "NODE_CONTROL": "{}:{}".format(*control),
            "TMPDIR": str(self.folder),  # shared by all processes, and not emptied
        }
        env.pop("NODE_INHERITED_FD", None)
        inherited_fds: tuple[int, ...] = ()
        if self.listener is not None:
            env["NODE_INHERITED_FD"] = str(self.listener.fileno())
            inherited_fds = (self.listener.fileno(),)
        try:
            child = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "lapishaven",
                "serve",
                "--config",
                str(path),
                *self._serve_arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.DEVNULL,
                stderr=asyncio.subprocess.PIPE,
                pass_fds=inherited_fds,
                cwd=ROOT,
                env=env,
            )
        except OSError as error:
            raise PlatformError(f"cannot start server process {name} with {path}: {error.strerror or error}") from None
        process = Process(name, control, child, self.loop.time())
        self.processes.append(process)
        task = self.loop.create_task(self._watch(process))
        self._watchers.add(task)
        task.add_done_callback(self._watchers.discard)
        return process

    async def _watch(self, process: Process) -> None:
        assert process.child.stderr is not None
        while line := await process.child.stderr.readline():
            process.log.append(line.decode(errors="replace").rstrip())
        process.exit_code = await process.child.wait()
        if not process.end_expected:
            self.crashes.append(f"server process {process.name} ended unexpectedly with exit code {process.exit_code}")

    async def readyz(self, process: Process) -> bool:
        """Whether the process answers ``/v1/readyz`` with success within ``CONTROL_CALL_TIMEOUT_S``."""
        answer = await self.control_get(process, "/v1/readyz")
        return answer is not None and answer[0] == 200

    async def control_get(self, process: Process, path: str) -> tuple[int, bytes] | None:
        """``GET path`` on the control address: status and body, or None if no complete response came in time."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*process.control), CONTROL_CALL_TIMEOUT_S)
        except (OSError, TimeoutError):
            return None
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n".encode())
            data = await asyncio.wait_for(reader.read(), CONTROL_CALL_TIMEOUT_S)
            head, _, body = data.partition(b"\r\n\r\n")
            words = head.split(b" ", 2)
            return (int(words[1]), body) if len(words) > 1 and words[1].isdigit() else None
        except (OSError, TimeoutError):
            return None
        finally:
            writer.close()
            with contextlib.suppress(OSError):
                await writer.wait_closed()

    async def ready(self, process: Process, within: float = READY_TIMEOUT_S) -> float:
        """Wait until the process is ready, and return when it was.

        Raises ``PlatformError`` on a crash, or if it is not ready within ``within`` seconds of its start.
        """
        deadline = process.started_at + within
        while self.loop.time() < deadline:
            if process.exit_code is not None or self.crashes:
                raise PlatformError(
                    self.crashes[0]
                    if self.crashes
                    else f"server process {process.name} ended with exit code {process.exit_code} before it was ready"
                )
            if await self.readyz(process):
                process.ready_at = self.loop.time()
                return process.ready_at
            await asyncio.sleep(READYZ_POLL_INTERVAL_S)
        tail = "; ".join(process.log[-3:])
        raise PlatformError(
            f"/v1/readyz of {process.name} did not succeed within {within:g} s of start{': ' + tail if tail else ''}"
        )

    async def upgrade(self, old: Process, name: str, config: str, deadlines: Sequence[float]) -> Handover:
        """Start ``name`` beside ``old``; once it is ready, end ``old`` by SIGTERM or, if that takes long, SIGKILL."""
        new = await self.start(name, config)
        ready_at = await self.ready(new)
        left_s = await self.terminate(old, kill_after(deadlines))
        return Handover(ready_at - new.started_at, left_s, old.killed, old.child.returncode)

    async def restart(self, old: Process, name: str, config: str, deadlines: Sequence[float]) -> Handover:
        """The naive baseline: end ``old``, and only then start ``name``."""
        left_s = await self.terminate(old, kill_after(deadlines))
        new = await self.start(name, config)
        ready_at = await self.ready(new)
        return Handover(ready_at - new.started_at, left_s, old.killed, old.child.returncode)

    def reload(self, process: Process, config: str) -> None:
        """Replace the process's configuration file, and send SIGHUP."""
        path = self.folder / f"{process.name}.json"
        new_path = path.with_suffix(".new")
        new_path.write_text(config)
        new_path.rename(path)
        if process.child.returncode is None:
            process.child.send_signal(signal.SIGHUP)

    async def terminate(self, process: Process, kill_after: float) -> float:
        """Send SIGTERM, and SIGKILL after ``kill_after`` seconds; return the seconds until the process had ended."""
        process.end_expected = True
        process.terminated_at = self.loop.time()
        self._on_terminate(process.terminated_at, process.name)
        process.child.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(asyncio.shield(process.child.wait()), kill_after)
        except TimeoutError:
            process.killed = True
            await self.signal_and_wait(process, signal.SIGKILL)
        return self.loop.time() - process.terminated_at

    async def kill(self, process: Process) -> None:
        """End a process with SIGKILL, without notice."""
        await self.signal_and_wait(process, signal.SIGKILL)

    async def signal_and_wait(self, process: Process, signal_number: signal.Signals) -> None:
        """Send a signal to a process that still runs, and wait for its end."""
        if process.child.returncode is None:
            process.end_expected = True
            process.child.send_signal(signal_number)
            await process.child.wait()
