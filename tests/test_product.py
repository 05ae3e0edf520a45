"""Contracts, budgets, the attempt log and the command line."""

from __future__ import annotations

import os
import sqlite3
import tempfile
import unittest
from contextlib import closing
from pathlib import Path

from scenario import World, configuration
from typer.testing import CliRunner

from lapishaven import __version__, config
from lapishaven.attempt_log import SqliteAttemptLog
from lapishaven.cli import app
from lapishaven.core.contracts import Contract

ROOT = Path(__file__).parent.parent


class ContractScenarios(World):
    backend = config.UwsgiBackendConfig(("127.0.0.1", 3), "/run/")
    contracts = [
        Contract("team", "editor", "fuzzy-match", 2.0, "interpreter", 1.0, 2.0),
        Contract("team", "pipeline", "approve-commit", 3.8, "uwsgi", 10.0, 10.0),
    ]

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path, self.dropped = f"{folder.name}/record.db", 0
        self.store = SqliteAttemptLog(self.path, self.drop)
        super().setUp()
        self.uwsgi_server_up = True

    def drop(self) -> None:
        self.dropped += 1

    def test_contracts_set_routes_deadlines_and_rejections(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send u1 fuzzy-match                  # names no team
            expect u1 403
            send u2 approve-commit by=editor     # a class that its contract does not cover
            expect u2 403
            send u3 fuzzy-match by=editor
            expect vm APPLY u3
            send u4 approve-commit by=pipeline
            expect up approve-commit u4
            expect vm nothing
            send up 200 u4
            expect u4 200 u4
            send u5 fuzzy-match by=editor
            expect vm APPLY u5
            send u6 fuzzy-match by=editor        # the budget of two is spent
            expect u6 503
            wait 1.0
            send u7 fuzzy-match by=editor
            expect vm APPLY u7
            wait 1.1                             # u3 is due after the contract's 2 s, not the class's 5.6 s
            expect u3 504
            send c1 1 fuzzy-match                # callers of the platform frontend need no contract
            expect up fuzzy-match c1.1
        """)
        reasons = self.server.counters.groups["reasons"]
        self.assertEqual((reasons["no contract"], reasons["over budget"]), (2, 1))

    # Guards against running a commit again after a restart of the process that ran it first.
    def test_commit_of_an_earlier_process_is_not_started_again(self) -> None:
        self.play("""
            send u1 approve-commit by=pipeline id=k
            expect up approve-commit u1
            send up 200 u1
            expect u1 200 u1
            send u2 approve-commit by=pipeline id=n
            send up 503
            expect u2 503
        """)
        self.tearDown()
        self.store.close()
        with closing(sqlite3.connect(self.path)) as database:
            rows = database.execute("select event, class, service, detail from record").fetchall()
        commit = "approve-commit", "pipeline"
        self.assertEqual(rows[:2], [("started", *commit, ""), ("answered", *commit, "served")])
        self.store = SqliteAttemptLog(self.path, self.drop)
        World.setUp(self)
        self.uwsgi_server_up = True
        self.play("""
            send u3 approve-commit by=pipeline id=k retry=1 body=u1
            expect u3 502
            send u4 approve-commit by=pipeline id=n retry=1 body=u2
            expect up approve-commit u2
        """)
        self.assertEqual(self.dropped, 0)

    def tearDown(self) -> None:
        super().tearDown()
        self.peers, self.up = {}, []
        if self.store is not None:
            self.store.close()


class CommandLine(unittest.TestCase):
    def run_with(self, text: str, *arguments: str) -> tuple[int, str]:
        with tempfile.TemporaryDirectory() as folder:
            Path(folder, "c.json").write_text(text)
            result = CliRunner().invoke(app, ["check-config", "--config", f"{folder}/c.json", *arguments])
            return result.exit_code, result.output.replace(folder, "")

    # Guards against a file under deploy/ that the program does not accept.
    def test_files_under_deploy_are_valid(self) -> None:
        files = "--uwsgi", str(ROOT / "deploy/uwsgi.toml"), "--contracts", str(ROOT / "deploy/contracts.toml")
        code, out = self.run_with(configuration(), *files)
        self.assertEqual(code, 0, out)
        self.assertIn("contracts 2", out)
        self.assertIn("3031", out)
        out = self.run_with(configuration(control="127.0.0.1:9"))[1]
        self.assertIn("uwsgi front off, backend off\ncontrol address 127.0.0.1:9\n", out)

    # Guards against a traceback, or a successful start, when a configuration file is invalid.
    def test_invalid_configuration_is_reported_in_one_line_with_exit_code_2(self) -> None:
        cases = [
            ("nonsense", "the configuration is not JSON: 'nonsense'"),
            (configuration(listen="here"), "listen: 'here' is not HOST:PORT with a port from 0 to 65535"),
            (configuration(control="x"), "control (or NODE_CONTROL): 'x' is not HOST:PORT with a port from 0 to 65535"),
            (configuration(seed="xyz"), "seed must be a hex string or a number above 0, found 'xyz'"),
            (configuration(settings={}), "settings: extra must be a JSON object, found None"),
            (configuration(limits={"sockets": 9, "memory_mb": 192}), "limits.sockets is 9, must be at least 64"),
            (configuration(stop_ms=-1), "stop_ms must be a number above 0, found -1"),
        ]
        for text, line in cases:
            code, out = self.run_with(text)
            self.assertEqual((code, out), (2, f"lapishaven: /c.json: {line}\n"))
            self.assertIn(line, out)
        code, out = self.run_with(configuration(), "--contracts", "/nowhere")
        self.assertEqual((code, out), (2, "lapishaven: cannot read /nowhere: No such file or directory\n"))

    # Guards against an error that does not say which of several files is invalid.
    def test_an_invalid_uwsgi_file_is_named_in_the_error(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "u.toml")
            path.write_text('[backend]\naddress = "here"\npath = "/m/"\n')
            code, out = self.run_with(configuration(), "--uwsgi", str(path))
        error = f"{path}: backend.address: 'here' is not HOST:PORT with a port from 0 to 65535"
        self.assertEqual((code, out), (2, f"lapishaven: {error}\n"))

    def test_version(self) -> None:
        self.assertEqual(CliRunner().invoke(app, ["version"]).output, f"{__version__}\n")
        self.assertNotIn("--uwsgi", (ROOT / "deploy/balancer.toml").read_text())  # off on the platform

    def test_missing_node_config_is_an_error(self) -> None:
        environ = {name: value for name, value in os.environ.items() if name != "NODE_CONFIG"}
        self.assertRaisesRegex(config.ConfigError, "NODE_CONFIG is not set", config.load_config, None, environ)
