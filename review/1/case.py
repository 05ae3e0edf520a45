"""Case 1: during an upgrade, a keyed request that the old process runs is run again by the new one.

A client sends a keyed request through caller 1, which has a connection to the old process. Shortly afterwards the
platform upgrades the match server. The client waits for ``PATIENCE_S`` and tries again, once, through caller 2, well
inside the window. Without the upgrade the second try gets the result of the first run.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from collections import Counter
from pathlib import Path

from lib.caller import Answer, Connection
from lib.catalog import Catalog
from lib.interpreter import Interpreter
from lib.platform import CannotRunError, Platform, listening_socket
from lib.record import Record
from lib.settings import configuration, standard_profiles
from lib.trial import main

COMMIT = "approve-commit"
COMMITS = 6
SECONDS = {"fuzzy-match": 0.78, "segment-save": 0.47, COMMIT: 0.6}  # on an old box, whose cores have half the speed
YES_WITHIN_S = 6.0  # of the new process, as the page says
PATIENCE_S = 0.4  # after which the client tries again; the window is 5 s
LISTEN = listening_socket()


async def commit(record: Record, first: Connection, number: int) -> list[Answer]:
    """Send one effect through caller 1, and again through caller 2 if there is no answer in time."""
    key, body = f"string-{number}", f"commit {number}".encode()
    tries = [first.send(COMMIT, body, key=key)]
    await asyncio.wait(tries, timeout=PATIENCE_S)
    if not tries[0].done():
        second = Connection(record, 2)
        await second.connect(LISTEN)
        tries.append(second.send(COMMIT, body, key=key, again=True))
    return list(await asyncio.gather(*tries))


async def play(platform: Platform, record: Record, trouble: bool) -> list[str]:
    """Play the case; one line for each effect that was run more than once."""
    catalog = Catalog()
    await catalog.open()
    interpreters = [Interpreter(name, record, SECONDS) for name in ("old", "new")]
    for interpreter in interpreters:
        await interpreter.open()
    configs = [
        configuration(LISTEN, interpreter.address, catalog.address, seed, standard_profiles("guarded"))
        for seed, interpreter in enumerate(interpreters, 1)
    ]
    old = platform.start("old", configs[0], inherited=True)
    await platform.ready(old)
    caller = Connection(record, 1)
    await caller.connect(LISTEN)
    if (await caller.send("fuzzy-match", b"warm-up")).kind != "served":
        raise CannotRunError("the first request was not served")
    if trouble:
        new = platform.start("new", configs[1], inherited=True)
        await platform.ready(new, YES_WITHIN_S)
    commits = [asyncio.create_task(commit(record, caller, number)) for number in range(COMMITS)]
    await asyncio.sleep(0.2)
    if len(interpreters[0].started) != COMMITS + 1:
        raise CannotRunError("the old process did not start the commits in time")
    if trouble:
        platform.signal(old, signal.SIGTERM)
    begun_at = time.monotonic()
    answers = await asyncio.gather(*commits)
    record.add(
        f"tries answered {time.monotonic() - begun_at:.3f} s later: {Counter(a.kind for b in answers for a in b)}"
    )
    runs = Counter(body for interpreter in interpreters for _, name, body in interpreter.started if name == COMMIT)
    return [f"{body.decode()!r} was run {count} times within its window" for body, count in runs.items() if count > 1]


if __name__ == "__main__":
    sys.exit(main(Path(__file__).parent, play))
