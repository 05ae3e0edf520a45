"""The built wheel holds the whole program, and its modules import with nothing of the checkout beside them."""

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
    """The program's modules, as paths below ``root``."""
    return {str(path.relative_to(root)) for package in PACKAGES for path in (root / package).rglob("*.py")}


@pytest.fixture(scope="module")
def wheel(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """A wheel built from a copy of the sources, without a network."""
    copy, built = tmp_path_factory.mktemp("copy"), tmp_path_factory.mktemp("built")
    for package in PACKAGES:
        shutil.copytree(ROOT / package, copy / package, ignore=shutil.ignore_patterns("__pycache__"))
    shutil.copy(ROOT / "pyproject.toml", copy)
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
        str(built),
        str(copy),
    ]
    subprocess.run(command, check=True, timeout=120)
    (path,) = built.glob("*.whl")
    return path


# Guards against a package that a hand-kept list leaves out: an editable install hides that.
def test_the_wheel_has_every_module(wheel: Path) -> None:
    names = set(zipfile.ZipFile(wheel).namelist())
    assert sources(ROOT) - names == set()
    assert "lapishaven/py.typed" in names


# Guards against a module that only imports beside the checkout, or needs what the install list lacks.
def test_every_module_of_the_wheel_imports(wheel: Path, tmp_path: Path) -> None:
    zipfile.ZipFile(wheel).extractall(tmp_path / "site")
    modules = sorted(
        name.removesuffix(".py").removesuffix("/__init__").replace("/", ".")
        for name in sources(tmp_path / "site")
        if not name.endswith("__main__.py")
    )
    environ = {**os.environ, "PYTHONPATH": str(tmp_path / "site")}
    command = [sys.executable, "-c", IMPORT_ALL, str(tmp_path / "site"), *modules]
    subprocess.run(command, check=True, cwd=tmp_path, env=environ, timeout=120)
