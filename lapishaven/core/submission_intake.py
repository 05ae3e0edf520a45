"""Adds submissions to the request table, unless they can be answered immediately."""

from __future__ import annotations

from collections.abc import Mapping

from lapishaven.admission import RequestArrived
from lapishaven.core.contracts import Contract, Contracts, Denied, Party
from lapishaven.core.core_state import CoreState
from lapishaven.core.durable_execution import DurableExecution
from lapishaven.core.idempotency_keys import EffectKey
from lapishaven.core.ports import Backend, Reply
from lapishaven.core.request_lifecycle import KEY_OF_ANOTHER_REQUEST, NEVER_RAN_RETRY_AFTER_S, RequestLifecycle
from lapishaven.core.request_table import memory_of
from lapishaven.core.requests import Answer, AnswerKind, Request, RequestState, Submission
from lapishaven.core.source_fairness import RETRY_AFTER_S as FLOOD_RETRY_AFTER_S
from lapishaven.core.source_fairness import RequestSource

SOURCE_FLOODS = Answer(
    AnswerKind.REJECTED, reason="too many requests on one connection", retry_after=FLOOD_RETRY_AFTER_S
)
"""The answer to a request of a source that floods the server."""
OUT_OF_MEMORY = Answer(AnswerKind.REJECTED, reason="too many open requests", retry_after=NEVER_RAN_RETRY_AFTER_S)
"""The answer to a request that this process has no memory for."""


class SubmissionIntake:
    """Checks each submission.

    In this order: shutdown, known attempt, key with another body, contract, stored result, then whether there is room
    for it: this process's memory, and fairness between sources.

    A submission that passes is added to the table, and its arrival is reported to the controller.
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
    ) -> None:
        """Open requests may take ``memory_limit`` bytes of this process, whatever memory callers book for them.

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
        self._durable = durable
        self._contracts = contracts
        self._default_backend = default_backend
        self._routes = routes
        self._memory_limit = memory_limit

    def replace_contracts(self, contracts: Contracts | None) -> None:
        """Apply reloaded contracts, keeping the budgets of those that remain, if contracts were checked before."""
        if self._contracts is not None and contracts is not None:
            contracts.inherit(self._contracts)
            self._contracts = contracts

    def submit(self, now: float, submission: Submission, reply: Reply) -> Request | None:
        """Add a submission to the table; ``None`` if it was answered immediately."""
        self._counters.add("requests", "read")
        self.record_arrival(now, submission.source)
        answer = self._check_attempt(submission)
        if answer is not None:
            self._lifecycle.send(submission, reply, answer)
            return None
        key = self._deduplication_key(submission)
        original = self._keys.find(key, now) if key is not None else None
        peer_effect = self._guard.find_peer_effect(submission, self._settings.current) if original is None else None
        holder = original or peer_effect
        if holder is not None and self._lifecycle.is_of_another_request(submission, holder.body_digest):
            self._lifecycle.send(submission, reply, KEY_OF_ANOTHER_REQUEST)
            return None
        contract = self._charge_contract(now, submission)
        if isinstance(contract, Denied):
            self._lifecycle.send(submission, reply, self._denial(contract))
            return None
        stored_answer = self._find_stored_answer(submission)
        if stored_answer is not None:
            self._lifecycle.send(submission, reply, stored_answer)
            return None
        refusal = self._find_refusal(now, submission) if original is None and peer_effect is None else None
        if refusal is not None:
            self._counters.add("reasons", refusal.reason)
            self._lifecycle.send(submission, reply, refusal)
            return None
        request = self._add_request(now, submission, reply, contract)
        if original is not None:
            request.duplicate_of = original.request_id
        elif peer_effect is not None:
            request.duplicate_of = self._table.new_id()  # of no request here
            request.awaited_effect = peer_effect
        elif key is not None:
            self._keys.open(key, request.request_id, submission.body_digest)
        self._queue_arrival(now, request, self._has_own_deadline(submission, contract))
        return request

    # ---- Checks
    def _check_attempt(self, submission: Submission) -> Answer | None:
        """The answer to an attempt that arrives after the shutdown or is already known; ``None`` if it passes."""
        if self._drain_state.closed:
            return Answer(AnswerKind.REJECTED, reason="the server leaves", retry_after=NEVER_RAN_RETRY_AFTER_S)
        attempt_id = submission.attempt_id
        if attempt_id in self._table.by_attempt or self._guard.is_known_attempt(submission, self._settings.current):
            # The backend identifies runs by this id, so a second request with it could get the first one's result. The
            # attempt may have run, so it is failed and not rejected.
            return Answer(AnswerKind.FAILED, reason="this try is known already")
        return None

    def _deduplication_key(self, submission: Submission) -> EffectKey | None:
        """The key that duplicates share; ``None`` if the submission has no key or its class is idempotent."""
        if submission.idempotency_key is None or not self._settings.is_deduplicated(submission):
            return None
        return submission.class_index, submission.idempotency_key

    def _charge_contract(self, now: float, submission: Submission) -> Contract | Denied | None:
        """Charge the submission to the contract that covers it and return that; ``None`` if it needs no contract."""
        if self._contracts is None or submission.team is None:
            return None
        return self._contracts.admit(now, Party(submission.team, submission.service, submission.class_index))

    def _denial(self, denied: Denied) -> Answer:
        self._counters.add("reasons", denied.reason)
        kind = AnswerKind.FORBIDDEN if denied.retry_after is None else AnswerKind.REJECTED
        return Answer(kind, reason=denied.reason, retry_after=denied.retry_after)

    def _find_stored_answer(self, submission: Submission) -> Answer | None:
        """The answer from the stored result of the submission's effect; ``None`` if there is no result."""
        if self._durable is None or not self._durable.covers(submission):
            return None
        return self._durable.find_answer(submission)

    # ---- Room
    def record_arrival(self, now: float, source: RequestSource | None) -> None:
        """Count an arrival, and give up what sources that flood the server have queued."""
        if source is None:
            return
        for request in self._fairness.record_arrival(now, source, self._settings.current.cores):
            is_unstarted = request.state is RequestState.QUEUED and not request.ran and request.reply is not None
            if is_unstarted and not self._guard.is_known_effect(request.submission):
                self._counters.add("reasons", SOURCE_FLOODS.reason)
                self._lifecycle.give_up(request, SOURCE_FLOODS)

    def _find_refusal(self, now: float, submission: Submission) -> Answer | None:
        """The answer to a submission for which there is no room; ``None`` if there is, or if its effect ran before."""
        if self._guard.is_known_effect(submission):
            return None
        if self._table.held_bytes + memory_of(submission) > self._memory_limit:
            return OUT_OF_MEMORY
        cores, source = self._settings.current.cores, submission.source
        if source is not None and not self._fairness.may_open(now, source, len(self._table.requests), cores):
            return SOURCE_FLOODS
        return None

    # ---- Adding to the table
    def _add_request(self, now: float, submission: Submission, reply: Reply, contract: Contract | None) -> Request:
        """Add a submission to the table, with the earliest of the deadlines of its class, contract and caller."""
        time_limit = self._settings.current.classes[submission.class_index].deadline
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
