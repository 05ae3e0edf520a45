"""``lapishaven spread``: how a running server balances its load over endpoints."""

from __future__ import annotations

from typing import Annotated, NoReturn

import typer

from lapishaven.cli.common import Json, fail

app = typer.Typer(help="Show how a running server balances its attempts.", no_args_is_help=True)
Control = Annotated[str, typer.Option("--control", help="HOST:PORT of the server's admin address.")]


def _run_command(name: str, *arguments: object) -> NoReturn:
    """Run a function of ``load_balancing.command`` and exit with its code; an error is printed as one line."""
    from lapishaven.load_balancing import command
    from lapishaven.load_balancing.settings import BalancingSettingsError

    try:
        raise typer.Exit(getattr(command, name)(*arguments))
    except BalancingSettingsError as error:
        fail(str(error))


@app.command("status")
def spread_status(control: Control, as_json: Json = False) -> None:
    """Show the state of each endpoint and its age; exit 1 if one is silent or ejected."""
    _run_command("status", control, as_json)


@app.command("explain")
def spread_explain(
    control: Control, last: Annotated[int, typer.Option("--last", min=1, max=32, help="Number of choices.")] = 10
) -> None:
    """Show the latest choices: the candidates with their load reports and costs, and the endpoint chosen."""
    _run_command("explain", control, last)
