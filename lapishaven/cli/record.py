"""``lapishaven record``: inspects and copies the ledger, the store of record."""

from __future__ import annotations

from enum import Enum
from typing import Annotated, NoReturn

import typer

from lapishaven.cli.common import Json, fail

app = typer.Typer(help="Inspect and copy the ledger, the store of record.", no_args_is_help=True)
RecordFile = Annotated[str, typer.Option("--file", help="Ledger settings file.")]
DEFAULT_FILE = "deploy/record.toml"


def _run_command(name: str, *arguments: object) -> NoReturn:
    """Run a function of ``ledger.command`` and exit with its code; an error is printed as one line."""
    from lapishaven.ledger import command
    from lapishaven.ledger.database import LedgerError
    from lapishaven.ledger.settings import LedgerSettingsError

    try:
        raise typer.Exit(getattr(command, name)(*arguments))
    except (LedgerError, LedgerSettingsError) as error:
        fail(str(error))


@app.command("audit")
def record_audit(file: RecordFile = DEFAULT_FILE) -> None:
    """Print each difference between effects and charges; exit 1 if there are any."""
    _run_command("audit", file)


@app.command("stat")
def record_stat(file: RecordFile = DEFAULT_FILE, as_json: Json = False) -> None:
    """Count effects by state, and the uncertain ones; exit 1 if any effect is uncertain."""
    _run_command("stat", file, as_json)


@app.command("bill")
def record_bill(
    since: Annotated[float, typer.Option("--since", help="Start of the period in Unix seconds.")] = 0.0,
    until: Annotated[float, typer.Option("--until", help="End of the period in Unix seconds.")] = 1e12,
    file: RecordFile = DEFAULT_FILE,
    as_json: Json = False,
) -> None:
    """Print the words per customer for effects that ended between --since and --until."""
    _run_command("bill", file, since, until, as_json)


@app.command("backup")
def record_backup(
    to: Annotated[str, typer.Argument(help="Path of the backup; must not exist.")], file: RecordFile = DEFAULT_FILE
) -> None:
    """Copy a consistent snapshot of the ledger while servers keep running."""
    _run_command("backup", file, to)


@app.command("restore")
def record_restore(
    source: Annotated[str, typer.Argument(help="Backup file.")], file: RecordFile = DEFAULT_FILE
) -> None:
    """Restore a backup. The ledger file must not exist, and no server may use it."""
    _run_command("restore", file, source)


class ExportTable(str, Enum):
    """The tables that can be exported."""

    EFFECT = "effect"
    LEDGER = "ledger"


@app.command("export")
def record_export(
    rows: Annotated[ExportTable, typer.Argument(help="Table to export.")],
    to: Annotated[str, typer.Argument(help="Path of the CSV file; must not exist.")],
    file: RecordFile = DEFAULT_FILE,
) -> None:
    """Export the effects or the charges as CSV."""
    _run_command("export", file, rows.value, to)
