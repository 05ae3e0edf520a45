"""The list of tests that are known to fail: what it may hold, and that only those are passed over."""

from __future__ import annotations

import importlib.util
import subprocess
import sys
from pathlib import Path
from types import ModuleType

import pytest

ROOT = Path(__file__).parent.parent
SCRIPT = ROOT / ".ci" / "known_red.py"
TESTS = "def test_good() -> None:\n    pass\n\ndef test_bad() -> None:\n    assert False\n"


@pytest.fixture(scope="module")
def known_red() -> ModuleType:
    spec = importlib.util.spec_from_file_location("known_red", SCRIPT)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules["known_red"] = module
    spec.loader.exec_module(module)
    return module


def run(folder: Path, text: str | None) -> subprocess.CompletedProcess[str]:
    (folder / "tests").mkdir(exist_ok=True)
    (folder / "tests" / "test_here.py").write_text(TESTS)
    if text is not None:
        (folder / "KNOWN-RED.txt").write_text(text)
    return subprocess.run([sys.executable, str(SCRIPT), str(folder)], capture_output=True, text=True, timeout=60)


@pytest.mark.parametrize("text", [None, "", "\n\n"])
def test_an_absent_or_empty_list_passes_over_nothing(tmp_path: Path, text: str | None) -> None:
    done = run(tmp_path, text)
    assert (done.returncode, done.stdout, done.stderr) == (0, "", "")


def test_what_stands_there_is_passed_over_and_printed_and_no_more(tmp_path: Path) -> None:
    done = run(tmp_path, "tests/test_here.py::test_bad | pytest -k bad, seed 1 | the clock of the box | #30\n")
    assert done.returncode == 0
    assert "tests/test_here.py::test_bad (issue 30): the clock of the box; pytest -k bad, seed 1" in done.stderr
    command = [sys.executable, "-m", "pytest", "-q", *done.stdout.split()]
    assert subprocess.run(command, cwd=tmp_path, capture_output=True).returncode == 0
    assert subprocess.run(command[:-1], cwd=tmp_path, capture_output=True).returncode == 1


@pytest.mark.parametrize(
    ("text", "told"),
    [
        ("tests/test_here.py::test_gone | pytest | why | 30\n", "no such test: tests/test_here.py::test_gone"),
        ("tests/test_here.py | pytest | a whole file | 30\n", "no such test"),
        ("tests/test_here.py::test_bad | why | 30\n", "KNOWN-RED.txt:1: not TEST | COMMAND AND SEED | SEEN | ISSUE"),
        ("tests/test_here.py::test_bad\n", "KNOWN-RED.txt:1: not TEST | COMMAND AND SEED | SEEN | ISSUE"),
        ("\ntests/test_here.py::test_bad | pytest | why | soon\n", "KNOWN-RED.txt:2: not TEST"),
        ("tests/test_here.py::test_bad | pytest | | 30\n", "not TEST"),
        (
            "tests/test_here.py::test_bad | pytest | a | 1\ntests/test_here.py::test_bad | pytest | b | 2\n",
            "stands there twice",
        ),
        ("".join(f"tests/test_here.py::test_{n} | pytest | why | 30\n" for n in range(4)), "4 tests, and at most 3"),
    ],
)
def test_a_wrong_list_ends_the_run(tmp_path: Path, text: str, told: str) -> None:
    done = run(tmp_path, text)
    assert done.returncode == 2 and told in done.stderr and done.stdout == ""


def test_three_are_allowed(known_red: ModuleType) -> None:
    assert len(known_red.parse("".join(f"t.py::t{n} | pytest | why | 1\n" for n in range(3)))) == 3


def test_the_project_s_own_list_is_right() -> None:
    """Guards against a line that outlives its test; the run itself would be refused."""
    path = ROOT / "KNOWN-RED.txt"
    if path.exists():
        assert subprocess.run([sys.executable, str(SCRIPT), str(ROOT)], capture_output=True).returncode == 0
