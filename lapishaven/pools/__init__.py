"""Pools of request classes with guaranteed shares, and limits that follow the instance's measured capacity.

Pure: nothing here does I/O, apart from loading the settings, or reads a clock. ``Pools`` implements
``lapishaven.admission.AdmissionPools``: the controller makes the decisions and consults the pools.
"""

from lapishaven.pools.pools import Pools
from lapishaven.pools.settings import PoolRule, PoolsError, PoolSettings, Reserve

__all__ = ["PoolRule", "PoolSettings", "Pools", "PoolsError", "Reserve"]
