"""Reloads that add, drop and bring back classes, against each part that knows classes."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Any, ClassVar
from unittest import mock

from scenario import SETTINGS, World, configuration

from lapishaven import config
from lapishaven.config.contracts import load_contracts
from lapishaven.core.broker import Broker
from lapishaven.pools import PoolSettings
from lapishaven.pools import settings as pools

MATCH, COMMIT = SETTINGS["profiles"]
CHECK = {**MATCH, "name": "spell-check", "deadline": 3.0}
CONTRACT = '[[contract]]\nteam = "team"\nservice = "gateway"\ndeadline_s = 3.0\nrate = 100\nburst = 100\n'


class ReloadWorld(World):
    """``reload`` gives the server new classes, and the files as they are loaded with these."""

    backend = config.UwsgiBackendConfig(("127.0.0.1", 3), "/run/")
    contract_text = ""
    pool_of: ClassVar[dict[str, str]] = {}  # the name of the pool of each class; no pools if it is empty

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.contract_path = Path(folder.name, "contracts.toml")
        self.contract_path.write_text(self.contract_text)
        node = config.parse_config(configuration())
        self.contracts, self.pools = self.load_contracts(node), self.parse_pools(node)
        super().setUp()
        self.uwsgi_server_up = True

    def load_contracts(self, node: config.NodeConfig) -> Any:
        if not self.contract_text:
            return None
        return load_contracts(str(self.contract_path), node.settings, {"interpreter", "uwsgi"})

    def parse_pools(self, node: config.NodeConfig) -> PoolSettings | None:
        names = [request_class.name for request_class in node.settings.classes]
        pool_names = sorted({self.pool_of[name] for name in names} if self.pool_of else ())
        rows = [
            {"name": pool, "classes": [name for name in names if self.pool_of[name] == pool], "share": 0.3}
            for pool in pool_names
        ]
        return pools.parse({"pool": rows}, names, node.settings.cores) if rows else None

    def reload(self, *profiles: dict[str, Any]) -> None:
        extra = {**SETTINGS["extra"], "calls-by-class": [False] * len(profiles)}
        extra["class-skip-worth"] = [0.0] * len(profiles)
        text = configuration(vm="127.0.0.1:2", settings={**SETTINGS, "profiles": list(profiles), "extra": extra})
        node = config.parse_config(text)
        files = config.ConfigFiles(node, None, self.backend, self.load_contracts(node), self.parse_pools(node))
        self.server.config_reload._read_files = lambda: files
        self.play("send server HUP\nwait 0.01")


class ContractsOverReloads(ReloadWorld):
    contract_text = (
        CONTRACT
        + 'class = "fuzzy-match"\nroute = "uwsgi"\n'
        + CONTRACT
        + 'class = "approve-commit"\nroute = "interpreter"\n'
    )

    # Guards against a request that is sent to the server of another class's contract.
    def test_a_class_that_is_added_in_front_shifts_no_contract(self) -> None:
        self.play("expect vm CONNECT 0")
        self.reload(CHECK, MATCH, COMMIT)
        self.play("""
            send u1 approve-commit by=gateway
            expect vm APPLY u1
            send u2 fuzzy-match by=gateway
            expect up fuzzy-match u2
            send u3 spell-check by=gateway
            expect u3 403
        """)


class BackendOverReloads(ReloadWorld):
    # Guards against a run that is never sent, as the backend knows the classes of the start alone, and keeps its place.
    def test_a_class_that_is_added_runs_on_a_uwsgi_backend_within_its_own_time(self) -> None:
        self.reload(MATCH, COMMIT, CHECK)
        self.play("""
            send c1 1 spell-check
            expect up spell-check c1.1
            send up 200 c1.1
            expect c1 result 1
            send c1 2 spell-check
            expect up spell-check c1.2
            wait 2.7
            expect c1 nothing
            wait 0.4
            expect c1 failed 2
        """)


class PoolsOverReloads(ReloadWorld):
    backend = None
    pool_of = {"fuzzy-match": "reads", "spell-check": "reads", "approve-commit": "writes"}

    def serve_all(self, number: int, *class_names: str) -> None:
        for name in class_names:
            self.play(f"send c1 {number} {name}\nexpect vm APPLY c1.{number}\nwait 0.1\nsend vm OK c1.{number}")
            self.play(f"expect c1 result {number}")
            number += 1

    # Guards against a server that runs nothing any more, as the pools know the classes of the start alone.
    def test_a_class_that_is_added_dropped_and_brought_back_is_served_with_pools(self) -> None:
        self.play("expect vm CONNECT 0")
        self.reload(CHECK, MATCH, COMMIT)
        self.serve_all(1, "fuzzy-match", "approve-commit", "spell-check")
        self.play("send c2 1 spell-check\nexpect vm APPLY c2.1")
        self.reload(MATCH, COMMIT)
        self.play("send c1 10 spell-check\nsend vm OK c2.1\nexpect c2 result 1")
        self.assertIn(b"no such class", bytes(self.peers["c1"].data))
        self.peers["c1"].data.clear()
        self.serve_all(11, "fuzzy-match", "approve-commit")
        self.reload(CHECK, MATCH, COMMIT)  # which changes no setting, as the dropped class was kept
        self.serve_all(21, "spell-check", "approve-commit")

    # Guards against requests of a dropped class that are in no pool any more.
    def test_what_is_queued_of_a_dropped_class_is_served_though_its_pool_is_gone(self) -> None:
        self.play("expect vm CONNECT 0")
        self.pool_of = {**self.pool_of, "spell-check": "checks"}
        self.reload(CHECK, MATCH, COMMIT)
        for number in range(1, 8):
            self.play(f"send c1 {number} spell-check")
        self.reload(MATCH, COMMIT)
        for number in range(1, 8):
            self.play(f"expect vm APPLY c1.{number}\nsend vm OK c1.{number}\nexpect c1 result {number}")
        self.serve_all(11, "fuzzy-match")

    # Guards against half a configuration in force after a fault, and against one that counts as accepted.
    def test_a_part_that_cannot_take_its_settings_leaves_the_old_ones_in_force(self) -> None:
        self.play("expect vm CONNECT 0")
        with mock.patch.object(Broker, "replace_contracts", side_effect=[RuntimeError("planted"), None]):
            self.server.running.contracts = []
            self.reload(CHECK, {**MATCH, "deadline": 1.0}, COMMIT)
        self.assertEqual(self.server.counters.groups["reloads"], {"failed": 1})
        self.assertIn("RuntimeError: planted", self.log_lines[-1])
        self.assertEqual(list(self.server.classes), ["fuzzy-match", "approve-commit"])
        self.assertEqual(self.server.running.config.settings.classes[0].deadline, MATCH["deadline"])
        self.serve_all(1, "fuzzy-match", "approve-commit")


class PoolsOverABackendThatCannotPause(ReloadWorld):
    pool_of = {"fuzzy-match": "reads", "spell-check": "reads", "approve-commit": "writes"}

    # Guards against runs that are taken back and never resumed: their connection is closed, and their places are kept.
    def test_a_starved_pool_takes_no_run_back(self) -> None:
        self.reload({**CHECK, "aim": 30.0, "deadline": 60.0}, MATCH, COMMIT)
        for number in range(1, 7):
            self.play(f"send c{number} 1 spell-check")
        self.assertEqual(len(self.up), 6)
        self.play("send u1 approve-commit id=k\n" + "wait 0.1\n" * 8)
        self.assertEqual(self.server.core.pools.state()["reads taken back"], 0)  # type: ignore[union-attr]
        self.assertEqual(self.server.counters.get("ends", "uwsgi backend abandoned"), 0)
