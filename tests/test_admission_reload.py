"""Reloading settings on SIGHUP: classes are added and removed, and an invalid file changes nothing."""

from __future__ import annotations

import copy
from typing import Any

from scenario import SETTINGS, World, configuration

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
