"""Latency cost of ownership on the request path: one real match server with it on and one with it off, same load.

Both serve the same calls at the same times, in alternating turns, so that other load on the machine affects both alike.
Target: p99 with ownership on is at most 3% above p99 with it off. A difference below 2 ms is ignored, because a p99 of
a few milliseconds varies by more than 3% from run to run.
"""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path
from random import Random
from typing import Any

import numpy as np

from benchmarks.common import ROOT, arguments, finish
from lapishaven.client import Client
from lapishaven.client.outcomes import Served
from lapishaven.client.settings import load
from lapishaven.lab.fleet import Fleet
from lapishaven.lab.interpreter import Box

IGNORED_DIFFERENCE_S = 0.002


async def _latencies(seed: int, calls: int, rate: float, extra: list[str]) -> list[float]:
    random, loop = Random(seed), asyncio.get_running_loop()
    async with Fleet(1, seed, boxes=[Box(cores=8, speed=1.0)], extra=extra) as fleet:
        await fleet.ready()
        catalog_address = "{}:{}".format(*fleet.catalog.address)
        settings = load(str(ROOT / "deploy/client.toml"), catalog=catalog_address, servers=())
        async with Client(settings) as client:
            due_at, tasks = loop.time() + 0.5, []
            for n in range(calls):
                due_at += random.expovariate(rate)
                await asyncio.sleep(max(0.0, due_at - loop.time()))
                tasks.append(asyncio.create_task(client.outcome("fuzzy-match", b"%d" % n)))
            outcomes = await asyncio.gather(*tasks)
    return [outcome.span for outcome in outcomes if isinstance(outcome, Served)]


def measure(seed: int, calls: int, ownership_on: bool) -> list[float]:
    """Return the latencies of the served calls in seconds, with short ownership periods if ownership is on."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "ownership.toml")
        settings_text = (ROOT / "deploy/ownership.toml").read_text().replace("/var/lib/lapishaven", folder)
        path.write_text(
            settings_text.replace("length_s = 86400", "length_s = 2").replace("grace_s = 60", "grace_s = 1")
        )
        return asyncio.run(_latencies(seed, calls, 15.0, ["--ownership", str(path)] if ownership_on else []))


def main() -> None:
    args = arguments(__doc__ or "")
    latencies: dict[bool, list[float]] = {True: [], False: []}
    for turn in range(2 if args.short else 6):
        for ownership_on in (turn % 2 == 0, turn % 2 == 1):
            latencies[ownership_on] += measure(args.seed + turn, 110 if args.short else 1000, ownership_on)
    figures: dict[str, Any] = {"seed": args.seed}
    for ownership_on, name in ((True, "on"), (False, "off")):
        p50, p99 = np.percentile(latencies[ownership_on], [50, 99])
        figures |= {
            f"{name}_calls": len(latencies[ownership_on]),
            f"{name}_p50_ms": round(p50 * 1000, 2),
            f"{name}_p99_ms": round(p99 * 1000, 2),
        }
    on_p99_ms, off_p99_ms = figures["on_p99_ms"], figures["off_p99_ms"]
    figures["p99_on_over_off"] = round(on_p99_ms / off_p99_ms, 3)
    missed = on_p99_ms > 1.03 * off_p99_ms and on_p99_ms - off_p99_ms > IGNORED_DIFFERENCE_S * 1000
    finish(
        figures,
        [f"p99 is {on_p99_ms} ms with ownership on and {off_p99_ms} ms with it off, at most 3% more allowed"]
        if missed
        else [],
    )


if __name__ == "__main__":
    main()
