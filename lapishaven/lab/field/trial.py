"""A trial of shard ownership on real processes with a random plan of faults, checked for violated properties.

``python -m lapishaven.lab.field.trial SPEC`` prints one JSON object. ``mode`` is ``ours``, or one of the baselines:
``unfenced``, with leases but no fencing, and ``alone``, in which the processes do not coordinate.
"""

from __future__ import annotations

import json
import sqlite3
import sys
import time
from contextlib import closing
from dataclasses import dataclass, field
from typing import Any

from lapishaven.lab.field.checker import count_returns, find_lost_effect, find_violation, handover_times, takeover_times
from lapishaven.lab.field.field import ProcessHarness
from lapishaven.lab.field.plan import Fault, draw_faults
from lapishaven.ownership.verify import EffectRow, find_duplicate, find_interleaved

TTL_S = 1.0
RULES = {
    "ttl": TTL_S,
    "margin": 0.1,
    "settling_time": 0.1,
    "poll_interval": 0.1,
    "rejoin_spread": 0.3,
    "transfer_delay": 0.3,
    "max_settling_time": 1.0,
}


@dataclass
class Trial:
    """``faults`` faults over ``seconds``, then ``quiet`` kills and as many leaves without other faults near them."""

    coordinator: str
    mode: str
    seed: int
    members: int = 8
    shards: int = 8
    faults: int = 30
    seconds: float = 14.0
    quiet: int = 1
    _due_recoveries: list[tuple[float, str, str]] = field(default_factory=list)

    def run(self) -> dict[str, Any]:
        """Run the trial, and return its results."""
        names = [f"m{n}" for n in range(self.members)]
        with ProcessHarness() as harness:
            self._harness = harness
            self._setup(names)
            self._harness.wait_until(
                "an effect on every shard",
                lambda events: len({(event["duty"], event["shard"]) for event in events if event["what"] == "acked"})
                == self.shards,
                60.0,
            )
            plan = draw_faults(names, self.faults, self.seconds, TTL_S, self.seed, self.coordinator == "etcd")
            self._run_plan(plan)
            if self.mode == "ours":
                self._wait_until_settled()
                for n in range(self.quiet):
                    for action in ("kill", "leave"):
                        self._undisturbed_fault(names[n % len(names)], action)
            self._kill_all(names)
            return self._results(len(plan) + (2 * self.quiet if self.mode == "ours" else 0))

    def _setup(self, names: list[str]) -> None:
        harness = self._harness
        spec: dict[str, Any] = {"shards": self.shards, "every": 0.03, "rules": RULES, "timeout": 0.3}
        harness.start(
            "book",
            "lapishaven.lab.field.receiver_process",
            book=str(harness.folder / "book.db"),
            fenced=self.mode == "ours",
        )
        spec["receiver"] = harness.wait_for_event("start", who="book")["port"]
        if self.coordinator == "etcd":
            harness.start("etcd", "lapishaven.lab.etcd", min_ttl=1)
            spec["etcd"] = harness.wait_for_event("start", who="etcd")["port"]
        for n, name in enumerate(names):
            lease_file = f"lease{n}.db" if self.mode == "alone" else "lease.db"
            drift = (0.001, -0.001, 0.0)[n % 3]
            harness.start(
                name, seed=self.seed * 1000 + n, coordinator=str(harness.folder / lease_file), drift=drift, **spec
            )

    def _run_plan(self, plan: list[Fault]) -> None:
        start = time.monotonic()
        pending = sorted(plan, key=lambda fault: fault.at)
        while pending or self._due_recoveries:
            now = time.monotonic() - start
            self._due_recoveries.sort()
            if self._due_recoveries and self._due_recoveries[0][0] <= now:
                _, action, name = self._due_recoveries.pop(0)
                self._recover(action, name)
            elif pending and pending[0].at <= now:
                self._inject(pending.pop(0), now)
            else:
                next_at = [fault.at for fault in pending[:1]] + [recovery[0] for recovery in self._due_recoveries[:1]]
                time.sleep(max(0.0, min(next_at) - now))

    def _inject(self, fault: Fault, now: float) -> None:
        harness, kind, name = self._harness, fault.kind, fault.process
        harness.record_event(kind, process=self._incarnation(name) if name else "")
        if kind == "stop":
            harness.stop(name)
            self._due_recoveries.append((now + fault.span, "wake", name))
        elif kind == "stop before act":
            harness.send_command(name, arm=["before-act", "stop", 1])
            self._due_recoveries.append((now + fault.span, "wake", name))
        elif kind == "kill":
            harness.kill(name)
            self._due_recoveries.append((now + fault.span, "start", name))
        elif kind == "kill after act":
            harness.send_command(name, arm=["after-act", "kill", 1])
            self._due_recoveries.append((now + fault.span + 0.3, "start", name))
        elif kind == "leave":
            harness.send_command(name, leave=True)
            self._due_recoveries.append((now + fault.span + 1.0, "start", name))
        elif kind == "step clock":
            harness.send_command(name, step=fault.span)
        else:
            commands: dict[str, dict[str, Any]] = {
                "stall": {"stall": fault.span},
                "refuse": {"refuse": fault.span},
                "lose": {"lose": 2},
                "twice": {"twice": 3},
                "late": {"late": 0.5, "for": fault.span},
                "restart kept": {"restart": "kept"},
                "restart aged": {"restart": "aged"},
            }
            harness.send_command("etcd", **commands[kind])

    def _recover(self, action: str, name: str) -> None:
        proc = self._harness.processes[name]
        if action == "wake":
            self._harness.resume(name)
            return
        if proc.alive:
            self._harness.kill(name)  # an armed kill that did not trigger, or a slow leave
        self._harness.start(name)

    def _incarnation(self, name: str) -> str:
        return f"{name}:{self._harness.processes[name].pid}"

    def _wait_until_settled(self) -> None:
        """Wait until every shard has had a new effect, and then for 2.2 s more."""
        since = len(self._harness.events)
        self._harness.wait_until(
            "calm after the faults: an effect on every shard",
            lambda events: len({event["shard"] for event in events[since:] if event["what"] == "acked"}) == self.shards,
            60.0,
        )
        self._let_time_pass(2.2)

    def _let_time_pass(self, span: float) -> None:
        deadline = time.clock_gettime(time.CLOCK_BOOTTIME) + span
        self._harness.wait_until(
            "the time to pass", lambda events: events[-1]["at"] >= deadline and events[-1]["who"] != "etcd", 60.0
        )

    def _undisturbed_fault(self, name: str, action: str) -> None:
        """Kill a member or make it leave, with no other fault near it, and restart it."""
        harness, incarnation = self._harness, self._incarnation(name)
        harness.record_event(f"quiet {action}", process=incarnation)
        if action == "kill":
            harness.kill(name)
        else:
            harness.send_command(name, leave=True)
            harness.wait_for_exit(name)
        self._let_time_pass(4.1)
        since = len(harness.events)
        harness.start(name)
        harness.wait_for_event("gained", since=since, who=self._incarnation(name))
        self._let_time_pass(2.2)

    def _kill_all(self, names: list[str]) -> None:
        for name in names:
            if self._harness.processes[name].alive:
                self._harness.kill(name)

    def _results(self, faults: int) -> dict[str, Any]:
        events = list(self._harness.events)
        with closing(sqlite3.connect(self._harness.folder / "book.db")) as connection:
            query = "select duty, shard, token, number, detail from fence_log order by position"
            rows = connection.execute(query).fetchall()
        effects = [EffectRow((duty, shard), token, number) for duty, shard, token, number, _ in rows]
        owners = [((duty, shard), f"{json.loads(detail)['who']}/{token}") for duty, shard, token, _, detail in rows]
        takeovers, handovers = takeover_times(events, "quiet kill"), handover_times(events)
        return {
            "coordinator": self.coordinator,
            "mode": self.mode,
            "seed": self.seed,
            "faults": faults,
            "effects": len(effects),
            "interleaved": count_returns(owners),
            "broken": find_violation(effects, events),
            "older_accepted": int(find_interleaved(effects) is not None),
            "doubled": int(find_duplicate(effects) is not None),
            "acts_lost": int(find_lost_effect(effects, events) is not None),
            "stale_refused": sum(event["what"] == "stale" for event in events),
            "after_kill_s": sorted(round(span, 3) for span in takeovers),
            "after_leave_s": sorted(round(span, 3) for span in handovers)[-3:],
            "leaves": len(handovers),
        }


def main() -> None:
    """Run one trial and print its figures as JSON."""
    print(json.dumps(Trial(**json.loads(sys.argv[1])).run()))


if __name__ == "__main__":
    main()
