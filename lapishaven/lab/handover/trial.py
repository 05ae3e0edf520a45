"""Handover trials on real processes: an upgrade under load, the naive restart, and SIGTERM during a burst.

Each trial starts a stand-in interpreter for each server process (as on the platform, each numbers its own notices), a
stand-in catalog, the stand-in platform and a caller. It returns a ``Report`` with the ``Verdict`` of the request
log. Everything runs on loopback and is bounded in time, and every process that a trial starts is ended.
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
from lapishaven.lab.handover.book import RequestLog, Verdict
from lapishaven.lab.handover.caller import Caller, Load, arrivals
from lapishaven.lab.handover.platform import Handover, Platform, PlatformError
from lapishaven.lab.handover.scrape import Scrape, scrape, summarize
from lapishaven.lab.interpreter import Box, Interpreter

Mode = Literal["upgrade", "restart", "burst"]
DEADLINES = [kind.deadline_s for kind in site.CLASSES]


@dataclass(frozen=True, slots=True)
class Spec:
    """The parameters of a trial. Times are in seconds from the start of the load, rates in requests a second."""

    mode: Mode = "upgrade"
    seed: int = 1
    rate: float = 30.0
    seconds: float = 8.0
    at: float = 2.0  # when the upgrade or restart begins, or SIGTERM is sent
    connections: int = 8
    speed: float = 4.0  # of the stand-in interpreters' cores, relative to a standard core
    burst: float = 0.0  # burst trial: additional rate for one second, centred on ``at``
    stop_ms: int = site.STOP_MS
    host: str = "127.0.0.1"


@dataclass(frozen=True, slots=True)
class Report:
    """The results of a trial."""

    spec: Spec
    verdict: Verdict
    handover: Handover | None
    crashes: list[str]
    sent_after_grace: int  # burst trial: requests sent after the terminated process's grace period
    control: dict[str, float]  # from ``summarize``

    def figures(self) -> dict[str, Any]:
        """The results as a flat dictionary for JSON."""
        figures = {key: value for key, value in asdict(self.verdict).items() if key != "reasons"}
        figures.update(broken=self.verdict.broken, clean=self.verdict.clean, crashes=len(self.crashes))
        figures.update({f"control_{key}": value for key, value in self.control.items()})
        if self.handover is not None:
            figures.update(
                ready_s=round(self.handover.ready_s, 3),
                left_s=round(self.handover.left_s, 3),
                killed=self.handover.killed,
                old_code=self.handover.old_code,
            )
        return figures


def plan(spec: Spec, start: float, random: Random) -> list[tuple[float, site.RequestClass]]:
    """The planned requests: a steady load and, in the burst trial, one second of ``burst`` centred on ``at``.

    The burst trial sends nothing from 0.1 s before to 0.2 s after the end of the grace period, where a small delay
    would change whether a request must be served or refused.
    """
    steady = arrivals(Load(spec.rate, spec.seconds), start, random)
    if spec.mode != "burst":
        return steady
    burst = arrivals(Load(spec.burst, 1.0), start + spec.at - 0.5, random)
    terminated_at = start + spec.at
    planned = sorted(steady + burst, key=lambda planned_request: planned_request[0])
    return [(at, kind) for at, kind in planned if not terminated_at + 1.9 <= at < terminated_at + 2.2]


async def run(spec: Spec) -> Report:
    """Run a trial. Raises ``PlatformError`` if a server process crashes or does not become ready."""
    loop = asyncio.get_running_loop()
    random, log = Random(spec.seed), RequestLog()
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
                    on_run_started=lambda body, name=name: log.record_run(loop.time(), body, name),  # type: ignore[misc]
                )
                await interpreter.open(spec.host)
                interpreters[name] = interpreter
            return await _run_processes(spec, Path(folder), log, random, catalog, interpreters)
        finally:
            for interpreter in interpreters.values():
                await interpreter.close()
            await catalog.close()


async def _run_processes(
    spec: Spec, folder: Path, log: RequestLog, random: Random, catalog: Catalog, interpreters: dict[str, Interpreter]
) -> Report:
    loop = asyncio.get_running_loop()
    inherit = spec.mode == "upgrade"  # the platform holds the callers' socket only on days with upgrades

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

    async with Platform(spec.host, folder, on_terminate=log.record_termination, inherit=inherit) as platform:
        bound = platform.ports.take(spec.host)
        address = platform.address if inherit else bound
        old_process = await platform.start("old", config("old"))
        await platform.ready(old_process)
        caller = Caller(
            address,
            log,
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
                handover = await platform.upgrade(old_process, "new", config("new"), DEADLINES)
            elif spec.mode == "restart":
                handover = await platform.restart(old_process, "new", config("new"), DEADLINES)
            else:
                left_s = await platform.terminate(old_process, spec.stop_ms / 1000)
                handover = Handover(0.0, left_s, old_process.killed, old_process.child.returncode)
            await load
            scraper.cancel()
            await scrape(platform, scrapes, rounds=1)  # the final metrics, after the last answer
        except PlatformError:
            load.cancel()
            await caller.close()
            raise
        finally:
            scraper.cancel()
            await asyncio.gather(scraper, return_exceptions=True)
        terminated_at = old_process.terminated_at if old_process.terminated_at is not None else float("inf")
        sent_after_grace = sum(
            1
            for request in log.requests.values()
            if request.connection is not None and request.sent_at > terminated_at + 2.05
        )
        if spec.mode != "burst":
            sent_after_grace = 0
        verdict = log.verdict(loop.time())
        return Report(spec, verdict, handover, list(platform.crashes), sent_after_grace, summarize(scrapes, verdict))


def with_seed(spec: Spec, seed: int) -> Spec:
    """The same trial with another seed."""
    return replace(spec, seed=seed)


def main(spec_json: str) -> None:
    """``python -m lapishaven.lab.handover.trial SPEC``: run one trial and print its results as one line of JSON."""
    import json

    spec = Spec(**json.loads(spec_json))
    print(json.dumps({"spec": asdict(spec), **asyncio.run(run(spec)).figures()}))


if __name__ == "__main__":
    import sys

    main(sys.argv[1])
