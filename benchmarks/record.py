"""The store of record on real servers that share one file and are killed: what is acknowledged, recorded and charged.

Baselines: the store before it, written behind the reply, on the same commits and kills; and one transaction for each
operation in place of groups, in one process. A stall holds the file's lock while safe requests and commits go on.
"""

from __future__ import annotations

import asyncio
import json
import sqlite3
import sys
import tempfile
import threading
import time
from collections import Counter
from contextlib import closing
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import numpy as np

from benchmarks.common import arguments, finish, table, trials, write_into
from lapishaven.lab.field import ProcessHarness
from lapishaven.lab.field.tier import Call, Tier
from lapishaven.ledger.command import audit
from lapishaven.ledger.database import LedgerDatabase, Operation, OperationOutcome
from lapishaven.ledger.transitions import EffectEvent
from lapishaven.ledger.writer import Writer

MODULE = "benchmarks.record"
SAFE_AIM = 1.5  # s


def _settings(folder: Path) -> str:
    path = folder / "record.toml"
    path.write_text(f'file = "{folder}/record.db"\n[meter]\nusual = "result"\n')
    return str(path)


async def _commit(tier: Tier, server: str, key: str, at: float) -> Call:
    more = {"HTTP_X_REQUEST_ID": key, "HTTP_X_CALLER": "7"}
    return await tier.call(server, "approve-commit", b"once " + key.encode(), at, extra_variables=more)


def killed(mode: str, servers: int, commits: int, rate: float, seed: int) -> dict[str, Any]:
    """Commits at ``rate`` a second, each to one server and a fifth to a second one at once; a server is killed about
    every second and started again. At the end each key that was acknowledged is looked for in the file."""
    random = Random(seed)
    folder = Path(tempfile.mkdtemp(prefix="lapishaven-record-"))
    words = _settings(folder) if mode == "record" else str(folder / "record.db")
    with (
        ProcessHarness() as field,
        Tier(field, 0, [1.0] * servers, seed=seed, slots=16, scale=0.05, serve_arguments=["--record", words]) as tier,
    ):
        acked: set[str] = set()
        spans: list[float] = []
        statuses: Counter[int] = Counter()
        kills = 0

        async def one(key: str, to: list[str], at: float) -> None:
            for call in await asyncio.gather(*(_commit(tier, server, key, at) for server in to)):
                statuses[call.status] += 1
                if call.status == 200:
                    acked.add(key)
                    spans.append(call.duration_s)

        async def strike(over: asyncio.Event) -> None:
            nonlocal kills
            while not over.is_set():
                await asyncio.sleep(random.uniform(0.5, 1.5))
                name = random.choice(tier.backends)
                field.kill(name)
                kills += 1
                await asyncio.sleep(random.uniform(0.0, 0.3))
                field.start_server(name)

        async def work() -> float:
            loop, over, tasks = asyncio.get_running_loop(), asyncio.Event(), []
            striking = asyncio.create_task(strike(over))
            start = due = loop.time()
            for n in range(commits):
                due += random.expovariate(rate)
                await asyncio.sleep(max(0.0, due - loop.time()))
                to = random.sample(tier.backends, 2 if random.random() < 0.2 else 1)
                tasks.append(asyncio.create_task(one(f"k{n}", to, due)))
            over.set()
            await asyncio.gather(*tasks)
            await striking
            return loop.time() - start

        took = asyncio.run(work())
        tier.ready(tier.backends)
        twice = tier.report()["twice"]
    with closing(sqlite3.connect(folder / "record.db")) as base:
        if mode == "record":
            there = {json.loads(key)[2] for (key,) in base.execute("select key from effect where standing = 'done'")}
            charges = Counter(key for (key,) in base.execute("select key from ledger where account != 'earned'"))
            doubled = sum(count > 1 for count in charges.values())
            doubts = base.execute("select count(*) from effect where standing = 'intended'").fetchone()[0]
        else:
            query = "select key from record where event = 'answered' and detail = 'served' and key is not null"
            found = Counter(json.loads(key)[2] for (key,) in base.execute(query))
            there, doubled, doubts = set(found), sum(count > 1 for count in found.values()), 0
    differences = audit(words) if mode == "record" else None
    return {
        "mode": mode,
        "servers": servers,
        "commits": commits,
        "kills": kills,
        "acknowledged": len(acked),
        "not_recorded": len(acked - there),
        "charged_twice": doubled,
        "ran_twice": twice,
        "in_doubt": doubts,
        "audit": differences,
        "rate": round(commits / took, 1),
        "p50_ms": round(float(np.percentile(spans, 50)) * 1000, 1),
        "p99_ms": round(float(np.percentile(spans, 99)) * 1000, 1),
        "statuses": dict(sorted(statuses.items())),
    }


def stall(span: float, seconds: float, seed: int) -> dict[str, Any]:
    """The file is locked for ``span`` s (0: never) at a third of ``seconds``, under safe requests and commits."""
    random = Random(seed)
    folder = Path(tempfile.mkdtemp(prefix="lapishaven-record-"))
    with (
        ProcessHarness() as field,
        Tier(
            field, 0, [1.0] * 2, seed=seed, slots=4, scale=0.2, serve_arguments=["--record", _settings(folder)]
        ) as tier,
    ):

        async def work() -> tuple[list[Call], list[Call], float]:
            loop = asyncio.get_running_loop()
            safe: list[asyncio.Task[Call]] = []
            commits: list[asyncio.Task[Call]] = []
            start = due = loop.time()
            held: sqlite3.Connection | None = None
            while due < start + seconds:
                due += random.expovariate(50.0)
                await asyncio.sleep(max(0.0, due - loop.time()))
                at = loop.time() - start
                if held is None and span and seconds / 3 <= at < seconds / 3 + span:
                    held = sqlite3.connect(folder / "record.db", isolation_level=None, timeout=5.0)
                    held.execute("begin immediate")
                elif held is not None and at >= seconds / 3 + span:
                    held.execute("rollback")
                    held.close()
                    held, span_over = None, loop.time()
                    ends.append(span_over)
                name = random.choice(tier.backends)
                if random.random() < 0.84:
                    safe.append(asyncio.create_task(tier.call(name, "fuzzy-match", b"safe", due)))
                else:
                    commits.append(asyncio.create_task(_commit(tier, name, f"s{len(commits)}", due)))
            return list(await asyncio.gather(*safe)), list(await asyncio.gather(*commits)), start

        ends: list[float] = []
        safe, commits, _ = asyncio.run(work())
        twice = tier.report()["twice"]
    back = min((c.at + c.duration_s for c in commits if ends and c.status == 200 and c.at > ends[0]), default=0.0)
    return {
        "stall_s": span,
        "safe": len(safe),
        "safe_on_time": round(sum(c.status == 200 and c.duration_s <= SAFE_AIM for c in safe) / len(safe), 4),
        "commits": len(commits),
        "commits_served": sum(c.status == 200 for c in commits),
        "most_s": round(max(c.duration_s for c in commits), 2),
        "back_after_s": round(back - ends[0], 2) if ends else 0.0,
        "ran_twice": twice,
        "audit": audit(str(folder / "record.toml")),
    }


def _set(event: threading.Event, outcome: OperationOutcome | None) -> None:
    event.set()


def groups(most: int, seconds: float, threads: int = 32) -> dict[str, Any]:
    """Durable operations a second by so many that wait for each of theirs; ``most`` in one transaction."""
    from lapishaven.ledger import writer as module

    folder = Path(tempfile.mkdtemp(prefix="lapishaven-record-"))
    old, module.MAX_GROUP = module.MAX_GROUP, most
    writer = Writer(LedgerDatabase(str(folder / "record.db")), lambda count, good: None)
    spans: list[float] = []
    until = time.monotonic() + seconds

    def one(number: int) -> None:
        n = 0
        while time.monotonic() < until:
            n += 1
            began = time.monotonic()
            written = threading.Event()
            writer.submit(Operation(EffectEvent.INTEND, "c", f"{number}/{n}", "s", 0.0), partial(_set, written))
            written.wait(10.0)
            spans.append(time.monotonic() - began)

    waiting = [threading.Thread(target=one, args=(k,)) for k in range(threads)]
    for thread in waiting:
        thread.start()
    for thread in waiting:
        thread.join()
    writer.close(5.0)
    module.MAX_GROUP = old
    return {
        "group": most,
        "durable_per_s": round(len(spans) / seconds),
        "p99_ms": round(float(np.percentile(spans, 99)) * 1000, 2),
    }


def one(spec: dict[str, Any]) -> dict[str, Any]:
    kind = spec.pop("kind")
    found: dict[str, Any] = {"killed": killed, "stall": stall, "groups": groups}[kind](**spec)  # type: ignore[operator]
    return found


def main() -> None:
    args = arguments(__doc__ or "")
    servers, commits, rate = (3, 300, 60.0) if args.short else (6, 10_000, 60.0)
    span, seconds = (2.0, 9.0) if args.short else (5.0, 30.0)
    specs: list[dict[str, Any]] = [
        {"kind": "killed", "mode": mode, "servers": servers, "commits": commits, "rate": rate, "seed": args.seed}
        for mode in ("record", "behind")
    ] + [{"kind": "stall", "span": each, "seconds": seconds, "seed": args.seed} for each in (span, 0.0)]
    ours, behind, stalled, calm = trials(MODULE, specs, 4)
    grouped, single = trials(
        MODULE, [{"kind": "groups", "most": most, "seconds": 2.0 if args.short else 10.0} for most in (256, 1)], 1
    )
    missed = [
        f"record: {key} is {ours[key]}" for key in ("not_recorded", "charged_twice", "ran_twice", "audit") if ours[key]
    ]
    if not behind["not_recorded"] and not behind["ran_twice"]:
        missed.append("the store behind the reply shows no harm: the kills are too few")
    if stalled["safe_on_time"] < calm["safe_on_time"] - 0.02:
        missed.append(f"safe requests on time {stalled['safe_on_time']} in a stall, {calm['safe_on_time']} without")
    if stalled["ran_twice"] or stalled["audit"] or stalled["most_s"] > 4.5:
        missed.append(f"stall: {stalled}")
    if grouped["durable_per_s"] < single["durable_per_s"]:
        missed.append(f"groups: {grouped}, one by one: {single}")
    rows = [[found[key] for key in ours] for found in (ours, behind)]
    text = table([key.replace("_", " ") for key in ours], rows)
    text += "\n\n" + table([key.replace("_", " ") for key in calm], [list(stalled.values()), list(calm.values())])
    text += "\n\n" + table(["group", "durable a second", "p99 ms"], [list(grouped.values()), list(single.values())])
    print(text)
    if not args.short:
        write_into("docs/operators/record.md", "record", f"Seed {args.seed}.\n\n{text}")
    finish(
        {
            "seed": args.seed,
            "killed": ours,
            "behind": behind,
            "stall": stalled,
            "calm": calm,
            "groups": grouped,
            "one_by_one": single,
        },
        missed,
    )


if __name__ == "__main__":
    if len(sys.argv) == 2 and sys.argv[1].startswith("{"):
        print(json.dumps(one(json.loads(sys.argv[1]))))
    else:
        main()
