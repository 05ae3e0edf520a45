"""Reloads that add, drop and bring back classes, against each part that knows classes."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Any

from scenario import SETTINGS, World, configuration

from lapishaven import config
from lapishaven.config.contracts import load_contracts

MATCH, COMMIT = SETTINGS["profiles"]
CHECK = {**MATCH, "name": "spell-check", "deadline": 3.0}
CONTRACT = '[[contract]]\nteam = "team"\nservice = "gateway"\ndeadline_s = 3.0\nrate = 100\nburst = 100\n'


class ReloadWorld(World):
    """``reload`` gives the server new classes, and the files as they are loaded with these."""

    backend = config.UwsgiBackendConfig(("127.0.0.1", 3), "/run/")
    contract_text = ""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.contract_path = Path(folder.name, "contracts.toml")
        self.contract_path.write_text(self.contract_text)
        self.contracts = self.load_contracts(config.parse_config(configuration()))
        super().setUp()
        self.uwsgi_server_up = True

    def load_contracts(self, node: config.NodeConfig) -> Any:
        if not self.contract_text:
            return None
        return load_contracts(str(self.contract_path), node.settings, {"interpreter", "uwsgi"})

    def reload(self, *profiles: dict[str, Any]) -> None:
        extra = {**SETTINGS["extra"], "calls-by-class": [False] * len(profiles)}
        extra["class-skip-worth"] = [0.0] * len(profiles)
        text = configuration(vm="127.0.0.1:2", settings={**SETTINGS, "profiles": list(profiles), "extra": extra})
        node = config.parse_config(text)
        files = config.ConfigFiles(node, None, self.backend, self.load_contracts(node))
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
