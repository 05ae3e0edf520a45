"""Carries out the actions of the admission controller."""

from __future__ import annotations

from lapishaven.admission import (
    Action,
    AwaitOriginal,
    CallDependency,
    CancelRun,
    Fail,
    Log,
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
from lapishaven.admission.rejection import DEADLINE_EXPIRED
from lapishaven.core.core_state import CoreState
from lapishaven.core.load_sampling import LoadSampling
from lapishaven.core.ports import DecisionListener
from lapishaven.core.request_lifecycle import RequestLifecycle
from lapishaven.core.requests import Answer, AnswerKind, Request
from lapishaven.core.run_control import RunControl

# Labels under which actions are counted that this platform's protocol has no message for.
UNSUPPORTED_ACTION_LABELS: dict[type, str] = {PublishLoad: "say", CallDependency: "call", SkipDependency: "skip"}


class ActionExecutor:
    """Translates each action of the controller into calls on the core's components and ports."""

    def __init__(
        self,
        state: CoreState,
        lifecycle: RequestLifecycle,
        runs: RunControl,
        load_sampling: LoadSampling,
        listener: DecisionListener,
    ) -> None:
        self._table = state.table
        self._keys = state.keys
        self._counters = state.counters
        self._lifecycle = lifecycle
        self._runs = runs
        self._load_sampling = load_sampling
        self._listener = listener

    def carry_out(self, now: float, action: Action) -> None:
        """Carry out one action; an action for a request that has left the table is ignored."""
        if isinstance(action, ScheduleTimer):
            self._load_sampling.schedule(now + action.delay, action.timer_id)
        elif isinstance(action, SetHealth):
            self._listener.set_health(action.healthy)
        elif isinstance(action, SetIdleTimeout):
            self._listener.set_idle_timeout(action.timeout)
        elif isinstance(action, Log):
            self._listener.log_remark(action.text)
        elif isinstance(action, PublishLoad | CallDependency | SkipDependency):
            self._counters.add("module", f"unused {UNSUPPORTED_ACTION_LABELS[type(action)]}")
        else:
            request = self._table.requests.get(action.request_id)
            if request is not None:
                self._apply(now, request, action)

    def _apply(
        self,
        now: float,
        request: Request,
        action: StartRun | Reject | Fail | CancelRun | ReserveKey | ReleaseKey | AwaitOriginal,
    ) -> None:
        """Carry out an action for a request in the table."""
        if isinstance(action, StartRun):
            self._runs.start(now, request)
        elif isinstance(action, Reject | Fail):
            self._reject_or_fail(request, action)
        elif isinstance(action, CancelRun):
            self._runs.cancel(request)
        elif isinstance(action, ReserveKey):
            self._reserve_key(now, request, action)
        elif isinstance(action, ReleaseKey):
            self._release_key(request)
        else:
            self._lifecycle.attach_to_original(now, request)

    def _reject_or_fail(self, request: Request, action: Reject | Fail) -> None:
        """Answer a request as rejected if it never ran and the action is ``Reject``, and otherwise as failed."""
        self._counters.add("reasons", action.reason)
        if isinstance(action, Reject) and not request.ran:
            answer = Answer(
                AnswerKind.REJECTED,
                reason=action.reason,
                retry_after=action.retry_after,
                no_retry_elsewhere=action.no_retry_elsewhere,
            )
        elif action.reason == DEADLINE_EXPIRED.reason:
            answer = Answer(AnswerKind.DEADLINE_EXCEEDED, reason=action.reason)
        else:
            answer = Answer(AnswerKind.FAILED, reason=action.reason)
        self._lifecycle.answer(request, answer)
        self._lifecycle.close_unless_running(request)

    def _reserve_key(self, now: float, request: Request, action: ReserveKey) -> None:
        submission = request.submission
        if submission.idempotency_key is not None:
            key = (submission.class_index, submission.idempotency_key)
            self._keys.reserve(key, request.request_id, now + action.ttl, submission.body_digest)

    def _release_key(self, request: Request) -> None:
        submission = request.submission
        if submission.idempotency_key is not None:
            self._keys.release((submission.class_index, submission.idempotency_key), request.request_id)
