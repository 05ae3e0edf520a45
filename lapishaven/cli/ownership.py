"""``lapishaven ownership``: who owns the fleet's duties."""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, NoReturn, ParamSpec

import typer

from lapishaven.cli.common import Json, fail

DEFAULT_FILE = "deploy/ownership.toml"

app = typer.Typer(help="See and change who owns the fleet's duties.", no_args_is_help=True)
SettingsFile = Annotated[str, typer.Option("--file", help="The settings of ownership.")]
DutyName = Annotated[str, typer.Argument(metavar="DUTY", help="periods, budgets or restart.")]
ShardNumber = Annotated[int, typer.Argument(metavar="SHARD", min=0, help="Its number.")]

Arguments = ParamSpec("Arguments")


def _run(command: Callable[Arguments, int], *args: Arguments.args, **kwargs: Arguments.kwargs) -> NoReturn:
    """Run a command and exit with its code; ``OwnershipError`` is one plain line."""
    from lapishaven.ownership.settings import OwnershipError

    try:
        raise typer.Exit(command(*args, **kwargs))
    except OwnershipError as error:
        fail(str(error))


# The commands' module is imported only where it is used, as it brings in the libraries of the coordinators.
@app.command("status")
def ownership_status(file: SettingsFile = DEFAULT_FILE, as_json: Json = False) -> None:
    """Every shard with its owner, token and what its receiver holds; exit 1 where one has no owner."""
    from lapishaven.ownership import command

    _run(command.status, file, as_json)


@app.command("members")
def ownership_members(file: SettingsFile = DEFAULT_FILE, as_json: Json = False) -> None:
    """The living members, with what they own."""
    from lapishaven.ownership import command

    _run(command.members, file, as_json)


@app.command("release")
def ownership_release(duty: DutyName, shard: ShardNumber, file: SettingsFile = DEFAULT_FILE) -> None:
    """Take a shard from its owner, for another member to claim."""
    from lapishaven.ownership import command

    _run(command.release, file, duty, shard)


@app.command("claim")
def ownership_claim(
    duty: DutyName,
    shard: ShardNumber,
    file: SettingsFile = DEFAULT_FILE,
    span: Annotated[float, typer.Option("--for", min=1, max=86_400, help="Seconds.")] = 60.0,
) -> None:
    """Hold a shard yourself, so that nobody works on it, until Ctrl-C or its time."""
    from lapishaven.ownership import command

    _run(command.claim, file, duty, shard, span)


@app.command("history")
def ownership_history(
    duty: Annotated[str | None, typer.Argument(help="One duty; else all.")] = None,
    last: Annotated[int, typer.Option("--last", min=1, max=100_000, help="Effects.")] = 50,
    file: SettingsFile = DEFAULT_FILE,
    as_json: Json = False,
) -> None:
    """The last effects that took hold, with their tokens."""
    from lapishaven.ownership import command

    _run(command.history, file, duty, last, as_json)


@app.command("verify")
def ownership_verify(file: SettingsFile = DEFAULT_FILE) -> None:
    """Check the receiver's book: order of tokens, marks, statements; exit 1 if anything does not hold."""
    from lapishaven.ownership import command

    _run(command.verify, file)


@app.command("permitted")
def ownership_permitted(file: SettingsFile = DEFAULT_FILE, as_json: Json = False) -> None:
    """Members that a rolling restart lets go now, for a supervisor that upgrades them; exit 1 if there are none."""
    from lapishaven.ownership import command

    _run(command.permitted, file, as_json)


@app.command("restart")
def ownership_restart(
    name: Annotated[str, typer.Argument(help="A new name for this rollout.")],
    at_once: Annotated[int, typer.Option("--at-once", min=1, help="Members away at one time at most.")] = 1,
    share: Annotated[float, typer.Option("--share", min=0.01, max=1.0, help="Of the capacity, at most.")] = 0.25,
    file: SettingsFile = DEFAULT_FILE,
) -> None:
    """Order a rolling restart of all members that obey."""
    from lapishaven.ownership import command

    _run(command.rollout, file, name, at_once, share)
