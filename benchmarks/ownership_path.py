"""What ownership costs on the request path: one real match server with it on, and one with it off, on the same load.

Both serve the same calls at the same times, in turns, so that what the machine does meets both alike. Bar: p99 with it
on within 3% of off (at 2 ms or more apart: a p99 of a few ms moves by more than that on its own).
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

APART = 0.002  # s


async def _spans(seed: int, calls: int, rate: float, extra: list[str]) -> list[float]:
    random, loop = Random(seed), asyncio.get_running_loop()
    async with Fleet(1, seed, boxes=[Box(cores=8, speed=1.0)], extra=extra) as fleet:
        await fleet.ready()
        where = "{}:{}".format(*fleet.catalog.address)
        settings = load(str(ROOT / "deploy/client.toml"), catalog=where, servers=())
        async with Client(settings) as client:
            at, waits = loop.time() + 0.5, []
            for n in range(calls):
                at += random.expovariate(rate)
                await asyncio.sleep(max(0.0, at - loop.time()))
                waits.append(asyncio.create_task(client.outcome("fuzzy-match", b"%d" % n)))
            found = await asyncio.gather(*waits)
    return [each.span for each in found if isinstance(each, Served)]


def measure(seed: int, calls: int, on: bool) -> list[float]:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "ownership.toml")
        text = (ROOT / "deploy/ownership.toml").read_text().replace("/var/lib/lapishaven", folder)
        path.write_text(text.replace("length_s = 86400", "length_s = 2").replace("grace_s = 60", "grace_s = 1"))
        return asyncio.run(_spans(seed, calls, 15.0, ["--ownership", str(path)] if on else []))


def main() -> None:
    args = arguments(__doc__ or "")
    spans: dict[bool, list[float]] = {True: [], False: []}
    for k in range(2 if args.short else 6):
        for on in (k % 2 == 0, k % 2 == 1):
            spans[on] += measure(args.seed + k, 110 if args.short else 1000, on)
    figures: dict[str, Any] = {"seed": args.seed}
    for on, name in ((True, "on"), (False, "off")):
        p50, p99 = np.percentile(spans[on], [50, 99])
        figures |= {
            f"{name}_calls": len(spans[on]),
            f"{name}_p50_ms": round(p50 * 1000, 2),
            f"{name}_p99_ms": round(p99 * 1000, 2),
        }
    on99, off99 = figures["on_p99_ms"], figures["off_p99_ms"]
    figures["p99_on_over_off"] = round(on99 / off99, 3)
    over = on99 > 1.03 * off99 and on99 - off99 > APART * 1000
    finish(figures, [f"p99 {on99} ms on, {off99} ms off"] if over else [])


if __name__ == "__main__":
    main()
