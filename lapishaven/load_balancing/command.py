"""``lapishaven spread``: what a running server knows of its endpoints, fetched from its admin server."""

from __future__ import annotations

import http.client
import json
from typing import Any

from lapishaven.load_balancing.endpoint_status import EndpointStatus
from lapishaven.load_balancing.settings import BalancingSettingsError, parse_address

TIMEOUT_S = 2.0
COLUMNS = ("process", "standing", "in_hand", "slots", "speed", "warm", "age_s", "ours", "estimate", "cost", "faults")
ALARMING = (EndpointStatus.UNRESPONSIVE.value, EndpointStatus.EJECTED.value)  # exit code 1


def fetch(where: str, path: str) -> bytes:
    """The body of a GET at the admin server's HOST:PORT. Raises ``BalancingSettingsError``."""
    address = parse_address(where)
    if address is None:
        raise BalancingSettingsError(f"{where!r} is not HOST:PORT")
    connection = http.client.HTTPConnection(*address, timeout=TIMEOUT_S)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        body = response.read()
    except (OSError, http.client.HTTPException) as error:
        raise BalancingSettingsError(f"cannot ask {where}: {error}") from None
    finally:
        connection.close()
    if response.status == http.client.NOT_FOUND:
        raise BalancingSettingsError(f"the server at {where} does not spread its attempts")
    if response.status != http.client.OK:
        raise BalancingSettingsError(f"the server at {where} answers {response.status}")
    return body


def _fetch_state(where: str) -> dict[str, Any]:
    state: dict[str, Any] = json.loads(fetch(where, "/v1/spread"))
    return state


def status(where: str, as_json: bool) -> int:
    """Print what is known of each endpoint; returns 1 if one is unresponsive or ejected."""
    state = _fetch_state(where)
    rows = state["processes"]
    if as_json:
        print(json.dumps(state))
    else:
        _print_table(rows)
        counts = ", ".join(f"{name} {value}" for name, value in sorted(state["counts"].items()))
        print(f"usual request {state['usual_s']:g} s, {state['mean_in_hand']:g} in hand for a slot; {counts}")
    return int(any(row["standing"] in ALARMING for row in rows))


def _print_table(rows: list[dict[str, Any]]) -> None:
    lines = [list(COLUMNS), *([_cell(row[name]) for name in COLUMNS] for row in rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(COLUMNS))]
    for line in lines:
        print("  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip())


def _cell(value: Any) -> str:
    return "-" if value is None else str(value)


def explain(where: str, last: int) -> int:
    """Print the candidates of the last choices and their costs."""
    for choice in _fetch_state(where)["last"][-last:]:
        costs = ", ".join(f"{name} {cost:g}" for name, cost in choice["costs"].items())
        print(f"{choice['ago_s']:g} s ago: chosen {choice['chosen']} of {costs}")
    return 0
