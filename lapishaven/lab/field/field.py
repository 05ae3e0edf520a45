"""Starts many processes, reads their histories as they come, and ends every one of them by its id.

Each process is told by the kernel to die when the field's process does (``PR_SET_PDEATHSIG``), so a field that is
killed leaves none behind, not even stopped ones.
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
Line = dict[str, Any]
_PDEATHSIG = 1
_libc = ctypes.CDLL(None)


STOPPED = "T"
STATE_POLL_S = 0.001


class FieldError(RuntimeError):
    """Something did not come in time, or a process ended that should not have."""


def _die_with_parent() -> None:
    _libc.prctl(_PDEATHSIG, signal.SIGKILL)


@dataclass(slots=True)
class Proc:
    """A process of the field."""

    name: str
    spec: dict[str, Any]
    popen: subprocess.Popen[bytes]
    module: str
    ended: list[int] = field(default_factory=list)

    @property
    def pid(self) -> int:
        return self.popen.pid

    @property
    def alive(self) -> bool:
        return self.popen.poll() is None


def process_state(pid: int) -> str:
    """The kernel's state letter of a process (proc(5)); empty if there is no such process."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
    except OSError:
        return ""


class Field:
    """``with Field() as field``: files are kept in ``field.folder`` until the end."""

    def __init__(self, module: str = "lapishaven.lab.field.process") -> None:
        self._module = module
        self._temp = tempfile.TemporaryDirectory(prefix="lapishaven-field-")
        self.folder = Path(self._temp.name)
        self.procs: dict[str, Proc] = {}
        self.lines: list[Line] = []  # of all processes, in the order in which they were read
        self._come = threading.Condition()
        self._selector = selectors.DefaultSelector()
        self._closing = False
        self._rest: dict[int, bytes] = {}
        self._reader = threading.Thread(target=self._read, daemon=True)

    def __enter__(self) -> Field:
        self._reader.start()
        return self

    def __exit__(self, *_: object) -> None:
        for proc in self.procs.values():
            if proc.alive:
                proc.popen.kill()  # SIGKILL ends stopped ones too
        for proc in self.procs.values():
            proc.popen.wait()
        self._closing = True
        self._reader.join(5.0)
        for proc in self.procs.values():
            for stream in (proc.popen.stdin, proc.popen.stdout):
                if stream is not None:
                    with suppress(OSError):
                        stream.close()
        self._temp.cleanup()

    # ---- Processes
    def serve(self, name: str, *words: str) -> Proc:
        """Start a match server of the program, or start it again with the words that it had. It logs to a file."""
        old = self.procs.get(name)
        if old is not None and old.alive:
            raise FieldError(f"{name} is still there")
        words = words or tuple(old.spec["words"] if old is not None else ())
        with open(self.folder / f"{name}.log", "ab") as log:
            popen = subprocess.Popen(
                [sys.executable, "-m", "lapishaven", "serve", *words],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                bufsize=0,
                env={**os.environ, "PYTHONPATH": str(ROOT)},
                preexec_fn=_die_with_parent,
            )
        proc = self.procs[name] = Proc(name, {"words": words}, popen, "", ended=old.ended if old else [])
        return proc

    def start(self, name: str, module: str = "", **spec: Any) -> Proc:
        """Start a process, or start it again with what it had, changed by ``spec``."""
        old = self.procs.get(name)
        if old is not None:
            if old.alive:
                raise FieldError(f"{name} is still there")
            module, spec = module or old.module, {**old.spec, **spec}
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
        proc = Proc(name, spec, popen, module, ended=old.ended if old else [])
        self.procs[name] = proc
        assert popen.stdout is not None
        os.set_blocking(popen.stdout.fileno(), False)
        self._selector.register(popen.stdout, selectors.EVENT_READ, name)
        return proc

    def say(self, name: str, **words: Any) -> None:
        stdin = self.procs[name].popen.stdin
        assert stdin is not None
        with suppress(OSError):  # it may be gone
            stdin.write(json.dumps(words).encode() + b"\n")

    def note(self, what: str, **facts: Any) -> None:
        """A line of the field's own, at the time of its clock."""
        with self._come:
            self.lines.append({"at": time.clock_gettime(time.CLOCK_BOOTTIME), "who": "field", "what": what, **facts})
            self._come.notify_all()

    def stop(self, name: str) -> None:
        self.procs[name].popen.send_signal(signal.SIGSTOP)

    def wake(self, name: str, timeout: float = 10.0) -> None:
        """Resume a stopped process.

        Waits until the stop has taken effect: a SIGCONT that comes before it is lost, and the process stays stopped.
        Raises ``FieldError`` if it does not stop within ``timeout`` seconds.
        """
        process = self.procs[name].popen
        until = time.monotonic() + timeout
        while process_state(process.pid) != STOPPED:
            if time.monotonic() > until:
                raise FieldError(f"{name} did not stop within {timeout:g} s")
            time.sleep(STATE_POLL_S)
        process.send_signal(signal.SIGCONT)

    def kill(self, name: str) -> None:
        proc = self.procs[name]
        proc.popen.kill()
        proc.ended.append(proc.popen.wait())

    def ended(self, name: str, timeout: float = 20.0) -> int:
        """Wait for a process to end by itself; gives its code."""
        try:
            code = self.procs[name].popen.wait(timeout)
        except subprocess.TimeoutExpired:
            raise FieldError(f"{name} did not end within {timeout:g} s") from None
        self.procs[name].ended.append(code)
        return code

    # ---- Histories
    def _read(self) -> None:
        while True:
            ready = self._selector.select(0.1)
            if not ready and self._closing:
                return
            for key, _ in ready:
                self._take(key.fileobj, key.fd)

    def _take(self, stream: Any, number: int) -> None:
        try:
            data = os.read(number, 1 << 16)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._selector.unregister(stream)
            self._rest.pop(number, None)
            return
        *whole, rest = (self._rest.get(number, b"") + data).split(b"\n")
        self._rest[number] = rest
        with self._come:
            self.lines += [json.loads(line) for line in whole if line]
            self._come.notify_all()

    def wait(self, what: str, found: Callable[[Sequence[Line]], Any], timeout: float = 30.0) -> Any:
        """Wait until ``found(lines)`` is true, looking at each line that comes; ``FieldError`` after ``timeout``."""
        until = time.monotonic() + timeout
        with self._come:
            while not (result := found(self.lines)):
                left = until - time.monotonic()
                if left <= 0 or not self._come.wait(left):
                    raise FieldError(f"no {what} within {timeout:g} s; the last lines: {self.lines[-5:]}")
        return result

    def first(self, what: str, timeout: float = 30.0, since: int = 0, **facts: Any) -> Line:
        """The first line after number ``since`` that says ``what`` with these facts."""

        def found(lines: Sequence[Line]) -> Line | None:
            for line in lines[since:]:
                if line["what"] == what and all(line.get(key) == value for key, value in facts.items()):
                    return line
            return None

        line: Line = self.wait(f"{what} {facts}", found, timeout)
        return line
