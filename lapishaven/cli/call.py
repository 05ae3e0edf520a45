"""Calls through the client library."""

from __future__ import annotations

from typing import Annotated

import typer

from lapishaven.cli.common import fail


def call(
    cls: Annotated[str, typer.Argument(metavar="CLASS", help="The class of work.")],
    body: Annotated[str | None, typer.Argument(help="The body; else --file, else standard input.")] = None,
    file: Annotated[str | None, typer.Option("--file", help="File that holds the body.")] = None,
    settings: Annotated[str, typer.Option("--settings", help="The client's settings.")] = "deploy/client.toml",
    server: Annotated[list[str] | None, typer.Option("--server", help="HOST:PORT; may be named again.")] = None,
    catalog: Annotated[str | None, typer.Option("--catalog", help="HOST:PORT of the catalog.")] = None,
    deadline: Annotated[float | None, typer.Option("--deadline", help="Seconds for all tries together.")] = None,
    count: Annotated[int, typer.Option("--count", min=1, max=100_000, help="Calls to make.")] = 1,
    parallel: Annotated[int, typer.Option("--parallel", min=1, max=1000, help="Calls at one time.")] = 8,
    row: Annotated[str | None, typer.Option("--row", help="What a read is about, up to 16 hex digits.")] = None,
    as_json: Annotated[bool, typer.Option("--json", help="One JSON object a call.")] = False,
    log: Annotated[bool, typer.Option("--log", help="Every event of each call's life, to standard error.")] = False,
) -> None:
    """Call match servers. Exit 0: all served; 3: refused; 4: failed or expired; 5: uncertain (worst one counts)."""
    from lapishaven.client import SettingsError
    from lapishaven.client.command import CallOptions, run

    options = CallOptions(cls, body, file, deadline, count, parallel, row, as_json, log)
    try:
        raise typer.Exit(run(settings, tuple(server or ()), catalog, options))
    except SettingsError as error:
        fail(str(error))
