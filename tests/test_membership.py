"""Membership: deltas, endpoint lists shared by many clients, and the last good list across restarts."""

from __future__ import annotations

import asyncio
import tracemalloc
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

import pytest
from client_world import CLASSES, listing

from lapishaven.client import Client, Settings
from lapishaven.client.fleet.endpoint_list import EMPTY, apply_delta, replace_list
from lapishaven.client.membership import Membership
from lapishaven.client.policy import Policy
from lapishaven.client.settings import Catalog
from lapishaven.lab.catalog import Catalog as CatalogStandIn
from lapishaven.proto import ProtocolError
from lapishaven.proto.catalog import Delta, ListedServer, decode_response, delta_between, encode_delta, encode_list

RULES = Catalog()


# Guards against a delta that is applied to another version than its own, which gives a list that nobody sent.
def test_deltas_apply_in_order_and_a_gap_asks_for_the_full_list() -> None:
    one, two = listing(1, "n1", "n2", "n3"), listing(2, "n1", "n2", "n4", critical=("n2",))
    delta = delta_between(one, two)
    assert (delta.since, [r.name for r in delta.joined], delta.left, [r.name for r in delta.changed]) == (
        1,
        ["n4"],
        ("n3",),
        ["n2"],
    )
    membership = Membership(RULES)
    assert membership.apply_list(0.0, one).verdict == "taken" and not membership.needs_full_list
    change = membership.apply_delta(1.0, delta)
    assert (change.verdict, change.joined, change.left, change.changed) == ("taken", ("n4",), ("n3",), ("n2",))
    assert membership.names == {"n1", "n2", "n4"} and membership.version == 2
    assert membership.apply_delta(2.0, delta).verdict == "stale"
    gap = Delta("e", 9, 7, (ListedServer("n9", "10.0.0.9", 1),))
    assert membership.apply_delta(3.0, gap).verdict == "apart" and membership.needs_full_list
    assert membership.names == {"n1", "n2", "n4"}


def test_deltas_are_parsed_and_validated() -> None:
    delta = delta_between(listing(1, "n1", "n2"), listing(4, "n1", "n3"))
    assert decode_response(encode_delta(delta)) == delta
    assert decode_response(encode_list(listing(4, "n1"))) == listing(4, "n1")
    for data, reason in (
        (b'{"epoch":"e","version":4,"since":4}', "the delta to version 4: field 'since' is not an earlier version"),
        (
            b'{"epoch":"e","version":4,"since":1,"left":[3]}',
            "the delta to version 4: field 'left' is not a list of names",
        ),
        (
            b'{"epoch":"e","version":4,"since":1,"left":["a"],"joined":[{"name":"a","address":"h:1"}]}',
            "the delta to version 4 names a server twice",
        ),
    ):
        with pytest.raises(ProtocolError, match=reason):
            decode_response(data)


# Guards against a copy of the endpoint list for each client of a simulation.
def test_three_thousand_clients_of_a_thousand_servers_share_one_list() -> None:
    rows = tuple(ListedServer(f"s{n}", "10.1.0.1", 1000 + n) for n in range(1000))
    first, second = listing(1), listing(2)
    first = replace(first, servers=rows)
    second = replace(second, servers=rows[:-1])
    settings = Settings(CLASSES, catalog="127.0.0.1:1")
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    policies = [Policy(replace(settings, caller=n, callers=3000), Random(n), 0.0) for n in range(3000)]
    delta = delta_between(first, second)  # one delta object for all clients, as in the simulation
    for policy in policies:
        policy.update_endpoints(0.0, first)
        policy.update_endpoints(1.0, delta)
    bytes_per_client = (tracemalloc.get_traced_memory()[0] - before) / len(policies)
    tracemalloc.stop()
    assert len({id(policy.membership.endpoint_list) for policy in policies}) == 1
    assert bytes_per_client < 16_000  # the list alone has some 200 KB
    assert all(len(policy.endpoints) <= 6 for policy in policies)


def test_an_update_is_computed_once_for_all_clients() -> None:
    one = listing(1, "n1", "n2")
    assert replace_list(EMPTY, one) is replace_list(EMPTY, one)
    update = replace_list(EMPTY, one)
    delta = delta_between(one, listing(2, "n1"))
    assert apply_delta(update.endpoint_list, delta) is apply_delta(update.endpoint_list, delta)
    assert apply_delta(EMPTY, delta) is None


# Guards against a client that starts without endpoints, or fails to start, while the registry is down.
def test_the_last_good_list_survives_a_restart_while_the_registry_is_down(tmp_path: Path) -> None:
    async def main() -> tuple[bytes, str, int]:
        catalog = CatalogStandIn(lag=0.0)
        await catalog.open("127.0.0.1")
        catalog.addresses["n1"] = ("127.0.0.1", 9)
        catalog.server_list.report(asyncio.get_running_loop().time(), "n1", True)
        address = "{}:{}".format(*catalog.address)
        rules = replace(Catalog(), file=str(tmp_path / "list.json"), save_s=0.0, poll_s=0.05)
        settings = Settings(CLASSES, catalog=address, catalog_rules=rules)
        async with Client(settings) as client:
            while not (tmp_path / "list.json").exists():
                await asyncio.sleep(0.01)
            assert client.policy.membership.names == {"n1"}
        await catalog.close()
        async with Client(replace(settings, catalog="127.0.0.1:1")) as restarted:  # the catalog is unreachable
            names = restarted.policy.membership.names
            (tmp_path / "list.json").write_bytes(b"{garbled")
        reasons: list[str] = []

        def hook(now: float, event: str, fields: dict[str, Any]) -> None:
            if event == "list file unreadable":
                reasons.append(fields["error"])

        async with Client(replace(settings, catalog="127.0.0.1:1"), hook=hook) as restarted:
            unreadable_count = restarted.policy.counts["list file unreadable"]
            assert not restarted.policy.membership.names
        assert len(reasons) == 1 and reasons[0].startswith(f"reading {tmp_path / 'list.json'}: ProtocolError(")
        return (tmp_path / "list.json").read_bytes(), ",".join(sorted(names)), unreadable_count

    data, names, unreadable_count = asyncio.run(main())
    assert names == "n1" and unreadable_count == 1 and data == b"{garbled"
    assert not list(tmp_path.glob("*.part"))


# Guards against full lists for clients that already have a version.
def test_the_stand_in_registry_sends_deltas() -> None:
    async def main() -> tuple[int, set[str]]:
        catalog = CatalogStandIn(lag=0.0)
        await catalog.open("127.0.0.1")
        loop = asyncio.get_running_loop()
        for name in ("n1", "n2"):
            catalog.addresses[name] = ("127.0.0.1", 9)
            catalog.server_list.report(loop.time(), name, True)
        settings = Settings(CLASSES, catalog="{}:{}".format(*catalog.address), catalog_rules=Catalog(poll_s=0.02))
        async with Client(settings) as client:
            while client.policy.membership.version < 0:
                await asyncio.sleep(0.01)
            catalog.addresses["n3"] = ("127.0.0.1", 9)
            catalog.server_list.report(loop.time(), "n3", True)
            while "n3" not in client.policy.membership:
                await asyncio.sleep(0.01)
            names = set(client.policy.membership.names)
        await catalog.close()
        return catalog.deltas, names

    deltas, names = asyncio.run(main())
    assert deltas >= 1 and names == {"n1", "n2", "n3"}
