"""The soak: its plans, its checker against planted faults, and a few seeds on real processes."""

from __future__ import annotations

from dataclasses import replace

import pytest

from lapishaven.lab.handover.book import GRACE_S, SLACK_S, RequestLog, RequestOutcome, Run
from lapishaven.lab.soak.command import parse_seeds
from lapishaven.lab.soak.plan import StepKind, draw_plan
from lapishaven.lab.soak.rules import Lag, Observations, Outage, ProcessUse, Rule, find_violations
from lapishaven.lab.soak.trial import run_seed

SEEDS = (1, 2, 3, 4)
DEADLINE_S = 3.0


def served_log() -> RequestLog:
    """Two requests that must run at most once, each run and served; r1 on a process that was terminated meanwhile."""
    log = RequestLog()
    for n, sent_at in enumerate((0.0, 1.0)):
        body = b"r%d" % n
        log.record_sent(sent_at, body, "approve-commit", True, DEADLINE_S, connection=n)
        log.record_run(sent_at + 0.1, body, "p1")
        log.record_answer(sent_at + 0.3, body, RequestOutcome.SERVED)
    log.record_termination(0.5, "p1")
    return log


def observations(log: RequestLog, **changes: object) -> Observations:
    seen = Observations(
        log=log,
        now=20.0,
        inherited=True,
        outages=(),
        opened_at=dict.fromkeys(range(10), -1.0),
        lag=Lag(),
        crashes=(),
        overloads=(),
        uses=(ProcessUse("p1", 20_000, 30, (20, 20)),),
        memory_limit_kb=192 * 1024,
        descriptor_limit=1024,
    )
    return replace(seen, **changes)  # type: ignore[arg-type]


def broken(seen: Observations) -> set[Rule]:
    return {violation.rule for violation in find_violations(seen)}


def test_a_run_that_kept_the_rules_has_no_violation() -> None:
    log = served_log()
    log.record_sent(2.0, b"again", "segment-sync", True, DEADLINE_S, connection=2)
    log.record_answer(2.1, b"again", RequestOutcome.REFUSED)
    log.record_sent(2.2, b"again", "segment-sync", True, DEADLINE_S, connection=2, name=b"again 2")
    log.record_run(2.3, b"again", "p2")
    log.record_answer(2.5, b"again 2", RequestOutcome.SERVED)  # a repeat of what was refused may run
    assert broken(observations(log)) == set()


# Guards the checker: a soak whose checker misses a kind of fault passes whatever the server does.
def test_each_planted_fault_is_found() -> None:
    def with_fault(plant: object) -> set[Rule]:
        log = served_log()
        plant(log)  # type: ignore[operator]
        return broken(observations(log))

    def late_run(log: RequestLog) -> None:
        sent_at = 0.5 + GRACE_S + SLACK_S + 0.01
        log.record_sent(sent_at, b"late", "fuzzy-match", False, DEADLINE_S, 3)
        log.record_run(sent_at + 0.1, b"late", "p1")
        log.record_answer(sent_at + 0.2, b"late", RequestOutcome.SERVED)

    def refused_after_run(log: RequestLog) -> None:
        log.record_sent(3.0, b"x", "fuzzy-match", False, DEADLINE_S, 3)
        log.record_run(3.1, b"x", "p2")  # p1 was terminated
        log.record_answer(3.2, b"x", RequestOutcome.REFUSED)

    def lost(log: RequestLog) -> None:
        log.record_sent(3.0, b"x", "fuzzy-match", False, DEADLINE_S, 3)

    def cut(log: RequestLog) -> None:
        lost(log)
        log.record_connection_end(3.0 + SLACK_S + 0.01, 3, RequestOutcome.RESET)

    def answered_late(log: RequestLog) -> None:
        lost(log)
        log.record_answer(3.0 + DEADLINE_S + SLACK_S + 0.01, b"x", RequestOutcome.FAILED)

    assert with_fault(lambda log: log.record_answer(0.5, b"r0", RequestOutcome.SERVED)) == {Rule.ONE_ANSWER}
    assert with_fault(lost) == {Rule.ANSWERED}
    assert with_fault(cut) == {Rule.ANSWERED}
    assert with_fault(answered_late) == {Rule.IN_TIME}
    assert with_fault(lambda log: log.record_run(0.2, b"r0", "p2")) == {Rule.RUN_ONCE}
    assert with_fault(late_run) == {Rule.GRACE}
    assert with_fault(refused_after_run) == {Rule.REFUSED_NEVER_RAN}
    assert with_fault(lambda log: log.record_dial_failure(3.0, b"x", "c", False, 1.0)) == {Rule.ACCEPTED}
    log = served_log()
    assert broken(observations(log, crashes=("p1 ended",))) == {Rule.ALIVE}
    assert broken(observations(log, overloads=("p1",))) == {Rule.OVERLOAD}
    assert broken(observations(log, uses=(ProcessUse("p1", 200 * 1024, 30),))) == {Rule.MEMORY}
    assert broken(observations(log, uses=(ProcessUse("p1", 1, 1025),))) == {Rule.DESCRIPTORS}
    assert broken(observations(log, uses=(ProcessUse("p1", 1, 30, (20, 21)),))) == {Rule.DESCRIPTORS}


# Guards the exemptions, which are narrow: a request may be lost only with a process that was killed without notice, as
# it crosses the end of its connection, or on a connection that no server was there to accept.
def test_only_requests_of_a_kill_a_crossing_or_an_unaccepted_connection_may_be_lost() -> None:
    log = served_log()
    log.record_sent(3.0, b"killed", "fuzzy-match", False, DEADLINE_S, 3)
    log.record_connection_end(4.0, 3, RequestOutcome.RESET)
    log.record_sent(5.0, b"crossing", "fuzzy-match", False, DEADLINE_S, 4)
    log.record_connection_end(5.0 + SLACK_S, 4, RequestOutcome.CUT)
    log.record_sent(4.2, b"unaccepted", "fuzzy-match", False, DEADLINE_S, 5)
    outage = Outage(3.9, 4.8, killed=True)
    opened_at = {0: -1.0, 1: -1.0, 3: -1.0, 4: -1.0, 5: 4.1}
    assert broken(observations(log, outages=(outage,), opened_at=opened_at)) == set()
    assert broken(observations(log, outages=(replace(outage, killed=False),), opened_at=opened_at)) == {Rule.ANSWERED}
    opened_at[5] = 3.0
    assert broken(observations(log, outages=(outage,), opened_at=opened_at)) == {Rule.ANSWERED}


def test_a_seed_always_draws_the_same_plan_and_many_seeds_draw_every_step() -> None:
    plans = [draw_plan(seed) for seed in range(200)]
    assert plans == [draw_plan(seed) for seed in range(200)]
    assert {step.kind for plan in plans for step in plan.steps} == set(StepKind)
    assert {plan.inherited for plan in plans} == {True, False}
    assert any(plan.crowd_rate for plan in plans) and not all(plan.crowd_rate for plan in plans)


def test_seeds_are_given_as_a_number_or_a_range() -> None:
    assert (parse_seeds("7"), parse_seeds("3-5")) == (range(7, 8), range(3, 6))
    for text in ("", "a", "5-3", "-1", "1-2-3"):
        with pytest.raises(ValueError, match="--seeds is"):
            parse_seeds(text)


# Guards the rules that the platform checks, over series of signals, upgrades, kills and outages under load.
@pytest.mark.parametrize("seed", SEEDS)
def test_a_seed_of_the_soak_keeps_the_rules(seed: int) -> None:
    report = run_seed(draw_plan(seed))
    assert not report.violations, (report.violations, report.figures)
    assert report.figures["served"] > 50


# Guards the whole path from the wire to the verdict: faults planted into what a run recorded must be found.
def test_faults_planted_into_a_real_run_are_found() -> None:
    def plant(log: RequestLog) -> None:
        served = [request for request in log.requests.values() if request.outcome is RequestOutcome.SERVED]
        served[0].answers += 1
        served[1].outcome = RequestOutcome.UNANSWERED
        once = next(request for request in served[2:] if request.run_once)
        log.runs.append(Run(once.body, once.sent_at, "p1"))

    plan = replace(draw_plan(SEEDS[0]), steps=(), crowd_rate=0.0)
    rules = {violation.rule for violation in run_seed(plan, plant).violations}
    assert rules == {Rule.ONE_ANSWER, Rule.ANSWERED, Rule.RUN_ONCE}
