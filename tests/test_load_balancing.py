"""The load balancer by itself: reports, sampling, choices, failure detection, slow start, retries. The clock is set."""

from __future__ import annotations

from collections import Counter
from contextlib import suppress
from dataclasses import fields
from pathlib import Path
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lapishaven.lab.load_balancing_cases import CASES, FAULTS_AT_S, build, play
from lapishaven.load_balancing import (
    AttemptOutcome,
    BalancingRules,
    Choice,
    LoadBalancer,
    LoadReport,
    LoadReportError,
    decode,
    encode,
    is_newer,
    load_report,
)
from lapishaven.load_balancing.endpoint_cost import queueing_cost
from lapishaven.load_balancing.endpoint_state import EndpointState
from lapishaven.load_balancing.load_reporter import LoadReporter
from lapishaven.load_balancing.retry_budget import RetryBudget
from lapishaven.load_balancing.settings import NUMBERS, BalancingSettingsError, load_settings
from lapishaven.load_balancing.weighted_sampler import WeightedSampler
from lapishaven.proto import ProtocolError
from lapishaven.proto import load as load_protocol


def new_report(
    number: int, open_: int, start: int = 1, slots: int = 4, speed: float = 1.0, warm: float = 1.0
) -> LoadReport:
    return LoadReport(start, number, open_, float(open_), slots, speed, warm)


def new_balancer(count: int = 4, **rules: float) -> LoadBalancer:
    balancer = LoadBalancer(BalancingRules(**rules), Random(3))  # type: ignore[arg-type]
    balancer.set_endpoints(f"p{n}" for n in range(count))
    return balancer


def choose(balancer: LoadBalancer, now: float, loads: dict[str, LoadReport]) -> str | None:
    """A choice whose probes are answered 1 ms later, by the endpoints in ``loads``."""
    choice = balancer.begin_choice(now)
    for probe in choice.probes:
        if probe.endpoint in loads:
            balancer.receive_probe_answer(now + 0.001, probe.probe_id, loads[probe.endpoint])
    return balancer.finish_choice(now + 0.001 if choice.complete else choice.deadline, choice)


# ---- Reports
@given(
    st.integers(0, 2**32 - 1),
    st.integers(0, 2**32 - 1),
    st.integers(0, 65535),
    st.floats(0, 4000),
    st.integers(1, 255),
    st.floats(0.005, 200.0),
    st.floats(0, 1),
)
def test_a_report_is_decoded_as_it_was_encoded(
    start: int, number: int, open_: int, load_: float, slots: int, speed: float, warm: float
) -> None:
    """Guards the wire: 15 bytes, 20 characters, each figure within a step."""
    report = LoadReport(start, number, open_, load_, slots, speed, warm)
    for back in (decode(encode(report)), load_report.decode_text(load_report.encode_text(report))):
        assert (back.incarnation, back.sequence, back.in_flight, back.slots) == (start, number, open_, slots)
        assert abs(back.weighted_load - load_) <= 1 / 32 and abs(back.desired_share - warm) <= 1 / 255
        assert abs(back.speed / speed - 1) < 0.03
    assert len(encode(report)) <= 32 and len(load_report.encode_text(report)) <= 32


@given(st.binary(max_size=64))
def test_any_bytes_are_decoded_or_rejected(data: bytes) -> None:
    """Guards the event loop from what anybody may send to an open UDP port."""
    for read in (decode, load_protocol.decode_probe, load_protocol.decode_answer):
        with suppress(LoadReportError, ProtocolError):
            read(data)  # type: ignore[operator]
    with suppress(LoadReportError):
        load_report.decode_text(data.decode("latin-1"))
    assert len(load_protocol.encode_answer(1, encode(new_report(1, 1)))) <= len(
        load_protocol.encode_probe(1)
    )  # no flood through an answer


def test_older_reports_are_ignored_also_across_a_restart_and_a_wrap_of_sequence_numbers() -> None:
    """Guards against a late report that replaces a newer one."""
    endpoint = EndpointState("p")
    assert endpoint.receive_report(1.0, 0.9, new_report(5, 3)) and not endpoint.receive_report(
        1.1, 1.0, new_report(4, 9)
    )
    assert endpoint.report is not None and endpoint.report.in_flight == 3
    assert endpoint.receive_report(1.2, 1.1, new_report(1, 0, start=2))
    assert is_newer(new_report(2, 0), new_report(2**32 - 3, 0)) and not is_newer(
        new_report(2**32 - 3, 0), new_report(2, 0)
    )


def test_requests_sent_since_the_probe_are_added_and_an_old_report_decays_to_the_mean() -> None:
    """Guards against a herd of one balancer: a burst must not all go to an endpoint that was idle a moment ago."""
    endpoint, rules = EndpointState("p"), BalancingRules(report_decay_requests=1.0)
    endpoint.receive_report(1.0, 0.9, new_report(1, 0))
    for n in range(3):
        endpoint.attempt_started(1.0 + n / 1000, 0.5, 1.0, rules)
    assert 2.5 < endpoint.estimated_load(1.01, 0.5, 1.0, rules) < 3.5
    endpoint.receive_report(1.2, 1.1, new_report(2, 3))  # counts them
    assert 2.5 < endpoint.estimated_load(1.2, 0.5, 1.0, rules) < 3.5
    for n in range(3):
        endpoint.attempt_ended(1.3, 1.0 + n / 1000, AttemptOutcome.SERVED, 1.0, 1.0)
    endpoint.slowdown = 1.0
    assert abs(endpoint.estimated_load(100.0, 0.5, 1.0, rules) - 2.0) < 0.01  # nothing is known any more: as all are


def test_a_free_slot_costs_less_than_any_wait_and_an_idle_endpoint_less_than_that() -> None:
    """Guards against idle slow machines beside requests that wait on fast ones."""
    assert queueing_cost(0, 4, 0.5) < queueing_cost(2, 4, 1.3) < queueing_cost(3, 4, 0.5) < queueing_cost(4, 4, 1.3)


# ---- Sampling
@settings(max_examples=30, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 9), st.sampled_from([0.25, 1.0, 2.0, 4.0]), st.booleans()), max_size=40),
    st.integers(0, 1000),
)
def test_samples_follow_the_weights_after_changes(steps: list[tuple[int, float, bool]], seed: int) -> None:
    """Guards the sampler's structure: positions moved by a removal, a largest weight that is gone."""
    sampler, model = WeightedSampler(), dict[str, float]()
    for number, weight, keep in steps:
        if keep:
            sampler.set_weight(str(number), weight)
            model[str(number)] = weight
        else:
            sampler.remove(str(number))
            model.pop(str(number), None)
    assert sorted(sampler.names()) == sorted(model) and len(sampler) == len(model)
    random = Random(seed)
    if not model:
        with pytest.raises(IndexError):
            sampler.sample(random)
        return
    counts = Counter(sampler.sample(random) for _ in range(4000))
    for name, weight in model.items():
        part = weight / sum(model.values())
        assert abs(counts[name] / 4000 - part) < 0.05


# ---- Choices
def test_the_probed_endpoint_with_less_load_is_chosen_and_balancers_differ_in_their_first_choice() -> None:
    """Guards the choice itself, and against balancers that all follow one order."""
    loads = {f"p{n}": new_report(1, 8 - n) for n in range(8)}
    balancer = new_balancer(8, cached_reports=0)
    for n in range(40):
        asked = balancer.begin_choice(n * 1.0)
        for probe in asked.probes:
            balancer.receive_probe_answer(n * 1.0, probe.probe_id, new_report(n + 2, 8 - int(probe.endpoint[1:])))
        assert balancer.finish_choice(n * 1.0, asked) == max(probe.endpoint for probe in asked.probes)
    firsts = Counter()
    for seed in range(400):
        other = LoadBalancer(BalancingRules(), Random(seed))
        other.set_endpoints(loads)
        firsts[choose(other, 0.0, {name: new_report(1, 0) for name in loads})] += 1
    assert max(firsts.values()) < 1.6 * 400 / 8


def test_without_answers_the_choice_is_made_by_what_is_known() -> None:
    """Guards against a choice that waits for ever, and against one that is always the same without reports."""
    balancer = new_balancer(6)
    found = Counter(choose(balancer, n * 0.02, {}) for n in range(5))
    assert None not in found and balancer.counts["blind"] == 5
    empty = LoadBalancer(BalancingRules(), Random(1))
    assert empty.finish_choice(0.0, empty.begin_choice(0.0)) is None


def test_an_endpoint_in_slow_start_gets_its_desired_share_from_all_balancers_together() -> None:
    """Guards an endpoint in slow start from a herd: chosen each time that it is probed, it would get twice its fair
    share and more."""
    won = asked = 0
    for seed in range(3000):
        balancer = LoadBalancer(BalancingRules(), Random(seed))
        balancer.set_endpoints(f"p{n}" for n in range(4))
        loads = {f"p{n}": new_report(1, 3) for n in range(3)} | {"p3": new_report(1, 0, warm=0.5)}
        won += choose(balancer, 0.0, loads) == "p3"
        asked += 1
    assert 0.7 * 0.5 / 4 < won / asked < 1.2 * 0.5 / 4


def test_a_fleet_that_is_all_in_slow_start_serves() -> None:
    """Guards a fleet that is replaced at once: with no endpoint at its full share, the others are not left out."""
    balancer = new_balancer(3)
    assert choose(balancer, 0.0, {f"p{n}": new_report(1, n, warm=0.2) for n in range(3)}) is not None


@pytest.mark.parametrize("ending", [AttemptOutcome.FAILED, AttemptOutcome.REJECTED])
def test_an_endpoint_that_fails_at_once_does_not_attract_the_traffic(ending: AttemptOutcome) -> None:
    """Guards against a black hole: an endpoint that fails or rejects at once is always idle."""
    balancer = new_balancer(4, max_ejected_fraction=0.0)
    balancer.averages.request_s = 0.5
    got, now, open_ = Counter[str](), 0.0, list[tuple[float, str, float]]()
    held = Counter[str]()
    for n in range(2000):
        now = n * 0.05
        for due, name, sent in [each for each in open_ if each[0] <= now]:
            open_.remove((due, name, sent))
            held[name] -= 1
            balancer.attempt_ended(now, name, sent, AttemptOutcome.SERVED)
        loads = {f"p{k}": new_report(n + 1, held[f"p{k}"]) for k in range(4)}
        name = choose(balancer, now, loads)
        assert name is not None
        got[name] += 1
        balancer.attempt_started(now, name)
        if name == "p0":
            balancer.attempt_ended(now + 0.001, name, now, ending)
        else:
            held[name] += 1
            open_.append((now + 0.5, name, now))
    assert got["p0"] < 0.4 * 2000


def test_consecutive_failures_eject_but_never_more_than_the_largest_fraction() -> None:
    """Guards against a fault of this side (its network, its disk) that would leave it without endpoints."""
    balancer = new_balancer(10, max_ejected_fraction=0.2)
    for n in range(10):
        for k in range(5):
            balancer.attempt_started(k * 0.01, f"p{n}")
            balancer.attempt_ended(k * 0.01, f"p{n}", k * 0.01, AttemptOutcome.UNREACHABLE)
    out = [endpoint for endpoint in balancer.endpoints.states.values() if endpoint.ejected_until > 0.1]
    assert len(out) == 2
    back = out[0]
    assert not balancer.is_usable(0.1, back) and balancer.is_usable(back.ejected_until + 0.01, back)
    balancer.attempt_started(back.ejected_until + 0.01, back.name)
    assert not balancer.is_usable(back.ejected_until + 0.02, back)  # one at a time, as a trial
    balancer.attempt_ended(back.ejected_until + 0.3, back.name, back.ejected_until + 0.01, AttemptOutcome.SERVED)
    assert balancer.is_usable(back.ejected_until + 0.3, back)


def test_retry_after_is_kept_to_and_a_draining_endpoint_gets_nothing() -> None:
    """Guards an endpoint that asked to be left alone from the next attempt of the same balancer."""
    balancer = new_balancer(2)
    balancer.attempt_started(0.0, "p0")
    balancer.attempt_ended(0.1, "p0", 0.0, AttemptOutcome.REJECTED, 0.5)
    assert {choose(balancer, 0.2 + n / 100, {f"p{k}": new_report(n + 1, 0) for k in (0, 1)}) for n in range(10)} == {
        "p1"
    }
    balancer.receive_report(2.0, "p1", 2.0, new_report(99, 0, warm=0.0))
    assert {choose(balancer, 2.0 + n / 100, {"p0": new_report(n + 50, 9)}) for n in range(10)} == {"p0"}


# ---- Failure detection
def test_an_endpoint_that_does_not_answer_is_suspected_within_a_second_until_it_does() -> None:
    """Guards both ends: an unresponsive endpoint is found, and anything that comes from it clears it."""
    balancer = new_balancer(3)
    balancer.attempt_started(0.0, "p0")
    health_checks, newly_suspected, now = [], [], 0.0
    while not newly_suspected and now < 3.0:
        now = balancer.next_check_at()
        more, newly_suspected = balancer.check_responsiveness(now)
        health_checks += more
    assert [probe.endpoint for probe in health_checks][:1] == ["p0"] and newly_suspected == ["p0"] and now < 0.6
    assert balancer.suspected_since("p0") is not None and not balancer.is_usable(now, balancer.endpoints.states["p0"])
    count = 0
    while now < 10.0:  # less and less often
        now = balancer.next_check_at()
        count += len(balancer.check_responsiveness(now)[0])
    assert 4 < count < 12
    balancer.receive_report(now, "p0", now, None)
    assert balancer.suspected_since("p0") is None and balancer.is_usable(now, balancer.endpoints.states["p0"])


def test_when_most_probes_go_unanswered_nobody_more_is_suspected() -> None:
    """Guards against a slow machine: with most probes unanswered the fault is on this side."""
    balancer, newly_suspected = new_balancer(40), []
    for n in range(60):
        now = n * 0.05
        balancer.begin_choice(now)
        newly_suspected += balancer.check_responsiveness(now)[1]
    assert len(set(newly_suspected)) < 20 and balancer.failure_detector.panics > 0


def test_on_a_slow_network_late_answers_are_not_taken_for_failures() -> None:
    """Guards against endless suspicion: the network delay is learned from answers, however late."""
    balancer, suspects = new_balancer(10), 0
    pending: list[tuple[float, Choice]] = []
    for n in range(400):
        now = n * 0.05
        choice = balancer.begin_choice(now)
        pending.append((now + 1.0, choice))
        for due, old in [each for each in pending if each[0] <= now]:
            pending.remove((due, old))
            for probe in old.probes:
                balancer.receive_probe_answer(now, probe.probe_id, new_report(n + 1, 1))
        suspects += len(balancer.check_responsiveness(now)[1]) if n > 200 else 0
    assert suspects == 0 and 0.3 < balancer.averages.one_way_s < 0.8


def test_retries_are_a_fraction_of_first_attempts_and_more_for_a_while_after_several_failures() -> None:
    """Guards against retry storms, and against a fifth of the endpoints that become unresponsive at once."""
    budget, taken = RetryBudget(BalancingRules(retry_ratio=0.1)), 0
    for n in range(1000):
        budget.deposit(n * 0.01)
        taken += budget.try_withdraw(n * 0.01)
    assert 95 <= taken <= 105
    budget.raise_ratio(10.0, 5)
    more = sum(budget.try_withdraw(10.0) for _ in range(50))
    assert 5 <= more <= 20
    assert sum(budget.try_withdraw(20.0) for _ in range(50)) <= 1


# ---- The load reporter
def test_a_process_measures_its_speed_weighs_its_classes_and_reports_failures() -> None:
    """Guards the report itself: a machine that is twice as fast says so, whatever its load."""
    speeds = {}
    for factor in (1.0, 2.0):
        reporter, now = LoadReporter(7, 2, 0.0), 0.0
        for n in range(40):
            reporter.run_started(now, f"a{n}", 0)
            reporter.run_started(now, f"b{n}", 1)
            reporter.run_ended(now + 0.1 / factor, f"a{n}", True, False)
            reporter.run_ended(now + 0.3 / factor, f"b{n}", True, False)
            now += 1.0
        report = reporter.report(now, {0: 2, 1: 1})
        speeds[factor] = report.speed
        assert report.in_flight == 3 and 2.2 < report.weighted_load < 2.8 and report.desired_share > 0.99
        for n in range(30):
            reporter.run_started(now, f"c{n}", 0)
            reporter.run_ended(now, f"c{n}", False, True)
        assert reporter.report(now, {}).desired_share < 0.1
        assert reporter.report(now + 60.0, {}).desired_share > 0.9
        reporter.draining = True
        assert reporter.report(now, {}).desired_share == 0.0
    assert 1.9 < speeds[2.0] / speeds[1.0] < 2.1


def test_a_process_in_slow_start_asks_for_a_growing_share() -> None:
    """Guards a process that warms up by its own report."""
    reporter = LoadReporter(1, 4, 100.0, 0.25, 10.0)
    assert [round(reporter.report(100.0 + age, {}).desired_share, 2) for age in (0, 5, 10, 20)] == [
        0.25,
        0.62,
        1.0,
        1.0,
    ]


# ---- In simulated time
@pytest.mark.parametrize(
    "case",
    [
        "0.9 of capacity",
        "one ten times slower",
        "a call in 8 s a front",
        "one says it is empty",
        "all news 2 s late",
        "half cut off from half",
    ],
)
def test_in_simulated_time_every_case_is_better_than_two_choices_by_own_view(case: str) -> None:
    """Guards the policy as a whole; the oracle's figures beside it are in the benchmark."""
    ours, today = (play(case, policy, 10, 20, 5) for policy in ("ours", "two choices"))
    assert ours["on_time"] > max(0.93, today["on_time"]) and ours["tries"] <= 1.1
    assert ours["p99"] < today["p99"] or case == "one says it is empty"  # a lie draws what learning of it takes
    assert play(case, "ours", 10, 20, 5) == ours  # the same seed, the same figures
    assert case in CASES


# ---- Settings
@pytest.mark.parametrize(
    ("old", "new", "text"),
    [
        ('addresses = ["127.0.0.1:3032", "127.0.0.1:3033"]', "", "processes needs either addresses or file"),
        ('"127.0.0.1:3033"]', '"127.0.0.1:3032"]', "a process is named twice"),
        ('"127.0.0.1:3033"]', '"nowhere"]', "'nowhere' is not HOST:PORT"),
        ("a_choice = 2", "a_choice = 2.5", "probes.a_choice is not a whole number from 0 to 8"),
        ("silent_s = 0.15", "silent_s = true", "silence.silent_s is not a number from 0.01 to 10"),
        ("part_high = 0.4", "part_high = 0.05", "second_tries.part_high is under second_tries.part"),
        ("[faults]", "[fault]", "unknown table fault"),
        ("in_a_row", "in_row", "unknown key faults.in_row"),
        ('path = "/match/"', 'path = "match"', "processes.path does not start with /"),
        ("[silence]", "[silence", "Expected"),
    ],
)
def test_a_mistake_in_the_settings_is_one_plain_line(old: str, new: str, text: str, tmp_path: Path) -> None:
    """Guards operators from a server that starts on half of a file."""
    path = tmp_path / "spread.toml"
    content = Path("deploy/spread.toml").read_text()
    assert old in content
    path.write_text(content.replace(old, new))
    with pytest.raises(BalancingSettingsError, match=text) as found:
        load_settings(str(path))
    assert "\n" not in str(found.value)


def test_endpoints_may_be_listed_in_a_file_of_their_own(tmp_path: Path) -> None:
    """Guards the file that other tools write."""
    path, names = tmp_path / "spread.toml", tmp_path / "names"
    names.write_text("# the tier\n127.0.0.1:1\n\n127.0.0.1:2  # old box\n")
    path.write_text(f'[processes]\nfile = "{names}"\n')
    assert load_settings(str(path)).addresses == (("127.0.0.1", 1), ("127.0.0.1", 2))
    names.unlink()
    with pytest.raises(BalancingSettingsError, match="cannot read"):
        load_settings(str(path))


def test_an_abandoned_simulated_request_does_not_arrive_as_its_retry() -> None:
    """Guards the simulator: such a request arrived at a dead process under its new number, was released twice and
    ended the run (a fifth killed, seed 6111)."""
    sim = build(CASES["a fifth killed, back cold"], "ours", 50, 100, 6111)
    sim.run(FAULTS_AT_S + 0.6)
    assert sim.now == FAULTS_AT_S + 0.6


def test_each_numeric_key_sets_a_field_of_the_rules() -> None:
    """Guards the table of keys from a field that is renamed without it."""
    set_by_file = [key.field for keys in NUMBERS.values() for key in keys.values()]
    assert len(set_by_file) == len(set(set_by_file))
    assert {each.name for each in fields(BalancingRules)} - set(set_by_file) == {"initial_request_s"}
