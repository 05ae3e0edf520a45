"""Detection of unresponsive servers by probes, in simulated time and with real servers that are stopped."""

from __future__ import annotations

import asyncio

from client_world import ClientWorld, Health, Retry, listing, settings

from lapishaven.client.outcomes import Served, Uncertain
from lapishaven.lab.field import silent

PROBING = Health(watch_s=0.3)
AMPLE_RETRIES = Retry(share=0.5, floor_per_s=10.0, burst=20.0)  # a budget that is never exhausted


def connected_world(**changes: object) -> ClientWorld:
    """A client that probes, is connected to every server, and has had one call served."""
    changes.setdefault("retry", AMPLE_RETRIES)
    world = ClientWorld(settings(health=PROBING, **changes))
    world.call()
    world.advance(0.01)
    world.serve_all(0.1)
    return world


def test_attempts_on_an_unresponsive_server_are_retried_elsewhere_and_commits_become_uncertain() -> None:
    """Guards against idempotent calls that wait on a stopped server beyond their latency objective."""
    world = connected_world()
    calls = [world.call() for _ in range(8)] + [world.call("approve-commit") for _ in range(8)]
    attempts = {attempt.call.number: attempt for attempt in world.sent if attempt.call in calls}
    stopped = attempts[calls[0].number].endpoint.name
    world.unresponsive.add(stopped)
    affected = [call for call in calls if attempts[call.number].endpoint.name == stopped]
    commits = [call for call in affected if not call.idempotent]
    assert commits and len(affected) > len(commits)
    for attempt in attempts.values():
        if attempt.endpoint.name != stopped:
            world.respond(attempt)
    world.advance(0.55)  # probed after 0.3 s, suspected 0.15 s later
    for call in affected:
        tries = [attempt for attempt in world.sent if attempt.call is call]
        assert len(tries) == (2 if call.idempotent else 1) and all(a.endpoint.name != stopped for a in tries[1:])
    assert {a.call.number for a in world.cancelled} == {call.number for call in affected if call.idempotent}
    world.advance(0.7)
    assert all(isinstance(world.outcome(call), Uncertain) for call in commits)
    world.unresponsive.clear()
    world.advance(2.5)  # a suspected server is probed at least every 2 s, and used again after one answer
    world.serve_all()
    world.call()
    world.advance(0.5)
    assert world.policy.endpoints[stopped].suspected_since is None


def test_a_server_that_closes_idle_connections_is_dialled_for_each_call_and_none_is_rejected() -> None:
    """Guards against a clean close of an idle connection that is treated as the loss of the server."""
    world = ClientWorld(settings(servers=3, catalog="127.0.0.1:1", retry=AMPLE_RETRIES))
    world.policy.update_endpoints(0.0, listing(1, "n1", "n2", "n3"))
    calls = []
    for _ in range(40):
        calls.append(world.call())
        world.advance(0.05)
        world.serve_all(0.3)
        world.advance(0.1)
        for connection in list(world.policy.table.open_connections()):
            world.close(connection)
        world.advance(1.55)
    assert [type(world.outcome(call)) for call in calls] == [Served] * 40
    tries = [attempt.endpoint.name for attempt in world.sent]
    assert min(tries.count(name) for name in ("n1", "n2", "n3")) > 6  # the dials are spread over the servers


def test_a_server_that_died_is_not_taken_for_one_that_closed_an_idle_connection() -> None:
    """Guards against dials to dead servers beyond the budget: a dial is refunded only once the server answered."""
    world = ClientWorld(settings(servers=3, catalog="127.0.0.1:1", retry=AMPLE_RETRIES))
    world.policy.update_endpoints(0.0, listing(1, "n1", "n2", "n3"))
    world.call()
    world.advance(0.05)
    world.serve_all(0.3)
    world.unreachable |= {"n1", "n2", "n3"}
    for connection in list(world.policy.table.open_connections()):
        world.close(connection)
    dialled_before = len(world.dialled)
    for _ in range(20):
        world.call()
        world.advance(0.5)
    assert len(world.dialled) - dialled_before <= 10  # 0.5 per second for 10 s, plus the debt, for 20 calls


def test_clients_send_nothing_to_servers_that_were_stopped_a_second_ago() -> None:
    """Guards against requests to a stopped server, whose kernel still accepts connections and requests."""
    spec = silent.Spec(servers=6, clients=24, rate=40.0, stopped=2, settle=4.0, span=3.0, after=1.0)
    figures = asyncio.run(silent.run(spec))
    assert figures["to_silent_after_1_s"] == 0 and figures["commits_twice"] == 0
    assert figures["asks_a_call"] > 0 and figures["calls"] > 60
    assert figures["late"] < 0.1  # only calls from before the detection are late
