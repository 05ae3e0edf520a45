"""Two tiers of match servers on loopback: frontends that balance over backends, each a ``serve`` process, and callers.

The backends use lightweight stand-in interpreters (the process ``hands``), so that hundreds of them fit on one
machine. Calls are open loop, each on its own uwsgi connection to a frontend, and timed from their planned start.
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
from lapishaven.lab.field.field import HarnessError, ProcessHarness
from lapishaven.lab.interpreter import Box
from lapishaven.lab.ports import Ports
from lapishaven.load_balancing.load_report import LoadReport, decode
from lapishaven.proto import ProtocolError, uwsgi
from lapishaven.proto import load as load_protocol

FRONTEND_CORES = 400  # so many that the backends limit the load, not the frontend
NOT_SERVED_LATENCY_S = 1e6  # sorts calls that were not served after all others
HOST = "127.0.0.1"
RECEIVE_BYTES = 4096  # at most, by one read


@dataclass(frozen=True, slots=True)
class Call:
    """A call: its planned start, request class, duration in seconds, and status (0 if no response came)."""

    at: float
    class_name: str
    duration_s: float
    status: int


class Tier:
    """``with Tier(harness, fronts, speeds) as tier``: runs ``fronts`` frontends and a backend for each of ``speeds``.

    ``policy`` has further lines of the frontends' ``spread.toml``, ``extra_ports`` further ports in their list of
    backends, and ``serve_arguments`` further arguments of the backends' command lines. ``direct_fronts`` further
    frontends each have the first backend as their only one, and balance nothing. ``listed`` are the backends in the
    list at the next ``reload``.
    """

    def __init__(
        self,
        harness: ProcessHarness,
        fronts: int,
        speeds: Sequence[float],
        *,
        seed: int = 1,
        slots: int = 4,
        scale: float = 1.0,
        policy: str = "",
        cold_span: float = 4.0,
        extra_ports: Sequence[int] = (),
        serve_arguments: Sequence[str] = (),
        direct_fronts: int = 0,
    ) -> None:
        self.harness, self.seed, self.slots, self.speeds, self.scale = harness, seed, slots, list(speeds), scale
        self.policy, self.cold_span, self._extra_ports = policy, cold_span, list(extra_ports)
        self.serve_arguments = list(serve_arguments)
        self.random = Random(seed)
        self.backends = [f"b{n}" for n in range(len(speeds))]
        self.fronts = [f"f{n}" for n in range(fronts)]
        self.direct_fronts = [f"p{n}" for n in range(direct_fronts)]
        self.listed = list(self.backends)
        self._ports = Ports()
        self.ports: dict[str, int] = {}  # the uwsgi port of each server
        self.controls: dict[str, int] = {}

    def capacity(self) -> float:
        """The calls a second that the backends can serve, with the usual mix of classes."""
        return self.slots * sum(self.speeds) / (site.MEAN_WORK_S * self.scale)

    def __enter__(self) -> Tier:
        names = self.backends + self.fronts + self.direct_fronts
        self.harness.start(
            "hands",
            "lapishaven.lab.field.stand_in_interpreters",
            seed=self.seed,
            slots=self.slots,
            scale=self.scale,
            speeds=self.speeds,
            names=names,
            cold_span=self.cold_span,
        )
        hands = self.harness.wait_for_event("start", who="hands")
        for name in names:
            self.ports[name] = self._ports.take(HOST)[1]
        for n, name in enumerate(self.backends):
            self._serve(name, hands["ports"][n], hands["catalog"], self.slots, True)
        self._write_backend_list()
        for name in self.fronts + self.direct_fronts:
            self._serve(name, hands["ports"][0], hands["catalog"], FRONTEND_CORES, False)
        self.ready(names)
        return self

    def __exit__(self, *_: object) -> None:
        self._ports.close()

    def _write_backend_list(self) -> None:
        addresses = json.dumps(
            [f"{HOST}:{port}" for port in [*(self.ports[name] for name in self.listed), *self._extra_ports]]
        )
        self._write("spread.toml", f"[processes]\naddresses = {addresses}\nattempts = 400\n{self.policy}")

    def reload(self) -> None:
        """Write the list of backends, and send SIGHUP to all frontends."""
        self._write_backend_list()
        for name in self.fronts:
            self.harness.processes[name].popen.send_signal(signal.SIGHUP)

    def _write(self, name: str, text: str) -> str:
        path = self.harness.folder / name
        path.write_text(text)
        return str(path)

    def _serve(self, name: str, interpreter_port: int, catalog_port: int, cores: int, is_backend: bool) -> None:
        box = Box(cores=cores, cold_span_s=self.cold_span)
        listen = self._ports.take(HOST)
        self.controls[name] = self._ports.take(HOST)[1]
        config = json.loads(
            site.configuration(
                name,
                listen,
                (HOST, interpreter_port),
                (HOST, catalog_port),
                self.random.getrandbits(64),
                box,
                len(self.backends),
                4,
                False,
            )
        )
        config_path = self._write(f"{name}.json", json.dumps({**config, "control": f"{HOST}:{self.controls[name]}"}))
        uwsgi_text = f'[front]\nlisten = "{HOST}:{self.ports[name]}"\npath = "/match/"\nheld_kb = 8.0\nload = true\n'
        if name in self.direct_fronts:
            uwsgi_text += f'[backend]\naddress = "{HOST}:{self.ports[self.backends[0]]}"\npath = "/match/"\n'
        serve_arguments = ["--config", config_path, "--uwsgi", self._write(f"{name}.toml", uwsgi_text)]
        if is_backend:
            serve_arguments += self.serve_arguments
        elif name not in self.direct_fronts:
            serve_arguments += ["--spread", str(self.harness.folder / "spread.toml")]
        self.harness.start_server(name, *serve_arguments)

    # ---- Load and readiness
    def probe(self, name: str, timeout: float = 0.5) -> LoadReport | None:
        """A server's load report; None if no valid answer comes within ``timeout`` seconds."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.settimeout(timeout)
            sock.connect((HOST, self.ports[name]))
            try:
                sock.send(load_protocol.encode_probe(1))
                return decode(load_protocol.decode_answer(sock.recv(64))[1])
            except (OSError, ProtocolError):
                return None

    def ready(self, names: Sequence[str], timeout: float = 90.0) -> None:
        """Wait until each server reports that it accepts requests."""
        deadline = time.monotonic() + timeout
        for name in names:
            while (report := self.probe(name)) is None or report.desired_share <= 0:
                if time.monotonic() > deadline:
                    raise HarnessError(
                        f"server {name} was not ready within {timeout:g} s; its log ends: "
                        f"{(self.harness.folder / f'{name}.log').read_text()[-500:]}"
                    )
                if not self.harness.processes[name].alive:
                    raise HarnessError(
                        f"server {name} ended before it was ready; its log ends: "
                        f"{(self.harness.folder / f'{name}.log').read_text()[-500:]}"
                    )
                time.sleep(0.02)

    def report(self) -> dict[str, Any]:
        """What the stand-in interpreters observed since the last report."""
        since = len(self.harness.events)
        self.harness.send_command("hands", report=True)
        return self.harness.wait_for_event("report", since=since, who="hands")

    # ---- Calls
    async def call(
        self,
        front: str,
        class_name: str,
        body: bytes,
        at: float,
        timeout: float = 6.0,
        extra_variables: Mapping[str, str] | None = None,
    ) -> Call:
        """Make one call, timed from ``at`` on the loop's clock. ``extra_variables`` are added to the uwsgi packet."""
        loop = asyncio.get_running_loop()
        status = 0
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection(HOST, self.ports[front])
                try:
                    variables = {
                        "REQUEST_METHOD": "POST",
                        "PATH_INFO": f"/match/{class_name}",
                        **(extra_variables or {}),
                    }
                    writer.write(uwsgi.encode_request(variables, body))
                    response = await _read_response(reader)
                    status = response.status if response is not None else 0
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError, ProtocolError):
            pass
        return Call(at, class_name, loop.time() - at, status)

    async def load(self, rate: float, seconds: float, rate_spread: float = 1.0) -> list[Call]:
        """Send Poisson arrivals of the usual mix; the rates of frontends differ up to the factor ``rate_spread``."""
        loop, random = asyncio.get_running_loop(), self.random
        weights = [rate_spread ** random.random() for _ in self.fronts]
        names, shares = [kind.name for kind in site.CLASSES], [kind.share for kind in site.CLASSES]
        is_safe = {kind.name: kind.safe for kind in site.CLASSES}
        tasks: list[asyncio.Task[Call]] = []
        start = due_at = loop.time() + 0.05
        while due_at < start + seconds:
            await asyncio.sleep(max(0.0, due_at - loop.time()))
            while due_at <= loop.time() and due_at < start + seconds:
                class_name = random.choices(names, shares)[0]
                body = b"%s %d" % (b"safe" if is_safe[class_name] else b"once", len(tasks))
                front = random.choices(self.fronts, weights)[0]
                tasks.append(loop.create_task(self.call(front, class_name, body, due_at)))
                due_at += random.expovariate(rate)
        return list(await asyncio.gather(*tasks))


def figures(calls: Sequence[Call], scale: float = 1.0) -> dict[str, Any]:
    """Statistics of the calls. On time: within the class's latency objective, which grows with ``scale`` above 1."""
    latency_objectives = {kind.name: kind.objective_s * max(1.0, scale) for kind in site.CLASSES}
    durations = sorted(call.duration_s if call.status == 200 else NOT_SERVED_LATENCY_S for call in calls)
    statuses = Counter(call.status for call in calls)
    late_count = sum(call.status != 200 or call.duration_s > latency_objectives[call.class_name] for call in calls)

    def quantile(q: float) -> float:
        return round(durations[min(len(durations) - 1, int(q * len(durations)))], 4)

    return {
        "calls": len(calls),
        "p50": quantile(0.5),
        "p99": quantile(0.99),
        "on_time": round(1 - late_count / len(calls), 4),
        "statuses": dict(sorted(statuses.items())),
    }


async def _read_response(reader: asyncio.StreamReader) -> uwsgi.Response | None:
    """The response, which an orderly close may end; ``None`` without one. Raises ``OSError`` or ``ProtocolError``."""
    parser = uwsgi.ResponseParser()
    while data := await reader.read(RECEIVE_BYTES):
        if (response := parser.feed(data)) is not None:
            return response
    return parser.end_of_input()
