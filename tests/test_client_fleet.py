"""The client in fleets (issue 21): whole-fleet simulations, and single clients in simulated time.

The simulation runs the real policy of every client against a model of servers (``lab/client_simulation.py``); the same
seed gives the same figures. Where the effect of deterministic subsetting is asserted, the same script also runs with
``subsetting = "rendezvous"``.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from client_world import AttemptEnd, ClientWorld, Connections, listing, settings

from lapishaven.client.settings import Catalog, Retry
from lapishaven.lab.client_simulation import Simulation, Spec

AMPLE_RETRIES = Retry(share=0.5, floor_per_s=10.0, burst=20.0)


def simulate(**changes: Any) -> dict[str, Any]:
    return Simulation(Spec(**changes)).run()


def assert_invariants(figures: dict[str, Any]) -> None:
    """No attempt after its deadline, no unmarked retry, no commit that ran twice."""
    assert (figures["late_tries"], figures["unmarked"], figures["commits_twice"]) == (0, 0, 0), figures


# Guards against a reconnect storm when a fifth of the servers die at once.
def test_a_fifth_of_the_servers_die_at_once_and_return_with_slow_start() -> None:
    figures = simulate(servers=10, clients=100, seconds=30, script="2 kill 20% back 5", seed=11)
    assert_invariants(figures)
    assert figures["storm"] <= 1.25 and figures["worth"] >= 0.99 and figures["balance"] <= 1.3


# Guards against a reconnect storm when a rolling deploy replaces 98% of the servers within 37 s.
def test_a_rolling_deploy_of_nearly_all_servers_within_37_s_causes_no_storm() -> None:
    script = "1 deploy 98% batch 16% every 6"
    ours = simulate(servers=10, clients=100, seconds=60, script=script, seed=12)
    today = simulate(servers=10, clients=100, seconds=60, script=script, seed=12, subsetting="rendezvous")
    assert_invariants(ours)
    assert ours["storm"] < today["storm"] - 0.15 and ours["storm"] <= 1.25, (ours["storm"], today["storm"])
    assert ours["worth"] >= today["worth"] - 0.005
    assert ours["balance"] <= 1.3 < today["balance"]


# Guards against a dial storm when 2000 clients start in the same second.
def test_clients_that_start_in_the_same_second_dial_only_what_their_first_calls_need() -> None:
    simulation = Simulation(Spec(servers=100, clients=2000, seconds=2, seed=13))
    dials: list[float] = []
    for policy in simulation.policies:
        policy.hook = lambda now, event, fields: dials.append(now) if event == "dial" else None
    simulation.run()
    start = min(dials)
    in_first_second = sum(1 for t in dials if t < start + 1.0)
    links = simulation.links or sum(1 for t in dials)
    assert in_first_second < 0.35 * links, (in_first_second, links)


def world_with_catalog(*names: str, **changes: Any) -> ClientWorld:
    changes.setdefault("connections", Connections(least=2, spread_s=0.001, spread_least_s=0.001))
    world = ClientWorld(settings(catalog="10.0.0.9:1", retry=AMPLE_RETRIES, **changes))
    world.policy.update_endpoints(0.0, listing(1, *names))
    return world


def serve_for(world: ClientWorld, seconds: float, interval_s: float = 0.05) -> list[Any]:
    """Make a call at each interval and serve it at once; return the outcomes."""
    calls = []
    for _ in range(round(seconds / interval_s)):
        calls.append(world.call())
        world.advance(interval_s)
        world.serve_all()
    return [world.outcome(call) for call in calls]


# Guards against loss of the endpoint list while the registry is down.
def test_the_endpoint_list_survives_a_registry_outage_of_five_minutes() -> None:
    world = world_with_catalog("n1", "n2", "n3", "n4")
    outcomes = serve_for(world, 300.0, interval_s=0.5)
    assert all(outcome is not None and outcome.served for outcome in outcomes)
    assert world.policy.membership.names == {"n1", "n2", "n3", "n4"}
    window = world.policy.table.connection_manager.window
    assert len(world.dialled) == len(window) and len({a.endpoint.name for a in world.sent}) == len(window)


# Guards against repeated dials to dead servers that a stale list still shows.
def test_a_stale_endpoint_list_causes_few_dials() -> None:
    world = world_with_catalog("n1", "n2", "n3", "n4", "n5", "n6")
    world.unreachable = {"n1", "n2", "n3", "n4"}
    for endpoint in list(world.policy.endpoints.values()):
        for connection in list(endpoint.connections):
            if endpoint.name in world.unreachable:
                world.close(connection)
    outcomes = serve_for(world, 60.0, interval_s=0.2)
    assert sum(outcome.served for outcome in outcomes if outcome is not None) >= 0.9 * len(outcomes)
    failed = [c for c in world.dialled if c.endpoint.name in world.unreachable]
    assert len(failed) <= 4 * 4  # four dead servers, each dialled at most four times a minute on average


# Guards against retries when every server asks for none elsewhere.
def test_calls_are_rejected_at_once_when_every_server_asks_for_no_retry_elsewhere() -> None:
    world = world_with_catalog("n1", "n2", "n3")
    for _ in range(50):
        call = world.call()
        world.advance(0.01)
        for attempt in [a for c in world.policy.table.open_connections() for a in list(c.in_flight.values())]:
            if attempt.sent_at is not None:
                world.respond(attempt, AttemptEnd.REJECTED, retry_after_s=0.1, no_retry_elsewhere=True)
        world.advance(0.14)
        outcome = world.outcome(call)
        assert outcome is not None and not outcome.served and call.attempts_sent <= 1
    assert len(world.dialled) <= 3


def test_a_single_server_is_dialled_once() -> None:
    world = world_with_catalog("n1")
    outcomes = serve_for(world, 10.0)
    assert all(outcome.served for outcome in outcomes) and len(world.dialled) == 1


# Guards against a dial at each return of a server that flaps every second.
def test_a_flapping_server_costs_few_dials() -> None:
    world = world_with_catalog("n1", "n2", "n3")
    for second in range(60):
        up = second % 2 == 0
        world.policy.update_endpoints(world.now, listing(second + 2, "n1", "n2", "n3", critical=() if up else ("n1",)))
        world.execute_actions()
        if not up:
            for connection in list(world.policy.endpoints["n1"].connections):
                world.close(connection)
        serve_for(world, 1.0, interval_s=0.1)
    flapping = [c for c in world.dialled if c.endpoint.name == "n1"]
    assert len(flapping) <= 60 / 4


# Guards against calls that wait on a server which accepts requests and never responds.
def test_a_server_that_never_responds_is_ejected_and_does_not_delay_calls() -> None:
    world = world_with_catalog("n1", "n2", "n3", health=replace(settings().health, probe_timeout_s=0.1))
    world.advance(0.1)
    stopped = (
        world.policy.endpoints["n1"] if "n1" in world.policy.endpoints else next(iter(world.policy.endpoints.values()))
    )
    spans = []
    for _ in range(200):
        call = world.call()
        world.advance(0.05)
        for endpoint in world.health_checks:
            world.policy.health_checked(world.now, endpoint, endpoint is not stopped)
        world.health_checks.clear()
        for attempt in [a for c in world.policy.table.open_connections() for a in list(c.in_flight.values())]:
            if attempt.sent_at is not None and attempt.endpoint is not stopped:
                world.respond(attempt)
        outcome = world.outcome(call)
        if outcome is not None:
            spans.append(outcome.span)
    assert world.policy.counts["left out"] >= 1
    assert sum(spans[-100:]) / 100 < 0.1


def test_the_catalog_rules_accept_a_file_and_deltas() -> None:
    assert Catalog().deltas and Catalog(file="x").file == "x"
    with pytest.raises(ValueError):
        settings(catalog="10.0.0.9:1", catalog_rules=Catalog(save_s=0))
