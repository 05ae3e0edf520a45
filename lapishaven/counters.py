"""Counters of what the program takes in, sends and answers; printed on request and at exit."""

from __future__ import annotations

import json
from collections import Counter


class Counters:
    """Groups of named counts; a group appears with its first count."""

    def __init__(self) -> None:
        self.groups: dict[str, Counter[str]] = {}

    def add(self, group: str, name: str, amount: int = 1) -> None:
        self.groups.setdefault(group, Counter())[name] += amount

    def get(self, group: str, name: str) -> int:
        return self.groups.get(group, Counter())[name]

    def line(self) -> str:
        """All counts as one JSON line, in a steady order."""
        return "counters " + json.dumps({g: dict(sorted(c.items())) for g, c in sorted(self.groups.items())})
