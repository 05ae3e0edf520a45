"""Processes queued requests after each batch: rejects those that cannot succeed and starts those that may run."""

from __future__ import annotations

from collections.abc import Iterable

from lapishaven.admission import queue_order, rejection
from lapishaven.admission.actions import Action, StartRun
from lapishaven.admission.request import RUNNING, TrackedRequest
from lapishaven.admission.request_ending import RequestEnding
from lapishaven.admission.rules import AdmissionRules


class Dispatcher:
    """Rejects and starts queued requests. The methods append to ``actions``."""

    __slots__ = ("_ending", "_rules", "_table")

    def __init__(self, rules: AdmissionRules, ending: RequestEnding) -> None:
        self._rules = rules
        self._table = rules.table
        self._ending = ending

    def reject_hopeless(self, now: float, actions: list[Action]) -> None:
        """Reject requests that can no longer be served in time, or before a draining instance is killed."""
        if not self._table.queued:
            return
        drain = self._rules.drain
        run_times = self._rules.run_latency.expected_by_class()
        for request in list(self._table.queued.values()):
            run_time = run_times[request.class_index]
            if drain.is_active and drain.is_too_late(request, now, run_time):
                self._ending.reject(request, rejection.DRAINING, now, actions)
            elif self._is_hopeless(request, now, run_time):
                self._ending.reject(request, rejection.HOPELESS, now, actions)

    def _is_hopeless(self, request: TrackedRequest, now: float, run_time: float) -> bool:
        """Whether a queued request cannot succeed, either by its wait or by ``run_time`` unless it is a probe."""
        if not queue_order.is_hopeless(request, now, run_time):
            return False
        if queue_order.is_hopeless(request, now, 0.0):
            return True
        is_by_estimate = queue_order.is_hopeless(request, request.arrived_at, run_time)
        return not (is_by_estimate and self._rules.probes.passes(request, now))

    def start_runs(self, now: float, actions: list[Action]) -> None:
        """Start requests in dispatch order while there are free slots."""
        rules = self._rules
        free_slots = self._free_slots(now)
        if free_slots < 1:
            return
        for request in self._candidates(now):
            if free_slots < 1:
                return
            if not rules.memory.can_start(request):
                continue
            if request.needs_reservation and not request.has_reservation:
                continue
            request.has_run = True
            self._table.move(request, RUNNING, now)
            actions.append(StartRun(request.request_id))
            free_slots -= 1
            if rules.pools is not None:
                rules.pools.run_started(now, request.request_id)

    def _free_slots(self, now: float) -> float:
        """How many runs may start.

        Running requests are bounded by the limit; together with those suspended for a dependency call they are
        bounded by the ceiling.
        """
        rules = self._rules
        ceiling = rules.concurrency.ceiling(now)
        # Pools apply their own limit to running requests, under the same ceiling.
        limit = rules.concurrency.limit if rules.pools is None else ceiling
        return min(limit, ceiling - self._table.at_dependency()) - self._table.counts[RUNNING]

    def _candidates(self, now: float) -> Iterable[TrackedRequest]:
        """Requests that may start, in dispatch order. Pools, if any, decide the order, paused requests included."""
        pools = self._rules.pools
        if pools is not None:
            requests = self._table.requests
            return (requests[request_id] for request_id in pools.dispatch_order(now))
        return queue_order.dispatch_order(self._table.queued.values(), now)
