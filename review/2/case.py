"""Case 2: a commit that runs is turned away, as its team is over its budget, and so it is run by a second server too.

Two match servers, each with a uwsgi front, the contracts of the team and an interpreter of its own. A client sends a
commit through gateway 1 to server a, which starts it. The client waits for ``PATIENCE_S`` and tries again, once,
through gateway 2, also at server a. Where that says 503 (refused, never ran), gateway 2 goes on to server b. The
disruption: the team sends more than its budget meanwhile, and retries without limit. Without it the second try gets the
first result.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from lib.catalog import Catalog
from lib.gateway import Answer, Gateway
from lib.interpreter import Interpreter
from lib.platform import CannotRunError, Platform, free_port
from lib.record import Record
from lib.settings import Address, configuration, standard_profiles
from lib.trial import main

COMMIT = "approve-commit"
COMMITS = 4
RUN_S = 0.6  # 300 ms of work on an old box
PATIENCE_S = 0.4
RATE, BURST = 5.0, 10  # the contract of this service and class in deploy/contracts.toml
FLOOD_PER_S, FLOOD_S = 40.0, 3.0
TEAM, SERVICE = "localization", "pipeline"
CONTRACT = f"""
[[contract]]
team = "{TEAM}"
service = "{SERVICE}"
class = "{COMMIT}"
deadline_s = 3.8
route = "interpreter"
rate = {RATE}
burst = {BURST}
"""


class Fleet:
    """The two match servers: their uwsgi addresses and interpreters, by name."""

    def __init__(self, platform: Platform, record: Record) -> None:
        self.platform = platform
        self.record = record
        self.addresses: dict[str, Address] = {}
        self.interpreters: dict[str, Interpreter] = {}

    async def start(self) -> None:
        """Start both servers, and wait until they are ready."""
        catalog = Catalog()
        await catalog.open()
        contracts = self.platform.folder / "contracts.toml"
        contracts.write_text(CONTRACT)
        for seed, name in enumerate("ab", 1):
            interpreter = self.interpreters[name] = Interpreter(name, self.record, {COMMIT: RUN_S})
            await interpreter.open()
            self.addresses[name] = ("127.0.0.1", free_port())
            uwsgi = self.platform.folder / f"uwsgi-{name}.toml"
            listen = "{}:{}".format(*self.addresses[name])
            uwsgi.write_text(f'[front]\nlisten = "{listen}"\npath = "/match/"\nheld_kb = 30.0\n')
            config = configuration(
                ("127.0.0.1", free_port()), interpreter.address, catalog.address, seed, standard_profiles("guarded")
            )
            await self.platform.ready(self.platform.start(name, config, f"--uwsgi {uwsgi} --contracts {contracts}"))

    def runs(self, name: str, body: bytes) -> int:
        """How often a server has begun to run the commit with this body."""
        return sum(body == run_body for _, _, run_body in self.interpreters[name].started)


async def commit(fleet: Fleet, number: int) -> str | None:
    """One commit of the client, with its second try; returns the breach, if there is one."""
    request_id, body = f"commit-{number}", f"commit {number}".encode()
    first, second = (Gateway(fleet.record, number, TEAM, SERVICE) for number in (1, 2))
    try_1 = asyncio.create_task(first.send("a", fleet.addresses["a"], COMMIT, request_id, body))
    await asyncio.sleep(PATIENCE_S)
    if not fleet.runs("a", body):
        raise CannotRunError(f"{request_id} was not started in time")
    answer = await second.send("a", fleet.addresses["a"], COMMIT, request_id, body, again=True)
    turned_away = answer.status == 503
    if turned_away and not answer.stop:
        await second.send("b", fleet.addresses["b"], COMMIT, request_id, body, again=True)
    status = (await try_1).status
    if not turned_away:
        return None
    runs = f"run {fleet.runs('a', body)} times by a and {fleet.runs('b', body)} times by b"
    return f"{request_id} was turned away by a after a had run it; in all {runs}, the first try was answered {status}"


async def flood(fleet: Fleet) -> None:
    """The same service sends far more than its budget, and tries again at once after each refusal."""
    gateway = Gateway(fleet.record, 3, TEAM, SERVICE)
    tries: list[asyncio.Task[Answer]] = []
    for number in range(int(FLOOD_PER_S * FLOOD_S)):
        body = f"other {number % 20}".encode()
        tries.append(
            asyncio.create_task(
                gateway.send("a", fleet.addresses["a"], COMMIT, f"other-{number % 20}", body, again=number >= 20)
            )
        )
        await asyncio.sleep(1 / FLOOD_PER_S)
    await asyncio.gather(*tries)


async def play(platform: Platform, record: Record, trouble: bool) -> list[str]:
    """Play the case; one line for each commit that was turned away after it had been run."""
    fleet = Fleet(platform, record)
    await fleet.start()
    commits = [asyncio.create_task(commit(fleet, number)) for number in range(COMMITS)]
    others = [asyncio.create_task(flood(fleet))] if trouble else []
    breaches = await asyncio.gather(*commits)
    await asyncio.gather(*others)
    return [breach for breach in breaches if breach is not None]


if __name__ == "__main__":
    sys.exit(main(Path(__file__).parent, play))
