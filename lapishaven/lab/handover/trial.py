"""Whole trials on real processes: an upgrade under load, a restart as the naive way, SIGTERM in a burst.

Each trial starts stand-in interpreters (one address for each process, each numbering its own notices, as on the
platform), a stand-in catalog, the platform, and a caller that counts; it gives a ``Report`` with the book's
``Verdict``. Everything runs on loopback, is bounded in time, and ends every process that it started.
"""

from __future__ import annotations

import asyncio
import tempfile
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from random import Random
from typing import Any, Literal

from lapishaven.lab import site
from lapishaven.lab.catalog import Catalog
from lapishaven.lab.handover.book import Book, Verdict
from lapishaven.lab.handover.caller import Caller, Load, arrivals
from lapishaven.lab.handover.platform import Handover, Platform, PlatformError
from lapishaven.lab.handover.scrape import Scrape, scrape, summary
from lapishaven.lab.interpreter import Box, Interpreter

Mode = Literal["upgrade", "restart", "burst"]
DEADLINES = [kind.deadline_s for kind in site.CLASSES]


@dataclass(frozen=True, slots=True)
class Spec:
    """One trial. Times in seconds from the start of the load; ``rate`` in requests a second."""

    mode: Mode = "upgrade"
    seed: int = 1
    rate: float = 30.0
    seconds: float = 8.0
    at: float = 2.0  # the upgrade, or SIGTERM
    connections: int = 8
    speed: float = 4.0  # of the stand-in's cores, against a standard core
    burst: float = 0.0  # requests a second more, for a second round ``at`` (the burst trial's)
    stop_ms: int = site.STOP_MS
    host: str = "127.0.0.1"


@dataclass(frozen=True, slots=True)
class Report:
    """What a trial found."""

    spec: Spec
    verdict: Verdict
    handover: Handover | None
    crashes: list[str]
    sent_after_grace: int  # requests sent to a leaving process past its grace (the burst trial's)
    control: dict[str, float]  # the scraper's calls under load, and its figures against the caller's counts

    def figures(self) -> dict[str, Any]:
        out = {key: value for key, value in asdict(self.verdict).items() if key != "reasons"}
        out.update(broken=self.verdict.broken, clean=self.verdict.clean, crashes=len(self.crashes))
        out.update({f"control_{key}": value for key, value in self.control.items()})
        if self.handover is not None:
            out.update(
                ready_s=round(self.handover.ready_s, 3),
                left_s=round(self.handover.left_s, 3),
                killed=self.handover.killed,
                old_code=self.handover.old_code,
            )
        return out


def plan(spec: Spec, start: float, random: Random) -> list[tuple[float, site.RequestClass]]:
    """The arrivals: steady, and in the burst trial a second of ``burst`` more, half of it before ``at``, and a
    pause from 0.1 s before the grace's end to 0.2 s after it, where who is early or late by a little cannot be told."""
    steady = arrivals(Load(spec.rate, spec.seconds), start, random)
    if spec.mode != "burst":
        return steady
    burst = arrivals(Load(spec.burst, 1.0), start + spec.at - 0.5, random)
    told = start + spec.at
    both = sorted(steady + burst, key=lambda pair: pair[0])
    return [(at, kind) for at, kind in both if not told + 1.9 <= at < told + 2.2]


async def run(spec: Spec) -> Report:
    loop = asyncio.get_running_loop()
    random, book = Random(spec.seed), Book()
    box = Box(speed=spec.speed)
    with tempfile.TemporaryDirectory(prefix="lapishaven-handover-") as folder:
        catalog = Catalog(lag=0.5)
        await catalog.open(spec.host)
        interpreters: dict[str, Interpreter] = {}
        try:
            for name in ("old", "new"):
                interpreter = Interpreter(
                    box,
                    site.WORKS,
                    Random(random.getrandbits(64)),
                    site.GAUGES,
                    on_run_started=lambda body, name=name: book.ran(loop.time(), body, name),  # type: ignore[misc]
                )
                await interpreter.open(spec.host)
                interpreters[name] = interpreter
            return await _play(spec, Path(folder), book, random, catalog, interpreters)
        finally:
            for interpreter in interpreters.values():
                await interpreter.close()
            await catalog.close()


async def _play(
    spec: Spec, folder: Path, book: Book, random: Random, catalog: Catalog, interpreters: dict[str, Interpreter]
) -> Report:
    loop = asyncio.get_running_loop()
    inherit = spec.mode != "restart"

    def config(name: str) -> str:
        catalog.addresses["n1"] = bound
        return site.configuration(
            "n1",
            bound,
            interpreters[name].address,
            catalog.address,
            random.getrandbits(64),
            Box(),
            1,
            1,
            False,
            spec.stop_ms,
        )

    async with Platform(spec.host, folder, told=book.told_to_leave, inherit=inherit) as platform:
        bound = platform.ports.take(spec.host)
        address = platform.address if inherit else bound
        old = await platform.start("old", config("old"))
        await platform.ready(old)
        caller = Caller(
            address,
            book,
            Load(spec.rate, spec.seconds, spec.connections, spec.mode != "burst"),
            Random(random.getrandbits(64)),
        )
        start = loop.time() + 0.05
        load = loop.create_task(caller.run(plan(spec, start, random)))
        scrapes: list[Scrape] = []
        scraper = loop.create_task(scrape(platform, scrapes))
        await asyncio.sleep(max(0.0, start + spec.at - loop.time()))
        handover: Handover | None = None
        try:
            if spec.mode == "upgrade":
                handover = await platform.upgrade(old, "new", config("new"), DEADLINES)
            elif spec.mode == "restart":
                handover = await platform.restart(old, "new", config("new"), DEADLINES)
            else:
                left = await platform.leave(old, spec.stop_ms / 1000)
                handover = Handover(0.0, left, old.killed, old.process.returncode)
            await load
            scraper.cancel()
            await scrape(platform, scrapes, rounds=1)  # the figures once all is answered
        except PlatformError:
            load.cancel()
            await caller.close()
            raise
        finally:
            scraper.cancel()
            await asyncio.gather(scraper, return_exceptions=True)
        told = old.told_at if old.told_at is not None else float("inf")
        after = sum(1 for r in book.requests.values() if r.conn is not None and r.at > told + 2.05)
        if spec.mode != "burst":
            after = 0
        verdict = book.verdict(loop.time())
        return Report(spec, verdict, handover, list(platform.crashes), after, summary(scrapes, verdict))


def with_seed(spec: Spec, seed: int) -> Spec:
    return replace(spec, seed=seed)


def main(text: str) -> None:
    """``python -m lapishaven.lab.handover.trial SPEC``: one trial, its figures as one line of JSON."""
    import json

    spec = Spec(**json.loads(text))
    print(json.dumps({"spec": asdict(spec), **asyncio.run(run(spec)).figures()}))


if __name__ == "__main__":
    import sys

    main(sys.argv[1])
