"""Unit tests of load balancing: reports, sampling, choices, failure detection, slow start, retries and settings.

Time is an argument, so no test waits.
"""

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
from lapishaven.load_balancing.settings import NUMERIC_KEYS, BalancingSettingsError, load_settings
from lapishaven.load_balancing.weighted_sampler import WeightedSampler
from lapishaven.proto import ProtocolError
from lapishaven.proto import load as load_protocol


def new_report(
    sequence: int,
    in_flight: int,
    incarnation: int = 1,
    slots: int = 4,
    speed: float = 1.0,
    desired_share: float = 1.0,
) -> LoadReport:
    return LoadReport(incarnation, sequence, in_flight, float(in_flight), slots, speed, desired_share)


def new_balancer(count: int = 4, **rules: float) -> LoadBalancer:
    balancer = LoadBalancer(BalancingRules(**rules), Random(3))  # type: ignore[arg-type]
    balancer.set_endpoints(f"p{n}" for n in range(count))
    return balancer


def choose(balancer: LoadBalancer, now: float, reports: dict[str, LoadReport]) -> str | None:
    """Choose an endpoint; the endpoints in ``reports`` answer their probes after 1 ms, all others do not answer."""
    choice = balancer.begin_choice(now)
    for probe in choice.probes:
        if probe.endpoint in reports:
            balancer.receive_probe_answer(now + 0.001, probe.probe_id, reports[probe.endpoint])
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
    incarnation: int, sequence: int, in_flight: int, weighted_load: float, slots: int, speed: float, share: float
) -> None:
    """Encoding and decoding, in bytes and in text, changes no value by more than the resolution of its field."""
    report = LoadReport(incarnation, sequence, in_flight, weighted_load, slots, speed, share)
    for decoded in (decode(encode(report)), load_report.decode_text(load_report.encode_text(report))):
        assert (decoded.incarnation, decoded.sequence, decoded.in_flight, decoded.slots) == (
            incarnation,
            sequence,
            in_flight,
            slots,
        )
        assert abs(decoded.weighted_load - weighted_load) <= 1 / 32 and abs(decoded.desired_share - share) <= 1 / 255
        assert abs(decoded.speed / speed - 1) < 0.03
    assert len(encode(report)) <= 32 and len(load_report.encode_text(report)) <= 32


@given(st.binary(max_size=64))
def test_any_bytes_are_decoded_or_rejected(data: bytes) -> None:
    """Arbitrary datagrams, which anyone can send to the open UDP port, raise only the declared errors."""
    for decode_datagram in (decode, load_protocol.decode_probe, load_protocol.decode_answer):
        with suppress(LoadReportError, ProtocolError):
            decode_datagram(data)  # type: ignore[operator]
    with suppress(LoadReportError):
        load_report.decode_text(data.decode("latin-1"))
    # An answer is not longer than its probe, so that probes with a forged sender address cannot be amplified.
    assert len(load_protocol.encode_answer(1, encode(new_report(1, 1)))) <= len(load_protocol.encode_probe(1))


def test_older_reports_are_ignored_even_across_a_restart_and_a_wrap_of_the_sequence_number() -> None:
    """Guards against a delayed report replacing a newer one."""
    endpoint = EndpointState("p")
    assert endpoint.receive_report(1.0, 0.9, new_report(5, 3)) and not endpoint.receive_report(
        1.1, 1.0, new_report(4, 9)
    )
    assert endpoint.report is not None and endpoint.report.in_flight == 3
    assert endpoint.receive_report(1.2, 1.1, new_report(1, 0, incarnation=2))
    assert is_newer(new_report(2, 0), new_report(2**32 - 3, 0)) and not is_newer(
        new_report(2**32 - 3, 0), new_report(2, 0)
    )


def test_requests_sent_since_the_probe_are_added_and_an_old_report_decays_to_the_mean_load() -> None:
    """Guards against a burst from one balancer going entirely to an endpoint that has just reported that it is idle."""
    endpoint, rules = EndpointState("p"), BalancingRules(report_decay_requests=1.0)
    endpoint.receive_report(1.0, 0.9, new_report(1, 0))
    for n in range(3):
        endpoint.attempt_started(1.0 + n / 1000, 0.5, 1.0, rules)
    assert 2.5 < endpoint.estimated_load(1.01, 0.5, 1.0, rules) < 3.5
    endpoint.receive_report(1.2, 1.1, new_report(2, 3))  # includes the three requests
    assert 2.5 < endpoint.estimated_load(1.2, 0.5, 1.0, rules) < 3.5
    for n in range(3):
        endpoint.attempt_ended(1.3, 1.0 + n / 1000, AttemptOutcome.SERVED, 1.0, 1.0)
    endpoint.slowdown = 1.0
    assert abs(endpoint.estimated_load(100.0, 0.5, 1.0, rules) - 2.0) < 0.01  # fully decayed to the mean: 0.5 per slot


def test_a_free_slot_costs_less_than_any_queueing_and_an_idle_endpoint_costs_least() -> None:
    """Guards against slow machines staying idle while requests queue on fast ones."""
    assert queueing_cost(0, 4, 0.5) < queueing_cost(2, 4, 1.3) < queueing_cost(3, 4, 0.5) < queueing_cost(4, 4, 1.3)


# ---- Sampling
@settings(max_examples=30, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 9), st.sampled_from([0.25, 1.0, 2.0, 4.0]), st.booleans()), max_size=40),
    st.integers(0, 1000),
)
def test_samples_follow_the_weights_after_changes(steps: list[tuple[int, float, bool]], seed: int) -> None:
    """Guards the sampler's bookkeeping: positions that a removal changes, and removal of the largest weight."""
    sampler, model = WeightedSampler(), dict[str, float]()
    for item, weight, is_set in steps:
        if is_set:
            sampler.set_weight(str(item), weight)
            model[str(item)] = weight
        else:
            sampler.remove(str(item))
            model.pop(str(item), None)
    assert sorted(sampler.names()) == sorted(model) and len(sampler) == len(model)
    random = Random(seed)
    if not model:
        with pytest.raises(IndexError):
            sampler.sample(random)
        return
    counts = Counter(sampler.sample(random) for _ in range(4000))
    for name, weight in model.items():
        expected_share = weight / sum(model.values())
        assert abs(counts[name] / 4000 - expected_share) < 0.05


# ---- Choices
def test_the_less_loaded_probed_endpoint_is_chosen_and_balancers_differ_in_their_first_choice() -> None:
    """Guards the choice itself, and against balancers that all probe the endpoints in the same order.

    An endpoint with a higher number reports less load.
    """
    loads = {f"p{n}": new_report(1, 8 - n) for n in range(8)}
    balancer = new_balancer(8, cached_reports=0)
    for n in range(40):
        choice = balancer.begin_choice(n * 1.0)
        for probe in choice.probes:
            balancer.receive_probe_answer(n * 1.0, probe.probe_id, new_report(n + 2, 8 - int(probe.endpoint[1:])))
        assert balancer.finish_choice(n * 1.0, choice) == max(probe.endpoint for probe in choice.probes)
    first_choices = Counter()
    for seed in range(400):
        other = LoadBalancer(BalancingRules(), Random(seed))
        other.set_endpoints(loads)
        first_choices[choose(other, 0.0, {name: new_report(1, 0) for name in loads})] += 1
    assert max(first_choices.values()) < 1.6 * 400 / 8  # times the fair share of 400 choices among 8 endpoints


def test_without_probe_answers_the_choice_is_made_from_the_known_state() -> None:
    """Guards against a choice that fails when no probe is answered; only a balancer without endpoints has no choice."""
    balancer = new_balancer(6)
    chosen = Counter(choose(balancer, n * 0.02, {}) for n in range(5))
    assert None not in chosen and balancer.counts["blind"] == 5
    empty = LoadBalancer(BalancingRules(), Random(1))
    assert empty.finish_choice(0.0, empty.begin_choice(0.0)) is None


def test_an_endpoint_in_slow_start_gets_its_desired_share_from_all_balancers_together() -> None:
    """Guards against overloading an endpoint in slow start: it looks idle, and would get more than twice its fair share
    if it were chosen whenever it is probed."""
    chosen = total = 0
    for seed in range(3000):
        balancer = LoadBalancer(BalancingRules(), Random(seed))
        balancer.set_endpoints(f"p{n}" for n in range(4))
        loads = {f"p{n}": new_report(1, 3) for n in range(3)} | {"p3": new_report(1, 0, desired_share=0.5)}
        chosen += choose(balancer, 0.0, loads) == "p3"
        total += 1
    assert 0.7 * 0.5 / 4 < chosen / total < 1.2 * 0.5 / 4  # it asks for 0.5 of the fair share of 1/4


def test_a_fleet_in_which_all_endpoints_are_in_slow_start_serves() -> None:
    """Guards a fleet that is replaced all at once: shares are relative, so some endpoint is always chosen."""
    balancer = new_balancer(3)
    assert choose(balancer, 0.0, {f"p{n}": new_report(1, n, desired_share=0.2) for n in range(3)}) is not None


@pytest.mark.parametrize("outcome", [AttemptOutcome.FAILED, AttemptOutcome.REJECTED])
def test_an_endpoint_that_fails_immediately_does_not_attract_traffic(outcome: AttemptOutcome) -> None:
    """Guards against a black hole: an endpoint that fails or rejects requests immediately always looks idle."""
    balancer = new_balancer(4, max_ejected_fraction=0.0)
    balancer.averages.request_s = 0.5
    sent, now, in_service = Counter[str](), 0.0, list[tuple[float, str, float]]()
    in_flight = Counter[str]()
    for n in range(2000):
        now = n * 0.05
        for ends_at, name, sent_at in [request for request in in_service if request[0] <= now]:
            in_service.remove((ends_at, name, sent_at))
            in_flight[name] -= 1
            balancer.attempt_ended(now, name, sent_at, AttemptOutcome.SERVED)
        loads = {f"p{k}": new_report(n + 1, in_flight[f"p{k}"]) for k in range(4)}
        name = choose(balancer, now, loads)
        assert name is not None
        sent[name] += 1
        balancer.attempt_started(now, name)
        if name == "p0":
            balancer.attempt_ended(now + 0.001, name, now, outcome)
        else:
            in_flight[name] += 1
            in_service.append((now + 0.5, name, now))
    assert sent["p0"] < 0.4 * 2000  # a fair share is 0.25 of the 2000 requests


def test_consecutive_failures_eject_at_most_the_maximum_fraction_of_endpoints() -> None:
    """Guards against a fault on the balancer's own side (its network or disk) ejecting all endpoints."""
    balancer = new_balancer(10, max_ejected_fraction=0.2)
    for n in range(10):
        for k in range(5):
            balancer.attempt_started(k * 0.01, f"p{n}")
            balancer.attempt_ended(k * 0.01, f"p{n}", k * 0.01, AttemptOutcome.UNREACHABLE)
    ejected = [endpoint for endpoint in balancer.endpoints.states.values() if endpoint.ejected_until > 0.1]
    assert len(ejected) == 2
    returning = ejected[0]
    assert not balancer.is_usable(0.1, returning) and balancer.is_usable(returning.ejected_until + 0.01, returning)
    balancer.attempt_started(returning.ejected_until + 0.01, returning.name)
    assert not balancer.is_usable(returning.ejected_until + 0.02, returning)  # on trial: one attempt at a time
    balancer.attempt_ended(
        returning.ejected_until + 0.3, returning.name, returning.ejected_until + 0.01, AttemptOutcome.SERVED
    )
    assert balancer.is_usable(returning.ejected_until + 0.3, returning)


def test_retry_after_is_honoured_and_a_draining_endpoint_gets_no_requests() -> None:
    """Guards against sending requests to an endpoint within its Retry-After or while it drains."""
    balancer = new_balancer(2)
    balancer.attempt_started(0.0, "p0")
    balancer.attempt_ended(0.1, "p0", 0.0, AttemptOutcome.REJECTED, 0.5)
    assert {choose(balancer, 0.2 + n / 100, {f"p{k}": new_report(n + 1, 0) for k in (0, 1)}) for n in range(10)} == {
        "p1"
    }
    balancer.receive_report(2.0, "p1", 2.0, new_report(99, 0, desired_share=0.0))
    assert {choose(balancer, 2.0 + n / 100, {"p0": new_report(n + 50, 9)}) for n in range(10)} == {"p0"}


# ---- Failure detection
def test_an_unresponsive_endpoint_is_suspected_within_a_second_and_until_it_responds() -> None:
    """Guards detection and recovery: any response ends the suspicion, and until then probes become less frequent."""
    balancer = new_balancer(3)
    balancer.attempt_started(0.0, "p0")
    health_checks, newly_suspected, now = [], [], 0.0
    while not newly_suspected and now < 3.0:
        now = balancer.next_check_at()
        probes, newly_suspected = balancer.check_responsiveness(now)
        health_checks += probes
    # At most 0.33 s until the probe (the watch interval with jitter), and a probe timeout of 0.15 s.
    assert [probe.endpoint for probe in health_checks][:1] == ["p0"] and newly_suspected == ["p0"] and now < 0.6
    assert balancer.suspected_since("p0") is not None and not balancer.is_usable(now, balancer.endpoints.states["p0"])
    probe_count = 0
    while now < 10.0:
        now = balancer.next_check_at()
        probe_count += len(balancer.check_responsiveness(now)[0])
    assert 4 < probe_count < 12  # at increasing intervals of up to about 2 s
    balancer.receive_report(now, "p0", now, None)
    assert balancer.suspected_since("p0") is None and balancer.is_usable(now, balancer.endpoints.states["p0"])


def test_when_most_probes_are_unanswered_no_further_endpoint_is_suspected() -> None:
    """Guards against a slow balancer machine: if most probes are unanswered, the fault is on the balancer's side."""
    balancer, newly_suspected = new_balancer(40), []
    for n in range(60):
        now = n * 0.05
        balancer.begin_choice(now)
        newly_suspected += balancer.check_responsiveness(now)[1]
    assert len(set(newly_suspected)) < 20 and balancer.failure_detector.panics > 0


def test_late_answers_on_a_slow_network_are_not_taken_for_failures() -> None:
    """Guards against permanent suspicion on a slow network: the probe timeout adapts to the measured delay."""
    balancer, suspicions = new_balancer(10), 0
    pending: list[tuple[float, Choice]] = []  # choices whose probes are answered 1 s after they were sent
    for n in range(400):
        now = n * 0.05
        choice = balancer.begin_choice(now)
        pending.append((now + 1.0, choice))
        for answered_at, answered in [entry for entry in pending if entry[0] <= now]:
            pending.remove((answered_at, answered))
            for probe in answered.probes:
                balancer.receive_probe_answer(now, probe.probe_id, new_report(n + 1, 1))
        suspicions += len(balancer.check_responsiveness(now)[1]) if n > 200 else 0  # once the timeout has adapted
    assert suspicions == 0 and 0.3 < balancer.averages.one_way_s < 0.8  # half of the round trip of 1 s


def test_retries_are_a_fraction_of_first_attempts_which_is_raised_temporarily_after_several_suspicions() -> None:
    """Guards against retry storms, and against too few retries when many endpoints become unresponsive at once."""
    budget, withdrawn = RetryBudget(BalancingRules(retry_ratio=0.1)), 0
    for n in range(1000):
        budget.deposit(n * 0.01)
        withdrawn += budget.try_withdraw(n * 0.01)
    assert 95 <= withdrawn <= 105
    budget.raise_ratio(10.0, 5)
    withdrawn_after_raise = sum(budget.try_withdraw(10.0) for _ in range(50))
    assert 5 <= withdrawn_after_raise <= 20
    assert sum(budget.try_withdraw(20.0) for _ in range(50)) <= 1


# ---- The load reporter
def test_the_reporter_measures_speed_weights_classes_and_reports_failures() -> None:
    """Guards the contents of a report; a machine twice as fast reports twice the speed."""
    speeds = {}
    for speed_factor in (1.0, 2.0):
        reporter, now = LoadReporter(7, 2, 0.0), 0.0
        for n in range(40):
            reporter.run_started(now, f"a{n}", 0)
            reporter.run_started(now, f"b{n}", 1)
            reporter.run_ended(now + 0.1 / speed_factor, f"a{n}", True, False)
            reporter.run_ended(now + 0.3 / speed_factor, f"b{n}", True, False)
            now += 1.0
        report = reporter.report(now, {0: 2, 1: 1})
        speeds[speed_factor] = report.speed
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
    """Guards slow start: the desired share grows linearly from ``initial_share`` to 1 over ``slow_start_s``."""
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
def test_in_simulation_the_balancer_is_better_than_two_choices_by_own_requests_in_flight(case: str) -> None:
    """Guards the balancer as a whole; ``benchmarks/spread.py`` also compares it with an oracle."""
    ours, baseline = (play(case, policy, 10, 20, 5) for policy in ("ours", "two choices"))
    assert ours["on_time"] > max(0.93, baseline["on_time"]) and ours["tries"] <= 1.1
    # A process that falsely reports no load attracts requests until its slowdown reveals it.
    assert ours["p99"] < baseline["p99"] or case == "one says it is empty"
    assert play(case, "ours", 10, 20, 5) == ours  # deterministic for a seed
    assert case in CASES


# ---- Settings
@pytest.mark.parametrize(
    ("old", "new", "text"),
    [
        (
            'addresses = ["127.0.0.1:3032", "127.0.0.1:3033"]',
            "",
            "processes needs either addresses or file, found neither",
        ),
        ('"127.0.0.1:3033"]', '"127.0.0.1:3032"]', "lists an address more than once: 127.0.0.1:3032"),
        ('"127.0.0.1:3033"]', '"nowhere"]', "'nowhere' is not HOST:PORT with a port from 1 to 65535"),
        ("a_choice = 2", "a_choice = 2.5", "probes.a_choice is 2.5, not an integer from 0 to 8"),
        ("silent_s = 0.15", "silent_s = true", "silence.silent_s is True, not a number from 0.01 to 10"),
        ("part_high = 0.4", "part_high = 0.05", "second_tries.part_high is 0.05, less than second_tries.part, 0.1"),
        ("[faults]", "[fault]", "unknown table fault; known tables: processes, probes, silence, faults, second_tries"),
        ("in_a_row", "in_row", "unknown key faults.in_row; known keys: in_a_row, out_s, out_most_s, part"),
        ('path = "/match/"', 'path = "match"', "processes.path is 'match', not a string that starts with /"),
        ("[silence]", "[silence", "not valid TOML: Expected"),
    ],
)
def test_an_error_in_the_settings_is_reported_in_one_line(old: str, new: str, text: str, tmp_path: Path) -> None:
    """Guards against a server that starts with part of an invalid settings file, and against multi-line errors."""
    path = tmp_path / "spread.toml"
    content = Path("deploy/spread.toml").read_text()
    assert old in content
    path.write_text(content.replace(old, new))
    with pytest.raises(BalancingSettingsError, match=text) as raised:
        load_settings(str(path))
    assert "\n" not in str(raised.value)


def test_endpoints_may_be_listed_in_a_file_of_their_own(tmp_path: Path) -> None:
    """Guards the address list file, which other tools write: blank lines and comments are ignored."""
    path, address_file = tmp_path / "spread.toml", tmp_path / "names"
    address_file.write_text("# the tier\n127.0.0.1:1\n\n127.0.0.1:2  # old box\n")
    path.write_text(f'[processes]\nfile = "{address_file}"\n')
    assert load_settings(str(path)).addresses == (("127.0.0.1", 1), ("127.0.0.1", 2))
    address_file.unlink()
    with pytest.raises(BalancingSettingsError, match=f"cannot read {address_file}: No such file or directory"):
        load_settings(str(path))


def test_in_simulation_an_abandoned_request_does_not_arrive_as_its_retry() -> None:
    """Guards the simulator against a request that is abandoned in transit and then arrives at a dead process under the
    number of its retry: it was released twice, and the error ended the run (this case, with seed 6111)."""
    sim = build(CASES["a fifth killed, back cold"], "ours", 50, 100, 6111)
    sim.run(FAULTS_AT_S + 0.6)
    assert sim.now == FAULTS_AT_S + 0.6


def test_the_numeric_keys_set_every_field_of_the_rules_but_the_initial_duration() -> None:
    """Guards against a field of ``BalancingRules`` that no key of the settings file sets, or that two keys set."""
    set_by_file = [key.rule for keys in NUMERIC_KEYS.values() for key in keys.values()]
    assert len(set_by_file) == len(set(set_by_file))
    assert {rule.name for rule in fields(BalancingRules)} - set(set_by_file) == {"initial_request_s"}
