"""Clients of the library before match servers of which some are stopped: what their calls met.

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

BIN = 0.5  # s, in which a herd on those that wake is looked for


@dataclass(frozen=True, slots=True)
class Spec:
    """``rate``: calls a second of all clients together. After ``settle`` seconds of load, in which clients connect,
    ``stopped`` servers are stopped for ``span`` seconds; the load goes on for ``after`` seconds more. ``asks``: whether
    clients ask servers that say nothing (``health.watch_s``)."""

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
class Sent:
    """A try as a client began it."""

    at: float
    server: str


async def run(spec: Spec) -> dict[str, Any]:
    random, loop = Random(spec.seed), asyncio.get_running_loop()
    stack = AsyncExitStack()
    async with stack:
        boxes = [Box()] * spec.servers
        fleet = await stack.enter_async_context(Fleet(spec.servers, spec.seed, callers=spec.clients, boxes=boxes))
        await fleet.ready()
        tries: list[Sent] = []

        def hook(now: float, event: str, fields: dict[str, Any]) -> None:
            if event == "try":
                tries.append(Sent(now, fields["server"]))

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
        runs: list[tuple[float, bytes]] = []  # begun at those that are stopped, on the loop's clock
        for name in names:
            fleet.nodes[name].interpreter.on_run_started = lambda body: runs.append((loop.time(), body))
        found: list[tuple[float, site.RequestClass, bytes, float, Outcome]] = []

        async def call(at: float, n: int) -> None:
            kind = random.choices(site.CLASSES, [each.share for each in site.CLASSES])[0]
            body = b"%d" % n
            outcome = await random.choice(clients).outcome(kind.name, body)
            found.append((at, kind, body, loop.time() - at, outcome))

        tasks: list[asyncio.Task[None]] = []
        due = start = loop.time() + 0.1
        stop, wake = start + spec.settle, start + spec.settle + spec.span

        async def strike() -> None:
            await asyncio.sleep(stop - loop.time())
            for pid in pids:
                os.kill(pid, signal.SIGSTOP)
            await asyncio.sleep(wake - loop.time())
            for pid in pids:
                os.kill(pid, signal.SIGCONT)

        striking = asyncio.create_task(strike())
        while due < wake + spec.after:
            await asyncio.sleep(max(0.0, due - loop.time()))
            tasks.append(asyncio.create_task(call(due, len(tasks))))
            due += random.expovariate(spec.rate)
        await striking
        await asyncio.gather(*tasks)
        starts = fleet.starts()
        counts: Counter[str] = sum((Counter(client.policy.counts) for client in clients), Counter())

    def past_aim(calls: list[tuple[float, site.RequestClass, bytes, float, Outcome]]) -> list[Any]:
        return [each for each in calls if each[3] > each[1].objective_s or not isinstance(each[4], Served | Uncertain)]

    inside = [each for each in found if stop <= each[0] < wake]
    calm = [each for each in found if start + spec.settle / 2 <= each[0] < stop]
    late = past_aim(inside)
    woken = [each.at - wake for each in tries if each.server in names and each.at >= wake]
    sent = [each.at - wake for each in tries if each.at >= wake]
    fair = spec.stopped / spec.servers
    back = [sum(at >= spec.after / 2 for at in ats) for ats in (woken, sent)]
    over = {body: at + span for at, _, body, span, _ in found}  # when its caller had an answer, or had given up
    bins = Counter(int(at / BIN) for at in woken)
    to_silent = [each for each in tries if each.server in names and stop + 1.0 < each.at < wake]
    return {
        "asks": spec.asks,
        "servers": spec.servers,
        "clients": spec.clients,
        "rate": spec.rate,
        "calls": len(inside),
        "late": round(len(late) / len(inside), 4),
        "late_before": round(len(past_aim(calm)) / len(calm), 4),
        "to_silent_after_1_s": len(to_silent),
        "uncertain": sum(isinstance(each[4], Uncertain) for each in inside),
        "not_served": round(sum(not isinstance(each[4], Served) for each in inside) / len(inside), 4),
        "commits_twice": sum(starts[body] > 1 for _, kind, body, _, _ in found if not kind.safe),
        "tries_a_call": round(len(tries) / len(found), 3),
        "asks_a_call": round(counts["ask"] / len(found), 2),
        "given_up": counts["given up"],
        # Of the second half after the wake, over their fair part; the busiest span there over a fair one's mean.
        "share_back": round(back[0] / max(1, back[1]) / fair, 3),
        "herd": round(max(bins.values(), default=0) / (fair * len(sent) / spec.after * BIN), 2),
        "ran_given_up": sum(at >= wake > over.get(body, wake) for at, body in runs),
        "why": dict(Counter(f"{type(e[4]).__name__}: {e[4].reason}" for e in late).most_common(6)),
    }


def main() -> None:
    print(json.dumps(asyncio.run(run(Spec(**json.loads(sys.argv[1]))))))


if __name__ == "__main__":
    main()
