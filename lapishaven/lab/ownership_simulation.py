"""Simulates members of one coordinator in simulated time, hundreds of them within seconds, with the real policy."""

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
from lapishaven.ownership.operations import Outcome, Unknown
from lapishaven.ownership.rules import MembershipRules

MIN_STEP_S = 0.002  # between two steps of a member without an operation
START_SPREAD_S = 0.01
CALL_TIMEOUT_S = 0.5


class SimulatedClock:
    """A clock that the simulation advances."""

    def __init__(self) -> None:
        self.time = 0.0

    def now(self) -> float:
        """Simulated seconds."""
        return self.time

    def wall(self) -> float:
        """The same seconds: simulated wall clocks do not step."""
        return self.time


@dataclass(slots=True)
class SimulatedMember:
    """A member, and its notices with their times."""

    member: Member
    alive: bool = True
    notices: list[tuple[float, Notice]] = field(default_factory=list)


class MembershipSimulation:
    """Members of one coordinator. ``run(until)`` advances the time; ``start``, ``kill`` and ``drain`` act at once.

    ``latency_s`` is the duration of a call to the coordinator.
    """

    def __init__(self, shards: int, seed: int, rules: MembershipRules | None = None, latency_s: float = 0.002) -> None:
        self.clock = SimulatedClock()
        self.random = Random(seed)
        self.coordinator = SqliteCoordinator(":memory:", self.clock)
        self.shards: Sequence[Shard] = [("work", number) for number in range(shards)]
        self.rules = rules or MembershipRules()
        self.members: dict[str, SimulatedMember] = {}
        self.calls: Counter[str] = Counter()
        """The number of calls to the coordinator, by the operation's fault point."""
        self.is_unavailable: Callable[[str], bool] = lambda name: False
        """Whether the coordinator is unavailable to the member with this name."""
        self._latency_s = latency_s
        self._queue: list[tuple[float, int, str]] = []
        self._sequence = 0

    def start(self, name: str) -> None:
        """Start a member as a new incarnation."""
        self._sequence += 1
        record = MemberRecord(name, f"{name}:{self._sequence}")
        member = Member(record, self.shards, self.rules, Random(self.random.random()))
        self.members[name] = SimulatedMember(member)
        self._schedule(self.clock.time + self.random.uniform(0.0, START_SPREAD_S), name)

    def kill(self, name: str) -> None:
        """Kill a member, whose lease then expires."""
        self.members[name].alive = False

    def drain(self, name: str) -> None:
        """Make a member transfer its shards and deregister."""
        self.members[name].member.drain(self.clock.time)
        self._schedule(self.clock.time, name)

    def run(self, until: float) -> None:
        """Simulate until the time ``until``."""
        while self._queue and self._queue[0][0] <= until:
            at, _, name = heappop(self._queue)
            self.clock.time = max(self.clock.time, at)
            simulated = self.members[name]
            if simulated.alive and not simulated.member.deregistered:
                self._step(name, simulated)
        self.clock.time = max(self.clock.time, until)

    def _step(self, name: str, simulated: SimulatedMember) -> None:
        member = simulated.member
        now = self.clock.time
        operation = member.next_operation(now)
        simulated.notices += [(now, notice) for notice in member.notices.take_all()]
        if operation is None:
            self._schedule(max(now + MIN_STEP_S, member.next_due()), name)
            return
        self.calls[operation.fault_point] += 1
        if self.is_unavailable(name):
            outcome: Outcome = Unknown()
            answered_at = now + CALL_TIMEOUT_S
        else:
            outcome = perform(self.coordinator, operation, self.rules.ttl)
            answered_at = now + self._latency_s
        member.record_outcome(answered_at, operation, outcome)
        self._schedule(answered_at, name)

    def _schedule(self, at: float, name: str) -> None:
        self._sequence += 1
        heappush(self._queue, (at, self._sequence, name))

    def owners(self) -> dict[Shard, list[str]]:
        """The members that may act on each shard now, by their own clocks."""
        owners: dict[Shard, list[str]] = {shard: [] for shard in self.shards}
        for name, simulated in self.members.items():
            if simulated.alive:
                for shard in simulated.member.assignment.tokens:
                    if simulated.member.token(self.clock.time, shard) is not None:
                        owners[shard].append(name)
        return owners

    def counts(self) -> Counter[str]:
        """How many shards each member owns."""
        return Counter(name for names in self.owners().values() for name in names)

    def moves(self, before: dict[Shard, list[str]]) -> int:
        """The number of shards whose owners differ from ``before``."""
        now = self.owners()
        return sum(before[shard] != now[shard] for shard in self.shards)
