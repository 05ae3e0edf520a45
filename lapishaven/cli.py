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

Loaded = tuple[config.Config, config.UwsgiFront | None, config.UwsgiBackend | None]
Uwsgi = Annotated[
    str | None, typer.Option("--uwsgi", help="File that turns uwsgi on; else it is off.")
]


def _load(path: str | None, uwsgi: str | None) -> Loaded:
    try:
        return config.load(path), *(config.uwsgi(uwsgi) if uwsgi else (None, None))
    except config.ConfigError as error:
        print(f"lapishaven: {error}", file=sys.stderr)
        raise typer.Exit(2) from None


@app.command()
def serve(path: File = None, uwsgi: Uwsgi = None) -> None:
    """Serve until SIGTERM; SIGUSR1 prints the counters."""
    from lapishaven.server import Server

    loaded, front, backend = _load(path, uwsgi)
    try:
        server = Server(loaded, front, backend)
    except OSError as error:
        print(f"lapishaven: cannot listen: {error.strerror}", file=sys.stderr)
        raise typer.Exit(2) from None
    raise typer.Exit(server.run())


@app.command("check-config")
def check_config(path: File = None, uwsgi: Uwsgi = None) -> None:
    """Check the configuration and say what it holds."""
    loaded, front, backend = _load(path, uwsgi)
    classes = ", ".join(f"{c.name} ({c.effect.value}, {c.deadline:g} s)" for c in loaded.settings.classes)
    print(f"{loaded.name}: listens on {loaded.listen[0]}:{loaded.listen[1]}; classes {classes}")
    print(f"uwsgi front {front.listen if front else 'off'}, backend {backend.address if backend else 'off'}")


@app.command()
def version() -> None:
    """Print the version."""
    print(lapishaven.__version__)
