"""The coordinator on etcd v3, over its JSON gateway, with etcd3gw.

A session is an etcd lease. The member's key and the keys of its shards are attached to it, so etcd deletes them when
the lease expires by its own clock. A shard's token is the revision that last modified its key, so tokens increase over
the whole store, and a transfer is one transaction on that revision. No watch is needed: every answer carries the
store's revision, and the state is read only when it has changed. Nothing is read at an old revision, so compaction is
harmless.

Keys, after the prefix: ``member/NAME``, ``owner/DUTY/SHARD``, ``mark/DUTY/SHARD`` (effect counts) and ``past/NAME``
(join counts). See https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/.
"""

from __future__ import annotations

import base64
import json
import math
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from typing import Any

import requests
from etcd3gw.client import Etcd3Client
from etcd3gw.exceptions import Etcd3Exception

from lapishaven.ownership.model import (
    AlreadyOwnedError,
    CoordinatorError,
    ListedMember,
    MemberRecord,
    MemberState,
    SessionExpiredError,
    SessionGrant,
    Shard,
    ShardOwner,
    View,
)

DEFAULT_TIMEOUT_S = 1.0
MIN_TTL_S = 1  # etcd leases are in whole seconds


class EtcdCoordinator:
    """A client of one etcd endpoint; ``timeout_s`` is the limit of each request. Not thread-safe."""

    def __init__(self, host: str, port: int, prefix: str, timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
        self._client = Etcd3Client(host, port, timeout=timeout_s, api_path="/v3/")
        self._client.session.trust_env = False  # ignores proxies in the environment: the address is used as configured
        self._prefix = prefix.rstrip("/") + "/"

    def join(self, record: MemberRecord, ttl: float) -> SessionGrant:
        """Open a session: a lease, with the member's key attached to it."""
        ttl_s = max(MIN_TTL_S, math.ceil(ttl))
        session = int(self._post("/lease/grant", {"TTL": str(ttl_s), "ID": "0"})["ID"])
        past = self._post("/kv/range", {"key": self._key("past", record.name)}).get("kvs", [])
        join_count = 1 + (int(_decode(past[0]["value"])) if past else 0)
        member_key = self._key("member", record.name)
        revision = self._transaction(
            [_is_absent(member_key)],
            [
                _put(member_key, _record_text(session, record), session),
                _put(self._key("past", record.name), str(join_count)),
            ],
        )
        if revision is None:
            self._post("/lease/revoke", {"ID": str(session)})
            raise AlreadyOwnedError
        return SessionGrant(session, join_count)

    def renew(self, session: int) -> int:
        """Renew the session's lease; returns the revision."""
        answer = self._post("/lease/keepalive", {"ID": str(session)})
        with self._translated_errors():
            result = answer["result"]
            if int(result.get("TTL", 0)) <= 0:
                raise SessionExpiredError
            return int(result["header"]["revision"])

    def read_revision(self) -> int:
        """Read the store's revision."""
        with self._translated_errors():
            answer = self._post("/kv/range", {"key": self._key("none"), "count_only": True})
            return int(answer["header"]["revision"])

    def announce(self, session: int, record: MemberRecord, stable: bool = False) -> None:
        """Replace the member's record."""
        key = self._key("member", record.name)
        operations = [_put(key, _record_text(session, record), session)]
        if stable:
            operations.append({"request_delete_range": {"key": self._key("past", record.name)}})
        # The lease is the session; etcd rejects a put with a lease that has ended.
        if self._transaction([_has_lease(key, session)], operations) is None:
            raise SessionExpiredError

    def read_state(self) -> View:
        """Read all keys under the prefix."""
        start = self._prefix.encode()
        end = start[:-1] + bytes([start[-1] + 1])
        answer = self._post(
            "/kv/range", {"key": base64.b64encode(start).decode(), "range_end": base64.b64encode(end).decode()}
        )
        with self._translated_errors():
            return self._parse_state(answer)

    def _parse_state(self, answer: Mapping[str, Any]) -> View:
        members: list[ListedMember] = []
        owners: dict[Shard, ShardOwner] = {}
        effect_counts: dict[Shard, int] = {}
        for entry in answer.get("kvs", []):
            kind, _, name = _decode(entry["key"])[len(self._prefix) :].partition("/")
            value = _decode(entry.get("value", ""))
            if kind == "member":
                members.append(_parse_member(name, value))
            elif kind == "owner":
                owners[_parse_shard(name)] = ShardOwner(int(value), int(entry["mod_revision"]))
            elif kind == "mark":
                effect_counts[_parse_shard(name)] = int(value)
        return View(int(answer["header"]["revision"]), tuple(members), owners, effect_counts)

    def claim(self, session: int, shard: Shard) -> int:
        """Take a shard that has no owner; returns its token."""
        key = self._key("owner", *shard)
        revision = self._transaction([_is_absent(key)], [_put(key, str(session), session)])
        if revision is None:
            raise AlreadyOwnedError
        return revision

    def transfer(self, session: int, shard: Shard, token: int, successor: int | None) -> bool:
        """Transfer a shard to another session, or release it if there is no successor or its session has ended."""
        key = self._key("owner", *shard)
        if successor is not None:
            try:
                put = _put(key, str(successor), successor)
                return self._transaction([_is_at_revision(key, token)], [put]) is not None
            except SessionExpiredError:
                pass
        delete = {"request_delete_range": {"key": key}}
        return self._transaction([_is_at_revision(key, token)], [delete]) is not None

    def record_effect_count(self, session: int, shard: Shard, token: int, effect_count: int) -> bool:
        """Store how many effects the shard's receiver holds."""
        in_force = _is_at_revision(self._key("owner", *shard), token)
        put = _put(self._key("mark", *shard), str(effect_count))
        return self._transaction([in_force], [put]) is not None

    def deregister(self, session: int) -> None:
        """Revoke the session's lease."""
        self._post("/lease/revoke", {"ID": str(session)})

    def close(self) -> None:
        """Close the connections."""
        self._client.session.close()

    # ---- The gateway
    @contextmanager
    def _translated_errors(self) -> Iterator[None]:
        try:
            yield
        except Etcd3Exception as error:
            # "requested lease not found" is a definite answer, although the gateway reports it as an error.
            if "lease not found" in (error.detail_text or ""):
                raise SessionExpiredError from None
            raise CoordinatorError(f"etcd call failed: {type(error).__name__}: {error.detail_text}") from None
        except (requests.RequestException, ValueError, KeyError, TypeError) as error:
            raise CoordinatorError(f"no usable answer from etcd: {type(error).__name__}: {error}") from None

    def _post(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        with self._translated_errors():
            answer = self._client.post(self._client.get_url(path), json=body)
            if not isinstance(answer, dict):
                raise ValueError(f"the gateway's answer to {path} is a {type(answer).__name__}, not a JSON object")
            return answer

    def _key(self, *parts: object) -> str:
        return _encode(self._prefix + "/".join(str(part) for part in parts))

    def _transaction(self, comparisons: list[dict[str, Any]], operations: list[dict[str, Any]]) -> int | None:
        """The revision if the transaction was committed, None if a comparison failed."""
        with self._translated_errors():
            answer = self._client.transaction({"compare": comparisons, "success": operations, "failure": []})
            return int(answer["header"]["revision"]) if answer.get("succeeded") else None


# ---- The gateway's JSON
def _encode(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def _decode(value: str) -> str:
    return base64.b64decode(value).decode()


def _is_absent(key: str) -> dict[str, Any]:
    return {"key": key, "target": "CREATE", "result": "EQUAL", "create_revision": "0"}


def _is_at_revision(key: str, revision: int) -> dict[str, Any]:
    return {"key": key, "target": "MOD", "result": "EQUAL", "mod_revision": str(revision)}


def _has_lease(key: str, lease: int) -> dict[str, Any]:
    return {"key": key, "target": "LEASE", "result": "EQUAL", "lease": str(lease)}


def _put(key: str, value: str, lease: int = 0) -> dict[str, Any]:
    put = {"key": key, "value": _encode(value)}
    return {"request_put": {**put, "lease": str(lease)} if lease else put}


# ---- Stored values
def _record_text(session: int, record: MemberRecord) -> str:
    return json.dumps(
        {"session": session, "start": record.incarnation, "standing": record.state.value, "weight": record.weight}
    )


def _parse_member(name: str, value: str) -> ListedMember:
    fields = json.loads(value)
    record = MemberRecord(name, fields["start"], MemberState(fields["standing"]), fields["weight"])
    return ListedMember(int(fields["session"]), record)


def _parse_shard(name: str) -> Shard:
    duty, _, number = name.rpartition("/")
    return duty, int(number)
