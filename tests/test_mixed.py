"""Both frontends at once: at 110% of the stand-in interpreter's capacity, and on real sockets."""

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

from scenario import StandInInterpreter, World, configuration

from lapishaven.proto import uwsgi

CORES, WORK_S, LOAD, SPAN_S = 6, 0.3, 1.10, 30.0
STEP_S = 0.025


class SharedCoresInterpreter(StandInInterpreter):
    """A stand-in interpreter whose runs share its cores; a run that is paused ends."""

    def __init__(self) -> None:
        super().__init__()
        self.jobs: dict[str, float] = {}

    def step(self, span: float, random: Random) -> None:
        for line in self.log:
            word, _, label = line.partition(" ")
            if word == "APPLY":
                self.jobs[label] = WORK_S * random.uniform(0.5, 1.5)
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
    def interpreter(self) -> StandInInterpreter:
        return SharedCoresInterpreter()

    # Guards against one frontend being favoured over the other, and against a commit that runs twice when clients
    # disconnect during a run and retry. All figures follow from the seed, as the test sets the clock.
    def test_both_frontends_at_110_percent_load_are_served_alike_and_no_commit_runs_twice(self) -> None:
        assert isinstance(self.vm, SharedCoresInterpreter)
        random = Random(11)
        mean_interval = WORK_S / CORES / LOAD
        started: dict[str, tuple[float, str]] = {}  # time and class by label
        served: dict[str, float] = {}
        outcomes: dict[str, list[str]] = {"c": [], "u": []}
        disconnect_at: dict[str, float] = {}
        retries: list[tuple[float, str, str]] = []
        n, due, start = 0, self.now, self.now
        while self.now < start + SPAN_S + 6:
            while due <= self.now and due < start + SPAN_S:
                n, due = n + 1, due + random.expovariate(1 / mean_interval)
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
                        disconnect_at[label] = self.now + random.uniform(0.0, 0.6)
                started[label] = self.now, cls
            for label in [label for label, when in disconnect_at.items() if when <= self.now]:
                del disconnect_at[label]
                if label in self.peers:
                    self.peers.pop(label).sock.close()
                    outcomes["u"].append("disconnected")
                    retries.append((self.now + 0.1, label, started[label][1]))
            for when, label, cls in [retry for retry in retries if retry[0] <= self.now]:
                retries.remove((when, label, cls))
                retry = self.peer(f"u9{label[1:]}")
                variables = {"PATH_INFO": f"/match/{cls}", "HTTP_X_REQUEST_ID": f"k{label[1:]}"}
                retry.sock.sendall(uwsgi.encode_request({**variables, "HTTP_X_RETRY": "1"}, label.encode()))
            self.wait(STEP_S)
            self.vm.step(STEP_S, random)
            self.pump()
            for name, peer in list(self.peers.items()):
                if name[0] == "c":
                    for line in bytes(peer.data).splitlines():
                        answer = self.kind(json.loads(line))
                        outcomes["c"].append(answer.split()[0])
                        if answer.startswith("result"):
                            served[f"{name}.{answer.split()[1]}"] = self.now
                    peer.data.clear()
                elif peer.closed:
                    status = bytes(peer.data[9:12]).decode()
                    if name in started:
                        outcomes["u"].append(status)
                        if status == "200":
                            served[name] = self.now
                    self.peers.pop(name).sock.close()
        share = {}
        for frontend in "cu":
            requests = {label: v for label, v in started.items() if label[0] == frontend}
            weights = {label: 3.0 if cls == "approve-commit" else 1.0 for label, (_, cls) in requests.items()}
            disconnected = outcomes[frontend].count("disconnected")
            weight_on_time = sum(
                w for label, w in weights.items() if served.get(label, 1e9) - requests[label][0] <= 1.5
            )
            share[frontend] = weight_on_time / (sum(weights.values()) * (1 - disconnected / len(requests)))
            self.assertEqual(len(outcomes[frontend]), len(requests), "each request has exactly one end")
            self.assertGreater(len(requests), 250)
        self.assertGreater(min(share.values()), 0.6)
        self.assertLess(abs(share["c"] - share["u"]), 0.08, share)
        self.assertIn("refused", outcomes["c"])
        self.assertIn("503", outcomes["u"])
        commits = [a.rstrip("r") for a in self.vm.applied if started[a.rstrip("r")][1] == "approve-commit"]
        self.assertEqual(len(commits), len(set(commits)), "a commit ran twice")
        self.assertEqual(self.server.broker.requests, {})


class RealSockets(World):
    # Covers what only the real program on real sockets shows: addresses, signals, exit code and counters.
    def test_program_serves_both_frontends_and_exits_on_sigterm(self) -> None:
        with tempfile.TemporaryDirectory() as folder, socket.create_server(("127.0.0.1", 0)) as listener:
            listener.settimeout(20)
            text = configuration(vm=f"127.0.0.1:{listener.getsockname()[1]}", stop_ms=600)
            Path(folder, "c.json").write_text(text)
            Path(folder, "u.toml").write_text('[front]\nlisten="127.0.0.1:0"\npath="/match/"\nheld_kb=30\n')
            command = [sys.executable, "-m", "lapishaven", "serve", "--config", f"{folder}/c.json"]
            program = subprocess.Popen([*command, "--uwsgi", f"{folder}/u.toml"], stderr=subprocess.PIPE, text=True)
            assert program.stderr is not None
            try:
                ports = [int(p) for p in re.findall(r"127.0.0.1:(\d+)", program.stderr.readline())]
                link = listener.accept()[0]
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
                    log = program.stderr.read()
                self.assertEqual(program.wait(20), 0, log)
                self.assertIn('"answers": {"served": 2}', log)
            finally:
                program.kill()
                program.wait()
                program.stderr.close()

    notice_count = 0

    def answer(self, lines: object, verb: bytes, reply: bytes) -> None:
        """Read commands up to ``verb`` and answer that one; gauge queries are skipped."""
        while True:
            words = lines.readline().split()  # type: ignore[attr-defined]
            if words[0] == verb:
                break
        if b"%s" in reply:
            lines.readline()  # type: ignore[attr-defined]
            self.notice_count += 1
            reply = reply % (self.notice_count, words[1])
        lines.write(reply)  # type: ignore[attr-defined]
