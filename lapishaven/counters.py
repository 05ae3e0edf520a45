"""Counters of requests, responses, connections and errors, logged on SIGUSR1 and at exit."""

from __future__ import annotations

import json
from collections import Counter


class Counters:
    """Groups of named counters. Groups and counters are created at their first use."""

    def __init__(self) -> None:
        self.groups: dict[str, Counter[str]] = {}

    def add(self, group: str, name: str, amount: int = 1) -> None:
        """Add ``amount`` to a counter."""
        self.groups.setdefault(group, Counter())[name] += amount

    def get(self, group: str, name: str) -> int:
        """The value of a counter; 0 if it was never used."""
        return self.groups.get(group, Counter())[name]

    def line(self) -> str:
        """All counters as one line of JSON, sorted by name."""
        groups = {group: dict(sorted(counts.items())) for group, counts in sorted(self.groups.items())}
        return "counters " + json.dumps(groups)
