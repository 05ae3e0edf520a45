"""The decision module's size, held to what its reviewers were promised."""

from pathlib import Path

MODULE = Path(__file__).parent.parent / "cometdrum" / "controller.py"


def test_the_module_is_reviewable_in_an_hour() -> None:
    lines = MODULE.read_text().splitlines()
    assert sum(1 for line in lines if line.strip()) <= 500
    assert max(map(len, lines)) <= 110


def test_the_module_names_its_interface_first() -> None:
    assert "interface.py" in MODULE.read_text().split("\n\n")[0]
