"""Running means over all endpoints, which stand in for what is not known of one."""

from __future__ import annotations

from lapishaven.load_balancing.load_report import LoadReport
from lapishaven.load_balancing.rules import BalancingRules

SMOOTHING = 0.05  # weight of a new sample
ONE_WAY_STEP = 1.1  # factor of one step towards the median
MIN_ONE_WAY_S, MAX_ONE_WAY_S = 0.00005, 2.0


class FleetAverages:
    """Exponentially weighted means. Endpoints to probe are drawn at random, so their answers sample the whole fleet.

    Attributes:
        request_s: duration of a typical request.
        load_per_slot: weighted requests in flight.
        speed: typical requests that a slot serves in a second.
        slots: slots of an endpoint.
        one_way_s: network delay of a probe or its answer.
    """

    __slots__ = ("load_per_slot", "one_way_s", "request_s", "slots", "speed")

    def __init__(self, rules: BalancingRules) -> None:
        # Assumed until something was measured.
        self.request_s = rules.initial_request_s
        self.load_per_slot = 0.5
        self.speed = 1.0
        self.slots = 1.0
        self.one_way_s = rules.probe_wait_s / 4

    def observe_request(self, duration_s: float) -> None:
        """Record the duration of a request that was served."""
        self.request_s += SMOOTHING * (duration_s - self.request_s)

    def observe_slots(self, slots: int) -> None:
        """Record the slots that an endpoint reports."""
        self.slots += SMOOTHING * (slots - self.slots)

    def observe_probe_answer(self, report: LoadReport, round_trip_s: float) -> None:
        """Record the load and speed in an answer to a probe, and the time that it took.

        ``one_way_s`` moves a step towards the median, as late answers of a process that was stopped would carry off a
        mean.
        """
        self.load_per_slot += SMOOTHING * (report.weighted_load / report.slots - self.load_per_slot)
        if report.speed:
            self.speed += SMOOTHING * (report.speed - self.speed)
        step = ONE_WAY_STEP if round_trip_s > 2 * self.one_way_s else 1 / ONE_WAY_STEP
        self.one_way_s = min(MAX_ONE_WAY_S, max(MIN_ONE_WAY_S, self.one_way_s * step))
