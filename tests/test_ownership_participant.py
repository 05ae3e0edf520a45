"""A server's part, with its threads and files: budgets dealt between two of them, and the operators' commands."""

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

TERMS = [Contract("t", "s", 0, 1.0, "interpreter", 80.0, 80.0)]


def until(what: str, found: Callable[[], bool], timeout: float = 20.0) -> None:
    end = time.monotonic() + timeout
    while not found():
        assert time.monotonic() < end, f"no {what} within {timeout:g} s"
        time.sleep(0.01)


@pytest.fixture
def parts(tmp_path: Path) -> Iterator[tuple[str, dict[str, Participant]]]:
    path = tmp_path / "o.toml"
    path.write_text(
        f'[coordinator]\nfile = "{tmp_path}/l.db"\n[receiver]\nfile = "{tmp_path}/b.db"\n'
        "[lease]\nttl_s = 0.6\nmargin_s = 0.1\nsettle_s = 0.0\n[periods]\nshards = 2\nlength_s = 0.5\ngrace_s = 0.1\n"
        "[budgets]\nspan_s = 1.2\nfallback = 0.1\nmembers = 2\n"
    )
    there = {name: Participant(load(str(path)), name, TERMS, ["fuzzy"], lambda text: None) for name in ("a", "b")}
    for part in there.values():
        part.start()
    until(
        "two members with all shards",
        lambda: sum(p.state()["shards"] for p in there.values()) == 4
        and all(p.state()["members"] == 2 for p in there.values()),
    )
    yield str(path), there
    for part in there.values():
        part.drain()
    for part in there.values():
        part.close()


def test_a_budget_follows_need_and_is_kept(parts: tuple[str, dict[str, Participant]]) -> None:
    """Guards the dealing on real threads and files: the busy one gets what the idle one does not ask for."""
    _, there = parts
    books = {name: Contracts(TERMS, part) for name, part in there.items()}
    busy = there["a"]._quota
    assert busy is not None
    bucket = busy.buckets["t/s/fuzzy"]

    def ask() -> bool:
        for _ in range(10):
            books["a"].admit(0.0, ("t", "s", 0))
        return bucket.granted_rate > 60.0

    until("a grant of most of the rate", ask)
    served, began = 0, time.monotonic()
    while (span := time.monotonic() - began) < 1.5:
        served += isinstance(books["a"].admit(0.0, ("t", "s", 0)), Contract)
        time.sleep(0.002)
    assert served <= 80.0 * 1.1 * span + 92  # the rate with its overshoot, and what a purse may have held


def test_operators_see_take_and_hold_shards(
    parts: tuple[str, dict[str, Participant]], capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards the commands against a live fleet: what they print is so, and a shard that is held is nobody else's."""
    path, there = parts
    until("every shard to have an owner", lambda: command.status(path, True) == 0)
    capsys.readouterr()
    assert command.members(path, False) == 0
    assert capsys.readouterr().out.count("name ") == 2
    before = {name: part.state()["lost"] for name, part in there.items()}
    assert command.release(path, "periods", 0) == 0
    until("its loss to be seen", lambda: any(p.state()["lost"] > before[n] for n, p in there.items()))
    until("a new owner", lambda: command.status(path, True) == 0)
    assert command.claim(path, "periods", 1, 1.0) == 0
    assert "held with token" in capsys.readouterr().out
    there["a"].request_served("t", "c", 2.0, None)
    until("a statement", lambda: command.history(path, "periods", 5, False) == 0 and "close" in capsys.readouterr().out)
    assert command.verify(path) == 0


def test_what_is_served_in_the_grace_after_a_permit_is_billed_once(tmp_path: Path) -> None:
    """Guards billing: a restart must not lose the rows of the drain, and a repeat must not be billed again."""
    path = tmp_path / "o.toml"
    path.write_text(
        f'[coordinator]\nfile = "{tmp_path}/l.db"\n[receiver]\nfile = "{tmp_path}/b.db"\n'
        "[lease]\nttl_s = 0.6\nmargin_s = 0.1\nsettle_s = 0.0\n[periods]\nshards = 2\nlength_s = 100\ngrace_s = 0.1\n"
        "[restart]\nobey = true\n"
    )
    told = threading.Event()
    part = Participant(load(str(path)), "a", None, log=lambda text: None, terminate=told.set)
    part.start()
    try:
        until("the member", lambda: part.state()["shards"] == 3)
        assert command.rollout(str(path), "r", 1, 1.0) == 0
        assert told.wait(20.0)
        part.drain()
        for key in ("k1", "k1", None, None):
            part.request_served("t", "c", 1.0, key)
    finally:
        part.close()
    book = FencedStore(str(tmp_path / "b.db"), DUTY_SCHEMAS)
    assert book.read("select sum(count) from consumption") == [(3,)]
    assert book.read("select ready from restart_report") == [(0,)]
    book.close()
