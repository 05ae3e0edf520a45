"""Starts many processes, reads their event histories as they are written, and ends each process by its id.

The kernel kills each process when the harness's process ends (``PR_SET_PDEATHSIG``), so a harness that is killed leaves
no process behind, not even a stopped one.
"""

from __future__ import annotations

import ctypes
import json
import os
import selectors
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent.parent.parent
Event = dict[str, Any]
_PDEATHSIG = 1
_libc = ctypes.CDLL(None)


STOPPED_STATE = "T"
STATE_POLL_S = 0.001


class HarnessError(RuntimeError):
    """An event or a process state was not reached in time, or a process that is to be started still runs."""


def _die_with_parent() -> None:
    _libc.prctl(_PDEATHSIG, signal.SIGKILL)


@dataclass(slots=True)
class ManagedProcess:
    """A process of the harness. ``exit_codes``: of all starts under its name, the earlier ones first."""

    name: str
    spec: dict[str, Any]
    popen: subprocess.Popen[bytes]
    module: str
    exit_codes: list[int] = field(default_factory=list)

    @property
    def pid(self) -> int:
        """The process id."""
        return self.popen.pid

    @property
    def alive(self) -> bool:
        """Whether the process has not ended."""
        return self.popen.poll() is None


def process_state(pid: int) -> str:
    """The kernel's state letter of a process (see proc(5)); empty if there is no such process."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
    except OSError:
        return ""


class ProcessHarness:
    """``with ProcessHarness() as harness``: files are kept in ``harness.folder`` until the end of the block."""

    def __init__(self, module: str = "lapishaven.lab.field.process") -> None:
        self._module = module
        self._temp = tempfile.TemporaryDirectory(prefix="lapishaven-field-")
        self.folder = Path(self._temp.name)
        self.processes: dict[str, ManagedProcess] = {}
        self.events: list[Event] = []  # of all processes, in the order in which they were read
        self._events_changed = threading.Condition()
        self._selector = selectors.DefaultSelector()
        self._closing = False
        self._partial_lines: dict[int, bytes] = {}
        self._reader = threading.Thread(target=self._read, daemon=True)

    def __enter__(self) -> ProcessHarness:
        self._reader.start()
        return self

    def __exit__(self, *_: object) -> None:
        for proc in self.processes.values():
            if proc.alive:
                proc.popen.kill()  # SIGKILL ends stopped processes too
        for proc in self.processes.values():
            proc.popen.wait()
        self._closing = True
        self._reader.join(5.0)
        for proc in self.processes.values():
            for stream in (proc.popen.stdin, proc.popen.stdout):
                if stream is not None:
                    with suppress(OSError):
                        stream.close()
        self._temp.cleanup()

    # ---- Processes
    def start_server(self, name: str, *arguments: str) -> ManagedProcess:
        """Start a match server, or restart it with its earlier arguments if none are given. It logs to ``NAME.log``."""
        previous = self.processes.get(name)
        if previous is not None and previous.alive:
            raise HarnessError(f"cannot start server {name}: process {previous.pid} is still running")
        arguments = arguments or tuple(previous.spec["arguments"] if previous is not None else ())
        with open(self.folder / f"{name}.log", "ab") as log:
            popen = subprocess.Popen(
                [sys.executable, "-m", "lapishaven", "serve", *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                bufsize=0,
                env={**os.environ, "PYTHONPATH": str(ROOT)},
                preexec_fn=_die_with_parent,
            )
        proc = self.processes[name] = ManagedProcess(
            name, {"arguments": arguments}, popen, "", exit_codes=previous.exit_codes if previous else []
        )
        return proc

    def start(self, name: str, module: str = "", **spec: Any) -> ManagedProcess:
        """Start a process, or restart it with its earlier specification, updated by ``spec``."""
        previous = self.processes.get(name)
        if previous is not None:
            if previous.alive:
                raise HarnessError(f"cannot start {name}: process {previous.pid} is still running")
            module, spec = module or previous.module, {**previous.spec, **spec}
        module = module or self._module
        popen = subprocess.Popen(
            [sys.executable, "-m", module, json.dumps({"name": name, **spec})],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=None,
            cwd=ROOT,
            bufsize=0,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
            preexec_fn=_die_with_parent,
        )
        proc = ManagedProcess(name, spec, popen, module, exit_codes=previous.exit_codes if previous else [])
        self.processes[name] = proc
        assert popen.stdout is not None
        os.set_blocking(popen.stdout.fileno(), False)
        self._selector.register(popen.stdout, selectors.EVENT_READ, name)
        return proc

    def send_command(self, name: str, **command: Any) -> None:
        """Write a command to a process's standard input, as one line of JSON."""
        stdin = self.processes[name].popen.stdin
        assert stdin is not None
        with suppress(OSError):  # the process may have ended
            stdin.write(json.dumps(command).encode() + b"\n")

    def record_event(self, what: str, **facts: Any) -> None:
        """Add an event of the harness itself to the history."""
        with self._events_changed:
            self.events.append({"at": time.clock_gettime(time.CLOCK_BOOTTIME), "who": "field", "what": what, **facts})
            self._events_changed.notify_all()

    def stop(self, name: str) -> None:
        """Stop a process with SIGSTOP."""
        self.processes[name].popen.send_signal(signal.SIGSTOP)

    def resume(self, name: str, timeout: float = 10.0) -> None:
        """Resume a stopped process.

        Waits until the stop has taken effect: a SIGCONT that comes before it is lost, and the process stays stopped.
        Raises ``HarnessError`` if it does not stop within ``timeout`` seconds.
        """
        process = self.processes[name].popen
        deadline = time.monotonic() + timeout
        while process_state(process.pid) != STOPPED_STATE:
            if time.monotonic() > deadline:
                raise HarnessError(f"cannot resume {name}: process {process.pid} did not stop within {timeout:g} s")
            time.sleep(STATE_POLL_S)
        process.send_signal(signal.SIGCONT)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL, and wait for its end."""
        proc = self.processes[name]
        proc.popen.kill()
        proc.exit_codes.append(proc.popen.wait())

    def wait_for_exit(self, name: str, timeout: float = 20.0) -> int:
        """Wait for a process to end by itself, and return its exit code."""
        try:
            code = self.processes[name].popen.wait(timeout)
        except subprocess.TimeoutExpired:
            raise HarnessError(
                f"process {self.processes[name].pid} ({name}) did not end by itself within {timeout:g} s"
            ) from None
        self.processes[name].exit_codes.append(code)
        return code

    # ---- Histories
    def _read(self) -> None:
        while True:
            ready_keys = self._selector.select(0.1)
            if not ready_keys and self._closing:
                return
            for key, _ in ready_keys:
                self._read_available(key.fileobj, key.fd)

    def _read_available(self, stream: Any, descriptor: int) -> None:
        try:
            data = os.read(descriptor, 1 << 16)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._selector.unregister(stream)
            self._partial_lines.pop(descriptor, None)
            return
        *complete_lines, partial_line = (self._partial_lines.get(descriptor, b"") + data).split(b"\n")
        self._partial_lines[descriptor] = partial_line
        with self._events_changed:
            self.events += [json.loads(line) for line in complete_lines if line]
            self._events_changed.notify_all()

    def wait_until(self, expected: str, condition: Callable[[Sequence[Event]], Any], timeout: float = 30.0) -> Any:
        """Wait until ``condition(events)`` is true, and return its value.

        It is called again after each new event. Raises ``HarnessError`` after ``timeout`` seconds; ``expected``
        describes the awaited state in the message.
        """
        deadline = time.monotonic() + timeout
        with self._events_changed:
            while not (result := condition(self.events)):
                remaining_s = deadline - time.monotonic()
                if remaining_s <= 0 or not self._events_changed.wait(remaining_s):
                    raise HarnessError(
                        f"timed out after {timeout:g} s waiting for {expected}; last events: {self.events[-5:]}"
                    )
        return result

    def wait_for_event(self, what: str, timeout: float = 30.0, since: int = 0, **facts: Any) -> Event:
        """Wait for the first event from index ``since`` on with this ``what`` and these facts."""

        def condition(events: Sequence[Event]) -> Event | None:
            for event in events[since:]:
                if event["what"] == what and all(event.get(key) == value for key, value in facts.items()):
                    return event
            return None

        event: Event = self.wait_until(f"event {what!r} with {facts}", condition, timeout)
        return event
