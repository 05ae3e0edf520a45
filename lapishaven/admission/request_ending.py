"""Ends requests that were rejected, failed, cancelled or completed."""

from __future__ import annotations

from lapishaven.admission import rejection
from lapishaven.admission.actions import Action, CancelRun, Fail, Reject, ReleaseKey
from lapishaven.admission.events import Outcome, RunFinished
from lapishaven.admission.rejection import Rejection
from lapishaven.admission.request import AWAITING_ORIGINAL, CALLING_DEPENDENCY, PAUSED, QUEUED, RUNNING, TrackedRequest
from lapishaven.admission.rules import AdmissionRules


class RequestEnding:
    """Ends requests and releases what they hold. The methods append to ``actions``."""

    __slots__ = ("_rules", "_table")

    def __init__(self, rules: AdmissionRules) -> None:
        self._rules = rules
        self._table = rules.table

    def reject(self, request: TrackedRequest, verdict: Rejection, now: float, actions: list[Action]) -> None:
        """Reject a request that never ran, with a Retry-After if callers honour one; fail any other request."""
        if request.has_run or request.state is not QUEUED:
            actions.append(Fail(request.request_id, verdict.reason))
        else:
            rules = self._rules
            probability = rules.shedding.probability
            retry_after = rules.signal.retry_after(probability, rules.drain.is_active, verdict.retry_after)
            actions.append(Reject(request.request_id, verdict.reason, retry_after, verdict.no_retry_elsewhere))
        self.abandon(request, now, actions)

    def abandon(self, request: TrackedRequest, now: float, actions: list[Action]) -> None:
        """Remove a request that no caller waits for, or cancel its run if the host supports that."""
        rules = self._rules
        state = request.state
        if state in (QUEUED, AWAITING_ORIGINAL, PAUSED):
            if rules.reservations.release(request):
                actions.append(ReleaseKey(request.request_id))
            self._remove(request, now)
            if rules.pools is not None:
                rules.pools.dequeue(request.request_id)
            return
        if request.is_answered:
            return
        request.is_answered = True
        if state is CALLING_DEPENDENCY:
            rules.dependency.add_lingering(now)
        elif state is RUNNING and rules.settings.cancellation is not None:
            actions.append(CancelRun(request.request_id))

    def reject_expired(self, now: float, actions: list[Action]) -> None:
        """Reject or fail the requests whose deadline for an answer has passed."""
        for request_id in self._rules.deadlines.pop_expired(now):
            request = self._table.requests.get(request_id)
            if request is not None and not request.is_answered:
                self.reject(request, rejection.DEADLINE_EXPIRED, now, actions)

    def finish_run(self, request: TrackedRequest, event: RunFinished, now: float, actions: list[Action]) -> None:
        """Process the end of a run, or of a duplicate's wait for its original."""
        rules = self._rules
        succeeded = event.outcome is Outcome.OK
        was_cancelled = event.outcome is Outcome.CANCELLED and not request.is_answered
        if rules.pools is not None:
            if was_cancelled and rules.pools.requeue_preempted(now, request.request_id):
                self._table.move(request, PAUSED, now)
                return
            rules.pools.run_ended(now, request.request_id, succeeded, request.is_probe)
        if succeeded and request.state is RUNNING and not request.is_answered:
            rules.run_latency.record(request.class_index, event.elapsed, request.is_probe)
            rules.probes.record_sample(request.class_index, now)
        if was_cancelled:
            self._table.move(request, QUEUED, now)
            self.reject(request, rejection.RUN_CANCELLED, now, actions)
        else:
            self._remove(request, now)

    def _remove(self, request: TrackedRequest, now: float) -> None:
        """Remove a request that has ended."""
        self._table.remove(request)
        self._rules.probes.end(request, now)
