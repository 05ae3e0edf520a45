"""The implementation of ``lapishaven lab fleet``."""

from __future__ import annotations

import asyncio
import signal
from contextlib import suppress
from pathlib import Path

from lapishaven.lab.fleet import Fleet, FleetError
from lapishaven.lab.script import parse

CATALOG_HOST = "127.0.0.1"


def fleet(servers: int, script: str | None, catalog_port: int, seconds: float, seed: int) -> int:
    """Run a fleet in the foreground until SIGINT, SIGTERM or the end of ``seconds``; returns the exit code.

    Exit code 1: a server crashed. Raises ``ValueError``, with one line for the operator, if the fleet cannot start.
    """
    names = [f"n{n + 1}" for n in range(servers)]
    try:
        steps = parse(Path(script).read_text(), names, seed) if script else []
    except OSError as error:
        raise ValueError(f"cannot read the fault script {script}: {error.strerror}") from None

    async def serve() -> int:
        stop_requested = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(signal_number, stop_requested.set)
        loop.call_later(seconds, stop_requested.set)
        async with Fleet(servers, seed, catalog_port=catalog_port, catalog_host=CATALOG_HOST) as running_fleet:
            await running_fleet.ready()
            catalog_address = "{}:{}".format(*running_fleet.catalog.address)
            print(
                f"{servers} match servers are up, {running_fleet.capacity():.0f} requests per second.",
                flush=True,
            )
            print("To call them:")
            print(f"    lapishaven call fuzzy-match hello --catalog {catalog_address}", flush=True)
            events_printed = 0
            script_task = loop.create_task(running_fleet.play(steps, loop.time()))
            while not stop_requested.is_set():
                with suppress(TimeoutError):
                    await asyncio.wait_for(stop_requested.wait(), 0.2)
                for _, event, name in running_fleet.events[events_printed:]:
                    print(f"{event} {name}".rstrip(), flush=True)
                events_printed = len(running_fleet.events)
            script_task.cancel()
            print(f"runs begun {sum(running_fleet.starts().values())}", flush=True)
            return 1 if running_fleet.crashes else 0

    try:
        return asyncio.run(serve())
    except FleetError as error:
        raise ValueError(str(error)) from None
    except OSError as error:
        raise ValueError(f"cannot start the fleet: {error.strerror or error}") from None
