"""Scenarios on the real server: the life of a request on both fronts, drains, broken links."""

from __future__ import annotations

from collections.abc import Generator
from typing import Any

from scenario import World, configuration

from lapishaven import config
from lapishaven.backends.unconfirmed_commands import Command, UnconfirmedAtEnd, UnconfirmedCommands
from lapishaven.net.loop import Loop
from lapishaven.server.client_connections import EVICTION_BATCH_DIVISOR


class Platform(World):
    def test_a_request_is_served_with_its_result_unchanged(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 fuzzy-match
            expect vm APPLY c1.1
            expect c1 nothing
            send vm OK c1.1
            expect c1 result 1
        """)
        self.assertEqual(self.server.counters.get("answers", "served"), 1)

    # Guards against a second answer: the run's end comes after the due time was answered.
    def test_a_due_request_is_answered_once_and_its_run_stopped(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 approve-commit
            expect vm APPLY c1.1
            wait 3.6
            expect c1 nothing
            wait 0.2
            expect c1 failed 1       # it ran, so this is no refusal
            expect vm BREAK c1.1
            send vm OK c1.1
            expect c1 nothing
        """)

    # Guards against running what nobody waits for, and against an answer that is no longer owed.
    def test_forget_stops_the_run(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 fuzzy-match
            expect vm APPLY c1.1
            send c1 forget 1
            expect vm BREAK c1.1
            send vm STOPPED c1.1
            expect c1 nothing
        """)
        self.assertEqual(self.server.broker.requests, {})

    # Guards against a stale try: the same call id must not meet the run of the request before it.
    def test_the_same_call_on_another_connection_is_not_run_again(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 approve-commit
            expect vm APPLY c1.1
            close c1
            expect vm BREAK c1.1
        """)
        self.peer("c2").sock.sendall(self.message("c1", "1", "approve-commit"))
        self.play("""
            expect c2 failed 1
            expect vm nothing
        """)

    # Guards against a link's break losing or doubling runs: old notices are dropped, nothing is sent twice.
    def test_a_broken_link_is_made_anew_from_the_last_notice(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 approve-commit
            send c1 2 approve-commit
            expect vm APPLY c1.1
            expect vm APPLY c1.2
            send vm OK c1.1
            expect c1 result 1
            wait 0.3                 # by now a gauge's answer proved that both were read
            close vm
            wait 0.1
            expect vm CONNECT 1
            expect vm nothing
            send vm OK c1.1 1        # a notice that was read before
            expect c1 nothing
            send vm OK c1.2 2
            expect c1 result 2
        """)

    # Guards against commands lost between two links: what came up meanwhile goes out on the next one, once.
    def test_what_never_arrived_is_sent_on_the_next_link(self) -> None:
        self.play("""
            expect vm CONNECT 0
            close vm
        """)
        self.vm.banner = None
        self.play("""
            send c1 1 approve-commit
            wait 0.1
            expect vm CONNECT 0
            expect vm nothing
            send vm BANNER WARM
            expect vm APPLY c1.1
            expect vm nothing
        """)

    # Guards against a run that nobody waits for: its command had not left when its caller gave up.
    def test_what_never_left_is_not_sent_once_it_is_forgotten(self) -> None:
        self.play("""
            expect vm CONNECT 0
            close vm
            send c1 1 approve-commit
            send c1 2 approve-commit
            send c1 forget 1
            wait 0.1
            expect vm CONNECT 0
            expect vm APPLY c1.2
            expect vm nothing
        """)
        self.assertEqual(len(self.server.broker.requests), 1)

    # Guards against a second run after a break in mid-command: what the kernel took whole may have run.
    def test_a_command_counts_as_sent_with_its_last_byte(self) -> None:
        unconfirmed = UnconfirmedCommands()
        unconfirmed.add_query("", 11)
        for now, handle in enumerate("abcd"):
            unconfirmed.add(now, Command(handle, b"APPLY " + handle.encode() + b" x 0\r\n\r\n"))
            unconfirmed.add_query(handle, 10)
        unconfirmed.answered(2.05, "b")  # proves a, but c was written too short a time before to be safe
        at_end = unconfirmed.take_unconfirmed(11 + 25 * 2 + 15 + 10 + 14)
        self.assertEqual([command.attempt_id for command in at_end.uncertain], ["c"])
        self.assertEqual([command.attempt_id for command in at_end.unsent], ["d"])
        self.assertEqual(unconfirmed.take_unconfirmed(1000), UnconfirmedAtEnd([], []))

    # Guards against requests that seem to run for a minute as a break took their commands along: each held a
    # place and its caller until its due time. What is safe is sent again, a commit never is.
    def test_what_a_break_may_have_lost_is_settled_on_the_next_link(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 approve-commit
            expect vm APPLY c1.1
            send vm OK c1.1          # over, so in no doubt
            expect c1 result 1
            send c1 2 approve-commit
            expect vm APPLY c1.2
            lose vm 2
            send c1 3 fuzzy-match
            send c1 4 approve-commit
            close vm
            wait 0.05
            expect vm CONNECT 1
            expect vm BREAK c1.2     # stopped to see whether it runs
            send vm STOPPED c1.2
            expect vm APPLY c1.3
        """)
        self.assertEqual(self.vm.log.pop(0)[:5], "BREAK")  # c1.4, which no interpreter has heard of
        self.play("""
            expect vm CONTINUE c1.2
            expect c1 nothing
            wait 0.15
            expect c1 failed 4
            send vm OK c1.3
            expect c1 result 3
            send vm OK c1.2
            expect c1 result 2
            expect vm nothing
        """)
        self.assertEqual(self.server.broker.requests, {})

    # Guards against giving up a run that was stopped for a look as the next link broke, too.
    def test_a_look_outlives_another_break(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 approve-commit
            send c1 2 approve-commit
            expect vm APPLY c1.1
            expect vm APPLY c1.2
            close vm
            wait 0.05
            expect vm CONNECT 0
            expect vm BREAK c1.1
            expect vm BREAK c1.2
            close vm
            wait 0.05
            expect vm CONNECT 0
            expect vm BREAK c1.1
            expect vm BREAK c1.2
            send vm STOPPED c1.1
            send vm STOPPED c1.2
            expect vm CONTINUE c1.1
            expect vm CONTINUE c1.2
            wait 0.2
            send vm OK c1.1
            expect c1 result 1
            send vm OK c1.2
            expect c1 result 2
            expect vm nothing
        """)

    # Guards against a run that is taken up again though its caller left while it was in doubt.
    def test_what_is_in_doubt_can_be_forgotten(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 approve-commit
            send c1 2 fuzzy-match
            expect vm APPLY c1.1
            expect vm APPLY c1.2
            close vm
            send c1 forget 1
            send c1 forget 2
            wait 0.05
            expect vm CONNECT 0
            expect vm BREAK c1.1
            expect vm APPLY c1.2     # tells whether it still runs
            expect vm BREAK c1.2
            send vm STOPPED c1.1
            send vm MOOT c1.2
            expect vm nothing
        """)
        self.assertEqual(self.server.broker.requests, {})

    # Guards against a result lost to a remark: remarks carry numbers, too.
    def test_a_remark_never_stands_for_the_end_of_a_run(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 fuzzy-match
            expect vm APPLY c1.1
        """)
        self.vm.tell("TRACE 1 nothing of note")
        self.play("""
            send vm OK c1.1 1
            expect c1 result 1
        """)

    # Guards against an end on SIGHUP, and against anything open being lost by a reload.
    def test_a_reload_moves_the_links_and_keeps_all_that_is_open(self) -> None:
        self.catalog_up = True
        self.play("""
            expect vm CONNECT 0
            send c1 1 approve-commit
            send c1 2 approve-commit
            expect vm APPLY c1.1
            expect vm APPLY c1.2
            send vm OK c1.1
            expect c1 result 1
            wait 0.5
        """)
        self.files = configuration(vm="127.0.0.1:4", directory="127.0.0.1:5", stop_ms=1000, name="n2")
        self.dialled.clear()
        self.play("""
            send server HUP
            expect vm CONNECT 1
            send c1 3 fuzzy-match
            expect vm APPLY c1.3
            send vm OK c1.2
            expect c1 result 2
            send vm OK c1.3
            expect c1 result 3
            expect vm nothing
        """)
        self.assertEqual(sorted(self.dialled), [4, 5])
        self.assertEqual(self.said[-1], "configuration reload: done; ignored until a restart: name")
        self.files = "{"
        self.play("""
            send server HUP
            send c1 4 fuzzy-match
            expect vm APPLY c1.4
        """)
        self.assertEqual(
            self.said[-1],
            "configuration reload failed, the previous configuration stays in force: the configuration is not JSON",
        )
        self.assertEqual(sorted(self.dialled), [4, 5])

    # Guards against a link to an address that a second reload took back while the first one was dialled.
    def test_a_second_reload_in_the_middle_of_the_first(self) -> None:
        self.play("expect vm CONNECT 0")
        dial = self.server.backends.by_name["interpreter"]._dial

        def slow(loop: Loop, address: tuple[str, int], span: float) -> Generator[Any, Any, Any]:
            sock = yield from dial(loop, address, span)
            if address[1] == 4:
                self.files = configuration(vm="127.0.0.1:2")
                self.server.config_reload.reload()
            return sock

        self.server.backends.by_name["interpreter"]._dial = slow
        self.files = configuration(vm="127.0.0.1:4")
        self.dialled.clear()
        self.play("""
            send server HUP
            expect vm CONNECT 0
            send c1 1 fuzzy-match
            expect vm APPLY c1.1
        """)
        self.assertEqual([port for port in self.dialled if port != 1], [4, 2])

    # Guards against commands given to a link on its way out: they wait for the new one.
    def test_what_comes_while_the_link_moves_goes_to_the_new_address(self) -> None:
        self.play("expect vm CONNECT 0")
        self.files = configuration(vm="127.0.0.1:4")
        self.play("""
            lose vm 1000
            send server HUP
            send c1 1 fuzzy-match
            wait 0.2
            lose vm 0
            expect vm nothing
            wait 0.1
            expect vm CONNECT 0
            expect vm APPLY c1.1
            expect vm nothing
        """)

    # Guards against work begun after the leave, and against a caller left without the notice.
    def test_drain_answers_what_was_read_and_runs_nothing_late(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 fuzzy-match
            expect vm APPLY c1.1
            send server TERM
            expect c1 draining
            send c1 2 fuzzy-match    # crossed the notice
            expect vm APPLY c1.2
            wait 2.05
            send c1 3 fuzzy-match
            expect c1 refused 3
            expect vm nothing
            send vm OK c1.1
            expect c1 result 1
            wait 1
            expect c1 failed 2       # before the kill at 3.2 s
        """)

    # Guards against a crash or a hang on input that is no request, and against an answer to a used id.
    def test_malformed_lines_get_their_error_and_the_rest_goes_on(self) -> None:
        self.play(r"""
            expect vm CONNECT 0
            send c1 raw {nonsense\n
            expect c1 -32700 None
            send c1 raw [1,2]\n
            expect c1 -32600 None
            send c1 1 no-such-class
            expect c1 -32601 1
            send c1 raw {"id":2,"method":"fuzzy-match","params":{"call":"xyz"}}\n
            expect c1 -32602 2
            send c2 1 fuzzy-match recv=0
            expect c2 -32602 1
            send c2 2 fuzzy-match recv=1e23
            expect c2 -32602 2
            send c2 3 fuzzy-match src=-1
            expect c2 -32602 3
            send c2 4 fuzzy-match src=0.5
            expect c2 -32602 4
            send u1 fuzzy-match start=0
            expect u1 400
            send c1 3 fuzzy-match
            send c1 3 fuzzy-match
            expect c1 -32600 None
            expect vm APPLY c1.3
            expect vm nothing
        """)
        self.peer("c1").sock.sendall(b"x" * 20_000)
        self.play("""
            expect c1 -32700 None
            expect c1 nothing        # what was read before is still owed its answer
            send vm OK c1.3
            expect c1 result 3
            expect c1 closed
        """)

    # Guards against losing the first request of a name when a second one comes: it can still be forgotten.
    def test_a_name_in_use_is_failed_and_the_first_goes_on(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 fuzzy-match
            expect vm APPLY c1.1
        """)
        again = self.message("c1", "1", "fuzzy-match").replace(b'"id": 1', b'"id": 2')
        self.peer("c1").sock.sendall(again)
        self.play("""
            expect c1 failed 2
            send c1 forget 1
            expect vm BREAK c1.1
        """)
        self.server.counter_report.log_counters()
        self.assertIn('"answers": {"failed": 1}', self.said[-1])
        self.assertRegex(self.said[-1], r'"bytes": {"received": \d{3}, "sent": \d{2,3}}')

    def test_checks_are_answered_from_the_module_and_deep_ones_by_the_interpreter(self) -> None:
        self.play("""
            send c1 check
            expect c1 well
            send c2 check deep
            expect c2 well
            send server TERM
            send c3 check
            expect c3 draining
            expect c3 unwell
        """)

    # Guards against a healthy server that is left out as a check met a break, and against a flood of checks.
    def test_deep_checks_outlive_a_break_and_share_one_end(self) -> None:
        self.play("expect vm CONNECT 0\nlose vm 1")
        for name in ("c1", "c2", "c3"):
            self.peer(name).sock.sendall(self.message(name, "check", "deep"))
        self.pump()
        self.play("""
            close vm
            expect c1 nothing
            wait 0.05
            expect vm CONNECT 0
            expect c1 well
            expect c2 well
            expect c3 well
        """)
        self.assertEqual(self.vm.smoked, 1)

    # Guards against a crowd that says nothing, or half a message, and holds the descriptors of real callers.
    def test_the_silent_and_the_half_open_go_first(self) -> None:
        self.play(r"""
            expect vm CONNECT 0
            send c1 1 fuzzy-match
            expect vm APPLY c1.1
            wait 0.1
            send vm OK c1.1
            expect c1 result 1
            send c2 raw {"id":1
            send c3 raw {"id":1
        """)
        self.server.budget.limit = EVICTION_BATCH_DIVISOR  # so that one at a time is closed
        self.assertTrue(self.server.callers.make_room())
        self.play(r"""
            expect c2 closed         # though it spoke last, and c1 came first
            expect c1 nothing
            wait 1.5
            send c3 raw ,
            send u1 raw \x00
            send c4 1 fuzzy-match
            send c4 raw {
            wait 0.6
            expect c3 closed
            expect c4 nothing        # its request is still owed an answer
            expect u1 nothing
            wait 1.5
            expect u1 closed
            send vm OK c4.1
            expect c4 result 1
            wait 0.1
            expect c4 closed
            expect c1 nothing
        """)

    # Guards against hundreds at once that stop the reading, so that what takes them back is not read.
    def test_hundreds_may_be_taken_back_at_once(self) -> None:
        wanted = [self.message("c1", str(n), "fuzzy-match") for n in range(1, 101)]
        back = [self.message("c1", "forget", str(n)) for n in range(1, 101)]
        self.peer("c1").sock.sendall(b"".join(wanted + back))
        self.play("""
            expect c1 -32600 65
            send c1 101 fuzzy-match
        """)
        self.assertEqual(list(self.server.broker.requests_by_attempt)[-1], self.call("c1", "101"))
        self.assertEqual(self.server.broker.open_requests, 1)

    # Guards against closing under a request, and against a table full of idle connections.
    def test_only_idle_connections_are_closed(self) -> None:
        self.play("""
            send c1 1 fuzzy-match
            send c2 1 fuzzy-match
            send vm OK c2.1
            wait 4
            send vm OK c1.1
            expect c1 result 1
            expect c2 result 1
            wait 12
            expect c2 closed
            expect c1 nothing
        """)


class Late(World):
    banner = None

    # Guards against a start that needs the interpreter: it may come up long after, and cold.
    def test_the_interpreter_may_be_up_late_and_cold(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 check
            expect c1 unwell
            send vm BANNER COLD
            send c2 check
            expect c2 well
        """)
        self.assertTrue(self.server.broker.settings.slow_start)


class UwsgiFront(World):
    def test_a_packet_is_served_and_every_end_has_its_status(self) -> None:
        self.play(r"""
            expect vm CONNECT 0
            send u1 fuzzy-match
            expect vm APPLY u1
            send vm OK u1
            expect u1 200 u1
            expect u1 closed
            send u2 approve-commit
            send u3 fuzzy-match
            send vm ERROR u3
            expect u3 502
            wait 3.8
            expect u2 504
            send u4 no-such-class
            expect u4 404
            send u5 raw \x05\x00\x00\x00
            expect u5 400
            send u6 raw \x00\x01\x00\x00x
            expect u6 400
            send u7 raw \x00\xff\xff\x00
            expect u7 413
            send u8 raw \x00\x16\x00\x00\x0e\x00CONTENT_LENGTH\x04\x009999
            expect u8 413
            send u9 raw \x00\x15\x00\x00\x0e\x00CONTENT_LENGTH\x03\x00-11
            expect u9 400
        """)

    # Guards against a second commit: the client leaves while it runs, and its gateway tries again.
    def test_a_commit_whose_client_left_is_never_started_again(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send u1 approve-commit id=k
            expect vm APPLY u1
            close u1
            expect vm BREAK u1
            send vm STOPPED u1
            send u2 approve-commit id=k retry=1
            expect u2 502            # it started once, so no 503
            wait 10                  # the kept key has run out, the guard has not
            send u3 approve-commit id=k retry=1
            expect u3 502
            expect vm nothing
        """)

    def test_a_repeat_gets_the_first_try_s_result(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send u1 approve-commit id=k
            send u2 approve-commit id=k retry=1
            expect vm APPLY u1
            expect vm nothing
            send vm OK u1
            expect u1 200 u1
            expect u2 200 u1
            send u3 approve-commit id=k retry=1
            expect u3 200 u1
        """)

    # Guards against a held request that outlives its client: it never starts, and its key is free again.
    def test_a_disconnect_while_held_frees_the_key(self) -> None:
        self.vm.load = (1.0, 6.0)
        self.play("expect vm CONNECT 0\n" + "".join(f"send u{n} fuzzy-match\n" for n in range(1, 7)))
        self.play("\n".join(f"expect vm APPLY u{n}" for n in range(1, 7)))
        self.play("""
            send u7 approve-commit id=k
            expect vm nothing
            close u7
            send vm OK u1
            expect vm nothing
            send u8 approve-commit id=k
            expect vm APPLY u8
            send vm OK u8
            expect u8 200 u8
        """)

    # Guards against a crash when the answer meets a closed connection: it is over once, with one end.
    def test_a_disconnect_while_answering(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send u1 approve-commit id=k
            expect vm APPLY u1
        """)
        self.vm.end("OK", "u1")  # both wait for the same round
        self.do_close("u1")
        self.play("""
            send u2 approve-commit id=k retry=1
            expect vm nothing
        """)
        self.assertIn(self.peers["u2"].data[9:12], (b"200", b"502"))
        self.assertEqual(self.server.broker.requests, {})

    def test_drain_refuses_on_uwsgi_as_on_the_platform(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send u1 fuzzy-match
            send server TERM
            wait 1.95
        """)
        self.peer("u2"), self.pump()
        self.play("""
            wait 0.15
            send u2 fuzzy-match
            expect u2 503
            send vm OK u1
            expect u1 200 u1
        """)


class UwsgiBackend(World):
    backend = config.UwsgiBackendConfig(("127.0.0.1", 3), "/run/")

    def test_an_attempt_is_sent_and_its_ends_are_mapped(self) -> None:
        self.up_there = True
        self.play("""
            send c1 1 fuzzy-match
            expect up fuzzy-match c1.1
            send up 200 c1.1
            expect c1 result 1
            send u1 approve-commit id=k
            expect up approve-commit u1
            close up                 # it may have run: no refusal, and never again
            expect u1 502
            send u2 approve-commit id=k retry=1
            expect u2 502
            send u3 approve-commit id=n
            expect up approve-commit u3
            send up 503              # turned away unrun, so it may be tried again
            expect u3 503
            send u4 approve-commit id=n retry=1
            expect up approve-commit u4
            send up 200 u4
            expect u4 200 u4
            send c1 2 fuzzy-match
            send up 500
            expect c1 failed 2
            send c1 3 fuzzy-match
            send c1 forget 3         # a uwsgi attempt is halted by closing it
            expect up closed
            send c1 4 approve-commit
            wait 3.8
            expect c1 failed 4
            expect up closed
        """)

    def test_a_server_that_cannot_be_reached_never_ran_it(self) -> None:
        self.play("""
            send c1 1 approve-commit
            expect c1 refused 1
            send u1 approve-commit id=k
            expect u1 503
            send c2 check deep
            expect c2 unwell
        """)


class Catalog(World):
    # Guards against lapsing from the list: 3 s without a report, with the catalog down in between.
    def test_reports_are_steady_and_start_once_the_catalog_is_up(self) -> None:
        self.wait(4)
        self.catalog_up = True
        reports: list[tuple[float, bytes]] = []

        def watch(span: float) -> None:
            until = self.now + span
            while self.now < until:
                self.wait(0.05)
                for peer in self.catalog:
                    if peer.data:
                        reports.append((self.now, bytes(peer.data)))
                        peer.data.clear()
                        peer.sock.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")

        start = self.now
        watch(3)
        self.assertLess(reports[0][0] - start, 0.3)
        gaps = [b[0] - a[0] for a, b in zip(reports, reports[1:], strict=False)]
        self.assertLess(max(gaps), 1.0)
        self.assertTrue(all(data.startswith(b"PUT /catalog/register/n1 HTTP/1.1\r\n") for _, data in reports))
        self.assertEqual(len(self.catalog), 1)  # one connection, kept
        self.server.drain()
        watch(0.1)
        self.assertIn(b'"critical"', reports[-1][1])

    # Guards against callers that go by an old report: the answer to the one before it may never come.
    def test_a_change_does_not_wait_for_an_answer(self) -> None:
        self.catalog_up = True
        self.wait(0.6)
        self.assertIn(b'"passing"', self.catalog[-1].data)
        self.server.drain()
        self.pump()
        self.assertIn(b'"critical"', self.catalog[-1].data)


class Flood(World):
    # Guards against one connection that holds up the loop with hundreds of messages in one packet.
    def test_others_have_their_turn_within_a_flood(self) -> None:
        self.play("expect vm CONNECT 0")
        loop = self.server.loop
        self.peer("c1").sock.sendall(b"x\n" * 2000)
        self.peer("c2").sock.sendall(self.message("c2", "1", "fuzzy-match"))
        for _ in range(4):
            loop.round(0, self.server.turn)
        self.assertIn(self.call("c2", "1"), self.server.broker.requests_by_attempt)
        self.assertLess(self.server.counters.get("platform", "malformed -32700"), 100)
        self.pump()
        self.assertEqual(self.server.counters.get("platform", "malformed -32700"), 2000)
