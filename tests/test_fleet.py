"""The client's view of the fleet: the ring, the aperture's windows and the pace of changes, with times passed in."""

from __future__ import annotations

from collections import Counter

import pytest

from lapishaven.client.fleet import DeployInterval, DialSlots, Ring, Subset, placement_number, ring_of, window_size
from lapishaven.client.fleet.aperture import shuffled_order
from lapishaven.client.fleet.dial_schedule import next_slot

NAMES = [f"n{n}" for n in range(1, 11)]


def windows(names: list[str], clients: int, least: int = 2, wide: int = 3) -> list[tuple[str, ...]]:
    ring = Ring(names)
    return [Subset(ring, placement_number(n, clients, 0), least).window(wide) for n in range(clients)]


# Guards against a deal that piles clients on some servers: each holds the same number to within the rounds' rest.
@pytest.mark.parametrize(
    ("servers", "clients", "least", "wide"),
    [(10, 100, 2, 3), (10, 100, 2, 2), (100, 1000, 2, 3), (7, 50, 2, 2), (1000, 20_000, 2, 3)],
)
def test_every_server_has_as_many_clients_as_any_other_to_within_a_few(
    servers: int, clients: int, least: int, wide: int
) -> None:
    names = [f"s{n}" for n in range(servers)]
    held = Counter(name for window in windows(names, clients, least, wide) for name in window)
    mean = clients * wide / servers
    assert len(held) == servers
    assert max(held.values()) <= max(1.3 * mean, mean + 3) and min(held.values()) >= min(0.7 * mean, mean - 3)


# Guards against windows that share their servers, so that one server's loss lands on the same few others.
def test_the_servers_beside_one_in_its_clients_windows_are_many() -> None:
    beside = {name for window in windows(NAMES, 100) if "n1" in window for name in window} - {"n1"}
    assert len(beside) == 9


# Guards against a window that changes wholesale when the traffic makes it one wider or narrower.
def test_a_wider_window_keeps_the_narrower_one() -> None:
    ring = Ring(NAMES)
    for number in range(40):
        dealt = Subset(ring, number, 2)
        assert dealt.window(3)[:2] == dealt.window(2)
        assert sorted((*dealt.window(3), *dealt.stand_ins(3))) == sorted(NAMES)
    assert Subset(Ring(()), 1, 2).window(2) == ()


def test_orders_and_rings_are_the_same_everywhere_and_shared() -> None:
    assert (
        shuffled_order(5, 10) == shuffled_order(5, 10)
        and sorted(shuffled_order(5, 10)) == list(range(10))
        and shuffled_order(5, 10) != shuffled_order(6, 10)
    )
    assert ring_of(frozenset(NAMES)) is ring_of(frozenset(NAMES))
    assert Ring(reversed(NAMES)).names == Ring(NAMES).names


# Guards against clients that dial in bunches: of a fleet that lacks something all at once, each second has its share,
# though each client learned of it at another time and measured its traffic a little differently.
def test_a_fleet_takes_turns_evenly_whenever_each_client_heard() -> None:
    clients, dials = 400, []
    for n in range(clients):
        turns, heard = DialSlots(n, 0.1), 100.0 + (n * 37 % 100) / 100
        dials.append(turns.next_at(heard, 0.8 + (n % 5) / 50, 1, 5.0, 0))
        turns.record_dial(dials[-1])
        assert turns.next_at(dials[-1], 0.8, 1, 5.0, 0) >= dials[-1] + 6.0  # one dial a turn
    by_second = Counter(int(at) for at in dials)
    assert max(by_second.values()) <= 1.25 * clients / 12 and max(dials) <= 113.0


# Guards against dials that outrun the traffic: a client's turns come no sooner than its share of first tries allows,
# within the rounding of a cycle, and twice as often, or half as often, by its need.
def test_the_share_of_first_tries_bounds_the_turns() -> None:
    turns = DialSlots(3, 0.1)
    for rate in (0.01, 0.1, 0.7, 5.0, 300.0):
        cycle = turns.cycle(rate, 4, 8.0, 0)
        assert cycle * rate * 0.1 >= 0.70 and cycle >= 1.4
        assert (turns.cycle(rate, 4, 8.0, -1), turns.cycle(rate, 4, 8.0, 1)) == (cycle / 2, cycle * 2)
    first = turns.next_at(0.0, 0.7, 1, 5.0, 0)
    assert turns.next_at(first - 0.001, 0.7, 1, 5.0, 0) == first  # the same until it is taken
    assert turns.next_at(0.0, 0.07, 1, 5.0, 0) != first  # or the cycle changes


@pytest.mark.parametrize(("now", "offset", "at"), [(0.0, 0.5, 6.0), (6.0, 0.5, 6.0), (6.1, 0.5, 18.0), (25.0, 0, 36)])
def test_a_slot_is_the_next_time_at_its_place_in_the_cycle(now: float, offset: float, at: float) -> None:
    assert next_slot(now, 12.0, offset) == pytest.approx(at)


def test_a_ticket_is_the_caller_s_own_number_where_their_count_is_known() -> None:
    assert placement_number(7, 100, 12345) == 7 and placement_number(107, 100, 1) == 7
    assert placement_number(7, 0, 1 << 40) == 1 << 8
    assert (window_size(2, 0.7, 10), window_size(2, 2.0, 10), window_size(2, 30.0, 10), window_size(2, 0.1, 10)) == (
        2,
        3,
        10,
        1,
    )


# Guards against a move spread over the client's own timer: the pace of a rolling deploy is what counts.
def test_the_pace_is_the_span_between_batches_and_each_outage_counts_once() -> None:
    pace = DeployInterval(8.0, 2.0, 10.0)
    assert pace.spread_s(0.0) == 8.0
    for at in (1.0, 6.3, 11.6):
        pace.record_departure(at, f"a{at}")
        pace.record_departure(at + 0.5, f"b{at}")  # the same batch
        pace.record_departure(at + 1.5, f"a{at}")  # the same outage, told again
    assert pace.spread_s(12.0) == pytest.approx(5.3)
    assert pace.spread_s(40.0) == 8.0  # no batch for four spans: the deploy is over
    pace.record_return("a1.0")
    assert (
        pace.recently_replaced(12.0, "a1.0")
        and not pace.recently_replaced(12.0, "a6.3")
        and not pace.recently_replaced(90.0, "a1.0")
    )
    pace.record_departure(60.0, "a1.0")
    assert pace.spread_s(60.5) == 8.0 and not pace.recently_replaced(60.5, "a1.0")


# Guards against a dial at each coming of a server that comes and goes.
def test_a_server_that_flaps_must_show_that_it_stays_for_longer_each_time() -> None:
    pace = DeployInterval(8.0, 2.0, 10.0)
    for n in range(4):
        pace.record_departure(2.0 * n, "a")
        assert pace.is_flapping(2.0 * n + 0.5, "a") == (n > 0)
        pace.record_return("a")
    assert pace.is_flapping(6.0 + 15.9, "a") and not pace.is_flapping(6.0 + 16.1, "a")
    pace.record_departure(200.0, "a")
    assert not pace.is_flapping(200.5, "a")  # steady in between
