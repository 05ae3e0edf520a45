"""Handovers: the request log that counts what callers meet, and upgrades and SIGTERM on real processes.

The request log is pure and tested with times passed in. The trials start match server processes on a listening socket
that the test holds, as the platform does, with stand-in interpreters; they wait for answers and for readyz, never for
a fixed time. Their verdicts do not depend on the machine's speed: the load is a small part of the stand-ins' capacity,
and nothing is sent near the instants where a small delay would change the required outcome.
"""

from __future__ import annotations

import asyncio
import socket

import pytest
from typer.testing import CliRunner

from lapishaven.cli import app
from lapishaven.lab.handover import RequestLog, RequestOutcome, Spec, run
from lapishaven.lab.handover.book import GRACE_S
from lapishaven.lab.handover.platform import kill_after
from lapishaven.lab.handover.scrape import parse, within_slack
from lapishaven.lab.ports import Ports

METRICS = ("fulfilled", "throttled", "faulted")


def log_with(*bodies: bytes, run_once: bool = False) -> RequestLog:
    log = RequestLog()
    for n, body in enumerate(bodies):
        log.record_sent(n / 10, body, "c", run_once, 10.0, connection=n % 2)
    return log


# Guards against a handover that loses requests while its verdict is clean: each failure is counted, in one count only.
def test_each_kind_of_failure_is_counted_once() -> None:
    log = log_with(b"a", b"b", b"c", b"d", b"e", b"f")
    log.record_answer(6.0, b"a", RequestOutcome.SERVED)
    log.record_answer(6.1, b"a", RequestOutcome.SERVED)  # a second answer
    log.record_answer(6.0, b"b", RequestOutcome.REFUSED, "load")
    log.record_connection_end(6.0, 1, RequestOutcome.RESET)  # b, d, f were on connection 1; b has its answer
    log.record_dial_failure(7.0, b"g", "c", False, 5.0)
    log.record_answer(10.5, b"c", RequestOutcome.SERVED)  # due at 10.2
    verdict = log.verdict(20.0)  # e, on connection 0, never had an answer
    assert (verdict.served, verdict.refused_answers, verdict.reset, verdict.refused) == (2, 1, 2, 1)
    assert (verdict.doubled, verdict.late, verdict.unanswered, verdict.cut) == (1, 1, 1, 0)
    assert verdict.reasons == {"load": 1}
    assert verdict.broken == 4 and not verdict.clean


def test_log_without_failures_is_clean() -> None:
    log = log_with(b"a", b"b")
    log.record_answer(1.0, b"a", RequestOutcome.SERVED)
    log.record_answer(1.5, b"b", RequestOutcome.FAILED)
    log.record_connection_end(2.0, 0, RequestOutcome.CUT)  # no request was open on it any more
    assert log.verdict(100.0).clean


# Guards the three rules that only the interpreters' runs can show: a terminated process must not begin runs for
# requests sent after its grace period, a request that ran must not be refused, and a commit must not run twice.
def test_runs_are_checked_against_terminations_and_answers() -> None:
    log = RequestLog()
    log.record_termination(10.0, "old")
    log.record_sent(11.0, b"in", "c", True, 5.0, 0)
    log.record_sent(10.0 + GRACE_S + 0.06, b"late", "c", False, 5.0, 0)
    log.record_run(11.0, b"in", "old")
    log.record_run(12.5, b"in", "new")
    log.record_run(12.1, b"late", "old")
    log.record_run(12.1, b"late", "new")  # the other process was not terminated
    log.record_answer(12.2, b"late", RequestOutcome.REFUSED, "drain")
    verdict = log.verdict(13.0)
    assert (verdict.late_runs, verdict.refused_after_run, verdict.twice) == (1, 1, 1)
    assert not verdict.clean


def test_body_sent_twice_is_an_error() -> None:
    with pytest.raises(ValueError, match="request body b'a' was sent before"):
        log_with(b"a", b"a")


def test_metrics_are_summed_by_family_and_the_tolerance_is_3_or_1_percent() -> None:
    text = b'server_fulfilled{priority="a"} 3\nserver_fulfilled{priority="b"} 4\nserver_open_requests 2\nx 1\n'
    assert parse(text) == {"server_fulfilled": 7.0, "server_open_requests": 2.0}
    assert within_slack(3, 10) and not within_slack(4, 10) and within_slack(5, 500)


def test_kill_comes_after_the_longest_deadline_counted_up_to_3_s() -> None:
    assert kill_after([5.6, 3.8]) == pytest.approx(3.7)
    assert kill_after([1.0, 0.5]) == pytest.approx(1.7)


# Guards against an upgrade that loses requests: the new process starts on the inherited socket beside the old one,
# under load, and every refused, reset, cut or unanswered request counts. The naive restart with the same seed shows
# that the count detects failures: connections are refused between the two processes.
def test_upgrade_between_two_real_processes_loses_no_request() -> None:
    upgrade = asyncio.run(run(Spec("upgrade", seed=5, rate=25.0, seconds=5.0, at=1.0)))
    figures = upgrade.figures()
    assert upgrade.verdict.clean, figures
    assert upgrade.crashes == [] and upgrade.handover is not None
    assert (upgrade.handover.killed, upgrade.handover.old_code) == (False, 0)
    assert upgrade.verdict.served == upgrade.verdict.sent > 50
    # The metrics of both processes, read under load, add up to what the caller counted.
    assert upgrade.control["over_1s"] == 0 and upgrade.control["calls"] > 20
    assert all(within_slack(upgrade.control[f"{name}_off"], upgrade.verdict.sent) for name in METRICS)
    naive = asyncio.run(run(Spec("restart", seed=5, rate=25.0, seconds=5.0, at=1.0)))
    assert naive.verdict.refused > 0, naive.figures()


# Guards the rules of termination under load: every request that was read gets one answer before the process ends by
# itself, requests that arrive after the grace period are refused and never run, and no request that ran is refused.
def test_sigterm_in_the_middle_of_a_burst() -> None:
    report = asyncio.run(run(Spec("burst", seed=3, rate=20.0, seconds=4.5, at=1.0, burst=150.0, stop_ms=5000)))
    verdict, handover = report.verdict, report.handover
    assert verdict.clean, report.figures()
    assert handover is not None and not handover.killed and handover.old_code == 0
    assert handover.left_s < 5.0
    assert report.sent_after_grace > 10
    assert verdict.reasons.get("drain", 0) >= report.sent_after_grace
    assert verdict.served + verdict.refused_answers + verdict.failed == verdict.sent


# Guards against a server that exits with 2 because another socket took its port between the choice of the port and the
# bind, at the first start or at a restart after a kill. This occurred with 14 servers.
def test_port_stays_reserved_until_the_trial_ends() -> None:
    ports = Ports()
    address = ports.take("127.0.0.1")
    with socket.socket() as other, pytest.raises(OSError, match="in use"):
        other.bind(address)
    for _ in range(2):  # a server, and its restart
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address)
        with socket.create_server(address), socket.create_connection(address):
            pass
    ports.close()
    with socket.socket() as other:
        other.bind(address)


# Guards against a trial that runs for seconds with invalid options and gives no useful result.
def test_command_rejects_a_bad_mode_or_time_in_one_line() -> None:
    for words, line in (
        (["--mode", "x"], "lapishaven: --mode is 'x', not upgrade, restart or burst\n"),
        (["--seconds", "3", "--at", "4"], "lapishaven: --at 4 is not within the 3 s of load\n"),
    ):
        result = CliRunner().invoke(app, ["lab", "handover", *words])
        assert (result.exit_code, result.output) == (2, line)
