"""Upgrades and SIGTERM on real processes: what callers meet while one process hands over to the next.

Each trial starts real match servers round stand-in interpreters on loopback (``lapishaven.lab.handover``). Ours:
the new process serves the inherited socket beside the old one, which leaves at the new one's yes. Baseline on the
same seed and load: the naive restart, in which the old process leaves and only then the new one starts and binds
the address. Beside them, SIGTERM in the middle of a burst, from a caller that does not heed ``draining``.

Bars, for ours and the burst: no request meets a refused, reset or cut connection or goes unanswered; no answer is
late or doubled; nothing past the grace runs, nothing that ran is refused, no commit runs twice; the leaving process
goes by itself, before SIGKILL; no call to the control address waits 1 s, and its figures are within the slack.
"""

from __future__ import annotations

from typing import Any

from benchmarks.common import arguments, finish, table, write_into
from benchmarks.common import trials as side_by_side

MODULE = "lapishaven.lab.handover.trial"
COLUMNS = (
    "sent",
    "served",
    "refused_answers",
    "refused",
    "reset",
    "cut",
    "unanswered",
    "late_runs",
    "left_s",
    "control_p99_ms",
    "control_over_1s",
)


def specs(seed: int, short: bool) -> list[dict[str, Any]]:
    loads = [30.0] if short else [30.0, 60.0]
    seeds = [seed] if short else [seed, seed + 1, seed + 2]
    out: list[dict[str, Any]] = []
    for n in seeds:
        for rate in loads:
            for mode in ("upgrade", "restart"):
                out.append({"mode": mode, "seed": n, "rate": rate, "seconds": 6.0, "at": 1.5})
        out.append(
            {"mode": "burst", "seed": n, "rate": 20.0, "seconds": 5.0, "at": 1.0, "burst": 150.0, "stop_ms": 5000}
        )
    return out


def missed_by(found: dict[str, Any]) -> list[str]:
    spec = found["spec"]
    name = f"{spec['mode']} seed {spec['seed']} at {spec['rate']:g}/s"
    missed = [
        f"{name}: {found[key]} {key}"
        for key in (
            "broken",
            "late",
            "doubled",
            "late_runs",
            "refused_after_run",
            "twice",
            "crashes",
            "control_over_1s",
        )
        if found[key]
    ]
    if found["killed"]:
        missed.append(f"{name}: the leaving process was killed")
    for key in ("fulfilled", "throttled", "faulted"):
        if found[f"control_{key}_off"] > max(3.0, 0.01 * found["sent"]):
            missed.append(f"{name}: {key} off by {found[f'control_{key}_off']}")
    return missed


def total(rows: list[dict[str, Any]]) -> dict[str, Any]:
    keys = ("sent", "served", "refused_answers", "broken", "refused", "reset", "cut", "unanswered", "late_runs")
    out: dict[str, Any] = {key: sum(row[key] for row in rows) for key in keys}
    out["left_s"] = max(row["left_s"] for row in rows)
    out["control_p99_ms"] = max(row["control_p99_ms"] for row in rows)
    return out


def main() -> None:
    args = arguments(__doc__ or "")
    found = side_by_side(MODULE, specs(args.seed, args.short), 2 if args.short else 3)
    by_mode = {mode: [f for f in found if f["spec"]["mode"] == mode] for mode in ("upgrade", "restart", "burst")}
    missed = [each for f in by_mode["upgrade"] + by_mode["burst"] for each in missed_by(f)]
    if not args.short:
        rows = [[f["spec"]["mode"], f["spec"]["seed"], f["spec"]["rate"], *(f[c] for c in COLUMNS)] for f in found]
        write_into("docs/operators/handover.md", "handover", table(["trial", "seed", "rate", *COLUMNS], rows))
    figures = {
        "seed": args.seed,
        "ours": total(by_mode["upgrade"]),
        "baseline": total(by_mode["restart"]),
        "burst": total(by_mode["burst"]),
    }
    finish(figures, missed)


if __name__ == "__main__":
    main()
