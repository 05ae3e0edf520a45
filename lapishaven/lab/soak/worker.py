"""Runs one seed of the soak in a process of its own: ``python -m lapishaven.lab.soak.worker SEED``.

Prints one JSON object: the seed, the rules that were broken, the figures and the log.
"""

from __future__ import annotations

import json
import sys

from lapishaven.lab.soak.plan import draw_plan
from lapishaven.lab.soak.trial import run_seed


def main(seed: int) -> None:
    """Run one seed, and print its report."""
    report = run_seed(draw_plan(seed))
    violations = [{"rule": violation.rule.name, "detail": violation.detail} for violation in report.violations]
    print(json.dumps({"seed": seed, "violations": violations, "figures": report.figures, "log": report.log}))


if __name__ == "__main__":
    main(int(sys.argv[1]))
