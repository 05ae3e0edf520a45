"""Calls of the client library while some match servers are stopped (SIGSTOP), and after they resume.

``python -m lapishaven.lab.field.silent SPEC`` prints one JSON object.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass, replace
from random import Random
from typing import Any

from lapishaven.client import Client, Settings
from lapishaven.client.outcomes import Outcome, Served, Uncertain
from lapishaven.lab import site
from lapishaven.lab.fleet import Fleet
from lapishaven.lab.interpreter import Box

HERD_BIN_S = 0.5  # width of the bins in which a burst of attempts at resumed servers is searched for


@dataclass(frozen=True, slots=True)
class Spec:
    """A trial with ``rate`` calls a second over all clients.

    After ``settle`` seconds of load, in which clients connect, ``stopped`` servers are stopped for ``span`` seconds;
    the load continues for ``after`` seconds more. ``asks``: whether clients probe silent servers (``health.watch_s``).
    """

    servers: int = 24
    clients: int = 200
    rate: float = 100.0
    stopped: int = 5
    settle: float = 12.0
    span: float = 8.0
    after: float = 10.0
    seed: int = 1
    asks: bool = True


@dataclass(slots=True)
class Attempt:
    """An attempt that a client began, on the loop's clock."""

    at: float
    server: str


async def run(spec: Spec) -> dict[str, Any]:
    """Run the trial, and return its results."""
    random, loop = Random(spec.seed), asyncio.get_running_loop()
    stack = AsyncExitStack()
    async with stack:
        boxes = [Box()] * spec.servers
        fleet = await stack.enter_async_context(Fleet(spec.servers, spec.seed, callers=spec.clients, boxes=boxes))
        await fleet.ready()
        attempts: list[Attempt] = []

        def hook(now: float, event: str, fields: dict[str, Any]) -> None:
            if event == "try":
                attempts.append(Attempt(now, fields["server"]))

        settings = Settings(site.rules(), catalog="{}:{}".format(*fleet.catalog.address), callers=spec.clients)
        if spec.asks:
            settings = replace(settings, health=replace(settings.health, watch_s=0.3))
        clients = [
            await stack.enter_async_context(
                Client(replace(settings, caller=n), random=Random(random.getrandbits(64)), hook=hook)
            )
            for n in range(spec.clients)
        ]
        names = fleet.names[: spec.stopped]
        pids = [process.pid for name in names if (process := fleet.nodes[name].process) is not None]
        runs: list[tuple[float, bytes]] = []  # runs begun at the servers to be stopped, on the loop's clock
        for name in names:
            fleet.nodes[name].interpreter.on_run_started = lambda body: runs.append((loop.time(), body))
        calls: list[tuple[float, site.RequestClass, bytes, float, Outcome]] = []

        async def send_call(at: float, n: int) -> None:
            request_class = random.choices(site.CLASSES, [offered.share for offered in site.CLASSES])[0]
            body = b"%d" % n
            outcome = await random.choice(clients).outcome(request_class.name, body)
            calls.append((at, request_class, body, loop.time() - at, outcome))

        tasks: list[asyncio.Task[None]] = []
        due_at = start = loop.time() + 0.1
        stop_at, resume_at = start + spec.settle, start + spec.settle + spec.span

        async def stop_and_resume() -> None:
            await asyncio.sleep(stop_at - loop.time())
            for pid in pids:
                os.kill(pid, signal.SIGSTOP)
            await asyncio.sleep(resume_at - loop.time())
            for pid in pids:
                os.kill(pid, signal.SIGCONT)

        stop_task = asyncio.create_task(stop_and_resume())
        while due_at < resume_at + spec.after:
            await asyncio.sleep(max(0.0, due_at - loop.time()))
            tasks.append(asyncio.create_task(send_call(due_at, len(tasks))))
            due_at += random.expovariate(spec.rate)
        await stop_task
        await asyncio.gather(*tasks)
        starts = fleet.starts()
        counts: Counter[str] = sum((Counter(client.policy.counts) for client in clients), Counter())

    def late_calls(calls: list[tuple[float, site.RequestClass, bytes, float, Outcome]]) -> list[Any]:
        return [call for call in calls if call[3] > call[1].objective_s or not isinstance(call[4], Served | Uncertain)]

    during_stop = [call for call in calls if stop_at <= call[0] < resume_at]
    before_stop = [call for call in calls if start + spec.settle / 2 <= call[0] < stop_at]
    late_during = late_calls(during_stop)
    attempts_at_resumed = [
        attempt.at - resume_at for attempt in attempts if attempt.server in names and attempt.at >= resume_at
    ]
    all_attempts = [attempt.at - resume_at for attempt in attempts if attempt.at >= resume_at]
    even_share = spec.stopped / spec.servers
    second_half_counts = [sum(at >= spec.after / 2 for at in times) for times in (attempts_at_resumed, all_attempts)]
    ended_at = {body: at + span for at, _, body, span, _ in calls}  # when the call had its outcome
    attempts_by_bin = Counter(int(at / HERD_BIN_S) for at in attempts_at_resumed)
    attempts_at_silent = [
        attempt for attempt in attempts if attempt.server in names and stop_at + 1.0 < attempt.at < resume_at
    ]
    return {
        "asks": spec.asks,
        "servers": spec.servers,
        "clients": spec.clients,
        "rate": spec.rate,
        "calls": len(during_stop),
        "late": round(len(late_during) / len(during_stop), 4),
        "late_before": round(len(late_calls(before_stop)) / len(before_stop), 4),
        "to_silent_after_1_s": len(attempts_at_silent),
        "uncertain": sum(isinstance(call[4], Uncertain) for call in during_stop),
        "not_served": round(sum(not isinstance(call[4], Served) for call in during_stop) / len(during_stop), 4),
        "commits_twice": sum(starts[body] > 1 for _, request_class, body, _, _ in calls if not request_class.safe),
        "tries_a_call": round(len(attempts) / len(calls), 3),
        "asks_a_call": round(counts["ask"] / len(calls), 2),
        "given_up": counts["given up"],
        # The resumed servers' share of the attempts in the second half after they resumed, relative to an even share;
        # their busiest bin after they resumed, relative to the mean bin of an even share.
        "share_back": round(second_half_counts[0] / max(1, second_half_counts[1]) / even_share, 3),
        "herd": round(
            max(attempts_by_bin.values(), default=0) / (even_share * len(all_attempts) / spec.after * HERD_BIN_S), 2
        ),
        "ran_given_up": sum(at >= resume_at > ended_at.get(body, resume_at) for at, body in runs),
        "why": dict(Counter(f"{type(call[4]).__name__}: {call[4].reason}" for call in late_during).most_common(6)),
    }


def main() -> None:
    """Run the trial that the first argument describes, and print its results as JSON."""
    print(json.dumps(asyncio.run(run(Spec(**json.loads(sys.argv[1]))))))


if __name__ == "__main__":
    main()
