"""Members in simulated time round one coordinator: hundreds of them in seconds, the same policy as on sockets."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from lapishaven.ownership.coordinators.sqlite import SqliteCoordinator
from lapishaven.ownership.driver import perform
from lapishaven.ownership.member import Member
from lapishaven.ownership.model import MemberRecord, Shard
from lapishaven.ownership.notices import Notice
from lapishaven.ownership.operations import Unknown
from lapishaven.ownership.rules import MembershipRules

LEAST = 0.002  # s between two steps of a member


class SimClock:
    def __init__(self) -> None:
        self.time = 0.0

    def now(self) -> float:
        return self.time

    def wall(self) -> float:
        return self.time


@dataclass(slots=True)
class Simulated:
    member: Member
    alive: bool = True
    notices: list[tuple[float, Notice]] = field(default_factory=list)


class SimFleet:
    """``run(until)`` moves time on; ``start``, ``kill`` and ``leave`` act now. ``latency`` in s for each call."""

    def __init__(self, shards: int, seed: int, rules: MembershipRules | None = None, latency: float = 0.002) -> None:
        self.clock, self.random = SimClock(), Random(seed)
        self.coordinator = SqliteCoordinator(":memory:", self.clock)
        self.shards: Sequence[Shard] = [("work", n) for n in range(shards)]
        self.rules, self._latency = rules or MembershipRules(), latency
        self.members: dict[str, Simulated] = {}
        self.calls: Counter[str] = Counter()
        self.away: Callable[[str], bool] = lambda name: False  # whom the coordinator does not answer
        self._queue: list[tuple[float, int, str]] = []
        self._count = 0

    def start(self, name: str) -> None:
        self._count += 1
        member = Member(
            MemberRecord(name, f"{name}:{self._count}"), self.shards, self.rules, Random(self.random.random())
        )
        self.members[name] = Simulated(member)
        self._wake(self.clock.time + self.random.uniform(0.0, 0.01), name)

    def kill(self, name: str) -> None:
        self.members[name].alive = False

    def drain(self, name: str) -> None:
        self.members[name].member.drain(self.clock.time)
        self._wake(self.clock.time, name)

    def _wake(self, at: float, name: str) -> None:
        self._count += 1
        heappush(self._queue, (at, self._count, name))

    def run(self, until: float) -> None:
        while self._queue and self._queue[0][0] <= until:
            at, _, name = heappop(self._queue)
            self.clock.time = max(self.clock.time, at)
            one = self.members[name]
            if not one.alive or one.member.deregistered:
                continue
            op = one.member.next_operation(self.clock.time)
            one.notices += [(self.clock.time, notice) for notice in one.member.take_notices()]
            if op is None:
                self._wake(max(self.clock.time + LEAST, one.member.next_due()), name)
                continue
            self.calls[op.fault_point] += 1
            sent, silent = self.clock.time, self.away(name)
            outcome = Unknown() if silent else perform(self.coordinator, op, self.rules.ttl)
            self.clock.time = sent  # what happens meanwhile is in the queue
            took = 0.5 if silent else self._latency
            one.member.record_outcome(sent + took, op, outcome)
            self._wake(sent + took, name)
        self.clock.time = max(self.clock.time, until)

    def owners(self) -> dict[Shard, list[str]]:
        """Who may act on each shard now, by its own reckoning."""
        found: dict[Shard, list[str]] = {shard: [] for shard in self.shards}
        for name, one in self.members.items():
            if one.alive:
                for shard in one.member.tokens:
                    if one.member.token(self.clock.time, shard) is not None:
                        found[shard].append(name)
        return found

    def counts(self) -> Counter[str]:
        return Counter(name for names in self.owners().values() for name in names)

    def moves(self, before: dict[Shard, list[str]]) -> int:
        now = self.owners()
        return sum(before[shard] != now[shard] for shard in self.shards)
