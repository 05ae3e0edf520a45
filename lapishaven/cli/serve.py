"""The server's own commands: serve, and a check of its files."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import typer

from lapishaven import config
from lapishaven.cli.common import fail

if TYPE_CHECKING:
    from lapishaven.core.ports import DurableResultStore
    from lapishaven.idempotency import DurableResults
    from lapishaven.ledger.recorder import Recorder
    from lapishaven.ownership.participant import Participant

File = Annotated[str | None, typer.Option("--config", help="Configuration file; else NODE_CONFIG names it.")]

Uwsgi = Annotated[str | None, typer.Option("--uwsgi", help="File that turns uwsgi on; else it is off.")]
Terms = Annotated[str | None, typer.Option("--contracts", help="File of contracts and budgets; else none are checked.")]
Record = Annotated[
    str | None,
    typer.Option("--record", help="Settings of the store of record (.toml), or a SQLite file written behind."),
]


PoolsFile = Annotated[
    str | None, typer.Option("--pools", help="File of pools by class; else the module decides without them.")
]


SpreadFile = Annotated[
    str | None, typer.Option("--spread", help="File of processes that attempts are spread over; else off.")
]


def _load(
    path: str | None, uwsgi: str | None, terms: str | None, pools: str | None, spread: str | None = None
) -> config.ConfigFiles:
    try:
        return config.load_files(path, uwsgi, terms, pools, spread)
    except config.ConfigError as error:
        fail(str(error))


Kept = Annotated[
    str | None, typer.Option("--storage", help="File that has keyed results kept over restarts; else they are not.")
]


def _keeper(path: str) -> DurableResults:
    """The keyed results of earlier lives, from the store that the file names."""
    try:
        rules = config.load_storage_rules(path)
    except config.ConfigError as error:
        fail(str(error))
    try:
        from lapishaven.idempotency import DurableResults
        from lapishaven.storage import Limits, Store, StoreError
    except ImportError:
        fail("keeping results needs lapishaven[storage]")
    try:
        store = Store.open(rules.directory, Limits(total_bytes=int(rules.max_size_mb * 1024 * 1024)))
    except (StoreError, OSError) as error:
        fail(f"cannot open {rules.directory}: {error}")
    return DurableResults(store, rules.result_ttl, rules.max_results)


def _recorder(path: str, name: str) -> Recorder:
    """The store of record that the file names, for this start of the server."""
    import os
    import time

    from lapishaven.ledger.database import LedgerDatabase, LedgerError
    from lapishaven.ledger.recorder import Recorder
    from lapishaven.ledger.settings import LedgerSettingsError, load_settings

    try:
        rules = load_settings(path)
        start = f"{name}:{os.getpid()}:{time.time_ns()}"
        return Recorder(LedgerDatabase(rules.file), start, rules.meters, rules.default_meter, rules.backpressure)
    except (LedgerSettingsError, LedgerError) as error:
        fail(str(error))


Owned = Annotated[str | None, typer.Option("--ownership", help="File that has it share the fleet's duties; else off.")]


def _part(path: str, loaded: config.ConfigFiles) -> Participant:
    """This server's part in the fleet's duties."""
    try:
        from lapishaven.ownership.participant import Participant
    except ImportError:
        fail("ownership needs lapishaven[ownership]")
    from lapishaven.ownership.settings import OwnershipError, load

    try:
        classes = [spec.name for spec in loaded.config.settings.classes]
        return Participant(load(path), loaded.config.name, loaded.contracts, classes)
    except OwnershipError as error:
        fail(str(error))


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
    from lapishaven.server import Server, ServerOptions
    from lapishaven.server.signals import Signals

    signals = Signals()  # before the first caller can connect
    loaded, counters, store = _load(path, uwsgi, contracts, pools, spread), Counters(), None
    keeper: DurableResultStore | None = None
    if record is not None and record.endswith(".toml"):
        if kept is not None:
            fail("--storage and --record both keep results: only one may")
        keeper = _recorder(record, loaded.config.name)
    elif record is not None:
        import sqlite3

        from lapishaven.attempt_log import SqliteAttemptLog

        try:
            store = SqliteAttemptLog(record, lambda: counters.add("store", "dropped"))
        except sqlite3.Error as error:
            fail(f"cannot open {record}: {error}")
    if kept is not None:
        keeper = _keeper(kept)
    fleet = _part(ownership, loaded) if ownership is not None else None
    try:
        options = ServerOptions(
            counters=counters,
            read_files=lambda: config.load_files(path, uwsgi, contracts, pools, spread),
            attempt_log=store,
            result_store=keeper,
            fleet=fleet,
        )
        server = Server(loaded, options)
    except OSError as error:
        fail(f"cannot listen: {error.strerror or error}")
    if fleet is not None:
        fleet.start()
    raise typer.Exit(server.run(signals))


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
    print("classes " + ", ".join(f"{c.name} ({c.idempotency.value}, {c.deadline:g} s)" for c in specs))
    front, backend = loaded.front, loaded.backend
    print(f"uwsgi front {front.listen if front else 'off'}, backend {backend.address if backend else 'off'}")
    print(f"control address {'{}:{}'.format(*loaded.config.control) if loaded.config.control else 'off'}")
    print(f"contracts {'off' if loaded.contracts is None else len(loaded.contracts)}")
    if loaded.spread is not None:
        rules_ = loaded.spread.rules
        print(
            f"spread over {len(loaded.spread.addresses)} processes, {rules_.probes_per_choice} questions a choice, "
            f"silent after {rules_.probe_timeout_s:g} s, {loaded.spread.attempts} attempts at once"
        )
    if kept is not None:
        try:
            rules = config.load_storage_rules(kept)
        except config.ConfigError as error:
            fail(str(error))
        print(f"keyed results in {rules.directory}, for {rules.result_ttl:g} s, up to {rules.max_results}")
    if record is not None and record.endswith(".toml"):
        from lapishaven.ledger.settings import LedgerSettingsError
        from lapishaven.ledger.settings import load_settings as load_record

        try:
            kept_in = load_record(record)
        except LedgerSettingsError as error:
            fail(str(error))
        limits = f"up to {kept_in.backpressure.max_waiting} entries waiting, meters for {len(kept_in.meters)}"
        print(f"record in {kept_in.file}, {limits}")
    if ownership is not None:
        from lapishaven.ownership.settings import OwnershipError
        from lapishaven.ownership.settings import load as load_ownership

        try:
            owned = load_ownership(ownership)
        except OwnershipError as error:
            fail(str(error))
        print(f"ownership by {owned.coordinator}, lease {owned.rules.ttl:g} s, effects in {owned.receiver}")
    if loaded.pools is not None:
        for pool in loaded.pools.pools:
            print(f"pool {pool.name}: {pool.share:.0%}, up to {pool.ceiling:.0%}, {', '.join(pool.classes)}")
        if (reserve := loaded.pools.reserve) is not None:
            print(f"reserve: {reserve.share:.0%} on top, for pool {reserve.pool}")
