"""Pools of request classes with guaranteed shares, and limits that follow the instance's measured capacity. Pure.

``Pools`` implements ``lapishaven.admission.AdmissionPools``: the controller goes on deciding, and asks the pools.
"""

from lapishaven.pools.pools import Pools
from lapishaven.pools.settings import PoolRule, PoolsError, PoolSettings, Reserve

__all__ = ["PoolRule", "PoolSettings", "Pools", "PoolsError", "Reserve"]
