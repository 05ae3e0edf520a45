"""The file of ``serve --contracts``: the request rate, the deadline and the route of each team's service and class."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from lapishaven.admission import Settings
from lapishaven.config.values import ConfigError, positive_number, read_toml
from lapishaven.core.contracts import Contract, Party

KEYS = {"team", "service", "class", "deadline_s", "route", "rate", "burst"}
MIN_BURST = 1  # requests; a token bucket that holds less than one token never admits a request


def load_contracts(path: str, settings: Settings, routes: set[str]) -> list[Contract]:
    """Load the contracts of a file. Their classes must be in ``settings``, their backends in ``routes``.

    Raises ``ConfigError``.
    """
    rows = read_toml(path).get("contract")
    if not isinstance(rows, list) or not rows:
        raise ConfigError(f"{path}: at least one [[contract]] table is required")
    contracts: dict[Party, Contract] = {}
    for number, row in enumerate(rows, 1):
        position = f"{path}: contract {number}"
        contract = _parse_contract(row, position, settings, routes)
        if contract.party in contracts:
            raise ConfigError(
                f"{position}: team {contract.team!r:.60}, service {contract.service!r:.60} and class"
                f" {row['class']!r:.60} have a contract already"
            )
        contracts[contract.party] = contract
    return list(contracts.values())


def _parse_contract(row: Mapping[str, Any], position: str, settings: Settings, routes: set[str]) -> Contract:
    if set(row) != KEYS:
        raise ConfigError(
            f"{position}: expected exactly the keys {', '.join(sorted(KEYS))}, found {', '.join(map(str, row)):.200}"
        )
    class_deadlines = {request_class.name: request_class.deadline for request_class in settings.classes}
    if row["class"] not in class_deadlines:
        raise ConfigError(
            f"{position}: unknown class {row['class']!r:.60}, expected one of {', '.join(class_deadlines)}"
        )
    if row["route"] not in routes:
        raise ConfigError(
            f"{position}: unknown route {row['route']!r:.60}, expected one of {', '.join(sorted(routes))}"
        )
    class_deadline = class_deadlines[row["class"]]
    try:
        deadline = positive_number(row, "deadline_s")
        rate = positive_number(row, "rate")
        burst = positive_number(row, "burst")
    except ConfigError as error:
        raise ConfigError(f"{position}: {error}") from None
    if deadline > class_deadline or burst < MIN_BURST:
        raise ConfigError(
            f"{position}: deadline_s {deadline:g} exceeds the class's {class_deadline:g}"
            f" or burst {burst:g} is below {MIN_BURST}"
        )
    return Contract(str(row["team"]), str(row["service"]), row["class"], deadline, row["route"], rate, burst)
