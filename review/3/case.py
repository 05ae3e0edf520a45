"""Case 3: a server with pools that was slow for 30 s never runs anything again, not even the class with the reserve.

One match server with ``deploy/pools.toml``, at a quarter of its capacity. Its interpreter runs ten times slower for
30 s, then at its usual speed again. From 15 s after that on, for 20 s, the rule is checked: at least one request of the
class with the reserve has to be run. Without the slow span everything is served.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

from lib.caller import Answer, Caller
from lib.catalog import Catalog
from lib.interpreter import Interpreter
from lib.platform import CannotRunError, Platform, free_port
from lib.record import Record
from lib.settings import CORES, configuration, standard_profiles
from lib.trial import main

COMMIT = "approve-commit"  # the class of the pool "commits", which has the reserve in deploy/pools.toml
SHARES = {"fuzzy-match": 0.42, "segment-save": 0.42, COMMIT: 0.16}
SECONDS = {"fuzzy-match": 0.39, "segment-save": 0.235, COMMIT: 0.235}  # the middle of each class's work
LOAD = 0.25  # of the capacity
CALM_S, SLOW_S, SETTLE_S, WATCH_S = 6.0, 30.0, 15.0, 20.0
SLOWNESS = 10.0
LEAST_COMMITS = 8  # in the watched span, else nothing can be said
SEED = 7


class Load:
    """Open-loop arrivals of the site's classes, at ``LOAD`` of the capacity."""

    def __init__(self, caller: Caller) -> None:
        self._caller = caller
        self._random = random.Random(SEED)
        self._rate = LOAD * CORES / sum(share * SECONDS[name] for name, share in SHARES.items())
        self._count = 0

    async def run(self, seconds: float) -> list[tuple[str, asyncio.Task[Answer]]]:
        """Send for this long; returns the class of each request and the task that waits for its answer."""
        until = time.monotonic() + seconds
        sent = []
        while time.monotonic() < until:
            name = self._random.choices(list(SHARES), list(SHARES.values()))[0]
            self._count += 1
            sent.append((name, asyncio.create_task(self._caller.send(name, f"{name} {self._count}".encode()))))
            await asyncio.sleep(self._random.expovariate(self._rate))
        return sent


async def outcomes(record: Record, span: str, sent: list[tuple[str, asyncio.Task[Answer]]]) -> Counter[tuple[str, str]]:
    """How the requests of a span were answered, by class and kind of answer."""
    counts = Counter([(name, (await answer).kind) for name, answer in sent])
    text = ", ".join(f"{name} {kind} {count}" for (name, kind), count in sorted(counts.items()))
    record.add(f"span  {span}: {text}")
    print(f"{span}: {text}")
    return counts


async def play(platform: Platform, record: Record, trouble: bool) -> list[str]:
    """Play the case; one line if the class with the reserve starved."""
    catalog, interpreter = Catalog(), Interpreter("a", record, SECONDS)
    await catalog.open()
    await interpreter.open()
    listen = ("127.0.0.1", free_port())
    config = configuration(listen, interpreter.address, catalog.address, SEED, standard_profiles())
    await platform.ready(platform.start("a", config, "--pools deploy/pools.toml"))
    load = Load(Caller(record, 1, listen))
    calm = await load.run(CALM_S)
    if trouble:
        interpreter.slow(SLOWNESS)
    slow = await load.run(SLOW_S)
    if trouble:
        interpreter.slow(1.0)
    settle = await load.run(SETTLE_S)
    begun_at = time.monotonic()
    watch = await load.run(WATCH_S)
    if (await outcomes(record, "calm", calm))[COMMIT, "served"] == 0:
        raise CannotRunError("no commit was served in the calm span")
    await outcomes(record, "slow", slow)
    await outcomes(record, "settle", settle)
    counts = await outcomes(record, "watch", watch)
    commits = sum(count for (name, _), count in counts.items() if name == COMMIT)
    if commits < LEAST_COMMITS:
        raise CannotRunError(f"only {commits} commits were sent in the watched span")
    runs = Counter(name for at, name, _ in interpreter.started if at >= begun_at)
    if runs[COMMIT]:
        return []
    others = sum(runs.values())
    return [
        f"none of {commits} requests of the class with the reserve was run from {SETTLE_S:g} s to"
        f" {SETTLE_S + WATCH_S:g} s after the slow span; {others} requests of the {len(watch) - commits} others were"
    ]


if __name__ == "__main__":
    sys.exit(main(Path(__file__).parent, play))
