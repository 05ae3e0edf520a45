"""One trial: clients against a fleet of real servers with a fault script, measured at the clients' sockets.

``python -m lapishaven.lab.trial SPEC`` (a JSON object) prints the figures as one JSON object, so that several trials
can run in parallel, each in its own process.
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

LATE_WORTH = 0.2  # share of a class's worth for an answer after its latency objective
SETTLE_S = 2.0  # load before the measurement, in which clients connect
OWN_CLIENT = "ours"


@dataclass(frozen=True, slots=True)
class Spec:
    """What to run. Times count from the end of ``SETTLE_S``.

    ``client``: "ours" for the package's client, or a baseline of ``CLIENTS``. ``load``: as a share of the warm cores'
    capacity. ``script``: faults, as for ``lapishaven lab fleet --script``. ``pools``: serve with deploy/pools.toml.
    """

    client: str = OWN_CLIENT
    servers: int = 5
    callers: int = 4
    seconds: float = 10.0
    load: float = 0.55
    script: str = ""
    seed: int = 1
    pools: bool = False


@dataclass(slots=True)
class PlannedCall:
    """One call. Its times are on the loop's clock.

    ``planned_at``: when it was to start. ``started_at``: when the client was called.
    """

    planned_at: float
    request_class: site.RequestClass
    body: bytes
    outcome: Outcome | None = None
    started_at: float = 0.0
    ended_at: float = 0.0


def arrivals(
    spec: Spec, rate: float, steps: list[Step], random: Random
) -> list[tuple[float, site.RequestClass, bytes]]:
    """Open-loop arrivals, as (time, class, body): one at a random time within each slot of 1/rate.

    The rate of every second is thus known, and a retry storm cannot be confused with the variance of the arrivals. A
    surge shortens the slots.
    """
    planned, at, n = [], -SETTLE_S, 0
    weights = [cls.share for cls in site.CLASSES]
    while at < spec.seconds:
        surges = [s.factor for s in steps if s.what == "surge" and s.at <= at < s.at + s.duration_s]
        slot = 1.0 / (rate * max(surges, default=1.0))
        request_class = random.choices(site.CLASSES, weights)[0]
        planned.append((at + random.random() * slot, request_class, f"{spec.seed}:{n}".encode()))
        at, n = at + slot, n + 1
    return sorted(planned, key=lambda arrival: arrival[0])


async def run(spec: Spec, settings_of: Callable[[Settings], Settings] = lambda s: s) -> dict[str, Any]:
    """Run one trial and return its figures. ``settings_of`` may change the settings of the package's clients."""
    random = Random(spec.seed)
    loop = asyncio.get_running_loop()
    tap = Tap(loop.time)
    stack = AsyncExitStack()
    async with stack:
        fleet = await stack.enter_async_context(
            RemoteFleet(spec.servers, spec.seed, callers=spec.callers, script=spec.script, pools=spec.pools)
        )
        tap.ignored_addresses.add(fleet.catalog)
        steps = parse(spec.script, fleet.names, spec.seed)
        rate = spec.load * fleet.capacity
        plan = arrivals(spec, rate, steps, random)
        calls: list[Callable[[str, bytes], Awaitable[Outcome]]] = []
        clients: list[Client] = []
        for n in range(spec.callers):
            settings = Settings(site.rules(), catalog="{}:{}".format(*fleet.catalog), caller=n)
            if spec.client == OWN_CLIENT:
                client = Client(settings_of(settings), random=Random(random.getrandbits(64)), sockets=tap.socket)
                clients.append(await stack.enter_async_context(client))
                calls.append(client.outcome)
            else:
                baseline_type = CLIENTS[spec.client]
                baseline = baseline_type(settings, random=Random(random.getrandbits(64)), sockets=tap.socket)
                calls.append((await stack.enter_async_context(baseline)).outcome)
        start = loop.time() + SETTLE_S + 0.2
        await fleet.play(start)
        cpu_s = time.process_time()
        planned_calls = await _generate_load(plan, start, calls, random)
        cpu_s = time.process_time() - cpu_s
        figures = _figures(spec, rate, steps, planned_calls, tap, await fleet.report(), start)
        figures["cpu_s"] = round(cpu_s, 2)
        if clients:
            figures["counts"] = dict(sum((client.policy.counts for client in clients), Counter()))
    return figures


async def _generate_load(
    plan: list[tuple[float, site.RequestClass, bytes]],
    start: float,
    calls: list[Callable[[str, bytes], Awaitable[Outcome]]],
    random: Random,
) -> list[PlannedCall]:
    loop = asyncio.get_running_loop()

    async def make_call(planned: PlannedCall, call: Callable[[str, bytes], Awaitable[Outcome]]) -> None:
        planned.started_at = loop.time()
        planned.outcome = await call(planned.request_class.name, planned.body)
        planned.ended_at = loop.time()

    planned_calls, tasks = [], []
    for at, request_class, body in plan:
        await asyncio.sleep(max(0.0, start + at - loop.time()))
        planned = PlannedCall(start + at, request_class, body)
        planned_calls.append(planned)
        tasks.append(loop.create_task(make_call(planned, random.choice(calls))))
    await asyncio.wait(tasks, timeout=max(cls.deadline_s for cls in site.CLASSES) + 1.0)
    for task in tasks:
        if not task.done():
            task.cancel()
        elif task.exception() is not None:
            print(f"trial: a call of the client under test raised {task.exception()!r}", file=sys.stderr)
    return planned_calls


def worth(call: PlannedCall) -> float:
    """The worth of the call's outcome, with its latency counted from the planned start."""
    if call.outcome is None or not call.outcome.served:
        return 0.0
    latency_s = call.ended_at - call.planned_at
    return call.request_class.worth * (
        1.0
        if latency_s <= call.request_class.objective_s
        else LATE_WORTH
        if latency_s <= call.request_class.deadline_s
        else 0.0
    )


def _figures(
    spec: Spec, rate: float, steps: list[Step], calls: list[PlannedCall], tap: Tap, fleet: dict[str, Any], start: float
) -> dict[str, Any]:
    end = start + spec.seconds
    by_body = {call.body: call for call in calls}
    measured = [call for call in calls if start <= call.planned_at < end]
    late_attempts = unmarked = 0
    attempts_by_body: Counter[bytes] = Counter()
    for attempt in tap.attempts:
        call = by_body.get(attempt.body)
        if call is None:
            continue
        # The client counts the deadline from when it is called, which is a little after the planned start.
        late_attempts += attempt.sent_at > call.planned_at + call.request_class.deadline_s + 0.05
        unmarked += attempts_by_body[attempt.body] > 0 and not attempt.is_retry
        attempts_by_body[attempt.body] += 1
    calls_sent = len(attempts_by_body)
    starts = Counter(fleet["starts"])
    commits = [call for call in calls if not call.request_class.safe]
    load = [attempt.sent_at for attempt in tap.attempts] + tap.connects
    surge = max((step.factor for step in steps if step.what == "surge"), default=1.0)
    wrong_bodies = sum(
        1
        for call in calls
        if call.outcome is not None and call.outcome.served and getattr(call.outcome, "body", b"") != result(call.body)
    )
    outcomes = Counter(OUTCOME_NAMES[type(call.outcome)] if call.outcome else "none" for call in measured)
    offered_worth = sum(call.request_class.worth for call in measured)
    commit_worth = sum(call.request_class.worth for call in measured if not call.request_class.safe)
    latencies_s = sorted(
        call.ended_at - call.planned_at for call in measured if call.outcome is not None and call.outcome.served
    )
    return {
        "spec": asdict(spec),
        "rate": round(rate, 1),
        "calls": len(measured),
        "outcomes": dict(outcomes),
        "worth": round(sum(map(worth, measured)) / offered_worth, 4),
        "commit_worth": round(sum(worth(call) for call in measured if not call.request_class.safe) / commit_worth, 4),
        "storm": round(most_in_a_second(load, start, end) / (rate * surge), 3),
        "arrivals_peak": round(most_in_a_second([call.started_at for call in calls], start, end) / (rate * surge), 3),
        "lateness_p99_ms": round(
            sorted(call.started_at - call.planned_at for call in calls)[int(len(calls) * 0.99)] * 1000, 1
        ),
        "storm_connects": most_in_a_second(tap.connects, start, end),
        "storm_tries": round(
            most_in_a_second([attempt.sent_at for attempt in tap.attempts], start, end) / (rate * surge), 3
        ),
        "tries_per_call": round(len(tap.attempts) / max(calls_sent, 1), 3),
        "late_tries": late_attempts,
        "unmarked": unmarked,
        "no_result": sum(call.outcome is None for call in calls),
        "commits_twice": sum(starts[call.body.decode()] > 1 for call in commits),
        "commits": len(commits),
        # Commits that ran although the client reported them as refused or failed: they would be charged unnoticed.
        "commits_denied_but_ran": sum(
            starts[call.body.decode()] > 0
            for call in commits
            if call.outcome is not None and not call.outcome.served and not isinstance(call.outcome, Uncertain)
        ),
        "wrong_body": wrong_bodies,
        "most_open": tap.max_in_flight,
        "answers_twice": tap.duplicate_answers,
        "p50_ms": round(latencies_s[len(latencies_s) // 2] * 1000) if latencies_s else None,
        "p99_ms": round(latencies_s[int(len(latencies_s) * 0.99)] * 1000) if latencies_s else None,
        "crashes": fleet["crashes"],
        "events": fleet["events"],
    }


def main(argument: str) -> None:
    """Run the trial that the JSON object ``argument`` describes and print its figures."""
    print(json.dumps(asyncio.run(run(Spec(**json.loads(argument))))))


if __name__ == "__main__":
    main(sys.argv[1])
