"""The scenario language: lines of send, expect, close and wait, run against a real server.

The server, its frontends, backends and state machines are the real ones. Connections are socket pairs, on which bytes
are readable as soon as they are sent. The clock is set by the test and the scenario drives the loop, so nothing
sleeps. ``vm`` is a stand-in interpreter, ``c...`` are callers of the platform frontend, ``u...`` uwsgi clients (one
request each), ``server`` is the program itself. The body of a request is its label, ``c1.3`` or ``u1``.

    send c1 3 approve-commit      a request with id 3      send u1 approve-commit id=k  over uwsgi
    send c1 forget 3              send c1 raw TEXT         send c1 check [deep]
    expect up fuzzy-match c1.3    send up 200 c1.3         ``up``: the stand-in uwsgi server of the backend
    send vm OK c1.3               the run of c1.3 ends     send vm BANNER COLD          send server TERM
    expect vm APPLY c1.3          expect vm nothing        expect c1 result 3 | refused 3 | failed 3
    expect u1 200                 expect c1 closed         close c1          wait 0.5
    send h1 GET /v1/readyz        expect h1 200 server_open_requests 1    (``h...``: one request to the control address)
    send server HUP               reload; the files are those in ``files``
    send u2 approve-commit id=k body=u1    a further attempt of u1's request: all attempts of one have the same body
    lose vm 2                     the link accepts the next 2 commands but does not deliver them, as before a break
"""

from __future__ import annotations

import base64
import json
import os
import re
import select
import socket
import unittest
from collections.abc import Generator
from http import HTTPStatus
from typing import Any

from lapishaven import config
from lapishaven.attempt_log import SqliteAttemptLog
from lapishaven.connection_end import ConnectionEnd
from lapishaven.core.contracts import Contract
from lapishaven.net.loop import Loop
from lapishaven.pools import PoolSettings
from lapishaven.proto import uwsgi
from lapishaven.proto.lines import LineBuffer
from lapishaven.server import Server, ServerOptions

CLASSES = [("fuzzy-match", 1.5, 5.6, "free", 1.0), ("approve-commit", 1.1, 3.8, "single_shot", 3.0)]
SETTINGS: dict[str, Any] = {
    "callers": {"marks-retry": True},
    "customers": [],
    "peers-total": 3,
    "value-by": "request",
    "extra": {
        "below": "silent",
        "calls-by-class": [False] * 2,
        "class-skip-worth": [0.0] * 2,
        "cold": False,
        "cores": 6,
        "deep-checks": True,
        "dep-window": 5.0,
        "fair-calls": 0.0,
        "fresh": 0.0,
        "gauges": ["core_use", "on_cores", "heap_share", "links"],
        "halt": "suspend",
        "idle": 15.0,
        "key-kb": 112.0,
        "linger": 0.2,
        "memory-kb": 29232.0,
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
    "profiles": [
        {"name": n, "aim": a, "deadline": d, "effect": e, "credit": w, "late-worth": 0.0, "window": 5.0}
        for n, a, d, e, w in CLASSES
    ],
}


def settings(classes: list[dict[str, Any]] | None = None, **extra: Any) -> dict[str, Any]:
    """The settings with changes to each class, in order, and to ``extra``."""
    changed = [{**spec, **changes} for spec, changes in zip(SETTINGS["profiles"], classes or [{}, {}], strict=True)]
    return {**SETTINGS, "profiles": changed, "extra": {**SETTINGS["extra"], **extra}}


def configuration(**changes: Any) -> str:
    """A configuration file with changes to its top-level values."""
    data = {
        "name": "n1",
        "listen": "127.0.0.1:0",
        "vm": "127.0.0.1:1",
        "directory": "127.0.0.1:1",
        "seed": "8c1f30d27a5be964",
        "stop_ms": 3200,
        "settings": SETTINGS,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 128},
        **changes,
    }
    return json.dumps(data)


class Peer:
    """The test's end of a connection, and what it has received."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.data, self.closed = sock, bytearray(), False
        sock.setblocking(False)

    def pump(self) -> bool:
        """Receive what has arrived; returns whether anything was new."""
        try:
            received = b"" if self.closed else self.sock.recv(65536)
        except BlockingIOError:
            return False
        except ConnectionResetError:
            received = b""
        progressed = bool(received) or not self.closed
        self.closed = self.closed or not received
        self.data += received
        return progressed


class StandInInterpreter:
    """The stand-in interpreter: logs commands, answers gauge queries and ends runs when told to."""

    def __init__(self) -> None:
        self.link: Peer | None = None
        self.lines, self.need = LineBuffer(65536), 0
        self.banner: str | None = "WARM"
        self.log: list[str] = []
        self.handles: dict[str, str] = {}  # attempt ids by label, which is the body of the request
        self.applied: list[str] = []
        self.number, self.load, self.lost, self.smoked = 0, (0.3, 1.0), 0, 0
        self._pending = ""

    def dialled(self) -> socket.socket:
        test_end, server_end = socket.socketpair()
        self.link, self.lines, self._pending = Peer(test_end), LineBuffer(65536), ""
        return server_end

    def pump(self) -> bool:
        if self.link is None:
            return False
        progressed = self.link.pump()
        self.lines.feed(bytes(self.link.data))
        self.link.data.clear()
        while True:
            if self._pending:
                handle, size = self._pending.split()[1::2]
                body = self.lines.block(int(size) + 2)
                if body is None:
                    return progressed
                if self.lost:
                    self.lost, self._pending = self.lost - 1, ""
                    continue
                label = body[:-2].decode()
                self._pending, self.handles[label] = "", handle
                self.applied.append(label)
                self.log.append(f"APPLY {label}")
            line = self.lines.line()
            if line is None:
                return progressed
            command, _, rest = line.decode().partition(" ")
            if command == "APPLY":
                self._pending = line.decode()
            elif self.lost:
                self.lost -= command != "TOP"
            elif command == "TOP":
                self.tell(f"TOPS {rest} {self.load[0]} {self.load[1]} 0.1 3")
            elif command == "SMOKE":
                self.smoked += 1
                self.tell(f"SMOKED {rest} OK")
            else:
                names = {handle: label for label, handle in self.handles.items()}
                self.log.append(f"{command} {names.get(rest, rest)}")
                if command == "CONNECT" and self.banner:
                    self.tell(f"BANNER {self.banner} 500")

    def tell(self, line: str, body: bytes | None = None) -> None:
        assert self.link is not None
        self.link.sock.sendall(line.encode() + b"\r\n" + (body + b"\r\n" if body is not None else b""))

    def end(self, end: str, label: str, number: int | None = None) -> None:
        self.number = number or self.number + 1
        body = b"done " + label.encode() if end == "OK" else b""
        self.tell(f"VALUE {self.number} {self.handles[label]} {end} 200 {len(body)}", body)


class World(unittest.TestCase):
    """A test case with one server and its stand-ins; ``play`` runs a scenario."""

    banner: str | None = "WARM"
    backend: config.UwsgiBackendConfig | None = None
    contracts: list[Contract] | None = None
    pools: PoolSettings | None = None
    store: SqliteAttemptLog | None = None
    settings: dict[str, Any] = SETTINGS
    inherits = False  # whether the callers' listening socket is inherited from another process (``held``)

    def setUp(self) -> None:
        self.now = 100.0
        self.vm = self.interpreter()
        self.catalog: list[Peer] = []
        self.catalog_up = self.uwsgi_server_up = False
        self.up: list[Peer] = []
        self.dialled: list[int] = []
        self.vm.banner = self.banner
        text, environ = configuration(vm="127.0.0.1:2", control="127.0.0.1:0", settings=self.settings), {}
        if self.inherits:
            self.held = socket.create_server(("127.0.0.1", 0))
            self.addCleanup(self.held.close)
            environ["NODE_INHERITED_FD"] = str(os.dup(self.held.fileno()))
        frontend = config.UwsgiFrontendConfig(("127.0.0.1", 0), "/match/", 30.0)
        self.log_lines: list[str] = []
        self.files = text
        options = ServerOptions(
            loop=Loop(lambda: self.now),
            log=self.log_lines.append,
            dial=self.dial,
            read_files=lambda: config.ConfigFiles(config.parse_config(self.files)),
            attempt_log=self.store,
        )
        self.server = Server(
            config.ConfigFiles(
                config.parse_config(text, environ), frontend, self.backend, contracts=self.contracts, pools=self.pools
            ),
            options,
        )
        self.peers: dict[str, Peer] = {}
        self.pump()

    def tearDown(self) -> None:
        for session in list(self.server.callers.sessions):
            session.conn.abort(ConnectionEnd.SHUTDOWN)
        for listener in self.server.listeners:
            listener.abandon()
        if self.server.admin is not None:
            self.server.admin.close()
        for driver in self.server.backends.by_name.values():
            driver.close()
        self.server.reporter.close()
        self.server.loop.close()
        for peer in (*self.peers.values(), *self.up, *self.catalog):
            peer.sock.close()
        if self.vm.link is not None:
            self.vm.link.sock.close()

    def interpreter(self) -> StandInInterpreter:
        return StandInInterpreter()

    def dial(self, loop: Loop, address: tuple[str, int], span: float) -> Generator[Any, Any, Any]:
        test_end, server_end = socket.socketpair()
        self.dialled.append(address[1])
        if address[1] in (2, 4):
            return self.vm.dialled()
        reachable, peers = (self.uwsgi_server_up, self.up) if address[1] == 3 else (self.catalog_up, self.catalog)
        if not reachable:
            return ConnectionEnd.UNREACHED
        peers.append(Peer(test_end))
        return server_end
        yield

    def pump(self) -> None:
        """Run rounds of the server and its stand-ins until all of them are idle."""
        idle_rounds = 0
        while idle_rounds < 3:
            due = self.server.next_at()
            progressed = due is not None and due <= self.now
            progressed = bool(select.select([self.server.loop._epoll], [], [], 0)[0]) or progressed
            self.server.loop.round(0, self.server.turn)
            for peer in (self.vm, *self.peers.values(), *self.up, *self.catalog):
                progressed = peer.pump() or progressed
            idle_rounds = 0 if progressed else idle_rounds + 1

    def wait(self, span: float) -> None:
        """Advance the clock by ``span`` seconds in small steps."""
        until = self.now + span
        while self.now < until:
            self.now = min(until, self.now + 0.025)
            self.pump()

    def peer(self, name: str) -> Peer:
        """The connection of this name, which is opened on its first use."""
        if name not in self.peers:
            test_end, server_end = socket.socketpair()
            self.peers[name] = Peer(test_end)
            if name[0] == "h":
                assert self.server.admin is not None
                self.server.admin.listener.adopt(server_end)
            else:
                self.server.listeners[1 if name[0] == "u" else 0].adopt(server_end)
        return self.peers[name]

    def play(self, text: str) -> None:
        """Run the lines of a scenario."""
        for line in filter(None, (line.partition("#")[0].strip() for line in text.splitlines())):
            verb, *arguments = line.split()
            self.line = line
            getattr(self, f"do_{verb}")(*arguments)
            self.pump()

    def do_wait(self, span: str) -> None:
        self.wait(float(span))

    def do_lose(self, name: str, count: str) -> None:
        self.vm.lost = int(count)

    def do_close(self, name: str) -> None:
        peer = self.vm.link if name == "vm" else self.up[-1] if name == "up" else self.peers[name]
        assert peer is not None
        peer.sock.close()
        peer.closed = True

    def do_send(self, name: str, what: str, *rest: str) -> None:
        if name == "server":
            self.server.drain() if what == "TERM" else self.server.config_reload.reload()
        elif name == "up":
            body = b"done " + rest[0].encode() if rest else b""
            headers = (("Retry-After", "1"),) if what == "503" else ()
            self.up[-1].sock.sendall(uwsgi.encode_response(HTTPStatus(int(what)), body, "text/plain", headers))
        elif name == "vm":
            if what == "BANNER":
                self.vm.tell(f"BANNER {rest[0]} 500")
            else:
                self.vm.end(what, rest[0], int(rest[1]) if rest[1:] else None)
        else:
            self.peer(name).sock.sendall(self.message(name, what, *rest))

    def message(self, name: str, what: str, *rest: str) -> bytes:
        if what == "raw":
            return " ".join(rest).encode().decode("unicode_escape").encode("latin-1")
        if name[0] == "h":
            return f"{what} {rest[0]} HTTP/1.1\r\nHost: control\r\n\r\n".encode()
        if name[0] == "u":
            options = dict(option.split("=") for option in rest)
            variables = {"REQUEST_METHOD": "POST", "PATH_INFO": f"/match/{what}"}
            variables |= {"HTTP_X_REQUEST_ID": options["id"]} if "id" in options else {}
            variables |= {"HTTP_X_RETRY": "1"} if "retry" in options else {}
            variables |= {"HTTP_X_REQUEST_START": options["start"]} if "start" in options else {}
            variables |= {"HTTP_X_TEAM": "team", "HTTP_X_SERVICE": options["by"]} if "by" in options else {}
            return uwsgi.encode_request(variables, options.get("body", name).encode())
        params: dict[str, Any] = {}
        method, id = what, 0
        if what == "forget":
            params = {"call": self.call(name, rest[0])}
        elif what == "check":
            method, id, params = "isWell", 1, {"e2e": bool(rest)}
        else:
            method, id = rest[0], int(what)
            params = {
                "call": self.call(name, what),
                "heap": 24.5,
                "crit": 0.9,
                "arg": base64.b64encode(f"{name}.{what}".encode()).decode(),
            }
            arguments = dict(option.split("=") for option in rest[1:])
            if "body" in arguments:  # another request's label: all attempts of one request have the same body
                params["arg"] = base64.b64encode(arguments.pop("body").encode()).decode()
            text_params = {
                name: arguments.pop(short) for short, name in (("key", "dedupe"), ("of", "org")) if short in arguments
            }
            params |= text_params | {key: float(value) for key, value in arguments.items()}
        head = {"jsonrpc": "2.0", "method": method, **({"id": id} if id else {})}
        return json.dumps({**head, "params": params}).encode() + b"\n"

    @staticmethod
    def call(name: str, id: str) -> str:
        return f"{int(name[1:]) * 1000 + int(id):016x}"

    def do_expect(self, name: str, what: str, *rest: str) -> None:
        self.pump()
        if name == "vm":
            wanted = " ".join((what, *rest))
            self.assertEqual(self.vm.log.pop(0) if self.vm.log else "nothing", wanted, self.line)
            return
        peer = self.up[-1] if name == "up" else self.peers[name]
        if name == "up" and what != "closed":
            request = uwsgi.RequestParser().feed(bytes(peer.data))
            assert request is not None
            got = request.variables["PATH_INFO"].rpartition("/")[2], request.body.decode()
            self.assertEqual(got, (what, *rest), self.line)
        elif what == "nothing":
            self.assertEqual((bytes(peer.data), peer.closed), (b"", False))
        elif what == "closed":
            self.assertTrue(peer.closed)
        elif name[0] == "h":
            head, _, body = bytes(peer.data).partition(b"\r\n\r\n")
            self.assertEqual(head.split()[1:2], [what.encode()], (self.line, head))
            if rest:  # a metric: its name and labels, then its value
                figures = dict(line.rsplit(" ", 1) for line in body.decode().splitlines() if line[:1] != "#")
                self.assertEqual(figures.get(rest[0]), rest[1], self.line)
        elif name[0] == "u":
            head, _, body = bytes(peer.data).partition(b"\r\n\r\n")
            self.assertEqual(head.split()[1:2], [what.encode()], head)
            self.assertEqual(body if what == "200" else None, b"done " + rest[0].encode() if rest else None)
            self.assertEqual(b"Retry-After" in head, what == "503")
            peer.data.clear()
        else:
            line, _, left = bytes(peer.data).partition(b"\n")
            peer.data[:] = left
            self.assertEqual(self.kind(json.loads(line or b"{}")), " ".join((what, *rest)), self.line)

    @staticmethod
    def kind(answer: dict[str, Any]) -> str:
        """An answer in terms of the scenario language."""
        if answer.get("method") == "draining":
            return "draining"
        if "up" in answer.get("result", {}):
            return "well" if answer["result"]["up"] else "unwell"
        if "result" in answer:
            body = base64.b64decode(answer["result"]["arg"]).decode()
            assert re.fullmatch(rf"done \w+\.{answer['id']}", body), body
            return f"result {answer['id']}"
        codes = {-32066: "refused", -32000: "failed"}
        code = answer.get("error", {}).get("code")
        return f"{codes.get(code, code)} {answer.get('id')}"


__all__ = ["World", "configuration", "settings"]
