"""Connections of a client in a large fleet: endpoint lists, subsets, connection manager and dial schedule.

- ``endpoint_list``: immutable versions of the service registry's list;
- ``ring`` and ``aperture``: choose the subset of the endpoints that one client keeps connected;
- ``dial_schedule``: the time slots in which clients dial, and the interval between the batches of a deploy;
- ``reachability``: whether an endpoint may be dialled;
- ``connection_manager``: combines these to choose the next dial.
"""

from lapishaven.client.fleet.aperture import Subset, placement_number, window_size
from lapishaven.client.fleet.dial_schedule import DeployInterval, DialSlots
from lapishaven.client.fleet.ring import Ring, ring_of, ring_with_removed

__all__ = [
    "DeployInterval",
    "DialSlots",
    "Ring",
    "Subset",
    "placement_number",
    "ring_of",
    "ring_with_removed",
    "window_size",
]
