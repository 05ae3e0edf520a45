"""Pools by class with a reserve, and limits that follow each box's measured capacity. Pure, no I/O.

The Controller goes on deciding; it asks ``Pools`` through the port in ``admission/ports.py``.
"""

from lapishaven.pools.pools import Pools
from lapishaven.pools.settings import PoolRule, PoolsError, PoolSettings, Reserve

__all__ = ["PoolRule", "PoolSettings", "Pools", "PoolsError", "Reserve"]
