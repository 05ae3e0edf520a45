"""The command line."""

from __future__ import annotations

import sys
from enum import Enum
from typing import TYPE_CHECKING, Annotated, NoReturn

import typer

import lapishaven
from lapishaven import config

if TYPE_CHECKING:
    from lapishaven.core.model import LastingKeeper
    from lapishaven.ownership.part import Part
    from lapishaven.record.keeper import Recorder
    from lapishaven.recovery import KeyedResults

app = typer.Typer(help="The match server of Abay Lingua Memory Services.", no_args_is_help=True, add_completion=False)
File = Annotated[str | None, typer.Option("--config", help="Configuration file; else NODE_CONFIG names it.")]

Uwsgi = Annotated[str | None, typer.Option("--uwsgi", help="File that turns uwsgi on; else it is off.")]
Terms = Annotated[str | None, typer.Option("--contracts", help="File of contracts and budgets; else none are checked.")]
Record = Annotated[
    str | None,
    typer.Option("--record", help="Settings of the store of record (.toml), or a SQLite file written behind."),
]


def _fail(text: str) -> NoReturn:
    print(f"lapishaven: {text}", file=sys.stderr)
    raise typer.Exit(2)


PoolsFile = Annotated[
    str | None, typer.Option("--pools", help="File of pools by class; else the module decides without them.")
]


SpreadFile = Annotated[
    str | None, typer.Option("--spread", help="File of processes that attempts are spread over; else off.")
]


def _load(
    path: str | None, uwsgi: str | None, terms: str | None, pools: str | None, spread: str | None = None
) -> config.Files:
    try:
        return config.load_all(path, uwsgi, terms, pools, spread)
    except config.ConfigError as error:
        _fail(str(error))


Kept = Annotated[
    str | None, typer.Option("--storage", help="File that has keyed results kept over restarts; else they are not.")
]


def _keeper(path: str) -> KeyedResults:
    """The keyed results of earlier lives, from the store that the file names."""
    try:
        rules = config.storage(path)
    except config.ConfigError as error:
        _fail(str(error))
    try:
        from lapishaven.recovery import KeyedResults
        from lapishaven.storage import Limits, Store, StoreError
    except ImportError:
        _fail("keeping results needs lapishaven[storage]")
    try:
        store = Store.open(rules.directory, Limits(total=int(rules.total_mb * 1024 * 1024)))
    except (StoreError, OSError) as error:
        _fail(f"cannot open {rules.directory}: {error}")
    return KeyedResults(store, rules.life_s, rules.limit)


def _recorder(path: str, name: str) -> Recorder:
    """The store of record that the file names, for this start of the server."""
    import os
    import time

    from lapishaven.record.base import Base, RecordError
    from lapishaven.record.keeper import Recorder
    from lapishaven.record.settings import RecordSettingsError, load

    try:
        rules = load(path)
        start = f"{name}:{os.getpid()}:{time.time_ns()}"
        return Recorder(Base(rules.file), start, rules.meters, rules.usual, rules.rules)
    except (RecordSettingsError, RecordError) as error:
        _fail(str(error))


Owned = Annotated[str | None, typer.Option("--ownership", help="File that has it share the fleet's duties; else off.")]


def _part(path: str, loaded: config.Files) -> Part:
    """This server's part in the fleet's duties."""
    try:
        from lapishaven.ownership.part import Part
    except ImportError:
        _fail("ownership needs lapishaven[ownership]")
    from lapishaven.ownership.settings import OwnershipError, load

    try:
        classes = [spec.name for spec in loaded.config.settings.classes]
        return Part(load(path), loaded.config.name, loaded.contracts, classes)
    except OwnershipError as error:
        _fail(str(error))


@app.command()
def serve(
    path: File = None,
    uwsgi: Uwsgi = None,
    contracts: Terms = None,
    record: Record = None,
    pools: PoolsFile = None,
    kept: Kept = None,
    ownership: Owned = None,
    spread: SpreadFile = None,
) -> None:
    """Serve until SIGTERM; SIGHUP reads the files again, SIGUSR1 prints the counters."""
    from lapishaven.counters import Counters
    from lapishaven.server import Server
    from lapishaven.signals import Signals

    signals = Signals()  # before the first caller can connect
    loaded, counters, store = _load(path, uwsgi, contracts, pools, spread), Counters(), None
    keeper: LastingKeeper | None = None
    if record is not None and record.endswith(".toml"):
        if kept is not None:
            _fail("--storage and --record both keep results: only one may")
        keeper = _recorder(record, loaded.config.name)
    elif record is not None:
        import sqlite3

        from lapishaven.store import Sqlite

        try:
            store = Sqlite(record, lambda: counters.add("store", "dropped"))
        except sqlite3.Error as error:
            _fail(f"cannot open {record}: {error}")
    if kept is not None:
        keeper = _keeper(kept)
    fleet = _part(ownership, loaded) if ownership is not None else None
    try:
        server = Server(
            loaded.config,
            loaded.front,
            loaded.backend,
            contracts=loaded.contracts,
            store=store,
            counters=counters,
            files=lambda: config.load_all(path, uwsgi, contracts, pools, spread),
            pools=loaded.pools,
            keeper=keeper,
            fleet=fleet,
            spread=loaded.spread,
        )
    except OSError as error:
        _fail(f"cannot listen: {error.strerror or error}")
    if fleet is not None:
        fleet.start()
    raise typer.Exit(server.run(signals))


@app.command("check-config")
def check_config(
    path: File = None,
    uwsgi: Uwsgi = None,
    contracts: Terms = None,
    pools: PoolsFile = None,
    kept: Kept = None,
    ownership: Owned = None,
    spread: SpreadFile = None,
    record: Record = None,
) -> None:
    """Check the files and say what they hold."""
    loaded = _load(path, uwsgi, contracts, pools, spread)
    name, (host, port), specs = loaded.config.name, loaded.config.listen, loaded.config.settings.classes
    print(f"{name}: listens on {host}:{port}")
    print("classes " + ", ".join(f"{c.name} ({c.effect.value}, {c.deadline:g} s)" for c in specs))
    front, backend = loaded.front, loaded.backend
    print(f"uwsgi front {front.listen if front else 'off'}, backend {backend.address if backend else 'off'}")
    print(f"control address {'{}:{}'.format(*loaded.config.control) if loaded.config.control else 'off'}")
    print(f"contracts {'off' if loaded.contracts is None else len(loaded.contracts)}")
    if loaded.spread is not None:
        rules_ = loaded.spread.rules
        print(
            f"spread over {len(loaded.spread.addresses)} processes, {rules_.probes} questions a choice, "
            f"silent after {rules_.silent:g} s, {loaded.spread.attempts} attempts at once"
        )
    if kept is not None:
        try:
            rules = config.storage(kept)
        except config.ConfigError as error:
            _fail(str(error))
        print(f"keyed results in {rules.directory}, for {rules.life_s:g} s, up to {rules.limit}")
    if record is not None and record.endswith(".toml"):
        from lapishaven.record.settings import RecordSettingsError
        from lapishaven.record.settings import load as load_record

        try:
            kept_in = load_record(record)
        except RecordSettingsError as error:
            _fail(str(error))
        print(f"record in {kept_in.file}, up to {kept_in.rules.most} entries waiting, meters for {len(kept_in.meters)}")
    if ownership is not None:
        from lapishaven.ownership.settings import OwnershipError
        from lapishaven.ownership.settings import load as load_ownership

        try:
            owned = load_ownership(ownership)
        except OwnershipError as error:
            _fail(str(error))
        print(f"ownership by {owned.coordinator}, lease {owned.rules.ttl:g} s, effects in {owned.receiver}")
    if loaded.pools is not None:
        for pool in loaded.pools.pools:
            print(f"pool {pool.name}: {pool.share:.0%}, up to {pool.ceiling:.0%}, {', '.join(pool.classes)}")
        if (reserve := loaded.pools.reserve) is not None:
            print(f"reserve: {reserve.share:.0%} on top, for pool {reserve.pool}")


@app.command()
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
    from lapishaven.client.command import Wanted, run

    wanted = Wanted(cls, body, file, deadline, count, parallel, row, as_json, log)
    try:
        raise typer.Exit(run(settings, tuple(server or ()), catalog, wanted))
    except SettingsError as error:
        _fail(str(error))


lab = typer.Typer(help="Stand-ins to try the program against, on loopback.", no_args_is_help=True)
app.add_typer(lab, name="lab")


@lab.command()
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
        _fail(str(error))


@lab.command()
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
        _fail(f"--mode is {mode!r}, not upgrade, restart or burst")
    if at >= seconds:
        _fail(f"--at {at:g} is not within the {seconds:g} s of load")
    spec = Spec(mode, seed, rate, seconds, at, burst=150.0 if mode == "burst" else 0.0)  # type: ignore[arg-type]
    try:
        report = asyncio.run(run(spec))
    except PlatformError as error:
        _fail(str(error))
    except OSError as error:
        _fail(f"cannot start the trial: {error.strerror or error}")
    print(json.dumps({**report.figures(), "reasons": report.verdict.reasons}))
    raise typer.Exit(0 if report.verdict.clean and not report.crashes else 1)


storage = typer.Typer(help="Look after an embedded store that nobody has open.", no_args_is_help=True)
app.add_typer(storage, name="storage")
Place = Annotated[str, typer.Argument(metavar="DIRECTORY", help="Where the store is.")]


def _storage(name: str, *words: str) -> NoReturn:
    from lapishaven.storage import StoreError, command

    try:
        raise typer.Exit(getattr(command, name)(*words))
    except StoreError as error:
        _fail(str(error))


@storage.command()
def verify(path: Place) -> None:
    """Read every byte and name what is damaged; exit 1 if anything is."""
    _storage("verify", path)


@storage.command()
def stat(path: Place) -> None:
    """Print keys, segments, bytes and the time to open as JSON."""
    _storage("stat", path)


@storage.command()
def dump(path: Place) -> None:
    """Print every key, value and expiry, a JSON object a line, bytes in hex."""
    _storage("dump", path)


@storage.command()
def compact(path: Place) -> None:
    """Free what is of no use any more."""
    _storage("compact", path)


@storage.command()
def snapshot(path: Place, target: Annotated[str, typer.Argument(help="An empty directory.")]) -> None:
    """Copy all that is there into another directory."""
    _storage("snapshot", path, target)


@storage.command()
def restore(path: Place, source: Annotated[str, typer.Argument(help="A file that `dump` wrote.")]) -> None:
    """Fill an empty store from a dump."""
    _storage("restore", path, source)


ownership_app = typer.Typer(help="See and change who owns the fleet's duties.", no_args_is_help=True)
app.add_typer(ownership_app, name="ownership")
OwnedFile = Annotated[str, typer.Option("--file", help="The settings of ownership.")]
Json = Annotated[bool, typer.Option("--json", help="A JSON object a line.")]
DutyName = Annotated[str, typer.Argument(metavar="DUTY", help="periods, budgets or restart.")]
Number = Annotated[int, typer.Argument(metavar="SHARD", min=0, help="Its number.")]
OWNERSHIP = "deploy/ownership.toml"


def _ownership(name: str, *words: object) -> NoReturn:
    from lapishaven.ownership import command
    from lapishaven.ownership.settings import OwnershipError

    try:
        raise typer.Exit(getattr(command, name)(*words))
    except OwnershipError as error:
        _fail(str(error))


@ownership_app.command("status")
def ownership_status(file: OwnedFile = OWNERSHIP, as_json: Json = False) -> None:
    """Every shard with its owner, token and what its receiver holds; exit 1 where one has no owner."""
    _ownership("status", file, as_json)


@ownership_app.command("members")
def ownership_members(file: OwnedFile = OWNERSHIP, as_json: Json = False) -> None:
    """The living members, with what they own."""
    _ownership("members", file, as_json)


@ownership_app.command("release")
def ownership_release(duty: DutyName, shard: Number, file: OwnedFile = OWNERSHIP) -> None:
    """Take a shard from its owner, for another member to claim."""
    _ownership("release", file, duty, shard)


@ownership_app.command("claim")
def ownership_claim(
    duty: DutyName,
    shard: Number,
    file: OwnedFile = OWNERSHIP,
    span: Annotated[float, typer.Option("--for", min=1, max=86_400, help="Seconds.")] = 60.0,
) -> None:
    """Hold a shard yourself, so that nobody works on it, until Ctrl-C or its time."""
    _ownership("claim", file, duty, shard, span)


@ownership_app.command("history")
def ownership_history(
    duty: Annotated[str | None, typer.Argument(help="One duty; else all.")] = None,
    last: Annotated[int, typer.Option("--last", min=1, max=100_000, help="Effects.")] = 50,
    file: OwnedFile = OWNERSHIP,
    as_json: Json = False,
) -> None:
    """The last effects that took hold, with their tokens."""
    _ownership("history", file, duty, last, as_json)


@ownership_app.command("verify")
def ownership_verify(file: OwnedFile = OWNERSHIP) -> None:
    """Check the receiver's book: order of tokens, marks, statements; exit 1 if anything does not hold."""
    _ownership("verify", file)


@ownership_app.command("permitted")
def ownership_permitted(file: OwnedFile = OWNERSHIP, as_json: Json = False) -> None:
    """Members that a rolling restart lets go now, for a supervisor that upgrades them; exit 1 if there are none."""
    _ownership("permitted", file, as_json)


@ownership_app.command("restart")
def ownership_restart(
    name: Annotated[str, typer.Argument(help="A new name for this rollout.")],
    at_once: Annotated[int, typer.Option("--at-once", min=1, help="Members away at one time at most.")] = 1,
    share: Annotated[float, typer.Option("--share", min=0.01, max=1.0, help="Of the capacity, at most.")] = 0.25,
    file: OwnedFile = OWNERSHIP,
) -> None:
    """Order a rolling restart of all members that obey."""
    _ownership("rollout", file, name, at_once, share)


@app.command()
def version() -> None:
    """Print the version."""
    print(lapishaven.__version__)


record_app = typer.Typer(help="Look into the store of record.", no_args_is_help=True)
app.add_typer(record_app, name="record")
RecordFile = Annotated[str, typer.Option("--file", help="The settings of the record.")]
RECORD = "deploy/record.toml"


def _look(name: str, *words: object) -> NoReturn:
    from lapishaven.record import command
    from lapishaven.record.base import RecordError
    from lapishaven.record.settings import RecordSettingsError

    try:
        raise typer.Exit(getattr(command, name)(*words))
    except (RecordError, RecordSettingsError) as error:
        _fail(str(error))


@record_app.command("audit")
def record_audit(file: RecordFile = RECORD) -> None:
    """Name every difference between effects and ledger; exit 1 if there are any."""
    _look("audit", file)


@record_app.command("stat")
def record_stat(file: RecordFile = RECORD, as_json: Json = False) -> None:
    """Effects by standing, and what is in doubt; exit 1 if anything is."""
    _look("stat", file, as_json)


@record_app.command("bill")
def record_bill(
    since: Annotated[float, typer.Option("--since", help="Unix seconds.")] = 0.0,
    until: Annotated[float, typer.Option("--until", help="Unix seconds.")] = 1e12,
    file: RecordFile = RECORD,
    as_json: Json = False,
) -> None:
    """Words by customer, of effects that ended in a span."""
    _look("bill", file, since, until, as_json)


@record_app.command("backup")
def record_backup(
    to: Annotated[str, typer.Argument(help="A file that is not there yet.")], file: RecordFile = RECORD
) -> None:
    """Copy the record as it is at one instant, while servers go on."""
    _look("backup", file, to)


@record_app.command("restore")
def record_restore(
    source: Annotated[str, typer.Argument(help="A file that `backup` made.")], file: RecordFile = RECORD
) -> None:
    """Put a backup in the place of a record that is not there, with no server running on it."""
    _look("restore", file, source)


class Rows(str, Enum):
    EFFECT = "effect"
    LEDGER = "ledger"


@record_app.command("export")
def record_export(
    rows: Annotated[Rows, typer.Argument(help="Which rows.")],
    to: Annotated[str, typer.Argument(help="A CSV file that is not there yet.")],
    file: RecordFile = RECORD,
) -> None:
    """Write effects or the ledger as CSV."""
    _look("export", file, rows.value, to)


spread_app = typer.Typer(help="See how a running server spreads its attempts.", no_args_is_help=True)
app.add_typer(spread_app, name="spread")
Control = Annotated[str, typer.Option("--control", help="HOST:PORT of the server's control address.")]


def _spread(name: str, *words: object) -> NoReturn:
    from lapishaven.spread import command
    from lapishaven.spread.settings import SpreadError

    try:
        raise typer.Exit(getattr(command, name)(*words))
    except SpreadError as error:
        _fail(str(error))


@spread_app.command("status")
def spread_status(control: Control, as_json: Json = False) -> None:
    """What the server knows of each process, and how old it is; exit 1 where one is silent or cast out."""
    _spread("status", control, as_json)


@spread_app.command("explain")
def spread_explain(
    control: Control, last: Annotated[int, typer.Option("--last", min=1, max=32, help="Choices.")] = 10
) -> None:
    """Why the last choices fell as they did: who was asked or kept, at what cost, and who got it."""
    _spread("explain", control, last)
