"""An embedded store, looked after."""

from __future__ import annotations

from typing import Annotated, NoReturn

import typer

from lapishaven.cli.common import fail

app = typer.Typer(help="Look after an embedded store that nobody has open.", no_args_is_help=True)
Place = Annotated[str, typer.Argument(metavar="DIRECTORY", help="Where the store is.")]


def _storage(name: str, *words: str) -> NoReturn:
    from lapishaven.storage import StoreError, command

    try:
        raise typer.Exit(getattr(command, name)(*words))
    except StoreError as error:
        fail(str(error))


@app.command()
def verify(path: Place) -> None:
    """Read every byte and name what is damaged; exit 1 if anything is."""
    _storage("verify", path)


@app.command()
def stat(path: Place) -> None:
    """Print keys, segments, bytes and the time to open as JSON."""
    _storage("stat", path)


@app.command()
def dump(path: Place) -> None:
    """Print every key, value and expiry, a JSON object a line, bytes in hex."""
    _storage("dump", path)


@app.command()
def compact(path: Place) -> None:
    """Free what is of no use any more."""
    _storage("compact", path)


@app.command()
def snapshot(path: Place, target: Annotated[str, typer.Argument(help="An empty directory.")]) -> None:
    """Copy all that is there into another directory."""
    _storage("snapshot", path, target)


@app.command()
def restore(path: Place, source: Annotated[str, typer.Argument(help="A file that `dump` wrote.")]) -> None:
    """Fill an empty store from a dump."""
    _storage("restore", path, source)
