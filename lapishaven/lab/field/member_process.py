"""A group of member processes that share work, with their coordinator, their receiver and a check of the effects."""

from __future__ import annotations

import sqlite3
from collections import Counter
from collections.abc import Iterable, Sequence
from contextlib import closing
from typing import Any

from lapishaven.lab.field.checker import find_violation
from lapishaven.lab.field.field import Event, ProcessHarness
from lapishaven.ownership.verify import EffectRow

FAST_RULES = {
    "ttl": 0.9,
    "margin": 0.1,
    "settling_time": 0.1,
    "poll_interval": 0.1,
    "rejoin_spread": 0.1,
    "transfer_delay": 0.3,
}
ETCD_RULES = {**FAST_RULES, "ttl": 1.0}


def is_evenly_owned(events: Sequence[Event], members: Iterable[str], shards: int) -> bool:
    """Whether all shards were last gained by members with these names, none with over 1.25 times the mean."""
    owner: dict[int, str] = {}
    for event in events:
        if event["what"] == "gained":
            owner[event["shard"]] = event["who"].partition(":")[0]
    loads, names = Counter(owner.values()), set(members)
    return len(owner) == shards and set(loads) <= names and max(loads.values()) <= shards / len(names) * 1.25


class MemberGroup:
    """Members with one coordinator and one receiver process."""

    def __init__(
        self, harness: ProcessHarness, coordinator_kind: str, fenced: bool = True, trace: bool = False
    ) -> None:
        """``coordinator_kind`` is ``sqlite`` or ``etcd``. Without ``fenced`` the receiver accepts every effect; with
        ``trace`` it reports each one."""
        self.harness, self.coordinator_kind = harness, coordinator_kind
        self.store_path = harness.folder / "book.db"
        self.etcd = self.receiver = 0
        if coordinator_kind == "etcd":
            harness.start("etcd", "lapishaven.lab.etcd", min_ttl=1)
            self.etcd = harness.wait_for_event("start", who="etcd")["port"]
        harness.start(
            "book",
            "lapishaven.lab.field.receiver_process",
            book=str(self.store_path),
            fenced=fenced,
            trace=trace,
        )
        self.receiver = harness.wait_for_event("start", who="book")["port"]

    def start(self, name: str, **spec: Any) -> str:
        """Start a member, and return its incarnation, by which the event history names it."""
        seed = sum(map(ord, name))
        lease_path = str(self.harness.folder / "lease.db")
        coordinator_spec: dict[str, Any] = (
            {"etcd": self.etcd} if self.coordinator_kind == "etcd" else {"coordinator": lease_path}
        )
        defaults = {
            "shards": 1,
            "every": 0.02,
            "receiver": self.receiver,
            "rules": ETCD_RULES if self.etcd else FAST_RULES,
        }
        self.harness.start(name, **{"seed": seed, **coordinator_spec, **defaults, **spec})
        return f"{name}:{self.harness.processes[name].pid}"

    def stop(self, name: str) -> None:
        """Stop a member while it has no transaction open on the coordinator's file, whose lock it would keep."""
        self.harness.send_command(name, stop=True)

    def effects(self) -> list[EffectRow]:
        """The effects that the receiver applied, in order."""
        with closing(sqlite3.connect(self.store_path)) as connection:
            rows = connection.execute("select duty, shard, token, number from fence_log order by position").fetchall()
        return [EffectRow((duty, shard), token, number) for duty, shard, token, number in rows]

    def find_violation(self) -> str | None:
        """A description of the first violated property; None if all hold."""
        events = list(self.harness.events)  # before the rows: an effect acknowledged in between is not lost
        rows = self.effects()
        return find_violation(rows, events) if rows else "no effect was applied"

    def assert_no_violation(self) -> None:
        """Assert that all properties hold."""
        assert self.find_violation() is None, self.find_violation()

    def start_pair(self, **spec: Any) -> tuple[str, str, int]:
        """Start an owner and then a second member; return their incarnations and the owner's token."""
        owner = self.start("a", **spec)
        first = self.harness.wait_for_event("acked", who=owner)
        second = self.start("b", **{key: value for key, value in spec.items() if key not in ("etcd", "receiver")})
        self.harness.wait_for_event("joined", who=second)
        return owner, second, first["token"]
