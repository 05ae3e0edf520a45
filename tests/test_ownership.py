"""The decisions of ownership, without I/O: leases, fences, placement, members, duties, settings, the store's guards."""

from __future__ import annotations

import sqlite3
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as rounds
from hypothesis import strategies as st

from lapishaven.core.contracts import Contract, Contracts, Denied
from lapishaven.lab import modelcheck
from lapishaven.lab.ownership_simulation import SimClock, SimFleet
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

UNEXPECTED = {NoticeKind.SHARD_LOST, NoticeKind.SESSION_ENDED, NoticeKind.OUTCOME_UNCERTAIN}


# ---- Leases
def test_a_lease_counts_from_when_it_was_sent_less_the_margin() -> None:
    """Guards the send time: an answer that took 2 s must not make the lease 2 s longer than the coordinator's."""
    lease = Lease(3.0, 0.3)
    lease.request(10.0)
    lease.confirm(LeaseEvent.GRANTED)  # whenever it comes
    assert lease.usable(12.69) and not lease.usable(12.7)
    lease.renew(12.0)
    lease.apply(LeaseEvent.NO_ANSWER)
    assert lease.state is LeaseState.UNCERTAIN and lease.usable(12.69)  # an unanswered renewal does not lengthen it
    assert lease.expire(12.7) and lease.state is LeaseState.LOST


def test_an_event_that_the_transition_table_lacks_is_an_error() -> None:
    """Guards the table: an event that it does not have is a fault, and is not passed over."""
    lease = Lease(3.0, 0.3)
    with pytest.raises(LeaseError):
        lease.apply(LeaseEvent.RENEWED)
    assert {state for state, _ in TRANSITIONS} == set(LeaseState)  # from every state something leads on


# ---- Fences
def test_a_fence_rejects_older_tokens_recognizes_repeats_and_detects_an_older_copy() -> None:
    """Guards each verdict: the receiver's only protection against owners that woke up late."""
    shard: Shard = ("work", 1)
    mark = HighWaterMark(7, 3, 10)
    assert judge(mark, EffectRequest(shard, 6, 99)) is Verdict.STALE
    assert judge(mark, EffectRequest(shard, 7, 3)) is Verdict.REPEAT
    assert judge(mark, EffectRequest(shard, 7, 4, 11)) is Verdict.BEHIND
    assert judge(mark, EffectRequest(shard, 7, 4, 10)) is Verdict.ADMIT
    assert advance(mark, EffectRequest(shard, 8, 1)) == HighWaterMark(8, 1, 11)


@given(st.lists(st.tuples(st.integers(1, 4), st.integers(1, 4)), max_size=30))
def test_whatever_comes_in_whatever_order_tokens_and_numbers_only_grow(acts: list[tuple[int, int]]) -> None:
    """Guards the property itself, over any order of delays and repeats."""
    mark, done = HighWaterMark(), []
    for token, number in acts:
        if judge(mark, act := EffectRequest(("work", 0), token, number)) is Verdict.ADMIT:
            mark = advance(mark, act)
            done.append((token, number))
    assert done == sorted(set(done))


@pytest.mark.parametrize("table", [table for plan in DUTY_SCHEMAS.values() for table in plan.guarded_tables])
def test_no_guarded_table_can_be_written_around_the_fence(tmp_path: Path, table: str) -> None:
    """Guards every receiver in the product: plain SQL on the same file must not write what only the fence may."""
    FencedStore(str(tmp_path / "b"), DUTY_SCHEMAS).close()
    base = sqlite3.connect(tmp_path / "b")
    columns = [row[1] for row in base.execute(f"pragma table_info({table})")]
    with pytest.raises(sqlite3.Error, match="not through the fence"):
        base.execute(f"insert into {table} values ({', '.join('1' * len(columns))})")
    base.close()


def test_an_effect_that_fails_leaves_no_mark_and_may_be_sent_again(tmp_path: Path) -> None:
    """Guards the one transaction: a mark without its effect would answer the repeat as done."""
    store = FencedStore(str(tmp_path / "b"), DUTY_SCHEMAS)
    act = EffectRequest(("periods", 0), 5, 1)
    with pytest.raises(FencedStoreError):
        store.admit(act, "close", {"shard": "no number", "period": 1})
    assert store.admit(act, "close", {"shard": 0, "period": 1}).verdict is Verdict.ADMIT
    assert store.admit(act, "close", {"shard": 0, "period": 1}).verdict is Verdict.REPEAT
    assert find_store_violation(store) is None
    store.close()


def test_a_store_of_a_newer_schema_is_left_alone(tmp_path: Path) -> None:
    """Guards a downgrade: an old program must not write into what it does not know."""
    base = sqlite3.connect(tmp_path / "b")
    base.execute("pragma user_version = 99")
    base.close()
    with pytest.raises(FencedStoreError, match="schema version 99 is newer than 1"):
        FencedStore(str(tmp_path / "b"), DUTY_SCHEMAS)


# ---- Placement
@rounds(max_examples=40)
@given(st.integers(1, 30), st.integers(1, 200), st.integers(0, 10**6))
def test_placement_is_even_and_moves_few_shards(members: int, count: int, seed: int) -> None:
    """Guards both bars at once: a plan that balances by moving everything, or that moves nothing, fails."""
    shards: list[Shard] = [("w", n) for n in range(count)]
    parts = [Candidate(f"m{n}") for n in range(members)]
    plan = compute_placement(shards, parts, {})
    loads = Counter(plan.values())
    assert set(plan) == set(shards)
    assert max(loads.values()) <= max(-(-count // members), int(1.25 * count / members))
    assert compute_placement(shards, parts, plan) == plan
    gone = Random(seed).choice(parts)
    if members > 1:
        rest = [part for part in parts if part != gone]
        after = compute_placement(shards, rest, plan)
        least = loads[gone.name]
        fair = count // (members - 1)
        lacking = sum(max(0, fair - loads[part.name]) for part in rest)
        assert sum(after[shard] != plan[shard] for shard in shards) <= max(least, lacking)
    joined = compute_placement(shards, [*parts, Candidate("new")], plan)
    assert sum(joined[shard] != plan[shard] for shard in shards) <= max(1, count // (members + 1) * 1.1 + 1)


# ---- Members
def test_every_shard_has_an_owner_again_a_second_after_the_lease_of_a_dead_one() -> None:
    """Guards liveness: every shard has one owner, also after a kill, a leave and half of the members at once."""
    fleet = SimFleet(60, 3)
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
    assert set(fleet.counts().values()) == {15}


def test_no_member_is_lost_without_a_fault_in_an_hour() -> None:
    """Guards against false losses: a margin or a renewal period that is too tight shows in an hour."""
    fleet = SimFleet(8, 5)
    for n in range(3):
        fleet.start(f"m{n}")
    fleet.run(3600.0)
    assert not [notice for one in fleet.members.values() for _, notice in one.notices if notice.kind in UNEXPECTED]


def test_an_outage_makes_no_owners_and_rejoins_are_spread_after_it() -> None:
    """Guards an outage of minutes: owners stop by their own clocks, and come back spread over time."""
    fleet = SimFleet(30, 7)
    for n in range(30):
        fleet.start(f"m{n}")
    fleet.run(10.0)
    gained = sum(n.kind is NoticeKind.SHARD_GAINED for one in fleet.members.values() for _, n in one.notices)
    fleet.away = lambda name: True
    fleet.run(10.0 + fleet.rules.ttl)
    assert not any(fleet.owners().values())
    fleet.run(200.0)
    assert sum(n.kind is NoticeKind.SHARD_GAINED for one in fleet.members.values() for _, n in one.notices) == gained
    fleet.away = lambda name: False
    joins = []
    for step in range(10):
        before = fleet.calls["join"]
        fleet.run(200.0 + (step + 1) * 0.1)
        joins.append(fleet.calls["join"] - before)
    assert max(joins) <= 12  # of 30, in a tenth of a second
    fleet.run(215.0)
    assert all(len(names) == 1 for names in fleet.owners().values())


def test_a_flapping_member_settles_for_longer_each_time() -> None:
    """Guards the others' shards from moving each second because one process cannot stay up."""
    fleet = SimFleet(12, 9)
    for name in ("a", "b", "c"):
        fleet.start(name)
    fleet.run(5.0)
    moves = []
    for n in range(12):
        before = fleet.owners()
        fleet.kill("c")
        fleet.run(fleet.clock.time + 4.5)
        fleet.start("c")
        fleet.run(fleet.clock.time + 1.0)
        moves.append(fleet.moves(before))
        del n
    assert sum(moves[:3]) > 0 and sum(moves[-5:]) == 0


def test_a_rejected_effect_ends_the_session_with_all_its_shards() -> None:
    """Guards the wake-up: one refusal says that time went by unseen, so nothing else may be believed either."""
    shards: list[Shard] = [("w", 0), ("w", 1)]
    member = Member(MemberRecord("a", "a1"), shards, MembershipRules(), Random(1))
    op = member.next_operation(0.0)
    assert op is not None
    member.record_outcome(0.1, op, Completed(SessionGrant(5, 1)))
    member.assignment.tokens.update({("w", 0): 7, ("w", 1): 8})
    member.effect_rejected(0.2, ("w", 0), 7, 9)
    assert member.session.id is None and not member.assignment.tokens and member.token(0.3, ("w", 1)) is None
    op = member.next_operation(9.0)
    assert isinstance(op, Join) and op.record.incarnation != "a1"


def test_each_attempt_to_join_is_another_incarnation() -> None:
    """Guards the read-back, as the model does: a first attempt that came late must not be taken for the second, whose
    time is counted from a later instant."""
    member = Member(MemberRecord("a", "a1"), [("w", 0)], MembershipRules(), Random(1))
    first = member.next_operation(0.0)
    assert isinstance(first, Join)
    member.record_outcome(0.5, first, Unknown())
    look = member.next_operation(2.0)
    assert look is not None
    member.record_outcome(2.0, look, Completed(View(1, (), {}, {})))  # not there, yet
    second = member.next_operation(4.0)
    assert isinstance(second, Join) and second.record.incarnation != first.record.incarnation
    member.record_outcome(4.5, second, Unknown())
    late = View(2, (ListedMember(7, first.record),), {}, {})  # the first one came after the look
    look = member.next_operation(6.0)
    assert look is not None
    member.record_outcome(6.0, look, Completed(late))
    assert member.session.id is None


def test_a_renewal_without_answer_does_not_lengthen_the_lease() -> None:
    """Guards doubt: neither yes nor no, so nothing is gained by it and nothing is given up before its time."""
    rules = MembershipRules(ttl=3.0, margin=0.3)
    member = Member(MemberRecord("a", "a1"), [("w", 0)], rules, Random(1))
    op = member.next_operation(0.0)
    assert op is not None
    member.record_outcome(0.1, op, Completed(SessionGrant(5, 1)))
    member.assignment.tokens[("w", 0)] = 7
    now, renewals = 0.1, 0
    while now < 4.0:
        op = member.next_operation(now)
        if op is not None:
            renewals += isinstance(op, Renew)
            member.record_outcome(now, op, Unknown())
        assert (member.token(now, ("w", 0)) is not None) == (now < 2.7)
        now = round(now + 0.01, 2)
    assert renewals > 3  # it asks again while it doubts


# ---- Duties
def test_a_period_is_closed_once_and_late_rows_go_to_the_next(tmp_path: Path) -> None:
    """Guards billing: a row in no statement, or in two, is a dispute."""
    store = FencedStore(str(tmp_path / "b"), DUTY_SCHEMAS)
    collector = periods.ConsumptionCollector("n1", "n1:1", 1, 10.0)
    for wall, team in ((1.0, "x"), (2.0, "x"), (12.0, "y")):
        collector.record(wall, team, "c", 0.5)
    rows = collector.pending_rows()
    assert collector.pending_rows() == rows  # until they are kept
    for _ in range(2):  # the answer to the first flush was lost
        store.write(lambda base: periods.insert_rows(base, rows))
    collector.confirm(rows)
    assert collector.pending_rows() == []
    for number, period in enumerate((0, 0, 1), 1):  # a new owner closes period 0 once more
        store.admit(EffectRequest(("periods", 0), number, 1), "close", {"shard": 0, "period": period})
    collector.record(3.0, "x", "c", 0.5)  # late
    store.write(lambda base: periods.insert_rows(base, collector.pending_rows()))
    store.admit(EffectRequest(("periods", 0), 4, 1), "close", {"shard": 0, "period": 2})
    assert store.read("select team, period, count, worth from statement order by period, team") == [
        ("x", 0, 2, 1000),
        ("y", 1, 1, 500),
        ("x", 2, 1, 500),
    ]
    assert find_store_violation(store) is None
    store.close()


def test_periods_follow_what_is_closed_and_not_the_wall_clock() -> None:
    """Guards a clock that steps an hour: no period is left out, and none is closed while it may still grow."""
    assert periods.period_to_close(100.0, 10.0, 2.0, 8) is None and periods.period_to_close(102.0, 10.0, 2.0, 8) == 9
    assert periods.period_to_close(3702.0, 10.0, 2.0, 8) == 9  # an hour forward: the next one, not the newest
    assert periods.period_to_close(-3500.0, 10.0, 2.0, 8) is None


def test_a_rollout_keeps_to_its_limits_and_counts_unavailable_members() -> None:
    """Guards capacity: a member that died by itself is away too."""
    places = [restart.RolloutMember(f"m{n}", 1.0, restart.RolloutStage.WAITING, f"s{n}") for n in range(8)]
    assert restart.choose_permitted(places, frozenset(), 3, 0.25) == ["m0", "m1"]
    assert restart.choose_permitted(places, frozenset({"m7"}), 3, 0.25) == ["m0"]
    assert restart.choose_permitted(places, frozenset({"m6", "m7"}), 3, 0.25) == []
    assert restart.choose_permitted(places[:2], frozenset(), 1, 0.25) == ["m0"]  # a small fleet gets through
    permitted = [restart.RolloutMember("m0", 1.0, restart.RolloutStage.PERMITTED, "s0")]
    assert restart.find_restarted(permitted, {"m0": restart.MemberReport("s0", True)}) == []  # not gone yet
    assert restart.find_restarted(permitted, {"m0": restart.MemberReport("s0b", False)}) == []
    assert restart.find_restarted(permitted, {"m0": restart.MemberReport("s0b", True)}) == ["m0"]
    member = restart.PermitGuard()
    assert member.accept(5) and member.accept(5) and not member.accept(4)


@given(st.floats(1, 1000), st.dictionaries(st.text("ab", min_size=1, max_size=4), st.floats(0, 500), max_size=12))
def test_fair_rates_sum_to_the_contract(rate: float, needs: dict[str, float]) -> None:
    """Guards both ends: more than the contract is overspent, less is service that was paid for."""
    dealt = budgets.max_min_fair_rates(rate, needs)
    if needs:
        assert sum(dealt.values()) == pytest.approx(rate)
        starved = [name for name in needs if dealt[name] < needs[name] - 1e-6]
        assert all(dealt[name] >= max(dealt.values()) - 1e-6 for name in starved)


@given(
    st.dictionaries(st.sampled_from("abcdef"), st.floats(0, 50)),
    st.dictionaries(st.sampled_from("abcdef"), st.floats(0, 20)),
)
def test_outstanding_grants_are_never_granted_again(wanted: dict[str, float], out: dict[str, float]) -> None:
    """Guards an owner change: the old owner's grants run on at members that do not know of the new one."""
    grants = budgets.grantable_rates(100.0, {k: min(v, 100.0 / 6) for k, v in wanted.items()}, out)
    alive = sum(max(grants.get(name, 0.0), out.get(name, 0.0)) for name in {*grants, *out})
    assert alive <= max(100.0, sum(out.values())) + 1e-6


def test_a_bucket_keeps_to_its_grant_and_falls_back_when_it_ends() -> None:
    """Guards a member cut off from the dealer: neither the old grant for ever, nor nothing."""
    bucket = budgets.QuotaBucket(rate=100.0, members=4, fallback_share=0.2, burst_s=1.0)
    bucket.grant(0.0, 0.0, 50.0, 2.0, 1)
    spent: Counter[int] = Counter()
    for tick in range(5000):
        now = tick / 1000
        spent[int(now)] += bucket.take(now) is None
    assert 45 <= spent[1] <= 55
    assert spent[3] + spent[4] <= 2 * 5 + 5  # the static part: 100 * 0.2 / 4 a second
    bucket.grant(9.0, 5.0, 50.0, 2.0, 2)  # asked for at 5: over
    assert bucket.take(9.0) is None and bucket.granted_until == 2.0
    bucket.grant(10.0, 10.0, 50.0, 2.0, 3)
    bucket.grant(13.0, 13.0, 50.0, 2.0, 3)  # the same round, for over a span: its dealer is gone
    assert bucket.granted_until == 12.0


def test_an_owner_that_returns_counts_the_grants_of_another() -> None:
    """Guards a process that loses its shard and gets it back: what it remembers of grants is not what is out."""
    store = FencedStore(":memory:", {"budgets": budgets.DUTY_SCHEMA})
    numbers: Counter[int] = Counter()

    def dealer(token: int) -> Any:
        def act(effect: str, detail: Any) -> Any:
            numbers[token] += 1
            return store.admit(EffectRequest(("budgets", 0), token, numbers[token]), effect, detail).answer

        return act

    def need(member: str, need: float, seen: int) -> None:
        adopted = store.read("select coalesce(max(round), 0) from budget_round")[0][0] if member == "y" else 0
        store.write(lambda base: budgets.report_demand(base, "c", member, need, seen, adopted))

    first, other = (
        budgets.QuotaDistribution({"c": 100.0}, 6.0, store.read),
        budgets.QuotaDistribution({"c": 100.0}, 6.0, store.read),
    )
    need("x", 10.0, 1)
    first.step(0, dealer(1), 0.0)
    need("x", 100.0, 2)
    need("y", 0.0, 2)
    other.step(0, dealer(2), 50.0)  # x has all of it now, says the other dealer
    need("x", 10.0, 3)
    need("y", 100.0, 3)
    first.step(0, dealer(3), 51.0)
    given = dict(store.read("select member, rate from budget_grant"))
    most = dict(store.read("select member, most from budget_grant"))
    assert most["x"] > 90.0 and given["y"] + most["x"] <= 100.0 + 1e-6
    store.close()


def rolling(
    reports: dict[str, tuple[str, bool, bool]], serving: dict[str, float], store: FencedStore
) -> list[tuple[str, Any]]:
    """What the duty does at one step, on a store with one rollout."""
    done: list[tuple[str, Any]] = []
    for name, report in reports.items():
        store.write(lambda base, name=name, report=report: restart.report_member(base, name, *report))
    duty = restart.RollingRestart(store.read, lambda: 7, lambda: serving)
    number = store.read("select count(*) from fence_log")[0][0]

    def act(effect: str, detail: Any) -> Any:
        done.append((effect, detail))
        return store.admit(EffectRequest(("restart", 0), 7, number + len(done)), effect, detail).answer

    for _ in range(3):
        duty.step(0, act, 0.0)
    return done


def test_a_rollout_enlists_members_that_serve_and_obey_and_counts_the_dead_as_away() -> None:
    """Guards a rollout from waiting for ever for an operator's session or a member that does not obey, and capacity
    from one that died while its last word was that it is ready."""
    store = FencedStore(":memory:", DUTY_SCHEMAS)
    assert rolling({}, {}, store) == []  # nobody ordered anything
    store.write(lambda base: restart.order_rollout(base, "r", 1, 0.5, 1))
    all_up = {name: (f"{name}1", True, name != "deaf") for name in ("a", "b", "deaf", "dead")}
    assert rolling({}, {}, store) == []  # nobody is there: no act, again and again
    done = rolling(all_up, {"a": 1.0, "b": 1.0, "deaf": 1.0, "dead": 1.0, "operator-1": 1.0}, store)
    assert [name for name, _ in done[0][1]["members"]] == ["a", "b", "dead"]
    assert done[1] == ("permit", {"rollout": "r", "token": 7, "members": [("a", "a1")]})
    assert rolling({"a": ("a2", True, True)}, {"a": 1.0, "b": 1.0, "deaf": 1.0}, store) == [
        ("complete", {"rollout": "r", "members": ["a"]})
    ]  # dead is away, so b has to wait
    store.close()


def test_an_effect_without_answer_is_repeated_and_another_takes_the_next_number() -> None:
    """Guards against an acknowledgement of what was never done: the second act must not get the first one's answer."""
    sent: list[tuple[int, str]] = []

    class Deaf:
        def admit(self, act: EffectRequest, effect: str, detail: Any) -> Admission:
            sent.append((act.number, detail))
            if len(sent) <= 6:
                raise FencedStoreError("no answer")
            return Admission(Verdict.ADMIT, act.token, 1, "yes")

    shard: Shard = ("w", 0)
    member = Member(MemberRecord("a", "a1"), [shard], MembershipRules(), Random(1))
    clock = SimClock()
    op = member.next_operation(0.0)
    assert op is not None
    member.record_outcome(0.0, op, Completed(SessionGrant(5, 1)))
    member.assignment.tokens[shard] = 7
    agent = Agent(member, SqliteCoordinator(":memory:", clock), Deaf(), [], clock)
    agent._wake.set()  # nothing is waited for
    standing = ShardProgress(7)
    for detail in ("one", "one", "two"):
        if len(sent) < 6:
            with pytest.raises(FencedStoreError):
                agent._apply_effect(shard, standing, "e", detail)
        else:
            assert agent._apply_effect(shard, standing, "e", detail) == "yes"
    assert sent == [(1, "one")] * 6 + [(2, "two")] and standing.number == 2


def test_contracts_use_granted_quota_first_and_their_own_bucket_for_the_rest() -> None:
    """Guards the port: an undealt contract is served from its own bucket, as before."""

    class Dealt:
        def take_budget(self, now: float, contract: Contract) -> float:
            return 2.5 if contract.team == "dealt" else -1.0

    terms = [Contract(team, "s", 0, 1.0, "interpreter", 1.0, 1.0) for team in ("dealt", "own")]
    contracts = Contracts(terms, Dealt())
    assert contracts.admit(0.0, ("dealt", "s", 0)) == Denied("over budget", 2.5)
    assert contracts.admit(0.0, ("own", "s", 0)) is terms[1]
    assert contracts.admit(0.0, ("own", "s", 0)) == Denied("over budget", 1.0)


# ---- Settings
@pytest.mark.parametrize(
    ("old", "new", "words"),
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
def test_a_wrong_setting_is_one_plain_line(tmp_path: Path, old: str, new: str, words: str) -> None:
    """Guards operators: each mistake names its key and what was found."""
    text = (Path(__file__).parent.parent / "deploy/ownership.toml").read_text()
    path = tmp_path / "o.toml"
    path.write_text(text)
    load(str(path))
    path.write_text(text.replace(old, new, 1))
    with pytest.raises(OwnershipError, match=words) as found:
        load(str(path))
    assert "\n" not in str(found.value)


# ---- The model checker
@pytest.mark.parametrize("model", modelcheck.MODELS, ids=lambda model: model.name)
def test_the_models_hold_and_every_guard_is_needed(model: modelcheck.Model) -> None:
    """Guards the proof: a checker that finds no mutant proves nothing, nor does a model that is broken itself."""
    assert modelcheck.check(model) is None
    found: dict[str, Any] = {guard: modelcheck.check(model, frozenset({guard})) for guard in model.guards}
    assert all(found.values()), found


def test_an_overloaded_member_sheds_what_is_over_its_half_and_a_burst_moves_nothing() -> None:
    """Guards owners without time for their work, and the fleet from shards that go round: a short overload, one that
    all members share and one with nobody to take the work move nothing."""
    shards = [("tick", n) for n in range(12)]

    def view(*weights: float) -> View:
        seen = tuple(
            ListedMember(n, MemberRecord(f"m{n}", f"s{n}", MemberState.SERVING, weight))
            for n, weight in enumerate(weights)
        )
        return View(1, seen, {}, {})

    def moved_by(there: View, until: float, overloaded: Callable[[float], bool], before: View | None = None) -> int:
        detector, now = OverloadDetector(OverloadRules(sustained_for=2.0, shed_interval=0.5)), 0.0
        held = {shard: n for n, shard in enumerate(shards[:4])}
        if before is not None:
            detector.observe(now, 0, 0, True)
            detector.shard_to_shed(2.0, "m0", 1.0, before, {}, 12)
            assert (
                detector.shard_to_shed(2.0, "m0", 1.0, before, {shards[11]: 1}, 12) is None
            )  # one is less than its part
        while now < until:
            detector.observe(now, 0, 0, overloaded(now))
            shard = detector.shard_to_shed(now, "m0", 1.0, there, held, 12)
            if shard is not None:
                assert held.pop(shard) == max([*held.values(), -1]) + 1  # the last that it took
            now += 0.1
        return 4 - len(held)

    even = view(1.0, 1.0, 1.0)
    assert moved_by(even, 1.9, lambda now: True) == 0
    assert moved_by(even, 30.0, lambda now: now % 1.5 < 1.3) == 0  # bursts
    assert moved_by(even, 2.2, lambda now: True) == 1  # one at a time
    assert moved_by(even, 10.0, lambda now: True) == 1  # 12 shards at half a weight of 2.5: 2.4, so it keeps 3
    assert moved_by(view(1.0, 4.0, 4.0), 10.0, lambda now: True) == 3
    assert moved_by(view(1.0), 10.0, lambda now: True) == 0  # nobody there
    assert moved_by(view(1.0, 0.5, 0.5), 10.0, lambda now: True, even) == 0  # all the others are strained too
    assert moved_by(view(1.0, 0.5, 1.0), 10.0, lambda now: True, even) == 1
    detector, answers, refusals = OverloadDetector(OverloadRules(sustained_for=2.0)), 0, 0
    for n in range(40):  # a tenth refused is no overload, three tenths are
        answers, refusals = answers + 10, refusals + (1 if n < 20 else 3)
        detector.observe(n * 0.2, answers, refusals, False)
        assert detector.overloaded(n * 0.2) == (n > 30), n
    detector.observe(8.0, answers, refusals, False)
    assert detector.overloaded(8.0)  # nothing answered says nothing


def test_overflowed_tokens_are_granted_once_more_up_to_the_stated_share() -> None:
    """Guards the contract's use where many small members each waste a little, and its bound whatever they claim."""
    store = FencedStore(":memory:", {"budgets": budgets.DUTY_SCHEMA})
    numbers = [0]

    def act(effect: str, detail: Any) -> Any:
        numbers[0] += 1
        return store.admit(EffectRequest(("budgets", 0), 1, numbers[0]), effect, detail).answer

    def dealt(spill: float) -> float:
        for n in range(2):
            for member in ("a", "b"):
                store.write(
                    lambda base, n=n, member=member: budgets.report_demand(
                        base, "c", member, 90.0, n, numbers[0], spill
                    )
                )
        budgets.QuotaDistribution({"c": 100.0}, 6.0, store.read).step(0, act, 100.0 * numbers[0])
        return float(store.read("select sum(rate) from budget_grant")[0][0])

    assert dealt(0.0) == pytest.approx(100.0)
    store.write(lambda base: base.execute("delete from budget_need"))
    assert dealt(50.0) == pytest.approx(100.0 * (1 + budgets.MAX_OVERFLOW_SHARE))
    bucket = budgets.QuotaBucket(rate=100.0, members=2, fallback_share=0.1, burst_s=1.0)
    bucket.measure_demand(0.0)
    bucket.grant(0.0, 0.0, 50.0, 100.0, 1)
    for n in range(1, 40):
        bucket.measure_demand(float(n))
    assert bucket.overflow_rate == pytest.approx(50.0, rel=0.01)  # nobody asks: all runs over
    store.close()
