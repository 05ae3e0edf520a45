"""What one more request would cost at an endpoint: the one figure by which candidates are compared."""

from __future__ import annotations

FILL_WEIGHT = 0.1  # of the load per slot beside the waiting time, so that a free slot comes before any wait
IDLE_LOAD = 0.5  # estimated requests in flight under which an endpoint counts as idle


def queueing_cost(load: float, slots: int, speed: float) -> float:
    """The cost of one more request at an endpoint that has ``load`` requests in flight.

    That is the time that the request would wait for a slot, in durations of a typical request. Where it would not
    wait the cost is the load per slot, which weighs less than any wait, and an idle endpoint comes before both: so a
    free slot is preferred also on a slow machine. ``speed`` is in typical requests a second and slot.
    """
    load_per_slot = (load + 1) / slots
    if load < IDLE_LOAD:
        return FILL_WEIGHT * FILL_WEIGHT * load_per_slot / speed
    waiting = max(0.0, load_per_slot - 1.0)
    return (waiting + FILL_WEIGHT * load_per_slot) / speed
