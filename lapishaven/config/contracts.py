"""The file of ``serve --contracts``: what each team's service may ask for, how much of it, and by when."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from lapishaven.admission import Settings
from lapishaven.config.values import ConfigError, positive_number, read_toml
from lapishaven.core.contracts import Contract

KEYS = {"team", "service", "class", "deadline_s", "route", "rate", "burst"}
MIN_BURST = 1  # a bucket that holds less than one token would never admit a request


def load_contracts(path: str, settings: Settings, routes: set[str]) -> list[Contract]:
    """The contracts of a file, checked against the request classes and the backends (``routes``) that there are.

    Raises ``ConfigError``.
    """
    rows = read_toml(path).get("contract")
    if not isinstance(rows, list) or not rows:
        raise ConfigError(f"{path}: there is no [[contract]]")
    contracts: dict[tuple[str, str, int], Contract] = {}
    for number, row in enumerate(rows, 1):
        where = f"{path}: contract {number}"
        contract = _parse_contract(row, where, settings, routes)
        party = (contract.team, contract.service, contract.class_index)
        if party in contracts:
            raise ConfigError(f"{where}: team, service and class have a contract already")
        contracts[party] = contract
    return list(contracts.values())


def _parse_contract(row: Mapping[str, Any], where: str, settings: Settings, routes: set[str]) -> Contract:
    if set(row) != KEYS:
        raise ConfigError(f"{where} needs exactly team, service, class, deadline_s, route, rate, burst")
    class_indexes = {request_class.name: index for index, request_class in enumerate(settings.classes)}
    if row["class"] not in class_indexes:
        raise ConfigError(f"{where}: no class {row['class']!r}")
    if row["route"] not in routes:
        raise ConfigError(f"{where}: no backend {row['route']!r} is configured")
    class_index = class_indexes[row["class"]]
    class_deadline = settings.classes[class_index].deadline
    try:
        deadline = positive_number(row, "deadline_s")
        rate = positive_number(row, "rate")
        burst = positive_number(row, "burst")
    except ConfigError as error:
        raise ConfigError(f"{where}: {error}") from None
    if deadline > class_deadline or burst < MIN_BURST:
        raise ConfigError(f"{where}: deadline_s is past the class's {class_deadline:g}, or burst is under 1")
    return Contract(str(row["team"]), str(row["service"]), class_index, deadline, row["route"], rate, burst)
