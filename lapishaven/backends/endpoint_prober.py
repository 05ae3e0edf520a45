"""Sends the load balancer's probes over one UDP socket and detects unresponsive endpoints."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from lapishaven.counters import Counters
from lapishaven.load_balancing import Choice, LoadBalancer, LoadReportError, Probe, decode
from lapishaven.net.datagrams import DatagramSocket
from lapishaven.net.loop import Loop
from lapishaven.proto import ProtocolError
from lapishaven.proto import load as load_protocol

ANY_ADDRESS = ("0.0.0.0", 0)
NEVER = float("inf")


class EndpointProber:
    """Sends probes, passes their answers to the balancer, and reports suspected endpoints.

    Parameters:
        addresses: host and port by endpoint.
        choice_completed: called with a choice when the last of its probes is answered.
        endpoint_suspected: called at each check with the name of each suspected endpoint.
    """

    def __init__(
        self,
        loop: Loop,
        balancer: LoadBalancer,
        addresses: Mapping[str, tuple[str, int]],
        counters: Counters,
        choice_completed: Callable[[Choice], None],
        endpoint_suspected: Callable[[str], None],
    ) -> None:
        self._loop = loop
        self._balancer = balancer
        self._addresses = addresses
        self._counters = counters
        self._choice_completed = choice_completed
        self._endpoint_suspected = endpoint_suspected
        self._next_check_at = NEVER
        self._datagrams = DatagramSocket(loop, ANY_ADDRESS, self._receive)

    def send(self, probes: Sequence[Probe]) -> None:
        """Send probes to their endpoints."""
        for probe in probes:
            self._datagrams.send(load_protocol.encode_probe(probe.probe_id), self._addresses[probe.endpoint])

    def _receive(self, data: bytes, sender: tuple[str, int]) -> None:
        try:
            probe_id, report = load_protocol.decode_answer(data)
            choice = self._balancer.receive_probe_answer(self._loop.now, probe_id, decode(report))
        except (ProtocolError, LoadReportError):
            self._counters.add("spread", "no answers")
            return
        if choice is not None:
            self._choice_completed(choice)

    def schedule_check(self) -> None:
        """Schedule the balancer's next responsiveness check; to be called after each probe and attempt."""
        check_at = self._balancer.next_check_at()
        if check_at < self._next_check_at:
            self._next_check_at = check_at
            self._loop.at(check_at, self._check_responsiveness)

    def _check_responsiveness(self) -> None:
        """Probe endpoints that have not responded lately, and report the suspected ones."""
        now = self._loop.now
        if now < self._next_check_at:
            return
        self._next_check_at = NEVER
        probes, newly_suspected = self._balancer.check_responsiveness(now)
        self.send(probes)
        if newly_suspected:
            self._counters.add("spread", "fell silent", len(newly_suspected))
        for endpoint in list(self._balancer.failure_detector.suspects):
            self._endpoint_suspected(endpoint.name)
        self.schedule_check()

    def close(self) -> None:
        """Close the socket."""
        self._datagrams.close()
