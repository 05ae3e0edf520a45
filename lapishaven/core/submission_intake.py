"""Adds submissions to the request table, unless they can be answered immediately."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from lapishaven.admission import RequestArrived
from lapishaven.core.contracts import Contract, Contracts, Denied, Party
from lapishaven.core.core_state import CoreState
from lapishaven.core.durable_execution import DurableExecution
from lapishaven.core.idempotency_keys import KeyEntry
from lapishaven.core.peer_effect_table import PeerEffect
from lapishaven.core.ports import Backend, Reply
from lapishaven.core.repeats import RAN_BEFORE, Original, Repeats
from lapishaven.core.request_lifecycle import NEVER_RAN_RETRY_AFTER_S, RequestLifecycle
from lapishaven.core.request_table import memory_of
from lapishaven.core.requests import Answer, AnswerKind, Request, RequestState, Submission
from lapishaven.core.source_fairness import RETRY_AFTER_S as FLOOD_RETRY_AFTER_S
from lapishaven.core.source_fairness import RequestSource

SOURCE_FLOODS = Answer(
    AnswerKind.REJECTED, reason="too many requests on one connection", retry_after=FLOOD_RETRY_AFTER_S
)
"""The answer to a request of a source that floods the server."""
LEAVES = Answer(AnswerKind.REJECTED, reason="the server leaves", retry_after=NEVER_RAN_RETRY_AFTER_S)
"""The answer to a request that came after the server had answered all others."""
LEAVES_WITHOUT_RESULT = Answer(AnswerKind.FAILED, reason="the server leaves")
"""The answer to a repeat that came then: its original runs or ran."""
OUT_OF_MEMORY = Answer(AnswerKind.REJECTED, reason="too many open requests", retry_after=NEVER_RAN_RETRY_AFTER_S)
"""The answer to a request that this process has no memory for."""


MAY_HAVE_RUN_BEFORE = Answer(AnswerKind.FAILED, reason="what ran before is not known yet, and it may have run")
"""The answer to a submission that cannot be deferred until the runs of earlier processes are known."""


class DeferredRequest(NamedTuple):
    """A request that waits until the runs of earlier processes are known, and the contract that covers it."""

    request: Request
    contract: Contract | None


class SubmissionIntake:
    """Checks each submission, in this order.

    1. Whether its party has a contract; without one it gets nothing, no result of a repeat either.
    2. Whether it is a repeat (``Repeats``). A repeat is not charged to its contract, and nothing below refuses it.
    3. Shutdown, the budget of its contract, and whether there is room for it: this process's memory, and fairness
       between sources.

    A submission that passes, or waits for the result of its original, is added to the table, and its arrival is
    reported to the controller.
    """

    def __init__(
        self,
        state: CoreState,
        lifecycle: RequestLifecycle,
        durable: DurableExecution | None,
        contracts: Contracts | None,
        default_backend: Backend,
        routes: Mapping[str, Backend],
        memory_limit: int,
        defers_keyed: bool,
    ) -> None:
        """Open requests may take ``memory_limit`` bytes of this process, whatever memory callers book for them.

        ``defers_keyed``: whether submissions with a key, which may have run before, wait for ``release_deferred``.

        ``contracts`` is ``None`` if no contracts are checked, ``durable`` if no result store is configured.

        ``routes`` maps the route names in contracts to backends.
        """
        self._settings = state.settings
        self._table = state.table
        self._keys = state.keys
        self._guard = state.guard
        self._drain_state = state.drain_state
        self._fairness = state.fairness
        self._counters = state.counters
        self._events = state.events
        self._lifecycle = lifecycle
        self._repeats = Repeats(state, lifecycle, durable)
        self._contracts = contracts
        self._default_backend = default_backend
        self._routes = routes
        self._memory_limit = memory_limit
        self._deferred: list[DeferredRequest] | None = [] if defers_keyed else None  # None: none is deferred any more

    def replace_contracts(self, contracts: Contracts | None) -> None:
        """Apply reloaded contracts, keeping the budgets of those that remain, if contracts were checked before."""
        if self._contracts is not None and contracts is not None:
            contracts.inherit(self._contracts)
            self._contracts = contracts

    def submit(self, now: float, submission: Submission, reply: Reply) -> Request | None:
        """Add a submission to the table; ``None`` if it was answered immediately."""
        self._counters.add("requests", "read")
        self.record_arrival(now, submission.source)
        contract = self._find_contract(submission)
        if isinstance(contract, Denied):
            self._lifecycle.send(submission, reply, self._denial(contract))
            return None
        repeat = self._repeats.resolve(now, submission)
        key = self._repeats.key_of(submission)
        is_deferred = self._deferred is not None and key is not None and repeat is None
        if repeat is not None:
            answer = self._answer_repeat(repeat)
        else:
            answer = self._refuse_to_defer(submission) if is_deferred else self._refuse(now, submission, contract)
        if answer is not None:
            self._lifecycle.send(submission, reply, answer)
            return None
        request = self._add_request(now, submission, reply, contract)
        if isinstance(repeat, KeyEntry):
            request.duplicate_of = repeat.request_id
        elif isinstance(repeat, PeerEffect):
            request.duplicate_of = self._table.new_id()  # of no request here
            request.awaited_effect = repeat
        elif key is not None:
            self._keys.open(key, request.request_id, submission.body_digest)
        if is_deferred and self._deferred is not None:
            request.state = RequestState.DEFERRED
            self._deferred.append(DeferredRequest(request, contract))
        else:
            self._queue_arrival(now, request, self._has_own_deadline(submission, contract))
        return request

    # ---- Submissions that may have run in an earlier process
    def _refuse_to_defer(self, submission: Submission) -> Answer | None:
        """The answer to a submission that cannot be deferred, ``None`` if it can; it may have run, so it is failed."""
        has_room = self._table.held_bytes + memory_of(submission) <= self._memory_limit
        return None if has_room and not self._drain_state.closed else MAY_HAVE_RUN_BEFORE

    def release_deferred(self, now: float) -> None:
        """Check the deferred requests: all effects that earlier processes may have run have been remembered."""
        deferred, self._deferred = self._deferred or [], None
        for request, contract in deferred:
            if request.state is RequestState.DEFERRED:
                self._release(now, request, contract)

    def _release(self, now: float, request: Request, contract: Contract | None) -> None:
        submission = request.submission
        request.state = RequestState.QUEUED
        if self._guard.is_known_effect(now, submission):
            request.ran = True  # which its duplicates are to be told
            self._lifecycle.give_up(request, RAN_BEFORE)
            return
        refusal = self._refuse(now, submission, contract)
        if refusal is not None:
            self._lifecycle.give_up(request, refusal)
        else:
            self._queue_arrival(now, request, self._has_own_deadline(submission, contract))

    # ---- Checks
    def _answer_repeat(self, repeat: Answer | Original) -> Answer | None:
        """The answer to a repeat; ``None`` if it waits for the result of its original."""
        if isinstance(repeat, Answer):
            return repeat
        return LEAVES_WITHOUT_RESULT if self._drain_state.closed else None

    def _refuse(self, now: float, submission: Submission, contract: Contract | None) -> Answer | None:
        """The answer to a submission that is no repeat and is refused; ``None`` if it is not.

        It is charged to its contract unless the server leaves.
        """
        if self._drain_state.closed:
            return LEAVES
        denied = self._contracts.charge(now, contract) if contract is not None and self._contracts is not None else None
        if denied is not None:
            return self._denial(denied)
        refusal = self._find_refusal(now, submission)
        if refusal is not None:
            self._counters.add("reasons", refusal.reason)
        return refusal

    def _find_contract(self, submission: Submission) -> Contract | Denied | None:
        """The contract that covers the submission; ``None`` if it needs none."""
        if self._contracts is None or submission.team is None:
            return None
        class_name = self._settings.class_of(submission).name
        return self._contracts.find(Party(submission.team, submission.service, class_name))

    def _denial(self, denied: Denied) -> Answer:
        self._counters.add("reasons", denied.reason)
        kind = AnswerKind.FORBIDDEN if denied.retry_after is None else AnswerKind.REJECTED
        return Answer(kind, reason=denied.reason, retry_after=denied.retry_after)

    # ---- Room
    def record_arrival(self, now: float, source: RequestSource | None) -> None:
        """Count an arrival, and give up what sources that flood the server have queued."""
        if source is None:
            return
        for request in self._fairness.record_arrival(now, source, self._settings.current.cores):
            is_unstarted = request.state is RequestState.QUEUED and not request.ran and request.reply is not None
            if is_unstarted:
                self._counters.add("reasons", SOURCE_FLOODS.reason)
                self._lifecycle.give_up(request, SOURCE_FLOODS)

    def _find_refusal(self, now: float, submission: Submission) -> Answer | None:
        """The answer to a submission for which there is no room; ``None`` if there is."""
        if self._table.held_bytes + memory_of(submission) > self._memory_limit:
            return OUT_OF_MEMORY
        cores, source = self._settings.current.cores, submission.source
        if source is not None and not self._fairness.may_open(now, source, len(self._table.requests), cores):
            return SOURCE_FLOODS
        return None

    # ---- Adding to the table
    def _add_request(self, now: float, submission: Submission, reply: Reply, contract: Contract | None) -> Request:
        """Add a submission to the table, with the earliest of the deadlines of its class, contract and caller."""
        request_class = self._settings.class_of(submission)
        time_limit = request_class.deadline
        backend = self._default_backend
        if contract is not None:
            time_limit = min(time_limit, contract.deadline)
            backend = self._routes[contract.route]
        if self._settings.current.propagates_deadline and submission.time_left is not None:
            # Never longer than the class's deadline, which bounds how long resources are reserved for the request.
            time_limit = min(time_limit, submission.time_left)
        arrived_at = now - min(max(submission.age, 0.0), time_limit)
        request = Request(
            request_id=self._table.new_id(),
            submission=submission,
            request_class=request_class,
            reply=reply,
            arrived_at=arrived_at,
            deadline=arrived_at + time_limit,
            backend=backend,
        )
        self._table.add(request)
        if submission.source is not None:
            request.source_records = submission.source.records(now)
            for record in request.source_records:
                record.open_requests[request.request_id] = request
        answer_at = min(max(request.deadline, now), self._drain_state.final_answers_at)
        self._table.schedule_final_answer(answer_at, request)
        return request

    def _has_own_deadline(self, submission: Submission, contract: Contract | None) -> bool:
        """Whether its caller sets a time limit for the submission, or its contract a shorter one than its class."""
        if self._settings.current.propagates_deadline and submission.time_left is not None:
            return True
        return contract is not None and contract.deadline < self._settings.class_of(submission).deadline

    def _queue_arrival(self, now: float, request: Request, has_own_deadline: bool) -> None:
        """Queue the arrival event of a request for the controller."""
        submission = request.submission
        source = submission.source
        self._events.append(
            RequestArrived(
                request_id=request.request_id,
                memory_kb=submission.memory_kb,
                tenant_index=submission.tenant_index,
                deadline=request.deadline if has_own_deadline else None,
                caller_id=submission.caller_id if source is None else source.bounded_caller(submission.caller_id),
                age=now - request.arrived_at,
                is_retry=submission.is_retry,
                is_write=submission.is_write,
                class_index=submission.class_index,
                rank=submission.rank,
                subject=submission.subject,
                cost_hint=None,
                duplicate_of=request.duplicate_of,
            )
        )
