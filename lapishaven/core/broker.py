"""The core's entry point: collects events for the admission controller and has its actions carried out."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from lapishaven.admission import (
    AdmissionPools,
    Controller,
    DrainRequested,
    Outcome,
    RequestCancelled,
    Settings,
)
from lapishaven.core.action_executor import ActionExecutor
from lapishaven.core.active_settings import ActiveSettings
from lapishaven.core.batch_processor import BatchProcessor
from lapishaven.core.contracts import Contracts
from lapishaven.core.core_state import CoreState
from lapishaven.core.drain_state import DrainState
from lapishaven.core.durable_execution import DurableExecution
from lapishaven.core.execution_guard import ExecutionGuard
from lapishaven.core.idempotency_keys import IdempotencyKeyTable
from lapishaven.core.load_sampling import LoadSampling
from lapishaven.core.peer_effect_table import EffectName
from lapishaven.core.peer_effects import PeerEffects
from lapishaven.core.ports import (
    AttemptRecorder,
    Backend,
    DecisionListener,
    NullAttemptRecorder,
    Reply,
    ResultStore,
)
from lapishaven.core.request_lifecycle import NEVER_RAN_RETRY_AFTER_S, RequestLifecycle
from lapishaven.core.request_table import RequestTable
from lapishaven.core.requests import Answer, AnswerKind, Request, RequestState, Submission
from lapishaven.core.run_control import RunControl
from lapishaven.core.source_fairness import RequestSource, SourceFairness
from lapishaven.core.submission_intake import SubmissionIntake
from lapishaven.counters import Counters

DEFAULT_MEMORY_BYTES = 64 * 1024 * 1024
OPEN_REQUESTS_DIVISOR = 8  # open requests may take 1/8 of the memory
STORED_RESULTS_DIVISOR = 16  # results stored for duplicates may take 1/16 of the memory


class Broker:
    """Manages requests, attempts and answers around one admission controller.

    Frontends submit requests and backends report the ends of runs; both only queue events. ``turn`` hands these to the
    controller as one batch and carries out its actions. Callers pass in the time, in seconds on the host's clock::

        broker = Broker(settings, seed=1, backend=backend, listener=listener, counters=Counters())
        request = broker.submit(now, submission, reply)
        broker.turn(now)
        broker.run_finished("attempt", Outcome.OK, 0.1, b"result")
        broker.turn(now)  # ``reply`` was called with the answer
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        backend: Backend,
        listener: DecisionListener,
        counters: Counters,
        *,
        contracts: Contracts | None = None,
        routes: Mapping[str, Backend] | None = None,
        recorder: AttemptRecorder | None = None,
        memory: int = DEFAULT_MEMORY_BYTES,
        pools: AdmissionPools | None = None,
        result_store: ResultStore | None = None,
        peers: PeerEffects | None = None,
        defers_keyed: bool = False,
    ) -> None:
        """Build the core.

        Args:
            settings: classes, limits and features of the platform.
            seed: seeds the controller's random numbers and the first request id.
            backend: runs requests that no contract routes elsewhere, and provides the load samples.
            listener: receives health, idle timeout and log lines.
            counters: counts requests, answers and attempts.
            contracts: checked for submissions that name a team; ``None``: no contracts are checked.
            routes: backends by the route names in contracts.
            recorder: is notified of starts and answers; ``None``: nothing is recorded.
            memory: the process's memory in bytes; fixed fractions of it limit the execution guard and stored results.
            pools: capacity by class; ``None``: all classes share it.
            result_store: keeps results across restarts; ``None``: they are not kept.
            defers_keyed: whether requests with a key are deferred until ``earlier_runs_known`` is called.
            peers: what other processes of this server run; ``None``: there are no others.
        """
        self.counters = counters
        self.controller = Controller(settings, seed, pools)
        self.guard = ExecutionGuard(memory, peers)
        self._has_turned = False  # the first batch is passed even if empty, so that the controller sets its timers
        state = CoreState(
            settings=ActiveSettings(settings),
            table=RequestTable(seed),
            keys=IdempotencyKeyTable(memory // STORED_RESULTS_DIVISOR),
            guard=self.guard,
            drain_state=DrainState(),
            fairness=SourceFairness(),
            recorder=recorder or NullAttemptRecorder(),
            counters=counters,
            events=[],
        )
        self._settings = state.settings
        self._table = state.table
        self._drain_state = state.drain_state
        self._events = state.events
        self._peers = peers
        if peers is not None:
            peers.set_own_claims(self._is_claimed)
        self._load_sampling = LoadSampling(backend, counters, state.events)
        self._lifecycle = RequestLifecycle(state)
        durable = DurableExecution(result_store, state, self._lifecycle) if result_store is not None else None
        self._runs = RunControl(state, self._lifecycle, durable)
        executor = ActionExecutor(state, self._lifecycle, self._runs, self._load_sampling, listener)
        self._batches = BatchProcessor(self.controller, executor, self._runs, self._lifecycle, state)
        self._intake = SubmissionIntake(
            state,
            self._lifecycle,
            durable,
            contracts,
            backend,
            routes or {},
            memory // OPEN_REQUESTS_DIVISOR,
            defers_keyed,
        )

    @property
    def settings(self) -> Settings:
        """The active settings."""
        return self._settings.current

    @property
    def requests(self) -> Mapping[int, Request]:
        """The requests in the table by request id."""
        return self._table.requests

    @property
    def requests_by_attempt(self) -> Mapping[str, Request]:
        """The requests in the table by attempt id."""
        return self._table.by_attempt

    @property
    def open_requests(self) -> int:
        """The number of requests that have not been answered."""
        return len(self._table.unanswered)

    # ---- Called by frontends
    def submit(self, now: float, submission: Submission, reply: Reply) -> Request | None:
        """Add a request to the table; ``None`` if it was answered at once."""
        if self._peers is not None:
            self._peers.advance(now)
        return self._intake.submit(now, submission, reply)

    def record_unsubmitted(self, now: float, source: RequestSource) -> None:
        """Count a request that its frontend answers itself, as too many are open on the connection."""
        self._intake.record_arrival(now, source)

    def cancel(self, request: Request) -> None:
        """Cancel a request whose caller has gone: it is not answered, and the controller may stop its run."""
        if request.reply is None:
            return
        request.reply = None
        self.counters.add("requests", "gone")
        self._events.append(RequestCancelled(request.request_id))
        self._lifecycle.close_unless_running(request)

    # ---- Called by backends
    def run_finished(self, attempt_id: str, outcome: Outcome, elapsed: float, result: bytes = b"") -> None:
        """Process the end of a run that took ``elapsed`` seconds."""
        self._runs.finish(attempt_id, outcome, elapsed, result)

    def load_sampled(self, gauges: Mapping[str, float]) -> None:
        """Process the backend's gauges, by name, for all timers that wait for a sample."""
        self._load_sampling.deliver(gauges)

    # ---- Restart and reload
    def remember_run(self, started_at: float, class_index: int, key: str) -> None:
        """Record a run that an earlier process started at ``started_at``, so that its effect is not repeated."""
        self.guard.remember(started_at, class_index, key)

    def earlier_runs_known(self, now: float) -> None:
        """Go on with the requests that were deferred: all runs of earlier processes have been recorded."""
        self._intake.release_deferred(now)

    def replace_contracts(self, contracts: Contracts | None) -> None:
        """Apply reloaded contracts; a party that is still listed keeps its budget."""
        self._intake.replace_contracts(contracts)

    def apply_settings(self, settings: Settings) -> None:
        """Apply reloaded settings, in which classes keep their index.

        Raises ``ValueError`` like ``Controller.apply_settings``, in which case nothing is changed.
        """
        settings = replace(settings, slow_start=self.settings.slow_start)
        self.controller.apply_settings(settings)
        self._settings.current = settings

    # ---- Graceful shutdown
    def drain(self, now: float, kill_at: float) -> None:
        """Begin the graceful shutdown; the process is killed at ``kill_at``. Ignored if it has already begun."""
        if self._drain_state.requested_at is not None:
            return
        self._drain_state.requested_at = now
        self._drain_state.kill_at = kill_at
        self._events.append(DrainRequested(kill_at))
        self._table.schedule_final_answers(self._drain_state.final_answers_at)

    def advance_kill(self, kill_at: float) -> None:
        """Move the time of the kill forward; ignored if ``kill_at`` is later than the known time."""
        self._drain_state.kill_at = min(self._drain_state.kill_at, kill_at)
        self._table.schedule_final_answers(self._drain_state.final_answers_at)

    def answer_all(self, now: float) -> None:
        """Answer every open request in its current state, and reject all further submissions."""
        self._drain_state.closed = True
        for request in self._table.unanswered:
            if not request.ran and request.state is RequestState.QUEUED:
                answer = Answer(AnswerKind.REJECTED, reason="the server leaves", retry_after=NEVER_RAN_RETRY_AFTER_S)
            else:
                answer = Answer(AnswerKind.FAILED, reason="the server leaves")
            self._lifecycle.give_up(request, answer)

    def _is_claimed(self, name: EffectName) -> bool:
        """Whether this process has started the effect."""
        class_name, key = name
        class_index = self._settings.index_of(class_name)
        return class_index is not None and self.guard.effects.is_claimed((class_index, key))

    # ---- Processing
    def turn(self, now: float) -> None:
        """Pass the queued events to the controller, carry out its actions, and answer overdue requests."""
        if self._peers is not None:
            self._peers.advance(now)
            self._peers.poll(self._table.requests.__contains__)
            self._lifecycle.answer_from_peers()
        self._load_sampling.process_due(now)
        while self._events or not self._has_turned:
            self._has_turned = True
            batch = self._events.copy()
            self._events.clear()
            self._batches.process(now, batch)
        self._answer_overdue(now)
        self._give_up_abandoned_runs(now)

    def next_turn_at(self) -> float | None:
        """When ``turn`` next has work to do without further input; 0 for at once, ``None`` for never."""
        if self._events or not self._has_turned:
            return 0.0
        due_at = min(self._load_sampling.next_due_at(), self._table.next_due_at())
        if self._peers is not None:
            due_at = min(due_at, self._peers.next_poll_at())
        return None if due_at == float("inf") else due_at

    def _answer_overdue(self, now: float) -> None:
        """Answer requests that the controller has not answered by their deadline, or shortly before the kill."""
        while (request := self._table.next_overdue(now)) is not None:
            self.counters.add("requests", "net at due")
            self._lifecycle.give_up(request, Answer(AnswerKind.DEADLINE_EXCEEDED, reason="its due time came"))

    def _give_up_abandoned_runs(self, now: float) -> None:
        """Remove the runs whose end was still not reported long after their deadline."""
        while (request := self._table.next_abandoned(now)) is not None:
            self._runs.finish(request.submission.attempt_id, Outcome.OBSOLETE, 0.0, b"")
