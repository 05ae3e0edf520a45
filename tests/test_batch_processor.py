"""A fault in one event, step or action of a batch: it is answered and counted, and everything else goes on."""

from __future__ import annotations

import contextlib
import io
from collections.abc import Callable
from typing import Any
from unittest import mock

from scenario import World

from lapishaven.admission import RequestArrived, RunFinished, StartRun
from lapishaven.admission.controller import Controller
from lapishaven.core.action_executor import ActionExecutor
from lapishaven.core.batch_processor import MAX_TRACEBACKS
from lapishaven.pools.settings import parse

CLASS_NAMES = ["fuzzy-match", "approve-commit"]


class FaultsInABatch(World):
    def setUp(self) -> None:
        super().setUp()
        self.play("expect vm CONNECT 0")

    def plant(self, owner: type, name: str, is_faulty: Callable[..., bool]) -> None:
        """Let a method raise if its arguments, without ``self``, are faulty."""
        original = getattr(owner, name)

        def method(component: Any, *arguments: Any) -> Any:
            if is_faulty(*arguments):
                raise RuntimeError("planted")
            return original(component, *arguments)

        patcher = mock.patch.object(owner, name, method)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.capture_errors()

    def capture_errors(self) -> None:
        errors = contextlib.redirect_stderr(io.StringIO())
        self.errors = errors.__enter__()
        self.addCleanup(errors.__exit__, None, None, None)

    def assert_faults(self, least: int) -> None:
        self.assertGreaterEqual(self.server.counters.groups["module"]["faults"], least)

    # Guards against a batch whose other events are lost with the one that the controller cannot process.
    def test_an_arrival_that_raises_is_refused_at_once_and_the_others_are_served(self) -> None:
        self.plant(
            Controller,
            "_handle_event",
            lambda event, *rest: isinstance(event, RequestArrived) and event.class_index == 1,
        )
        self.play("""
            send c1 1 fuzzy-match
            send c2 1 approve-commit key=k
            send c3 1 fuzzy-match
            expect c2 refused 1
            expect vm APPLY c1.1
            expect vm APPLY c3.1
            send vm OK c1.1
            send vm OK c3.1
            expect c1 result 1
            expect c3 result 1
        """)
        self.assertEqual(self.server.core.broker.requests, {})  # type: ignore[union-attr]
        self.assert_faults(1)

    # Guards against a step that raises in each batch, as with pools that do not know a class: runs start all the same.
    def test_a_step_that_raises_in_each_batch_stops_no_run_and_no_load_sample(self) -> None:
        self.capture_errors()
        controller = self.server.core.broker.controller  # type: ignore[union-attr]
        fault = mock.Mock(side_effect=RuntimeError("planted"))
        controller.steps = tuple(fault if step.__name__ == "reject_hopeless" else step for step in controller.steps)
        for number in range(1, 40):
            self.play(f"send c1 {number} fuzzy-match\nexpect vm APPLY c1.{number}\nsend vm OK c1.{number}")
            self.play(f"expect c1 result {number}\nwait 0.1")
        self.assert_faults(MAX_TRACEBACKS + 1)
        self.assertEqual(self.errors.getvalue().count("RuntimeError: planted"), MAX_TRACEBACKS)

    # Guards against a run that is never sent and keeps its place and its caller's wait until long after its due time.
    def test_a_start_that_raises_fails_its_request_at_once_and_gives_its_place_back(self) -> None:
        self.plant(ActionExecutor, "carry_out", lambda now, action: isinstance(action, StartRun))
        for number in range(1, 20):
            self.play(f"send c1 {number} fuzzy-match\nexpect c1 failed {number}")
        broker = self.server.core.broker
        assert broker is not None
        self.assertEqual((broker.requests, broker.controller.rules.table.requests), ({}, {}))
        self.assert_faults(19)

    def test_a_backend_that_raises_fails_the_run(self) -> None:
        backend = self.server.backends.primary
        self.plant(type(backend), "start", lambda attempt_id, class_name, *rest: class_name == "approve-commit")
        self.play("""
            send c1 1 approve-commit key=k
            expect c1 failed 1
            send c2 1 fuzzy-match
            expect vm APPLY c2.1
            send c3 1 approve-commit key=k body=c1.1
            expect c3 failed 1                       # it may have run, so it does not run again
        """)
        self.assert_faults(1)

    # Guards against a refusal of a repeat whose original runs: its caller would send it to another server.
    def test_a_repeat_whose_arrival_raises_is_failed_and_not_refused(self) -> None:
        self.play("send c1 1 approve-commit key=k\nexpect vm APPLY c1.1")
        self.plant(Controller, "_handle_event", lambda event, *rest: isinstance(event, RequestArrived))
        self.play("send c2 1 approve-commit key=k body=c1.1\nexpect c2 failed 1\nsend vm OK c1.1\nexpect c1 result 1")


class FaultsAtTheEndOfRuns(FaultsInABatch):
    pools = parse(
        {"pool": [{"name": "all", "classes": ["fuzzy-match", "approve-commit"], "share": 1.0}]}, CLASS_NAMES, 6
    )

    # Guards against places that are never given back, in the table or in a pool: there are six of them.
    def test_an_end_that_raises_gives_its_place_back(self) -> None:
        self.plant(Controller, "_handle_event", lambda event, *rest: isinstance(event, RunFinished))
        for number in range(1, 20):
            self.play(f"send c1 {number} fuzzy-match\nexpect vm APPLY c1.{number}\nwait 0.1\nsend vm OK c1.{number}")
            self.play(f"expect c1 result {number}")
        self.assertEqual(self.server.core.pools.state()["running"], 0)  # type: ignore[union-attr]
        self.assert_faults(19)
