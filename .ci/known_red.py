"""Reads the list of tests that are known to fail because of an open fault, and deselects them in the test run.

``KNOWN-RED.txt`` in the root directory has one line per test, ``TEST | COMMAND AND SEED | SEEN | ISSUE``: the pytest
id, the command and seed that reproduce the failure, the failure that was seen, and the number of an open issue. Empty
lines are ignored. At most three tests may be listed. The file may be empty or absent.

Prints the entries to standard error, and one ``--deselect`` argument for pytest per line to standard output. Exits with
code 2 if a line is malformed, a listed test does not exist, or too many tests are listed.
"""

from __future__ import annotations

import re
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

MAX_ENTRIES = 3
FILE_NAME = "KNOWN-RED.txt"


class KnownRedError(Exception):
    """The file is invalid; the message names the line or the test."""


@dataclass(frozen=True)
class Entry:
    """One test to deselect."""

    test: str
    command: str
    seen: str
    issue: int


def parse(text: str) -> list[Entry]:
    """Parse the text of the file. Raises ``KnownRedError``."""
    entries = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 4 or not all(fields) or not re.fullmatch(r"#?\d+", fields[3]):
            raise KnownRedError(
                f"{FILE_NAME}:{number}: expected TEST | COMMAND AND SEED | SEEN | ISSUE, found {line[:120]!r}"
            )
        entries.append(Entry(fields[0], fields[1], fields[2], int(fields[3].lstrip("#"))))
    if len(entries) > MAX_ENTRIES:
        raise KnownRedError(f"{FILE_NAME}: {len(entries)} tests are listed, at most {MAX_ENTRIES} are allowed")
    if len({entry.test for entry in entries}) != len(entries):
        raise KnownRedError(f"{FILE_NAME}: a test is listed twice: {', '.join(entry.test for entry in entries)}")
    return entries


def find_missing(entries: list[Entry], collected: set[str]) -> list[str]:
    """The listed tests that were not collected. Whole files and classes are not accepted."""
    return [entry.test for entry in entries if entry.test not in collected]


def collect(root: Path) -> set[str]:
    """The pytest ids of all tests below ``root``."""
    command = [sys.executable, "-m", "pytest", "--collect-only", "-q", "-o", "addopts="]
    process = subprocess.run(command, cwd=root, capture_output=True, text=True, check=True)
    return {line for line in process.stdout.splitlines() if "::" in line}


def main(root: Path) -> int:
    """Validate the file and print the arguments for pytest."""
    path = root / FILE_NAME
    try:
        entries = parse(path.read_text()) if path.exists() else []
        missing = find_missing(entries, collect(root)) if entries else []
        if missing:
            raise KnownRedError(f"{FILE_NAME}: no such test: {', '.join(missing)}")
    except KnownRedError as error:
        print(error, file=sys.stderr)
        return 2
    for entry in entries:
        print(
            f"known to fail, deselected: {entry.test} (issue {entry.issue}): {entry.seen}; {entry.command}",
            file=sys.stderr,
        )
        print(f"--deselect={entry.test}")
    return 0


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1]) if len(sys.argv) > 1 else Path.cwd()))
