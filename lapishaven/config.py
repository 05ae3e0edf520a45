"""The configuration, read from the file that NODE_CONFIG names and checked before anything starts."""

from __future__ import annotations

import json
import os
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

from lapishaven.admission import Settings
from lapishaven.core.contracts import Contract
from lapishaven.simulator import codec

if TYPE_CHECKING:
    from lapishaven.load_balancing.settings import BalancingSettings as SpreadSettings
    from lapishaven.pools.settings import PoolSettings

Address = tuple[str, int]


class ConfigError(ValueError):
    """One plain line on what is wrong."""


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    interpreter: Address
    catalog: Address
    seed: int
    stop_span: float  # seconds from SIGTERM to SIGKILL
    descriptors: int
    memory_mb: int
    settings: Settings
    gauges: tuple[str, ...]
    control: Address | None = None  # the second address: HTTP/1.1, readyz and metrics
    inherited: int | None = None  # the descriptor of a listening socket that the platform holds for callers


@dataclass(frozen=True, slots=True)
class UwsgiFrontendConfig:
    listen: Address
    path: str
    held_kb: float
    load: bool = False  # whether it says its load: with each answer, and to questions on the same port over UDP


@dataclass(frozen=True, slots=True)
class UwsgiBackendConfig:
    address: Address
    path: str


def address(value: Any, name: str) -> Address:
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ConfigError(f"{name} is not HOST:PORT")
    return host, int(port)


def _positive(data: Mapping[str, Any], name: str) -> float:
    value = data.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float) or not value > 0:
        raise ConfigError(f"{name} is not a number above 0")
    return float(value)


def parse(text: str, environ: Mapping[str, str] | None = None) -> Config:
    """A checked configuration from its JSON text; ``NODE_CONTROL`` and ``NODE_INHERITED_FD`` in ``environ``
    stand before what the file says of them."""
    environ = environ or {}
    try:
        data = json.loads(text)
    except ValueError:
        raise ConfigError("the configuration is not JSON") from None
    if not isinstance(data, dict):
        raise ConfigError("the configuration is not an object")
    limits = data.get("limits")
    if not isinstance(limits, dict):
        raise ConfigError("limits is not an object")
    name, seed = data.get("name"), data.get("seed")
    if not isinstance(name, str) or not name or not name.isprintable() or set(name) & set(" /?#"):
        raise ConfigError("name is not a plain word")
    try:
        number = int(seed, 16) if isinstance(seed, str) else int(_positive(data, "seed"))
    except ValueError:
        raise ConfigError("seed is not a hex number") from None
    try:
        settings, gauges = codec.settings(json.dumps(data.get("settings")).encode())
    except codec.WireError as error:
        raise ConfigError(str(error).replace("BORN profile-data: ", "settings: ")) from None
    names = [spec.name for spec in settings.classes]
    for n, spec in enumerate(settings.classes):
        if not spec.name or not spec.name.isprintable():
            raise ConfigError(f"settings: profiles[{n}].name is not a plain word")
        if not spec.deadline > 0 or not spec.latency_objective > 0:
            raise ConfigError(f"settings: profiles[{n}] has an aim or a deadline that is no number above 0")
    if len(set(names)) != len(names):
        raise ConfigError("settings: two profiles have one name")
    descriptors = int(_positive(limits, "sockets"))
    if descriptors < 64:
        raise ConfigError("limits.sockets is under 64")
    return Config(
        name=name,
        listen=address(data.get("listen"), "listen"),
        interpreter=address(data.get("vm"), "vm"),
        catalog=address(data.get("directory"), "directory"),
        seed=number,
        stop_span=_positive(data, "stop_ms") / 1000,
        descriptors=descriptors,
        memory_mb=int(_positive(limits, "memory_mb")),
        settings=settings,
        gauges=gauges,
        control=_control(environ.get("NODE_CONTROL") or data.get("control")),
        inherited=_inherited(environ.get("NODE_INHERITED_FD")),
    )


def _control(value: Any) -> Address | None:
    return None if value in (None, "") else address(value, "control")


def _inherited(value: str | None) -> int | None:
    if not value:
        return None
    if not value.isdigit() or int(value) < 3:
        raise ConfigError("NODE_INHERITED_FD is not a descriptor number of 3 or more")
    return int(value)


def renumbered(old: Settings, new: Settings) -> Settings:
    """The settings of a reload with the classes numbered as before: those kept at their numbers with their new
    figures, new ones last, dropped ones still listed (callers can no longer name them). ``ConfigError`` if the
    tenants changed, which only a restart does.
    """
    if new.tenants != old.tenants:
        raise ConfigError("settings: the tenants differ, which only a restart changes")
    fresh = {spec.name: spec for spec in new.classes}
    kept = tuple(fresh.pop(spec.name, spec) for spec in old.classes)
    return replace(new, classes=kept + tuple(fresh.values()))


def load(path: str | None = None, environ: Mapping[str, str] = os.environ) -> Config:
    """The configuration at ``path``, or where NODE_CONFIG says."""
    where = path or environ.get("NODE_CONFIG")
    if not where:
        raise ConfigError("NODE_CONFIG is not set and no file was named")
    try:
        text = Path(where).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"cannot read {where}: {getattr(error, 'strerror', None) or error}") from None
    return parse(text, environ)


@dataclass(frozen=True, slots=True)
class Files:
    """All that the files of one start, or one reload, hold."""

    config: Config
    front: UwsgiFrontendConfig | None = None
    backend: UwsgiBackendConfig | None = None
    contracts: list[Contract] | None = None
    pools: PoolSettings | None = None
    spread: SpreadSettings | None = None


def load_all(
    path: str | None = None,
    uwsgi_file: str | None = None,
    terms: str | None = None,
    pools: str | None = None,
    spread: str | None = None,
) -> Files:
    """Every file that a command names, checked against the others."""
    config = load(path)
    front, backend = uwsgi(uwsgi_file) if uwsgi_file else (None, None)
    if spread and backend:
        raise ConfigError(f"{uwsgi_file} has a backend, and {spread} names several: only one may")
    routes = {"interpreter"} | ({"uwsgi"} if backend or spread else set())
    terms_there = contracts(terms, config.settings, routes) if terms else None
    return Files(
        config,
        front,
        backend,
        terms_there,
        _pools(pools, config.settings) if pools else None,
        _spread(spread) if spread else None,
    )


def _spread(path: str) -> SpreadSettings:
    from lapishaven.load_balancing import settings as spread

    try:
        return spread.load_settings(path)
    except spread.BalancingSettingsError as error:
        raise ConfigError(str(error)) from None


def _pools(path: str, settings: Settings) -> PoolSettings:
    from lapishaven.pools import settings as pools

    try:
        return pools.load(path, [spec.name for spec in settings.classes], settings.cores)
    except pools.PoolsError as error:
        raise ConfigError(str(error)) from None


@dataclass(frozen=True, slots=True)
class StorageRules:
    """Where keyed results are kept, and how many for how long."""

    directory: str
    life_s: float
    total_mb: float
    limit: int


def storage(path: str) -> StorageRules:
    """The checked settings of a storage file."""
    data = _toml(path)
    keys = {"directory", "life_s", "total_mb", "limit"}
    if set(data) != keys:
        raise ConfigError(f"{path}: it needs exactly {', '.join(sorted(keys))}")
    if not isinstance(data["directory"], str) or not data["directory"].startswith("/"):
        raise ConfigError(f"{path}: directory is no path from the root")
    try:
        life, total, limit = (_positive(data, name) for name in ("life_s", "total_mb", "limit"))
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None
    if life < 900:
        raise ConfigError(f"{path}: life_s is under the 900 s for which a try may return")
    return StorageRules(data["directory"], life, total, int(limit))


def _toml(path: str) -> dict[str, Any]:
    try:
        return tomllib.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise ConfigError(f"cannot read {path}: {getattr(error, 'strerror', None) or error}") from None


def contracts(path: str, settings: Settings, routes: set[str]) -> list[Contract]:
    """The contracts in a project file, checked against the classes and the backends that are there."""
    classes = {spec.name: (n, spec.deadline) for n, spec in enumerate(settings.classes)}
    rows = _toml(path).get("contract")
    if not isinstance(rows, list) or not rows:
        raise ConfigError(f"{path}: there is no [[contract]]")
    found: dict[tuple[str, str, int], Contract] = {}
    for n, row in enumerate(rows, 1):
        where = f"{path}: contract {n}"
        if set(row) != {"team", "service", "class", "deadline_s", "route", "rate", "burst"}:
            raise ConfigError(f"{where} needs exactly team, service, class, deadline_s, route, rate, burst")
        if row["class"] not in classes:
            raise ConfigError(f"{where}: no class {row['class']!r}")
        if row["route"] not in routes:
            raise ConfigError(f"{where}: no backend {row['route']!r} is configured")
        cls, deadline = classes[row["class"]]
        try:
            span, rate, burst = (_positive(row, key) for key in ("deadline_s", "rate", "burst"))
        except ConfigError as error:
            raise ConfigError(f"{where}: {error}") from None
        if span > deadline or burst < 1:
            raise ConfigError(f"{where}: deadline_s is past the class's {deadline:g}, or burst is under 1")
        contract = Contract(str(row["team"]), str(row["service"]), cls, span, row["route"], rate, burst)
        if found.setdefault((contract.team, contract.service, cls), contract) is not contract:
            raise ConfigError(f"{where}: team, service and class have a contract already")
    return list(found.values())


def uwsgi(path: str) -> tuple[UwsgiFrontendConfig | None, UwsgiBackendConfig | None]:
    """The uwsgi front and backend that a project file names; a missing table leaves that side off."""
    data = _toml(path)
    if odd := set(data) - {"front", "backend"}:
        raise ConfigError(f"{path}: unknown table {sorted(odd)[0]}")
    front, backend = data.get("front"), data.get("backend")
    for name, table, keys in (
        ("front", front, {"listen", "path", "held_kb"}),
        ("backend", backend, {"address", "path"}),
    ):
        if table is not None and (not isinstance(table, dict) or set(table) - ({"load"} & set(table)) != keys):
            raise ConfigError(f"{path}: {name} needs exactly {', '.join(sorted(keys))}")
        if table is not None and "load" in table and (name != "front" or not isinstance(table["load"], bool)):
            raise ConfigError(f"{path}: {name}.load is neither true nor false, or not the front's")
        if table is not None and not str(table["path"]).startswith("/"):
            raise ConfigError(f"{path}: {name}.path does not start with /")
    return (
        UwsgiFrontendConfig(
            address(front["listen"], "front.listen"),
            front["path"],
            _positive(front, "held_kb"),
            front.get("load", False),
        )
        if front is not None
        else None,
        UwsgiBackendConfig(address(backend["address"], "backend.address"), backend["path"])
        if backend is not None
        else None,
    )
