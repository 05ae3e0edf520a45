"""Shared by the benchmarks: arguments, parallel trials, the closing JSON line, and tables in the operators' pages."""

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


def arguments(description: str) -> argparse.Namespace:
    """Parse ``--seed N`` and ``--short``."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--short", action="store_true", help="ends within 45 s and writes no page")
    return parser.parse_args()


def run_trials(module: str, specs: Sequence[dict[str, Any]], parallel: int) -> list[dict[str, Any]]:
    """Run ``python -m MODULE SPEC`` for each spec, at most ``parallel`` at a time.

    Returns the JSON object that each trial printed last, in the order of the specs.
    """

    def run_trial(spec: dict[str, Any]) -> dict[str, Any]:
        process = subprocess.run(
            [sys.executable, "-m", module, json.dumps(spec)],
            capture_output=True,
            text=True,
            cwd=ROOT,
            check=False,
        )
        if process.returncode:
            raise RuntimeError(
                f"trial of {module} with spec {json.dumps(spec)} exited with status {process.returncode};"
                f" end of its stderr: {process.stderr[-2000:]}"
            )
        trial_figures: dict[str, Any] = json.loads(process.stdout.splitlines()[-1])
        return trial_figures

    with ThreadPoolExecutor(parallel) as pool:
        return list(pool.map(run_trial, specs))


def table(header: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Return a Markdown table."""
    lines = ["| " + " | ".join(header) + " |", "| " + " | ".join("---" for _ in header) + " |"]
    lines += ["| " + " | ".join(str(cell) for cell in row) + " |" for row in rows]
    return "\n".join(lines)


def replace_section(page: str, section: str, text: str) -> None:
    """Replace the text between ``<!-- SECTION -->`` and ``<!-- /SECTION -->`` in a page."""
    path = ROOT / page
    before, _, rest = path.read_text().partition(f"<!-- {section} -->\n")
    _, _, after = rest.partition(f"<!-- /{section} -->")
    path.write_text(f"{before}<!-- {section} -->\n{text}\n<!-- /{section} -->{after}")


def finish(figures: dict[str, Any], missed: Sequence[str]) -> NoReturn:
    """Print each missed target, then the figures as one JSON line; exit with status 1 if a target was missed."""
    for target in missed:
        print(f"missed: {target}")
    print(json.dumps({**figures, "missed": list(missed), "ok": not missed}))
    sys.exit(1 if missed else 0)
