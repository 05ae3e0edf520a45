"""The client at the size of a fleet: the hard cases of issue 21, caused in simulated time or on paper.

The simulation runs the real policy of every client over a model of servers (``lab/client_simulation.py``); the
same seed gives the same figures. The client before the aperture (``subsetting = "rendezvous"``) runs beside ours
where a case says what the aperture changed.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from client_world import AttemptEnd, ClientWorld, Connections, listing, settings

from lapishaven.client.settings import Catalog, Retry
from lapishaven.lab.client_simulation import Simulation, Spec

FREE = Retry(share=0.5, floor_per_s=10.0, burst=20.0)


def simulate(**changes: Any) -> dict[str, Any]:
    return Simulation(Spec(**changes)).run()


def rules_held(found: dict[str, Any]) -> None:
    assert (found["late_tries"], found["unmarked"], found["commits_twice"]) == (0, 0, 0), found


# No reconnect storm when a fifth of the servers die at once.
def test_a_fifth_of_the_servers_die_at_once_and_return_with_slow_start() -> None:
    found = simulate(servers=10, clients=100, seconds=30, script="2 kill 20% back 5", seed=11)
    rules_held(found)
    assert found["storm"] <= 1.25 and found["worth"] >= 0.99 and found["balance"] <= 1.3


# No reconnect storm when a rolling deploy replaces 98% of the servers in 37 s.
def test_a_rolling_deploy_of_nearly_all_servers_within_37_s_causes_no_storm() -> None:
    script = "1 deploy 98% batch 16% every 6"
    ours = simulate(servers=10, clients=100, seconds=60, script=script, seed=12)
    today = simulate(servers=10, clients=100, seconds=60, script=script, seed=12, subsetting="rendezvous")
    rules_held(ours)
    assert ours["storm"] < today["storm"] - 0.15 and ours["storm"] <= 1.25, (ours["storm"], today["storm"])
    assert ours["worth"] >= today["worth"] - 0.005
    assert ours["balance"] <= 1.3 < today["balance"]


# In the first second clients dial only what their first calls need.
def test_thousands_of_clients_that_start_in_the_same_second() -> None:
    simulation = Simulation(Spec(servers=100, clients=2000, seconds=2, seed=13))
    dials: list[float] = []
    for policy in simulation.policies:
        policy.hook = lambda now, event, fields: dials.append(now) if event == "dial" else None
    simulation.run()
    start = min(dials)
    first = sum(1 for t in dials if t < start + 1.0)
    windows = simulation.links or sum(1 for t in dials)
    assert first < 0.35 * windows, (first, windows)


def world_of_a_catalog(*names: str, **changes: Any) -> ClientWorld:
    changes.setdefault("connections", Connections(least=2, spread_s=0.001, spread_least_s=0.001))
    world = ClientWorld(settings(catalog="10.0.0.9:1", retry=FREE, **changes))
    world.policy.update_endpoints(0.0, listing(1, *names))
    return world


def serve_for(world: ClientWorld, seconds: float, every: float = 0.05) -> list[Any]:
    calls = []
    for _ in range(round(seconds / every)):
        calls.append(world.call())
        world.go(every)
        world.serve_all()
    return [world.outcome(call) for call in calls]


# The client must not forget the fleet while the registry is down for minutes.
def test_the_endpoint_list_survives_a_registry_outage_of_five_minutes() -> None:
    world = world_of_a_catalog("n1", "n2", "n3", "n4")
    ends = serve_for(world, 300.0, every=0.5)
    assert all(end is not None and end.served for end in ends)
    assert world.policy.membership.names == {"n1", "n2", "n3", "n4"}
    window = world.policy.table.connection_manager.window
    assert len(world.dialled) == len(window) and len({a.endpoint.name for a in world.sent}) == len(window)


# Dials to servers that a stale list still shows must back off.
def test_a_stale_endpoint_list_causes_few_dials() -> None:
    world = world_of_a_catalog("n1", "n2", "n3", "n4", "n5", "n6")
    world.dead = {"n1", "n2", "n3", "n4"}
    for peer in list(world.policy.endpoints.values()):
        for connection in list(peer.connections):
            if peer.name in world.dead:
                world.cut(connection)
    ends = serve_for(world, 60.0, every=0.2)
    assert sum(end.served for end in ends if end is not None) >= 0.9 * len(ends)
    failed = [c for c in world.dialled if c.endpoint.name in world.dead]
    assert len(failed) <= 4 * 4  # each dead one a few times a minute, less and less often


# When every server asks not to retry elsewhere, each call is rejected at once.
def test_every_server_rejecting_with_no_retry_elsewhere() -> None:
    world = world_of_a_catalog("n1", "n2", "n3")
    for _ in range(50):
        call = world.call()
        world.go(0.01)
        for attempt in [a for c in world.policy.table.open_connections() for a in list(c.in_flight.values())]:
            if attempt.sent_at is not None:
                world.reply(attempt, AttemptEnd.REJECTED, retry_after_s=0.1, no_retry_elsewhere=True)
        world.go(0.14)
        end = world.outcome(call)
        assert end is not None and not end.served and call.attempts_sent <= 1
    assert len(world.dialled) <= 3


def test_one_server_only() -> None:
    world = world_of_a_catalog("n1")
    ends = serve_for(world, 10.0)
    assert all(end.served for end in ends) and len(world.dialled) == 1


# A server that flaps every second must not be dialled at each return.
def test_a_flapping_server_costs_few_dials() -> None:
    world = world_of_a_catalog("n1", "n2", "n3")
    for second in range(60):
        up = second % 2 == 0
        world.policy.update_endpoints(world.now, listing(second + 2, "n1", "n2", "n3", critical=() if up else ("n1",)))
        world.act()
        if not up:
            for connection in list(world.policy.endpoints["n1"].connections):
                world.cut(connection)
        serve_for(world, 1.0, every=0.1)
    flapping = [c for c in world.dialled if c.endpoint.name == "n1"]
    assert len(flapping) <= 60 / 4


# A server that never responds must not hold the calls sent to it.
def test_a_server_that_accepts_requests_and_never_responds() -> None:
    world = world_of_a_catalog("n1", "n2", "n3", health=replace(settings().health, probe_timeout_s=0.1))
    world.go(0.1)
    stopped = (
        world.policy.endpoints["n1"] if "n1" in world.policy.endpoints else next(iter(world.policy.endpoints.values()))
    )
    spans = []
    for _ in range(200):
        call = world.call()
        world.go(0.05)
        for probe in world.probes:
            world.policy.health_checked(world.now, probe, probe is not stopped)
        world.probes.clear()
        for attempt in [a for c in world.policy.table.open_connections() for a in list(c.in_flight.values())]:
            if attempt.sent_at is not None and attempt.endpoint is not stopped:
                world.reply(attempt)
        end = world.outcome(call)
        if end is not None:
            spans.append(end.span)
    assert world.policy.counts["left out"] >= 1
    assert sum(spans[-100:]) / 100 < 0.1


def test_the_catalog_rules_accept_a_file_and_deltas() -> None:
    assert Catalog().deltas and Catalog(file="x").file == "x"
    with pytest.raises(ValueError):
        settings(catalog="10.0.0.9:1", catalog_rules=Catalog(save_s=0))
