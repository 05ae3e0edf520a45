"""The parts that look after connections, as one value to pass around."""

from __future__ import annotations

from dataclasses import dataclass

from lapishaven.client.connections.dialer import Dialer
from lapishaven.client.connections.endpoint_table import EndpointTable
from lapishaven.client.connections.idle_timeouts import IdleTimeouts
from lapishaven.client.connections.probing import Prober


@dataclass(frozen=True, slots=True)
class Connectivity:
    """The endpoint table, and what dials, probes and closes the connections in it."""

    table: EndpointTable
    dialer: Dialer
    idle_timeouts: IdleTimeouts
    prober: Prober
