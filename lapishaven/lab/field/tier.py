"""Two tiers of the program on loopback: fronts that spread over processes, each a ``serve`` of its own, and callers.

The processes have light stand-in interpreters (``hands``), so that hundreds of them fit one machine. Calls are open
loop, each on a uwsgi connection of its own to a front, timed from when it was to be sent.
"""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import time
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any

from lapishaven.lab import site
from lapishaven.lab.field.field import Field, FieldError
from lapishaven.lab.interpreter import Box
from lapishaven.lab.ports import Ports
from lapishaven.load_balancing.load_report import LoadReport, decode
from lapishaven.proto import ProtocolError, uwsgi
from lapishaven.proto import load as questions

FRONT_CORES = 400  # what a front's own module may have run at once: the processes decide, not the front
NEVER = 1e6  # s, for a call that was not served
HOST = "127.0.0.1"


@dataclass(frozen=True, slots=True)
class Call:
    """One call: when it was to be sent, its class, how long it took, its status (0: none came)."""

    at: float
    cls: str
    span: float
    status: int


class Tier:
    """``with Tier(field, fronts, speeds) as tier``. ``policy``: the lines of the fronts' ``spread.toml``. ``extra``:
    further ports that fronts are told of. ``listed``: the processes that are in the list at the next ``reload``."""

    def __init__(
        self,
        field: Field,
        fronts: int,
        speeds: Sequence[float],
        *,
        seed: int = 1,
        slots: int = 4,
        scale: float = 1.0,
        policy: str = "",
        cold_span: float = 4.0,
        extra: Sequence[int] = (),
        words: Sequence[str] = (),
        plain: int = 0,
    ) -> None:
        self.field, self.seed, self.slots, self.speeds, self.scale = field, seed, slots, list(speeds), scale
        self.policy, self.cold_span, self._extra = policy, cold_span, list(extra)
        self.words = list(words)  # further ones of the processes' command lines
        self.random = Random(seed)
        self.backs = [f"b{n}" for n in range(len(speeds))]
        self.fronts = [f"f{n}" for n in range(fronts)]
        # Fronts with the first process as their one backend, by the table of the uwsgi file: nothing is spread there.
        self.plain = [f"p{n}" for n in range(plain)]
        self.listed = list(self.backs)
        self._ports = Ports()
        self.ports: dict[str, int] = {}  # the uwsgi front of each server
        self.controls: dict[str, int] = {}

    def capacity(self) -> float:
        """Calls a second, with the usual mix of classes."""
        return self.slots * sum(self.speeds) / (site.MEAN_WORK_S * self.scale)

    def __enter__(self) -> Tier:
        names = self.backs + self.fronts + self.plain
        self.field.start(
            "hands",
            "lapishaven.lab.field.stand_in_interpreters",
            seed=self.seed,
            slots=self.slots,
            scale=self.scale,
            speeds=self.speeds,
            names=names,
            cold_span=self.cold_span,
        )
        there = self.field.first("start", who="hands")
        for name in names:
            self.ports[name] = self._ports.take(HOST)[1]
        for n, name in enumerate(self.backs):
            self._serve(name, there["ports"][n], there["catalog"], self.slots, True)
        self._list()
        for name in self.fronts + self.plain:
            self._serve(name, there["ports"][0], there["catalog"], FRONT_CORES, False)
        self.ready(names)
        return self

    def __exit__(self, *_: object) -> None:
        self._ports.close()

    def _list(self) -> None:
        listed = json.dumps([f"{HOST}:{port}" for port in [*(self.ports[name] for name in self.listed), *self._extra]])
        self._write("spread.toml", f"[processes]\naddresses = {listed}\nattempts = 400\n{self.policy}")

    def reload(self) -> None:
        """SIGHUP to all fronts, with the list as it is now."""
        self._list()
        for name in self.fronts:
            self.field.procs[name].popen.send_signal(signal.SIGHUP)

    def _write(self, name: str, text: str) -> str:
        path = self.field.folder / name
        path.write_text(text)
        return str(path)

    def _serve(self, name: str, vm: int, catalog: int, cores: int, back: bool) -> None:
        box = Box(cores=cores, cold_span_s=self.cold_span)
        listen = self._ports.take(HOST)
        self.controls[name] = self._ports.take(HOST)[1]
        config = json.loads(
            site.configuration(
                name,
                listen,
                (HOST, vm),
                (HOST, catalog),
                self.random.getrandbits(64),
                box,
                len(self.backs),
                4,
                False,
            )
        )
        place = self._write(f"{name}.json", json.dumps({**config, "control": f"{HOST}:{self.controls[name]}"}))
        text = f'[front]\nlisten = "{HOST}:{self.ports[name]}"\npath = "/match/"\nheld_kb = 8.0\nload = true\n'
        if name in self.plain:
            text += f'[backend]\naddress = "{HOST}:{self.ports[self.backs[0]]}"\npath = "/match/"\n'
        words = ["--config", place, "--uwsgi", self._write(f"{name}.toml", text)]
        if back:
            words += self.words
        elif name not in self.plain:
            words += ["--spread", str(self.field.folder / "spread.toml")]
        self.field.serve(name, *words)

    # ---- What a process says of itself
    def ask(self, name: str, timeout: float = 0.5) -> LoadReport | None:
        """Its load; none if no answer comes."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.settimeout(timeout)
            sock.connect((HOST, self.ports[name]))
            try:
                sock.send(questions.encode_probe(1))
                return decode(questions.decode_answer(sock.recv(64))[1])
            except (OSError, ProtocolError):
                return None

    def ready(self, names: Sequence[str], timeout: float = 90.0) -> None:
        """Wait until each says that it takes requests."""
        until = time.monotonic() + timeout
        for name in names:
            while (report := self.ask(name)) is None or report.desired_share <= 0:
                if time.monotonic() > until:
                    raise FieldError(f"{name} is not ready: {(self.field.folder / f'{name}.log').read_text()[-500:]}")
                if not self.field.procs[name].alive:
                    raise FieldError(f"{name} ended: {(self.field.folder / f'{name}.log').read_text()[-500:]}")
                time.sleep(0.02)

    def report(self) -> dict[str, Any]:
        """What the interpreters saw since the last report."""
        since = len(self.field.lines)
        self.field.say("hands", report=True)
        return self.field.first("report", since=since, who="hands")

    # ---- Calls
    async def call(
        self, front: str, cls: str, body: bytes, at: float, timeout: float = 6.0, more: Mapping[str, str] | None = None
    ) -> Call:
        """One call, counted from ``at`` on the loop's clock. ``more``: further variables of its packet."""
        loop = asyncio.get_running_loop()
        status = 0
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection(HOST, self.ports[front])
                try:
                    named = {"REQUEST_METHOD": "POST", "PATH_INFO": f"/match/{cls}", **(more or {})}
                    writer.write(uwsgi.encode_request(named, body))
                    machine = uwsgi.ResponseParser()
                    while (response := machine.feed(await reader.read(4096))) is None:
                        pass
                    status = response.status
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError, ProtocolError):
            pass
        return Call(at, cls, loop.time() - at, status)

    async def load(self, rate: float, seconds: float, differ: float = 1.0) -> list[Call]:
        """Poisson arrivals of the usual mix, fronts' parts of it ``differ`` up to so many times."""
        loop, random = asyncio.get_running_loop(), self.random
        parts = [differ ** random.random() for _ in self.fronts]
        kinds, shares = [kind.name for kind in site.CLASSES], [kind.share for kind in site.CLASSES]
        safe = {kind.name: kind.safe for kind in site.CLASSES}
        tasks: list[asyncio.Task[Call]] = []
        start = due = loop.time() + 0.05
        while due < start + seconds:
            await asyncio.sleep(max(0.0, due - loop.time()))
            while due <= loop.time() and due < start + seconds:
                cls = random.choices(kinds, shares)[0]
                body = b"%s %d" % (b"safe" if safe[cls] else b"once", len(tasks))
                front = random.choices(self.fronts, parts)[0]
                tasks.append(loop.create_task(self.call(front, cls, body, due)))
                due += random.expovariate(rate)
        return list(await asyncio.gather(*tasks))


def figures(calls: Sequence[Call], scale: float = 1.0) -> dict[str, Any]:
    """What the callers met. On time: within the class's aim, stretched as its work is."""
    aims = {kind.name: kind.objective_s * max(1.0, scale) for kind in site.CLASSES}
    spans = sorted(call.span if call.status == 200 else NEVER for call in calls)
    statuses = Counter(call.status for call in calls)
    late = sum(call.status != 200 or call.span > aims[call.cls] for call in calls)

    def part(q: float) -> float:
        return round(spans[min(len(spans) - 1, int(q * len(spans)))], 4)

    return {
        "calls": len(calls),
        "p50": part(0.5),
        "p99": part(0.99),
        "on_time": round(1 - late / len(calls), 4),
        "statuses": dict(sorted(statuses.items())),
    }
