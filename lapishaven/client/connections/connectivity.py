"""Groups the parts that manage connections, to pass them around as one value."""

from __future__ import annotations

from dataclasses import dataclass

from lapishaven.client.connections.dialer import Dialer
from lapishaven.client.connections.endpoint_table import EndpointTable
from lapishaven.client.connections.idle_timeouts import IdleTimeouts
from lapishaven.client.connections.probing import Prober


@dataclass(frozen=True, slots=True)
class Connectivity:
    """The endpoint table, and the parts that dial, probe and close its connections."""

    table: EndpointTable
    dialer: Dialer
    idle_timeouts: IdleTimeouts
    prober: Prober
