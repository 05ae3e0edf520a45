"""Long-running failure cases of shard ownership, on real processes, each checked for violated properties.

``python -m lapishaven.lab.field.long SPEC`` prints one JSON object. The cases are:

- ``held``: an owner is stopped after it sent a write, which a relay holds for ``span`` seconds; then it is resumed;
- ``away``: the coordinator is unavailable for ``span`` seconds under load, after which all leases have expired;
- ``half``: ``members`` start in the same second, half are killed at once and restarted after ``span`` seconds;
- ``flap``: one of eight members is killed and restarted each second for ``span`` seconds.
"""

from __future__ import annotations

import json
import sqlite3
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from lapishaven.lab.field.field import Event, ProcessHarness
from lapishaven.lab.field.member_process import FAST_RULES, MemberGroup, is_evenly_owned
from lapishaven.lab.field.relay import RelayMode, Relays
from lapishaven.ownership.verify import find_interleaved

LARGE_GROUP_RULES = {**FAST_RULES, "ttl": 3.0, "margin": 0.3, "poll_interval": 0.3, "rejoin_spread": 0.5}
WAIT_TIMEOUT_S = 90.0


@dataclass
class LongCase:
    """One case. With ``fenced`` false, the baseline, the receiver accepts every effect."""

    case: str
    coordinator: str
    span: float
    seed: int = 1
    members: int = 40
    fenced: bool = True

    def run(self) -> dict[str, Any]:
        """Run the case, and return its results."""
        with ProcessHarness() as harness:
            self._harness, self._group = harness, MemberGroup(harness, self.coordinator, self.fenced)
            began_at = time.monotonic()
            cases = {"held": self._held, "away": self._away, "half": self._half, "flap": self._flap}
            results = cases[self.case]()
            events, rows = list(harness.events), self._group.effects()
            return {
                "case": self.case,
                "coordinator": self.coordinator,
                "span": self.span,
                "fenced": self.fenced,
                "effects": len(rows),
                "older_accepted": int(find_interleaved(rows) is not None),
                "broken": self._group.find_violation(),
                "stale_refused": sum(event["what"] == "stale" for event in events),
                "real_s": round(time.monotonic() - began_at, 1),
                **results,
            }

    def _let_time_pass(self, span: float) -> None:
        """Wait for events until ``span`` seconds have passed on the events' clock. The members write all the time."""
        deadline = time.clock_gettime(time.CLOCK_BOOTTIME) + span
        self._harness.wait_until("the time to pass", lambda events: events[-1]["at"] >= deadline, span + WAIT_TIMEOUT_S)

    def _held(self) -> dict[str, Any]:
        harness, group = self._harness, self._group
        with Relays() as relays:
            relay = relays.open(group.receiver)
            owner, second, token = group.start_pair(receiver=relay.port, act_timeout=self.span + 30.0)
            relays.set_mode(relay, RelayMode(hold_upstream=True))
            relays.wait_until_held(relay)
            harness.stop("a")
            stopped_at = time.clock_gettime(time.CLOCK_BOOTTIME)
            next_acked = harness.wait_for_event("acked", who=second)
            self._let_time_pass(self.span)
            relays.set_mode(relay, RelayMode())
            self._let_time_pass(1.0)  # the write reaches the receiver while its sender is still stopped
            since = len(harness.events)
            harness.resume("a")
            harness.wait_for_event("joined", since=since, who=owner, timeout=WAIT_TIMEOUT_S)
            harness.wait_for_event("acked", since=since, who=second)
        return {"without_owner_s": round(next_acked["at"] - stopped_at, 2)}

    def _start_eight_members(self) -> None:
        """Start eight members, and wait until they share 16 shards evenly."""
        names = [f"m{n}" for n in range(8)]
        for name in names:
            self._group.start(name, shards=16)
        self._harness.wait_until(
            "an even distribution of 16 shards over 8 members",
            lambda events: is_evenly_owned(events, names, 16),
            WAIT_TIMEOUT_S,
        )

    def _away(self) -> dict[str, Any]:
        harness = self._harness
        self._start_eight_members()
        since = len(harness.events)
        lock_holder = None
        if self.coordinator == "sqlite":
            # A lock held on the file is what an outage of this coordinator amounts to.
            lock_holder = sqlite3.connect(harness.folder / "lease.db", isolation_level=None, timeout=30.0)
            lock_holder.execute("begin immediate")
        else:
            harness.send_command("etcd", restart="aged", refuse=self.span)
        began_at = time.clock_gettime(time.CLOCK_BOOTTIME)
        harness.wait_until(
            "all owners to stop",
            lambda events: sum(event["what"] == "lost" for event in events[since:]) >= 16,
            WAIT_TIMEOUT_S,
        )
        # An act in progress when its owner stops ends within the margin, while the lease is still valid.
        stopped_at = (
            max(event["at"] for event in harness.events[since:] if event["what"] == "lost") + FAST_RULES["margin"]
        )
        time.sleep(max(0.0, began_at + self.span - time.clock_gettime(time.CLOCK_BOOTTIME) - 0.2))
        acts_during = [
            event
            for event in harness.events[since:]
            if event["what"] in ("gained", "acked") and event["at"] > stopped_at
        ]
        if lock_holder is not None:
            lock_holder.execute("rollback")
            lock_holder.close()
        back_at = time.clock_gettime(time.CLOCK_BOOTTIME)
        events = harness.wait_until(
            "an effect on every shard after the outage",
            lambda events: events if self._all_shards_acted(events, back_at, 16) else None,
            WAIT_TIMEOUT_S,
        )
        first_acked_at: dict[int, float] = {}
        for event in events:
            if event["what"] == "acked" and event["at"] > back_at:
                first_acked_at.setdefault(event["shard"], event["at"])
        joined_at = [event["at"] for event in events if event["what"] == "joined" and event["at"] > back_at - 0.5]
        return {
            "acts_while_away": len(acts_during),
            "without_owner_s": round(max(first_acked_at.values()) - back_at, 2),
            "joins_spread_s": round(max(joined_at) - min(joined_at), 2) if joined_at else None,
        }

    @staticmethod
    def _all_shards_acted(events: Sequence[Event], since: float, shards: int) -> bool:
        return len({event["shard"] for event in events if event["what"] == "acked" and event["at"] > since}) == shards

    def _half(self) -> dict[str, Any]:
        harness, group = self._harness, self._group
        names, shards = [f"m{n}" for n in range(self.members)], 2 * self.members
        began_at = time.clock_gettime(time.CLOCK_BOOTTIME)
        for name in names:
            group.start(name, shards=shards, every=0.5, rules=LARGE_GROUP_RULES)
        harness.wait_until(
            "an even distribution over all members",
            lambda events: is_evenly_owned(events, names, shards),
            WAIT_TIMEOUT_S,
        )
        started_s = harness.events[-1]["at"] - began_at
        killed_at = time.clock_gettime(time.CLOCK_BOOTTIME)
        killed_names = names[: self.members // 2]
        for name in killed_names:
            harness.kill(name)
        harness.wait_until(
            "an even distribution over the surviving members",
            lambda events: is_evenly_owned(events, names[len(killed_names) :], shards),
            WAIT_TIMEOUT_S,
        )
        taken_over_s = harness.events[-1]["at"] - killed_at
        self._let_time_pass(self.span)
        for name in killed_names:
            harness.start(name)
        harness.wait_until(
            "an even distribution after the restart",
            lambda events: is_evenly_owned(events, names, shards),
            WAIT_TIMEOUT_S,
        )
        return {"all_at_work_s": round(started_s, 2), "without_owner_s": round(taken_over_s, 2)}

    def _flap(self) -> dict[str, Any]:
        harness = self._harness
        self._start_eight_members()
        since = len(harness.events)
        starts = 0
        deadline = time.monotonic() + self.span
        while time.monotonic() < deadline:
            if harness.processes["m0"].alive:
                harness.kill("m0")
            harness.start("m0")
            starts += 1
            self._let_time_pass(1.0)
        gained = sum(event["what"] == "gained" and event["who"].startswith("m0:") for event in harness.events[since:])
        lost_by_others = sum(
            event["what"] == "lost" and not event["who"].startswith("m0:") for event in harness.events[since:]
        )
        return {"starts": starts, "gained_by_it": gained, "lost_by_others": lost_by_others}


def main() -> None:
    """Run one case and print its figures as JSON."""
    print(json.dumps(LongCase(**json.loads(sys.argv[1])).run()))


if __name__ == "__main__":
    main()
