"""``lapishaven ownership``: shows and changes the owners of the fleet's duties."""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, NoReturn, ParamSpec

import typer

from lapishaven.cli.common import Json, fail

DEFAULT_FILE = "deploy/ownership.toml"

app = typer.Typer(help="Show and change the owners of the fleet's duties.", no_args_is_help=True)
SettingsFile = Annotated[str, typer.Option("--file", help="Ownership settings file.")]
DutyName = Annotated[str, typer.Argument(metavar="DUTY", help="periods, budgets or restart.")]
ShardNumber = Annotated[int, typer.Argument(metavar="SHARD", min=0, help="Number of the shard.")]

Arguments = ParamSpec("Arguments")


def _run(command: Callable[Arguments, int], *args: Arguments.args, **kwargs: Arguments.kwargs) -> NoReturn:
    """Run a command and exit with its code; an ``OwnershipError`` is printed as one line."""
    from lapishaven.ownership.settings import OwnershipError

    try:
        raise typer.Exit(command(*args, **kwargs))
    except OwnershipError as error:
        fail(str(error))


# ``ownership.command`` is imported by the commands that need it, because it imports the coordinators' optional
# libraries.
@app.command("status")
def ownership_status(file: SettingsFile = DEFAULT_FILE, as_json: Json = False) -> None:
    """Show each shard with its owner, its fencing token and the receiver's token; exit 1 if one has no owner."""
    from lapishaven.ownership import command

    _run(command.status, file, as_json)


@app.command("members")
def ownership_members(file: SettingsFile = DEFAULT_FILE, as_json: Json = False) -> None:
    """Show the live members and the shards that they own."""
    from lapishaven.ownership import command

    _run(command.members, file, as_json)


@app.command("release")
def ownership_release(duty: DutyName, shard: ShardNumber, file: SettingsFile = DEFAULT_FILE) -> None:
    """Release a shard from its owner, so that another member claims it."""
    from lapishaven.ownership import command

    _run(command.release, file, duty, shard)


@app.command("claim")
def ownership_claim(
    duty: DutyName,
    shard: ShardNumber,
    file: SettingsFile = DEFAULT_FILE,
    duration_s: Annotated[float, typer.Option("--for", min=1, max=86_400, help="Duration in seconds.")] = 60.0,
) -> None:
    """Own a shard until Ctrl-C or for a duration, so that no member works on it."""
    from lapishaven.ownership import command

    _run(command.claim, file, duty, shard, duration_s)


@app.command("history")
def ownership_history(
    duty: Annotated[str | None, typer.Argument(help="Duty to show; default: all.")] = None,
    last: Annotated[int, typer.Option("--last", min=1, max=100_000, help="Number of effects.")] = 50,
    file: SettingsFile = DEFAULT_FILE,
    as_json: Json = False,
) -> None:
    """Show the latest effects that were applied, with their fencing tokens."""
    from lapishaven.ownership import command

    _run(command.history, file, duty, last, as_json)


@app.command("verify")
def ownership_verify(file: SettingsFile = DEFAULT_FILE) -> None:
    """Verify the receiver's store: order of tokens, marks and statements; exit 1 at a violation."""
    from lapishaven.ownership import command

    _run(command.verify, file)


@app.command("permitted")
def ownership_permitted(file: SettingsFile = DEFAULT_FILE, as_json: Json = False) -> None:
    """Show the members that may restart now in a rolling restart, for their supervisor; exit 1 if there are none."""
    from lapishaven.ownership import command

    _run(command.permitted, file, as_json)


@app.command("restart")
def ownership_restart(
    name: Annotated[str, typer.Argument(help="Name of the rollout, not used before.")],
    at_once: Annotated[
        int, typer.Option("--at-once", min=1, help="Maximum number of members that restart at once.")
    ] = 1,
    share: Annotated[
        float, typer.Option("--share", min=0.01, max=1.0, help="Maximum share of the capacity that restarts at once.")
    ] = 0.25,
    file: SettingsFile = DEFAULT_FILE,
) -> None:
    """Order a rolling restart of all members that take part in it."""
    from lapishaven.ownership import command

    _run(command.rollout, file, name, at_once, share)
