"""Ownership without network or threads: leases, the fence, placement, members, duties, settings, the store."""

from __future__ import annotations

import sqlite3
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from lapishaven.core.contracts import Contract, Contracts, Denied, Party
from lapishaven.lab import modelcheck
from lapishaven.lab.ownership_simulation import MembershipSimulation, SimulatedClock
from lapishaven.ownership.agent import Agent, ShardProgress
from lapishaven.ownership.command import find_store_violation
from lapishaven.ownership.coordinators.sqlite import SqliteCoordinator
from lapishaven.ownership.duties import budgets, periods, restart
from lapishaven.ownership.fence import EffectRequest, HighWaterMark, Verdict, advance, judge
from lapishaven.ownership.fenced_store import Admission, FencedStore, FencedStoreError
from lapishaven.ownership.lease import TRANSITIONS, Lease, LeaseError, LeaseEvent, LeaseState
from lapishaven.ownership.member import Member
from lapishaven.ownership.model import ListedMember, MemberRecord, MemberState, SessionGrant, Shard, View
from lapishaven.ownership.notices import NoticeKind
from lapishaven.ownership.operations import Completed, Join, Renew, Unknown
from lapishaven.ownership.overload import OverloadDetector, OverloadRules
from lapishaven.ownership.participant import DUTY_SCHEMAS
from lapishaven.ownership.placement import Candidate, compute_placement
from lapishaven.ownership.rules import MembershipRules
from lapishaven.ownership.settings import OwnershipError, load

# Notices that no member adds while there is no fault.
UNEXPECTED = {NoticeKind.SHARD_LOST, NoticeKind.SESSION_ENDED, NoticeKind.OUTCOME_UNCERTAIN}


# ---- Leases
def test_a_lease_expires_ttl_less_margin_after_its_request_was_sent() -> None:
    """A lease that counted from its answer would outlast the coordinator's, by the 2 s that an answer may take."""
    lease = Lease(3.0, 0.3)
    lease.request(10.0)
    lease.confirm(LeaseEvent.GRANTED)  # whenever the answer arrives
    assert lease.usable(12.69) and not lease.usable(12.7)  # sent at 10 s, plus 3 s, less 0.3 s
    lease.renew(12.0)
    lease.apply(LeaseEvent.NO_ANSWER)
    assert lease.state is LeaseState.UNCERTAIN and lease.usable(12.69)  # an unanswered renewal does not extend it
    assert lease.expire(12.7) and lease.state is LeaseState.LOST


def test_an_event_that_the_transition_table_lacks_is_an_error() -> None:
    """An event that the table does not have must raise an error, not be ignored."""
    lease = Lease(3.0, 0.3)
    with pytest.raises(LeaseError):
        lease.apply(LeaseEvent.RENEWED)
    assert {state for state, _ in TRANSITIONS} == set(LeaseState)  # no state is final


# ---- Fences
def test_the_fence_rejects_older_tokens_recognizes_repeats_and_detects_a_restored_copy() -> None:
    """Each verdict of the fence, the receiver's only protection against owners that act after their lease expired."""
    shard: Shard = ("work", 1)
    mark = HighWaterMark(7, 3, 10)  # the token, the number of its last request, the count of effects
    assert judge(mark, EffectRequest(shard, 6, 99)) is Verdict.STALE
    assert judge(mark, EffectRequest(shard, 7, 3)) is Verdict.REPEAT
    assert judge(mark, EffectRequest(shard, 7, 4, 11)) is Verdict.BEHIND
    assert judge(mark, EffectRequest(shard, 7, 4, 10)) is Verdict.ADMIT
    assert advance(mark, EffectRequest(shard, 8, 1)) == HighWaterMark(8, 1, 11)


@given(st.lists(st.tuples(st.integers(1, 4), st.integers(1, 4)), max_size=30))
def test_admitted_tokens_and_numbers_only_increase_for_any_order_of_requests(requests: list[tuple[int, int]]) -> None:
    """The safety property of the fence, over delayed and repeated requests in any order."""
    mark, admitted = HighWaterMark(), []
    for token, number in requests:
        if judge(mark, request := EffectRequest(("work", 0), token, number)) is Verdict.ADMIT:
            mark = advance(mark, request)
            admitted.append((token, number))
    assert admitted == sorted(set(admitted))


@pytest.mark.parametrize("table", [table for schema in DUTY_SCHEMAS.values() for table in schema.guarded_tables])
def test_a_guarded_table_rejects_writes_outside_the_fence(tmp_path: Path, table: str) -> None:
    """Plain SQL on the store's file must not be able to write a table that only effects may write."""
    FencedStore(str(tmp_path / "b"), DUTY_SCHEMAS).close()
    connection = sqlite3.connect(tmp_path / "b")
    columns = [row[1] for row in connection.execute(f"pragma table_info({table})")]
    with pytest.raises(sqlite3.Error, match="not through the fence"):
        connection.execute(f"insert into {table} values ({', '.join('1' * len(columns))})")
    connection.close()


def test_an_effect_that_fails_leaves_no_mark_and_may_be_sent_again(tmp_path: Path) -> None:
    """A mark stored without its effect would make the receiver answer the repeat as already applied."""
    store = FencedStore(str(tmp_path / "b"), DUTY_SCHEMAS)
    request = EffectRequest(("periods", 0), 5, 1)
    with pytest.raises(FencedStoreError):
        store.admit(request, "close", {"shard": "no number", "period": 1})
    assert store.admit(request, "close", {"shard": 0, "period": 1}).verdict is Verdict.ADMIT
    assert store.admit(request, "close", {"shard": 0, "period": 1}).verdict is Verdict.REPEAT
    assert find_store_violation(store) is None
    store.close()


def test_a_store_with_a_newer_schema_is_rejected(tmp_path: Path) -> None:
    """After a downgrade an old program must not write to a schema that it does not know."""
    connection = sqlite3.connect(tmp_path / "b")
    connection.execute("pragma user_version = 99")
    connection.close()
    with pytest.raises(FencedStoreError, match="schema version 99 is newer than 1"):
        FencedStore(str(tmp_path / "b"), DUTY_SCHEMAS)


# ---- Placement
@hypothesis_settings(max_examples=40)
@given(st.integers(1, 30), st.integers(1, 200), st.integers(0, 10**6))
def test_placement_is_even_and_moves_few_shards(members: int, count: int, seed: int) -> None:
    """Balance and stability together: a placement that balances by moving everything fails, as does one that moves
    nothing."""
    shards: list[Shard] = [("w", n) for n in range(count)]
    candidates = [Candidate(f"m{n}") for n in range(members)]
    plan = compute_placement(shards, candidates, {})
    loads = Counter(plan.values())
    assert set(plan) == set(shards)
    assert max(loads.values()) <= max(-(-count // members), int(1.25 * count / members))
    assert compute_placement(shards, candidates, plan) == plan
    removed = Random(seed).choice(candidates)
    if members > 1:
        rest = [candidate for candidate in candidates if candidate != removed]
        after = compute_placement(shards, rest, plan)
        orphaned = loads[removed.name]
        fair = count // (members - 1)
        lacking = sum(max(0, fair - loads[candidate.name]) for candidate in rest)
        assert sum(after[shard] != plan[shard] for shard in shards) <= max(orphaned, lacking)
    # A new member takes its fair share; a tenth and one shard more are allowed.
    joined = compute_placement(shards, [*candidates, Candidate("new")], plan)
    assert sum(joined[shard] != plan[shard] for shard in shards) <= max(1, count // (members + 1) * 1.1 + 1)


# ---- Members
def test_shards_of_dead_members_have_a_new_owner_within_a_second_after_the_lease() -> None:
    """Liveness: every shard has exactly one owner again after a kill, a drain, and the loss of half of the members."""
    fleet = MembershipSimulation(60, 3)
    for n in range(10):
        fleet.start(f"m{n}")
    fleet.run(10.0)
    assert all(len(names) == 1 for names in fleet.owners().values())
    fleet.kill("m0")
    fleet.drain("m1")
    fleet.run(10.0 + fleet.rules.ttl + 1.0)
    assert all(len(names) == 1 for names in fleet.owners().values())
    for n in range(2, 6):
        fleet.kill(f"m{n}")
    fleet.run(30.0)
    assert all(len(names) == 1 for names in fleet.owners().values())
    assert set(fleet.counts().values()) == {15}  # 60 shards on the 4 members that are left


def test_no_session_is_lost_in_an_hour_without_faults() -> None:
    """A margin or renewal interval that is too tight loses sessions without a fault, which shows within an hour."""
    fleet = MembershipSimulation(8, 5)
    for n in range(3):
        fleet.start(f"m{n}")
    fleet.run(3600.0)
    assert not [
        notice for member in fleet.members.values() for _, notice in member.notices if notice.kind in UNEXPECTED
    ]


def test_an_outage_leaves_no_owners_and_the_rejoins_after_it_are_spread() -> None:
    """An outage of minutes: owners must stop by their own clocks, and must not all rejoin at the same instant."""
    fleet = MembershipSimulation(30, 7)
    for n in range(30):
        fleet.start(f"m{n}")
    fleet.run(10.0)
    gained = sum(
        notice.kind is NoticeKind.SHARD_GAINED for member in fleet.members.values() for _, notice in member.notices
    )
    fleet.is_unavailable = lambda name: True
    fleet.run(10.0 + fleet.rules.ttl)
    assert not any(fleet.owners().values())
    fleet.run(200.0)
    assert (
        sum(notice.kind is NoticeKind.SHARD_GAINED for member in fleet.members.values() for _, notice in member.notices)
        == gained
    )
    fleet.is_unavailable = lambda name: False
    joins = []
    for step in range(10):
        before = fleet.calls["join"]
        fleet.run(200.0 + (step + 1) * 0.1)
        joins.append(fleet.calls["join"] - before)
    assert max(joins) <= 12  # of 30 members, per tenth of a second
    fleet.run(215.0)
    assert all(len(names) == 1 for names in fleet.owners().values())


def test_a_flapping_member_settles_for_longer_each_time() -> None:
    """A process that keeps crashing must not make the other members' shards move at each of its restarts."""
    fleet = MembershipSimulation(12, 9)
    for name in ("a", "b", "c"):
        fleet.start(name)
    fleet.run(5.0)
    moves = []
    for n in range(12):
        before = fleet.owners()
        fleet.kill("c")
        fleet.run(fleet.clock.time + 4.5)  # past its lease, so its shards move to the others
        fleet.start("c")
        fleet.run(fleet.clock.time + 1.0)
        moves.append(fleet.moves(before))
        del n
    assert sum(moves[:3]) > 0 and sum(moves[-5:]) == 0


def test_a_rejected_effect_ends_the_session_with_all_its_shards() -> None:
    """A stale verdict means that the process was stopped for longer than its lease, so no other shard of the session
    may be acted on either."""
    shards: list[Shard] = [("w", 0), ("w", 1)]
    member = Member(MemberRecord("a", "a1"), shards, MembershipRules(), Random(1))
    operation = member.next_operation(0.0)
    assert operation is not None
    member.record_outcome(0.1, operation, Completed(SessionGrant(5, 1)))
    member.assignment.tokens.update({("w", 0): 7, ("w", 1): 8})
    member.effect_rejected(0.2, ("w", 0), 7, 9)
    assert member.session.id is None and not member.assignment.tokens and member.token(0.3, ("w", 1)) is None
    operation = member.next_operation(9.0)
    assert isinstance(operation, Join) and operation.record.incarnation != "a1"


def test_each_attempt_to_join_is_a_new_incarnation() -> None:
    """A first attempt that is carried out late must not be taken for the second, whose lease counts from a later
    instant. The model checker covers the same case."""
    member = Member(MemberRecord("a", "a1"), [("w", 0)], MembershipRules(), Random(1))
    first = member.next_operation(0.0)
    assert isinstance(first, Join)
    member.record_outcome(0.5, first, Unknown())
    read = member.next_operation(2.0)
    assert read is not None
    member.record_outcome(2.0, read, Completed(View(1, (), {}, {})))  # not listed yet
    second = member.next_operation(4.0)
    assert isinstance(second, Join) and second.record.incarnation != first.record.incarnation
    member.record_outcome(4.5, second, Unknown())
    late = View(2, (ListedMember(7, first.record),), {}, {})  # the first attempt was carried out after the read
    read = member.next_operation(6.0)
    assert read is not None
    member.record_outcome(6.0, read, Completed(late))
    assert member.session.id is None


def test_a_renewal_without_answer_does_not_lengthen_the_lease() -> None:
    """An unanswered renewal may or may not have been carried out: it must neither extend the lease nor end it early."""
    rules = MembershipRules(ttl=3.0, margin=0.3)
    member = Member(MemberRecord("a", "a1"), [("w", 0)], rules, Random(1))
    operation = member.next_operation(0.0)
    assert operation is not None
    member.record_outcome(0.1, operation, Completed(SessionGrant(5, 1)))
    member.assignment.tokens[("w", 0)] = 7
    now, renewals = 0.1, 0
    while now < 4.0:
        operation = member.next_operation(now)
        if operation is not None:
            renewals += isinstance(operation, Renew)
            member.record_outcome(now, operation, Unknown())
        assert (member.token(now, ("w", 0)) is not None) == (now < 2.7)  # joined at 0 s: ttl less margin
        now = round(now + 0.01, 2)
    assert renewals > 3  # it is repeated while unanswered


# ---- Duties
def test_a_period_is_closed_once_and_late_rows_go_to_the_next(tmp_path: Path) -> None:
    """A consumption row that is in no statement, or in two, bills a team wrongly."""
    store = FencedStore(str(tmp_path / "b"), DUTY_SCHEMAS)
    collector = periods.ConsumptionCollector("n1", "n1:1", 1, 10.0)
    for wall, team in ((1.0, "x"), (2.0, "x"), (12.0, "y")):
        collector.record(wall, team, "c", 0.5)
    rows = collector.pending_rows()
    assert collector.pending_rows() == rows  # until they are confirmed
    for _ in range(2):  # the answer to the first flush was lost
        store.write(lambda connection: periods.insert_rows(connection, rows))
    collector.confirm(rows)
    assert collector.pending_rows() == []
    for number, period in enumerate((0, 0, 1), 1):  # a new owner closes period 0 once more
        store.admit(EffectRequest(("periods", 0), number, 1), "close", {"shard": 0, "period": period})
    collector.record(3.0, "x", "c", 0.5)  # a late row, of period 0
    store.write(lambda connection: periods.insert_rows(connection, collector.pending_rows()))
    store.admit(EffectRequest(("periods", 0), 4, 1), "close", {"shard": 0, "period": 2})
    assert store.read("select team, period, count, worth from statement order by period, team") == [
        ("x", 0, 2, 1000),  # two requests of weight 0.5, in thousandths
        ("y", 1, 1, 500),
        ("x", 2, 1, 500),
    ]
    assert find_store_violation(store) is None
    store.close()


def test_the_next_period_follows_the_last_closed_one_when_the_wall_clock_steps() -> None:
    """When the wall clock steps by an hour no period may be skipped, and none closed while rows may still be added."""
    # Periods of 10 s, closed 2 s after they end; the last closed one is 8, which ended at 90 s.
    assert periods.period_to_close(100.0, 10.0, 2.0, 8) is None and periods.period_to_close(102.0, 10.0, 2.0, 8) == 9
    assert periods.period_to_close(3702.0, 10.0, 2.0, 8) == 9  # an hour forward: the next one, not the newest
    assert periods.period_to_close(-3500.0, 10.0, 2.0, 8) is None


def test_a_rollout_keeps_to_its_limits_and_counts_unavailable_members() -> None:
    """A member that is down for another reason must count towards the limits, or too much capacity is missing."""
    members = [restart.RolloutMember(f"m{n}", 1.0, restart.RolloutStage.WAITING, f"s{n}") for n in range(8)]
    # At most 3 members at once and at most a quarter of the weight, which is 2 members.
    assert restart.choose_permitted(members, frozenset(), 3, 0.25) == ["m0", "m1"]
    assert restart.choose_permitted(members, frozenset({"m7"}), 3, 0.25) == ["m0"]
    assert restart.choose_permitted(members, frozenset({"m6", "m7"}), 3, 0.25) == []
    assert restart.choose_permitted(members[:2], frozenset(), 1, 0.25) == ["m0"]  # a small fleet can finish
    permitted = [restart.RolloutMember("m0", 1.0, restart.RolloutStage.PERMITTED, "s0")]
    assert restart.find_restarted(permitted, {"m0": restart.MemberReport("s0", True)}) == []  # not restarted yet
    assert restart.find_restarted(permitted, {"m0": restart.MemberReport("s0b", False)}) == []
    assert restart.find_restarted(permitted, {"m0": restart.MemberReport("s0b", True)}) == ["m0"]
    guard = restart.PermitGuard()
    assert guard.accept(5) and guard.accept(5) and not guard.accept(4)  # a permit under an older token


@given(st.floats(1, 1000), st.dictionaries(st.text("ab", min_size=1, max_size=4), st.floats(0, 500), max_size=12))
def test_fair_rates_sum_to_the_contracts_rate(rate: float, demands: dict[str, float]) -> None:
    """Rates over the contract's exceed what was sold; rates under it withhold service that was paid for."""
    rates = budgets.max_min_fair_rates(rate, demands)
    if demands:
        assert sum(rates.values()) == pytest.approx(rate)
        starved = [name for name in demands if rates[name] < demands[name] - 1e-6]
        assert all(rates[name] >= max(rates.values()) - 1e-6 for name in starved)


@given(
    st.dictionaries(st.sampled_from("abcdef"), st.floats(0, 50)),
    st.dictionaries(st.sampled_from("abcdef"), st.floats(0, 20)),
)
def test_outstanding_grants_are_never_granted_again(wanted: dict[str, float], outstanding: dict[str, float]) -> None:
    """After a change of owner, members still use the old owner's grants until these expire."""
    grants = budgets.grantable_rates(100.0, {name: min(rate, 100.0 / 6) for name, rate in wanted.items()}, outstanding)
    usable = sum(max(grants.get(name, 0.0), outstanding.get(name, 0.0)) for name in {*grants, *outstanding})
    assert usable <= max(100.0, sum(outstanding.values())) + 1e-6


def test_a_bucket_keeps_to_its_grant_and_falls_back_when_it_ends() -> None:
    """A member that is cut off from the grants' owner must neither use its last grant for ever nor stop serving."""
    bucket = budgets.QuotaBucket(rate=100.0, members=4, fallback_share=0.2, burst_s=1.0)
    bucket.grant(0.0, 0.0, 50.0, 2.0, 1)  # asked for and received at 0 s: 50 requests a second for 2 s, round 1
    taken: Counter[int] = Counter()
    for tick in range(5000):
        now = tick / 1000
        taken[int(now)] += bucket.take(now) is None
    assert 45 <= taken[1] <= 55
    assert taken[3] + taken[4] <= 2 * 5 + 5  # the static share: 100 * 0.2 / 4 a second
    bucket.grant(9.0, 5.0, 50.0, 2.0, 2)  # asked for at 5 s: expired
    assert bucket.take(9.0) is None and bucket.granted_until == 2.0
    bucket.grant(10.0, 10.0, 50.0, 2.0, 3)
    bucket.grant(13.0, 13.0, 50.0, 2.0, 3)  # the same round for over a span: its owner is gone
    assert bucket.granted_until == 12.0


def test_an_owner_that_returns_counts_the_grants_of_another() -> None:
    """A process that loses its shard and gets it back must not rely on the grants that it remembers: another owner has
    made newer ones in between."""
    store = FencedStore(":memory:", {"budgets": budgets.DUTY_SCHEMA})
    numbers: Counter[int] = Counter()

    def effect_sender(token: int) -> Any:
        def apply_effect(effect: str, detail: Any) -> Any:
            numbers[token] += 1
            return store.admit(EffectRequest(("budgets", 0), token, numbers[token]), effect, detail).answer

        return apply_effect

    def report(member: str, demand: float, count: int) -> None:
        # Only y adopts new grants; x may still be using any of its earlier ones.
        round_in_use = store.read("select coalesce(max(round), 0) from budget_round")[0][0] if member == "y" else 0
        store.write(lambda connection: budgets.report_demand(connection, "c", member, demand, count, round_in_use))

    first, other = (
        budgets.QuotaDistribution({"c": 100.0}, 6.0, store.read),
        budgets.QuotaDistribution({"c": 100.0}, 6.0, store.read),
    )
    report("x", 10.0, 1)
    first.step(0, effect_sender(1), 0.0)
    report("x", 100.0, 2)
    report("y", 0.0, 2)
    other.step(0, effect_sender(2), 50.0)  # the other owner grants all of it to x
    report("x", 10.0, 3)
    report("y", 100.0, 3)
    first.step(0, effect_sender(3), 51.0)
    rates = dict(store.read("select member, rate from budget_grant"))
    most = dict(store.read("select member, most from budget_grant"))
    assert most["x"] > 90.0 and rates["y"] + most["x"] <= 100.0 + 1e-6
    store.close()


def step_rollout(
    reports: dict[str, tuple[str, bool, bool]], serving: dict[str, float], store: FencedStore
) -> list[tuple[str, Any]]:
    """The effects of three steps of the restart duty, after storing the members' reports.

    ``reports``: by member, its incarnation, whether it is ready, and whether it obeys permits. ``serving``: the weights
    of the members that serve.
    """
    applied: list[tuple[str, Any]] = []
    for name, report in reports.items():
        store.write(lambda connection, name=name, report=report: restart.report_member(connection, name, *report))
    duty = restart.RollingRestart(store.read, lambda: 7, lambda: serving)
    number = store.read("select count(*) from fence_log")[0][0]

    def apply_effect(effect: str, detail: Any) -> Any:
        applied.append((effect, detail))
        return store.admit(EffectRequest(("restart", 0), 7, number + len(applied)), effect, detail).answer

    for _ in range(3):
        duty.step(0, apply_effect, 0.0)
    return applied


def test_a_rollout_enlists_members_that_serve_and_obey_and_counts_dead_ones_as_unavailable() -> None:
    """A rollout must not wait for ever for an operator's session or for a member that ignores permits. A member that
    died after it reported to be ready must count as unavailable."""
    store = FencedStore(":memory:", DUTY_SCHEMAS)
    assert step_rollout({}, {}, store) == []  # no rollout was ordered
    # At most one member at once, and at most half of the weight.
    store.write(lambda connection: restart.order_rollout(connection, "r", 1, 0.5, 1))
    all_up = {name: (f"{name}1", True, name != "disobeying") for name in ("a", "b", "disobeying", "dead")}
    assert step_rollout({}, {}, store) == []  # no member serves: no effect at any step
    applied = step_rollout(all_up, {"a": 1.0, "b": 1.0, "disobeying": 1.0, "dead": 1.0, "operator-1": 1.0}, store)
    assert [name for name, _ in applied[0][1]["members"]] == ["a", "b", "dead"]
    assert applied[1] == ("permit", {"rollout": "r", "token": 7, "members": [("a", "a1")]})
    assert step_rollout({"a": ("a2", True, True)}, {"a": 1.0, "b": 1.0, "disobeying": 1.0}, store) == [
        ("complete", {"rollout": "r", "members": ["a"]})
    ]  # "dead" is unavailable, so b has to wait
    store.close()


def test_an_effect_without_answer_is_repeated_and_another_takes_the_next_number() -> None:
    """A second effect under the number of an unanswered one would get that one's answer without being applied."""
    sent: list[tuple[int, str]] = []

    class UnresponsiveReceiver:
        def admit(self, request: EffectRequest, effect: str, detail: Any) -> Admission:
            sent.append((request.number, detail))
            if len(sent) <= 6:  # two calls, each sends the effect three times (``MAX_ATTEMPTS``)
                raise FencedStoreError("no answer")
            return Admission(Verdict.ADMIT, request.token, 1, "yes")

    shard: Shard = ("w", 0)
    member = Member(MemberRecord("a", "a1"), [shard], MembershipRules(), Random(1))
    clock = SimulatedClock()
    operation = member.next_operation(0.0)
    assert operation is not None
    member.record_outcome(0.0, operation, Completed(SessionGrant(5, 1)))
    member.assignment.tokens[shard] = 7
    agent = Agent(member, SqliteCoordinator(":memory:", clock), UnresponsiveReceiver(), [], clock)
    agent._wake.set()  # no wait between attempts
    progress = ShardProgress(7)
    for detail in ("one", "one", "two"):
        if len(sent) < 6:
            with pytest.raises(FencedStoreError):
                agent._apply_effect(shard, progress, "e", detail)
        else:
            assert agent._apply_effect(shard, progress, "e", detail) == "yes"
    assert sent == [(1, "one")] * 6 + [(2, "two")] and progress.number == 2


def test_contracts_use_granted_quota_first_and_their_own_bucket_for_the_rest() -> None:
    """A contract that is not under quota grants must still be admitted from its own token bucket."""

    class GrantedQuota:
        def take_budget(self, now: float, contract: Contract) -> float:
            return 2.5 if contract.team == "granted" else -1.0

    terms = [Contract(team, "s", "c", 1.0, "interpreter", 1.0, 1.0) for team in ("granted", "own")]
    contracts = Contracts(terms, GrantedQuota())
    assert contracts.find(Party("own", "s", "c")) is terms[1]
    assert contracts.find(Party("own", "s", "other")) == Denied("no contract", None)
    assert contracts.charge(0.0, terms[0]) == Denied("over budget", 2.5)
    assert contracts.charge(0.0, terms[1]) is None
    assert contracts.charge(0.0, terms[1]) == Denied("over budget", 1.0)


# ---- Settings
@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("ttl_s = 3.0", "ttl_s = 0", "lease.ttl_s is 0"),
        ("margin_s = 0.3", "margin_s = 2", "lease.margin_s is 2"),
        ("[restart]", "[restarts]", "unknown table 'restarts', expected one of coordinator, receiver"),
        ("obey = false", "obey = 1", 'restart.obey is 1, not true, false or "supervisor"'),
        ("shards = 16", "shards = 2000", "periods.shards is 2000"),
        ("span_s = 6.0", "", "required key budgets.span_s is missing"),
        ("span_s = 6.0", "span_s = 4.0", "budgets.span_s is 4, under twice lease.ttl_s"),
        (
            'file = "/var/lib/lapishaven/book.db"',
            'file = "book.db"',
            "receiver.file is 'book.db', not an absolute path",
        ),
        ('file = "/var/lib/lapishaven/book.db"', 'address = "127.0.0.1:1"', "required key receiver.file is missing"),
        (
            'file = "/var/lib/lapishaven/ownership.db"',
            'address = "nowhere"',
            "coordinator.address is 'nowhere', not HOST:PORT",
        ),
    ],
)
def test_an_invalid_setting_gives_a_one_line_error(tmp_path: Path, old: str, new: str, message: str) -> None:
    """An operator must see which key is wrong and what was found."""
    text = (Path(__file__).parent.parent / "deploy/ownership.toml").read_text()
    path = tmp_path / "o.toml"
    path.write_text(text)
    load(str(path))
    path.write_text(text.replace(old, new, 1))
    with pytest.raises(OwnershipError, match=message) as found:
        load(str(path))
    assert "\n" not in str(found.value)


# ---- The model checker
@pytest.mark.parametrize("model", modelcheck.MODELS, ids=lambda model: model.name)
def test_the_models_hold_and_every_guard_is_needed(model: modelcheck.Model) -> None:
    """The models must hold, and each must fail with any one guard removed: otherwise the check proves nothing."""
    assert modelcheck.check(model) is None
    violations: dict[str, Any] = {guard: modelcheck.check(model, frozenset({guard})) for guard in model.guards}
    assert all(violations.values()), violations


def test_an_overloaded_member_sheds_down_to_its_fair_share_at_half_weight() -> None:
    """Shedding must relieve an overloaded owner without making shards circulate: a burst, an overload of all members,
    and an overload without another member move nothing."""
    shards = [("tick", n) for n in range(12)]

    def view(*weights: float) -> View:
        listed = tuple(
            ListedMember(n, MemberRecord(f"m{n}", f"s{n}", MemberState.SERVING, weight))
            for n, weight in enumerate(weights)
        )
        return View(1, listed, {}, {})

    def shed_count(current: View, until: float, overloaded: Callable[[float], bool], before: View | None = None) -> int:
        detector, now = OverloadDetector(OverloadRules(sustained_for=2.0, shed_interval=0.5)), 0.0
        owned = {shard: n for n, shard in enumerate(shards[:4])}
        if before is not None:  # the view before the others announced their present weights
            detector.observe(now, 0, 0, True)
            detector.shard_to_shed(2.0, "m0", 1.0, before, {}, 12)
            assert (
                detector.shard_to_shed(2.0, "m0", 1.0, before, {shards[11]: 1}, 12) is None
            )  # one shard is within its fair share
        while now < until:
            detector.observe(now, 0, 0, overloaded(now))
            shard = detector.shard_to_shed(now, "m0", 1.0, current, owned, 12)
            if shard is not None:
                assert owned.pop(shard) == max([*owned.values(), -1]) + 1  # the shard that was gained last
            now += 0.1
        return 4 - len(owned)

    even = view(1.0, 1.0, 1.0)
    assert shed_count(even, 1.9, lambda now: True) == 0
    assert shed_count(even, 30.0, lambda now: now % 1.5 < 1.3) == 0  # bursts
    assert shed_count(even, 2.2, lambda now: True) == 1  # one per shed interval
    # Its fair share of 12 shards at weight 0.5 of 2.5 is 2.4, so it keeps 3.
    assert shed_count(even, 10.0, lambda now: True) == 1
    assert shed_count(view(1.0, 4.0, 4.0), 10.0, lambda now: True) == 3
    assert shed_count(view(1.0), 10.0, lambda now: True) == 0  # no other member
    assert shed_count(view(1.0, 0.5, 0.5), 10.0, lambda now: True, even) == 0  # all others are overloaded too
    assert shed_count(view(1.0, 0.5, 1.0), 10.0, lambda now: True, even) == 1
    detector, answers, rejections = OverloadDetector(OverloadRules(sustained_for=2.0)), 0, 0
    for n in range(40):  # a tenth of rejections is no overload, three tenths are
        answers, rejections = answers + 10, rejections + (1 if n < 20 else 3)
        detector.observe(n * 0.2, answers, rejections, False)
        assert detector.overloaded(n * 0.2) == (n > 30), n
    detector.observe(8.0, answers, rejections, False)
    assert detector.overloaded(8.0)  # a sample without answers changes nothing


def test_overflowed_tokens_are_granted_again_up_to_the_stated_share() -> None:
    """Many small members that each waste a few tokens must not leave the contract unused, and the bound must hold
    whatever overflow they report."""
    store = FencedStore(":memory:", {"budgets": budgets.DUTY_SCHEMA})
    numbers = [0]

    def apply_effect(effect: str, detail: Any) -> Any:
        numbers[0] += 1
        return store.admit(EffectRequest(("budgets", 0), 1, numbers[0]), effect, detail).answer

    def granted_total(overflow_rate: float) -> float:
        for n in range(2):
            for member in ("a", "b"):
                store.write(
                    lambda connection, n=n, member=member: budgets.report_demand(
                        connection, "c", member, 90.0, n, numbers[0], overflow_rate
                    )
                )
        budgets.QuotaDistribution({"c": 100.0}, 6.0, store.read).step(0, apply_effect, 100.0 * numbers[0])
        return float(store.read("select sum(rate) from budget_grant")[0][0])

    assert granted_total(0.0) == pytest.approx(100.0)
    store.write(lambda connection: connection.execute("delete from budget_need"))
    assert granted_total(50.0) == pytest.approx(100.0 * (1 + budgets.MAX_OVERFLOW_SHARE))
    bucket = budgets.QuotaBucket(rate=100.0, members=2, fallback_share=0.1, burst_s=1.0)
    bucket.measure_demand(0.0)
    bucket.grant(0.0, 0.0, 50.0, 100.0, 1)
    for n in range(1, 40):
        bucket.measure_demand(float(n))
    assert bucket.overflow_rate == pytest.approx(50.0, rel=0.01)  # no request: all tokens overflow
    store.close()
