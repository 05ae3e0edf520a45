"""The command line."""

from __future__ import annotations

import sys
from typing import Annotated

import typer

import lapishaven
from lapishaven import config

app = typer.Typer(
    help="The match server of Abay Lingua Memory Services.", no_args_is_help=True, add_completion=False
)
File = Annotated[str | None, typer.Option("--config", help="Configuration file; else NODE_CONFIG names it.")]


def _load(path: str | None) -> config.Config:
    try:
        return config.load(path)
    except config.ConfigError as error:
        print(f"lapishaven: {error}", file=sys.stderr)
        raise typer.Exit(2) from None


@app.command()
def serve(path: File = None) -> None:
    """Serve until SIGTERM; SIGUSR1 prints the counters."""
    from lapishaven.server import Server

    loaded = _load(path)
    try:
        server = Server(loaded)
    except OSError as error:
        print(f"lapishaven: cannot listen on {loaded.listen}: {error.strerror}", file=sys.stderr)
        raise typer.Exit(2) from None
    raise typer.Exit(server.run())


@app.command("check-config")
def check_config(path: File = None) -> None:
    """Check the configuration and say what it holds."""
    loaded = _load(path)
    classes = ", ".join(f"{c.name} ({c.effect.value}, {c.deadline:g} s)" for c in loaded.settings.classes)
    print(f"{loaded.name}: listens on {loaded.listen[0]}:{loaded.listen[1]}; classes {classes}")


@app.command()
def version() -> None:
    """Print the version."""
    print(lapishaven.__version__)
