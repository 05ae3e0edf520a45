"""Response time of the control endpoint while idle connections fill it, against one that evicts none of them.

The real control endpoint and event loop serve fixed metrics (the request path is not loaded here). Idle connections
are opened in waves and send nothing, while a scraper asks for `/v1/metrics` every 50 ms. Baseline on the same seed: the
same endpoint without the eviction of the oldest connection at the connection limit. Targets for the real one: every
call is answered within 1 s (the scraper's timeout), and the 99th percentile is under 50 ms.
"""

from __future__ import annotations

import random
import socket
import time
from contextlib import suppress

from benchmarks.common import arguments, finish, replace_section, table
from lapishaven.admin import AdminServer
from lapishaven.counters import Counters
from lapishaven.net.loop import Loop


class FixedMetrics:
    """Fixed answers in place of the server's own, which are not part of this measurement."""

    def ready(self) -> bool:
        return True

    def spread_state(self) -> None:
        return None

    def metrics(self) -> bytes:
        return b"server_open_requests 0\n"


class NonEvictingAdminServer(AdminServer):
    """The baseline: the same connection limit, but no connection is evicted to admit a new one."""

    def _make_room(self) -> bool:
        return False


def call_durations(seed: int, duration_s: float, evicts: bool) -> list[float]:
    """Return the duration of each scraper call in seconds; a call without an answer after 1 s counts as 1 s."""
    rng, loop = random.Random(seed), Loop()
    server = (AdminServer if evicts else NonEvictingAdminServer)(loop, ("127.0.0.1", 0), FixedMetrics(), Counters())
    idle_connections: list[socket.socket] = []
    durations_s: list[float] = []
    started_at = time.monotonic()
    next_wave_at = started_at
    while time.monotonic() - started_at < duration_s:
        if time.monotonic() >= next_wave_at:
            idle_connections += [socket.create_connection(server.listener.address) for _ in range(rng.randint(4, 24))]
            next_wave_at += rng.uniform(0.3, 1.5)
        scraper = socket.create_connection(server.listener.address)
        scraper.setblocking(False)
        scraper.sendall(b"GET /v1/metrics HTTP/1.1\r\nHost: control\r\n\r\n")
        sent_at, response = time.monotonic(), b""
        while time.monotonic() - sent_at < 1.0 and not response.endswith(b"\n"):
            loop.round(0.002, lambda now: None)
            with suppress(BlockingIOError):
                response += scraper.recv(4096)
        durations_s.append(min(time.monotonic() - sent_at, 1.0) if response.startswith(b"HTTP/1.1 200") else 1.0)
        scraper.close()
        resume_at = time.monotonic() + 0.05
        while time.monotonic() < resume_at:
            loop.round(0.005, lambda now: None)
        for connection in idle_connections[:-64]:
            connection.close()
        del idle_connections[:-64]
    for connection in idle_connections:
        connection.close()
    server.close()
    loop.close()
    return durations_s


def summary(durations_s: list[float]) -> dict[str, float]:
    """Return the number of calls, their percentiles, and how many had no answer within 1 s."""
    sorted_s = sorted(durations_s)
    return {
        "calls": len(sorted_s),
        "p50_ms": round(sorted_s[len(sorted_s) // 2] * 1000, 2),
        "p99_ms": round(sorted_s[int(len(sorted_s) * 0.99)] * 1000, 2),
        "over_1s": sum(duration >= 1.0 for duration in sorted_s),
    }


def main() -> None:
    args = arguments(__doc__ or "")
    duration_s = 8.0 if args.short else 30.0
    ours, baseline = (
        summary(call_durations(args.seed, duration_s, True)),
        summary(call_durations(args.seed, duration_s, False)),
    )
    missed = (
        [f"control endpoint: {ours['over_1s']} of {ours['calls']} calls had no answer within 1 s"]
        if ours["over_1s"]
        else []
    )
    missed += [f"control endpoint: p99 is {ours['p99_ms']} ms, at most 50 ms allowed"] if ours["p99_ms"] > 50 else []
    if not args.short:
        rows = [[name, *figures.values()] for name, figures in (("ours", ours), ("no eviction", baseline))]
        replace_section("docs/operators/control.md", "control", table(["endpoint", *ours], rows))
    finish({"seed": args.seed, "ours": ours, "baseline": baseline}, missed)


if __name__ == "__main__":
    main()
