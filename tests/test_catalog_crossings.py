"""Reports to the catalog while it, its address or what is to be told changes; each order is forced."""

from __future__ import annotations

import socket
from collections.abc import Generator
from typing import Any

import pytest
from scenario import Peer
from wire import wait_for

from lapishaven.connection_end import ConnectionEnd
from lapishaven.counters import Counters
from lapishaven.net.loop import Loop, Wait
from lapishaven.server.catalog_reporter import REPORT_INTERVAL_S, RESPONSE_TIMEOUT_S, RETRY_DELAY_S, CatalogReporter

OLD, NEW = ("127.0.0.1", 1), ("127.0.0.1", 2)
DONE = b"HTTP/1.1 204 No Content\r\n\r\n"
LAPSE = 3.0  # s after the last report that counted at which an entry is taken off the list


class Catalog:
    """A stand-in that answers when the test says, and dials that are held until the test lets them go on."""

    def __init__(self) -> None:
        self.now = 100.0
        self.loop = Loop(lambda: self.now)
        self.peers: list[Peer] = []
        self.dialled: list[tuple[str, int]] = []
        self.held: list[Wait] | None = None  # dials that wait, while they are held
        self.up = True
        self.counters = Counters()
        self.reporter = CatalogReporter(self.loop, OLD, "n1", self.counters, self.dial)
        self.loop.spawn(self.reporter.run(), lambda error: self.reporter.failed())

    def dial(
        self, loop: Loop, address: tuple[str, int], span: float
    ) -> Generator[Wait, Any, socket.socket | ConnectionEnd]:
        self.dialled.append(address)
        if self.held is not None:
            wait = Wait(span)
            self.held.append(wait)
            yield wait
        if not self.up:
            return ConnectionEnd.UNREACHED
        ours, theirs = socket.socketpair()
        self.peers.append(Peer(ours))
        return theirs

    def let_go(self) -> None:
        """Held dials go on."""
        held, self.held = self.held or [], None
        for wait in held:
            wait.wake()

    def rounds(self) -> None:
        for _ in range(6):
            self.loop.round(0, lambda now: None)
            for peer in self.peers:
                peer.pump()

    def wait(self, span: float) -> None:
        until = self.now + span
        while self.now < until:
            self.now = min(until, self.now + 0.02)
            self.rounds()

    def reports(self, n: int = -1) -> list[str]:
        """What was reported on the n-th connection."""
        said = bytes(self.peers[n].data).decode()
        return [
            "passing" if '"passing"' in part else "critical" for part in said.split("PUT ")[1:] if '"status"' in part
        ]

    def answer(self, data: bytes = DONE, n: int = -1) -> None:
        self.peers[n].sock.sendall(data)
        self.rounds()


@pytest.fixture
def catalog() -> Generator[Catalog, None, None]:
    here = Catalog()
    yield here
    here.reporter.close()
    for peer in here.peers:
        peer.sock.close()
        peer.closed = True
    here.rounds()
    here.loop.close()


def test_a_change_during_a_dial_is_what_the_first_report_says(catalog: Catalog) -> None:
    """Guards against a server that is listed as well for another round as it changed its mind while it dialled."""
    catalog.held = []
    catalog.reporter.set_passing(True)
    catalog.rounds()
    assert len(catalog.held) == 1
    catalog.reporter.set_passing(False)
    catalog.let_go()
    catalog.rounds()
    assert catalog.reports() == ["critical"]


def test_a_move_during_a_dial_leaves_no_report_at_the_old_address(catalog: Catalog) -> None:
    """Guards against a connection to the old address that goes on being used under the new one's name."""
    catalog.held = []
    catalog.reporter.set_passing(True)
    catalog.rounds()
    catalog.reporter.move(NEW)
    catalog.let_go()
    catalog.wait(RETRY_DELAY_S)
    assert catalog.dialled == [OLD, NEW]
    assert catalog.reports(0) == [] and catalog.peers[0].closed
    assert catalog.reports(1) == ["passing"] and b"Host: 127.0.0.1:2\r\n" in bytes(catalog.peers[1].data)


def test_an_end_during_a_dial_opens_no_connection_that_nobody_closes(catalog: Catalog) -> None:
    """Guards against an old process of an upgrade that reports once more after it was told not to."""
    catalog.held = []
    catalog.reporter.set_passing(True)
    catalog.rounds()
    catalog.reporter.close()
    catalog.let_go()
    catalog.wait(2 * REPORT_INTERVAL_S)
    assert catalog.reports(0) == [] and catalog.peers[0].closed and len(catalog.dialled) == 1


def test_an_end_during_the_pause_ends_it(catalog: Catalog) -> None:
    catalog.reporter.set_passing(True)
    catalog.rounds()
    catalog.answer()
    catalog.reporter.close()
    catalog.reporter.set_passing(False)
    catalog.wait(2 * REPORT_INTERVAL_S)
    assert catalog.reports() == ["passing"] and catalog.peers[0].closed


def test_a_change_while_an_answer_is_awaited_goes_out_at_once(catalog: Catalog) -> None:
    """Guards against a change of health that waits for a catalog that accepts and says nothing."""
    catalog.reporter.set_passing(True)
    catalog.rounds()
    assert catalog.reports() == ["passing"]
    changed = catalog.now
    catalog.reporter.set_passing(False)
    catalog.rounds()
    assert catalog.reports() == ["critical"] and len(catalog.peers) == 2 and catalog.now == changed


def test_a_silent_catalog_still_gets_reports_before_the_entry_lapses(catalog: Catalog) -> None:
    """Guards against a lapse while answers stay away, as reports that are not answered may well have counted."""
    catalog.reporter.set_passing(True)
    begun = catalog.now
    times = []
    while catalog.now < begun + 3 * LAPSE:
        before = sum(len(catalog.reports(n)) for n in range(len(catalog.peers)))
        catalog.wait(0.02)
        if sum(len(catalog.reports(n)) for n in range(len(catalog.peers))) > before:
            times.append(catalog.now)
    gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
    assert max(gaps) <= RESPONSE_TIMEOUT_S + RETRY_DELAY_S + 0.1 < LAPSE


@pytest.mark.parametrize("cut", [1, 9, 23, len(DONE) - 1])
def test_an_answer_cut_in_two_counts_once(catalog: Catalog, cut: int) -> None:
    catalog.reporter.set_passing(True)
    catalog.rounds()
    catalog.answer(DONE[:cut])
    assert catalog.counters.get("catalog", "reports") == 0
    catalog.answer(DONE[cut:])
    assert catalog.counters.get("catalog", "reports") == 1
    catalog.wait(REPORT_INTERVAL_S + 0.1)
    assert catalog.reports() == ["passing", "passing"] and len(catalog.peers) == 1


def test_an_answer_with_a_close_behind_it_counts(catalog: Catalog) -> None:
    """Guards against a report that counts as failed as its answer and the end come in one wake-up."""
    catalog.reporter.set_passing(True)
    catalog.rounds()
    catalog.peers[0].sock.sendall(DONE)
    catalog.peers[0].sock.shutdown(socket.SHUT_WR)
    catalog.rounds()
    assert catalog.counters.get("catalog", "reports") == 1
    catalog.wait(REPORT_INTERVAL_S + 0.1)
    assert len(catalog.peers) == 2 and catalog.reports(1) == ["passing"]


def test_an_answer_that_comes_late_is_not_taken_for_the_next_one(catalog: Catalog) -> None:
    """Guards against a late answer that vouches for a report which it does not belong to."""
    catalog.reporter.set_passing(True)
    catalog.rounds()
    catalog.wait(RESPONSE_TIMEOUT_S + RETRY_DELAY_S + 0.1)
    assert len(catalog.peers) == 2
    catalog.answer(DONE, 0)
    assert catalog.counters.get("catalog", "reports") == 0
    catalog.answer(DONE, 1)
    assert catalog.counters.get("catalog", "reports") == 1


def test_an_answer_that_breaks_off_is_a_failed_report(catalog: Catalog) -> None:
    catalog.reporter.set_passing(True)
    catalog.rounds()
    catalog.answer(DONE[:14])
    catalog.peers[0].sock.shutdown(socket.SHUT_RDWR)
    catalog.wait(RETRY_DELAY_S + 0.1)
    assert catalog.counters.get("catalog", "failed reports") == 1 and catalog.reports(1) == ["passing"]


def test_descriptors_come_back_however_often_the_catalog_fails(catalog: Catalog) -> None:
    """Guards against connections that pile up at a catalog that never answers and never closes."""
    catalog.reporter.set_passing(True)
    catalog.wait(30.0)
    still_open = [peer for peer in catalog.peers if not peer.closed]
    assert len(catalog.peers) > 30 and len(still_open) <= 1
    wait_for(lambda: (catalog.rounds(), True)[1], "a round")
    assert len(catalog.loop._watched) <= 4


def test_a_fault_in_it_lets_it_be_started_again(catalog: Catalog) -> None:
    catalog.reporter.set_passing(True)
    catalog.rounds()
    catalog.reporter.failed()
    catalog.loop.spawn(catalog.reporter.run())
    catalog.wait(REPORT_INTERVAL_S)
    assert catalog.reports() == ["passing"] and len(catalog.peers) >= 2
