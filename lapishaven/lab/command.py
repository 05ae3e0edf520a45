"""``lapishaven lab``: its commands."""

from __future__ import annotations

import asyncio
import signal
from contextlib import suppress
from pathlib import Path

from lapishaven.lab.fleet import Fleet, FleetError
from lapishaven.lab.script import parse

CATALOG_HOST = "127.0.0.1"


def fleet(servers: int, script: str | None, catalog_port: int, seconds: float, seed: int) -> int:
    """A fleet in the foreground, until Ctrl-C, SIGTERM or its time; gives the exit code."""
    names = [f"n{n + 1}" for n in range(servers)]
    try:
        steps = parse(Path(script).read_text(), names, seed) if script else []
    except OSError as error:
        raise ValueError(f"cannot read {script}: {error.strerror}") from None

    async def serve() -> int:
        over = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, over.set)
        loop.call_later(seconds, over.set)
        async with Fleet(servers, seed, catalog_port=catalog_port, catalog_host=CATALOG_HOST) as there:
            await there.ready()
            where = "{}:{}".format(*there.catalog.address)
            print(f"{servers} match servers are up, {there.capacity():.0f} requests a second.", flush=True)
            print("To call them:")
            print(f"    lapishaven call fuzzy-match hello --catalog {where}", flush=True)
            told = 0
            played = loop.create_task(there.play(steps, loop.time()))
            while not over.is_set():
                with suppress(TimeoutError):
                    await asyncio.wait_for(over.wait(), 0.2)
                for _, what, name in there.events[told:]:
                    print(f"{what} {name}".rstrip(), flush=True)
                told = len(there.events)
            played.cancel()
            print(f"runs begun {sum(there.starts().values())}", flush=True)
            return 1 if there.crashes else 0

    try:
        return asyncio.run(serve())
    except FleetError as error:
        raise ValueError(str(error)) from None
    except OSError as error:
        raise ValueError(f"cannot start the fleet: {error.strerror or error}") from None
