"""Settings at SIGHUP: classes added and dropped while requests are open, and files that are turned down whole."""

from __future__ import annotations

import copy
from typing import Any

from scenario import SETTINGS, World, configuration

NEW = {"name": "segment-save", "aim": 1.5, "deadline": 4.5, "effect": "free", "credit": 1.0, "late-worth": 0.2}


def changed(change: Any) -> str:
    data = copy.deepcopy(SETTINGS)
    change(data)
    return configuration(vm="127.0.0.1:2", settings=data)


class Retune(World):
    # Guards against an open request that loses its class, and a new class that callers cannot use.
    def test_a_class_is_added_and_one_dropped_while_a_request_of_it_is_open(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 approve-commit
            expect vm APPLY c1.1
        """)
        self.files = changed(lambda s: s.__setitem__("profiles", [NEW, s["profiles"][0]]))
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

    # Guards against a bad file that changes part of the settings, or is not counted as turned down.
    def test_each_kind_of_bad_file_is_turned_down_whole_mid_flow(self) -> None:
        good, before = configuration(vm="127.0.0.1:2"), self.server.config.settings
        self.play("expect vm CONNECT 0")
        for n, text in enumerate(
            [
                "",
                good[: len(good) // 2],
                changed(lambda s: s["profiles"][1].pop("aim")),
                changed(lambda s: s["profiles"][0].__setitem__("deadline", 0)),
                changed(lambda s: s["profiles"][0].__setitem__("deadline", "x")),
            ],
            1,
        ):
            self.files = text
            self.play(f"send server HUP\nsend c1 {n} approve-commit\nexpect vm APPLY c1.{n}")
        self.assertIs(self.server.config.settings, before)
        self.play("send h1 GET /v1/metrics\nexpect h1 200 server_cfg_invalid 5")
