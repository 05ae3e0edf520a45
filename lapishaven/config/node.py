"""The platform's configuration of one server: the JSON file whose path is in ``NODE_CONFIG``."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from lapishaven.admission import RequestClass, Settings
from lapishaven.admission.settings import check_settings
from lapishaven.config.values import Address, ConfigError, parse_address, positive_number, read_text
from lapishaven.proto.admission_settings import SettingsError, parse_settings

MIN_DESCRIPTORS = 64
FIRST_FREE_DESCRIPTOR = 3  # after standard input, output and error
NAME_SEPARATORS = set(" /?#")  # not allowed in a server's name, which is part of the catalog's URLs


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """The validated configuration of one server."""

    name: str
    listen: Address  # of the platform frontend
    interpreter: Address
    catalog: Address  # the service registry
    seed: int  # of random numbers; differs at each start
    stop_timeout_s: float  # from SIGTERM to SIGKILL
    descriptors: int  # limit of open file descriptors
    memory_mb: int  # memory limit
    settings: Settings
    gauges: tuple[str, ...]  # names of the interpreter's gauges, in the order of their values
    control: Address | None = None  # of the admin server; None: off
    inherited_fd: int | None = None  # descriptor of a listening socket for callers that the platform holds open


def load_config(path: str | None = None, environ: Mapping[str, str] = os.environ) -> NodeConfig:
    """Load the configuration from ``path``, or else from the path in NODE_CONFIG. Raises ``ConfigError``."""
    source = path or environ.get("NODE_CONFIG")
    if not source:
        raise ConfigError("NODE_CONFIG is not set and no configuration file was given")
    text = read_text(source)
    try:
        return parse_config(text, environ)
    except ConfigError as error:
        raise ConfigError(f"{source}: {error}") from None


def parse_config(text: str, environ: Mapping[str, str] | None = None) -> NodeConfig:
    """Parse and validate the JSON text of a configuration.

    ``NODE_CONTROL`` in ``environ`` takes precedence over the file's ``control``. ``NODE_INHERITED_FD`` has no
    counterpart in the file. Raises ``ConfigError``.
    """
    environ = environ or {}
    table = _parse_object(text)
    limits = table.get("limits")
    if not isinstance(limits, dict):
        raise ConfigError(f"limits must be a JSON object, found {limits!r:.60}")
    name = _parse_name(table.get("name"))
    seed = _parse_seed(table)
    settings, gauges = _parse_settings(table.get("settings"))
    descriptors = int(positive_number(limits, "sockets"))
    if descriptors < MIN_DESCRIPTORS:
        raise ConfigError(f"limits.sockets is {descriptors}, must be at least {MIN_DESCRIPTORS}")
    return NodeConfig(
        name=name,
        listen=parse_address(table.get("listen"), "listen"),
        interpreter=parse_address(table.get("vm"), "vm"),
        catalog=parse_address(table.get("directory"), "directory"),
        seed=seed,
        stop_timeout_s=positive_number(table, "stop_ms") / 1000,
        descriptors=descriptors,
        memory_mb=int(positive_number(limits, "memory_mb")),
        settings=settings,
        gauges=gauges,
        control=_parse_control(environ.get("NODE_CONTROL") or table.get("control")),
        inherited_fd=_parse_inherited_fd(environ.get("NODE_INHERITED_FD")),
    )


def _parse_object(text: str) -> dict[str, Any]:
    try:
        table = json.loads(text)
    except (ValueError, RecursionError):
        raise ConfigError(f"the configuration is not JSON: {text[:60]!r}") from None
    if not isinstance(table, dict):
        raise ConfigError(f"the configuration must be a JSON object, found {table!r:.60}")
    return table


def _parse_name(value: Any) -> str:
    if not isinstance(value, str) or not value or not value.isprintable() or set(value) & NAME_SEPARATORS:
        raise ConfigError(f"name must be non-empty, printable and without spaces, /, ? and #, found {value!r:.60}")
    return value


def _parse_seed(table: Mapping[str, Any]) -> int:
    """The seed: a hex string, or a number above 0."""
    value = table.get("seed")
    try:
        return int(value, 16) if isinstance(value, str) else int(positive_number(table, "seed"))
    except ValueError:
        raise ConfigError(f"seed must be a hex string or a number above 0, found {value!r:.60}") from None


def _parse_settings(value: Any) -> tuple[Settings, tuple[str, ...]]:
    """The settings and the names of the gauges. Raises ``ConfigError``."""
    try:
        settings, gauges = parse_settings(json.dumps(value))
    except SettingsError as error:
        raise ConfigError(f"settings: {error}") from None
    _check_classes(settings.classes)
    try:
        check_settings(settings)
    except ValueError as error:
        raise ConfigError(f"settings: {error}") from None
    return settings, gauges


def _check_classes(classes: tuple[RequestClass, ...]) -> None:
    for number, request_class in enumerate(classes):
        if not request_class.name or not request_class.name.isprintable():
            raise ConfigError(f"settings: profiles[{number}].name must be printable, found {request_class.name!r:.60}")
        if not request_class.deadline > 0 or not request_class.latency_objective > 0:
            raise ConfigError(
                f"settings: profiles[{number}]: aim and deadline must be above 0, found"
                f" {request_class.latency_objective:g} and {request_class.deadline:g}"
            )
    names = {request_class.name for request_class in classes}
    if len(names) != len(classes):
        raise ConfigError(
            f"settings: names of profiles must be unique, found {', '.join(c.name for c in classes):.200}"
        )


def _parse_control(value: Any) -> Address | None:
    return None if value in (None, "") else parse_address(value, "control (or NODE_CONTROL)")


def _parse_inherited_fd(value: str | None) -> int | None:
    if not value:
        return None
    if not value.isdecimal() or int(value) < FIRST_FREE_DESCRIPTOR:
        raise ConfigError(
            f"NODE_INHERITED_FD must be a descriptor of {FIRST_FREE_DESCRIPTOR} or more, found {value!r:.20}"
        )
    return int(value)


def keep_class_numbers(old: Settings, new: Settings) -> Settings:
    """The settings of a reload, with every class at its previous index.

    Classes in both settings take their new values, and added ones come last. Removed classes are kept for their
    requests that are still open, although callers can no longer request them. Raises ``ConfigError`` if the tenants
    differ, which takes a restart.
    """
    if new.tenants != old.tenants:
        raise ConfigError(
            f"settings: customers changed ({len(old.tenants)} before, {len(new.tenants)} now), which needs a restart"
        )
    added = {request_class.name: request_class for request_class in new.classes}
    existing = tuple(added.pop(request_class.name, request_class) for request_class in old.classes)
    return replace(new, classes=existing + tuple(added.values()))
