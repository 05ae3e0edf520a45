"""What an operator sets for the client, with the values that hold otherwise, and the file it comes from."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, field, fields, is_dataclass
from pathlib import Path
from typing import Any, Literal

Strategy = Literal["round-robin", "least-open", "two-choices", "affinity"]
Subsetting = Literal["aperture", "rendezvous"]


class SettingsError(ValueError):
    """One plain line on what is wrong."""


@dataclass(frozen=True, slots=True)
class ClassRule:
    """What the client knows of a class of work."""

    deadline_s: float
    effect: Literal["safe", "once"] = "once"  # "once" must not run twice; unknown work is taken for such
    estimate_s: float = 0.3  # how long a try takes, until the client has seen some
    heap_kb: float = 30.0  # memory that the server books for it while it is held
    # Its place from 0 to under 1: each class has a part of it in the order of worth, the lowest first, and calls
    # are spread over that part, so that a server under load can turn away a share of them and not all or none.
    rank: float = 0.0
    rank_span: float = 0.999


@dataclass(frozen=True, slots=True)
class Retry:
    """Repeated attempts, over all calls of the process."""

    share: float = 0.08  # of first tries that may be repeated
    floor_per_s: float = 0.01  # repeats a second that are always allowed, so that a quiet client may repeat
    burst: float = 1.0  # repeats saved up at the most where traffic is thin
    tries: int = 3  # of one call, the first included
    backoff_s: float = 0.05  # the first pause is drawn from 0 to this, each further one from twice the last
    backoff_max_s: float = 1.0
    second_copies: bool = False  # of slow safe requests, out of the same budget
    second_after: float = 0.95  # the part of tries that are quicker than the time after which one is sent


@dataclass(frozen=True, slots=True)
class Connections:
    open_limit: int = 32  # requests on one connection, as the protocol has it
    each: int = 2  # connections to one server at the most
    dial_timeout_s: float = 1.0
    least: int = 3  # servers that are kept connected, and one more for every two calls a second, up to all
    dial_share: float = 0.16  # dials of the whole process, as a share of its first tries
    dial_floor_per_s: float = 0.01  # and so many more
    urgent_per_s: float = 0.5  # at least so many while calls wait and no server is connected
    urgent_debt: float = 2.0  # and so many ahead of the budget
    dial_burst: float = 1.0
    start_burst: float = 32.0  # dials at once when the process starts
    redial_s: float = 2.0  # the first pause is drawn from 0 to this, each further one from twice the last
    redial_max_s: float = 8.0
    # PROTOCOL lets a server close a connection with nothing open, and has a request that meets such a close
    # within 50 ms sent again. A killed server's close looks the same, so this is believed only of a server that
    # has told to drain; above 0, also of a connection with nothing open for so long before.
    crossing_quiet_s: float = 0.0
    drain_s: float = 3.0  # a server that leaves is not dialled again before this
    # aperture: the servers that a client lacks are dialled over the span between the batches that leave, within these
    # bounds, and over this where no pace is seen; never sooner than turn_share allows
    spread_s: float = 8.0
    spread_least_s: float = 2.0
    spread_most_s: float = 10.0
    turn_share: float = 0.1  # aperture: dials that are not urgent, as a share of this client's first tries
    away_s: float = 15.0  # aperture: with no news of a server that left, it is dialled again after this
    idle_s: float = 10.0  # a connection with nothing open is closed after this
    silence_s: float = 2.5  # with something open and nothing heard for so long, the server is asked how it is


@dataclass(frozen=True, slots=True)
class Health:
    failures: int = 5  # in a row after which a server is left out
    error_share: float = 0.5  # of its last tries that failed, after which it is left out too
    out_s: float = 2.0  # the first time; it doubles
    out_max_s: float = 30.0
    out_share: float = 0.34  # of the servers that may be left out so at one time
    probe_timeout_s: float = 1.0
    probes: bool = True  # ask with isWell before the one trial request
    # With ``watch_s`` above 0 servers are also asked on the connections that are there: one that has something of ours
    # and said nothing for so long, and one that said nothing for ``fresh_s`` before a call is sent to it. No answer
    # within ``silent_s``: the call goes elsewhere, safe ones that wait there are tried elsewhere, commits are told
    # uncertain ``uncertain_s`` later. 0: off (PROTOCOL has checks on connections of their own; this program answers on
    # any).
    watch_s: float = 0.0
    fresh_s: float = 0.5
    silent_s: float = 0.15
    uncertain_s: float = 0.6


@dataclass(frozen=True, slots=True)
class Routing:
    strategy: Strategy = "two-choices"
    # "aperture": a window of servers on a ring from the process's seat, spread evenly by ``caller`` of ``callers``;
    # "rendezvous": ``subset`` servers by rendezvous hashing, each that is lost replaced at once (before 0.2)
    subsetting: Subsetting = "aperture"
    subset: int = 16  # rendezvous: servers that one process keeps to; 0 for all
    choices: int = 2  # two-choices: servers drawn, of which the best is taken
    refused_cut: float = 0.7  # of a server's share is left after each refusal
    recover_s: float = 5.0  # in which such a cut is made good, but for a third
    bound: float = 1.25  # affinity: the load over the mean at which the next server on the ring takes over
    slow_start_s: float = 17.0  # in which a cold server comes to its full share
    slow_start_from: float = 0.24


@dataclass(frozen=True, slots=True)
class Catalog:
    poll_s: float = 1.0
    timeout_s: float = 1.0
    drop_share: float = 0.5  # of the servers that may vanish in one version before it is doubted
    confirm_s: float = 10.0  # for so long the doubted stay, unless they are found gone
    deltas: bool = True  # ask for what changed since the version held; a catalog without the history sends all
    # where the last good list is kept over a restart of the process; "" for nowhere. Written at most every
    # save_s, whole or not at all
    file: str = ""
    save_s: float = 1.0


@dataclass(frozen=True, slots=True)
class Settings:
    classes: dict[str, ClassRule]
    servers: tuple[str, ...] = ()  # HOST:PORT each, where there is no catalog
    catalog: str = ""  # HOST:PORT
    wire: Literal["jsonrpc", "uwsgi"] = "jsonrpc"
    caller: int = 0  # the number of this caller
    callers: int = 0  # how many caller processes there are, where that is known: their seats are then even
    path: str = "/match/"  # uwsgi: a request for class C has PATH_INFO = path + C
    team: str = ""  # uwsgi: whose contract it comes under
    service: str = ""
    waiting_limit: int = 10_000  # calls that wait for a server at one time
    wait_s: float = 1.0  # the longest that a call waits for a server that takes it
    retry: Retry = field(default_factory=Retry)
    connections: Connections = field(default_factory=Connections)
    health: Health = field(default_factory=Health)
    routing: Routing = field(default_factory=Routing)
    catalog_rules: Catalog = field(default_factory=Catalog)


def split_address(text: str, name: str) -> tuple[str, int]:
    """HOST:PORT as its two parts."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= 65535:
        raise SettingsError(f"{name}: {text!r} is not HOST:PORT")
    return host, int(port)


# Bounds of numbers by their name: the least, whether that itself is allowed, and the most.
_UNDER_ONE = {
    "share",
    "error_share",
    "out_share",
    "drop_share",
    "second_after",
    "slow_start_from",
    "rank",
    "refused_cut",
    "dial_share",
    "turn_share",
}
_MAY_BE_ZERO = {
    "rank_span",
    "share",
    "floor_per_s",
    "rank",
    "backoff_s",
    "redial_s",
    "subset",
    "caller",
    "slow_start_s",
    "drain_s",
    "crossing_quiet_s",
    "dial_share",
    "dial_floor_per_s",
    "callers",
    "watch_s",
}


def _check_numbers(of: Any, where: str) -> None:
    for each in fields(of):
        value, name = getattr(of, each.name), f"{where}{each.name}"
        if is_dataclass(value):
            _check_numbers(value, f"{name}.")
        elif isinstance(value, int | float) and not isinstance(value, bool):
            if value != value or value < 0 or (value == 0 and each.name not in _MAY_BE_ZERO):
                raise SettingsError(f"{name} is not a number above 0")
            if each.name in _UNDER_ONE and value >= 1:
                raise SettingsError(f"{name} is not under 1")


def check(settings: Settings) -> Settings:
    """The settings themselves, if they hold together; else ``SettingsError``."""
    if not settings.classes:
        raise SettingsError("there is no [classes.NAME]")
    for name, rule in settings.classes.items():
        _check_numbers(rule, f"classes.{name}.")
        if rule.estimate_s >= rule.deadline_s:
            raise SettingsError(f"classes.{name}.estimate_s is not under its deadline_s")
        if rule.rank + rule.rank_span > 1 or rule.rank >= 1:
            raise SettingsError(f"classes.{name}.rank and rank_span reach past 1")
        if rule.heap_kb >= 2000:
            raise SettingsError(f"classes.{name}.heap_kb is not under 2000")
    _check_numbers(settings, "")
    if bool(settings.servers) == bool(settings.catalog):
        raise SettingsError("name either servers or a catalog")
    for server in settings.servers:
        split_address(server, "servers")
    if len(set(settings.servers)) != len(settings.servers):
        raise SettingsError("servers: one is named twice")
    if settings.catalog:
        split_address(settings.catalog, "catalog")
    if settings.routing.bound <= 1:
        raise SettingsError("routing.bound is not over 1")
    rules = settings.connections
    if not rules.spread_least_s <= rules.spread_s <= rules.spread_most_s:
        raise SettingsError("connections.spread_s is not within spread_least_s and spread_most_s")
    if settings.callers and settings.caller >= settings.callers:
        raise SettingsError("caller is not under callers")
    if settings.connections.open_limit > 32:
        raise SettingsError("connections.open_limit is over the 32 that the protocol allows")
    if not settings.path.startswith("/"):
        raise SettingsError("path does not start with /")
    return settings


def from_table(data: dict[str, Any], **changes: Any) -> Settings:
    """Checked settings from a table as TOML gives it; ``changes`` stand over what it says."""
    try:
        import msgspec
    except ImportError:
        raise SettingsError("reading settings needs msgspec: install lapishaven[client]") from None
    known = {each.name for each in fields(Settings)}
    if odd := sorted(set(data) - known):
        raise SettingsError(f"unknown setting {odd[0]}")
    for name, kind in (
        ("retry", Retry),
        ("connections", Connections),
        ("health", Health),
        ("routing", Routing),
        ("catalog_rules", Catalog),
    ):
        table = data.get(name, {})
        if isinstance(table, dict) and (odd := sorted(set(table) - {each.name for each in fields(kind)})):
            raise SettingsError(f"unknown setting {name}.{odd[0]}")
    classes = data.get("classes", {})
    for name, table in classes.items() if isinstance(classes, dict) else ():
        if isinstance(table, dict) and (odd := sorted(set(table) - {e.name for e in fields(ClassRule)})):
            raise SettingsError(f"unknown setting classes.{name}.{odd[0]}")
    if not data.get("classes"):
        raise SettingsError("there is no [classes.NAME]")
    try:
        return check(msgspec.convert({**data, **changes}, Settings))
    except msgspec.ValidationError as error:
        text, _, place = str(error).partition(" - at ")
        raise SettingsError(f"{place.strip('`').removeprefix('$.') or 'settings'}: {text}") from None


def load(path: str, **changes: Any) -> Settings:
    """Checked settings from a TOML file."""
    try:
        data = tomllib.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise SettingsError(f"cannot read {path}: {getattr(error, 'strerror', None) or error}") from None
    try:
        return from_table(data, **changes)
    except SettingsError as error:
        raise SettingsError(f"{path}: {error}") from None
