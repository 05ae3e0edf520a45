"""The client's settings, their defaults, and their reading from a TOML file.

A field's name is its TOML key: ``[retry] share = 0.08`` sets ``Settings.retry.share``. Names that end in ``_s`` are
in seconds, in ``_per_s`` rates per second, and in ``share`` fractions from 0 to 1.
"""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, field, fields, is_dataclass
from pathlib import Path
from typing import Any, Literal

Strategy = Literal["round-robin", "least-open", "two-choices", "affinity"]
Subsetting = Literal["aperture", "rendezvous"]

MAX_OPEN_LIMIT = 32  # PROTOCOL: requests in flight on one connection
HEAP_LIMIT_KB = 2000  # PROTOCOL: the memory that a request states is below this


class SettingsError(ValueError):
    """The settings are invalid or cannot be read. The message is a single line for the operator."""


@dataclass(frozen=True, slots=True)
class ClassRule:
    """The rules of one class of requests (``[classes.NAME]``).

    ``deadline_s``: the time that all attempts of a call have together.
    ``effect``: ``safe`` requests are idempotent; ``once`` requests must not run twice, which is the default.
    ``estimate_s``: the initial estimate of an attempt's duration, until durations have been measured.
    ``heap_kb``: memory that the server reserves for a request.
    ``rank``, ``rank_span``: calls are spread over priorities from ``rank`` to ``rank + rank_span``, within 0 to 1,
    so that an overloaded server can reject a part of a class instead of all of it or nothing. Classes of higher
    priority have higher ranks.
    """

    deadline_s: float
    effect: Literal["safe", "once"] = "once"
    estimate_s: float = 0.3
    heap_kb: float = 30.0
    rank: float = 0.0
    rank_span: float = 0.999


@dataclass(frozen=True, slots=True)
class Retry:
    """Retries and hedged requests of all calls of the process together (``[retry]``).

    ``share``: retries per first attempt.
    ``floor_per_s``: retries per second that are always allowed, for clients with little traffic.
    ``burst``: retries that may be saved up even where the traffic earns fewer.
    ``tries``: attempts of one call, the first included.
    ``backoff_s``: the first backoff is drawn from 0 to this; each further one has twice the range of the last.
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
    """Connections and dials (``[connections]``). Fields marked "aperture" apply to deterministic subsetting only.

    ``open_limit``: the maximum of requests in flight on one connection.
    ``each``: the maximum of connections to one endpoint.
    ``dial_timeout_s``: the timeout of one dial.
    ``least``: the minimum of endpoints to keep connected; one more is added for every two calls per second.
    ``dial_share``: dials of the whole process, per first attempt.
    ``dial_floor_per_s``: dials per second that are allowed in addition to that share.
    ``urgent_per_s``: the minimum of dials per second while calls wait and no endpoint is connected.
    ``urgent_debt``: urgent dials that may be made ahead of the budget.
    ``dial_burst``: dials that may be saved up.
    ``start_burst``: dials that may be made at once when the process starts.
    ``redial_s``: the first delay after a failed dial is drawn from 0 to this; each further one has twice the range.
    ``redial_max_s``: the largest range of that delay.
    ``crossing_quiet_s``: PROTOCOL lets a server close an idle connection, and has a request that meets such a close
    within 50 ms sent again. A killed server's close looks the same, so by default only the close of a server that
    announced its shutdown proves that the request was not read. With a value above 0, so does the close of a
    connection that was idle for that long before the request.
    ``drain_s``: the delay before a server that announced its shutdown is dialled again.
    ``spread_s``: aperture: the time over which dials are spread when no deploy is under way; during a deploy they are
    spread over the interval between its batches.
    ``spread_least_s``, ``spread_most_s``: aperture: bounds of that spread.
    ``turn_share``: aperture: scheduled dials (no call waits for them) per first attempt of this client.
    ``away_s``: aperture: the delay before a lost endpoint is dialled if the endpoint list has not shown its return.
    ``idle_s``: a connection that carried no request for this long is closed.
    ``silence_s``: an endpoint that owes responses and sent nothing for this long gets a health check.
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

    ``failures``: consecutive failures after which an endpoint is ejected.
    ``error_share``: the failure rate of its recent attempts at which it is ejected too.
    ``out_s``, ``out_max_s``: the first and the longest ejection; each lasts twice as long as the one before.
    ``out_share``: the fraction of the endpoints that may be ejected at the same time.
    ``probe_timeout_s``: the timeout of one health check.
    ``probes``: check an endpoint's health after its ejection, before its one trial request.
    ``watch_s``: above 0, an endpoint that has attempts in flight and sent nothing for this long is also probed on an
    open connection. PROTOCOL only provides for health checks on separate connections; lapishaven answers on any.
    ``fresh_s``: with ``watch_s``, an endpoint that sent nothing for this long is probed before a request is sent to it.
    ``silent_s``: an endpoint that has not answered a probe for this long is suspected of being unresponsive, and its
    idempotent calls are retried elsewhere.
    ``uncertain_s``: the delay after the suspicion at which calls that must not run twice become uncertain.
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

    ``strategy``: the routing strategy (``lapishaven.client.routing``).
    ``subsetting``: ``aperture`` for deterministic subsetting by ``caller`` of ``callers``; ``rendezvous`` for
    rendezvous hashing, which replaces each lost endpoint at once.
    ``subset``: rendezvous: the number of endpoints that one process uses; 0 for all.
    ``choices``: two-choices: the number of endpoints that are sampled.
    ``refused_cut``: the part of its weight that an endpoint keeps after a rejection.
    ``recover_s``: time constant with which that penalty fades.
    ``bound``: affinity: the load relative to the mean above which the next endpoint on the ring is used.
    ``slow_start_s``: the time in which a started endpoint's weight rises from ``slow_start_from`` to full weight.
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

    ``poll_s``: the interval between polls. ``timeout_s``: the timeout of one poll.
    ``drop_share``: the fraction of the endpoints that may vanish in one version before the list is doubted.
    ``confirm_s``: how long doubted endpoints are kept, unless the client itself finds them gone.
    ``deltas``: request the changes since the current version; a registry without the history sends the full list.
    ``file``: the file that keeps the last good list across restarts of the process; empty for none.
    ``save_s``: the minimum interval between writes of that file; each replaces the whole file atomically.
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

    ``classes``: the classes of requests by name.
    ``servers``: a fixed endpoint list, HOST:PORT each; or
    ``catalog``: HOST:PORT of the service registry.
    ``wire``: the protocol that the servers speak.
    ``caller``: the number of this client process; ``callers``: how many there are, or 0 if that is not known.
    ``path``: uwsgi: the prefix of PATH_INFO, which the class name follows.
    ``team``, ``service``: uwsgi: the team and service whose quota the requests are charged to.
    ``waiting_limit``: the maximum of calls that wait for an endpoint at the same time.
    ``wait_s``: the longest time that a call waits for an endpoint that accepts it.
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


def split_address(address: str, setting: str) -> tuple[str, int]:
    """Split HOST:PORT into host and port; ``setting`` is the setting that an error names."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= 65535:
        raise SettingsError(f"{setting}: {address[:100]!r} is not HOST:PORT with a port from 1 to 65535")
    return host, int(port)


_BELOW_ONE = {
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
# Settings that may be 0; every other number must be above 0.
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
    for setting in fields(table):
        value = getattr(table, setting.name)
        name = f"{prefix}{setting.name}"
        if is_dataclass(value):
            _check_numbers(value, f"{name}.")
        elif isinstance(value, int | float) and not isinstance(value, bool):
            is_nan = value != value
            if is_nan or value < 0 or (value == 0 and setting.name not in _MAY_BE_ZERO):
                raise SettingsError(
                    f"{name} = {value} must be {'at least' if setting.name in _MAY_BE_ZERO else 'above'} 0"
                )
            if setting.name in _BELOW_ONE and value >= 1:
                raise SettingsError(f"{name} = {value} must be below 1")


def check(settings: Settings) -> Settings:
    """Return the settings if they are valid and consistent; raise ``SettingsError`` otherwise."""
    _check_classes(settings)
    _check_numbers(settings, "")
    _check_endpoints(settings)
    _check_limits(settings)
    return settings


def _check_classes(settings: Settings) -> None:
    if not settings.classes:
        raise SettingsError("no class of requests is configured: at least one [classes.NAME] is required")
    for name, rule in settings.classes.items():
        _check_numbers(rule, f"classes.{name}.")
        if rule.estimate_s >= rule.deadline_s:
            raise SettingsError(
                f"classes.{name}.estimate_s = {rule.estimate_s} must be below deadline_s = {rule.deadline_s}"
            )
        if rule.rank + rule.rank_span > 1 or rule.rank >= 1:
            raise SettingsError(
                f"classes.{name}.rank = {rule.rank} must be below 1, and with rank_span = {rule.rank_span} at most 1"
            )
        if rule.heap_kb >= HEAP_LIMIT_KB:
            raise SettingsError(f"classes.{name}.heap_kb = {rule.heap_kb} must be below {HEAP_LIMIT_KB}")


def _check_endpoints(settings: Settings) -> None:
    if bool(settings.servers) == bool(settings.catalog):
        raise SettingsError(
            f"{'both servers and' if settings.catalog else 'neither servers nor'} catalog configured: "
            "exactly one is required"
        )
    for server in settings.servers:
        split_address(server, "servers")
    if len(set(settings.servers)) != len(settings.servers):
        raise SettingsError(f"servers: {max(settings.servers, key=settings.servers.count)!r} is listed twice")
    if settings.catalog:
        split_address(settings.catalog, "catalog")


def _check_limits(settings: Settings) -> None:
    if settings.routing.bound <= 1:
        raise SettingsError(f"routing.bound = {settings.routing.bound} must be above 1")
    rules = settings.connections
    if not rules.spread_least_s <= rules.spread_s <= rules.spread_most_s:
        raise SettingsError(
            f"connections.spread_s = {rules.spread_s} must be from spread_least_s = {rules.spread_least_s} "
            f"to spread_most_s = {rules.spread_most_s}"
        )
    if settings.callers and settings.caller >= settings.callers:
        raise SettingsError(f"caller = {settings.caller} must be below callers = {settings.callers}")
    if rules.open_limit > MAX_OPEN_LIMIT:
        raise SettingsError(
            f"connections.open_limit = {rules.open_limit} is over the protocol's limit of {MAX_OPEN_LIMIT}"
        )
    if not settings.path.startswith("/"):
        raise SettingsError(f"path = {settings.path[:100]!r} must start with /")


def from_table(data: dict[str, Any], **changes: Any) -> Settings:
    """Return checked settings from the tables of a TOML file; ``changes`` replace its top-level settings.

    Raises ``SettingsError`` for unknown keys and invalid values.
    """
    try:
        import msgspec
    except ImportError:
        raise SettingsError("reading client settings requires msgspec: install lapishaven[client]") from None
    _check_keys(data)
    if not data.get("classes"):
        raise SettingsError("no class of requests is configured: at least one [classes.NAME] is required")
    try:
        return check(msgspec.convert({**data, **changes}, Settings))
    except msgspec.ValidationError as error:
        message, _, location = str(error).partition(" - at ")
        raise SettingsError(f"{location.strip('`').removeprefix('$.') or 'settings'}: {message}") from None


_TABLES: dict[str, type[Any]] = {
    "retry": Retry,
    "connections": Connections,
    "health": Health,
    "routing": Routing,
    "catalog_rules": Catalog,
}


def _check_keys(data: dict[str, Any]) -> None:
    _check_table_keys(data, Settings, "")
    for name, table_type in _TABLES.items():
        _check_table_keys(data.get(name, {}), table_type, f"{name}.")
    classes = data.get("classes", {})
    if isinstance(classes, dict):
        for name, table in classes.items():
            _check_table_keys(table, ClassRule, f"classes.{name}.")


def _check_table_keys(table: Any, table_type: type[Any], prefix: str) -> None:
    """Raise ``SettingsError`` for the first unknown key. A value that is not a table is left to the type check."""
    if not isinstance(table, dict):
        return
    unknown = sorted(set(table) - {setting.name for setting in fields(table_type)})
    if unknown:
        raise SettingsError(
            f"unknown setting {prefix}{unknown[0]}; known: {', '.join(setting.name for setting in fields(table_type))}"
        )


def load(path: str, **changes: Any) -> Settings:
    """Return checked settings from a TOML file; ``changes`` replace top-level settings. Raises ``SettingsError``."""
    try:
        data = tomllib.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise SettingsError(
            f"cannot read client settings {path}: {getattr(error, 'strerror', None) or error}"
        ) from None
    try:
        return from_table(data, **changes)
    except SettingsError as error:
        raise SettingsError(f"{path}: {error}") from None
