"""Deterministic subsetting and the dial schedule: the ring, windows, dial slots and the deploy interval."""

from __future__ import annotations

from collections import Counter

import pytest

from lapishaven.client.fleet import DeployInterval, DialSlots, Ring, Subset, placement_number, ring_of, window_size
from lapishaven.client.fleet.aperture import shuffled_order
from lapishaven.client.fleet.dial_schedule import next_slot

NAMES = [f"n{n}" for n in range(1, 11)]


def windows(names: list[str], clients: int, least: int = 2, size: int = 3) -> list[tuple[str, ...]]:
    ring = Ring(names)
    return [Subset(ring, placement_number(n, clients, 0), least).window(size) for n in range(clients)]


# Guards against subsets that give some servers many more clients than others.
@pytest.mark.parametrize(
    ("servers", "clients", "least", "size"),
    [(10, 100, 2, 3), (10, 100, 2, 2), (100, 1000, 2, 3), (7, 50, 2, 2), (1000, 20_000, 2, 3)],
)
def test_clients_are_spread_evenly_over_servers(servers: int, clients: int, least: int, size: int) -> None:
    names = [f"s{n}" for n in range(servers)]
    counts = Counter(name for window in windows(names, clients, least, size) for name in window)
    mean = clients * size / servers
    assert len(counts) == servers
    assert max(counts.values()) <= max(1.3 * mean, mean + 3) and min(counts.values()) >= min(0.7 * mean, mean - 3)


# Guards against a server whose load moves to only a few others when it fails.
def test_the_clients_of_a_server_share_many_other_servers() -> None:
    others = {name for window in windows(NAMES, 100) if "n1" in window for name in window} - {"n1"}
    assert len(others) == 9


# Guards against a window whose endpoints are all replaced when the traffic changes its size.
def test_a_larger_window_contains_the_smaller_one() -> None:
    ring = Ring(NAMES)
    for number in range(40):
        subset = Subset(ring, number, 2)
        assert subset.window(3)[:2] == subset.window(2)
        assert sorted((*subset.window(3), *subset.stand_ins(3))) == sorted(NAMES)
    assert Subset(Ring(()), 1, 2).window(2) == ()


def test_orders_and_rings_are_deterministic_and_cached() -> None:
    assert (
        shuffled_order(5, 10) == shuffled_order(5, 10)
        and sorted(shuffled_order(5, 10)) == list(range(10))
        and shuffled_order(5, 10) != shuffled_order(6, 10)
    )
    assert ring_of(frozenset(NAMES)) is ring_of(frozenset(NAMES))
    assert Ring(reversed(NAMES)).names == Ring(NAMES).names


# Guards against dials that cluster after an outage: they must be spread evenly over the cycle, although clients learn
# of the return at different times and measure slightly different traffic.
def test_the_dials_of_a_fleet_are_spread_evenly_over_the_cycle() -> None:
    clients, dials = 400, []
    for n in range(clients):
        slots, notified_at = DialSlots(n, 0.1), 100.0 + (n * 37 % 100) / 100
        dials.append(slots.next_at(notified_at, 0.8 + (n % 5) / 50, 1, 5.0, 0))
        slots.record_dial(dials[-1])
        assert slots.next_at(dials[-1], 0.8, 1, 5.0, 0) >= dials[-1] + 6.0  # one dial per cycle
    by_second = Counter(int(at) for at in dials)
    assert max(by_second.values()) <= 1.25 * clients / 12 and max(dials) <= 113.0


# Guards against more dials than the share of first attempts allows (within the rounding of the cycle); the cycle is
# halved or doubled on request.
def test_the_share_of_first_attempts_bounds_the_dial_cycle() -> None:
    slots = DialSlots(3, 0.1)
    for calls_per_s in (0.01, 0.1, 0.7, 5.0, 300.0):
        cycle_s = slots.cycle_s(calls_per_s, 4, 8.0, 0)
        assert cycle_s * calls_per_s * 0.1 >= 0.70 and cycle_s >= 1.4
        assert (slots.cycle_s(calls_per_s, 4, 8.0, -1), slots.cycle_s(calls_per_s, 4, 8.0, 1)) == (
            cycle_s / 2,
            cycle_s * 2,
        )
    first = slots.next_at(0.0, 0.7, 1, 5.0, 0)
    assert slots.next_at(first - 0.001, 0.7, 1, 5.0, 0) == first  # the same until it is used
    assert slots.next_at(0.0, 0.07, 1, 5.0, 0) != first  # or the cycle changes


@pytest.mark.parametrize(("now", "offset", "at"), [(0.0, 0.5, 6.0), (6.0, 0.5, 6.0), (6.1, 0.5, 18.0), (25.0, 0, 36)])
def test_a_slot_is_the_next_time_at_its_offset_in_the_cycle(now: float, offset: float, at: float) -> None:
    assert next_slot(now, 12.0, offset) == pytest.approx(at)


def test_a_client_is_placed_by_its_number_if_the_number_of_clients_is_known() -> None:
    assert placement_number(7, 100, 12345) == 7 and placement_number(107, 100, 1) == 7
    assert placement_number(7, 0, 1 << 40) == 1 << 8
    assert (window_size(2, 0.7, 10), window_size(2, 2.0, 10), window_size(2, 30.0, 10), window_size(2, 0.1, 10)) == (
        2,
        3,
        10,
        1,
    )


# Guards against dials spread over a fixed time during a rolling deploy instead of over the interval of its batches.
def test_the_deploy_interval_is_the_time_between_batches_and_each_outage_counts_once() -> None:
    interval = DeployInterval(8.0, 2.0, 10.0)
    assert interval.spread_s(0.0) == 8.0
    for at in (1.0, 6.3, 11.6):
        interval.record_departure(at, f"a{at}")
        interval.record_departure(at + 0.5, f"b{at}")  # the same batch
        interval.record_departure(at + 1.5, f"a{at}")  # the same outage, reported again
    assert interval.spread_s(12.0) == pytest.approx(5.3)
    assert interval.spread_s(40.0) == 8.0  # no batch for four intervals: the deploy is over
    interval.record_return("a1.0")
    assert (
        interval.recently_replaced(12.0, "a1.0")
        and not interval.recently_replaced(12.0, "a6.3")
        and not interval.recently_replaced(90.0, "a1.0")
    )
    interval.record_departure(60.0, "a1.0")
    assert interval.spread_s(60.5) == 8.0 and not interval.recently_replaced(60.5, "a1.0")


# Guards against a dial at each return of a server that leaves and returns repeatedly.
def test_a_flapping_server_must_stay_twice_as_long_after_each_departure() -> None:
    interval = DeployInterval(8.0, 2.0, 10.0)
    for n in range(4):
        interval.record_departure(2.0 * n, "a")
        assert interval.is_flapping(2.0 * n + 0.5, "a") == (n > 0)
        interval.record_return("a")
    assert interval.is_flapping(6.0 + 15.9, "a") and not interval.is_flapping(6.0 + 16.1, "a")
    interval.record_departure(200.0, "a")
    assert not interval.is_flapping(200.5, "a")  # stable in between


# Guards the doubled time against overflow: a server that crashed in a loop for a day ended the client's list updates.
def test_a_server_that_flaps_for_a_day_is_flapping() -> None:
    interval = DeployInterval(8.0, 2.0, 10.0)
    for n in range(3000):
        interval.record_departure(29.0 * n, "a")
        interval.record_return("a")
        assert interval.is_flapping(29.0 * n + 0.5, "a") == (n > 0)
