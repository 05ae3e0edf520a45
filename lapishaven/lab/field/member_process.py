"""A few members of the field that share work: their coordinator, their receiver, and the check of what took effect."""

from __future__ import annotations

import sqlite3
from collections import Counter
from collections.abc import Iterable, Sequence
from contextlib import closing
from typing import Any

from lapishaven.lab.field.checker import broken
from lapishaven.lab.field.field import Field, Line
from lapishaven.ownership.verify import EffectRow

FAST = {
    "ttl": 0.9,
    "margin": 0.1,
    "settling_time": 0.1,
    "poll_interval": 0.1,
    "rejoin_spread": 0.1,
    "transfer_delay": 0.3,
}
ETCD = {**FAST, "ttl": 1.0}


def evenly(lines: Sequence[Line], among: Iterable[str], shards: int) -> bool:
    """Whether members of these names, and no others, were the last to gain each shard, none over 1.25 of the mean."""
    owner: dict[int, str] = {}
    for line in lines:
        if line["what"] == "gained":
            owner[line["shard"]] = line["who"].partition(":")[0]
    loads, names = Counter(owner.values()), set(among)
    return len(owner) == shards and set(loads) <= names and max(loads.values()) <= shards / len(names) * 1.25


class Team:
    """A field with a coordinator and a receiver's process; members reach both as their options say."""

    def __init__(self, field: Field, kind: str, fenced: bool = True) -> None:
        """``kind``: of coordinator, ``sqlite`` or ``etcd``. Not ``fenced``: the receiver takes what comes."""
        self.field, self.kind = field, kind
        self.book = field.folder / "book.db"
        self.etcd = self.receiver = 0
        if kind == "etcd":
            field.start("etcd", "lapishaven.lab.etcd", min_ttl=1)
            self.etcd = field.first("start", who="etcd")["port"]
        field.start("book", "lapishaven.lab.field.receiver_process", book=str(self.book), fenced=fenced)
        self.receiver = field.first("start", who="book")["port"]

    def start(self, name: str, **spec: Any) -> str:
        """Start a member; gives how it calls itself in its history."""
        seed = sum(map(ord, name))
        file = str(self.field.folder / "lease.db")
        place: dict[str, Any] = {"etcd": self.etcd} if self.kind == "etcd" else {"coordinator": file}
        base = {"shards": 1, "every": 0.02, "receiver": self.receiver, "rules": ETCD if self.etcd else FAST}
        self.field.start(name, **{"seed": seed, **place, **base, **spec})
        return f"{name}:{self.field.procs[name].pid}"

    def effects(self) -> list[EffectRow]:
        """What took effect, in its order."""
        with closing(sqlite3.connect(self.book)) as base:
            found = base.execute("select duty, shard, token, number from fence_log order by position").fetchall()
        return [EffectRow((duty, shard), token, number) for duty, shard, token, number in found]

    def broken(self) -> str | None:
        """The first broken property; none if all hold."""
        lines = list(self.field.lines)  # before the rows, so that what is acknowledged in between is not missed
        rows = self.effects()
        return broken(rows, lines) if rows else "nothing took effect"

    def check(self) -> None:
        """Assert that all properties hold."""
        assert self.broken() is None, self.broken()

    def pair(self, **spec: Any) -> tuple[str, str, int]:
        """An owner and a second member that has settled; who they are, and the owner's token."""
        a = self.start("a", **spec)
        first = self.field.first("acked", who=a)
        b = self.start("b", **{key: value for key, value in spec.items() if key not in ("etcd", "receiver")})
        self.field.first("joined", who=b)
        return a, b, first["token"]
