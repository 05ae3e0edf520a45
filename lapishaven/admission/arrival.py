"""Handles arriving requests: each is admitted, rejected, or answered as a duplicate."""

from __future__ import annotations

import random

from lapishaven.admission import rejection
from lapishaven.admission.actions import Action, AwaitOriginal, ReserveKey
from lapishaven.admission.deadlines import ANSWER_MARGIN_S
from lapishaven.admission.deduplication import can_share_result
from lapishaven.admission.events import RequestArrived
from lapishaven.admission.queue_order import relative_weight
from lapishaven.admission.rejection import Rejection
from lapishaven.admission.rejection_probability import rejection_rank
from lapishaven.admission.request import AWAITING_ORIGINAL, TrackedRequest
from lapishaven.admission.request_ending import RequestEnding
from lapishaven.admission.rules import AdmissionRules


class ArrivalHandler:
    """Admits or rejects requests as they are read. ``rng`` draws the rank of requests whose callers send none."""

    __slots__ = ("_ending", "_rng", "_rules", "_table")

    def __init__(self, rules: AdmissionRules, ending: RequestEnding, rng: random.Random) -> None:
        self._rules = rules
        self._table = rules.table
        self._ending = ending
        self._rng = rng

    def handle(self, event: RequestArrived, now: float, actions: list[Action]) -> None:
        """Decide on a request; the resulting actions are appended to ``actions``."""
        rules = self._rules
        settings = rules.settings
        request = self._track(event, now)
        if can_share_result(request, event, settings.result_freshness):
            self._table.move(request, AWAITING_ORIGINAL, now)
            actions.append(AwaitOriginal(request.request_id))
            return
        request.weight *= relative_weight(settings, rules.run_latency, request.class_index)
        request.rank = rejection_rank(event.rank, len(settings.classes), self._rng)
        verdict = self._verdict(request, now)
        if verdict is None and request.needs_reservation:
            verdict = self._reserve_key(request, now, actions)
        if verdict is not None:
            self._ending.reject(request, verdict, now, actions)
        elif rules.pools is not None:
            rules.pools.enqueue(
                now,
                request.request_id,
                request.class_index,
                request.objective_at,
                request.deadline,
            )

    def _track(self, event: RequestArrived, now: float) -> TrackedRequest:
        """Record an arriving request in the request table, the caller table, the tenant quotas and the deadlines."""
        rules = self._rules
        request = TrackedRequest(event, rules.settings.classes[event.class_index], now)
        self._table.add(request)
        request.weight = rules.quotas.record(event.tenant_index)
        rules.callers.record(now, event.caller_id)
        if event.deadline is not None:
            time_left = event.deadline - request.arrived_at
            # Called for first attempts too, because it also records the caller's time limit.
            time_used = rules.callers.time_used(event.caller_id, event.class_index, time_left)
            if event.is_retry:
                request.objective_at -= time_used
        if rules.drain.is_active:
            request.deadline = rules.drain.capped_deadline(request.deadline)
        rules.load.record_read(event.age)
        rules.deadlines.push(request.deadline - ANSWER_MARGIN_S, request.request_id)
        return request

    def _verdict(self, request: TrackedRequest, now: float) -> Rejection | None:
        """The reason to reject a request; ``None`` if it is admitted.

        If several checks fail, the first of these gives the reason: memory, the pool of the request's class, load. A
        request is not rejected for load while its pool is within its guaranteed share. A probe passes the estimates of
        the pools.
        """
        rules = self._rules
        pools = rules.pools
        pool_rejection: Rejection | None = None
        if pools is not None:
            answer_by = request.deadline - ANSWER_MARGIN_S
            pool_rejection = pools.rejection(now, request.class_index, request.objective_at, answer_by)
        if rules.memory.is_exhausted_by(request):
            return rejection.OUT_OF_MEMORY
        if pool_rejection is not None and not (pool_rejection.by_estimate and rules.probes.passes(request, now)):
            return pool_rejection
        if pools is not None and pools.is_guaranteed(request.class_index):
            return None
        if not self._is_shed(request):
            return None
        return rejection.FLEET_OVERLOADED if rules.signal.no_retry_elsewhere() else rejection.OVERLOADED

    def _is_shed(self, request: TrackedRequest) -> bool:
        """Whether a request is rejected for load; never unless the cores are busy and other work waits for them."""
        rules = self._rules
        queued = self._table.queued
        if not rules.load.has_waiting_work(len(queued)):
            return False
        current_load = rules.load.current(queued.values(), rules.run_latency, rules.concurrency.limit)
        return rules.shedding.is_rejected(request.rank, request.weight, current_load)

    def _reserve_key(self, request: TrackedRequest, now: float, actions: list[Action]) -> Rejection | None:
        """Reserve an entry in the idempotency key table for an admitted request; a rejection if it has no memory."""
        ttl = self._rules.reservations.reserve(request, now)
        if ttl is None:
            return rejection.KEY_TABLE_FULL
        actions.append(ReserveKey(request.request_id, ttl))
        return None
