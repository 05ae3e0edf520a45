"""One trial: a client of some kind, a fleet of real servers, a load, a script; figures from the sockets.

``python -m lapishaven.lab.trial SPEC`` (a JSON object) prints the figures as one JSON object, so that trials run
side by side, each in a process of its own.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import asdict, dataclass
from random import Random
from typing import Any

from lapishaven.client import Client, Settings
from lapishaven.client.outcomes import OUTCOME_NAMES, Outcome, Uncertain
from lapishaven.lab import site
from lapishaven.lab.baselines import CLIENTS
from lapishaven.lab.fleet import RemoteFleet
from lapishaven.lab.interpreter import result
from lapishaven.lab.script import Step, parse
from lapishaven.lab.wiretap import Tap, most_in_a_second

LATE_WORTH = 0.2  # of a class's worth for an answer past its aim
SETTLE = 2.0  # s of load before what counts, in which clients connect
OURS = "ours"


@dataclass(frozen=True, slots=True)
class Spec:
    """What one trial is. Times count from the end of the settling."""

    client: str = OURS
    servers: int = 5
    callers: int = 4
    seconds: float = 10.0
    load: float = 0.55  # of the warm cores' capacity
    script: str = ""
    seed: int = 1
    pools: bool = False  # serve with deploy/pools.toml


@dataclass(slots=True)
class Asked:
    """One call as it was meant."""

    at: float  # intended, on the loop's clock
    kind: site.Kind
    body: bytes
    outcome: Outcome | None = None
    began: float = 0.0  # when the client was really called
    ended: float = 0.0


def arrivals(spec: Spec, rate: float, steps: list[Step], random: Random) -> list[tuple[float, site.Kind, bytes]]:
    """Open-loop arrivals: one drawn evenly within each slot of 1/rate, so that the rate of every second is known
    and a storm is not mistaken for the arrivals' own noise. A surge makes the slots shorter."""
    found, at, n = [], -SETTLE, 0
    weights = [kind.share for kind in site.KINDS]
    while at < spec.seconds:
        surges = [s.factor for s in steps if s.what == "surge" and s.at <= at < s.at + s.span]
        slot = 1.0 / (rate * max(surges, default=1.0))
        kind = random.choices(site.KINDS, weights)[0]
        found.append((at + random.random() * slot, kind, f"{spec.seed}:{n}".encode()))
        at, n = at + slot, n + 1
    return sorted(found, key=lambda each: each[0])


async def run(spec: Spec, settings_of: Callable[[Settings], Settings] = lambda s: s) -> dict[str, Any]:
    """Run one trial."""
    random = Random(spec.seed)
    loop = asyncio.get_running_loop()
    tap = Tap(loop.time)
    stack = AsyncExitStack()
    async with stack:
        fleet = await stack.enter_async_context(
            RemoteFleet(spec.servers, spec.seed, callers=spec.callers, script=spec.script, pools=spec.pools)
        )
        tap.not_servers.add(fleet.catalog)
        steps = parse(spec.script, fleet.names, spec.seed)
        rate = spec.load * fleet.capacity
        plan = arrivals(spec, rate, steps, random)
        calls: list[Callable[[str, bytes], Awaitable[Outcome]]] = []
        clients: list[Client] = []
        for n in range(spec.callers):
            settings = Settings(site.rules(), catalog="{}:{}".format(*fleet.catalog), caller=n)
            if spec.client == OURS:
                client = Client(settings_of(settings), random=Random(random.getrandbits(64)), sockets=tap.socket)
                clients.append(await stack.enter_async_context(client))
                calls.append(client.outcome)
            else:
                kind = CLIENTS[spec.client]
                naive = kind(settings, random=Random(random.getrandbits(64)), sockets=tap.socket)
                calls.append((await stack.enter_async_context(naive)).outcome)
        start = loop.time() + SETTLE + 0.2
        await fleet.play(start)
        cpu = time.process_time()
        asked = await _drive(plan, start, calls, random)
        cpu = time.process_time() - cpu
        figures = _figures(spec, rate, steps, asked, tap, await fleet.report(), start)
        figures["cpu_s"] = round(cpu, 2)
        if clients:
            figures["counts"] = dict(sum((client.policy.counts for client in clients), Counter()))
    return figures


async def _drive(
    plan: list[tuple[float, site.Kind, bytes]],
    start: float,
    calls: list[Callable[[str, bytes], Awaitable[Outcome]]],
    random: Random,
) -> list[Asked]:
    loop = asyncio.get_running_loop()

    async def one(each: Asked, call: Callable[[str, bytes], Awaitable[Outcome]]) -> None:
        each.began = loop.time()
        each.outcome = await call(each.kind.name, each.body)
        each.ended = loop.time()

    asked, tasks = [], []
    for at, kind, body in plan:
        await asyncio.sleep(max(0.0, start + at - loop.time()))
        each = Asked(start + at, kind, body)
        asked.append(each)
        tasks.append(loop.create_task(one(each, random.choice(calls))))
    await asyncio.wait(tasks, timeout=max(kind.deadline for kind in site.KINDS) + 1.0)
    for task in tasks:
        if not task.done():
            task.cancel()
        elif task.exception() is not None:
            print(f"a call raised {task.exception()!r}", file=sys.stderr)
    return asked


def worth(each: Asked) -> float:
    """What the call earned, its span counted from when it was meant to start."""
    if each.outcome is None or not each.outcome.served:
        return 0.0
    span = each.ended - each.at
    return each.kind.worth * (1.0 if span <= each.kind.aim else LATE_WORTH if span <= each.kind.deadline else 0.0)


def _figures(
    spec: Spec, rate: float, steps: list[Step], asked: list[Asked], tap: Tap, fleet: dict[str, Any], start: float
) -> dict[str, Any]:
    until = start + spec.seconds
    by_body = {each.body: each for each in asked}
    counted = [each for each in asked if start <= each.at < until]
    late = unmarked = 0
    seen: Counter[bytes] = Counter()
    for each in tap.tries:
        call = by_body.get(each.body)
        if call is None:
            continue
        # The client's clock starts when it is called, a moment after the call was meant to start.
        late += each.at > call.at + call.kind.deadline + 0.05
        unmarked += seen[each.body] > 0 and not each.rep
        seen[each.body] += 1
    first = len(seen)
    starts = Counter(fleet["starts"])
    commits = [each for each in asked if not each.kind.safe]
    load = [each.at for each in tap.tries] + tap.connects
    surge = max((step.factor for step in steps if step.what == "surge"), default=1.0)
    wrong = sum(
        1
        for each in asked
        if each.outcome is not None and each.outcome.served and getattr(each.outcome, "body", b"") != result(each.body)
    )
    outcomes = Counter(OUTCOME_NAMES[type(each.outcome)] if each.outcome else "none" for each in counted)
    asked_worth = sum(each.kind.worth for each in counted)
    commit_worth = sum(each.kind.worth for each in counted if not each.kind.safe)
    spans = sorted(each.ended - each.at for each in counted if each.outcome is not None and each.outcome.served)
    return {
        "spec": asdict(spec),
        "rate": round(rate, 1),
        "calls": len(counted),
        "outcomes": dict(outcomes),
        "worth": round(sum(map(worth, counted)) / asked_worth, 4),
        "commit_worth": round(sum(worth(e) for e in counted if not e.kind.safe) / commit_worth, 4),
        "storm": round(most_in_a_second(load, start, until) / (rate * surge), 3),
        "arrivals_peak": round(most_in_a_second([e.began for e in asked], start, until) / (rate * surge), 3),
        "lateness_p99_ms": round(sorted(e.began - e.at for e in asked)[int(len(asked) * 0.99)] * 1000, 1),
        "storm_connects": most_in_a_second(tap.connects, start, until),
        "storm_tries": round(most_in_a_second([t.at for t in tap.tries], start, until) / (rate * surge), 3),
        "tries_per_call": round(len(tap.tries) / max(first, 1), 3),
        "late_tries": late,
        "unmarked": unmarked,
        "no_result": sum(each.outcome is None for each in asked),
        "commits_twice": sum(starts[each.body.decode()] > 1 for each in commits),
        "commits": len(commits),
        # A commit said to be refused or failed that ran all the same would be charged without anybody's knowing.
        "commits_denied_but_ran": sum(
            starts[e.body.decode()] > 0
            for e in commits
            if e.outcome is not None and not e.outcome.served and not isinstance(e.outcome, Uncertain)
        ),
        "wrong_body": wrong,
        "most_open": tap.most_open,
        "answers_twice": tap.answers_twice,
        "p50_ms": round(spans[len(spans) // 2] * 1000) if spans else None,
        "p99_ms": round(spans[int(len(spans) * 0.99)] * 1000) if spans else None,
        "crashes": fleet["crashes"],
        "events": fleet["events"],
    }


def main(argument: str) -> None:
    print(json.dumps(asyncio.run(run(Spec(**json.loads(argument))))))


if __name__ == "__main__":
    main(sys.argv[1])
