"""CPU time that one real match server spends on a request, for this tree and, with ``--against DIR``, for another one.

Both serve the same open-loop load in turns (this, other, other, this, ...), so that the machine treats both alike.
The time is the server process's, user and system, over the load, divided by the requests answered.
Bar: this tree at most 3% over the other one.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import statistics
from pathlib import Path
from random import Random
from typing import Any

from benchmarks.common import ROOT, finish
from lapishaven.lab.fleet import Fleet
from lapishaven.lab.handover.book import RequestLog
from lapishaven.lab.handover.caller import Caller, Load, arrivals
from lapishaven.lab.interpreter import Box

RATE = 250.0  # requests a second: under a tenth of what the stand-in's cores can do, so that next to nothing waits
ALLOWED_RATIO = 1.03
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
BOX = Box(cores=64, speed=4.0)


def process_cpu(pid: int) -> float:
    """Seconds of CPU, user and system, that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    user, system = int(fields[11]), int(fields[12])
    return (user + system) / TICKS_PER_SECOND


async def measure(tree: Path, seed: int, seconds: float) -> tuple[float, int]:
    """Microseconds of CPU for each request that was answered, and how many were."""
    random = Random(seed)
    async with Fleet(1, seed, boxes=[BOX], tree=tree) as fleet:
        await fleet.ready()
        (node,) = fleet.nodes.values()
        assert node.process is not None
        load = Load(RATE, seconds)
        caller = Caller(node.address, RequestLog(), load, random)
        planned = arrivals(load, asyncio.get_running_loop().time() + 0.2, random)
        before = process_cpu(node.process.pid)
        await caller.run(planned)
        spent = process_cpu(node.process.pid) - before
    answered = len(planned) - caller.log.open_count()
    return spent / answered * 1e6, answered


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--short", action="store_true", help="4 turns of 5 s each in place of 8 of 15 s")
    parser.add_argument("--against", type=Path, help="the root of another tree of this program")
    args = parser.parse_args()
    trees = {"this": ROOT} | ({"other": args.against.resolve()} if args.against else {})
    turns, seconds = (4, 5.0) if args.short else (8, 15.0)
    costs: dict[str, list[float]] = {name: [] for name in trees}
    answered = 0
    for turn in range(turns):
        order = list(trees) if turn % 2 == 0 else list(reversed(trees))
        for name in order:
            cost, count = asyncio.run(measure(trees[name], args.seed + turn, seconds))
            costs[name].append(cost)
            answered += count
    figures: dict[str, Any] = {"seed": args.seed, "answered": answered}
    for name, values in costs.items():
        figures[f"{name}_us_a_request"] = [round(value, 1) for value in values]
        figures[f"{name}_median_us"] = round(statistics.median(values), 1)
    missed = []
    if "other" in costs:
        ratio = figures["this_median_us"] / figures["other_median_us"]
        figures["ratio"] = round(ratio, 3)
        if ratio > ALLOWED_RATIO:
            missed.append(f"{ratio:.3f} of the other tree's CPU a request, {ALLOWED_RATIO} allowed")
    finish(figures, missed)


if __name__ == "__main__":
    main()
