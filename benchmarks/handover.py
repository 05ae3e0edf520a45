"""Upgrades and SIGTERM on real processes: what callers see while one process hands over to the next.

Each trial starts real match servers with stand-in interpreters on loopback (``lapishaven.lab.handover``). In an upgrade
the new process serves the inherited socket beside the old one, which drains once the new one has reported that it is
ready. Baseline on the same seed and load: a plain restart, in which the new process starts and binds the address only
after the old one has exited. A third trial sends SIGTERM in the middle of a burst, with a caller that ignores
``draining``.

Targets for the upgrade and the burst: no request gets a refused, reset or cut connection or stays unanswered; no answer
is late or duplicated; no request runs after the grace period, none that ran is refused, and no commit runs twice; the
old process exits on its own, before SIGKILL; no call to the control address takes 1 s or more, and the counts that it
reports are within 1% (or 3) of the caller's.
"""

from __future__ import annotations

from typing import Any

from benchmarks.common import arguments, finish, replace_section, run_trials, table

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
    """Return the specs of all trials: an upgrade and a restart for each load, and a burst, for each seed."""
    loads = [30.0] if short else [30.0, 60.0]
    seeds = [seed] if short else [seed, seed + 1, seed + 2]
    trial_specs: list[dict[str, Any]] = []
    for trial_seed in seeds:
        for rate in loads:
            for mode in ("upgrade", "restart"):
                trial_specs.append({"mode": mode, "seed": trial_seed, "rate": rate, "seconds": 6.0, "at": 1.5})
        trial_specs.append(
            {
                "mode": "burst",
                "seed": trial_seed,
                "rate": 20.0,
                "seconds": 5.0,
                "at": 1.0,
                "burst": 150.0,
                "stop_ms": 5000,
            }
        )
    return trial_specs


def missed_targets(figures: dict[str, Any]) -> list[str]:
    """Return the targets that a trial missed."""
    spec = figures["spec"]
    name = f"{spec['mode']}, seed {spec['seed']}, {spec['rate']:g} requests a second"
    missed = [
        f"{name}: {key} is {figures[key]}, must be 0"
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
        if figures[key]
    ]
    if figures["killed"]:
        missed.append(f"{name}: the old process did not exit on its own and was killed")
    for key in ("fulfilled", "throttled", "faulted"):
        if figures[f"control_{key}_off"] > max(3.0, 0.01 * figures["sent"]):
            missed.append(
                f"{name}: the control endpoint's count of {key} differs from the caller's"
                f" by {figures[f'control_{key}_off']}"
            )
    return missed


def totals(rows: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the sums of the counts and the largest of the times over several trials."""
    keys = ("sent", "served", "refused_answers", "broken", "refused", "reset", "cut", "unanswered", "late_runs")
    summed: dict[str, Any] = {key: sum(row[key] for row in rows) for key in keys}
    summed["left_s"] = max(row["left_s"] for row in rows)
    summed["control_p99_ms"] = max(row["control_p99_ms"] for row in rows)
    return summed


def main() -> None:
    args = arguments(__doc__ or "")
    trials = run_trials(MODULE, specs(args.seed, args.short), 2 if args.short else 3)
    by_mode = {mode: [f for f in trials if f["spec"]["mode"] == mode] for mode in ("upgrade", "restart", "burst")}
    missed = [target for f in by_mode["upgrade"] + by_mode["burst"] for target in missed_targets(f)]
    if not args.short:
        rows = [[f["spec"]["mode"], f["spec"]["seed"], f["spec"]["rate"], *(f[c] for c in COLUMNS)] for f in trials]
        replace_section("docs/operators/handover.md", "handover", table(["trial", "seed", "rate", *COLUMNS], rows))
    figures = {
        "seed": args.seed,
        "ours": totals(by_mode["upgrade"]),
        "baseline": totals(by_mode["restart"]),
        "burst": totals(by_mode["burst"]),
    }
    finish(figures, missed)


if __name__ == "__main__":
    main()
