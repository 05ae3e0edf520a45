"""Repeats and broken links that cross the end of a run, each in the bad order every time."""

from __future__ import annotations

from scenario import SETTINGS, World, configuration, settings

from lapishaven.core.execution_guard import CLOCK_SLACK_S

KEYED = {"effect": "guarded", "window": 3.0}
WINDOW, DEADLINE, POLL = 3.0, 3.8, 0.1
AGAIN = "approve-commit key=k rep=1 body=c1.1"


class Repeats(World):
    settings = settings([{}, KEYED])

    def result(self, name: str) -> bool:
        return b'"result"' in bytes(self.peers[name].data)

    def begin(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 approve-commit key=k
            expect vm APPLY c1.1
        """)

    # Guards against a second run, or a lost answer, as a repeat and its first try's end come in one wake-up.
    def test_a_repeat_in_one_wake_up_with_the_end_of_its_first_try(self) -> None:
        for end_first in (True, False):
            with self.subTest(end_first=end_first):
                self.tearDown()
                self.setUp()
                self.begin()
                caller = self.peer("c2")
                self.pump()
                line = self.message("c2", "1", *AGAIN.split())
                for step in (True, False) if end_first else (False, True):
                    if step:
                        self.vm.end("OK", "c1.1")
                    else:
                        caller.sock.sendall(line)
                self.pump()
                self.assertEqual((self.result("c1"), self.result("c2"), self.vm.applied), (True, True, ["c1.1"]))

    # Guards against a stopped run that takes along the repeat which waits for it: its caller left only the first try.
    def test_a_run_goes_on_for_a_repeat_though_its_first_caller_leaves(self) -> None:
        self.begin()
        self.play(f"""
            send c2 1 {AGAIN}
            send c1 forget 1
            expect vm nothing
            send vm OK c1.1
        """)
        self.assertTrue(self.result("c2"))

    def test_a_repeat_that_comes_as_its_first_try_is_stopped_has_it_go_on(self) -> None:
        self.begin()
        self.play(f"""
            send c1 forget 1
            expect vm BREAK c1.1
            send c2 1 {AGAIN}
            send vm STOPPED c1.1
            expect vm CONTINUE c1.1
            send vm OK c1.1
        """)
        self.assertTrue(self.result("c2"))

    def test_one_that_nobody_waits_for_is_stopped(self) -> None:
        self.begin()
        self.play(f"""
            send c2 1 {AGAIN}
            send c2 forget 1
            send c1 forget 1
            expect vm BREAK c1.1
            send vm STOPPED c1.1
            expect vm nothing
        """)
        assert self.server.broker is not None
        self.assertEqual(self.server.broker.requests, {})

    # Guards against a second run at either side of the window's edge.
    def test_at_the_edge_of_the_window_nothing_runs_twice(self) -> None:
        for after, again in ((WINDOW - 0.1, "result"), (WINDOW + POLL + 0.2, "failed"), (WINDOW + DEADLINE, "failed")):
            with self.subTest(after=after):
                self.tearDown()
                self.setUp()
                self.begin()
                self.play(f"send vm OK c1.1\nexpect c1 result 1\nwait {after}\nsend c2 1 {AGAIN}\nexpect vm nothing")
                said = bytes(self.peers["c2"].data)
                self.assertIn(b'"result"' if again == "result" else b"-32000", said)

    def test_long_after_its_window_a_key_is_a_new_request(self) -> None:
        self.begin()
        self.play(f"""
            send vm OK c1.1
            expect c1 result 1
            wait {WINDOW + DEADLINE + CLOCK_SLACK_S + 0.1}
            send c2 1 {AGAIN}
            expect vm APPLY c1.1
        """)

    # Guards against a key that runs again as its window shrank in a reload: it counts as it was when the run began.
    def test_a_window_that_shrinks_in_a_reload_frees_no_key_early(self) -> None:
        self.begin()
        self.play("send vm OK c1.1\nexpect c1 result 1")
        self.files = configuration(vm="127.0.0.1:2", settings=settings([{}, {**KEYED, "window": 0.5}]))
        self.play(f"""
            send server HUP
            wait 1.5
            send c2 1 {AGAIN}
            expect vm nothing
        """)
        self.assertTrue(self.result("c2"))

    def test_a_class_that_becomes_keyed_in_a_reload_links_tries_from_then_on(self) -> None:
        self.files = configuration(vm="127.0.0.1:2", settings=SETTINGS)
        self.play("expect vm CONNECT 0\nsend server HUP")
        self.files = configuration(vm="127.0.0.1:2", settings=self.settings)
        self.play(f"""
            send server HUP
            send c1 1 approve-commit key=k
            expect vm APPLY c1.1
            send c2 1 {AGAIN}
            expect vm nothing
            send vm OK c1.1
        """)
        self.assertTrue(self.result("c1") and self.result("c2"))

    # Guards against a refusal of what started: only a first try that never ran lets its repeat be refused.
    def test_a_repeat_of_a_run_that_was_lost_with_its_link_is_failed(self) -> None:
        self.play("expect vm CONNECT 0\nlose vm 1000")
        self.play(f"""
            send c1 1 approve-commit key=k
            send c2 1 {AGAIN}
            close vm
            lose vm 0
            wait 0.5
            expect c1 failed 1
            expect c2 failed 1
        """)


class Links(World):
    # Guards against a result that is cut by the link's end, or pieced together from two links.
    def test_a_result_that_is_cut_comes_whole_on_the_next_link(self) -> None:
        self.play("expect vm CONNECT 0\nsend c1 1 approve-commit\nexpect vm APPLY c1.1")
        assert self.vm.link is not None
        line = f"VALUE 1 {self.vm.handles['c1.1']} OK 200 9\r\ndone c".encode()
        for cut in (len(line), len(line) - 6, 10):
            self.vm.link.sock.sendall(line[:cut])
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

    # Guards against a run given up as lost though its end came on the link after the one that asked for it.
    def test_the_end_of_a_run_that_was_looked_for_comes_on_the_next_link(self) -> None:
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

    # Guards against commands given to a link that is dead: its last words may hold the banner of a start.
    def test_a_banner_that_is_read_behind_the_link_s_reset_starts_nothing_on_it(self) -> None:
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
