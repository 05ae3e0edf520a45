"""What the benchmarks share: arguments, trials side by side, the last line, tables in the pages."""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, NoReturn

ROOT = Path(__file__).parent.parent


def arguments(about: str) -> argparse.Namespace:
    """``--seed N`` and ``--short``."""
    parser = argparse.ArgumentParser(description=about)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--short", action="store_true", help="ends within 45 s and writes no page")
    return parser.parse_args()


def trials(module: str, specs: Sequence[dict[str, Any]], side_by_side: int) -> list[dict[str, Any]]:
    """Run ``python -m MODULE SPEC`` for each spec, so many at a time; the figures in the order of the specs."""

    def one(spec: dict[str, Any]) -> dict[str, Any]:
        done = subprocess.run(
            [sys.executable, "-m", module, json.dumps(spec)],
            capture_output=True,
            text=True,
            cwd=ROOT,
            check=False,
        )
        if done.returncode:
            raise RuntimeError(f"{module} {json.dumps(spec)} ended with {done.returncode}: {done.stderr[-2000:]}")
        found: dict[str, Any] = json.loads(done.stdout.splitlines()[-1])
        return found

    with ThreadPoolExecutor(side_by_side) as pool:
        return list(pool.map(one, specs))


def table(head: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """A Markdown table."""
    lines = ["| " + " | ".join(head) + " |", "| " + " | ".join("---" for _ in head) + " |"]
    lines += ["| " + " | ".join(str(cell) for cell in row) + " |" for row in rows]
    return "\n".join(lines)


def write_into(page: str, mark: str, text: str) -> None:
    """Put text between ``<!-- MARK -->`` and ``<!-- /MARK -->`` of a page."""
    path = ROOT / page
    before, _, rest = path.read_text().partition(f"<!-- {mark} -->\n")
    _, _, after = rest.partition(f"<!-- /{mark} -->")
    path.write_text(f"{before}<!-- {mark} -->\n{text}\n<!-- /{mark} -->{after}")


def finish(figures: dict[str, Any], missed: Sequence[str]) -> NoReturn:
    """Print what missed its bar, then the last line; exit 1 if any did."""
    for each in missed:
        print(f"missed: {each}")
    print(json.dumps({**figures, "missed": list(missed), "ok": not missed}))
    sys.exit(1 if missed else 0)
