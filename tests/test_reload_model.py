"""Random reloads and requests, played against a model: each request is answered by the rules of its own class.

Reloads add, drop, bring back, move and change classes, with each combination of pools, contracts, backend and storage,
while requests are open. The model knows, for each request, the class as it was when the request arrived.
"""

from __future__ import annotations

import itertools
from contextlib import suppress
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

import pytest
from hypothesis import Phase, given
from hypothesis import settings as profile
from hypothesis import strategies as st
from test_reload import CHECK, COMMIT, CONTRACT, MATCH, ReloadWorld

from lapishaven import config
from lapishaven.idempotency import DurableResults
from lapishaven.lab.disk import Disk
from lapishaven.proto import uwsgi
from lapishaven.storage import Limits, Store

REVIEW = {**COMMIT, "name": "review-commit", "deadline": 2.5, "effect": "guarded"}
PROFILES = {profile["name"]: profile for profile in (MATCH, CHECK, COMMIT, REVIEW)}
NAMES = sorted(PROFILES)
WAIT_STEP_S = 0.2  # of the clock, which the tests set
ANSWERED_WITHIN_S = 0.2  # after the deadline, by the loop's next round
ABANDONED_AFTER_S = 61.0  # after which no run keeps its place

reloads = st.tuples(
    st.just("reload"),
    st.lists(st.sampled_from(NAMES), min_size=1, max_size=4, unique=True),
    st.sampled_from((1.0, 0.5)),
)
sends = st.tuples(st.just("send"), st.sampled_from(NAMES))
ends = st.tuples(st.just("end"), st.integers(0, 10))
waits = st.tuples(st.just("wait"), st.sampled_from((0.2, 0.4, 1.4, 4.0)))
plays = st.lists(st.one_of(reloads, sends, sends, sends, ends, ends, waits), max_size=30)


@dataclass(slots=True)
class Expected:
    """What the model knows of one request."""

    class_name: str
    deadline: float
    is_run: bool = False
    is_ended: bool = False


@dataclass
class Model:
    """The offered classes and the open requests."""

    offered: dict[str, dict[str, Any]]
    count: int = 0
    """Number of requests sent."""
    sent: dict[str, Expected] = field(default_factory=dict)
    """Those that were not answered at once, by label."""


class RandomReloads(ReloadWorld):
    """One play; ``features`` are the parts that are on."""

    features: frozenset[str] = frozenset()
    pool_of = {}

    def prepare(self, features: frozenset[str]) -> None:
        self.features = features
        self.backend = config.UwsgiBackendConfig(("127.0.0.1", 3), "/run/") if "uwsgi" in features else None
        self.pool_of = {name: f"pool {number % 2}" for number, name in enumerate(NAMES)} if "pools" in features else {}
        route = "uwsgi" if "uwsgi" in features else "interpreter"
        rows = (CONTRACT.replace("3.0", "1.0") + f'class = "{name}"\nroute = "{route}"\n' for name in NAMES[:1])
        self.contract_text = "".join(rows) if "contracts" in features else ""
        self.setUp()
        self.model = Model({name: PROFILES[name] for name in ("fuzzy-match", "approve-commit")})
        if "storage" in features:
            self.open_storage()
        self.play("wait 0.01")

    def load_contracts(self, node: config.NodeConfig) -> Any:
        """The contracts of the classes that the file of the node offers: others would make the reload invalid."""
        offered = {request_class.name for request_class in node.settings.classes}
        if not self.contract_text or NAMES[0] not in offered:
            return [] if self.contract_text else None
        return super().load_contracts(node)

    def open_storage(self) -> None:
        store = Store(Disk().mount(), Limits(segment_bytes=100_000), lambda: 1000.0, thread=False)
        self.results = DurableResults(store, 900.0, wall=lambda: 1000.0)
        self.server.core.result_store = self.results
        self.server.core.broker = None
        self.server.core.backend_up(False, 1.0)

    def commit_storage(self) -> None:
        if "storage" in self.features:
            while self.results.store.commit():
                pass
            self.results.process_completions()
            self.play("wait 0.001")

    # ---- Steps
    def step_reload(self, names: list[str], factor: float) -> None:
        offered = {name: {**PROFILES[name], "deadline": PROFILES[name]["deadline"] * factor} for name in names}
        if "contracts" in self.features and NAMES[0] in offered and offered[NAMES[0]]["deadline"] < 1.0:
            return
        self.reload(*offered.values())
        self.assertEqual(self.server.counters.get("reloads", "failed"), 0, self.log_lines[-2:])
        self.model.offered = offered

    def step_send(self, class_name: str) -> None:
        self.model.count += 1
        label = f"u{self.model.count}"
        by = "" if "contracts" not in self.features or class_name != NAMES[0] else " by=gateway"
        self.play(f"send {label} {class_name} id={label}{by}")
        self.commit_storage()
        if class_name not in self.model.offered:
            self.assertEqual(self.status(label), b"404")
            return
        time_limit = self.model.offered[class_name]["deadline"]
        if by:
            time_limit = min(time_limit, 1.0)
        elif "contracts" in self.features:
            self.assertEqual(self.status(label), b"403")  # no contract covers it
            return
        self.model.sent[label] = Expected(class_name, self.now + time_limit)

    def step_end(self, number: int) -> None:
        running = [label for label in self.started() if not self.model.sent[label].is_ended]
        if not running:
            return
        label = running[number % len(running)]
        expected = self.model.sent[label]
        expected.is_ended = True
        was_open = not self.status(label)
        self.end_run(label)
        self.play("wait 0.001")
        self.commit_storage()
        if was_open and self.now < expected.deadline - ANSWERED_WITHIN_S:
            self.assertEqual(self.status(label), b"200", (label, expected))

    def step_wait(self, seconds: float) -> None:
        for _ in range(max(1, round(seconds / WAIT_STEP_S))):
            self.play(f"wait {WAIT_STEP_S}")
            self.commit_storage()

    # ---- Observations
    def status(self, label: str) -> bytes:
        self.pump()
        return bytes(self.peers[label].data)[9:12]

    def started(self) -> dict[str, Any]:
        """The requests that were started at the backend, by label."""
        self.pump()
        if "uwsgi" not in self.features:
            return {label: None for label in self.vm.applied}
        started = {}
        for connection in self.up:
            data = bytes(connection.data)
            for label, expected in self.model.sent.items():
                if data.endswith(label.encode()) and f"/run/{expected.class_name}".encode() in data:
                    started[label] = connection
        return started

    def end_run(self, label: str) -> None:
        connection = self.started()[label]
        if connection is None:
            self.vm.end("OK", label)
            return
        with suppress(OSError):  # the server has given the run up
            connection.sock.sendall(uwsgi.encode_response(HTTPStatus.OK, b"done", "text/plain"))

    def check(self) -> None:
        """Each request whose time is over has been answered, and none ran at another class or twice."""
        for label, expected in self.model.sent.items():
            if self.now > expected.deadline + ANSWERED_WITHIN_S:
                self.assertNotEqual(self.status(label), b"", (label, expected))
        self.assertEqual(len(self.vm.applied), len(set(self.vm.applied)))
        self.assertEqual(self.server.counters.get("module", "faults"), 0)


FEATURES = ("pools", "contracts", "uwsgi", "storage")
COMBINATIONS = [
    frozenset(itertools.compress(FEATURES, flags)) for flags in itertools.product((False, True), repeat=len(FEATURES))
]


@pytest.mark.parametrize("features", COMBINATIONS, ids=lambda features: "+".join(sorted(features)) or "plain")
@given(steps=plays)
@profile(max_examples=15, deadline=None, derandomize=True, phases=(Phase.explicit, Phase.generate))
def test_each_request_is_answered_by_the_rules_of_its_class(features: frozenset[str], steps: list[Any]) -> None:
    """Guards reloads against settings of the start in any part, and against classes that take another one's place."""
    world = RandomReloads()
    world.prepare(features)
    try:
        for step, *arguments in steps:
            getattr(world, f"step_{step}")(*arguments)
            world.check()
        world.step_wait(8.0)
        world.check()
        world.play(f"wait {ABANDONED_AFTER_S}")
        world.play("wait 0.1")
        broker = world.server.broker
        assert broker is not None
        assert broker.requests == {}
        assert broker.controller.rules.table.requests == {}
    finally:
        world.tearDown()
        world.doCleanups()
