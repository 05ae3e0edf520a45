"""The state of an endpoint as shown to operators.

The status values and the row keys appear in metrics and in the output of ``lapishaven spread status``.
"""

from __future__ import annotations

from enum import Enum
from typing import Any

from lapishaven.load_balancing.endpoint_state import EndpointState


class EndpointStatus(Enum):
    """Whether requests are sent to the endpoint and, if not, why."""

    OK = "ok"
    UNRESPONSIVE = "silent"
    EJECTED = "out"
    RETRY_AFTER = "pushed back"  # asked not to be sent requests for some time
    DRAINING = "leaves"


def status_of(now: float, endpoint: EndpointState, suspected: bool) -> EndpointStatus:
    """Return the endpoint's status; if several apply, the first in the order below.

    ``suspected``: the failure detector suspects the endpoint of being unresponsive.
    """
    if suspected:
        return EndpointStatus.UNRESPONSIVE
    if endpoint.ejected_until > now:
        return EndpointStatus.EJECTED
    if endpoint.retry_after_until > now:
        return EndpointStatus.RETRY_AFTER
    if endpoint.is_draining():
        return EndpointStatus.DRAINING
    return EndpointStatus.OK


def describe(now: float, endpoint: EndpointState, suspected: bool, load: float, cost: float) -> dict[str, Any]:
    """Return a row of ``lapishaven spread status``, keyed by column name."""
    report = endpoint.report
    return {
        "process": endpoint.name,
        "standing": status_of(now, endpoint, suspected).value,
        "in_hand": report.in_flight if report is not None else None,
        "slots": endpoint.slots(),
        "speed": round(report.speed, 2) if report is not None else None,
        "warm": round(report.desired_share, 2) if report is not None else None,
        "age_s": round(now - endpoint.report_as_of, 3) if report is not None else None,
        "ours": endpoint.in_flight,
        "estimate": round(load, 2),
        "cost": round(cost, 3),
        "faults": endpoint.consecutive_failures,
    }
