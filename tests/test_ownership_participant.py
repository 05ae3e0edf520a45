"""Participants with their threads and files: quota grants between two of them, and the operators' commands."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from lapishaven.core.contracts import Contract, Contracts
from lapishaven.ownership import command
from lapishaven.ownership.fenced_store import FencedStore
from lapishaven.ownership.participant import DUTY_SCHEMAS, Participant
from lapishaven.ownership.settings import load

CONTRACTS = [Contract("t", "s", "fuzzy", 1.0, "interpreter", 80.0, 80.0)]


def wait_for(description: str, condition: Callable[[], bool], timeout_s: float = 20.0) -> None:
    deadline = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline, f"no {description} within {timeout_s:g} s"
        time.sleep(0.01)


@pytest.fixture
def participants(tmp_path: Path) -> Iterator[tuple[str, dict[str, Participant]]]:
    path = tmp_path / "o.toml"
    path.write_text(
        f'[coordinator]\nfile = "{tmp_path}/l.db"\n[receiver]\nfile = "{tmp_path}/b.db"\n'
        "[lease]\nttl_s = 0.6\nmargin_s = 0.1\nsettle_s = 0.0\n[periods]\nshards = 2\nlength_s = 0.5\ngrace_s = 0.1\n"
        "[budgets]\nspan_s = 1.2\nfallback = 0.1\nmembers = 2\n"
    )
    by_name = {name: Participant(load(str(path)), name, CONTRACTS, lambda text: None) for name in ("a", "b")}
    for participant in by_name.values():
        participant.start()
    wait_for(
        "two members with all shards",
        lambda: sum(participant.state()["shards"] for participant in by_name.values()) == 4
        and all(participant.state()["members"] == 2 for participant in by_name.values()),
    )
    yield str(path), by_name
    for participant in by_name.values():
        participant.drain()
    for participant in by_name.values():
        participant.close()


def test_a_quota_follows_demand_and_is_not_exceeded(participants: tuple[str, dict[str, Participant]]) -> None:
    """With real threads and files, the busy server must get the quota that the idle one does not use."""
    _, by_name = participants
    contracts = {name: Contracts(CONTRACTS, participant) for name, participant in by_name.items()}
    quota = by_name["a"]._quota
    assert quota is not None
    bucket = quota.buckets["t/s/fuzzy"]

    def request_until_granted() -> bool:
        for _ in range(10):
            contracts["a"].charge(0.0, CONTRACTS[0])
        return bucket.granted_rate > 60.0

    wait_for("a grant of most of the rate", request_until_granted)
    served, started_at = 0, time.monotonic()
    while (elapsed_s := time.monotonic() - started_at) < 1.5:
        served += contracts["a"].charge(0.0, CONTRACTS[0]) is None
        time.sleep(0.002)
    assert served <= 80.0 * 1.1 * elapsed_s + 92  # the rate with its overshoot, and the tokens of a full bucket


def test_operators_list_release_and_claim_shards(
    participants: tuple[str, dict[str, Participant]], capsys: pytest.CaptureFixture[str]
) -> None:
    """The commands on a live fleet: they print its state, and a released or claimed shard leaves its owner."""
    path, by_name = participants
    wait_for("every shard to have an owner", lambda: command.status(path, True) == 0)
    capsys.readouterr()
    assert command.members(path, False) == 0
    assert capsys.readouterr().out.count("name ") == 2
    before = {name: participant.state()["lost"] for name, participant in by_name.items()}
    assert command.release(path, "periods", 0) == 0
    wait_for(
        "its loss to be seen",
        lambda: any(participant.state()["lost"] > before[n] for n, participant in by_name.items()),
    )
    wait_for("a new owner", lambda: command.status(path, True) == 0)
    assert command.claim(path, "periods", 1, 1.0) == 0
    assert "held with token" in capsys.readouterr().out
    by_name["a"].request_served("t", "c", 2.0, None)
    wait_for(
        "a statement", lambda: command.history(path, "periods", 5, False) == 0 and "close" in capsys.readouterr().out
    )
    assert command.verify(path) == 0


def test_requests_served_while_draining_after_a_permit_are_billed_once(tmp_path: Path) -> None:
    """A restart must not lose the consumption of the drain, and a duplicate must not be billed again."""
    path = tmp_path / "o.toml"
    path.write_text(
        f'[coordinator]\nfile = "{tmp_path}/l.db"\n[receiver]\nfile = "{tmp_path}/b.db"\n'
        "[lease]\nttl_s = 0.6\nmargin_s = 0.1\nsettle_s = 0.0\n[periods]\nshards = 2\nlength_s = 100\ngrace_s = 0.1\n"
        "[restart]\nobey = true\n"
    )
    permitted = threading.Event()
    participant = Participant(load(str(path)), "a", None, log=lambda text: None, terminate=permitted.set)
    participant.start()
    try:
        wait_for("the member", lambda: participant.state()["shards"] == 3)
        assert command.rollout(str(path), "r", 1, 1.0) == 0
        assert permitted.wait(20.0)
        participant.drain()
        for key in ("k1", "k1", None, None):
            participant.request_served("t", "c", 1.0, key)
    finally:
        participant.close()
    store = FencedStore(str(tmp_path / "b.db"), DUTY_SCHEMAS)
    assert store.read("select sum(count) from consumption") == [(3,)]
    assert store.read("select ready from restart_report") == [(0,)]
    store.close()
