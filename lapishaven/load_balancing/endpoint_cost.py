"""The cost by which candidate endpoints are compared: the expected delay of one more request."""

from __future__ import annotations

# Weight of the load per slot relative to the queueing time; low, so that a free slot is preferred to any queueing.
LOAD_WEIGHT = 0.1
IDLE_LOAD = 0.5  # an endpoint with fewer estimated requests in flight counts as idle


def queueing_cost(load: float, slots: int, speed: float) -> float:
    """Return the cost of one more request at an endpoint that has ``load`` requests in flight.

    The cost is the queueing time, in durations of a typical request, plus the load per slot with a low weight. The
    load per slot decides between endpoints with a free slot, and an idle endpoint costs least of all. A free slot is
    therefore preferred to queueing even on a slow machine. ``speed``: typical requests per second and slot.
    """
    load_per_slot = (load + 1) / slots
    if load < IDLE_LOAD:
        return LOAD_WEIGHT * LOAD_WEIGHT * load_per_slot / speed
    queueing = max(0.0, load_per_slot - 1.0)
    return (queueing + LOAD_WEIGHT * load_per_slot) / speed
