"""The store of record."""

from __future__ import annotations

from enum import Enum
from typing import Annotated, NoReturn

import typer

from lapishaven.cli.common import Json, fail

app = typer.Typer(help="Look into the store of record.", no_args_is_help=True)
RecordFile = Annotated[str, typer.Option("--file", help="The settings of the record.")]
RECORD = "deploy/record.toml"


def _look(name: str, *words: object) -> NoReturn:
    from lapishaven.ledger import command
    from lapishaven.ledger.database import LedgerError
    from lapishaven.ledger.settings import LedgerSettingsError

    try:
        raise typer.Exit(getattr(command, name)(*words))
    except (LedgerError, LedgerSettingsError) as error:
        fail(str(error))


@app.command("audit")
def record_audit(file: RecordFile = RECORD) -> None:
    """Name every difference between effects and ledger; exit 1 if there are any."""
    _look("audit", file)


@app.command("stat")
def record_stat(file: RecordFile = RECORD, as_json: Json = False) -> None:
    """Effects by standing, and what is in doubt; exit 1 if anything is."""
    _look("stat", file, as_json)


@app.command("bill")
def record_bill(
    since: Annotated[float, typer.Option("--since", help="Unix seconds.")] = 0.0,
    until: Annotated[float, typer.Option("--until", help="Unix seconds.")] = 1e12,
    file: RecordFile = RECORD,
    as_json: Json = False,
) -> None:
    """Words by customer, of effects that ended in a span."""
    _look("bill", file, since, until, as_json)


@app.command("backup")
def record_backup(
    to: Annotated[str, typer.Argument(help="A file that is not there yet.")], file: RecordFile = RECORD
) -> None:
    """Copy the record as it is at one instant, while servers go on."""
    _look("backup", file, to)


@app.command("restore")
def record_restore(
    source: Annotated[str, typer.Argument(help="A file that `backup` made.")], file: RecordFile = RECORD
) -> None:
    """Put a backup in the place of a record that is not there, with no server running on it."""
    _look("restore", file, source)


class Rows(str, Enum):
    """The tables that can be exported."""

    EFFECT = "effect"
    LEDGER = "ledger"


@app.command("export")
def record_export(
    rows: Annotated[Rows, typer.Argument(help="Which rows.")],
    to: Annotated[str, typer.Argument(help="A CSV file that is not there yet.")],
    file: RecordFile = RECORD,
) -> None:
    """Write effects or the ledger as CSV."""
    _look("export", file, rows.value, to)
