"""What the commands share."""

from __future__ import annotations

import sys
from typing import Annotated, NoReturn

import typer

Json = Annotated[bool, typer.Option("--json", help="A JSON object a line.")]


def fail(text: str) -> NoReturn:
    """One plain line, and exit code 2."""
    print(f"lapishaven: {text}", file=sys.stderr)
    raise typer.Exit(2)
