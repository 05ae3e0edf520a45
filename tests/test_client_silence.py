"""Clients that probe unresponsive servers: in simulated time, and with real servers that are stopped."""

from __future__ import annotations

import asyncio

from client_world import ClientWorld, Health, Retry, listing, settings

from lapishaven.client.outcomes import Served, Uncertain
from lapishaven.lab.field import silent

ASKS = Health(watch_s=0.3)
FREE = Retry(share=0.5, floor_per_s=10.0, burst=20.0)  # a budget that does not bind


def world(**changes: object) -> ClientWorld:
    changes.setdefault("retry", FREE)
    made = ClientWorld(settings(health=ASKS, **changes))
    made.call()
    made.go(0.01)
    made.serve_all(0.1)
    return made


def test_attempts_on_an_unresponsive_server_are_retried_elsewhere_and_commits_become_uncertain() -> None:
    """Otherwise idempotent calls would miss their latency objective waiting on a stopped server."""
    there = world()
    calls = [there.call() for _ in range(8)] + [there.call("approve-commit") for _ in range(8)]
    held = {attempt.call.number: attempt for attempt in there.sent if attempt.call in calls}
    silenced = held[calls[0].number].endpoint.name
    there.silent.add(silenced)
    waits = [call for call in calls if held[call.number].endpoint.name == silenced]
    commits = [call for call in waits if not call.idempotent]
    assert commits and len(waits) > len(commits)
    for attempt in held.values():
        if attempt.endpoint.name != silenced:
            there.reply(attempt)
    there.go(0.55)  # asked after 0.3 s, silent 0.15 s later
    for call in waits:
        tries = [attempt for attempt in there.sent if attempt.call is call]
        assert len(tries) == (2 if call.idempotent else 1) and all(a.endpoint.name != silenced for a in tries[1:])
    assert {a.call.number for a in there.withdrawn} == {call.number for call in waits if call.idempotent}
    there.go(0.7)
    assert all(isinstance(there.outcome(call), Uncertain) for call in commits)
    there.silent.clear()
    there.go(2.5)  # a suspect is asked at most 2 s apart, and has its part again after one answer
    there.serve_all()
    there.call()
    there.go(0.5)
    assert there.policy.endpoints[silenced].suspected_since is None


def test_a_server_that_closes_idle_connections_is_dialled_for_each_call_and_none_is_rejected() -> None:
    """A clean close of an idle connection is no loss: the server is dialled again for the next call."""
    there = ClientWorld(settings(servers=3, catalog="127.0.0.1:1", retry=FREE))
    there.policy.update_endpoints(0.0, listing(1, "n1", "n2", "n3"))
    calls = []
    for _ in range(40):
        calls.append(there.call())
        there.go(0.05)
        there.serve_all(0.3)
        there.go(0.1)
        for connection in list(there.policy.table.open_connections()):
            there.cut(connection)
        there.go(1.55)
    assert [type(there.outcome(call)) for call in calls] == [Served] * 40
    tries = [attempt.endpoint.name for attempt in there.sent]
    assert min(tries.count(name) for name in ("n1", "n2", "n3")) > 6  # and not always the same one


def test_a_server_that_died_is_not_taken_for_one_that_closed_an_idle_connection() -> None:
    """A dial is refunded only if the server answered, so dials to dead servers stay within the budget."""
    there = ClientWorld(settings(servers=3, catalog="127.0.0.1:1", retry=FREE))
    there.policy.update_endpoints(0.0, listing(1, "n1", "n2", "n3"))
    there.call()
    there.go(0.05)
    there.serve_all(0.3)
    there.dead |= {"n1", "n2", "n3"}
    for connection in list(there.policy.table.open_connections()):
        there.cut(connection)
    before = len(there.dialled)
    for _ in range(20):
        there.call()
        there.go(0.5)
    assert len(there.dialled) - before <= 10  # 0.5 a second for 10 s, and the debt; 20 calls came


def test_clients_send_nothing_to_servers_that_were_stopped_a_second_ago() -> None:
    """Without probes a stopped server goes on being chosen, as its kernel accepts connections and requests."""
    spec = silent.Spec(servers=6, clients=24, rate=40.0, stopped=2, settle=4.0, span=3.0, after=1.0)
    found = asyncio.run(silent.run(spec))
    assert found["to_silent_after_1_s"] == 0 and found["commits_twice"] == 0
    assert found["asks_a_call"] > 0 and found["calls"] > 60
    assert found["late"] < 0.1  # the loss is that of the first instants
