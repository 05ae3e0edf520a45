"""Reports to the catalog that cross changes of health, of its address or of its availability, in a forced order."""

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

OLD_ADDRESS, NEW_ADDRESS = ("127.0.0.1", 1), ("127.0.0.1", 2)
ACCEPTED = b"HTTP/1.1 204 No Content\r\n\r\n"
ENTRY_TTL_S = 3.0  # after the last accepted report, when the catalog removes the entry


class Catalog:
    """The reporter with a stand-in catalog, whose responses and dials the test controls."""

    def __init__(self) -> None:
        self.now = 100.0
        self.loop = Loop(lambda: self.now)
        self.peers: list[Peer] = []
        self.dialled_addresses: list[tuple[str, int]] = []
        self.pending_dials: list[Wait] | None = None  # the dials in progress; None: dials complete immediately
        self.up = True
        self.counters = Counters()
        self.reporter = CatalogReporter(self.loop, OLD_ADDRESS, "n1", self.counters, self.dial)
        self.loop.spawn(self.reporter.run(), lambda error: self.reporter.failed())

    def dial(
        self, loop: Loop, address: tuple[str, int], span: float
    ) -> Generator[Wait, Any, socket.socket | ConnectionEnd]:
        self.dialled_addresses.append(address)
        if self.pending_dials is not None:
            wait = Wait(span)
            self.pending_dials.append(wait)
            yield wait
        if not self.up:
            return ConnectionEnd.UNREACHED
        ours, theirs = socket.socketpair()
        self.peers.append(Peer(ours))
        return theirs

    def complete_dials(self) -> None:
        """Complete the dials in progress."""
        pending_dials, self.pending_dials = self.pending_dials or [], None
        for wait in pending_dials:
            wait.wake()

    def run_rounds(self) -> None:
        for _ in range(6):
            self.loop.round(0, lambda now: None)
            for peer in self.peers:
                peer.pump()

    def wait(self, span: float) -> None:
        until = self.now + span
        while self.now < until:
            self.now = min(until, self.now + 0.02)
            self.run_rounds()

    def reports(self, n: int = -1) -> list[str]:
        """The statuses reported on the n-th connection."""
        received = bytes(self.peers[n].data).decode()
        return [
            "passing" if '"passing"' in part else "critical"
            for part in received.split("PUT ")[1:]
            if '"status"' in part
        ]

    def answer(self, data: bytes = ACCEPTED, n: int = -1) -> None:
        self.peers[n].sock.sendall(data)
        self.run_rounds()


@pytest.fixture
def catalog() -> Generator[Catalog, None, None]:
    harness = Catalog()
    yield harness
    harness.reporter.close()
    for peer in harness.peers:
        peer.sock.close()
        peer.closed = True
    harness.run_rounds()
    harness.loop.close()


def test_change_of_health_during_a_dial_is_in_the_first_report(catalog: Catalog) -> None:
    """Guards against reporting an outdated status when health changes while the catalog is dialled_addresses."""
    catalog.pending_dials = []
    catalog.reporter.set_passing(True)
    catalog.run_rounds()
    assert len(catalog.pending_dials) == 1
    catalog.reporter.set_passing(False)
    catalog.complete_dials()
    catalog.run_rounds()
    assert catalog.reports() == ["critical"]


def test_change_of_address_during_a_dial_sends_no_report_to_the_old_address(catalog: Catalog) -> None:
    """Guards against using a connection to the old address after the catalog has moved."""
    catalog.pending_dials = []
    catalog.reporter.set_passing(True)
    catalog.run_rounds()
    catalog.reporter.move(NEW_ADDRESS)
    catalog.complete_dials()
    catalog.wait(RETRY_DELAY_S)
    assert catalog.dialled_addresses == [OLD_ADDRESS, NEW_ADDRESS]
    assert catalog.reports(0) == [] and catalog.peers[0].closed
    assert catalog.reports(1) == ["passing"] and b"Host: 127.0.0.1:2\r\n" in bytes(catalog.peers[1].data)


def test_close_during_a_dial_closes_the_new_connection_without_a_report(catalog: Catalog) -> None:
    """Guards against a report of the old process in an upgrade after its reporter was closed."""
    catalog.pending_dials = []
    catalog.reporter.set_passing(True)
    catalog.run_rounds()
    catalog.reporter.close()
    catalog.complete_dials()
    catalog.wait(2 * REPORT_INTERVAL_S)
    assert catalog.reports(0) == [] and catalog.peers[0].closed and len(catalog.dialled_addresses) == 1


def test_close_between_two_reports_stops_the_reporter(catalog: Catalog) -> None:
    catalog.reporter.set_passing(True)
    catalog.run_rounds()
    catalog.answer()
    catalog.reporter.close()
    catalog.reporter.set_passing(False)
    catalog.wait(2 * REPORT_INTERVAL_S)
    assert catalog.reports() == ["passing"] and catalog.peers[0].closed


def test_change_of_health_while_a_response_is_awaited_is_reported_immediately(catalog: Catalog) -> None:
    """Guards against delaying a change of health when the catalog accepts reports but does not respond."""
    catalog.reporter.set_passing(True)
    catalog.run_rounds()
    assert catalog.reports() == ["passing"]
    changed_at = catalog.now
    catalog.reporter.set_passing(False)
    catalog.run_rounds()
    assert catalog.reports() == ["critical"] and len(catalog.peers) == 2 and catalog.now == changed_at


def test_unresponsive_catalog_still_gets_reports_before_the_entry_expires(catalog: Catalog) -> None:
    """Guards against an expired entry when responses are missing, as the reports themselves may have been accepted."""
    catalog.reporter.set_passing(True)
    started_at = catalog.now
    report_times = []
    while catalog.now < started_at + 3 * ENTRY_TTL_S:
        before = sum(len(catalog.reports(n)) for n in range(len(catalog.peers)))
        catalog.wait(0.02)
        if sum(len(catalog.reports(n)) for n in range(len(catalog.peers))) > before:
            report_times.append(catalog.now)
    gaps = [b - a for a, b in zip(report_times, report_times[1:], strict=False)]
    assert max(gaps) <= RESPONSE_TIMEOUT_S + RETRY_DELAY_S + 0.1 < ENTRY_TTL_S


@pytest.mark.parametrize("cut", [1, 9, 23, len(ACCEPTED) - 1])
def test_response_received_in_two_pieces_counts_once(catalog: Catalog, cut: int) -> None:
    catalog.reporter.set_passing(True)
    catalog.run_rounds()
    catalog.answer(ACCEPTED[:cut])
    assert catalog.counters.get("catalog", "reports") == 0
    catalog.answer(ACCEPTED[cut:])
    assert catalog.counters.get("catalog", "reports") == 1
    catalog.wait(REPORT_INTERVAL_S + 0.1)
    assert catalog.reports() == ["passing", "passing"] and len(catalog.peers) == 1


def test_response_followed_by_a_close_counts(catalog: Catalog) -> None:
    """Guards against counting a report as failed when its response and the close arrive in one round."""
    catalog.reporter.set_passing(True)
    catalog.run_rounds()
    catalog.peers[0].sock.sendall(ACCEPTED)
    catalog.peers[0].sock.shutdown(socket.SHUT_WR)
    catalog.run_rounds()
    assert catalog.counters.get("catalog", "reports") == 1
    catalog.wait(REPORT_INTERVAL_S + 0.1)
    assert len(catalog.peers) == 2 and catalog.reports(1) == ["passing"]


def test_late_response_is_not_attributed_to_the_next_report(catalog: Catalog) -> None:
    """Guards against a late response that confirms a report which it does not belong to."""
    catalog.reporter.set_passing(True)
    catalog.run_rounds()
    catalog.wait(RESPONSE_TIMEOUT_S + RETRY_DELAY_S + 0.1)
    assert len(catalog.peers) == 2
    catalog.answer(ACCEPTED, 0)
    assert catalog.counters.get("catalog", "reports") == 0
    catalog.answer(ACCEPTED, 1)
    assert catalog.counters.get("catalog", "reports") == 1


def test_truncated_response_is_a_failed_report(catalog: Catalog) -> None:
    catalog.reporter.set_passing(True)
    catalog.run_rounds()
    catalog.answer(ACCEPTED[:14])
    catalog.peers[0].sock.shutdown(socket.SHUT_RDWR)
    catalog.wait(RETRY_DELAY_S + 0.1)
    assert catalog.counters.get("catalog", "failed reports") == 1 and catalog.reports(1) == ["passing"]


def test_descriptors_are_released_however_often_the_catalog_fails(catalog: Catalog) -> None:
    """Guards against connections that accumulate when the catalog never responds and never closes."""
    catalog.reporter.set_passing(True)
    catalog.wait(30.0)
    open_connections = [peer for peer in catalog.peers if not peer.closed]
    assert len(catalog.peers) > 30 and len(open_connections) <= 1
    wait_for(lambda: (catalog.run_rounds(), True)[1], "a round")
    assert len(catalog.loop._watched) <= 4


def test_reporter_can_be_restarted_after_an_exception(catalog: Catalog) -> None:
    catalog.reporter.set_passing(True)
    catalog.run_rounds()
    catalog.reporter.failed()
    catalog.loop.spawn(catalog.reporter.run())
    catalog.wait(REPORT_INTERVAL_S)
    assert catalog.reports() == ["passing"] and len(catalog.peers) >= 2
