"""Stand-ins for the platform round real match servers, written from the pages; standard library only.

A sound interpreter, catalog, callers (JSON-RPC and uwsgi) and uwsgi server, all on loopback addresses and in one
asyncio loop, and ``Trial``, which starts the servers with the deploy file's ``run`` command and writes ``record.txt``.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes: the rule held, was broken, the case could not run
REFUSED_CODE = -32066
SLACK_S = 0.15  # the settings' 100 ms and the protocol page's 50 ms
STEP_S = 0.01  # in which a run's progress is counted
READY_S = 30.0  # time in which a server has to be ready


class CannotRunError(Exception):
    """The case could not be played."""


def free_port() -> int:
    """A free port of the loopback address."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


def profile(name: str, effect: str, **figures: float) -> dict[str, Any]:
    """One class of requests for the settings, with the site's figures unless others are given."""
    usual = {"aim": 1.5, "deadline": 4.5, "credit": 1.0, "late-worth": 0.2, "window": 5.0}
    return {"name": name, "effect": effect, **usual, **figures}


FUZZY = profile("fuzzy-match", "free", deadline=5.6)
SAVE = profile("segment-save", "free")
COMMIT = profile("approve-commit", "single_shot", aim=1.1, deadline=3.8, credit=3.0)


def settings(profiles: list[dict[str, Any]], cores: int = 6) -> dict[str, Any]:
    """The settings of a warm match server, as the wire page shows them."""
    return {
        "callers": {"marks-retry": True},
        "customers": [],
        "peers-total": 2,
        "value-by": "request",
        "extra": {
            "below": "silent",
            "calls-by-class": [False] * len(profiles),
            "class-skip-worth": [0.0] * len(profiles),
            "cold": False,
            "cores": cores,
            "deep-checks": True,
            "dep-window": 5.0,
            "fair-calls": 0.0,
            "fresh": 0.0,
            "gauges": ["core_use", "on_cores", "heap_share", "links"],
            "halt": "suspend",
            "idle": 15.0,
            "key-kb": 112.32,
            "linger": 0.2,
            "memory-kb": 60000.0,
            "passes-deadline": False,
            "registry-follows": True,
            "run-factor": 16.0,
            "said-for": 1.0,
            "say": "silent",
            "tells-gone": True,
            "upstreams": 3,
        },
        "limits": {"max-retry-after": 1.0, "retry-after": True},
        "obligations": {
            "answer-slack": 0.1,
            "cold": 17.0,
            "cold-from": 0.24,
            "drain-grace": 2.0,
            "fall-multiple": 6.0,
            "tip-after": 1.5,
        },
        "profiles": profiles,
    }


@dataclass
class Run:
    """One run at the interpreter or at a uwsgi server."""

    where: str
    id: str
    class_name: str
    body: bytes
    at: float
    ended: bool = False


class Interpreter:
    """A sound interpreter: it runs what it is told to, each run for a time by class, and retains its notices."""

    def __init__(self, name: str, log: Callable[[str], None], run_s: dict[str, float], cores: int = 6) -> None:
        self.name, self.run_s, self.cores = name, run_s, cores
        self.speed = 1.0  # of a core, once it is warm
        self.runs: list[Run] = []
        self.samples = 0
        self._log = log
        self._live: dict[str, asyncio.Task[None]] = {}
        self._left: dict[str, float] = {}  # work that each run has left, in seconds of a core
        self._applied_at: dict[str, float] = {}
        self._notices: list[tuple[int, bytes]] = []
        self._number = 0
        self._started_at = time.monotonic()
        self._cold_from, self._cold_s = 1.0, 0.0
        self._writer: asyncio.StreamWriter | None = None
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.port = 0

    async def open(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def die(self) -> None:
        """Be killed: all that runs and all notices are gone."""
        for task in self._live.values():
            task.cancel()
        self._live.clear()
        self._left.clear()
        self._notices, self._number = [], 0
        if self._writer is not None:
            self._writer.close()

    def come_back(self, cold_from: float, cold_s: float) -> None:
        """Start again, cold: with ``cold_from`` of its speed, which grows in even steps for ``cold_s``."""
        self._started_at = time.monotonic()
        self._cold_from, self._cold_s = cold_from, cold_s

    def _speed_now(self) -> float:
        warmth = 1.0
        if self._cold_s:
            warmth = min(1.0, (time.monotonic() - self._started_at) / self._cold_s)
        return self.speed * (self._cold_from + (1.0 - self._cold_from) * warmth)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while line := await reader.readline():
                words = line.decode().split()
                if words[0] == "APPLY":
                    body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                    self._apply(words[1], words[2], body)
                else:
                    self._command(words)
        writer.close()

    def _send(self, data: bytes) -> None:
        if self._writer is not None and not self._writer.is_closing():
            self._writer.write(data)

    def _command(self, words: list[str]) -> None:
        if words[0] == "CONNECT":
            up_ms = round((time.monotonic() - self._started_at) * 1000)
            self._send(f"BANNER {'COLD' if self._cold_s else 'WARM'} {up_ms}\r\n".encode())
            for number, notice in self._notices:
                if number > int(words[1]):
                    self._send(notice)
        elif words[0] == "TOP":
            self.samples += 1
            busy = len(self._live)
            self._send(f"TOPS {words[1]} {min(1.0, busy / self.cores):.3f} {busy} 0.1 1\r\n".encode())
        elif words[0] == "SMOKE":
            self._send(f"SMOKED {words[1]} OK\r\n".encode())
        elif words[0] == "BREAK" and words[1] in self._live:
            self._live.pop(words[1]).cancel()
            self._notice(words[1], "STOPPED", b"")
        elif words[0] == "CONTINUE" and words[1] in self._left and words[1] not in self._live:
            self._start(words[1])
        elif words[0] in ("BREAK", "CONTINUE"):
            self._send(f"ERROR {words[0]} {words[1]}\r\n".encode())

    def _apply(self, run_id: str, class_name: str, body: bytes) -> None:
        if run_id in self._live:
            return
        self.runs.append(Run(self.name, run_id, class_name, body, time.time()))
        self._log(f"{self.name} runs {class_name} {run_id} body {body.decode()}")
        self._applied_at[run_id] = time.monotonic()
        self._left[run_id] = self.run_s.get(class_name, 0.2)
        self._start(run_id)

    def _start(self, run_id: str) -> None:
        task = asyncio.ensure_future(self._finish(run_id))
        self._live[run_id] = task
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _finish(self, run_id: str) -> None:
        before = time.monotonic()
        while self._left[run_id] > 0:
            await asyncio.sleep(min(STEP_S, self._left[run_id]))
            now = time.monotonic()
            share = min(1.0, self.cores / max(1, len(self._live)))  # all that runs shares the cores
            self._left[run_id] -= (now - before) * self._speed_now() * share
            before = now
        del self._left[run_id]
        self._live.pop(run_id, None)
        run = next(run for run in reversed(self.runs) if run.id == run_id)
        run.ended = True
        self._notice(run_id, "OK", b"result of " + run.body)

    def _notice(self, run_id: str, end: str, result: bytes) -> None:
        self._number += 1
        lasted_ms = round((time.monotonic() - self._applied_at[run_id]) * 1000)
        line = f"VALUE {self._number} {run_id} {end} {lasted_ms} {len(result)}\r\n".encode() + result + b"\r\n"
        self._notices = [*self._notices[-3999:], (self._number, line)]
        self._send(line)

    async def close(self) -> None:
        """Stop listening and close the link."""
        if self._server is not None:
            self._server.close()
        if self._writer is not None:
            self._writer.close()


class Catalog:
    """A sound catalog: it answers each report with 204."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                length = next(
                    (int(row.split(":")[1]) for row in head.split("\r\n") if row.startswith("content-length:")), 0
                )
                await reader.readexactly(length)
                writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        writer.close()

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()


@dataclass
class Answer:
    """What a caller was told: ``served``, ``refused``, ``failed``, ``lost`` (no whole answer), and when."""

    kind: str
    body: bytes = b""
    text: str = ""
    after_s: float = 0.0


class Caller:
    """A caller of the platform's protocol, on one connection."""

    def __init__(self, log: Callable[[str], None], number: int) -> None:
        self._log = log
        self._number = number
        self._random = Random()  # a call's name is new with every try
        self._last_id = 0
        self._open: dict[int, asyncio.Future[Answer]] = {}
        self._writer: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None

    async def connect(self, port: int) -> None:
        """Open the connection."""
        reader, self._writer = await asyncio.open_connection(HOST, port)
        self._task = asyncio.ensure_future(self._read(reader))

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(ConnectionError):
            while line := await reader.readline():
                message = json.loads(line)
                future = self._open.pop(message.get("id") or 0, None)
                if future is not None and not future.done():
                    future.set_result(_answer_of(message))
        for future in self._open.values():
            if not future.done():
                future.set_result(Answer("lost", text="the connection ended"))

    async def call(
        self, class_name: str, body: str, due_s: float, key: str | None = None, retry: bool = False
    ) -> Answer:
        """Send one request and wait for its answer, until some time past its due time."""
        assert self._writer is not None
        self._last_id += 1
        number, sent_at = self._last_id, time.time()
        params: dict[str, Any] = {
            "call": f"{self._random.getrandbits(64):016x}",
            "recv": round(sent_at * 1000),
            "src": self._number,
            "heap": 24.5,
            "crit": 0.9,
            "arg": base64.b64encode(body.encode()).decode(),
        }
        if key is not None:
            params["dedupe"] = key
        if retry:
            params["rep"] = 1
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._open[number] = future
        message = {"jsonrpc": "2.0", "id": number, "method": class_name, "params": params}
        self._writer.write(json.dumps(message, separators=(",", ":")).encode() + b"\n")
        try:
            answer = await asyncio.wait_for(future, due_s + SLACK_S + 2.0)
        except TimeoutError:
            answer = Answer("lost", text="no answer by 2 s past its due time")
        answer.after_s = time.time() - sent_at
        if answer.kind != "lost" and answer.after_s > due_s + SLACK_S:
            answer = Answer("lost", text=f"{answer.kind} after its due time", after_s=answer.after_s)
        self._log(f"{class_name} {body} key {key}: {answer.kind} after {answer.after_s:.2f} s {answer.text}")
        return answer

    async def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        if self._task is not None:
            self._task.cancel()


def _answer_of(message: dict[str, Any]) -> Answer:
    if "result" in message:
        return Answer("served", base64.b64decode(message["result"].get("arg", "")))
    error = message["error"]
    return Answer("refused" if error["code"] == REFUSED_CODE else "failed", text=str(error.get("message", "")))


@dataclass
class UwsgiReply:
    """The HTTP response of a uwsgi call; status 0 if there was none."""

    status: int
    body: bytes = b""


def uwsgi_packet(variables: dict[str, str], body: bytes) -> bytes:
    """A uwsgi request: modifiers 0, the variables, the body."""
    block = b"".join(
        struct.pack("<H", len(text)) + text.encode()
        for pair in {**variables, "CONTENT_LENGTH": str(len(body))}.items()
        for text in pair
    )
    return struct.pack("<BHB", 0, len(block), 0) + block + body


async def uwsgi_call(
    port: int, class_name: str, body: str, headers: dict[str, str], log: Callable[[str], None], due_s: float = 6.0
) -> UwsgiReply:
    """Send one packet as a gateway does, and read the response."""
    variables = {"REQUEST_METHOD": "POST", "PATH_INFO": f"/match/{class_name}", **headers}
    reply = UwsgiReply(0)
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(uwsgi_packet(variables, body.encode()))
        data = await asyncio.wait_for(reader.read(-1), due_s + SLACK_S + 2.0)
        writer.close()
        head, _, content = data.partition(b"\r\n\r\n")
        if head.startswith(b"HTTP/1.1 "):
            reply = UwsgiReply(int(head.split()[1]), content)
    except (OSError, TimeoutError):
        pass
    log(f"port {port}: {class_name} {body} {headers}: status {reply.status} {reply.body.decode()!r}")
    return reply


class ResettingProxy:
    """Lies between callers and a match server; with ``resets`` it resets a caller's connection as an answer arrives."""

    def __init__(self, to_port: int, log: Callable[[str], None]) -> None:
        self.port, self.resets = 0, True
        self._to_port, self._log = to_port, log
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        server_reader, server_writer = await asyncio.open_connection(HOST, self._to_port)
        there = asyncio.ensure_future(_copy(reader, server_writer))
        with contextlib.suppress(OSError):
            while data := await server_reader.read(65536):
                if self.resets:
                    self._log(f"the network resets a caller's connection as an answer of {len(data)} bytes arrives")
                    reset(writer)
                    break
                writer.write(data)
        there.cancel()
        server_writer.close()
        writer.close()

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(65536):
            writer.write(data)


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection by a reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class UwsgiServer:
    """A sound uwsgi server, as a team would run one: it runs each request and answers 200."""

    def __init__(self, name: str, log: Callable[[str], None], run_s: float = 0.1) -> None:
        self.name, self.run_s, self.port = name, run_s, 0
        self.runs: list[Run] = []
        self._log = log
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            size = struct.unpack("<BHB", await reader.readexactly(4))[1]
            words = _strings(await reader.readexactly(size))
            variables = dict(zip(words[::2], words[1::2], strict=True))
            body = await reader.readexactly(int(variables.get("CONTENT_LENGTH", "0")))
            class_name = variables["PATH_INFO"].rsplit("/", 1)[1]
            run = Run(self.name, variables.get("HTTP_X_REQUEST_ID", ""), class_name, body, time.time())
            self.runs.append(run)
            self._log(f"{self.name} runs {class_name} {run.id} body {body.decode()}")
            ended = asyncio.ensure_future(reader.read(1))
            done, _ = await asyncio.wait({ended}, timeout=self.run_s)
            if done:
                self._log(f"{self.name}: the caller of {run.id} closed before the end")
                return
            ended.cancel()
            run.ended = True
            await self.answer(writer, b"result of " + body)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, writer: asyncio.StreamWriter, result: bytes) -> None:
        """Send a whole response."""
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(result)}\r\nConnection: close\r\n\r\n"
        writer.write(head.encode() + result)
        await writer.drain()

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()


def _strings(block: bytes) -> list[str]:
    strings, offset = [], 0
    while offset < len(block):
        (size,) = struct.unpack_from("<H", block, offset)
        strings.append(block[offset + 2 : offset + 2 + size].decode())
        offset += 2 + size
    return strings


@dataclass
class Node:
    """One match server: its process, its addresses and its configuration file."""

    name: str
    port: int
    control: int
    config: Path
    process: asyncio.subprocess.Process | None = None
    table: dict[str, Any] = field(default_factory=dict)


class Trial:
    """One play of a case: a temporary folder, the processes and the record."""

    def __init__(self, folder: Path, trouble: bool) -> None:
        self.trouble = trouble
        self.temporary = Path(tempfile.mkdtemp(prefix="lapishaven-review-"))
        self.nodes: list[Node] = []
        self.catalog = Catalog()
        self._began_at = time.time()
        self._record = (folder / "record.txt").open("w")
        self._closers: list[Callable[[], Awaitable[None]]] = []
        self.log(f"trouble {int(trouble)}")

    def log(self, text: str) -> None:
        """Add a line to the record."""
        self._record.write(f"{time.time() - self._began_at:8.3f} {text}\n")
        self._record.flush()

    async def open(self, standin: Any) -> Any:
        """Open a stand-in, and close it at the end."""
        await standin.open()
        self._closers.append(standin.close)
        return standin

    async def caller(self, port: int, number: int) -> Caller:
        """The caller with a number, connected to the match server at a port."""
        caller = Caller(self.log, number)
        await caller.connect(port)
        self._closers.append(caller.close)
        return caller

    def write(self, name: str, text: str) -> Path:
        """Write a file of the operators', whole or not at all."""
        path = self.temporary / name
        unfinished = path.with_suffix(".new")
        unfinished.write_text(text)
        unfinished.rename(path)
        return path

    async def start(
        self, name: str, interpreter: Interpreter, profiles: list[dict[str, Any]], options: str = "", cores: int = 6
    ) -> Node:
        """Start a match server by the deploy file's ``run`` and wait until it is ready."""
        if not self.catalog.port:
            await self.open(self.catalog)
        node = Node(name, free_port(), free_port(), self.temporary / f"{name}.json")
        node.table = {
            "name": name,
            "listen": f"{HOST}:{node.port}",
            "vm": f"{HOST}:{interpreter.port}",
            "directory": f"{HOST}:{self.catalog.port}",
            "control": f"{HOST}:{node.control}",
            "seed": "8c1f30d27a5be964",
            "stop_ms": 3200,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings(profiles, cores),
        }
        self.write(node.config.name, json.dumps(node.table))
        self.nodes.append(node)
        await self.launch(node, options)
        return node

    async def launch(self, node: Node, options: str = "") -> None:
        """Start a match server's process, again after a kill, and wait until it is ready."""
        name = node.name
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        folder = self.temporary / f"tmp-{name}"
        folder.mkdir(exist_ok=True)
        platform = {"NODE_NAME": name, "NODE_LISTEN": node.table["listen"], "NODE_CONFIG": str(node.config)}
        environment = {key: value for key, value in os.environ.items() if not key.startswith("NODE_")}
        with (self.temporary / f"{name}.log").open("ab") as output:
            node.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                f"{command} {options}",
                cwd=ROOT,
                env={**environment, **platform, "TMPDIR": str(folder)},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        await self._wait_until_ready(node)

    async def _wait_until_ready(self, node: Node) -> None:
        deadline = time.monotonic() + READY_S
        while time.monotonic() < deadline:
            if node.process is not None and node.process.returncode is not None:
                raise CannotRunError(f"{node.name} ended with {node.process.returncode}: {self.output(node)[-400:]}")
            if (await self.get(node, "/v1/readyz")).startswith("HTTP/1.1 200"):
                self.log(f"{node.name} is ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{node.name} was not ready in {READY_S:g} s")

    async def get(self, node: Node, path: str) -> str:
        """One call to the second address."""
        try:
            reader, writer = await asyncio.open_connection(HOST, node.control)
            writer.write(f"GET {path} HTTP/1.1\r\nHost: {node.name}\r\n\r\n".encode())
            data = await asyncio.wait_for(reader.read(-1), 1.0)
            writer.close()
            return data.decode()
        except (OSError, TimeoutError):
            return ""

    async def reload(self, node: Node, **settings_changes: Any) -> None:
        """Replace the configuration file by one with other settings, send SIGHUP, and see that it was accepted."""
        assert node.process is not None
        node.table["settings"] = {**node.table["settings"], **settings_changes}
        self.write(node.config.name, json.dumps(node.table))
        node.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.5)
        metrics = await self.get(node, "/v1/metrics")
        figures = [line for line in metrics.splitlines() if line.startswith("server_cfg_")]
        self.log(f"SIGHUP to {node.name}: {figures}")
        if not any(line.startswith("server_cfg_accepted 1") for line in figures):
            raise CannotRunError(f"the new configuration was not accepted: {figures}")

    def output(self, node: Node) -> str:
        """What a match server has printed so far."""
        return (self.temporary / f"{node.name}.log").read_text()

    async def kill(self, node: Node) -> None:
        """SIGKILL."""
        assert node.process is not None
        self.log(f"SIGKILL to {node.name}")
        with contextlib.suppress(ProcessLookupError):
            node.process.kill()
        await node.process.wait()

    async def close(self) -> None:
        """End all processes and stand-ins, and remove the folder."""
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                await self.kill(node)
            self.log(f"{node.name} printed:\n{self.output(node)[-3000:]}")
        for close in reversed(self._closers):
            await close()
        shutil.rmtree(self.temporary, ignore_errors=True)
        self._record.close()


def play(script: Callable[[Trial], Awaitable[list[str]]], folder: Path, limit_s: float = 100.0) -> None:
    """Play a case and exit: the script returns how the rule was broken, nothing if it held."""

    async def run() -> int:
        trial = Trial(folder, os.environ.get("TROUBLE", "1") != "0")
        try:
            faults = await asyncio.wait_for(script(trial), limit_s)
            for fault in faults:
                trial.log(f"BROKEN: {fault}")
                print(fault)
            return BROKEN if faults else HELD
        except Exception as error:  # a fault of the script itself is no breach of a rule
            trial.log(f"could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
            return NOT_RUN
        finally:
            await trial.close()

    sys.exit(asyncio.run(run()))
