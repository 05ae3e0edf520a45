"""Duplicates and broken connections that coincide with the end of a run, each in the unfavourable order."""

from __future__ import annotations

from collections.abc import Callable
from unittest import mock

from scenario import SETTINGS, World, configuration, settings

from lapishaven.admission import rejection
from lapishaven.admission.arrival import ArrivalHandler
from lapishaven.core.broker import Broker
from lapishaven.core.contracts import Contract
from lapishaven.core.drain_state import DrainState
from lapishaven.core.execution_guard import CLOCK_SLACK_S
from lapishaven.core.source_fairness import SourceFairness

KEYED = {"effect": "guarded", "window": 3.0}
WINDOW_S, DEADLINE_S, POLL_S = 3.0, 3.8, 0.1
DUPLICATE = "approve-commit key=k rep=1 body=c1.1"


class Duplicates(World):
    settings = settings([{}, KEYED])

    def has_result(self, name: str) -> bool:
        return b'"result"' in bytes(self.peers[name].data)

    def start_run(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 approve-commit key=k
            expect vm APPLY c1.1
        """)

    # Guards against a second run or a lost answer if a duplicate and the end of its original arrive in the same turn.
    def test_a_duplicate_that_arrives_in_the_same_turn_as_the_end_of_its_original(self) -> None:
        for end_first in (True, False):
            with self.subTest(end_first=end_first):
                self.tearDown()
                self.setUp()
                self.start_run()
                caller = self.peer("c2")
                self.pump()
                line = self.message("c2", "1", *DUPLICATE.split())
                for is_end in (True, False) if end_first else (False, True):
                    if is_end:
                        self.vm.end("OK", "c1.1")
                    else:
                        caller.sock.sendall(line)
                self.pump()
                self.assertEqual(
                    (self.has_result("c1"), self.has_result("c2"), self.vm.applied), (True, True, ["c1.1"])
                )

    # Guards against stopping a run whose own caller has gone while a duplicate still waits for its result.
    def test_a_run_continues_for_a_duplicate_after_its_own_caller_has_gone(self) -> None:
        self.start_run()
        self.play(f"""
            send c2 1 {DUPLICATE}
            send c1 forget 1
            expect vm nothing
            send vm OK c1.1
        """)
        self.assertTrue(self.has_result("c2"))

    def test_a_duplicate_that_arrives_while_the_run_is_being_stopped_resumes_it(self) -> None:
        self.start_run()
        self.play(f"""
            send c1 forget 1
            expect vm BREAK c1.1
            send c2 1 {DUPLICATE}
            send vm STOPPED c1.1
            expect vm CONTINUE c1.1
            send vm OK c1.1
        """)
        self.assertTrue(self.has_result("c2"))

    def test_a_run_that_no_caller_waits_for_is_stopped(self) -> None:
        self.start_run()
        self.play(f"""
            send c2 1 {DUPLICATE}
            send c2 forget 1
            send c1 forget 1
            expect vm BREAK c1.1
            send vm STOPPED c1.1
            expect vm nothing
        """)
        assert self.server.broker is not None
        self.assertEqual(self.server.broker.requests, {})

    # Guards against a second run shortly before or after the end of the idempotency window.
    def test_nothing_runs_twice_around_the_end_of_the_window(self) -> None:
        for wait_s, answer in (
            (WINDOW_S - 0.1, "result"),
            (WINDOW_S + POLL_S + 0.2, "failed"),
            (WINDOW_S + DEADLINE_S, "failed"),
        ):
            with self.subTest(wait_s=wait_s):
                self.tearDown()
                self.setUp()
                self.start_run()
                self.play(
                    f"send vm OK c1.1\nexpect c1 result 1\nwait {wait_s}\nsend c2 1 {DUPLICATE}\nexpect vm nothing"
                )
                received = bytes(self.peers["c2"].data)
                self.assertIn(b'"result"' if answer == "result" else b"-32000", received)

    def test_a_key_is_a_new_request_long_after_its_window(self) -> None:
        self.start_run()
        self.play(f"""
            send vm OK c1.1
            expect c1 result 1
            wait {WINDOW_S + DEADLINE_S + CLOCK_SLACK_S + 0.1}
            send c2 1 {DUPLICATE}
            expect vm APPLY c1.1
        """)

    # Guards against a key that runs again because a reload shortened its window: the window at the run's start counts.
    def test_a_reload_that_shortens_the_window_frees_no_key_early(self) -> None:
        self.start_run()
        self.play("send vm OK c1.1\nexpect c1 result 1")
        self.files = configuration(vm="127.0.0.1:2", settings=settings([{}, {**KEYED, "window": 0.5}]))
        self.play(f"""
            send server HUP
            wait 1.5
            send c2 1 {DUPLICATE}
            expect vm nothing
        """)
        self.assertTrue(self.has_result("c2"))

    def test_a_class_that_becomes_keyed_in_a_reload_deduplicates_attempts_from_then_on(self) -> None:
        self.files = configuration(vm="127.0.0.1:2", settings=SETTINGS)
        self.play("expect vm CONNECT 0\nsend server HUP")
        self.files = configuration(vm="127.0.0.1:2", settings=self.settings)
        self.play(f"""
            send server HUP
            send c1 1 approve-commit key=k
            expect vm APPLY c1.1
            send c2 1 {DUPLICATE}
            expect vm nothing
            send vm OK c1.1
        """)
        self.assertTrue(self.has_result("c1") and self.has_result("c2"))

    # Guards against rejecting a duplicate although its original started; only an original that never ran allows that.
    def test_a_duplicate_of_a_run_that_was_lost_with_its_connection_is_failed(self) -> None:
        self.play("expect vm CONNECT 0\nlose vm 1000")
        self.play(f"""
            send c1 1 approve-commit key=k
            send c2 1 {DUPLICATE}
            close vm
            lose vm 0
            wait 0.5
            expect c1 failed 1
            expect c2 failed 1
        """)


class Connections(World):
    # Guards against a result that is cut off by the end of the connection, or assembled from two connections.
    def test_a_result_that_was_cut_off_is_received_completely_on_the_next_connection(self) -> None:
        self.play("expect vm CONNECT 0\nsend c1 1 approve-commit\nexpect vm APPLY c1.1")
        assert self.vm.link is not None
        line = f"VALUE 1 {self.vm.handles['c1.1']} OK 200 9\r\ndone c".encode()
        for length in (len(line), len(line) - 6, 10):
            self.vm.link.sock.sendall(line[:length])
            self.play("""
                close vm
                expect c1 nothing
                wait 0.11
                expect vm CONNECT 0
                expect vm BREAK c1.1
            """)
        self.play("""
            send vm OK c1.1
            expect c1 result 1
        """)
        self.assertEqual(self.vm.applied, ["c1.1"])

    # Guards against a run that counts as lost although its end arrived on a later connection than the query for it.
    def test_the_end_of_a_run_arrives_on_a_later_connection_than_the_query_for_it(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 approve-commit
            expect vm APPLY c1.1
            close vm
            wait 0.05
            expect vm CONNECT 0
            expect vm BREAK c1.1
            close vm
            wait 0.05
            expect vm CONNECT 0
            send vm OK c1.1
            expect c1 result 1
            wait 0.5
            expect c1 nothing
        """)
        self.assertEqual(self.vm.applied, ["c1.1"])

    # Guards against commands on a closed connection: the data received before its end may contain a start banner.
    def test_a_banner_that_is_read_together_with_the_end_of_the_connection_starts_nothing_on_it(self) -> None:
        self.vm.banner = None
        self.play("""
            expect vm CONNECT 0
            close vm
            wait 0.3
            expect vm CONNECT 0
        """)
        self.vm.tell("BANNER WARM 500")
        assert self.vm.link is not None
        self.vm.link.sock.close()
        self.vm.link.closed = True
        self.server.loop.round(0, self.server.turn)
        self.vm.banner = "WARM"
        self.play("""
            send c1 1 approve-commit
            wait 0.5
            expect vm CONNECT 0
            expect vm APPLY c1.1
            send vm OK c1.1
            expect c1 result 1
        """)
        self.assertEqual(self.vm.applied, ["c1.1"])


class RepeatsBeforeRefusals(World):
    """Each check that can refuse a request, against a repeat in each state of its original."""

    settings = settings([{}, KEYED])
    contracts = [Contract("team", "gateway", "approve-commit", DEADLINE_S, "interpreter", rate=0.001, burst=3.0)]

    @property
    def broker(self) -> Broker:
        assert self.server.broker is not None
        return self.server.broker

    # ---- States of the original
    def running(self) -> None:
        self.play("expect vm CONNECT 0\nsend u1 approve-commit id=k by=gateway\nexpect vm APPLY u1")

    def served(self) -> None:
        self.running()
        self.play("send vm OK u1\nexpect u1 200 u1")

    def failed(self) -> None:
        self.running()
        self.play("send vm ERROR u1\nexpect u1 502")

    def served_and_evicted(self) -> None:
        self.served()
        keys = self.broker._lifecycle._keys
        keys.result_limit_bytes = 0
        keys._evict_results()

    def served_before_its_window(self) -> None:
        self.served()
        self.play(f"wait {WINDOW_S + 0.3}")

    # ---- Checks that refuse whatever is no repeat
    def over_budget(self) -> None:
        assert self.broker._intake._contracts is not None
        self.broker._intake._contracts._buckets[self.contracts[0].party].tokens = 0.0

    def out_of_memory(self) -> None:
        self.broker._intake._memory_limit = 0

    def flooded(self) -> None:
        self.patch(SourceFairness, "may_open", lambda *arguments: False)

    def overloaded(self) -> None:
        self.patch(ArrivalHandler, "_verdict", lambda *arguments: rejection.OVERLOADED)

    def out_of_booked_memory(self) -> None:
        self.broker.controller.rules.memory._limit_kb = 0.0

    def closed(self) -> None:
        self.broker._drain_state.closed = True

    def past_the_grace_of_a_drain(self) -> None:
        self.patch(DrainState, "arrived_after_grace", lambda *arguments: True)

    def patch(self, owner: type, name: str, replacement: Callable[..., object]) -> None:
        patcher = mock.patch.object(owner, name, replacement)
        patcher.start()
        self.patches.append(patcher)

    def status(self, name: str) -> bytes:
        self.pump()
        return bytes(self.peers[name].data)[9:12]

    def start_again(self) -> None:
        self.tearDown()
        self.setUp()
        self.patches: list[mock._patch[object]] = []

    # Guards against a repeat that is refused though its effect runs or ran: its caller sends it to another server.
    def test_no_check_refuses_a_repeat_of_what_runs_or_ran(self) -> None:
        states = (self.running, self.served, self.failed, self.served_and_evicted, self.served_before_its_window)
        checks = (
            self.over_budget,
            self.out_of_memory,
            self.flooded,
            self.overloaded,
            self.out_of_booked_memory,
            self.closed,
            self.past_the_grace_of_a_drain,
        )
        for state in states:
            for check in checks:
                with self.subTest(state=state.__name__, check=check.__name__):
                    self.start_again()
                    state()
                    check()
                    try:
                        self.play("send u2 approve-commit id=k by=gateway body=u1 retry=1")
                        self.play("send u3 approve-commit id=other by=gateway")
                        if state == self.running:
                            self.play("send vm OK u1")
                        has_result = state in (self.running, self.served) and check != self.closed
                        self.assertEqual(self.status("u2"), b"200" if has_result else b"502")
                        self.assertEqual(self.status("u3"), b"503")
                        self.assertEqual(self.vm.applied, ["u1"])
                    finally:
                        for patcher in self.patches:
                            patcher.stop()

    # Guards against a repeat that gets a result to which its party has no right, and against one that costs budget.
    def test_a_repeat_costs_no_budget_and_needs_a_contract(self) -> None:
        self.served()
        for number in range(4, 14):
            self.play(f"send u{number} approve-commit id=k by=gateway body=u1\nexpect u{number} 200 u1")
        self.play("send u20 approve-commit id=k by=stranger body=u1\nexpect u20 403")
        self.play("send u21 approve-commit id=new by=gateway\nexpect vm APPLY u21")
