"""The list of tests that are known to fail: its validation, and that only the listed tests are deselected."""

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
    """Run the script on a project with one passing and one failing test and the given list."""
    (folder / "tests").mkdir(exist_ok=True)
    (folder / "tests" / "test_here.py").write_text(TESTS)
    if text is not None:
        (folder / "KNOWN-RED.txt").write_text(text)
    return subprocess.run([sys.executable, str(SCRIPT), str(folder)], capture_output=True, text=True, timeout=60)


@pytest.mark.parametrize("text", [None, "", "\n\n"])
def test_an_absent_or_empty_list_deselects_nothing(tmp_path: Path, text: str | None) -> None:
    process = run(tmp_path, text)
    assert (process.returncode, process.stdout, process.stderr) == (0, "", "")


def test_only_listed_tests_are_deselected_and_they_are_printed(tmp_path: Path) -> None:
    process = run(tmp_path, "tests/test_here.py::test_bad | pytest -k bad, seed 1 | the clock of the box | #30\n")
    assert process.returncode == 0
    assert (
        "known to fail, deselected: tests/test_here.py::test_bad (issue 30): "
        "the clock of the box; pytest -k bad, seed 1" in process.stderr
    )
    command = [sys.executable, "-m", "pytest", "-q", *process.stdout.split()]
    assert subprocess.run(command, cwd=tmp_path, capture_output=True).returncode == 0
    assert subprocess.run(command[:-1], cwd=tmp_path, capture_output=True).returncode == 1


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("tests/test_here.py::test_gone | pytest | why | 30\n", "no such test: tests/test_here.py::test_gone"),
        ("tests/test_here.py | pytest | a whole file | 30\n", "no such test: tests/test_here.py"),
        (
            "tests/test_here.py::test_bad | why | 30\n",
            "KNOWN-RED.txt:1: expected TEST | COMMAND AND SEED | SEEN | ISSUE",
        ),
        ("tests/test_here.py::test_bad\n", "KNOWN-RED.txt:1: expected TEST | COMMAND AND SEED | SEEN | ISSUE"),
        ("\ntests/test_here.py::test_bad | pytest | why | soon\n", "KNOWN-RED.txt:2: expected TEST"),
        ("tests/test_here.py::test_bad | pytest | | 30\n", "KNOWN-RED.txt:1: expected TEST"),
        (
            "tests/test_here.py::test_bad | pytest | a | 1\ntests/test_here.py::test_bad | pytest | b | 2\n",
            "a test is listed twice: tests/test_here.py::test_bad",
        ),
        (
            "".join(f"tests/test_here.py::test_{n} | pytest | why | 30\n" for n in range(4)),
            "4 tests are listed, at most 3 are allowed",
        ),
    ],
)
def test_an_invalid_list_exits_with_code_2(tmp_path: Path, text: str, message: str) -> None:
    process = run(tmp_path, text)
    assert process.returncode == 2 and message in process.stderr and process.stdout == ""


def test_three_tests_may_be_listed(known_red: ModuleType) -> None:
    assert len(known_red.parse("".join(f"t.py::t{n} | pytest | why | 1\n" for n in range(3)))) == 3


def test_the_list_of_this_project_is_valid() -> None:
    """Guards against a line whose test was removed or renamed, at which the test run refuses to start."""
    path = ROOT / "KNOWN-RED.txt"
    if path.exists():
        assert subprocess.run([sys.executable, str(SCRIPT), str(ROOT)], capture_output=True).returncode == 0
