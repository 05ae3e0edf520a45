"""``lapishaven spread``: what a running server knows of the processes behind it, asked at its control address."""

from __future__ import annotations

import http.client
import json
from typing import Any

from lapishaven.load_balancing.settings import SpreadError, address

SPAN = 2.0  # s for an answer
COLUMNS = ("process", "standing", "in_hand", "slots", "speed", "warm", "age_s", "ours", "estimate", "cost", "faults")


def fetch(where: str, path: str) -> bytes:
    """What the control address says; raises ``SpreadError``."""
    place = address(where)
    if place is None:
        raise SpreadError(f"{where!r} is not HOST:PORT")
    link = http.client.HTTPConnection(*place, timeout=SPAN)
    try:
        link.request("GET", path)
        response = link.getresponse()
        data = response.read()
    except (OSError, http.client.HTTPException) as error:
        raise SpreadError(f"cannot ask {where}: {error}") from None
    finally:
        link.close()
    if response.status == 404:
        raise SpreadError(f"the server at {where} does not spread its attempts")
    if response.status != 200:
        raise SpreadError(f"the server at {where} answers {response.status}")
    return data


def _state(where: str) -> dict[str, Any]:
    state: dict[str, Any] = json.loads(fetch(where, "/v1/spread"))
    return state


def _cell(value: Any) -> str:
    return "-" if value is None else str(value)


def status(where: str, as_json: bool) -> int:
    state = _state(where)
    rows = state["processes"]
    if as_json:
        print(json.dumps(state))
    else:
        cells = [list(COLUMNS), *([_cell(row[name]) for name in COLUMNS] for row in rows)]
        widths = [max(len(row[n]) for row in cells) for n in range(len(COLUMNS))]
        for row in cells:
            print("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())
        counts = ", ".join(f"{name} {value}" for name, value in sorted(state["counts"].items()))
        print(f"usual request {state['usual_s']:g} s, {state['mean_in_hand']:g} in hand for a slot; {counts}")
    return int(any(row["standing"] in ("silent", "out") for row in rows))


def explain(where: str, last: int) -> int:
    for each in _state(where)["last"][-last:]:
        costs = ", ".join(f"{name} {cost:g}" for name, cost in each["costs"].items())
        print(f"{each['ago_s']:g} s ago: chosen {each['chosen']} of {costs}")
    return 0
