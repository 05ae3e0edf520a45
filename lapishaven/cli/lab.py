"""Stand-ins and trials, on loopback."""

from __future__ import annotations

from typing import Annotated

import typer

from lapishaven.cli.common import fail

app = typer.Typer(help="Stand-ins to try the program against, on loopback.", no_args_is_help=True)


@app.command()
def fleet(
    servers: Annotated[int, typer.Option("--servers", min=1, max=64, help="Match servers to start.")] = 4,
    script: Annotated[
        str | None, typer.Option("--script", help="File of troubles; see docs/operators/client.md.")
    ] = None,
    catalog_port: Annotated[int, typer.Option("--catalog-port", help="Where clients ask for the list.")] = 7946,
    seconds: Annotated[float, typer.Option("--seconds", min=1, help="It stops by itself after this.")] = 3600.0,
    seed: Annotated[int, typer.Option("--seed", help="For boxes, work and troubles.")] = 1,
) -> None:
    """Start real match servers with stand-in interpreters and a catalog, until Ctrl-C."""
    from lapishaven.lab.command import fleet as start

    try:
        raise typer.Exit(start(servers, script, catalog_port, seconds, seed))
    except ValueError as error:
        fail(str(error))


@app.command()
def handover(
    mode: Annotated[
        str, typer.Option("--mode", help="upgrade, restart (the naive way) or burst (SIGTERM in one).")
    ] = "upgrade",
    seed: Annotated[int, typer.Option("--seed", help="For arrivals, classes and work.")] = 1,
    rate: Annotated[float, typer.Option("--rate", min=1, max=500, help="Requests a second.")] = 30.0,
    seconds: Annotated[float, typer.Option("--seconds", min=2, max=600, help="Of load.")] = 6.0,
    at: Annotated[float, typer.Option("--at", min=0.5, help="Seconds into the load of the upgrade or SIGTERM.")] = 1.5,
) -> None:
    """Hand a loaded server over to a new process on real sockets; print what callers met, exit 1 if not clean."""
    import asyncio
    import json

    from lapishaven.lab.handover import Spec, run
    from lapishaven.lab.handover.platform import PlatformError

    if mode not in ("upgrade", "restart", "burst"):
        fail(f"--mode is {mode!r}, not upgrade, restart or burst")
    if at >= seconds:
        fail(f"--at {at:g} is not within the {seconds:g} s of load")
    spec = Spec(mode, seed, rate, seconds, at, burst=150.0 if mode == "burst" else 0.0)  # type: ignore[arg-type]
    try:
        report = asyncio.run(run(spec))
    except PlatformError as error:
        fail(str(error))
    except OSError as error:
        fail(f"cannot start the trial: {error.strerror or error}")
    print(json.dumps({**report.figures(), "reasons": report.verdict.reasons}))
    raise typer.Exit(0 if report.verdict.clean and not report.crashes else 1)
