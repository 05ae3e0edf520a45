"""Options and error output that all commands share."""

from __future__ import annotations

import sys
from typing import Annotated, NoReturn

import typer

Json = Annotated[bool, typer.Option("--json", help="Print one JSON object per line.")]


def fail(message: str) -> NoReturn:
    """Print one line to standard error and exit with code 2."""
    print(f"lapishaven: {message}", file=sys.stderr)
    raise typer.Exit(2)
