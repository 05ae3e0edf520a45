"""A stand-in for etcd v3's JSON gateway, as far as ownership uses it: a process on loopback with faults on request.

``Store`` is the state, pure, with time passed in; the rest is HTTP. What etcd does that matters here is done likewise:
int64 as strings, fields that are zero or false left out, one revision for a transaction, keys that go with their
lease, a keep-alive of an expired lease answered without a TTL, a put with such a lease rejected, expiry checked twice a
second. It is not etcd: one process, nothing on disk, no watch, no auth.

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

EXPIRY_INTERVAL_S = 0.5  # between two checks for expired leases, as in etcd
MIN_TTL_S = 2  # etcd raises shorter ones to its election timeout
FIRST_LEASE = 7_587_000_000_000_000_000  # etcd numbers leases by large integers
STALL_STEP_S = 0.05


class EtcdError(Exception):
    """An error that etcd answers with: its code and text."""

    def __init__(self, code: int, text: str) -> None:
        super().__init__(text)
        self.code = code


@dataclass(slots=True)
class Entry:
    """A key's value, its lease (0 for none), and the revisions that created it and last wrote it."""

    value: str
    lease: int
    create: int
    mod: int
    version: int


@dataclass(slots=True)
class GrantedLease:
    """A lease: its time to live in seconds, when it expires, and the keys that go with it."""

    ttl: int
    expires_at: float
    keys: set[str] = field(default_factory=set)


class Store:
    """Keys and values as they come, in base64 (its order is not that of the bytes, so ranges decode)."""

    def __init__(self, min_ttl: int = MIN_TTL_S) -> None:
        self.revision = 1
        self.entries: dict[str, Entry] = {}
        self.leases: dict[int, GrantedLease] = {}
        self._next_lease = FIRST_LEASE
        self._min_ttl = min_ttl

    def expire(self, now: float) -> None:
        """End the leases that have expired."""
        for number in [number for number, lease in self.leases.items() if lease.expires_at <= now]:
            self.end(number)

    def end(self, number: int) -> None:
        """End a lease; its keys go with it."""
        keys = self.leases.pop(number).keys
        if keys:
            self.revision += 1
            for key in keys:
                del self.entries[key]

    def _header(self) -> dict[str, str]:
        return {"cluster_id": "1", "member_id": "1", "revision": str(self.revision), "raft_term": "2"}

    def call(self, now: float, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Carry out one call; ``EtcdError`` where etcd answers with an error."""
        handlers: dict[str, Callable[[float, dict[str, Any]], dict[str, Any]]] = {
            "/v3/lease/grant": self._grant,
            "/v3/lease/keepalive": self._keepalive,
            "/v3/lease/revoke": self._revoke,
            "/v3/kv/range": self._range,
            "/v3/kv/txn": self._transaction,
        }
        if path not in handlers:
            raise EtcdError(404, "Not Found")
        return handlers[path](now, body)

    def _grant(self, now: float, body: dict[str, Any]) -> dict[str, Any]:
        ttl = max(self._min_ttl, int(body["TTL"]))
        number = self._next_lease
        self._next_lease += 1
        self.leases[number] = GrantedLease(ttl, now + ttl)
        return {"header": self._header(), "ID": str(number), "TTL": str(ttl)}

    def _keepalive(self, now: float, body: dict[str, Any]) -> dict[str, Any]:
        lease = self.leases.get(int(body["ID"]))
        result = {"header": self._header(), "ID": body["ID"]}
        if lease is not None:
            lease.expires_at = now + lease.ttl
            result["TTL"] = str(lease.ttl)
        return {"result": result}

    def _revoke(self, now: float, body: dict[str, Any]) -> dict[str, Any]:
        if int(body["ID"]) not in self.leases:
            raise EtcdError(404, "etcdserver: requested lease not found")
        self.end(int(body["ID"]))
        return {"header": self._header()}

    def _range(self, now: float, body: dict[str, Any]) -> dict[str, Any]:
        key = base64.b64decode(body["key"])
        end = base64.b64decode(body.get("range_end", ""))
        if end:
            names = sorted(base64.b64decode(name) for name in self.entries)
            found = [base64.b64encode(name).decode() for name in names if key <= name < end]
        else:
            found = [body["key"]] if body["key"] in self.entries else []
        answer: dict[str, Any] = {"header": self._header()}
        if found:
            answer["count"] = str(len(found))
            if not body.get("count_only"):
                answer["kvs"] = [self._key_value(name) for name in found]
        return answer

    def _key_value(self, name: str) -> dict[str, str]:
        entry = self.entries[name]
        fields = {
            "key": name,
            "create_revision": str(entry.create),
            "mod_revision": str(entry.mod),
            "version": str(entry.version),
            "value": entry.value,
        }
        return {**fields, "lease": str(entry.lease)} if entry.lease else fields

    def _holds(self, comparison: dict[str, Any]) -> bool:
        if comparison.get("result") != "EQUAL":
            raise EtcdError(400, "only EQUAL is there")
        entry = self.entries.get(comparison["key"])
        if comparison["target"] == "CREATE":
            return (entry.create if entry else 0) == int(comparison["create_revision"])
        if comparison["target"] == "MOD":
            return (entry.mod if entry else 0) == int(comparison["mod_revision"])
        if comparison["target"] == "LEASE":
            return (entry.lease if entry else 0) == int(comparison["lease"])
        raise EtcdError(400, f"no target {comparison['target']}")

    def _transaction(self, now: float, body: dict[str, Any]) -> dict[str, Any]:
        holds = all([self._holds(comparison) for comparison in body.get("compare", [])])
        operations = body.get("success" if holds else "failure", [])
        keys = [next(iter(operation.values()))["key"] for operation in operations]
        if len(set(keys)) != len(keys):
            raise EtcdError(400, "etcdserver: duplicate key given in txn request")
        for operation in operations:
            if (lease := int(operation.get("request_put", {}).get("lease", 0))) and lease not in self.leases:
                raise EtcdError(404, "etcdserver: requested lease not found")
        if any(self._changes(operation) for operation in operations):
            self.revision += 1
        for operation in operations:
            if "request_put" in operation:
                self._put(operation["request_put"])
            else:
                self._delete(operation["request_delete_range"]["key"])
        answer: dict[str, Any] = {"header": self._header()}
        return {**answer, "succeeded": True} if holds else answer

    def _changes(self, operation: dict[str, Any]) -> bool:
        """Whether it is a put, or deletes a key that is there."""
        return "request_put" in operation or operation["request_delete_range"]["key"] in self.entries

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

    def __init__(self, min_ttl: int = MIN_TTL_S) -> None:
        self.store = Store(min_ttl)
        self.lock = threading.Lock()
        self.calls: dict[str, int] = {}
        self._stall_until = 0.0
        self._refuse_until = 0.0
        self._late_until = 0.0
        self._late_s = 0.0
        self._writes_to_lose = 0
        self._transactions_to_repeat = 0
        self._incarnation = 0  # grows with each restart; a connection of an earlier one is closed

    def fault(self, words: dict[str, Any]) -> None:
        """Take a fault, as the module describes them."""
        now = time.monotonic()
        with self.lock:
            self._stall_until = now + words["stall"] if "stall" in words else self._stall_until
            self._refuse_until = now + words["refuse"] if "refuse" in words else self._refuse_until
            if "late" in words:
                self._late_s = words["late"]
                self._late_until = now + words["for"]
            self._writes_to_lose += words.get("lose", 0)
            self._transactions_to_repeat += words.get("twice", 0)
            if "restart" in words:
                self._incarnation += 1
                for number, lease in list(self.store.leases.items()):
                    if words["restart"] == "aged":
                        self.store.end(number)
                    else:
                        lease.expires_at = now + lease.ttl

    def answer(self, path: str, body: dict[str, Any], incarnation: int) -> tuple[int, dict[str, Any]] | None:
        """The HTTP status and the answer; None: close without an answer. ``incarnation``: in which the connection was
        opened."""
        while (wait := self._stall_until - time.monotonic()) > 0:
            time.sleep(min(wait, STALL_STEP_S))
        now = time.monotonic()
        with self.lock:
            self.calls[path] = self.calls.get(path, 0) + 1
            if incarnation != self._incarnation:
                return None
            if now < self._refuse_until:
                return 503, {"error": "etcdserver: no leader", "code": 14}
            times = 1
            if self._transactions_to_repeat > 0 and path == "/v3/kv/txn":
                self._transactions_to_repeat -= 1
                times = 2
            try:
                for _ in range(times):
                    found = self.store.call(now, path, body)
            except EtcdError as error:
                return error.code, {"error": str(error), "code": 5, "message": str(error)}
            except (KeyError, ValueError, TypeError) as error:
                return 400, {"error": f"{type(error).__name__}: {error}", "code": 3}
            if self._writes_to_lose > 0 and path in ("/v3/kv/txn", "/v3/lease/grant"):
                self._writes_to_lose -= 1
                return None
            late = self._late_s if now < self._late_until else 0.0
        if late:
            time.sleep(late)
        return 200, found

    def incarnation(self) -> int:
        """Grows with each restart."""
        return self._incarnation

    def expire(self) -> None:
        """End expired leases, for ever."""
        while True:
            time.sleep(EXPIRY_INTERVAL_S)
            if time.monotonic() >= self._stall_until:  # a stalled process ends nothing either
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
            self._incarnation = gateway.incarnation()

        def do_POST(self) -> None:  # noqa: N802 - the name that http.server calls
            """Answer one call."""
            body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
            try:
                found = gateway.answer(self.path, json.loads(body), self._incarnation)
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
    """Serve the gateway that the first argument describes, until standard input ends."""
    spec = json.loads(sys.argv[1])
    gateway = Gateway(spec.get("min_ttl", MIN_TTL_S))
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
