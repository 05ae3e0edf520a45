"""CPU time per request of one real match server, for this source tree and, with ``--against DIR``, for another one.

Both serve the same open-loop load in turns (this, other, other, this, ...), so that other load on the machine affects
both alike. Measured is the server process's user and system time during the load, divided by the requests answered.
Target: this tree is at most 3% above the other one.
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

# Less than a tenth of the capacity of the stand-in's cores, so that hardly any request waits.
REQUESTS_PER_SECOND = 250.0
ALLOWED_RATIO = 1.03
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
BOX = Box(cores=64, speed=4.0)


def process_cpu(pid: int) -> float:
    """Return the CPU time, user and system, that a process has used so far, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    user, system = int(fields[11]), int(fields[12])
    return (user + system) / TICKS_PER_SECOND


async def measure(tree: Path, seed: int, seconds: float) -> tuple[float, int]:
    """Return the CPU time per answered request in microseconds, and the number of answered requests."""
    random = Random(seed)
    async with Fleet(1, seed, boxes=[BOX], tree=tree) as fleet:
        await fleet.ready()
        (node,) = fleet.nodes.values()
        assert node.process is not None
        load = Load(REQUESTS_PER_SECOND, seconds)
        caller = Caller(node.address, RequestLog(), load, random)
        planned = arrivals(load, asyncio.get_running_loop().time() + 0.2, random)
        cpu_before_s = process_cpu(node.process.pid)
        await caller.run(planned)
        cpu_s = process_cpu(node.process.pid) - cpu_before_s
    answered = len(planned) - caller.log.open_count()
    return cpu_s / answered * 1e6, answered


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--short", action="store_true", help="4 turns of 5 s each instead of 8 of 15 s")
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
            missed.append(f"CPU time per request is {ratio:.3f} of the other tree's, at most {ALLOWED_RATIO} allowed")
    finish(figures, missed)


if __name__ == "__main__":
    main()
