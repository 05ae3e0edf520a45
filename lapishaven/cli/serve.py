"""The commands ``serve`` and ``check-config``. An invalid file is reported in one line with exit code 2."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated

import typer

from lapishaven import config
from lapishaven.cli.common import fail

if TYPE_CHECKING:
    from lapishaven.attempt_log import AttemptLog
    from lapishaven.core.ports import DurableResultStore
    from lapishaven.counters import Counters
    from lapishaven.idempotency import DurableResults
    from lapishaven.ledger.recorder import Recorder
    from lapishaven.ownership.participant import Participant

BYTES_PER_MB = 1024 * 1024
RESULT_CACHE_DIVISOR = 16  # results that the ledger keeps in memory may take 1/16 of the limit
# A file given with ``--record`` is the settings file of the ledger if it has this suffix, else the SQLite file of the
# attempt log.
LEDGER_SETTINGS_SUFFIX = ".toml"

ConfigFile = Annotated[
    str | None, typer.Option("--config", help="Configuration file; default: the path in NODE_CONFIG.")
]
UwsgiFile = Annotated[
    str | None, typer.Option("--uwsgi", help="Settings of the uwsgi frontend and backend; default: off.")
]
ContractsFile = Annotated[
    str | None,
    typer.Option("--contracts", help="File of contracts; default: requests are not checked against contracts."),
]
RecordFile = Annotated[
    str | None,
    typer.Option(
        "--record", help="Ledger settings (.toml), or a SQLite file for an asynchronous log of attempts; default: off."
    ),
]
PoolsFile = Annotated[
    str | None,
    typer.Option("--pools", help="File of pools, each a share of the cores for some classes; default: no pools."),
]
SpreadFile = Annotated[
    str | None, typer.Option("--spread", help="File of the endpoints over which attempts are balanced; default: off.")
]
StorageFile = Annotated[
    str | None,
    typer.Option(
        "--storage", help="File of the store that keeps results with an idempotency key across restarts; default: off."
    ),
]
OwnershipFile = Annotated[
    str | None,
    typer.Option("--ownership", help="Ownership settings, to share the fleet's duties as a member; default: off."),
]


def _load_files(
    path: str | None, uwsgi: str | None, contracts: str | None, pools: str | None, spread: str | None = None
) -> config.ConfigFiles:
    try:
        return config.load_files(path, uwsgi, contracts, pools, spread)
    except config.ConfigError as error:
        fail(str(error))


def _load_storage_rules(path: str) -> config.StorageRules:
    try:
        return config.load_storage_rules(path)
    except config.ConfigError as error:
        fail(str(error))


def _open_result_store(path: str) -> DurableResults:
    """Open the store that the file ``path`` configures, with the results that earlier processes stored."""
    rules = _load_storage_rules(path)
    try:
        from lapishaven.idempotency import DurableResults
        from lapishaven.storage import Limits, Store, StoreError
    except ImportError:
        fail("--storage needs optional libraries, install lapishaven[storage]")
    try:
        store = Store.open(rules.directory, Limits(total_bytes=int(rules.max_size_mb * BYTES_PER_MB)))
    except (StoreError, OSError) as error:
        fail(f"cannot open the result store {rules.directory}: {error}")
    return DurableResults(store, rules.result_ttl_s, rules.max_results)


def _open_ledger(path: str, server: config.NodeConfig) -> Recorder:
    """Open the ledger that the file ``path`` configures, under a new incarnation (the id of this process)."""
    import os
    import time

    from lapishaven.ledger.database import BUSY_TIMEOUT_S, LedgerDatabase, LedgerError
    from lapishaven.ledger.recorder import Recorder
    from lapishaven.ledger.settings import LedgerSettingsError, load_settings

    try:
        settings = load_settings(path)
        incarnation = f"{server.name}:{os.getpid()}:{time.time_ns()}"
        cache_bytes = server.memory_mb * BYTES_PER_MB // RESULT_CACHE_DIVISOR
        database = LedgerDatabase(settings.file)
        if not database.is_open:
            typer.echo(
                f"ledger {settings.file} is locked by another process; keyed requests of classes that may not run twice"
                f" are rejected until it is free, each try to open it waits up to {BUSY_TIMEOUT_S:g} s",
                err=True,
            )
        meters, default_meter = settings.meters, settings.default_meter
        return Recorder(database, incarnation, meters, default_meter, settings.backpressure, cache_bytes)
    except (LedgerSettingsError, LedgerError) as error:
        fail(str(error))


def _open_attempt_log(path: str, counters: Counters) -> AttemptLog:
    import sqlite3

    from lapishaven.attempt_log import SqliteAttemptLog

    try:
        return SqliteAttemptLog(path, lambda: counters.add("store", "dropped"))
    except sqlite3.Error as error:
        fail(f"cannot open the attempt log {path}: {error}")


@dataclass(slots=True)
class Stores:
    """The stores that the options enable."""

    attempt_log: AttemptLog | None = None
    result_store: DurableResultStore | None = None


def _open_stores(record: str | None, storage: str | None, server: config.NodeConfig, counters: Counters) -> Stores:
    stores = Stores()
    if record is not None and record.endswith(LEDGER_SETTINGS_SUFFIX):
        if storage is not None:
            fail(f"--storage {storage} and --record {record} both configure a result store, only one is allowed")
        stores.result_store = _open_ledger(record, server)
    elif record is not None:
        stores.attempt_log = _open_attempt_log(record, counters)
    if storage is not None:
        stores.result_store = _open_result_store(storage)
    return stores


def _join_fleet(path: str, files: config.ConfigFiles) -> Participant:
    """Create this server's membership in the fleet that shares duties. It takes effect with ``Participant.start``."""
    try:
        from lapishaven.ownership.participant import Participant
    except ImportError:
        fail("--ownership needs optional libraries, install lapishaven[ownership]")
    from lapishaven.ownership.settings import OwnershipError, load

    try:
        return Participant(load(path), files.config.name, files.contracts)
    except OwnershipError as error:
        fail(str(error))


def serve(
    path: ConfigFile = None,
    uwsgi: UwsgiFile = None,
    contracts: ContractsFile = None,
    record: RecordFile = None,
    pools: PoolsFile = None,
    storage: StorageFile = None,
    ownership: OwnershipFile = None,
    spread: SpreadFile = None,
) -> None:
    """Serve until SIGTERM. SIGHUP reloads the files, SIGUSR1 prints the counters."""
    from lapishaven.counters import Counters
    from lapishaven.server import Server, ServerOptions
    from lapishaven.server.signals import Signals

    signals = Signals()  # first, so that no signal is lost once callers can connect
    files = _load_files(path, uwsgi, contracts, pools, spread)
    counters = Counters()
    stores = _open_stores(record, storage, files.config, counters)
    fleet = _join_fleet(ownership, files) if ownership is not None else None
    options = ServerOptions(
        counters=counters,
        read_files=lambda: config.load_files(path, uwsgi, contracts, pools, spread),
        attempt_log=stores.attempt_log,
        result_store=stores.result_store,
        fleet=fleet,
    )
    try:
        server = Server(files, options)
    except OSError as error:
        fail(
            f"cannot listen (platform {files.config.listen}, uwsgi {files.front.listen if files.front else 'off'},"
            f" admin {files.config.control or 'off'}): {error.strerror or error}"
        )
    if fleet is not None:
        fleet.start()
    raise typer.Exit(server.run(signals))


def check_config(
    path: ConfigFile = None,
    uwsgi: UwsgiFile = None,
    contracts: ContractsFile = None,
    pools: PoolsFile = None,
    storage: StorageFile = None,
    ownership: OwnershipFile = None,
    spread: SpreadFile = None,
    record: RecordFile = None,
) -> None:
    """Validate the files and print a summary."""
    files = _load_files(path, uwsgi, contracts, pools, spread)
    _print_node(files)
    _print_load_balancing(files)
    if storage is not None:
        rules = _load_storage_rules(storage)
        print(f"keyed results in {rules.directory}, for {rules.result_ttl_s:g} s, up to {rules.max_results}")
    if record is not None and record.endswith(LEDGER_SETTINGS_SUFFIX):
        _print_ledger(record)
    if ownership is not None:
        _print_ownership(ownership)
    _print_pools(files)


def _print_node(files: config.ConfigFiles) -> None:
    node = files.config
    host, port = node.listen
    print(f"{node.name}: listens on {host}:{port}")
    classes = [f"{spec.name} ({spec.idempotency.value}, {spec.deadline:g} s)" for spec in node.settings.classes]
    print("classes " + ", ".join(classes))
    front = files.front.listen if files.front else "off"
    backend = files.backend.address if files.backend else "off"
    print(f"uwsgi front {front}, backend {backend}")
    control = "{}:{}".format(*node.control) if node.control else "off"
    print(f"control address {control}")
    print(f"contracts {'off' if files.contracts is None else len(files.contracts)}")


def _print_load_balancing(files: config.ConfigFiles) -> None:
    if files.spread is None:
        return
    rules = files.spread.rules
    print(
        f"spread over {len(files.spread.addresses)} processes, {rules.probes_per_choice} probes per choice, "
        f"silent after {rules.probe_timeout_s:g} s, {files.spread.attempts} attempts at once"
    )


def _print_ledger(path: str) -> None:
    from lapishaven.ledger.settings import LedgerSettingsError, load_settings

    try:
        settings = load_settings(path)
    except LedgerSettingsError as error:
        fail(str(error))
    limits = f"up to {settings.backpressure.max_waiting} entries waiting, meters for {len(settings.meters)}"
    print(f"record in {settings.file}, {limits}")


def _print_ownership(path: str) -> None:
    from lapishaven.ownership.settings import OwnershipError, load

    try:
        settings = load(path)
    except OwnershipError as error:
        fail(str(error))
    print(f"ownership by {settings.coordinator}, lease {settings.rules.ttl:g} s, effects in {settings.receiver}")


def _print_pools(files: config.ConfigFiles) -> None:
    if files.pools is None:
        return
    for pool in files.pools.pools:
        print(f"pool {pool.name}: {pool.share:.0%}, up to {pool.ceiling:.0%}, {', '.join(pool.classes)}")
    reserve = files.pools.reserve
    if reserve is not None:
        print(f"reserve: {reserve.share:.0%} on top, for pool {reserve.pool}")
