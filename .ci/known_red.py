"""The tests that are known to fail for a real fault: read, checked and printed for the test run.

``KNOWN-RED.txt`` at the root has one line for each, ``TEST | COMMAND AND SEED | SEEN | ISSUE``: the test's id as pytest
prints it, the command and seed that show the failure, what was seen, and the number of an open issue.
Empty lines do not count. At most three may stand there. The file may be empty or absent.

Prints what stands there on standard error and the arguments for pytest, one a line, on standard output. Exits 2 where
the file is wrong, names a test that is not there, or names more tests than may be.
"""

from __future__ import annotations

import re
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

MOST = 3
FILE = "KNOWN-RED.txt"


class KnownRedError(Exception):
    """The file is wrong; the text says how."""


@dataclass(frozen=True)
class Entry:
    """One test that is passed over."""

    test: str
    command: str
    seen: str
    issue: int


def parse(text: str) -> list[Entry]:
    """The entries of a file's text."""
    entries = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        words = [word.strip() for word in line.split("|")]
        if len(words) != 4 or not all(words) or not re.fullmatch(r"#?\d+", words[3]):
            raise KnownRedError(f"{FILE}:{number}: not TEST | COMMAND AND SEED | SEEN | ISSUE")
        entries.append(Entry(words[0], words[1], words[2], int(words[3].lstrip("#"))))
    if len(entries) > MOST:
        raise KnownRedError(f"{FILE}: {len(entries)} tests, and at most {MOST} may be known to fail")
    if len({entry.test for entry in entries}) != len(entries):
        raise KnownRedError(f"{FILE}: a test stands there twice")
    return entries


def unknown(entries: list[Entry], collected: set[str]) -> list[str]:
    """The named tests that are not there. A whole file or class is no test."""
    return [entry.test for entry in entries if entry.test not in collected]


def collect(root: Path) -> set[str]:
    """The ids of all tests."""
    command = [sys.executable, "-m", "pytest", "--collect-only", "-q", "-o", "addopts="]
    done = subprocess.run(command, cwd=root, capture_output=True, text=True, check=True)
    return {line for line in done.stdout.splitlines() if "::" in line}


def main(root: Path) -> int:
    """Check the file and print what the run needs."""
    path = root / FILE
    try:
        entries = parse(path.read_text()) if path.exists() else []
        missing = unknown(entries, collect(root)) if entries else []
        if missing:
            raise KnownRedError(f"{FILE}: no such test: {', '.join(missing)}")
    except KnownRedError as error:
        print(error, file=sys.stderr)
        return 2
    for entry in entries:
        print(
            f"known red, passed over: {entry.test} (issue {entry.issue}): {entry.seen}; {entry.command}",
            file=sys.stderr,
        )
        print(f"--deselect={entry.test}")
    return 0


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1]) if len(sys.argv) > 1 else Path.cwd()))
