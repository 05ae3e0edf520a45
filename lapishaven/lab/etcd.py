"""A stand-in for etcd v3's JSON gateway, as far as ownership uses it: a process on loopback with faults by word.

``Store`` is the state, pure, with time passed in; the rest is HTTP. What etcd does that matters here is done likewise:
int64 as strings, fields that are zero or false left out, one revision for a transaction, keys that go with their
lease, a keep-alive of a lease that is over answered with no TTL, a put with such a lease turned down, expiry looked for
twice a second. It is not etcd: one process, nothing on disk, no watch, no auth.

Faults are words on standard input, a JSON object a line: ``{"stall": S}`` holds what comes for S seconds and does it
then, ``{"refuse": S}`` answers 503, ``{"lose": N}`` does the next N writes and closes without an answer,
``{"late": S, "for": S}`` does at once and answers S seconds later, ``{"twice": N}`` does the next N transactions twice,
as a proxy that retries, ``{"restart": "kept" or "aged"}`` drops connections and renews, or ends, all leases.
"""

from __future__ import annotations

import base64
import json
import sys
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

EXPIRY = 0.5  # s between looks for leases that are over, as in etcd
MIN_TTL = 2  # s; etcd raises shorter ones to its election timeout


class Refused(Exception):
    """An error of etcd's: its code and text."""

    def __init__(self, code: int, text: str) -> None:
        super().__init__(text)
        self.code = code


@dataclass(slots=True)
class Entry:
    value: str
    lease: int
    create: int
    mod: int
    version: int


@dataclass(slots=True)
class Granted:
    ttl: int
    until: float
    keys: set[str] = field(default_factory=set)


class Store:
    """Keys and values as they come, in base64 (its order is not that of the bytes, so ranges decode)."""

    def __init__(self, min_ttl: int = MIN_TTL) -> None:
        self.revision = 1
        self.entries: dict[str, Entry] = {}
        self.leases: dict[int, Granted] = {}
        self._next, self._min_ttl = 7_587_000_000_000_000_000, min_ttl

    def expire(self, now: float) -> None:
        for number in [n for n, lease in self.leases.items() if lease.until <= now]:
            self.end(number)

    def end(self, number: int) -> None:
        keys = self.leases.pop(number).keys
        if keys:
            self.revision += 1
            for key in keys:
                del self.entries[key]

    def _header(self) -> dict[str, str]:
        return {"cluster_id": "1", "member_id": "1", "revision": str(self.revision), "raft_term": "2"}

    def call(self, now: float, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Carry out one call; ``Refused`` where etcd answers with an error."""
        work: dict[str, Callable[[float, dict[str, Any]], dict[str, Any]]] = {
            "/v3/lease/grant": self._grant,
            "/v3/lease/keepalive": self._keepalive,
            "/v3/lease/revoke": self._revoke,
            "/v3/kv/range": self._range,
            "/v3/kv/txn": self._txn,
        }
        if path not in work:
            raise Refused(404, "Not Found")
        return work[path](now, body)

    def _grant(self, now: float, body: dict[str, Any]) -> dict[str, Any]:
        ttl, number = max(self._min_ttl, int(body["TTL"])), self._next
        self._next += 1
        self.leases[number] = Granted(ttl, now + ttl)
        return {"header": self._header(), "ID": str(number), "TTL": str(ttl)}

    def _keepalive(self, now: float, body: dict[str, Any]) -> dict[str, Any]:
        lease = self.leases.get(int(body["ID"]))
        result = {"header": self._header(), "ID": body["ID"]}
        if lease is not None:
            lease.until = now + lease.ttl
            result["TTL"] = str(lease.ttl)
        return {"result": result}

    def _revoke(self, now: float, body: dict[str, Any]) -> dict[str, Any]:
        if int(body["ID"]) not in self.leases:
            raise Refused(404, "etcdserver: requested lease not found")
        self.end(int(body["ID"]))
        return {"header": self._header()}

    def _range(self, now: float, body: dict[str, Any]) -> dict[str, Any]:
        key, end = base64.b64decode(body["key"]), base64.b64decode(body.get("range_end", ""))
        if end:
            names = sorted(base64.b64decode(name) for name in self.entries)
            found = [base64.b64encode(name).decode() for name in names if key <= name < end]
        else:
            found = [body["key"]] if body["key"] in self.entries else []
        answer: dict[str, Any] = {"header": self._header()}
        if found:
            answer["count"] = str(len(found))
            if not body.get("count_only"):
                answer["kvs"] = [self._kv(name) for name in found]
        return answer

    def _kv(self, name: str) -> dict[str, str]:
        entry = self.entries[name]
        kv = {
            "key": name,
            "create_revision": str(entry.create),
            "mod_revision": str(entry.mod),
            "version": str(entry.version),
            "value": entry.value,
        }
        return {**kv, "lease": str(entry.lease)} if entry.lease else kv

    def _holds(self, compare: dict[str, Any]) -> bool:
        if compare.get("result") != "EQUAL":
            raise Refused(400, "only EQUAL is there")
        entry = self.entries.get(compare["key"])
        if compare["target"] == "CREATE":
            return (entry.create if entry else 0) == int(compare["create_revision"])
        if compare["target"] == "MOD":
            return (entry.mod if entry else 0) == int(compare["mod_revision"])
        if compare["target"] == "LEASE":
            return (entry.lease if entry else 0) == int(compare["lease"])
        raise Refused(400, f"no target {compare['target']}")

    def _txn(self, now: float, body: dict[str, Any]) -> dict[str, Any]:
        holds = all([self._holds(each) for each in body.get("compare", [])])
        then = body.get("success" if holds else "failure", [])
        keys = [next(iter(op.values()))["key"] for op in then]
        if len(set(keys)) != len(keys):
            raise Refused(400, "etcdserver: duplicate key given in txn request")
        for op in then:
            if (lease := int(op.get("request_put", {}).get("lease", 0))) and lease not in self.leases:
                raise Refused(404, "etcdserver: requested lease not found")
        if any("request_put" in op or op["request_delete_range"]["key"] in self.entries for op in then):
            self.revision += 1
        for op in then:
            if "request_put" in op:
                self._put(op["request_put"])
            else:
                self._delete(op["request_delete_range"]["key"])
        answer: dict[str, Any] = {"header": self._header()}
        return {**answer, "succeeded": True} if holds else answer

    def _put(self, put: dict[str, Any]) -> None:
        key, lease = put["key"], int(put.get("lease", 0))
        old = self.entries.get(key)
        if old is not None and old.lease in self.leases:
            self.leases[old.lease].keys.discard(key)
        create, version = (old.create, old.version + 1) if old else (self.revision, 1)
        self.entries[key] = Entry(put.get("value", ""), lease, create, self.revision, version)
        if lease:
            self.leases[lease].keys.add(key)

    def _delete(self, key: str) -> None:
        entry = self.entries.pop(key, None)
        if entry is not None and entry.lease in self.leases:
            self.leases[entry.lease].keys.discard(key)


class Gateway:
    """The store with its faults, for many threads."""

    def __init__(self, min_ttl: int = MIN_TTL) -> None:
        self.store = Store(min_ttl)
        self.lock = threading.Lock()
        self.calls: dict[str, int] = {}
        self._stall_to = self._refuse_to = self._late_to = 0.0
        self._late = 0.0
        self._lose = self._twice = 0
        self._life = 0  # grows with each restart; a connection of an earlier one is closed

    def fault(self, words: dict[str, Any]) -> None:
        now = time.monotonic()
        with self.lock:
            self._stall_to = now + words["stall"] if "stall" in words else self._stall_to
            self._refuse_to = now + words["refuse"] if "refuse" in words else self._refuse_to
            if "late" in words:
                self._late, self._late_to = words["late"], now + words["for"]
            self._lose += words.get("lose", 0)
            self._twice += words.get("twice", 0)
            if "restart" in words:
                self._life += 1
                for number, lease in list(self.store.leases.items()):
                    if words["restart"] == "aged":
                        self.store.end(number)
                    else:
                        lease.until = now + lease.ttl

    def answer(self, path: str, body: dict[str, Any], life: int) -> tuple[int, dict[str, Any]] | None:
        """Code and object; None: close without an answer."""
        while (wait := self._stall_to - time.monotonic()) > 0:
            time.sleep(min(wait, 0.05))
        now = time.monotonic()
        with self.lock:
            self.calls[path] = self.calls.get(path, 0) + 1
            if life != self._life:
                return None
            if now < self._refuse_to:
                return 503, {"error": "etcdserver: no leader", "code": 14}
            times = 1
            if self._twice > 0 and path == "/v3/kv/txn":
                self._twice -= 1
                times = 2
            try:
                for _ in range(times):
                    found = self.store.call(now, path, body)
            except Refused as error:
                return error.code, {"error": str(error), "code": 5, "message": str(error)}
            except (KeyError, ValueError, TypeError) as error:
                return 400, {"error": f"{type(error).__name__}: {error}", "code": 3}
            if self._lose > 0 and path in ("/v3/kv/txn", "/v3/lease/grant"):
                self._lose -= 1
                return None
            late = self._late if now < self._late_to else 0.0
        if late:
            time.sleep(late)
        return 200, found

    def life(self) -> int:
        return self._life

    def expire(self) -> None:
        while True:
            time.sleep(EXPIRY)
            if time.monotonic() >= self._stall_to:  # a stalled one ends nothing either
                with self.lock:
                    self.store.expire(time.monotonic())


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512


def serve(host: str, port: int, gateway: Gateway) -> ThreadingHTTPServer:
    """The gateway on a socket, on threads of its own. Raises ``OSError`` if it cannot listen."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def setup(self) -> None:
            super().setup()
            self._life = gateway.life()

        def do_POST(self) -> None:
            body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
            try:
                found = gateway.answer(self.path, json.loads(body), self._life)
            except ValueError:
                found = 400, {"error": "no JSON", "code": 3}
            if found is None:
                self.close_connection = True
                return
            data = json.dumps(found[1]).encode()
            with suppress(OSError):
                self.send_response(found[0])
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

        def log_message(self, format: str, *args: Any) -> None:
            pass

    server = _Server((host, port), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    threading.Thread(target=gateway.expire, daemon=True).start()
    return server


def main() -> None:
    spec = json.loads(sys.argv[1])
    gateway = Gateway(spec.get("min_ttl", MIN_TTL))
    server = serve(spec.get("host", "127.0.0.1"), spec.get("port", 0), gateway)
    print(
        json.dumps({"at": time.monotonic(), "who": spec["name"], "what": "start", "port": server.server_address[1]}),
        flush=True,
    )
    for line in sys.stdin:
        words = json.loads(line)
        if words.get("report"):
            print(
                json.dumps(
                    {
                        "at": time.monotonic(),
                        "who": spec["name"],
                        "what": "calls",
                        "calls": gateway.calls,
                        "keys": len(gateway.store.entries),
                    }
                ),
                flush=True,
            )
        else:
            gateway.fault(words)


if __name__ == "__main__":
    main()
