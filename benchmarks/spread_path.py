"""What spreading costs on the path with one process: `--spread` with it alone, and the `[backend]` table.

Both fronts stand before the same process and get the same calls in turns, so that what the machine does meets both
alike. Bar: p99 with spreading within 3% of the table's (or 2 ms apart: a short p99 moves by as much itself).
"""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

import numpy as np

from benchmarks.common import arguments, finish
from lapishaven.lab.field import ProcessHarness
from lapishaven.lab.field.tier import Tier

APART = 0.002  # s
RATE, SCALE = 40.0, 0.1  # calls a second, and work over the usual, so that the path counts for something


def main() -> None:
    args = arguments(__doc__ or "")
    turns, span = (8, 2.0) if args.short else (40, 5.0)
    spans: dict[str, list[float]] = {"f0": [], "p0": []}
    with (
        ProcessHarness() as field,
        Tier(field, 1, [1.0], seed=args.seed, slots=16, scale=SCALE, direct_fronts=1) as tier,
    ):

        async def one(front: str, seed: int) -> list[float]:
            random, loop = Random(seed), asyncio.get_running_loop()
            due, calls = loop.time() + 0.05, []
            until = due + span
            while due < until:
                await asyncio.sleep(max(0.0, due - loop.time()))
                calls.append(asyncio.create_task(tier.call(front, "fuzzy-match", b"safe", due)))
                due += random.expovariate(RATE)
            found = await asyncio.gather(*calls)
            assert all(call.status == 200 for call in found)
            return [call.duration_s for call in found]

        for turn in range(turns):
            for front in ("f0", "p0") if turn % 2 else ("p0", "f0"):
                spans[front] += asyncio.run(one(front, args.seed * 1000 + turn))
    figures: dict[str, Any] = {"seed": args.seed}
    for front, name in (("f0", "spread"), ("p0", "table")):
        p50, p99 = np.percentile(spans[front], [50, 99])
        figures |= {
            f"{name}_calls": len(spans[front]),
            f"{name}_p50_ms": round(p50 * 1000, 2),
            f"{name}_p99_ms": round(p99 * 1000, 2),
        }
    ours, table = figures["spread_p99_ms"], figures["table_p99_ms"]
    figures["p99_over_table"] = round(ours / table, 3)
    over = ours > 1.03 * table and ours - table > APART * 1000
    finish(figures, [f"p99 {ours} ms spread, {table} ms by the table"] if over else [])


if __name__ == "__main__":
    main()
