"""The choice of the endpoints to keep connected and of the next dial (``client/fleet/connection_manager.py``)."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import pytest
from client_world import AttemptEnd, ClientWorld, Connections, listing, settings

from lapishaven.client.fleet.connection_manager import ConnectionManager
from lapishaven.client.membership import Membership
from lapishaven.client.settings import Catalog

NAMES = tuple(f"n{n}" for n in range(1, 13))
CALLS_PER_S = 0.8  # gives a dial slot every 12 s; halved or doubled, every 6 or 24 s


@dataclass
class FakeEndpoint:
    usable_connections: int = 1
    next_dial_at: float = float("-inf")
    dial_failures: int = 0
    lost_at: float | None = None
    suspected_since: float | None = None
    closed_idle_connection: bool = False
    ejected: bool = False
    rejecting: bool = False

    def recently_rejected(self, now: float) -> bool:
        return self.rejecting


class ManagedClient:
    """A connection manager with endpoints whose state the test sets."""

    def __init__(self, number: int = 4) -> None:
        self.membership = Membership(Catalog())
        self.endpoints: dict[str, FakeEndpoint] = {}
        self.version = 0
        self.manager = ConnectionManager(Connections(), self.membership, self.endpoints, number, Random(1), True)
        self.apply_list(0.0)
        for name in self.manager.window:
            self.endpoints[name] = FakeEndpoint()
        self.manager.starting = False

    def apply_list(self, now: float, *critical: str) -> None:
        """Apply a new list, on which the endpoints ``critical`` fail their health checks."""
        self.version += 1
        change = self.membership.apply_list(now, listing(self.version, *NAMES, critical=critical))
        for name in self.manager.endpoints_changed(now, change.joined, change.left, change.changed):
            if name in self.endpoints:
                self.endpoints[name].lost_at = None
        self.manager.update_window(now, CALLS_PER_S)

    def lose(self, now: float, *names: str) -> None:
        for name in names:
            self.endpoints[name].usable_connections = 0
            self.endpoints[name].lost_at = now

    def next_window_dial_at(self, now: float) -> float:
        dial = self.manager.next_dial(now, CALLS_PER_S, False)
        assert dial is not None and dial.reason == "window"
        return dial.at


# Guards against replacing or dialling a server of the window that is away before the list shows it again.
def test_a_server_that_is_away_is_waited_for_and_not_replaced() -> None:
    client = ManagedClient()
    first = client.manager.window[0]
    client.lose(10.0, first)
    client.apply_list(10.0, first)
    assert client.manager.next_dial(11.0, CALLS_PER_S, False) is None
    client.apply_list(15.0)
    dial = client.manager.next_dial(15.0, CALLS_PER_S, False)
    assert dial is not None and (dial.name, dial.reason) == (first, "window") and 15.0 <= dial.at <= 27.0
    assert client.manager.next_dial(16.0, CALLS_PER_S, False) == dial  # the slot stays the same


# Guards against a client with one usable endpoint that waits as long for its dial as one with several.
def test_the_dial_slot_comes_sooner_with_fewer_usable_endpoints() -> None:
    delays: dict[str, list[float]] = {
        "two left": [],
        "one left": [],
        "two left, one restarted": [],
        "one left, rejecting": [],
    }
    for number in range(40):
        for case, case_delays in delays.items():
            client = ManagedClient(number)
            a, b, c = client.manager.window
            if "restarted" in case:
                client.apply_list(10.0, b)
                client.apply_list(14.0)
            away = (a, c) if "one" in case and "restarted" not in case else (a,)
            client.lose(15.0, *away)
            client.apply_list(15.0, *away)
            client.apply_list(20.0)
            client.endpoints[b].rejecting = "rejecting" in case
            case_delays.append(client.next_window_dial_at(20.0) - 20.0)
    longest = {case: max(case_delays) for case, case_delays in delays.items()}
    assert (
        10.0 < longest["two left"] <= 12.0
        and 5.0 < longest["one left"] <= 6.0
        and longest["one left, rejecting"] <= 6.0
    )
    assert 20.0 < longest["two left, one restarted"] <= 24.0


# Guards against calls that wait for the window while other servers are available, and against stand-ins that stay.
def test_a_stand_in_serves_an_urgent_call_and_is_dropped_when_the_window_is_connected() -> None:
    client = ManagedClient()
    window = client.manager.window
    client.lose(10.0, *window)
    client.apply_list(10.0, *window)
    dial = client.manager.next_dial(10.0, CALLS_PER_S, True)
    assert dial is not None and dial.name not in window and (dial.at, dial.reason) == (10.0, "urgent")
    client.endpoints[dial.name] = FakeEndpoint()
    client.manager.record_dial(10.0, dial)
    assert client.manager.keep_connected(dial.name) and client.manager.keep_tracked(10.0, dial.name)
    client.apply_list(15.0)
    for name in window[:2]:
        client.endpoints[name].usable_connections = 1
    assert client.manager.surplus_stand_ins() == []
    client.endpoints[window[2]].usable_connections = 1
    assert client.manager.surplus_stand_ins() == [dial.name]


# Guards against a window that flaps with random changes of the traffic: it grows at once and shrinks late.
@pytest.mark.parametrize(("before", "after", "size"), [(2.1, 1.9, 4), (2.1, 1.2, 3), (1.9, 2.1, 4), (0.8, 0.15, 3)])
def test_the_window_shrinks_only_when_the_traffic_is_well_below_it(before: float, after: float, size: int) -> None:
    client = ManagedClient()
    client.manager.update_window(1.0, before)
    client.manager.update_window(2.0, after)
    assert len(client.manager.window) == size


# Guards against the rejection of a call when the tracked endpoints are away but others are available.
def test_a_call_with_nothing_connected_goes_to_an_untracked_endpoint() -> None:
    world = ClientWorld(
        settings(catalog="10.0.0.9:1", connections=Connections(least=2, spread_s=0.001, spread_least_s=0.001))
    )
    world.policy.update_endpoints(0.0, listing(1, *NAMES))
    for _ in range(10):
        world.call()
        world.advance(0.8)
        world.serve_all()
    window = world.policy.table.connection_manager.window
    assert {connection.endpoint.name for connection in world.policy.table.open_connections()} == set(window)
    for connection in list(world.policy.table.open_connections()):
        world.policy.draining(world.now, connection)
    world.execute_actions()
    call = world.call()
    world.advance(0.01)
    assert world.outcome(call) is None and call.attempts_sent == 1
    attempt = call.attempts[0]
    assert attempt.endpoint.name not in window
    world.respond(attempt, AttemptEnd.SERVED)
    assert world.outcome(call).served
