"""The command line."""

from __future__ import annotations

import sys
from typing import Annotated, NoReturn

import typer

import lapishaven
from lapishaven import config

app = typer.Typer(
    help="The match server of Abay Lingua Memory Services.", no_args_is_help=True, add_completion=False
)
File = Annotated[str | None, typer.Option("--config", help="Configuration file; else NODE_CONFIG names it.")]

Uwsgi = Annotated[
    str | None, typer.Option("--uwsgi", help="File that turns uwsgi on; else it is off.")
]
Terms = Annotated[
    str | None, typer.Option("--contracts", help="File of contracts and budgets; else none are checked.")
]
Record = Annotated[
    str | None, typer.Option("--record", help="SQLite file for the store of record; else none is kept.")
]


def _fail(text: str) -> NoReturn:
    print(f"lapishaven: {text}", file=sys.stderr)
    raise typer.Exit(2)


def _load(path: str | None, uwsgi: str | None, terms: str | None) -> config.Files:
    try:
        return config.load_all(path, uwsgi, terms)
    except config.ConfigError as error:
        _fail(str(error))


@app.command()
def serve(path: File = None, uwsgi: Uwsgi = None, contracts: Terms = None, record: Record = None) -> None:
    """Serve until SIGTERM; SIGHUP reads the files again, SIGUSR1 prints the counters."""
    from lapishaven.counters import Counters
    from lapishaven.server import Server

    loaded, counters, store = _load(path, uwsgi, contracts), Counters(), None
    if record is not None:
        import sqlite3

        from lapishaven.store import Sqlite

        try:
            store = Sqlite(record, lambda: counters.add("store", "dropped"))
        except sqlite3.Error as error:
            _fail(f"cannot open {record}: {error}")
    try:
        server = Server(
            loaded.config, loaded.front, loaded.backend, contracts=loaded.contracts, store=store,
            counters=counters, files=lambda: config.load_all(path, uwsgi, contracts),
        )  # fmt: skip
    except OSError as error:
        _fail(f"cannot listen: {error.strerror}")
    raise typer.Exit(server.run())


@app.command("check-config")
def check_config(path: File = None, uwsgi: Uwsgi = None, contracts: Terms = None) -> None:
    """Check the files and say what they hold."""
    loaded = _load(path, uwsgi, contracts)
    name, (host, port), specs = loaded.config.name, loaded.config.listen, loaded.config.settings.classes
    print(f"{name}: listens on {host}:{port}")
    print("classes " + ", ".join(f"{c.name} ({c.effect.value}, {c.deadline:g} s)" for c in specs))
    front, backend = loaded.front, loaded.backend
    print(f"uwsgi front {front.listen if front else 'off'}, backend {backend.address if backend else 'off'}")
    print(f"contracts {'off' if loaded.contracts is None else len(loaded.contracts)}")


@app.command()
def version() -> None:
    """Print the version."""
    print(lapishaven.__version__)
