"""``lapishaven lab``: stand-in services and trials on loopback."""

from __future__ import annotations

from typing import Annotated

import typer

from lapishaven.cli.common import fail

app = typer.Typer(help="Run stand-in services and trials on loopback.", no_args_is_help=True)


@app.command()
def fleet(
    servers: Annotated[int, typer.Option("--servers", min=1, max=64, help="Number of match servers.")] = 4,
    script: Annotated[
        str | None, typer.Option("--script", help="File of faults to inject; see docs/operators/client.md.")
    ] = None,
    catalog_port: Annotated[int, typer.Option("--catalog-port", help="Port of the stand-in catalog.")] = 7946,
    seconds: Annotated[float, typer.Option("--seconds", min=1, help="Stop after this many seconds.")] = 3600.0,
    seed: Annotated[int, typer.Option("--seed", help="Seed for machines, run times and faults.")] = 1,
) -> None:
    """Run real match servers with stand-in interpreters and a stand-in catalog until Ctrl-C."""
    from lapishaven.lab.command import fleet as start

    try:
        raise typer.Exit(start(servers, script, catalog_port, seconds, seed))
    except ValueError as error:
        fail(str(error))


@app.command()
def handover(
    mode: Annotated[
        str, typer.Option("--mode", help="upgrade, restart (without handover) or burst (SIGTERM in a burst).")
    ] = "upgrade",
    seed: Annotated[int, typer.Option("--seed", help="Seed for arrivals, classes and run times.")] = 1,
    rate: Annotated[float, typer.Option("--rate", min=1, max=500, help="Requests per second.")] = 30.0,
    seconds: Annotated[float, typer.Option("--seconds", min=2, max=600, help="Duration of the load in seconds.")] = 6.0,
    at: Annotated[
        float,
        typer.Option("--at", min=0.5, help="Time of the upgrade or SIGTERM, in seconds from the start of the load."),
    ] = 1.5,
) -> None:
    """Replace a server under load on real sockets; print the results of callers; exit 1 if any call was disturbed."""
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
        fail(f"cannot run the {mode} trial: {error.strerror or error}")
    print(json.dumps({**report.figures(), "reasons": report.verdict.reasons}))
    raise typer.Exit(0 if report.verdict.clean and not report.crashes else 1)


@app.command()
def soak(
    seeds: Annotated[str, typer.Option("--seeds", help="Seeds to run, A-B or A.")] = "1-4",
    jobs: Annotated[int, typer.Option("--jobs", min=1, max=16, help="Seeds at a time.")] = 2,
    minutes: Annotated[float, typer.Option("--minutes", min=0.1, help="Begin no seed after this many minutes.")] = 60.0,
    json_path: Annotated[str | None, typer.Option("--json", help="Write all results to this file.")] = None,
    log_folder: Annotated[str, typer.Option("--logs", help="Folder for the logs of seeds that failed.")] = "logs",
) -> None:
    """Run seeded series of signals, upgrades, kills and outages on real servers; exit 1 if any rule was broken."""
    from lapishaven.lab.soak.command import parse_seeds
    from lapishaven.lab.soak.command import soak as run_soak

    try:
        raise typer.Exit(run_soak(parse_seeds(seeds), jobs, minutes, json_path, log_folder))
    except (ValueError, OSError) as error:
        fail(str(error))
