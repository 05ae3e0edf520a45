"""``lapishaven call``: calls match servers through the client library."""

from __future__ import annotations

from typing import Annotated

import typer

from lapishaven.cli.common import fail


def call(
    cls: Annotated[str, typer.Argument(metavar="CLASS", help="Class of the requests.")],
    body: Annotated[str | None, typer.Argument(help="Request body; default: --file, else standard input.")] = None,
    file: Annotated[str | None, typer.Option("--file", help="File with the request body.")] = None,
    settings: Annotated[str, typer.Option("--settings", help="Client settings file.")] = "deploy/client.toml",
    server: Annotated[
        list[str] | None, typer.Option("--server", help="HOST:PORT of a match server; repeatable.")
    ] = None,
    catalog: Annotated[
        str | None, typer.Option("--catalog", help="HOST:PORT of the catalog that lists servers.")
    ] = None,
    deadline: Annotated[
        float | None, typer.Option("--deadline", help="Deadline of a call in seconds, over all attempts.")
    ] = None,
    count: Annotated[int, typer.Option("--count", min=1, max=100_000, help="Number of calls.")] = 1,
    parallel: Annotated[
        int, typer.Option("--parallel", min=1, max=1000, help="Maximum number of concurrent calls.")
    ] = 8,
    row: Annotated[str | None, typer.Option("--row", help="Subject of a read, up to 16 hex digits.")] = None,
    as_json: Annotated[bool, typer.Option("--json", help="Print one JSON object per call.")] = False,
    log: Annotated[bool, typer.Option("--log", help="Print each event of each call to standard error.")] = False,
) -> None:
    """Call match servers. Exit code 0: all served; 3: refused; 4: failed or expired; 5: uncertain (the worst one)."""
    from lapishaven.client import SettingsError
    from lapishaven.client.command import CallOptions, run

    options = CallOptions(cls, body, file, deadline, count, parallel, row, as_json, log)
    try:
        raise typer.Exit(run(settings, tuple(server or ()), catalog, options))
    except SettingsError as error:
        fail(str(error))
