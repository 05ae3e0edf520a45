"""Publishes this server's load: a report in each response, and one in answer to each UDP probe.

Off by default (``front.load``). A probe takes one datagram each way and no descriptor. It is answered in the round of
the event loop that reads it, however busy the cores are, so a missing answer means that the process does not run.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random

from lapishaven.admission import Outcome
from lapishaven.core.broker import Broker
from lapishaven.counters import Counters
from lapishaven.load_balancing.load_report import LoadReport, encode, encode_text
from lapishaven.load_balancing.load_reporter import LoadReporter
from lapishaven.net.datagrams import DatagramSocket
from lapishaven.net.loop import Loop
from lapishaven.proto import ProtocolError
from lapishaven.proto import load as load_protocol

# Reported as failed runs.
FAILED_OUTCOMES = (Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT, Outcome.UNREACHABLE)


class LoadEndpoint:
    """Answers probes and renders the load report for response headers.

    Parameters:
        address: host and port on which probes are received.
        random: source of the incarnation number.
        slots: number of requests that this server runs concurrently.
        broker: returns ``None`` until the backend is up; until then the report asks for no requests.
    """

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        random: Random,
        slots: int,
        broker: Callable[[], Broker | None],
        counters: Counters,
    ) -> None:
        self._loop = loop
        self._broker = broker
        self._counters = counters
        self._incarnation = random.getrandbits(32)
        self._slots = slots
        self.reporter = LoadReporter(self._incarnation, slots, loop.now)
        self._datagrams = DatagramSocket(loop, address, self._answer_probe)

    def start_reporting(self, initial_share: float, slow_start_s: float) -> None:
        """Report load from now on; the share asked for grows from ``initial_share`` to 1 within ``slow_start_s``."""
        self.reporter = LoadReporter(self._incarnation, self._slots, self._loop.now, initial_share, slow_start_s)

    def header_value(self) -> str:
        """The current report in text form, for a response header."""
        return encode_text(self._report())

    def _report(self) -> LoadReport:
        broker = self._broker()
        if broker is None:
            return LoadReport(self._incarnation, 0, 0, 0.0, self._slots, 0.0, 0.0)
        in_flight = Counter(request.submission.class_index for request in broker.requests.values())
        return self.reporter.report(self._loop.now, in_flight)

    def _answer_probe(self, data: bytes, sender: tuple[str, int]) -> None:
        try:
            probe_id = load_protocol.decode_probe(data)
        except ProtocolError:
            self._counters.add("load", "no questions")
            return
        self._counters.add("load", "questions")
        self._datagrams.send(load_protocol.encode_answer(probe_id, encode(self._report())), sender)

    def run_started(self, attempt_id: str, class_index: int) -> None:
        """Record the start of a run."""
        self.reporter.run_started(self._loop.now, attempt_id, class_index)

    def run_ended(self, attempt_id: str, outcome: Outcome) -> None:
        """Record the end of a run."""
        self.reporter.run_ended(self._loop.now, attempt_id, outcome is Outcome.OK, outcome in FAILED_OUTCOMES)

    def drain(self) -> None:
        """Report that this server takes no new requests."""
        self.reporter.draining = True

    def close(self) -> None:
        """Close the socket."""
        self._datagrams.close()
