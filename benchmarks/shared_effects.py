"""CPU time that sharing effects over an upgrade adds to a run, and the start of a process on a long log of claims.

One process claims and ends keyed effects, as the core does for each run of a class that may not simply run again; the
baseline on the same seed is the execution guard alone. Then another process, as in an upgrade, opens what the first has
written. Targets: a run costs at most 100 us more, the slowest of 1,000 at most 10 ms; a start with 50,000 claims takes
at most 3 s of the 6 s that the platform gives it; the files stay within their shares of the memory.
"""

from __future__ import annotations

import json
import tempfile
import time
from dataclasses import replace
from pathlib import Path
from random import Random

from benchmarks.common import arguments, finish, replace_section, table
from lapishaven.admission import Idempotency, Settings
from lapishaven.core.execution_guard import ExecutionGuard, max_names
from lapishaven.core.peer_effects import PeerEffects
from lapishaven.core.requests import Submission
from lapishaven.counters import Counters
from lapishaven.effect_log import SharedEffectLog
from lapishaven.effect_log.shared_effect_log import CLAIMS_DIVISOR, RESULTS_DIVISOR
from lapishaven.lab import site
from lapishaven.lab.interpreter import Box
from lapishaven.proto.admission_settings import parse_settings

MEMORY_BYTES = 192 << 20
MAX_ADDED_US = 100.0
MAX_SLOWEST_MS = 10.0
MAX_START_S = 3.0


def open_peers(folder: Path) -> PeerEffects:
    """What a process shares with the others of ``folder``."""
    log = SharedEffectLog(folder, MEMORY_BYTES, print)
    return PeerEffects(log, MEMORY_BYTES // 32, max_names(MEMORY_BYTES), Counters())


def keyed_settings() -> Settings:
    """The site's settings, its last class keyed."""
    settings, _ = parse_settings(json.dumps(site.settings(Box(), 1, 1, False)))
    keyed = replace(settings.classes[-1], idempotency=Idempotency.WITH_KEY, idempotency_window=900.0)
    return replace(settings, classes=(*settings.classes[:-1], keyed))


def run_costs(seed: int, runs: int, peers: PeerEffects | None) -> list[float]:
    """Seconds that each claim and end took."""
    random, settings, guard = Random(seed), keyed_settings(), ExecutionGuard(MEMORY_BYTES, peers)
    costs_s: list[float] = []
    for number in range(runs):
        result = random.randbytes(random.randint(100, 2000))
        submission = Submission(
            f"{random.getrandbits(64):016x}",
            len(settings.classes) - 1,
            b"",
            24.5,
            idempotency_key=f"key {number}",
            body_digest=random.randbytes(16),
        )
        began_at = time.perf_counter()
        if peers is not None:
            peers.advance(time.monotonic())
        if guard.claim(time.monotonic(), submission, settings.classes[-1]) is not None:
            raise RuntimeError(f"run {number} was not claimed")
        guard.run_ended(submission, result)
        costs_s.append(time.perf_counter() - began_at)
    return costs_s


def main() -> None:
    args = arguments(__doc__ or "")
    runs = 10_000 if args.short else 50_000
    with tempfile.TemporaryDirectory(prefix="lapishaven-effects-") as folder_name:
        folder = Path(folder_name)
        baseline_s = run_costs(args.seed, runs, None)
        shared_s = run_costs(args.seed, runs, open_peers(folder))
        file_mb = sum(path.stat().st_size for path in folder.iterdir()) / (1 << 20)
        began_at = time.perf_counter()
        peers = open_peers(folder)
        peers.advance(time.monotonic())
        peers.refresh()
        start_s = time.perf_counter() - began_at
    figures = {
        "runs": runs,
        "guard_alone_us": round(sum(baseline_s) / runs * 1e6, 1),
        "shared_us": round(sum(shared_s) / runs * 1e6, 1),
        "shared_p99_us": round(sorted(shared_s)[int(runs * 0.99)] * 1e6, 1),
        "shared_p999_us": round(sorted(shared_s)[int(runs * 0.999)] * 1e6, 1),
        "start_s": round(start_s, 3),
        "files_mb": round(file_mb, 1),
    }
    added_us = figures["shared_us"] - figures["guard_alone_us"]
    limit_mb = (MEMORY_BYTES / CLAIMS_DIVISOR + MEMORY_BYTES / RESULTS_DIVISOR) / (1 << 20)
    missed = []
    if added_us > MAX_ADDED_US:
        missed.append(f"a run costs {added_us:.1f} us more, at most {MAX_ADDED_US:g} allowed")
    if figures["shared_p999_us"] > MAX_SLOWEST_MS * 1000:
        missed.append(
            f"the slowest of 1,000 takes {figures['shared_p999_us']} us, at most {MAX_SLOWEST_MS:g} ms allowed"
        )
    if start_s > MAX_START_S:
        missed.append(f"a start takes {start_s:.2f} s, at most {MAX_START_S:g} allowed")
    if file_mb > limit_mb:
        missed.append(f"the files take {file_mb:.1f} MB, at most {limit_mb:.1f} allowed")
    if not args.short:
        replace_section("docs/operators/handover.md", "shared effects", table(list(figures), [list(figures.values())]))
    finish({"seed": args.seed, **figures}, missed)


if __name__ == "__main__":
    main()
