"""The driver of admission control: passes events to the rules and turns their verdicts into actions.

Each rule stands in a module of its own. In short: load samples fill a rolling window (``load_measurement``); an
arriving request is rejected with a probability that rises with the window's average (``rejection_probability``);
what is admitted is queued and runs in the order of ``queue_order`` under a stepped ``concurrency_limit``. The other
rules bound memory, dependency calls, tenants and connections, and keep deadlines and the drain.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from lapishaven.admission import concurrency_limit, dependency_calls, queue_order, rejection
from lapishaven.admission import rejection_probability as shedding
from lapishaven.admission.actions import (
    Action,
    AwaitOriginal,
    CallDependency,
    CancelRun,
    Fail,
    PublishLoad,
    Reject,
    ReleaseKey,
    ReserveKey,
    ScheduleTimer,
    SetHealth,
    SetIdleTimeout,
    SkipDependency,
    StartRun,
)
from lapishaven.admission.callers import CallerTable
from lapishaven.admission.concurrency_limit import ConcurrencyLimit
from lapishaven.admission.connection_limits import IdleTimeout
from lapishaven.admission.deadlines import ANSWER_MARGIN_S, DeadlineQueue
from lapishaven.admission.deduplication import KeyReservations, can_share_result
from lapishaven.admission.dependency_calls import DependencyCalls, DependencyStep
from lapishaven.admission.draining import Drain
from lapishaven.admission.events import (
    DependencyCallFinished,
    DependencyCallNeeded,
    DrainRequested,
    Event,
    LoadSample,
    Outcome,
    RequestArrived,
    RunFinished,
)
from lapishaven.admission.health import HealthStatus
from lapishaven.admission.load_measurement import POLL_INTERVAL_S, LoadMeasurement
from lapishaven.admission.load_signal import LoadSignal
from lapishaven.admission.memory_budget import MemoryBudget
from lapishaven.admission.ports import AdmissionPools
from lapishaven.admission.rejection import Rejection
from lapishaven.admission.request import RequestState, TrackedRequest
from lapishaven.admission.request_table import RequestTable
from lapishaven.admission.run_latency import RunLatency
from lapishaven.admission.settings import Settings, check_reload, check_settings
from lapishaven.admission.tenant_quota import TenantQuotas

LOAD_TIMER_ID = 0


class Controller:
    """Decides for one incarnation of one instance. Pure: the same events and seed give the same actions.

    The host calls ``handle`` with each batch of events and carries out the actions that it returns::

        controller = Controller(settings, seed)
        for action in controller.handle(loop.now, [LoadSample(0, 0.5, 2.0, None, None)]):
            host.carry_out(action)

    ``pools`` predict run times, bound and order the runs of each pool, and preempt runs; without them all
    classes share one queue. ``ValueError`` if the settings do not make sense.
    """

    def __init__(self, settings: Settings, seed: int, pools: AdmissionPools | None = None) -> None:
        check_settings(settings)
        self.settings = settings
        self.pools = pools
        self.rejection_probability = 0.0
        """At the average load of the window."""
        self.memory = MemoryBudget(settings)
        self.table = RequestTable(self.memory)
        self.run_latency = RunLatency(settings, pools)
        self.load = LoadMeasurement(settings)
        self.concurrency = ConcurrencyLimit(settings)
        self.reservations = KeyReservations(settings, self.memory)
        self.dependency = DependencyCalls(settings)
        self.drain = Drain(settings)
        self.signal = LoadSignal(settings)
        self.health = HealthStatus(settings)
        self.callers = CallerTable(settings)
        self.idle_timeout = IdleTimeout(settings)
        self.quotas = TenantQuotas(settings)
        self.deadlines = DeadlineQueue()
        self._random = random.Random(seed)
        self._has_started = False
        self._now = 0.0
        self._actions: list[Action] = []

    def retune(self, settings: Settings) -> None:
        """Take over reloaded settings.

        Classes keep their index: new ones come last, dropped ones stay listed, and open requests keep the class
        that they came with. ``ValueError`` if classes were taken away or the number of tenants changed.
        """
        check_reload(self.settings, settings)
        self.settings = settings
        for rule in (
            self.memory,
            self.run_latency,
            self.load,
            self.concurrency,
            self.reservations,
            self.dependency,
            self.drain,
            self.signal,
            self.health,
            self.callers,
            self.idle_timeout,
            self.quotas,
        ):
            rule.apply_settings(settings)

    def handle(self, now: float, events: list[Event]) -> list[Action]:
        """Decide on a batch of events at ``now``, seconds of the host's clock that never goes back."""
        self._now = now
        self._actions = []
        if not self._has_started:
            self._start()
        for event in events:
            self._apply(event)
        for request_id in self.deadlines.pop_expired(now):
            request = self.table.requests.get(request_id)
            if request is not None and not request.is_answered:
                self._reject(request, rejection.DEADLINE_EXPIRED)
        self.reservations.expire(now)
        self.dependency.expire_lingering(now)
        if self.dependency.waiting:
            self._advance_dependency_calls()
        self._reject_unservable()
        self._start_runs()
        return self._actions

    def _start(self) -> None:
        self._has_started = True
        self.concurrency.begin_slow_start(self._now)
        self.signal.begin()
        self._actions.append(SetHealth(True))
        self._actions.append(ScheduleTimer(POLL_INTERVAL_S, LOAD_TIMER_ID))

    def _apply(self, event: Event) -> None:
        if isinstance(event, RequestArrived):
            self._on_arrival(event)
            return
        if isinstance(event, LoadSample):
            self._on_load_sample(event)
            return
        if isinstance(event, DrainRequested):
            self._on_drain(event)
            return
        request = self.table.requests.get(event.request_id)
        if request is None:
            return
        if isinstance(event, RunFinished):
            self._on_run_finished(request, event)
        elif isinstance(event, DependencyCallNeeded):
            self._on_dependency_needed(request)
        elif isinstance(event, DependencyCallFinished):
            self._on_dependency_finished(request, event)
        else:
            self._abandon(request)

    # Arrival

    def _on_arrival(self, event: RequestArrived) -> None:
        request = self._track(event)
        if can_share_result(request, event, self.settings.result_freshness):
            self.table.move(request, RequestState.AWAITING_ORIGINAL, self._now)
            self._actions.append(AwaitOriginal(request.request_id))
            return
        request.weight *= queue_order.relative_weight(self.settings, self.run_latency, event.class_index)
        request.rank = shedding.rejection_rank(event.rank, len(self.settings.classes), self._random)
        verdict = self._verdict(request)
        if verdict is not None:
            self._reject(request, verdict)
            return
        if request.needs_reservation and not self._reserve_key(request):
            return
        if self.pools is not None:
            self.pools.enqueue(
                self._now,
                request.request_id,
                request.class_index,
                request.memory_kb,
                request.objective_at,
                request.deadline,
            )

    def _track(self, event: RequestArrived) -> TrackedRequest:
        """Enter a request that was read into the tables."""
        now = self._now
        request = TrackedRequest(event, self.settings.classes[event.class_index], now)
        self.table.add(request)
        request.weight = self.quotas.record(event.tenant_index)
        self.callers.record(now, event.caller_id)
        if event.deadline is not None:
            time_left = event.deadline - request.arrived_at
            time_used = self.callers.time_used(event.caller_id, event.class_index, time_left)
            if event.is_retry:
                request.objective_at -= time_used
        if self.drain.is_active:
            request.deadline = self.drain.capped_deadline(request.deadline)
        self.load.record_read(event.age)
        self.deadlines.push(request.deadline - ANSWER_MARGIN_S, request.request_id)
        return request

    def _verdict(self, request: TrackedRequest) -> Rejection | None:
        """Why a request is rejected on arrival; ``None`` if it is admitted."""
        pools = self.pools
        pool_rejection: Rejection | None = None
        if pools is not None:
            answer_by = request.deadline - ANSWER_MARGIN_S
            pool_rejection = pools.rejection(self._now, request.class_index, request.objective_at, answer_by)
        if self.memory.is_exhausted_by(request):
            return rejection.OUT_OF_MEMORY
        if pool_rejection is not None:
            return pool_rejection
        if pools is not None and pools.is_guaranteed(request.class_index):
            return None
        if not self.load.has_waiting_work(len(self.table.queued)):
            return None
        load = self.load.current(self.table.queued.values(), self.run_latency, self.concurrency.limit)
        current = shedding.probability_at(load)
        if not shedding.is_rejected(request.rank, request.weight, self.rejection_probability, current):
            return None
        return rejection.FLEET_OVERLOADED if self.signal.no_retry_elsewhere() else rejection.OVERLOADED

    def _reserve_key(self, request: TrackedRequest) -> bool:
        ttl = self.reservations.reserve(request, self._now)
        if ttl is None:
            self._reject(request, rejection.KEY_TABLE_FULL)
            return False
        self._actions.append(ReserveKey(request.request_id, ttl))
        return True

    # Ends of requests

    def _reject(self, request: TrackedRequest, verdict: Rejection) -> None:
        """Reject a request that never ran, with advice when to come back; fail any other."""
        if request.has_run or request.state is not RequestState.QUEUED:
            self._actions.append(Fail(request.request_id, verdict.reason))
        else:
            retry_after = self.signal.retry_after(self.rejection_probability, self.drain.is_active, verdict.retry_after)
            self._actions.append(Reject(request.request_id, verdict.reason, retry_after, verdict.no_retry_elsewhere))
        self._abandon(request)

    def _abandon(self, request: TrackedRequest) -> None:
        """Nobody waits for the request any more: forget it, or cancel its run if the host can do that."""
        state = request.state
        if state in (RequestState.QUEUED, RequestState.AWAITING_ORIGINAL, RequestState.PAUSED):
            if self.reservations.release(request):
                self._actions.append(ReleaseKey(request.request_id))
            self.table.remove(request)
            if self.pools is not None:
                self.pools.dequeue(request.request_id)
            return
        if request.is_answered:
            return
        request.is_answered = True
        if state is RequestState.CALLING_DEPENDENCY:
            self.dependency.add_lingering(self._now)
        elif state is RequestState.RUNNING and self.settings.cancellation is not None:
            self._actions.append(CancelRun(request.request_id))

    def _on_run_finished(self, request: TrackedRequest, event: RunFinished) -> None:
        succeeded = event.outcome is Outcome.OK
        was_cancelled = event.outcome is Outcome.CANCELLED and not request.is_answered
        if self.pools is not None:
            if was_cancelled and self.pools.requeue_preempted(self._now, request.request_id):
                self.table.move(request, RequestState.PAUSED, self._now)
                return
            self.pools.run_ended(self._now, request.request_id, succeeded)
        if succeeded and request.state is RequestState.RUNNING and not request.is_answered:
            self.run_latency.record(request.class_index, event.elapsed)
        if was_cancelled:
            self.table.move(request, RequestState.QUEUED, self._now)
            self._reject(request, rejection.RUN_CANCELLED)
        else:
            self.table.remove(request)

    # Queue

    def _reject_unservable(self) -> None:
        """Reject what can no longer be served in time from the queue."""
        if not self.table.queued:
            return
        now = self._now
        draining = self.drain.is_active
        run_times = self.run_latency.expected_by_class()
        for request in list(self.table.queued.values()):
            run_time = run_times[request.class_index]
            if draining and self.drain.is_too_late(request, now, run_time):
                self._reject(request, rejection.DRAINING)
            elif queue_order.is_hopeless(request, now, run_time):
                self._reject(request, rejection.HOPELESS)

    def _start_runs(self) -> None:
        """Start queued requests while there are free slots."""
        free_slots = self._free_slots()
        if free_slots < 1:
            return
        for request in self._dispatch_candidates():
            if free_slots < 1:
                return
            if not self.memory.can_start(request):
                continue
            if request.needs_reservation and not request.has_reservation:
                continue
            request.has_run = True
            self.table.move(request, RequestState.RUNNING, self._now)
            self._actions.append(StartRun(request.request_id))
            free_slots -= 1
            if self.pools is not None:
                self.pools.run_started(self._now, request.request_id)

    def _free_slots(self) -> float:
        ceiling = self.concurrency.ceiling(self._now)
        # Pools bound the running requests themselves, under the same ceiling.
        limit = self.concurrency.limit if self.pools is None else ceiling
        return min(limit, ceiling - self.table.at_dependency()) - self.table.counts[RequestState.RUNNING]

    def _dispatch_candidates(self) -> Iterable[TrackedRequest]:
        """What may run, in its order. Pools keep the order if there are any, paused requests included."""
        if self.pools is not None:
            requests = self.table.requests
            return (requests[request_id] for request_id in self.pools.dispatch_order(self._now))
        return queue_order.dispatch_order(self.table.queued.values(), self._now)

    # Dependency calls

    def _on_dependency_needed(self, request: TrackedRequest) -> None:
        if not request.is_answered:
            self.table.move(request, RequestState.AWAITING_DEPENDENCY, self._now)
            self.dependency.waiting.append(request.request_id)

    def _on_dependency_finished(self, request: TrackedRequest, event: DependencyCallFinished) -> None:
        self.dependency.latency.record(event.elapsed)
        if request.state is not RequestState.CALLING_DEPENDENCY or request.is_answered:
            return
        if event.outcome is Outcome.OK:
            self.table.move(request, RequestState.RUNNING, self._now)
            return
        self.table.move(request, RequestState.AWAITING_DEPENDENCY, self._now)
        if event.outcome is Outcome.TIMEOUT:
            self.dependency.add_lingering(self._now)
        if request.request_class.degraded_weight > 0:
            self._skip_dependency(request)
        elif event.outcome in (Outcome.OVERLOADED, Outcome.UNREACHABLE):
            self.dependency.waiting.append(request.request_id)
        else:
            self._reject(request, rejection.DEPENDENCY_FAILED)

    def _advance_dependency_calls(self) -> None:
        """Start or skip the calls of waiting requests, in their order, until one has to go on waiting."""
        waiting = self.dependency.waiting
        while waiting:
            request = self.table.requests.get(waiting[0])
            if request is None or request.state is not RequestState.AWAITING_DEPENDENCY or request.is_answered:
                waiting.popleft()
                continue
            calling = self.table.counts[RequestState.CALLING_DEPENDENCY]
            step = self.dependency.next_step(request, self._now, calling)
            if step is DependencyStep.WAIT:
                return
            waiting.popleft()
            if step is DependencyStep.SKIP:
                self._skip_dependency(request)
            else:
                self.table.move(request, RequestState.CALLING_DEPENDENCY, self._now)
                timeout = dependency_calls.call_timeout(request, self._now)
                self._actions.append(CallDependency(request.request_id, timeout))

    def _skip_dependency(self, request: TrackedRequest) -> None:
        self._actions.append(SkipDependency(request.request_id))
        self.table.move(request, RequestState.RUNNING, self._now)

    # Load samples and drain

    def _on_load_sample(self, sample: LoadSample) -> None:
        self._actions.append(ScheduleTimer(POLL_INTERVAL_S, LOAD_TIMER_ID))
        self._measure_load(sample)
        self._step_concurrency(sample)
        if self.pools is not None:
            for request_id in self.pools.sample(self._now, sample):
                if request_id in self.table.requests:
                    self._actions.append(CancelRun(request_id))
        self.dependency.update_mean(self.table.counts[RequestState.CALLING_DEPENDENCY])
        self.quotas.update()
        self._publish_load()
        self.callers.forget_before(self._now - self.idle_timeout.configured())
        timeout = self.idle_timeout.update(len(self.callers))
        if timeout is not None:
            self._actions.append(SetIdleTimeout(timeout))
        healthy = self.health.update(self.load.read_delay, self.signal.smoothed, self.drain.is_active)
        if healthy is not None:
            self._actions.append(SetHealth(healthy))

    def _measure_load(self, sample: LoadSample) -> None:
        queued = self.table.queued
        stalled = self.table.occupied_slots() + 1 > self.concurrency.ceiling(self._now)
        self.load.record_utilization(sample.cpu_utilization, stalled, bool(queued))
        self.load.record_load(self.load.current(queued.values(), self.run_latency, self.concurrency.limit))
        self.rejection_probability = shedding.probability_at(self.load.average())

    def _step_concurrency(self, sample: LoadSample) -> None:
        self.concurrency.step(
            self._now,
            utilization=self.load.utilization,
            runnable=sample.runnable or 0.0,
            running=self.table.counts[RequestState.RUNNING],
            has_queue=bool(self.table.queued),
            latency_inflated=self.run_latency.any_inflated(concurrency_limit.INFLATED_LATENCY),
        )

    def _publish_load(self) -> None:
        value = self.signal.update(self.rejection_probability, self.concurrency.limit, self.drain.is_active)
        if value is not None:
            self._actions.append(PublishLoad(value))

    def _on_drain(self, event: DrainRequested) -> None:
        self.drain.begin(self._now, event.kill_at)
        self._actions.append(SetHealth(False))
        self._publish_load()
        for request_id in self.table.requests:
            self.deadlines.push(self.drain.last_answer_at(), request_id)
