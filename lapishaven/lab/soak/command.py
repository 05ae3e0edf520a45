"""The implementation of ``lapishaven lab soak``: runs a range of seeds, several at a time, and sums up the results."""

from __future__ import annotations

import asyncio
import json
import re
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from rich.console import Console
from rich.progress import MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn

ROOT = Path(__file__).parent.parent.parent.parent
S_PER_MINUTE = 60.0
MAX_SEED_S = 120.0  # a run that takes longer hangs
ERROR_TEXT_CHARACTERS = 2000  # of a worker's error output that are kept


@dataclass(frozen=True, slots=True)
class SeedResult:
    """The result of one seed. ``violations`` have a ``rule`` and a ``detail`` each."""

    seed: int
    violations: tuple[dict[str, str], ...]
    figures: dict[str, Any]
    log: tuple[str, ...]


def parse_seeds(text: str) -> range:
    """Parse ``A-B`` or ``A``. Raises ``ValueError`` with one line for the operator."""
    match = re.fullmatch(r"([0-9]{1,9})(?:-([0-9]{1,9}))?", text)
    if match is None:
        raise ValueError(f"--seeds is {text!r:.40}, not A-B or A with whole numbers")
    first, last = int(match[1]), int(match[2] or match[1])
    if last < first:
        raise ValueError(f"--seeds is {text}, the last seed is below the first")
    return range(first, last + 1)


async def _run_seed(seed: int) -> SeedResult:
    worker = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "lapishaven.lab.soak.worker",
        str(seed),
        cwd=ROOT,
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        output, errors = await asyncio.wait_for(worker.communicate(), MAX_SEED_S)
        report = json.loads(output)
    except (TimeoutError, ValueError) as error:
        if worker.returncode is None:
            worker.kill()
            await worker.wait()
        text = errors.decode(errors="replace")[-ERROR_TEXT_CHARACTERS:] if not isinstance(error, TimeoutError) else ""
        found = {"rule": "HARNESS", "detail": f"the worker gave no report ({type(error).__name__}) {text}"}
        return SeedResult(seed, (found,), {}, ())
    return SeedResult(seed, tuple(report["violations"]), report["figures"], tuple(report["log"]))


async def _run_all(seeds: Sequence[int], jobs: int, ends_at: float, progress: Progress) -> list[SeedResult]:
    task = progress.add_task("seeds", total=len(seeds), failed=0)
    pending = list(reversed(seeds))
    results: list[SeedResult] = []

    async def work() -> None:
        while pending and time.monotonic() < ends_at:
            result = await _run_seed(pending.pop())
            results.append(result)
            progress.update(task, advance=1, failed=sum(bool(done.violations) for done in results))

    await asyncio.gather(*(work() for _ in range(jobs)))
    return sorted(results, key=lambda result: result.seed)


def soak(seeds: range, jobs: int, minutes: float, json_path: str | None, log_folder: str) -> int:
    """Run the seeds until ``minutes`` have passed; returns the exit code, 1 if a seed broke a rule.

    The log of a seed that failed is kept in ``log_folder``.
    """
    console = Console(stderr=True)
    columns = (
        TextColumn("soak"),
        MofNCompleteColumn(),
        TextColumn("failed {task.fields[failed]}"),
        TimeElapsedColumn(),
    )
    with Progress(*columns, console=console) as progress:
        results = asyncio.run(_run_all(seeds, jobs, time.monotonic() + minutes * S_PER_MINUTE, progress))
    failed = [result for result in results if result.violations]
    for result in failed:
        path = Path(log_folder) / f"soak-{result.seed}.jsonl"
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text("\n".join(result.log) + "\n")
        for violation in result.violations:
            print(f"seed {result.seed}: {violation['rule']}: {violation['detail']} ({path})")
    summary = _summary(results, len(seeds))
    print(json.dumps(summary))
    if json_path is not None:
        rows = [{"seed": r.seed, "violations": list(r.violations), **r.figures} for r in results]
        Path(json_path).write_text(json.dumps({**summary, "seeds": rows}, indent=1) + "\n")
    return 1 if failed or len(results) < len(seeds) else 0


def _summary(results: Sequence[SeedResult], planned: int) -> dict[str, Any]:
    def total(name: str) -> int:
        return sum(int(result.figures.get(name, 0)) for result in results)

    return {
        "planned": planned,
        "run": len(results),
        "failed_seeds": [result.seed for result in results if result.violations],
        "requests": total("requests"),
        "served": total("served"),
        "runs": total("runs"),
        "crossed": total("crossed"),
        "processes": total("processes"),
        "killed": total("killed"),
        "harness_late_ms": max((int(result.figures.get("harness_late_ms", 0)) for result in results), default=0),
    }
