"""The client's settings with their defaults, and how they are read from a TOML file.

A field's name is its TOML key: ``[retry] share = 0.08`` sets ``Settings.retry.share``. Names ending in ``_s`` are
seconds, those ending in ``_per_s`` rates per second, those ending in ``share`` fractions from 0 to 1.
"""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, field, fields, is_dataclass
from pathlib import Path
from typing import Any, Literal

Strategy = Literal["round-robin", "least-open", "two-choices", "affinity"]
Subsetting = Literal["aperture", "rendezvous"]

MAX_OPEN_LIMIT = 32  # PROTOCOL: requests in flight on one connection
HEAP_LIMIT_KB = 2000  # PROTOCOL: a request states less than this


class SettingsError(ValueError):
    """Settings are invalid or cannot be read; the message is one plain line."""


@dataclass(frozen=True, slots=True)
class ClassRule:
    """What the client knows of a class of work (``[classes.NAME]``).

    ``deadline_s``: for all attempts of a call together.
    ``effect``: ``safe`` work is idempotent; ``once`` must not run twice, as is assumed of unknown work.
    ``estimate_s``: how long an attempt takes, until some were measured.
    ``heap_kb``: memory that the server reserves for a request.
    ``rank``, ``rank_span``: calls are spread over priorities from ``rank`` to ``rank + rank_span``, within 0 to 1,
    so that an overloaded server can reject a part of a class, not all of it or nothing. Classes of higher priority
    weight have higher ranks.
    """

    deadline_s: float
    effect: Literal["safe", "once"] = "once"
    estimate_s: float = 0.3
    heap_kb: float = 30.0
    rank: float = 0.0
    rank_span: float = 0.999


@dataclass(frozen=True, slots=True)
class Retry:
    """Retries and hedged requests, over all calls of the process (``[retry]``).

    ``share``: retries per first attempt.
    ``floor_per_s``: retries per second that are allowed in any case, for clients of little traffic.
    ``burst``: retries that may be saved up, where the traffic earns less.
    ``tries``: attempts of one call, the first included.
    ``backoff_s``: the first backoff is drawn from 0 to this, each further one from twice the last range.
    ``backoff_max_s``: the largest range of a backoff.
    ``second_copies``: send hedged requests for slow idempotent calls, out of the same budget.
    ``second_after``: the fraction of attempts that are faster than one that is hedged.
    """

    share: float = 0.08
    floor_per_s: float = 0.01
    burst: float = 1.0
    tries: int = 3
    backoff_s: float = 0.05
    backoff_max_s: float = 1.0
    second_copies: bool = False
    second_after: float = 0.95


@dataclass(frozen=True, slots=True)
class Connections:
    """Connections and dials (``[connections]``). "Aperture" marks what holds for deterministic subsetting only.

    ``open_limit``: requests in flight on one connection.
    ``each``: connections to one endpoint at most.
    ``dial_timeout_s``: for one dial.
    ``least``: endpoints to keep connected, and one more for every two calls per second.
    ``dial_share``: dials of the whole process, per first attempt.
    ``dial_floor_per_s``: dials per second in addition to that share.
    ``urgent_per_s``: dials per second at least, while calls wait and nothing is connected.
    ``urgent_debt``: such dials that may be made ahead of the budget.
    ``dial_burst``: dials that may be saved up.
    ``start_burst``: dials that may be made at once when the process starts.
    ``redial_s``: the first delay after a failed dial is drawn from 0 to this, each further one from twice the range.
    ``redial_max_s``: the largest range of that delay.
    ``crossing_quiet_s``: PROTOCOL lets a server close an idle connection, and has a request that meets such a close
    within 50 ms sent again. A killed server's close looks the same, so this is believed only of a server that
    announced its shutdown; with a value above 0, also of a connection that was idle for so long before.
    ``drain_s``: a server that announced its shutdown is not dialled again before this.
    ``spread_s``: aperture: dials are spread over the interval between a deploy's batches, and over this without one.
    ``spread_least_s``, ``spread_most_s``: aperture: bounds of that spread.
    ``turn_share``: aperture: dials that no call waits for, per first attempt of this client.
    ``away_s``: aperture: an endpoint that was lost is dialled after this if the list does not show it again before.
    ``idle_s``: a connection that carried nothing for so long is closed.
    ``silence_s``: an endpoint that owes responses and sent nothing for so long gets a health check.
    """

    open_limit: int = 32
    each: int = 2
    dial_timeout_s: float = 1.0
    least: int = 3
    dial_share: float = 0.16
    dial_floor_per_s: float = 0.01
    urgent_per_s: float = 0.5
    urgent_debt: float = 2.0
    dial_burst: float = 1.0
    start_burst: float = 32.0
    redial_s: float = 2.0
    redial_max_s: float = 8.0
    crossing_quiet_s: float = 0.0
    drain_s: float = 3.0
    spread_s: float = 8.0
    spread_least_s: float = 2.0
    spread_most_s: float = 10.0
    turn_share: float = 0.1
    away_s: float = 15.0
    idle_s: float = 10.0
    silence_s: float = 2.5


@dataclass(frozen=True, slots=True)
class Health:
    """Outlier ejection, health checks and probes (``[health]``).

    ``failures``: failures in a row after which an endpoint is ejected.
    ``error_share``: failure rate of its last attempts from which on it is ejected too.
    ``out_s``, ``out_max_s``: the first and the longest ejection; each doubles the last.
    ``out_share``: endpoints that may be ejected at one time.
    ``probe_timeout_s``: for one health check.
    ``probes``: check an endpoint's health after its ejection, before its one trial request.
    ``watch_s``: above 0, endpoints are also probed on open connections: one that has attempts in flight and sent
    nothing for so long. PROTOCOL has health checks on connections of their own; lapishaven answers on any.
    ``fresh_s``: with ``watch_s``, an endpoint that sent nothing for so long is probed before a request goes there.
    ``silent_s``: without an answer to a probe for so long an endpoint is suspected: idempotent calls are retried
    elsewhere.
    ``uncertain_s``: calls that must not run twice become uncertain so long after that.
    """

    failures: int = 5
    error_share: float = 0.5
    out_s: float = 2.0
    out_max_s: float = 30.0
    out_share: float = 0.34
    probe_timeout_s: float = 1.0
    probes: bool = True
    watch_s: float = 0.0
    fresh_s: float = 0.5
    silent_s: float = 0.15
    uncertain_s: float = 0.6


@dataclass(frozen=True, slots=True)
class Routing:
    """The choice of an endpoint for each attempt, and of the subset that a process uses (``[routing]``).

    ``strategy``: see ``routing``.
    ``subsetting``: ``aperture``, deterministic subsetting by ``caller`` of ``callers``; or ``rendezvous``, rendezvous
    hashing, with each lost endpoint replaced at once.
    ``subset``: rendezvous: endpoints that one process uses; 0 for all.
    ``choices``: two-choices: endpoints that are sampled.
    ``refused_cut``: the part of its weight that an endpoint keeps after a rejection.
    ``recover_s``: time constant with which that penalty fades.
    ``bound``: affinity: the load relative to the mean from which on the next endpoint takes over.
    ``slow_start_s``: in which a started endpoint rises to its full weight, from ``slow_start_from`` of it.
    """

    strategy: Strategy = "two-choices"
    subsetting: Subsetting = "aperture"
    subset: int = 16
    choices: int = 2
    refused_cut: float = 0.7
    recover_s: float = 5.0
    bound: float = 1.25
    slow_start_s: float = 17.0
    slow_start_from: float = 0.24


@dataclass(frozen=True, slots=True)
class Catalog:
    """Polling the service registry for the endpoint list (``[catalog_rules]``).

    ``poll_s``: between two polls. ``timeout_s``: for one poll.
    ``drop_share``: of the endpoints that may vanish in one version before the list is doubted.
    ``confirm_s``: for so long doubted endpoints stay, unless the client finds them gone.
    ``deltas``: ask for what changed since the version held; a registry without the history sends the full list.
    ``file``: where the last good list is kept over a restart of the process; empty for nowhere.
    ``save_s``: between two writes of that file at least; each replaces the whole file atomically.
    """

    poll_s: float = 1.0
    timeout_s: float = 1.0
    drop_share: float = 0.5
    confirm_s: float = 10.0
    deltas: bool = True
    file: str = ""
    save_s: float = 1.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of a client.

    ``classes``: the classes of work by name.
    ``servers``: a fixed endpoint list, HOST:PORT each; or
    ``catalog``: HOST:PORT of the service registry.
    ``wire``: the protocol that the servers speak.
    ``caller``: the number of this client process; ``callers``: how many there are, or 0 if that is not known.
    ``path``: uwsgi: a request for class C has PATH_INFO = path + C.
    ``team``, ``service``: uwsgi: whose quota the requests come under.
    ``waiting_limit``: calls that may wait for an endpoint at one time.
    ``wait_s``: the longest that a call waits for an endpoint that accepts it.
    """

    classes: dict[str, ClassRule]
    servers: tuple[str, ...] = ()
    catalog: str = ""
    wire: Literal["jsonrpc", "uwsgi"] = "jsonrpc"
    caller: int = 0
    callers: int = 0
    path: str = "/match/"
    team: str = ""
    service: str = ""
    waiting_limit: int = 10_000
    wait_s: float = 1.0
    retry: Retry = field(default_factory=Retry)
    connections: Connections = field(default_factory=Connections)
    health: Health = field(default_factory=Health)
    routing: Routing = field(default_factory=Routing)
    catalog_rules: Catalog = field(default_factory=Catalog)


def split_address(text: str, name: str) -> tuple[str, int]:
    """HOST:PORT as host and port; ``name`` is the setting that an error names."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= 65535:
        raise SettingsError(f"{name}: {text!r} is not HOST:PORT")
    return host, int(port)


# Settings by name whose value must be below 1, and those that may be 0; every other number must be above 0.
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


def _check_numbers(table: Any, prefix: str) -> None:
    for each in fields(table):
        value = getattr(table, each.name)
        name = f"{prefix}{each.name}"
        if is_dataclass(value):
            _check_numbers(value, f"{name}.")
        elif isinstance(value, int | float) and not isinstance(value, bool):
            is_nan = value != value
            if is_nan or value < 0 or (value == 0 and each.name not in _MAY_BE_ZERO):
                raise SettingsError(f"{name} is not a number above 0")
            if each.name in _UNDER_ONE and value >= 1:
                raise SettingsError(f"{name} is not under 1")


def check(settings: Settings) -> Settings:
    """Return the settings if they are valid and consistent; raise ``SettingsError`` otherwise."""
    _check_classes(settings)
    _check_numbers(settings, "")
    _check_endpoints(settings)
    _check_limits(settings)
    return settings


def _check_classes(settings: Settings) -> None:
    if not settings.classes:
        raise SettingsError("there is no [classes.NAME]")
    for name, rule in settings.classes.items():
        _check_numbers(rule, f"classes.{name}.")
        if rule.estimate_s >= rule.deadline_s:
            raise SettingsError(f"classes.{name}.estimate_s is not under its deadline_s")
        if rule.rank + rule.rank_span > 1 or rule.rank >= 1:
            raise SettingsError(f"classes.{name}.rank and rank_span reach past 1")
        if rule.heap_kb >= HEAP_LIMIT_KB:
            raise SettingsError(f"classes.{name}.heap_kb is not under {HEAP_LIMIT_KB}")


def _check_endpoints(settings: Settings) -> None:
    if bool(settings.servers) == bool(settings.catalog):
        raise SettingsError("name either servers or a catalog")
    for server in settings.servers:
        split_address(server, "servers")
    if len(set(settings.servers)) != len(settings.servers):
        raise SettingsError("servers: one is named twice")
    if settings.catalog:
        split_address(settings.catalog, "catalog")


def _check_limits(settings: Settings) -> None:
    if settings.routing.bound <= 1:
        raise SettingsError("routing.bound is not over 1")
    rules = settings.connections
    if not rules.spread_least_s <= rules.spread_s <= rules.spread_most_s:
        raise SettingsError("connections.spread_s is not within spread_least_s and spread_most_s")
    if settings.callers and settings.caller >= settings.callers:
        raise SettingsError("caller is not under callers")
    if rules.open_limit > MAX_OPEN_LIMIT:
        raise SettingsError(f"connections.open_limit is over the {MAX_OPEN_LIMIT} that the protocol allows")
    if not settings.path.startswith("/"):
        raise SettingsError("path does not start with /")


def from_table(data: dict[str, Any], **changes: Any) -> Settings:
    """Checked settings from the tables of a TOML file; ``changes`` replace top-level settings in it.

    Raises ``SettingsError`` for unknown keys and invalid values.
    """
    try:
        import msgspec
    except ImportError:
        raise SettingsError("reading settings needs msgspec: install lapishaven[client]") from None
    _check_keys(data)
    if not data.get("classes"):
        raise SettingsError("there is no [classes.NAME]")
    try:
        return check(msgspec.convert({**data, **changes}, Settings))
    except msgspec.ValidationError as error:
        text, _, place = str(error).partition(" - at ")
        raise SettingsError(f"{place.strip('`').removeprefix('$.') or 'settings'}: {text}") from None


_TABLES: dict[str, type[Any]] = {
    "retry": Retry,
    "connections": Connections,
    "health": Health,
    "routing": Routing,
    "catalog_rules": Catalog,
}


def _check_keys(data: dict[str, Any]) -> None:
    _check_table_keys(data, Settings, "")
    for name, kind in _TABLES.items():
        _check_table_keys(data.get(name, {}), kind, f"{name}.")
    classes = data.get("classes", {})
    if isinstance(classes, dict):
        for name, table in classes.items():
            _check_table_keys(table, ClassRule, f"classes.{name}.")


def _check_table_keys(table: Any, kind: type[Any], prefix: str) -> None:
    """Raise for the first unknown key; what is no table at all is left to the type check."""
    if not isinstance(table, dict):
        return
    unknown = sorted(set(table) - {each.name for each in fields(kind)})
    if unknown:
        raise SettingsError(f"unknown setting {prefix}{unknown[0]}")


def load(path: str, **changes: Any) -> Settings:
    """Checked settings from a TOML file; ``changes`` replace top-level settings. Raises ``SettingsError``."""
    try:
        data = tomllib.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise SettingsError(f"cannot read {path}: {getattr(error, 'strerror', None) or error}") from None
    try:
        return from_table(data, **changes)
    except SettingsError as error:
        raise SettingsError(f"{path}: {error}") from None
