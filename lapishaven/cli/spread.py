"""``lapishaven spread``: how a running server balances its load over endpoints."""

from __future__ import annotations

from typing import Annotated, NoReturn

import typer

from lapishaven.cli.common import Json, fail

app = typer.Typer(help="See how a running server spreads its attempts.", no_args_is_help=True)
Control = Annotated[str, typer.Option("--control", help="HOST:PORT of the server's control address.")]


def _run_command(name: str, *arguments: object) -> NoReturn:
    from lapishaven.load_balancing import command
    from lapishaven.load_balancing.settings import BalancingSettingsError

    try:
        raise typer.Exit(getattr(command, name)(*arguments))
    except BalancingSettingsError as error:
        fail(str(error))


@app.command("status")
def spread_status(control: Control, as_json: Json = False) -> None:
    """What the server knows of each process, and how old it is; exit 1 where one is silent or cast out."""
    _run_command("status", control, as_json)


@app.command("explain")
def spread_explain(
    control: Control, last: Annotated[int, typer.Option("--last", min=1, max=32, help="Choices.")] = 10
) -> None:
    """Why the last choices fell as they did: who was asked or kept, at what cost, and who got it."""
    _run_command("explain", control, last)
