"""``lapishaven storage``: maintenance of an embedded store."""

from __future__ import annotations

from typing import Annotated, NoReturn

import typer

from lapishaven.cli.common import fail

app = typer.Typer(help="Maintain an embedded store that no process has open.", no_args_is_help=True)
StoreDirectory = Annotated[str, typer.Argument(metavar="DIRECTORY", help="Directory of the store.")]


def _run_command(name: str, *arguments: str) -> NoReturn:
    """Run a function of ``storage.command`` and exit with its code; a ``StoreError`` is printed as one line."""
    from lapishaven.storage import StoreError, command

    try:
        raise typer.Exit(getattr(command, name)(*arguments))
    except StoreError as error:
        fail(str(error))


@app.command()
def verify(path: StoreDirectory) -> None:
    """Read the whole store and report damage; exit 1 if there is any."""
    _run_command("verify", path)


@app.command()
def stat(path: StoreDirectory) -> None:
    """Print the number of keys, segments and bytes and the time to open the store, as JSON."""
    _run_command("stat", path)


@app.command()
def dump(path: StoreDirectory) -> None:
    """Print each key with its value and expiry, one JSON object per line, bytes in hex."""
    _run_command("dump", path)


@app.command()
def compact(path: StoreDirectory) -> None:
    """Free the space of deleted, overwritten and expired entries."""
    _run_command("compact", path)


@app.command()
def snapshot(
    path: StoreDirectory, target: Annotated[str, typer.Argument(help="Empty directory for the copy.")]
) -> None:
    """Copy the store into another directory."""
    _run_command("snapshot", path, target)


@app.command()
def restore(path: StoreDirectory, source: Annotated[str, typer.Argument(help="Output file of `dump`.")]) -> None:
    """Fill an empty store from a dump."""
    _run_command("restore", path, source)
