"""The built wheel contains the whole program, and its modules can be imported without the checkout."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import zipfile
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGES = ("lapishaven",)
IMPORT_ALL = """
import importlib, sys
for name in sys.argv[2:]:
    module = importlib.import_module(name)
    assert module.__file__.startswith(sys.argv[1]), module.__file__
"""


def sources(root: Path) -> set[str]:
    """The paths of the program's modules, relative to ``root``."""
    return {str(path.relative_to(root)) for package in PACKAGES for path in (root / package).rglob("*.py")}


@pytest.fixture(scope="module")
def wheel(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """A wheel that is built from a copy of the sources, without network access."""
    source_copy, output = tmp_path_factory.mktemp("copy"), tmp_path_factory.mktemp("built")
    for package in PACKAGES:
        shutil.copytree(ROOT / package, source_copy / package, ignore=shutil.ignore_patterns("__pycache__"))
    shutil.copy(ROOT / "pyproject.toml", source_copy)
    command = [
        sys.executable,
        "-m",
        "pip",
        "wheel",
        "-q",
        "--disable-pip-version-check",
        "--no-deps",
        "--no-build-isolation",
        "--no-index",
        "-w",
        str(output),
        str(source_copy),
    ]
    subprocess.run(command, check=True, timeout=120)
    (path,) = output.glob("*.whl")
    return path


# Guards against a module that the build leaves out, which an editable install hides.
def test_the_wheel_contains_every_module(wheel: Path) -> None:
    names = set(zipfile.ZipFile(wheel).namelist())
    assert sources(ROOT) - names == set()
    assert "lapishaven/py.typed" in names


# Guards against a module that can only be imported from the checkout, or needs a dependency that is not declared.
def test_every_module_of_the_wheel_can_be_imported(wheel: Path, tmp_path: Path) -> None:
    zipfile.ZipFile(wheel).extractall(tmp_path / "site")
    modules = sorted(
        name.removesuffix(".py").removesuffix("/__init__").replace("/", ".")
        for name in sources(tmp_path / "site")
        if not name.endswith("__main__.py")
    )
    environ = {**os.environ, "PYTHONPATH": str(tmp_path / "site")}
    command = [sys.executable, "-c", IMPORT_ALL, str(tmp_path / "site"), *modules]
    subprocess.run(command, check=True, cwd=tmp_path, env=environ, timeout=120)
