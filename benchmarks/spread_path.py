"""Latency cost of load balancing over a single process: a front with `--spread`, and one with a `[backend]` table.

Both fronts use the same process and get the same calls in alternating turns, so that other load on the machine affects
both alike. Target: p99 with `--spread` is at most 3% above that with the table. A difference below 2 ms is ignored,
because a p99 of a few milliseconds varies by more than 3% from run to run.
"""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

import numpy as np

from benchmarks.common import arguments, finish
from lapishaven.lab.field import ProcessHarness
from lapishaven.lab.field.tier import Tier

IGNORED_DIFFERENCE_S = 0.002
# A tenth of the usual work per call, so that the front's own share of the latency can be measured.
CALLS_PER_SECOND, WORK_SCALE = 40.0, 0.1


def main() -> None:
    args = arguments(__doc__ or "")
    turns, turn_s = (8, 2.0) if args.short else (40, 5.0)
    latencies: dict[str, list[float]] = {"f0": [], "p0": []}
    with (
        ProcessHarness() as field,
        Tier(field, 1, [1.0], seed=args.seed, slots=16, scale=WORK_SCALE, direct_fronts=1) as tier,
    ):

        async def measure_turn(front: str, seed: int) -> list[float]:
            random, loop = Random(seed), asyncio.get_running_loop()
            due_at, tasks = loop.time() + 0.05, []
            end_at = due_at + turn_s
            while due_at < end_at:
                await asyncio.sleep(max(0.0, due_at - loop.time()))
                tasks.append(asyncio.create_task(tier.call(front, "fuzzy-match", b"safe", due_at)))
                due_at += random.expovariate(CALLS_PER_SECOND)
            results = await asyncio.gather(*tasks)
            assert all(result.status == 200 for result in results)
            return [result.duration_s for result in results]

        for turn in range(turns):
            for front in ("f0", "p0") if turn % 2 else ("p0", "f0"):
                latencies[front] += asyncio.run(measure_turn(front, args.seed * 1000 + turn))
    figures: dict[str, Any] = {"seed": args.seed}
    for front, name in (("f0", "spread"), ("p0", "table")):
        p50, p99 = np.percentile(latencies[front], [50, 99])
        figures |= {
            f"{name}_calls": len(latencies[front]),
            f"{name}_p50_ms": round(p50 * 1000, 2),
            f"{name}_p99_ms": round(p99 * 1000, 2),
        }
    spread_p99_ms, table_p99_ms = figures["spread_p99_ms"], figures["table_p99_ms"]
    figures["p99_over_table"] = round(spread_p99_ms / table_p99_ms, 3)
    missed = spread_p99_ms > 1.03 * table_p99_ms and spread_p99_ms - table_p99_ms > IGNORED_DIFFERENCE_S * 1000
    finish(
        figures,
        [
            f"p99 is {spread_p99_ms} ms with --spread and {table_p99_ms} ms with the [backend] table,"
            " at most 3% more allowed"
        ]
        if missed
        else [],
    )


if __name__ == "__main__":
    main()
