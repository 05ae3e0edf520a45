"""A stand-in for the JSON gateway of etcd v3, with fault injection: the part that ownership uses, on loopback.

``Store`` holds the state, without I/O and with time passed in; ``Gateway`` adds the faults and ``serve`` the HTTP
server. These properties of etcd are reproduced: int64 values are strings, fields that are zero or false are left out, a
transaction has one revision, a lease's keys are deleted with it, a keep-alive of an expired lease is answered without a
TTL, a put with such a lease is rejected, and expiry is checked twice a second. Unlike etcd it is a single process
without storage, watches or authentication.

Faults are JSON objects on standard input, one a line:

- ``{"stall": S}`` holds requests for S seconds, then processes them;
- ``{"refuse": S}`` answers 503 for S seconds;
- ``{"lose": N}`` applies the next N writes and closes their connections without an answer;
- ``{"late": DELAY, "for": S}`` applies requests at once and answers after DELAY seconds, for S seconds;
- ``{"twice": N}`` applies the next N transactions twice, as a proxy that retries would;
- ``{"restart": "kept"}`` drops all connections and renews all leases; ``"aged"`` ends the leases.

``{"report": true}`` prints the calls by path and the number of keys.
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
MIN_TTL_S = 2  # etcd raises shorter TTLs to its election timeout
FIRST_LEASE = 7_587_000_000_000_000_000  # etcd's lease ids are large integers, too
STALL_STEP_S = 0.05


class EtcdError(Exception):
    """An error response of etcd: its HTTP status and text."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Entry:
    """The value of a key, its lease (0 for none), the revisions of its creation and last write, and its write count."""

    value: str
    lease: int
    create_revision: int
    mod_revision: int
    version: int


@dataclass(slots=True)
class GrantedLease:
    """A lease and the keys that are deleted with it."""

    ttl_s: int
    expires_at: float
    keys: set[str] = field(default_factory=set)


class Store:
    """Keys, leases and their revisions.

    Keys and values stay in base64 as received. Ranges decode the keys, as base64 does not keep the order of the bytes.
    """

    def __init__(self, min_ttl_s: int = MIN_TTL_S) -> None:
        self.revision = 1
        self.entries: dict[str, Entry] = {}
        self.leases: dict[int, GrantedLease] = {}
        self._next_lease = FIRST_LEASE
        self._min_ttl_s = min_ttl_s

    def expire(self, now: float) -> None:
        """End the leases that have expired."""
        for lease_id in [lease_id for lease_id, lease in self.leases.items() if lease.expires_at <= now]:
            self.end(lease_id)

    def end(self, lease_id: int) -> None:
        """End a lease and delete its keys, in one revision."""
        keys = self.leases.pop(lease_id).keys
        if keys:
            self.revision += 1
            for key in keys:
                del self.entries[key]

    def _header(self) -> dict[str, str]:
        return {"cluster_id": "1", "member_id": "1", "revision": str(self.revision), "raft_term": "2"}

    def call(self, now: float, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Execute one request and return its response. Raises ``EtcdError`` where etcd answers with an error."""
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
        ttl_s = max(self._min_ttl_s, int(body["TTL"]))
        lease_id = self._next_lease
        self._next_lease += 1
        self.leases[lease_id] = GrantedLease(ttl_s, now + ttl_s)
        return {"header": self._header(), "ID": str(lease_id), "TTL": str(ttl_s)}

    def _keepalive(self, now: float, body: dict[str, Any]) -> dict[str, Any]:
        lease = self.leases.get(int(body["ID"]))
        renewal = {"header": self._header(), "ID": body["ID"]}
        if lease is not None:
            lease.expires_at = now + lease.ttl_s
            renewal["TTL"] = str(lease.ttl_s)
        return {"result": renewal}

    def _revoke(self, now: float, body: dict[str, Any]) -> dict[str, Any]:
        if int(body["ID"]) not in self.leases:
            raise EtcdError(404, "etcdserver: requested lease not found")
        self.end(int(body["ID"]))
        return {"header": self._header()}

    def _range(self, now: float, body: dict[str, Any]) -> dict[str, Any]:
        key = base64.b64decode(body["key"])
        end = base64.b64decode(body.get("range_end", ""))
        if end:
            all_keys = sorted(base64.b64decode(encoded) for encoded in self.entries)
            found = [base64.b64encode(one).decode() for one in all_keys if key <= one < end]
        else:
            found = [body["key"]] if body["key"] in self.entries else []
        answer: dict[str, Any] = {"header": self._header()}
        if found:
            answer["count"] = str(len(found))
            if not body.get("count_only"):
                answer["kvs"] = [self._key_value(encoded) for encoded in found]
        return answer

    def _key_value(self, key: str) -> dict[str, str]:
        entry = self.entries[key]
        fields = {
            "key": key,
            "create_revision": str(entry.create_revision),
            "mod_revision": str(entry.mod_revision),
            "version": str(entry.version),
            "value": entry.value,
        }
        return {**fields, "lease": str(entry.lease)} if entry.lease else fields

    def _comparison_holds(self, comparison: dict[str, Any]) -> bool:
        if comparison.get("result") != "EQUAL":
            raise EtcdError(400, "only EQUAL is there")
        entry = self.entries.get(comparison["key"])
        if comparison["target"] == "CREATE":
            return (entry.create_revision if entry else 0) == int(comparison["create_revision"])
        if comparison["target"] == "MOD":
            return (entry.mod_revision if entry else 0) == int(comparison["mod_revision"])
        if comparison["target"] == "LEASE":
            return (entry.lease if entry else 0) == int(comparison["lease"])
        raise EtcdError(400, f"no target {comparison['target']}")

    def _transaction(self, now: float, body: dict[str, Any]) -> dict[str, Any]:
        holds = all([self._comparison_holds(comparison) for comparison in body.get("compare", [])])
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
        """Whether the operation changes the store: a put, or the deletion of an existing key."""
        return "request_put" in operation or operation["request_delete_range"]["key"] in self.entries

    def _put(self, put: dict[str, Any]) -> None:
        key, lease = put["key"], int(put.get("lease", 0))
        old = self.entries.get(key)
        if old is not None and old.lease in self.leases:
            self.leases[old.lease].keys.discard(key)
        create_revision, version = (old.create_revision, old.version + 1) if old else (self.revision, 1)
        self.entries[key] = Entry(put.get("value", ""), lease, create_revision, self.revision, version)
        if lease:
            self.leases[lease].keys.add(key)

    def _delete(self, key: str) -> None:
        entry = self.entries.pop(key, None)
        if entry is not None and entry.lease in self.leases:
            self.leases[entry.lease].keys.discard(key)


class Gateway:
    """The store with fault injection, safe for use by several threads."""

    def __init__(self, min_ttl_s: int = MIN_TTL_S) -> None:
        self.store = Store(min_ttl_s)
        self.lock = threading.Lock()
        self.calls: dict[str, int] = {}
        self._stall_until = 0.0
        self._refuse_until = 0.0
        self._delay_until = 0.0
        self._answer_delay_s = 0.0
        self._writes_to_lose = 0
        self._transactions_to_repeat = 0
        self._incarnation = 0  # incremented by each restart, which closes the connections of earlier incarnations

    def fault(self, command: dict[str, Any]) -> None:
        """Inject a fault; the module documents the commands."""
        now = time.monotonic()
        with self.lock:
            self._stall_until = now + command["stall"] if "stall" in command else self._stall_until
            self._refuse_until = now + command["refuse"] if "refuse" in command else self._refuse_until
            if "late" in command:
                self._answer_delay_s = command["late"]
                self._delay_until = now + command["for"]
            self._writes_to_lose += command.get("lose", 0)
            self._transactions_to_repeat += command.get("twice", 0)
            if "restart" in command:
                self._incarnation += 1
                for lease_id, lease in list(self.store.leases.items()):
                    if command["restart"] == "aged":
                        self.store.end(lease_id)
                    else:
                        lease.expires_at = now + lease.ttl_s

    def answer(self, path: str, body: dict[str, Any], incarnation: int) -> tuple[int, dict[str, Any]] | None:
        """Returns the HTTP status and the response, or None to close the connection without one.

        ``incarnation``: that of the gateway when the connection was opened.
        """
        while (wait := self._stall_until - time.monotonic()) > 0:
            time.sleep(min(wait, STALL_STEP_S))
        now = time.monotonic()
        with self.lock:
            self.calls[path] = self.calls.get(path, 0) + 1
            if incarnation != self._incarnation:
                return None
            if now < self._refuse_until:
                return 503, {"error": "etcdserver: no leader", "code": 14}
            repetitions = 1
            if self._transactions_to_repeat > 0 and path == "/v3/kv/txn":
                self._transactions_to_repeat -= 1
                repetitions = 2
            try:
                for _ in range(repetitions):
                    response = self.store.call(now, path, body)
            except EtcdError as error:
                return error.status, {"error": str(error), "code": 5, "message": str(error)}
            except (KeyError, ValueError, TypeError) as error:
                return 400, {"error": f"{type(error).__name__}: {error}", "code": 3}
            if self._writes_to_lose > 0 and path in ("/v3/kv/txn", "/v3/lease/grant"):
                self._writes_to_lose -= 1
                return None
            delay_s = self._answer_delay_s if now < self._delay_until else 0.0
        if delay_s:
            time.sleep(delay_s)
        return 200, response

    def incarnation(self) -> int:
        """The number of restarts so far."""
        return self._incarnation

    def expire(self) -> None:
        """End expired leases periodically; never returns."""
        while True:
            time.sleep(EXPIRY_INTERVAL_S)
            if time.monotonic() >= self._stall_until:  # a stalled etcd does not end leases either
                with self.lock:
                    self.store.expire(time.monotonic())


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512


def serve(host: str, port: int, gateway: Gateway) -> ThreadingHTTPServer:
    """Serve the gateway over HTTP on background threads. Raises ``OSError`` if the address cannot be bound."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def setup(self) -> None:
            super().setup()
            self._incarnation = gateway.incarnation()

        def do_POST(self) -> None:  # noqa: N802 - the name is set by http.server
            """Answer one request."""
            body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
            try:
                answer = gateway.answer(self.path, json.loads(body), self._incarnation)
            except ValueError:
                answer = 400, {"error": "no JSON", "code": 3}
            if answer is None:
                self.close_connection = True
                return
            data = json.dumps(answer[1]).encode()
            with suppress(OSError):
                self.send_response(answer[0])
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
    """Serve the gateway that the first argument describes, and execute commands until standard input ends."""
    spec = json.loads(sys.argv[1])
    gateway = Gateway(spec.get("min_ttl", MIN_TTL_S))
    server = serve(spec.get("host", "127.0.0.1"), spec.get("port", 0), gateway)
    print(
        json.dumps({"at": time.monotonic(), "who": spec["name"], "what": "start", "port": server.server_address[1]}),
        flush=True,
    )
    for line in sys.stdin:
        command = json.loads(line)
        if command.get("report"):
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
            gateway.fault(command)


if __name__ == "__main__":
    main()
