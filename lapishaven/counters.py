"""Counters of what the program reads, sends and answers, logged on request and at exit."""

from __future__ import annotations

import json
from collections import Counter


class Counters:
    """Groups of named counts; a group appears with its first count."""

    def __init__(self) -> None:
        self.groups: dict[str, Counter[str]] = {}  # by name of the group

    def add(self, group: str, name: str, amount: int = 1) -> None:
        """Add to a count, which is 0 before."""
        self.groups.setdefault(group, Counter())[name] += amount

    def get(self, group: str, name: str) -> int:
        """A count; 0 if it was never added to."""
        return self.groups.get(group, Counter())[name]

    def line(self) -> str:
        """All counts as one line of JSON, sorted by name."""
        groups = {group: dict(sorted(counts.items())) for group, counts in sorted(self.groups.items())}
        return "counters " + json.dumps(groups)
