"""The coordinator on etcd v3, over its JSON gateway, by etcd3gw.

A member is a key with its own lease; so is each shard that it owns, and both go when the lease ends, by etcd's own
clock. A shard's token is the revision that last wrote its key, so tokens grow over the whole store and a hand-over is
one transaction on that revision. A watch is not needed: every answer bears the store's revision, and a look is asked
for only when it has moved. Nothing is read at an old revision, so compaction does not matter.
"""

from __future__ import annotations

import base64
import json
import math
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import requests
from etcd3gw.client import Etcd3Client
from etcd3gw.exceptions import Etcd3Exception

from lapishaven.ownership.model import (
    AlreadyOwned,
    CoordinatorError,
    Joined,
    MemberRecord,
    Owned,
    Seen,
    SessionGone,
    Shard,
    Standing,
    View,
)


def _b64(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def _text(value: str) -> str:
    return base64.b64decode(value).decode()


class EtcdCoordinator:
    """``timeout`` in s for each request. Not to be shared by threads."""

    def __init__(self, host: str, port: int, prefix: str, timeout: float = 1.0) -> None:
        self._client = Etcd3Client(host, port, timeout=timeout, api_path="/v3/")
        self._client.session.trust_env = False  # the address is as it was given, whatever proxies the environment names
        self._prefix = prefix.rstrip("/") + "/"

    # ---- The gateway
    @contextmanager
    def _asking(self) -> Iterator[None]:
        try:
            yield
        except Etcd3Exception as error:
            # "requested lease not found" is an answer, of which the gateway makes an error.
            if "lease not found" in (error.detail_text or ""):
                raise SessionGone from None
            raise CoordinatorError(f"{type(error).__name__}: {error.detail_text}") from None
        except (requests.RequestException, ValueError, KeyError, TypeError) as error:
            raise CoordinatorError(f"{type(error).__name__}: {error}") from None

    def _post(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        with self._asking():
            found = self._client.post(self._client.get_url(path), json=body)
            if not isinstance(found, dict):
                raise ValueError("the answer is no object")
            return found

    def _key(self, *parts: object) -> str:
        return _b64(self._prefix + "/".join(str(part) for part in parts))

    def _txn(self, compare: list[dict[str, Any]], then: list[dict[str, Any]]) -> int | None:
        """The revision if the transaction was done, None if a comparison failed."""
        with self._asking():
            found = self._client.transaction({"compare": compare, "success": then, "failure": []})
            return int(found["header"]["revision"]) if found.get("succeeded") else None

    @staticmethod
    def _absent(key: str) -> dict[str, Any]:
        return {"key": key, "target": "CREATE", "result": "EQUAL", "create_revision": "0"}

    @staticmethod
    def _at(key: str, revision: int) -> dict[str, Any]:
        return {"key": key, "target": "MOD", "result": "EQUAL", "mod_revision": str(revision)}

    @staticmethod
    def _put(key: str, value: str, lease: int = 0) -> dict[str, Any]:
        put = {"key": key, "value": _b64(value)}
        return {"request_put": {**put, "lease": str(lease)} if lease else put}

    # ---- The port
    def _card(self, session: int, card: MemberRecord) -> str:
        return json.dumps(
            {"session": session, "start": card.start, "standing": card.standing.value, "weight": card.weight}
        )

    def join(self, card: MemberRecord, ttl: float) -> Joined:
        session = int(self._post("/lease/grant", {"TTL": str(max(1, math.ceil(ttl))), "ID": "0"})["ID"])
        past = self._post("/kv/range", {"key": self._key("past", card.name)}).get("kvs", [])
        joins = 1 + (int(_text(past[0]["value"])) if past else 0)
        key = self._key("member", card.name)
        done = self._txn(
            [self._absent(key)],
            [self._put(key, self._card(session, card), session), self._put(self._key("past", card.name), str(joins))],
        )
        if done is None:
            self._post("/lease/revoke", {"ID": str(session)})
            raise AlreadyOwned
        return Joined(session, joins)

    def renew(self, session: int) -> int:
        found = self._post("/lease/keepalive", {"ID": str(session)})
        with self._asking():
            result = found["result"]
            if int(result.get("TTL", 0)) <= 0:
                raise SessionGone
            return int(result["header"]["revision"])

    def peek(self) -> int:
        with self._asking():
            return int(self._post("/kv/range", {"key": self._key("none"), "count_only": True})["header"]["revision"])

    def announce(self, session: int, card: MemberRecord, calm: bool = False) -> None:
        key = self._key("member", card.name)
        then = [self._put(key, self._card(session, card), session)]
        if calm:
            then.append({"request_delete_range": {"key": self._key("past", card.name)}})
        # The lease names the session: a put with one that is over is turned down.
        if self._txn([{"key": key, "target": "LEASE", "result": "EQUAL", "lease": str(session)}], then) is None:
            raise SessionGone

    def look(self) -> View:
        start = self._prefix.encode()
        end = start[:-1] + bytes([start[-1] + 1])
        found = self._post(
            "/kv/range", {"key": base64.b64encode(start).decode(), "range_end": base64.b64encode(end).decode()}
        )
        members: list[Seen] = []
        owners: dict[Shard, Owned] = {}
        marks: dict[Shard, int] = {}
        with self._asking():
            for kv in found.get("kvs", []):
                kind, _, rest = _text(kv["key"])[len(self._prefix) :].partition("/")
                value = _text(kv.get("value", ""))
                if kind == "member":
                    card = json.loads(value)
                    members.append(
                        Seen(
                            int(card["session"]),
                            MemberRecord(rest, card["start"], Standing(card["standing"]), card["weight"]),
                        )
                    )
                elif kind in ("owner", "mark"):
                    duty, _, number = rest.rpartition("/")
                    if kind == "owner":
                        owners[duty, int(number)] = Owned(int(value), int(kv["mod_revision"]))
                    else:
                        marks[duty, int(number)] = int(value)
            return View(int(found["header"]["revision"]), tuple(members), owners, marks)

    def claim(self, session: int, shard: Shard) -> int:
        key = self._key("owner", *shard)
        done = self._txn([self._absent(key)], [self._put(key, str(session), session)])
        if done is None:
            raise AlreadyOwned
        return done

    def hand(self, session: int, shard: Shard, token: int, to: int | None) -> bool:
        key = self._key("owner", *shard)
        if to is not None:
            try:
                return self._txn([self._at(key, token)], [self._put(key, str(to), to)]) is not None
            except SessionGone:
                pass  # the heir's session is over: nobody's then
        return self._txn([self._at(key, token)], [{"request_delete_range": {"key": key}}]) is not None

    def mark(self, session: int, shard: Shard, token: int, held: int) -> bool:
        key = self._key("owner", *shard)
        return self._txn([self._at(key, token)], [self._put(self._key("mark", *shard), str(held))]) is not None

    def leave(self, session: int) -> None:
        self._post("/lease/revoke", {"ID": str(session)})

    def close(self) -> None:
        self._client.session.close()
