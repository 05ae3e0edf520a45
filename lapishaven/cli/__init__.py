"""The command line interface."""

from __future__ import annotations

import typer

import lapishaven
from lapishaven.cli import call, lab, ownership, record, serve, spread, storage

app = typer.Typer(help="The match server of Abay Lingua Memory Services.", no_args_is_help=True, add_completion=False)
app.command()(serve.serve)
app.command("check-config")(serve.check_config)
app.command()(call.call)
app.add_typer(lab.app, name="lab")
app.add_typer(storage.app, name="storage")
app.add_typer(ownership.app, name="ownership")
app.add_typer(record.app, name="record")
app.add_typer(spread.app, name="spread")


@app.command()
def version() -> None:
    """Print the version."""
    print(lapishaven.__version__)


__all__ = ["app"]
