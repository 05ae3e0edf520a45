"""Chooses the runs to pause so that a starved pool regains the part of its share that other pools have borrowed.

Performs no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from lapishaven.admission import Idempotency, RequestClass
from lapishaven.pools.pool import Pool, PoolRun

MIN_SHARE_RUNS = 1e-9  # lower bound of a divisor, so that the ratio stays finite


def is_starved(pool: Pool, has_queue: bool, can_start: bool, limit: float) -> bool:
    """Whether a pool has requests queued and is below its share of the run limit ``limit``, but may not start a run."""
    return has_queue and pool.running + 1 <= pool.share * limit and not can_start


def is_preemption_due(pool: Pool, now: float, preempt_after_s: float) -> bool:
    """Whether a starved pool has been starved for ``preempt_after_s`` seconds.

    Begins to count these seconds when the pool has just become starved, and again each time that it returns true.
    """
    if pool.starved_since is None:
        pool.starved_since = now
        return False
    if now - pool.starved_since < preempt_after_s:
        return False
    pool.starved_since = now
    return True


def choose_victim(
    now: float,
    starved_pool: int,
    pools: Sequence[Pool],
    runs: Mapping[int, PoolRun],
    classes: Sequence[RequestClass],
    limit: float,
    speed: float,
    min_remaining_s: float,
) -> int | None:
    """The id of the run to pause in favour of the pool ``starved_pool``; ``None`` if there is none.

    It is the newest idempotent run of the pool that exceeds its share of the run limit ``limit`` by the highest ratio.
    If no more than ``min_remaining_s`` seconds of that run remain at the instance's ``speed``, the next such pool is
    tried.
    """
    over_share = [
        (pool.running / max(pool.share * limit, MIN_SHARE_RUNS), index)
        for index, pool in enumerate(pools)
        if index != starved_pool and pool.running > max(1.0, pool.share * limit)
    ]
    for _, index in sorted(over_share, reverse=True):
        candidates = [
            (run.started_at, request_id)
            for request_id, run in runs.items()
            if run.pool == index
            and not run.is_preempted
            and classes[run.class_index].idempotency is Idempotency.IDEMPOTENT
        ]
        if not candidates:
            continue
        started_at, request_id = max(candidates)
        remaining = runs[request_id].work / speed - (now - started_at)
        if remaining > min_remaining_s:
            return request_id
    return None
