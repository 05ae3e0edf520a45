"""What a client knows of the fleet and how it keeps to it: the ring, its window on it, the pace of changes."""

from lapishaven.client.fleet.aperture import Dealt, ticket, width
from lapishaven.client.fleet.dial_schedule import Pace, Turns
from lapishaven.client.fleet.ring import Ring, ring_for, ring_of

__all__ = ["Dealt", "Pace", "Ring", "Turns", "ring_for", "ring_of", "ticket", "width"]
