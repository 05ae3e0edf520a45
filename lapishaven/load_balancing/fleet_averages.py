"""Running means over all endpoints, used where the value of a single endpoint is unknown."""

from __future__ import annotations

from lapishaven.load_balancing.load_report import LoadReport
from lapishaven.load_balancing.rules import BalancingRules

SMOOTHING = 0.05  # weight of a new sample
ONE_WAY_STEP = 1.1  # factor by which one sample moves the estimate towards the median
MIN_ONE_WAY_S, MAX_ONE_WAY_S = 0.00005, 2.0


class FleetAverages:
    """Exponentially weighted means. Probed endpoints are chosen at random, so their answers sample the whole fleet.

    Attributes:
        request_s: duration of a request, as this balancer sees it; the duration of a typical request.
        load_per_slot: weighted requests in flight per slot.
        speed: typical requests that a slot serves per second.
        slots: number of slots of an endpoint.
        one_way_s: one-way network delay, estimated as half of the median round trip of a probe.
    """

    __slots__ = ("load_per_slot", "one_way_s", "request_s", "slots", "speed")

    def __init__(self, rules: BalancingRules) -> None:
        # Initial values, until samples arrive.
        self.request_s = rules.initial_request_s
        self.load_per_slot = 0.5
        self.speed = 1.0
        self.slots = 1.0
        self.one_way_s = rules.probe_wait_s / 4

    def observe_request(self, duration_s: float) -> None:
        """Record the duration of a served request."""
        self.request_s += SMOOTHING * (duration_s - self.request_s)

    def observe_slots(self, slots: int) -> None:
        """Record the number of slots in a load report."""
        self.slots += SMOOTHING * (slots - self.slots)

    def observe_probe_answer(self, report: LoadReport, round_trip_s: float) -> None:
        """Record the load and the speed in the answer to a probe, and the round-trip time of the probe.

        ``one_way_s`` follows the median, because the very late answers of a process that was suspended would distort a
        mean.
        """
        self.load_per_slot += SMOOTHING * (report.weighted_load / report.slots - self.load_per_slot)
        if report.speed:
            self.speed += SMOOTHING * (report.speed - self.speed)
        step = ONE_WAY_STEP if round_trip_s > 2 * self.one_way_s else 1 / ONE_WAY_STEP
        self.one_way_s = min(MAX_ONE_WAY_S, max(MIN_ONE_WAY_S, self.one_way_s * step))
