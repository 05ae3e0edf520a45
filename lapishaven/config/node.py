"""The platform's configuration of one server: the JSON file that ``NODE_CONFIG`` names."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from lapishaven.admission import RequestClass, Settings
from lapishaven.config.values import Address, ConfigError, parse_address, positive_number, read_text
from lapishaven.proto.admission_settings import SettingsError, parse_settings

MIN_DESCRIPTORS = 64
FIRST_FREE_DESCRIPTOR = 3  # after standard input, output and error
NAME_SEPARATORS = set(" /?#")  # not allowed in a name, which is part of the registry's URLs


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """The checked configuration of one server."""

    name: str
    listen: Address  # where callers connect
    interpreter: Address
    catalog: Address  # the service registry
    seed: int  # of the random numbers; new with each start
    stop_span: float  # seconds from SIGTERM to SIGKILL
    descriptors: int  # limit of open file descriptors
    memory_mb: int  # limit of memory
    settings: Settings
    gauges: tuple[str, ...]  # names of the interpreter's gauges, in their order
    control: Address | None = None  # where the admin server listens; None: it is off
    inherited: int | None = None  # descriptor of a listening socket that the platform holds for callers


def load_config(path: str | None = None, environ: Mapping[str, str] = os.environ) -> NodeConfig:
    """The configuration at ``path``, or where NODE_CONFIG names it. Raises ``ConfigError``."""
    where = path or environ.get("NODE_CONFIG")
    if not where:
        raise ConfigError("NODE_CONFIG is not set and no file was named")
    return parse_config(read_text(where), environ)


def parse_config(text: str, environ: Mapping[str, str] | None = None) -> NodeConfig:
    """A checked configuration from its JSON text.

    ``NODE_CONTROL`` in ``environ`` takes precedence over the file's ``control``; ``NODE_INHERITED_FD`` is read from
    there alone. Raises ``ConfigError``.
    """
    environ = environ or {}
    table = _parse_object(text)
    limits = table.get("limits")
    if not isinstance(limits, dict):
        raise ConfigError("limits is not an object")
    name = _parse_name(table.get("name"))
    seed = _parse_seed(table)
    settings, gauges = _parse_settings(table.get("settings"))
    descriptors = int(positive_number(limits, "sockets"))
    if descriptors < MIN_DESCRIPTORS:
        raise ConfigError("limits.sockets is under 64")
    return NodeConfig(
        name=name,
        listen=parse_address(table.get("listen"), "listen"),
        interpreter=parse_address(table.get("vm"), "vm"),
        catalog=parse_address(table.get("directory"), "directory"),
        seed=seed,
        stop_span=positive_number(table, "stop_ms") / 1000,
        descriptors=descriptors,
        memory_mb=int(positive_number(limits, "memory_mb")),
        settings=settings,
        gauges=gauges,
        control=_parse_control(environ.get("NODE_CONTROL") or table.get("control")),
        inherited=_parse_inherited(environ.get("NODE_INHERITED_FD")),
    )


def _parse_object(text: str) -> dict[str, Any]:
    try:
        table = json.loads(text)
    except ValueError:
        raise ConfigError("the configuration is not JSON") from None
    if not isinstance(table, dict):
        raise ConfigError("the configuration is not an object")
    return table


def _parse_name(value: Any) -> str:
    if not isinstance(value, str) or not value or not value.isprintable() or set(value) & NAME_SEPARATORS:
        raise ConfigError("name is not a plain word")
    return value


def _parse_seed(table: Mapping[str, Any]) -> int:
    """The seed: a hex string, or a number above 0."""
    value = table.get("seed")
    try:
        return int(value, 16) if isinstance(value, str) else int(positive_number(table, "seed"))
    except ValueError:
        raise ConfigError("seed is not a hex number") from None


def _parse_settings(value: Any) -> tuple[Settings, tuple[str, ...]]:
    """The settings and the names of the gauges."""
    try:
        settings, gauges = parse_settings(json.dumps(value))
    except SettingsError as error:
        raise ConfigError(f"settings: {error}") from None
    _check_classes(settings.classes)
    return settings, gauges


def _check_classes(classes: tuple[RequestClass, ...]) -> None:
    for number, request_class in enumerate(classes):
        if not request_class.name or not request_class.name.isprintable():
            raise ConfigError(f"settings: profiles[{number}].name is not a plain word")
        if not request_class.deadline > 0 or not request_class.latency_objective > 0:
            raise ConfigError(f"settings: profiles[{number}] has an aim or a deadline that is no number above 0")
    names = {request_class.name for request_class in classes}
    if len(names) != len(classes):
        raise ConfigError("settings: two profiles have one name")


def _parse_control(value: Any) -> Address | None:
    return None if value in (None, "") else parse_address(value, "control")


def _parse_inherited(value: str | None) -> int | None:
    if not value:
        return None
    if not value.isdigit() or int(value) < FIRST_FREE_DESCRIPTOR:
        raise ConfigError("NODE_INHERITED_FD is not a descriptor number of 3 or more")
    return int(value)


def keep_class_numbers(old: Settings, new: Settings) -> Settings:
    """The settings of a reload with every class at the index that it had before.

    Classes that stay take their new figures, new ones come last. Classes that were dropped stay listed, for the
    requests that are still open; callers can no longer name them. Raises ``ConfigError`` where the tenants differ,
    which only a restart changes.
    """
    if new.tenants != old.tenants:
        raise ConfigError("settings: the tenants differ, which only a restart changes")
    added = {request_class.name: request_class for request_class in new.classes}
    known = tuple(added.pop(request_class.name, request_class) for request_class in old.classes)
    return replace(new, classes=known + tuple(added.values()))
