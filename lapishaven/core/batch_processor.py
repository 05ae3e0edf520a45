"""Passes batches of events to the controller and carries out its actions; a fault in one of them loses no other.

An exception here is a fault of this program. It must not end the service of all requests: what it hits is answered at
once, everything else of the batch goes on, and the fault is counted and printed.
"""

from __future__ import annotations

import sys
import traceback

from lapishaven.admission import Action, Controller, Event, Outcome, RequestArrived, RunFinished, StartRun
from lapishaven.core.action_executor import ActionExecutor
from lapishaven.core.core_state import CoreState
from lapishaven.core.request_lifecycle import NEVER_RAN_RETRY_AFTER_S, RequestLifecycle
from lapishaven.core.requests import Answer, AnswerKind, RequestState
from lapishaven.core.run_control import RunControl

MAX_TRACEBACKS = 20  # printed in all; a fault of every turn would fill the log
FAULT_COUNTER = "faults"  # in the counter group of the module
NEVER_RAN = Answer(AnswerKind.REJECTED, reason="a fault of the server", retry_after=NEVER_RAN_RETRY_AFTER_S)
"""The answer to a request whose arrival the controller could not process."""
MAY_HAVE_RUN = Answer(AnswerKind.FAILED, reason="a fault of the server")
"""The answer to a request for which an action could not be carried out, and to a repeat of another one."""


class BatchProcessor:
    """Processes batches for the core; ``faults`` counts the exceptions so far."""

    def __init__(
        self,
        controller: Controller,
        executor: ActionExecutor,
        runs: RunControl,
        lifecycle: RequestLifecycle,
        state: CoreState,
    ) -> None:
        self.faults = 0
        self._controller = controller
        self._executor = executor
        self._runs = runs
        self._lifecycle = lifecycle
        self._table = state.table
        self._counters = state.counters

    def process(self, now: float, batch: list[Event]) -> None:
        """Pass a batch to the controller and carry out its actions."""
        self._counters.add("module", "batches")
        actions: list[Action] = []
        self._handle_events(now, batch, actions)
        self._take_steps(now, actions)
        self._carry_out(now, actions)

    # ---- The parts of a batch; each goes on after a fault
    def _handle_events(self, now: float, batch: list[Event], actions: list[Action]) -> None:
        for event in batch:
            try:
                self._controller.handle_event(now, event, actions)
            except Exception:
                self._record_fault()
                self._drop_event(now, event)

    def _take_steps(self, now: float, actions: list[Action]) -> None:
        for step in self._controller.steps:
            try:
                step(now, actions)
            except Exception:
                self._record_fault()

    def _carry_out(self, now: float, actions: list[Action]) -> None:
        for action in actions:
            try:
                self._executor.carry_out(now, action)
            except Exception:
                self._record_fault()
                self._drop_action(action)

    def _record_fault(self) -> None:
        """Count the exception that is being handled, and print its traceback unless there were many."""
        self.faults += 1
        self._counters.add("module", FAULT_COUNTER)
        if self.faults <= MAX_TRACEBACKS:
            traceback.print_exc(file=sys.stderr)

    def _drop_event(self, now: float, event: Event) -> None:
        """Give up what an event that the controller could not process is about. A repeat's original may have run."""
        if isinstance(event, RequestArrived):
            request = self._table.requests.get(event.request_id)
            if request is not None:
                self._lifecycle.give_up(request, NEVER_RAN if request.duplicate_of is None else MAY_HAVE_RUN)
        elif isinstance(event, RunFinished):
            try:
                self._controller.discard(now, event.request_id)
            except Exception:
                self._record_fault()

    def _drop_action(self, action: Action) -> None:
        """Give up the request of an action that could not be carried out; it may have run."""
        request = self._table.requests.get(getattr(action, "request_id", 0))
        if request is None:
            return
        if not isinstance(action, StartRun):
            self._lifecycle.give_up(request, MAY_HAVE_RUN)
        elif request.state is RequestState.RUNNING:
            self._runs.finish(request.submission.attempt_id, Outcome.ERROR, 0.0, b"")
        else:
            self._lifecycle.end_without_run(request, MAY_HAVE_RUN)
