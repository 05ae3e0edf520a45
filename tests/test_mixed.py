"""Both fronts at once: at 110% of what the stand-in can do, and on real sockets."""

from __future__ import annotations

import json
import re
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path
from random import Random

from scenario import Vm, World, configuration

from lapishaven.proto import uwsgi

CORES, WORK, LOAD, SPAN = 6, 0.3, 1.10, 30.0
STEP = 0.025


class Working(Vm):
    """Shares its cores among what runs; a broken run is dropped."""

    def __init__(self) -> None:
        super().__init__()
        self.jobs: dict[str, float] = {}

    def step(self, span: float, random: Random) -> None:
        for line in self.log:
            word, _, label = line.partition(" ")
            if word == "APPLY":
                self.jobs[label] = WORK * random.uniform(0.5, 1.5)
            elif word == "BREAK" and self.jobs.pop(label, None) is not None:
                self.end("STOPPED", label)
        self.log.clear()
        self.load = (min(1.0, len(self.jobs) / CORES), float(len(self.jobs)))
        share = span * min(1.0, CORES / max(1, len(self.jobs)))
        for label in list(self.jobs):
            self.jobs[label] -= share
            if self.jobs[label] <= 0:
                del self.jobs[label]
                self.end("OK", label)


class Overload(World):
    def interpreter(self) -> Vm:
        return Working()

    # Guards against a front that is favoured or starved, and against a commit that runs twice when clients
    # leave in the middle and come back. Every figure follows from the seeds: the clock is turned by hand.
    def test_both_fronts_at_110_percent_are_served_alike_and_no_commit_runs_twice(self) -> None:
        assert isinstance(self.vm, Working)
        random = Random(11)
        gap = WORK / CORES / LOAD
        started: dict[str, tuple[float, str]] = {}  # label -> when, class
        served: dict[str, float] = {}
        ends: dict[str, list[str]] = {"c": [], "u": []}
        leaving: dict[str, float] = {}
        again: list[tuple[float, str, str]] = []
        n, due, start = 0, self.now, self.now
        while self.now < start + SPAN + 6:
            while due <= self.now and due < start + SPAN:
                n, due = n + 1, due + random.expovariate(1 / gap)
                cls = "approve-commit" if random.random() < 0.16 else "fuzzy-match"
                if random.random() < 0.5:
                    name, label = f"c{n % 4 + 1}", f"c{n % 4 + 1}.{n}"
                    line = self.message(name, str(n), cls)
                    line = line.replace(b'"crit": 0.9', b'"crit": %.4f' % random.random())
                    self.peer(name).sock.sendall(line)
                else:
                    label = f"u{n}"
                    self.peer(label).sock.sendall(self.message(label, cls, f"id=k{n}"))
                    if random.random() < 0.1:
                        leaving[label] = self.now + random.uniform(0.0, 0.6)
                started[label] = self.now, cls
            for label in [label for label, when in leaving.items() if when <= self.now]:
                del leaving[label]
                if label in self.peers:
                    self.peers.pop(label).sock.close()
                    ends["u"].append("left")
                    again.append((self.now + 0.1, label, started[label][1]))
            for when, label, cls in [a for a in again if a[0] <= self.now]:
                again.remove((when, label, cls))
                retry = self.peer(f"u9{label[1:]}")
                variables = {"PATH_INFO": f"/match/{cls}", "HTTP_X_REQUEST_ID": f"k{label[1:]}"}
                retry.sock.sendall(uwsgi.encode_request({**variables, "HTTP_X_RETRY": "1"}, f"{label}r".encode()))
            self.wait(STEP)
            self.vm.step(STEP, random)
            self.pump()
            for name, peer in list(self.peers.items()):
                if name[0] == "c":
                    for line in bytes(peer.data).splitlines():
                        answer = self.kind(json.loads(line))
                        ends["c"].append(answer.split()[0])
                        if answer.startswith("result"):
                            served[f"{name}.{answer.split()[1]}"] = self.now
                    peer.data.clear()
                elif peer.closed:
                    status = bytes(peer.data[9:12]).decode()
                    if name in started:
                        ends["u"].append(status)
                        if status == "200":
                            served[name] = self.now
                    self.peers.pop(name).sock.close()
        share = {}
        for front in "cu":
            mine = {label: v for label, v in started.items() if label[0] == front}
            worth = {label: 3.0 if cls == "approve-commit" else 1.0 for label, (_, cls) in mine.items()}
            left = ends[front].count("left")
            good = sum(w for label, w in worth.items() if served.get(label, 1e9) - mine[label][0] <= 1.5)
            share[front] = good / (sum(worth.values()) * (1 - left / len(mine)))
            self.assertEqual(len(ends[front]), len(mine), "each has exactly one end")
            self.assertGreater(len(mine), 250)
        self.assertGreater(min(share.values()), 0.6)
        self.assertLess(abs(share["c"] - share["u"]), 0.08, share)
        self.assertIn("refused", ends["c"])
        self.assertIn("503", ends["u"])
        commits = [a.rstrip("r") for a in self.vm.applied if started[a.rstrip("r")][1] == "approve-commit"]
        self.assertEqual(len(commits), len(set(commits)), "a commit ran twice")
        self.assertEqual(self.server.broker.requests, {})


class RealSockets(World):
    # Guards against what only the real program on real sockets shows: addresses, signals, exit, counters.
    def test_the_program_serves_both_fronts_and_leaves_on_sigterm(self) -> None:
        with tempfile.TemporaryDirectory() as folder, socket.create_server(("127.0.0.1", 0)) as door:
            door.settimeout(20)
            text = configuration(vm=f"127.0.0.1:{door.getsockname()[1]}", stop_ms=600)
            Path(folder, "c.json").write_text(text)
            Path(folder, "u.toml").write_text('[front]\nlisten="127.0.0.1:0"\npath="/match/"\nheld_kb=30\n')
            command = [sys.executable, "-m", "lapishaven", "serve", "--config", f"{folder}/c.json"]
            program = subprocess.Popen([*command, "--uwsgi", f"{folder}/u.toml"], stderr=subprocess.PIPE, text=True)
            assert program.stderr is not None
            try:
                ports = [int(p) for p in re.findall(r"127.0.0.1:(\d+)", program.stderr.readline())]
                link = door.accept()[0]
                link.settimeout(20)
                with link, link.makefile("rwb", buffering=0) as lines:
                    self.answer(lines, b"CONNECT", b"BANNER WARM 5\r\n")
                    for name, port in zip(("c1", "u1"), ports, strict=True):
                        with socket.create_connection(("127.0.0.1", port), 20) as client:
                            words = ("1", "approve-commit") if name == "c1" else ("approve-commit",)
                            client.sendall(self.message(name, *words))
                            self.answer(lines, b"APPLY", b"VALUE %d %s OK 5 2\r\nhi\r\n")
                            self.assertIn(b"aGk=" if name == "c1" else b"200 OK", client.recv(4096))
                    program.send_signal(signal.SIGTERM)
                    said = program.stderr.read()
                self.assertEqual(program.wait(20), 0, said)
                self.assertIn('"answers": {"served": 2}', said)
            finally:
                program.kill()
                program.wait()
                program.stderr.close()

    notices = 0

    def answer(self, lines: object, verb: bytes, reply: bytes) -> None:
        """Read commands up to a verb and answer it; polls for gauges are passed over."""
        while True:
            words = lines.readline().split()  # type: ignore[attr-defined]
            if words[0] == verb:
                break
        if b"%s" in reply:
            lines.readline()  # type: ignore[attr-defined]
            self.notices += 1
            reply = reply % (self.notices, words[1])
        lines.write(reply)  # type: ignore[attr-defined]
