"""What a client knows of the fleet and how it keeps to it: the ring, its window on it, the pace of changes."""

from lapishaven.client.fleet.aperture import Subset, placement_number, window_size
from lapishaven.client.fleet.dial_schedule import DeployInterval, DialSlots
from lapishaven.client.fleet.ring import Ring, ring_of, ring_with_removed

__all__ = [
    "Subset",
    "DeployInterval",
    "Ring",
    "DialSlots",
    "ring_with_removed",
    "ring_of",
    "placement_number",
    "window_size",
]
