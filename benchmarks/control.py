"""The control door while silent callers hold it: how long a scraper's call takes, against a door that makes no room.

The real door and loop serve fixed figures (the serving path is not loaded here); silent callers connect in waves
and say nothing, a scraper asks `/v1/metrics` every 50 ms. Baseline on the same seed: the same door that never
closes the oldest to make room, as a naive server would. Bar: every call of ours within 1 s (what a caller
waits), the 99th under 50 ms.
"""

from __future__ import annotations

import random
import socket
import time
from contextlib import suppress

from benchmarks.common import arguments, finish, table, write_into
from lapishaven.admin import AdminServer
from lapishaven.counters import Counters
from lapishaven.net.loop import Loop


class Figures:
    """The server's side of the calls, which this measurement does not weigh."""

    def ready(self) -> bool:
        return True

    def spread_state(self) -> None:
        return None

    def metrics(self) -> bytes:
        return b"server_open_requests 0\n"


class NoRoom(AdminServer):
    """The baseline: a door of the same size that never closes a call to make room."""

    def _make_room(self) -> bool:
        return False


def play(seed: int, span: float, make_room: bool) -> list[float]:
    """Seconds that each scraper's call took; a call unanswered in 1 s counts as 1 s."""
    rng, loop = random.Random(seed), Loop()
    host = (AdminServer if make_room else NoRoom)(loop, ("127.0.0.1", 0), Figures(), Counters())
    silent: list[socket.socket] = []
    took: list[float] = []
    start = time.monotonic()
    next_wave = start
    while time.monotonic() - start < span:
        if time.monotonic() >= next_wave:
            silent += [socket.create_connection(host.listener.address) for _ in range(rng.randint(4, 24))]
            next_wave += rng.uniform(0.3, 1.5)
        asking = socket.create_connection(host.listener.address)
        asking.setblocking(False)
        asking.sendall(b"GET /v1/metrics HTTP/1.1\r\nHost: control\r\n\r\n")
        began, got = time.monotonic(), b""
        while time.monotonic() - began < 1.0 and not got.endswith(b"\n"):
            loop.round(0.002, lambda now: None)
            with suppress(BlockingIOError):
                got += asking.recv(4096)
        took.append(min(time.monotonic() - began, 1.0) if got.startswith(b"HTTP/1.1 200") else 1.0)
        asking.close()
        pause = time.monotonic() + 0.05
        while time.monotonic() < pause:
            loop.round(0.005, lambda now: None)
        for sock in silent[:-64]:
            sock.close()
        del silent[:-64]
    for sock in silent:
        sock.close()
    host.close()
    loop.close()
    return took


def summary(took: list[float]) -> dict[str, float]:
    ordered = sorted(took)
    return {
        "calls": len(ordered),
        "p50_ms": round(ordered[len(ordered) // 2] * 1000, 2),
        "p99_ms": round(ordered[int(len(ordered) * 0.99)] * 1000, 2),
        "over_1s": sum(t >= 1.0 for t in ordered),
    }


def main() -> None:
    args = arguments(__doc__ or "")
    span = 8.0 if args.short else 30.0
    ours, naive = summary(play(args.seed, span, True)), summary(play(args.seed, span, False))
    missed = [f"ours: {ours['over_1s']} calls past 1 s"] if ours["over_1s"] else []
    missed += [f"ours: p99 {ours['p99_ms']} ms over 50"] if ours["p99_ms"] > 50 else []
    if not args.short:
        rows = [[name, *figures.values()] for name, figures in (("ours", ours), ("no room made", naive))]
        write_into("docs/operators/control.md", "control", table(["door", *ours], rows))
    finish({"seed": args.seed, "ours": ours, "baseline": naive}, missed)


if __name__ == "__main__":
    main()
