"""The admission controller: passes each event to its handler, and starts queued requests after each batch.

Each rule has its own module. Load samples fill a rolling window (``load_measurement``). An arriving request is
rejected with a probability that rises with the window's average (``rejection_probability``). Admitted requests are
queued and run in the order of ``queue_order``, within an adaptive ``concurrency_limit``. The other rules limit memory,
dependency calls, tenants and connections, and enforce deadlines and the drain.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from lapishaven.admission.actions import Action, SetHealth
from lapishaven.admission.arrival import ArrivalHandler
from lapishaven.admission.dependency_handler import DependencyHandler
from lapishaven.admission.dispatcher import Dispatcher
from lapishaven.admission.events import (
    DependencyCallFinished,
    DependencyCallNeeded,
    DrainRequested,
    Event,
    LoadSample,
    RequestArrived,
    RunFinished,
)
from lapishaven.admission.load_sample_handler import LoadSampleHandler, schedule_load_sample
from lapishaven.admission.ports import AdmissionPools
from lapishaven.admission.request_ending import RequestEnding
from lapishaven.admission.rules import AdmissionRules
from lapishaven.admission.settings import Settings, check_settings


class Controller:
    """Makes the admission decisions of one incarnation of one instance.

    Pure: it does no I/O and reads no clock, and the same events and seed give the same actions. The host calls
    ``handle`` with each batch of events and carries out the actions that it returns::

        controller = Controller(settings, seed)
        for action in controller.handle(loop.now, [LoadSample(0, 0.5, 2.0, None, None)]):
            host.carry_out(action)

    ``pools`` predict run times, limit and order the runs of each pool, and preempt runs; without them all
    classes share one queue. Raises ``ValueError`` if the settings are invalid.
    """

    def __init__(self, settings: Settings, seed: int, pools: AdmissionPools | None = None) -> None:
        check_settings(settings)
        rules = AdmissionRules(settings, pools)
        ending = RequestEnding(rules)
        self.rules = rules
        self._ending = ending
        self._arrivals = ArrivalHandler(rules, ending, random.Random(seed))
        self._dependency = DependencyHandler(rules, ending)
        self._load_samples = LoadSampleHandler(rules)
        self._dispatcher = Dispatcher(rules, ending)
        self._has_started = False
        self.steps: tuple[Callable[[float, list[Action]], None], ...] = (
            self._start,
            ending.reject_expired,
            self._expire_reservations,
            self._dependency.advance,
            self._dispatcher.reject_hopeless,
            self._dispatcher.start_runs,
        )
        """What is done after the events of each batch."""

    def apply_settings(self, settings: Settings) -> None:
        """Apply reloaded settings.

        Classes keep their index: new classes are appended, classes that are no longer offered stay in the list, and
        open requests keep the class that they arrived with. Raises ``ValueError`` if classes are missing or the
        number of tenants differs.
        """
        self.rules.apply_settings(settings)

    def handle(self, now: float, events: list[Event]) -> list[Action]:
        """Decide on a batch of events at ``now``, in seconds on the host's monotonic clock."""
        actions: list[Action] = []
        for event in events:
            self.handle_event(now, event, actions)
        for step in self.steps:
            step(now, actions)
        return actions

    def handle_event(self, now: float, event: Event, actions: list[Action]) -> None:
        """Process one event of a batch. After the last one of it, the ``steps`` are due, in their order."""
        if not self._has_started:
            self._start(now, actions)
        self._handle_event(event, now, actions)

    def discard(self, now: float, request_id: int) -> None:
        """Forget a request of which an event could not be processed, so that it takes no place of a run."""
        rules = self.rules
        if rules.pools is not None:
            rules.pools.dequeue(request_id)
            rules.pools.run_ended(now, request_id, succeeded=False, is_probe=False)
        request = rules.table.requests.get(request_id)
        if request is not None:
            rules.table.remove(request)
            rules.probes.end(request, now)

    def _start(self, now: float, actions: list[Action]) -> None:
        """Begin, with the first batch; called in each."""
        if self._has_started:
            return
        self._has_started = True
        self.rules.concurrency.begin_slow_start(now)
        self.rules.signal.begin()
        actions.append(SetHealth(True))
        schedule_load_sample(actions)

    def _handle_event(self, event: Event, now: float, actions: list[Action]) -> None:
        if isinstance(event, RequestArrived):
            self._arrivals.handle(event, now, actions)
            return
        if isinstance(event, LoadSample):
            self._load_samples.handle(event, now, actions)
            return
        if isinstance(event, DrainRequested):
            self._begin_drain(event, now, actions)
            return
        request = self.rules.table.requests.get(event.request_id)
        if request is None:
            return  # the request has already ended
        if isinstance(event, RunFinished):
            self._ending.finish_run(request, event, now, actions)
        elif isinstance(event, DependencyCallNeeded):
            self._dependency.queue_call(request, now)
        elif isinstance(event, DependencyCallFinished):
            self._dependency.finish_call(request, event, now, actions)
        else:
            self._ending.abandon(request, now, actions)

    def _expire_reservations(self, now: float, actions: list[Action]) -> None:
        self.rules.reservations.expire(now)

    def _begin_drain(self, event: DrainRequested, now: float, actions: list[Action]) -> None:
        rules = self.rules
        rules.drain.begin(now, event.kill_at)
        actions.append(SetHealth(False))
        self._load_samples.publish_load(actions)
        for request_id in rules.table.requests:
            rules.deadlines.push(rules.drain.last_answer_at(), request_id)
