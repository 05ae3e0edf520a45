"""The modules of the admission package are small and pure."""

from __future__ import annotations

import ast
import sys
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent / "lapishaven" / "admission"
MODULES = sorted(PACKAGE.glob("*.py"))
IMPURE = {"time", "os", "socket", "select", "threading", "subprocess", "asyncio", "pathlib", "io"}


def imported(path: Path) -> set[str]:
    """The dotted names of the modules that a file imports."""
    names = set[str]()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            names.add(node.module or "")
    return names


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.name)
def test_each_module_is_small(path: Path) -> None:
    lines = path.read_text().splitlines()
    assert sum(1 for line in lines if line.strip()) <= 250
    assert max(map(len, lines), default=0) <= 120


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.name)
def test_each_module_is_pure_and_imports_no_other_package_of_the_program(path: Path) -> None:
    for name in imported(path):
        top_level = name.partition(".")[0]
        assert name.startswith("lapishaven.admission") or top_level in sys.stdlib_module_names - IMPURE, name
