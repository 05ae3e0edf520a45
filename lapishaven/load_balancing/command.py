"""The ``lapishaven spread`` commands: print a running server's load balancing state, read from its admin server."""

from __future__ import annotations

import http.client
import json
from typing import Any

from lapishaven.load_balancing.endpoint_status import EndpointStatus
from lapishaven.load_balancing.settings import BalancingSettingsError, parse_address

TIMEOUT_S = 2.0
COLUMNS = ("process", "standing", "in_hand", "slots", "speed", "warm", "age_s", "ours", "estimate", "cost", "faults")
FAILED_STATUSES = (EndpointStatus.UNRESPONSIVE.value, EndpointStatus.EJECTED.value)  # make ``status`` exit with 1


def fetch(control_address: str, path: str) -> bytes:
    """Return the body of a GET request to the admin server at HOST:PORT. Raises ``BalancingSettingsError``."""
    address = parse_address(control_address)
    if address is None:
        raise BalancingSettingsError(
            f"control address {control_address!r:.80} is not HOST:PORT with a port from 1 to 65535"
        )
    connection = http.client.HTTPConnection(*address, timeout=TIMEOUT_S)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        body = response.read()
    except (OSError, http.client.HTTPException) as error:
        raise BalancingSettingsError(f"GET {path} from the admin server at {control_address} failed: {error}") from None
    finally:
        connection.close()
    if response.status == http.client.NOT_FOUND:
        raise BalancingSettingsError(
            f"GET {path} from {control_address}: status 404; only a server started with --spread has this page"
        )
    if response.status != http.client.OK:
        raise BalancingSettingsError(f"GET {path} from {control_address}: status {response.status}, expected 200")
    return body


def _fetch_state(control_address: str) -> dict[str, Any]:
    state: dict[str, Any] = json.loads(fetch(control_address, "/v1/spread"))
    return state


def status(control_address: str, as_json: bool) -> int:
    """Print the state of each endpoint; return 1 if any is unresponsive or ejected, otherwise 0."""
    state = _fetch_state(control_address)
    rows = state["processes"]
    if as_json:
        print(json.dumps(state))
    else:
        _print_table(rows)
        counts = ", ".join(f"{name} {value}" for name, value in sorted(state["counts"].items()))
        print(
            f"typical request {state['usual_s']:g} s, mean load {state['mean_in_hand']:g} requests per slot; {counts}"
        )
    return int(any(row["standing"] in FAILED_STATUSES for row in rows))


def _print_table(rows: list[dict[str, Any]]) -> None:
    lines = [list(COLUMNS), *([_format_cell(row[name]) for name in COLUMNS] for row in rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(COLUMNS))]
    for line in lines:
        print("  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip())


def _format_cell(value: Any) -> str:
    return "-" if value is None else str(value)


def explain(control_address: str, last: int) -> int:
    """Print the last choices: the endpoint chosen, and each candidate with its cost."""
    for choice in _fetch_state(control_address)["last"][-last:]:
        costs = ", ".join(f"{name} {cost:g}" for name, cost in choice["costs"].items())
        print(f"{choice['ago_s']:g} s ago: chosen {choice['chosen']}; cost of each candidate: {costs}")
    return 0
