"""The hard cases of ownership at full length on real processes: held writes, long outages, half of 40, flapping.

Baseline: the held write before a receiver without a fence. Bars: nothing broken and no act of an older owner accepted,
no act and no new owner while the coordinator is away, all work owned again within the lease and 3 s of its return, and
the baseline does show an older owner's act.
"""

from __future__ import annotations

from typing import Any

from benchmarks.common import arguments, finish, table, trials, write_into

MODULE = "lapishaven.lab.field.long"
BACK = 4.0  # s after the coordinator's return: a lease of 0.9 or 1 s, the spread of joins, and a newcomer's settling
SHORT = {"held": 4.0, "away": 4.0, "half": 1.0, "flap": 5.0}
LONG = {"held": 20.0, "away": 150.0, "half": 10.0, "flap": 60.0}
KEYS = (
    "case",
    "coordinator",
    "span",
    "fenced",
    "effects",
    "older_accepted",
    "stale_refused",
    "without_owner_s",
    "acts_while_away",
    "joins_spread_s",
    "all_at_work_s",
    "starts",
    "gained_by_it",
    "lost_by_others",
    "real_s",
)


def main() -> None:
    args = arguments(__doc__ or "")
    spans = SHORT if args.short else LONG
    members = 12 if args.short else 40
    specs: list[dict[str, Any]] = [
        {"case": case, "coordinator": kind, "span": span, "seed": args.seed, "members": members}
        for case, span in spans.items()
        for kind in ("sqlite", "etcd")
    ]
    specs += [{"case": "held", "coordinator": "sqlite", "span": 4.0, "seed": args.seed, "fenced": False}]
    *found, baseline = trials(MODULE, specs, 9 if args.short else 5)
    missed = []
    for row in found:
        where = f"{row['case']} on {row['coordinator']}"
        if row["broken"] or row["older_accepted"]:
            missed.append(f"{where}: {row['broken'] or 'an older owner was accepted'}")
        if row["case"] == "held" and not row["stale_refused"]:
            missed.append(f"{where}: the old owner never noticed")
        if row["case"] == "away" and (row["acts_while_away"] or row["without_owner_s"] > BACK):
            missed.append(f"{where}: {row}")
        if row["case"] == "flap" and row["lost_by_others"]:
            missed.append(f"{where}: others lost {row['lost_by_others']}")
    if not baseline["older_accepted"]:
        missed.append("without a fence nothing went wrong: the case is too weak")
    rows = [[row.get(key, "") for key in KEYS] for row in [*found, baseline]]
    text = table([key.replace("_", " ") for key in KEYS], rows)
    print(text)
    if not args.short:
        write_into("docs/operators/ownership.md", "long", f"Seed {args.seed}, {members} members in `half`.\n\n{text}")
    finish({"seed": args.seed, "cases": found, "baseline": baseline}, missed)


if __name__ == "__main__":
    main()
