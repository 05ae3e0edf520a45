"""Says this server's load: a word with each answer, and one for each question that comes as a datagram.

Off by default (``front.load``). A question costs a datagram of 32 bytes each way and no descriptor, and is answered in
the round in which it is read, whatever the cores do: no answer means that the process does not run.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random

from lapishaven.admission import Outcome
from lapishaven.core.broker import Broker
from lapishaven.counters import Counters
from lapishaven.load_balancing import load_report
from lapishaven.load_balancing.load_reporter import LoadReporter
from lapishaven.net.datagrams import Datagrams
from lapishaven.net.loop import Loop
from lapishaven.proto import ProtocolError
from lapishaven.proto import load as proto


class LoadEndpoint:
    """``broker``: none until the server is up; it says that it wants nothing until then."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        random: Random,
        slots: int,
        broker: Callable[[], Broker | None],
        counters: Counters,
    ) -> None:
        self._loop, self._broker, self._counters = loop, broker, counters
        self._start, self._slots = random.getrandbits(32), slots
        self.reporter = LoadReporter(self._start, slots, loop.now)
        self._datagrams = Datagrams(loop, address, self._asked)

    def start_reporting(self, warm_from: float, warm_span: float) -> None:
        """The server is up, and wants ``warm_from`` of its share at first, all of it after ``warm_span`` seconds."""
        self.reporter = LoadReporter(self._start, self._slots, self._loop.now, warm_from, warm_span)

    def _news(self) -> load_report.LoadReport:
        broker = self._broker()
        if broker is None:
            return load_report.LoadReport(self._start, 0, 0, 0.0, self._slots, 0.0, 0.0)
        in_hand = Counter(request.submission.class_index for request in broker.requests.values())
        return self.reporter.report(self._loop.now, in_hand)

    def header_value(self) -> str:
        return load_report.encode_text(self._news())

    def _asked(self, data: bytes, sender: tuple[str, int]) -> None:
        try:
            id = proto.decode_probe(data)
        except ProtocolError:
            self._counters.add("load", "no questions")
            return
        self._counters.add("load", "questions")
        self._datagrams.send(proto.encode_answer(id, load_report.encode(self._news())), sender)

    def run_started(self, handle: str, cls: int) -> None:
        self.reporter.run_started(self._loop.now, handle, cls)

    def run_ended(self, handle: str, outcome: Outcome) -> None:
        failed = outcome in (Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT, Outcome.UNREACHABLE)
        self.reporter.run_ended(self._loop.now, handle, outcome is Outcome.OK, failed)

    def drain(self) -> None:
        self.reporter.draining = True

    def close(self) -> None:
        self._datagrams.close()
