"""Handles the dependency calls of requests: waiting for the quota, calling, retrying, skipping and failing."""

from __future__ import annotations

from lapishaven.admission import rejection
from lapishaven.admission.actions import Action, CallDependency, SkipDependency
from lapishaven.admission.dependency_calls import DependencyStep, call_timeout
from lapishaven.admission.events import DependencyCallFinished, Outcome
from lapishaven.admission.request import AWAITING_DEPENDENCY, CALLING_DEPENDENCY, RUNNING, TrackedRequest
from lapishaven.admission.request_ending import RequestEnding
from lapishaven.admission.rules import AdmissionRules

NEVER_EXECUTED = (Outcome.OVERLOADED, Outcome.UNREACHABLE)
"""Outcomes that prove that the dependency did not execute the call, which may therefore be retried."""


class DependencyHandler:
    """Starts, skips and completes dependency calls. The methods append to ``actions``."""

    __slots__ = ("_calls", "_ending", "_table")

    def __init__(self, rules: AdmissionRules, ending: RequestEnding) -> None:
        self._calls = rules.dependency
        self._table = rules.table
        self._ending = ending

    def queue_call(self, request: TrackedRequest, now: float) -> None:
        """Suspend a running request until it may make the dependency call that it needs."""
        if not request.is_answered:
            self._table.move(request, AWAITING_DEPENDENCY, now)
            self._calls.waiting.append(request.request_id)

    def finish_call(
        self, request: TrackedRequest, event: DependencyCallFinished, now: float, actions: list[Action]
    ) -> None:
        """Continue the run after a successful call; after a failure skip the call, retry it, or fail the request."""
        self._calls.latency.record(event.elapsed)
        if request.state is not CALLING_DEPENDENCY or request.is_answered:
            return
        if event.outcome is Outcome.OK:
            self._table.move(request, RUNNING, now)
            return
        self._table.move(request, AWAITING_DEPENDENCY, now)
        if event.outcome is Outcome.TIMEOUT:
            # The dependency may still be working on the call, so it keeps counting against the quota.
            self._calls.add_lingering(now)
        if request.request_class.degraded_weight > 0:  # an answer without the call is worth something
            self._skip(request, now, actions)
        elif event.outcome in NEVER_EXECUTED:
            self._calls.waiting.append(request.request_id)
        else:
            self._ending.reject(request, rejection.DEPENDENCY_FAILED, now, actions)

    def advance(self, now: float, actions: list[Action]) -> None:
        """Start or skip the calls of waiting requests in order, up to the first one that must keep waiting."""
        self._calls.expire_lingering(now)
        waiting = self._calls.waiting
        while waiting:
            request = self._table.requests.get(waiting[0])
            if request is None or request.state is not AWAITING_DEPENDENCY or request.is_answered:
                waiting.popleft()
                continue
            step = self._calls.next_step(request, now, self._table.counts[CALLING_DEPENDENCY])
            if step is DependencyStep.WAIT:
                return
            waiting.popleft()
            if step is DependencyStep.SKIP:
                self._skip(request, now, actions)
            else:
                self._table.move(request, CALLING_DEPENDENCY, now)
                actions.append(CallDependency(request.request_id, call_timeout(request, now)))

    def _skip(self, request: TrackedRequest, now: float, actions: list[Action]) -> None:
        """Continue the run without its dependency call."""
        actions.append(SkipDependency(request.request_id))
        self._table.move(request, RUNNING, now)
