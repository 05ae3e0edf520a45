"""Reloading settings on SIGHUP: classes are added and removed, and an invalid file changes nothing."""

from __future__ import annotations

import copy
from pathlib import Path
from typing import Any

import pytest
from scenario import SETTINGS, World, configuration
from typer.testing import CliRunner

from lapishaven.cli import app

NEW = {"name": "segment-save", "aim": 1.5, "deadline": 4.5, "effect": "free", "credit": 1.0, "late-worth": 0.2}


def changed(change: Any) -> str:
    data = copy.deepcopy(SETTINGS)
    change(data)
    return configuration(vm="127.0.0.1:2", settings=data)


class SettingsReload(World):
    # Guards against a reload after which an open request has lost its class, or callers cannot use a new class.
    def test_a_class_is_added_and_another_removed_while_one_of_its_requests_is_open(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 approve-commit
            expect vm APPLY c1.1
        """)
        self.files = changed(lambda settings: settings.__setitem__("profiles", [NEW, settings["profiles"][0]]))
        self.play("""
            send server HUP
            send c1 2 segment-save
            expect vm APPLY c1.2
            send c1 3 approve-commit
            expect c1 -32601 3
            send vm OK c1.1
            expect c1 result 1
        """)
        self.assertEqual(
            (self.server.classes, self.server.counters.get("reloads", "done")),
            ({"fuzzy-match": 0, "segment-save": 2}, 1),
        )

    # Guards against an invalid file that is applied in part, or is not counted as rejected.
    def test_an_invalid_file_is_rejected_as_a_whole_while_requests_are_open(self) -> None:
        valid, before = configuration(vm="127.0.0.1:2"), self.server.config.settings
        self.play("expect vm CONNECT 0")
        for request_id, text in enumerate(
            [
                "",
                valid[: len(valid) // 2],
                changed(lambda s: s["profiles"][1].pop("aim")),
                changed(lambda s: s["profiles"][0].__setitem__("deadline", 0)),
                changed(lambda s: s["profiles"][0].__setitem__("deadline", "x")),
            ],
            1,
        ):
            self.files = text
            self.play(f"send server HUP\nsend c1 {request_id} approve-commit\nexpect vm APPLY c1.{request_id}")
        self.assertIs(self.server.config.settings, before)
        self.play("send h1 GET /v1/metrics\nexpect h1 200 server_cfg_invalid 5")

    # Guards against values that pass for numbers and that the admission module then rejects: a part of the file was in
    # force, and the reload was counted as accepted.
    def test_settings_that_no_server_can_use_are_rejected_as_a_whole(self) -> None:
        before = self.server.config.settings
        self.play("expect vm CONNECT 0")
        unusable = [
            changed(lambda s: s["extra"].__setitem__("cores", 0)),
            changed(lambda s: s["extra"].__setitem__("memory-kb", -1)),
            changed(lambda s: s["extra"].__setitem__("cores", float("inf"))),
            changed(lambda s: s["profiles"][0].__setitem__("credit", -1)),
            changed(lambda s: s.__setitem__("profiles", [])),
            changed(lambda s: s["profiles"][0].__setitem__("deadline", 10**400)),
            configuration(vm="127.0.0.1:2", stop_ms=float("inf")),
            configuration(vm="127.0.0.1:²"),
            "[" * 100_000,
        ]
        for request_id, text in enumerate(unusable, 1):
            self.files = text
            self.play(f"send server HUP\nsend c1 {request_id} approve-commit\nexpect vm APPLY c1.{request_id}")
            self.play(f"send vm OK c1.{request_id}\nexpect c1 result {request_id}")
        self.assertIs(self.server.config.settings, before)
        self.play(f"send h1 GET /v1/metrics\nexpect h1 200 server_cfg_invalid {len(unusable)}")


# Guards the start: a server with such a file printed a traceback, or never served.
@pytest.mark.parametrize(
    "text",
    [
        changed(lambda s: s["extra"].__setitem__("cores", 0)),
        changed(lambda s: s["extra"].__setitem__("cores", float("inf"))),
        changed(lambda s: s.__setitem__("profiles", [])),
        configuration(stop_ms=10**400),
        configuration(listen="127.0.0.1:²"),
    ],
)
def test_unusable_settings_are_reported_in_one_line_with_exit_code_2(tmp_path: Path, text: str) -> None:
    path = tmp_path / "c.json"
    path.write_text(text)
    result = CliRunner().invoke(app, ["check-config", "--config", str(path)])
    assert result.exit_code == 2
    assert result.output.startswith(f"lapishaven: {path}: ") and result.output.count("\n") == 1
