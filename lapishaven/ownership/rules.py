"""Timing and limits of a member's calls to the coordinator."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipRules:
    """All times in seconds."""

    ttl: float = 3.0
    """Time to live of the lease."""

    margin: float = 0.3
    """Subtracted from ``ttl`` by the holder, to allow for clock drift."""

    settling_time: float = 0.5
    """How long a member that has just joined takes no work."""

    max_settling_time: float = 30.0
    """Bound of ``settling_time``, which grows for a member that joins repeatedly."""

    stable_after: float = 60.0
    """Duration of a session after which the member's earlier joins are forgotten."""

    poll_interval: float = 0.3
    """Interval between two polls of the revision with up to ``poll_reference_members`` members; with more it grows in
    proportion."""

    poll_reference_members: int = 50
    """Number of members up to which ``poll_interval`` does not grow."""

    fast_poll_interval: float = 0.04
    """Interval between two reads of the state while a shard is about to be transferred to this member."""

    transfer_delay: float = 0.8
    """How long a draining member keeps its shards, so that its successors have switched to fast polling."""

    rejoin_spread: float = 1.0
    """Period over which members that lost their sessions spread their joins at random."""

    claims_per_renewal: int = 32
    """Most claims between two renewals."""
