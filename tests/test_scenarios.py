"""Scenarios on the real server: requests over both frontends, shutdowns and broken links."""

from __future__ import annotations

from collections.abc import Generator
from typing import Any

from scenario import World, configuration

from lapishaven import config
from lapishaven.backends.unconfirmed_commands import Command, UnconfirmedAtEnd, UnconfirmedCommands
from lapishaven.net.loop import Loop
from lapishaven.server.client_connections import EVICTION_BATCH_DIVISOR


class Platform(World):
    def test_request_is_served_with_its_result_unchanged(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 fuzzy-match
            expect vm APPLY c1.1
            expect c1 nothing
            send vm OK c1.1
            expect c1 result 1
        """)
        self.assertEqual(self.server.counters.get("answers", "served"), 1)

    # Guards against a second answer: the run ends after the request was failed at its deadline.
    def test_request_past_its_deadline_is_answered_once_and_its_run_stopped(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 approve-commit
            expect vm APPLY c1.1
            wait 3.6
            expect c1 nothing
            wait 0.2
            expect c1 failed 1       # it ran, so it is not rejected
            expect vm BREAK c1.1
            send vm OK c1.1
            expect c1 nothing
        """)

    # Guards against running a cancelled request to its end, and against answering it.
    def test_cancelling_a_request_stops_its_run(self) -> None:
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

    # Guards against a second run when an attempt id is reused while the first run with it may still be in progress.
    def test_same_attempt_id_on_another_connection_is_not_run_again(self) -> None:
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

    # Guards against lost or repeated runs after a break: notices read before are dropped, no command is sent twice.
    def test_broken_link_is_dialled_again_from_the_last_notice(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 approve-commit
            send c1 2 approve-commit
            expect vm APPLY c1.1
            expect vm APPLY c1.2
            send vm OK c1.1
            expect c1 result 1
            wait 0.3                 # by now the answer to a gauge query has proved that both were read
            close vm
            wait 0.1
            expect vm CONNECT 1
            expect vm nothing
            send vm OK c1.1 1        # a notice that was processed before
            expect c1 nothing
            send vm OK c1.2 2
            expect c1 result 2
        """)

    # Guards against losing or repeating commands issued while there is no link: each is sent once, on the next one.
    def test_command_issued_without_a_link_is_sent_on_the_next_link(self) -> None:
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

    # Guards against starting a run whose request was cancelled before its command was sent.
    def test_unsent_command_of_a_cancelled_request_is_dropped(self) -> None:
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

    # Guards against a second run after a break: a command that the kernel accepted completely may have run.
    def test_command_counts_as_sent_with_its_last_byte(self) -> None:
        unconfirmed = UnconfirmedCommands()
        unconfirmed.add_query("", 11)
        for now, handle in enumerate("abcd"):
            unconfirmed.add(now, Command(handle, b"APPLY " + handle.encode() + b" x 0\r\n\r\n"))
            unconfirmed.add_query(handle, 10)
        unconfirmed.answered(2.05, "b")  # confirms a; c was written within the loss window
        at_end = unconfirmed.take_unconfirmed(11 + 25 * 2 + 15 + 10 + 14)
        self.assertEqual([command.attempt_id for command in at_end.uncertain], ["c"])
        self.assertEqual([command.attempt_id for command in at_end.unsent], ["d"])
        self.assertEqual(unconfirmed.take_unconfirmed(1000), UnconfirmedAtEnd([], []))

    # Guards against requests that appear to run until their deadline because their commands were lost in a break,
    # and occupy a slot and their caller meanwhile. Idempotent runs are sent again, commits never.
    def test_commands_possibly_lost_in_a_break_are_resolved_on_the_next_link(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 approve-commit
            expect vm APPLY c1.1
            send vm OK c1.1          # ended, so not uncertain
            expect c1 result 1
            send c1 2 approve-commit
            expect vm APPLY c1.2
            lose vm 2
            send c1 3 fuzzy-match
            send c1 4 approve-commit
            close vm
            wait 0.05
            expect vm CONNECT 1
            expect vm BREAK c1.2     # paused to find out whether it is running
            send vm STOPPED c1.2
            expect vm APPLY c1.3
        """)
        self.assertEqual(self.vm.log.pop(0)[:5], "BREAK")  # c1.4, whose start never arrived
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

    # Guards against giving up a run that was paused as a probe when the next link breaks as well.
    def test_pause_probe_survives_another_break(self) -> None:
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

    # Guards against resuming an uncertain run whose request was cancelled meanwhile.
    def test_uncertain_run_can_be_cancelled(self) -> None:
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
            expect vm APPLY c1.2     # shows whether it is still running
            expect vm BREAK c1.2
            send vm STOPPED c1.1
            send vm MOOT c1.2
            expect vm nothing
        """)
        self.assertEqual(self.server.broker.requests, {})

    # Guards against a lost result: a remark has a notice number too, and must not advance the last run end.
    def test_remark_is_not_counted_as_the_end_of_a_run(self) -> None:
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

    # Guards against a server that exits on SIGHUP, and against losing open requests in a reload.
    def test_reload_moves_the_links_and_keeps_open_requests(self) -> None:
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
        self.assertEqual(self.log_lines[-1], "configuration reload: done; ignored until a restart: name")
        self.files = "{"
        self.play("""
            send server HUP
            send c1 4 fuzzy-match
            expect vm APPLY c1.4
        """)
        self.assertEqual(
            self.log_lines[-1],
            "configuration reload failed, the previous configuration stays in force: "
            "the configuration is not JSON: '{'",
        )
        self.assertEqual(sorted(self.dialled), [4, 5])

    # Guards against a link to a stale address: a second reload reverts the address while the first one is dialled.
    def test_second_reload_while_the_first_one_is_dialled(self) -> None:
        self.play("expect vm CONNECT 0")
        dial = self.server.backends.by_name["interpreter"]._dial

        def reloading_dial(loop: Loop, address: tuple[str, int], span: float) -> Generator[Any, Any, Any]:
            sock = yield from dial(loop, address, span)
            if address[1] == 4:
                self.files = configuration(vm="127.0.0.1:2")
                self.server.config_reload.reload()
            return sock

        self.server.backends.by_name["interpreter"]._dial = reloading_dial
        self.files = configuration(vm="127.0.0.1:4")
        self.dialled.clear()
        self.play("""
            send server HUP
            expect vm CONNECT 0
            send c1 1 fuzzy-match
            expect vm APPLY c1.1
        """)
        self.assertEqual([port for port in self.dialled if port != 1], [4, 2])

    # Guards against sending commands on a link that is about to be closed: they wait for the new one.
    def test_command_issued_while_the_link_moves_goes_to_the_new_address(self) -> None:
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

    # Guards against runs started after the grace period, and against callers that get no draining notice.
    def test_shutdown_answers_what_was_read_and_starts_no_run_after_the_grace(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 fuzzy-match
            expect vm APPLY c1.1
            send server TERM
            expect c1 draining
            send c1 2 fuzzy-match    # crosses the draining notice
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

    # Guards against a crash or hang on malformed input, and against answering a reused id.
    def test_malformed_lines_get_an_error_and_the_connection_goes_on(self) -> None:
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
            expect c1 nothing        # the request that was read before is still answered
            send vm OK c1.3
            expect c1 result 3
            expect c1 closed
        """)

    # Guards against losing the first request with an attempt id when a second one comes: it can still be cancelled.
    def test_attempt_id_in_use_is_failed_and_the_first_request_goes_on(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 fuzzy-match
            expect vm APPLY c1.1
        """)
        duplicate = self.message("c1", "1", "fuzzy-match").replace(b'"id": 1', b'"id": 2')
        self.peer("c1").sock.sendall(duplicate)
        self.play("""
            expect c1 failed 2
            send c1 forget 1
            expect vm BREAK c1.1
        """)
        self.server.counter_report.log_counters()
        self.assertIn('"answers": {"failed": 1}', self.log_lines[-1])
        self.assertRegex(self.log_lines[-1], r'"bytes": {"received": \d{3}, "sent": \d{2,3}}')

    def test_health_checks_are_answered_by_the_server_and_deep_ones_by_the_interpreter(self) -> None:
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

    # Guards against a healthy server that fails a check because the link broke, and against one query per check.
    def test_deep_checks_survive_a_break_and_share_one_query(self) -> None:
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

    # Guards against connections without a complete message that hold the descriptors of real callers.
    def test_silent_connections_and_incomplete_messages_are_closed_first(self) -> None:
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
        self.server.budget.limit = EVICTION_BATCH_DIVISOR  # so that one connection is closed at a time
        self.assertTrue(self.server.callers.make_room())
        self.play(r"""
            expect c2 closed         # although it was active last, and c1 came first
            expect c1 nothing
            wait 1.5
            send c3 raw ,
            send u1 raw \x00
            send c4 1 fuzzy-match
            send c4 raw {
            wait 0.6
            expect c3 closed
            expect c4 nothing        # its request is still to be answered
            expect u1 nothing
            wait 1.5
            expect u1 closed
            send vm OK c4.1
            expect c4 result 1
            wait 0.1
            expect c4 closed
            expect c1 nothing
        """)

    # Guards against a full request table that stops the reading, so that the cancellations behind it are not read.
    def test_more_than_the_open_limit_can_be_cancelled_at_once(self) -> None:
        requests = [self.message("c1", str(n), "fuzzy-match") for n in range(1, 101)]
        cancellations = [self.message("c1", "forget", str(n)) for n in range(1, 101)]
        self.peer("c1").sock.sendall(b"".join(requests + cancellations))
        self.play("""
            expect c1 -32600 65
            send c1 101 fuzzy-match
        """)
        self.assertEqual(list(self.server.broker.requests_by_attempt)[-1], self.call("c1", "101"))
        self.assertEqual(self.server.broker.open_requests, 1)

    # Guards against closing a connection with an open request, and against keeping idle connections for ever.
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


class LateInterpreter(World):
    banner = None

    # Guards against a server that cannot start without the interpreter, which may come up much later, and cold.
    def test_interpreter_may_come_up_late_and_cold(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 check
            expect c1 unwell
            send vm BANNER COLD
            send c2 check
            expect c2 well
        """)
        self.assertTrue(self.server.broker.settings.slow_start)


class UwsgiFrontend(World):
    def test_packet_is_served_and_each_outcome_has_its_status(self) -> None:
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

    # Guards against a second commit: the client disconnects during the run, and its gateway retries.
    def test_commit_whose_client_disconnected_is_never_started_again(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send u1 approve-commit id=k
            expect vm APPLY u1
            close u1
            expect vm BREAK u1
            send vm STOPPED u1
            send u2 approve-commit id=k retry=1 body=u1
            expect u2 502            # it was started, so it is not rejected with 503
            wait 10                  # the key's result has expired, the execution guard has not
            send u3 approve-commit id=k retry=1 body=u1
            expect u3 502
            expect vm nothing
        """)

    def test_retry_gets_the_result_of_the_first_attempt(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send u1 approve-commit id=k
            send u2 approve-commit id=k retry=1 body=u1
            expect vm APPLY u1
            expect vm nothing
            send vm OK u1
            expect u1 200 u1
            expect u2 200 u1
            send u3 approve-commit id=k retry=1 body=u1
            expect u3 200 u1
        """)

    # Guards against a client that sends the id of another request and gets that one's result (review/6).
    def test_an_id_with_another_body_gets_no_result_and_does_not_affect_the_original(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send u1 approve-commit id=k
            expect vm APPLY u1
            send u2 approve-commit id=k
            expect u2 502            # during the run
            send u3 approve-commit id=k retry=1
            expect u3 502
            send vm OK u1
            expect u1 200 u1
            send u4 approve-commit id=k
            expect u4 502            # while its result is kept
            send u5 approve-commit id=k retry=1 body=u1
            expect u5 200 u1
            expect vm nothing
        """)
        self.assertEqual(self.server.counters.groups["requests"]["key of another request"], 3)

    # Guards against starting a queued request whose client disconnected: it never starts, and its key is free again.
    def test_disconnect_of_a_queued_request_frees_its_key(self) -> None:
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

    # Guards against a crash when a run ends in the same round in which its connection is closed.
    def test_disconnect_while_answering(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send u1 approve-commit id=k
            expect vm APPLY u1
        """)
        self.vm.end("OK", "u1")  # both events are processed in the same round
        self.do_close("u1")
        self.play("""
            send u2 approve-commit id=k retry=1 body=u1
            expect vm nothing
        """)
        self.assertIn(self.peers["u2"].data[9:12], (b"200", b"502"))
        self.assertEqual(self.server.broker.requests, {})

    def test_shutdown_rejects_on_uwsgi_as_on_the_platform(self) -> None:
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

    def test_attempt_is_sent_and_its_outcomes_are_mapped(self) -> None:
        self.uwsgi_server_up = True
        self.play("""
            send c1 1 fuzzy-match
            expect up fuzzy-match c1.1
            send up 200 c1.1
            expect c1 result 1
            send u1 approve-commit id=k
            expect up approve-commit u1
            close up                 # it may have run: not rejected, and never run again
            expect u1 502
            send u2 approve-commit id=k retry=1 body=u1
            expect u2 502
            send u3 approve-commit id=n
            expect up approve-commit u3
            send up 503              # rejected without a run, so it may be retried
            expect u3 503
            send u4 approve-commit id=n retry=1
            expect up approve-commit u4
            send up 200 u4
            expect u4 200 u4
            send c1 2 fuzzy-match
            send up 500
            expect c1 failed 2
            send c1 3 fuzzy-match
            send c1 forget 3         # a uwsgi attempt is cancelled by closing its connection
            expect up closed
            send c1 4 approve-commit
            wait 3.8
            expect c1 failed 4
            expect up closed
        """)

    def test_request_for_an_unreachable_uwsgi_server_is_rejected_as_never_run(self) -> None:
        self.play("""
            send c1 1 approve-commit
            expect c1 refused 1
            send u1 approve-commit id=k
            expect u1 503
            send c2 check deep
            expect c2 unwell
        """)


class Catalog(World):
    # Guards against an expired entry, which is removed after 3 s without a report; the catalog starts late.
    def test_reports_are_periodic_and_start_once_the_catalog_is_up(self) -> None:
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
        self.assertEqual(len(self.catalog), 1)  # one persistent connection
        self.server.drain()
        watch(0.1)
        self.assertIn(b'"critical"', reports[-1][1])

    # Guards against callers that act on an outdated report: the response to the report before may never come.
    def test_change_of_health_does_not_wait_for_a_response(self) -> None:
        self.catalog_up = True
        self.wait(0.6)
        self.assertIn(b'"passing"', self.catalog[-1].data)
        self.server.drain()
        self.pump()
        self.assertIn(b'"critical"', self.catalog[-1].data)


class Flood(World):
    # Guards against one connection that blocks the loop with many messages in one packet.
    def test_other_connections_are_served_during_a_flood(self) -> None:
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
