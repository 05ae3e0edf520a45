"""The times and limits by which a member asks the coordinator."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipRules:
    """All times in seconds."""

    ttl: float = 3.0
    """Time to live of the lease."""

    margin: float = 0.3
    """Taken off ``ttl`` by the holder, for clocks that drift."""

    settling_time: float = 0.5
    """How long a member that has just joined is given no work."""

    max_settling_time: float = 30.0
    """The longest that ``settling_time`` grows to for a member that joins again and again."""

    stable_after: float = 60.0
    """Time as a member after which its earlier joins are forgotten."""

    poll_interval: float = 0.3
    """Between two polls of the revision, with up to ``poll_reference_members`` members; in proportion with more."""

    poll_reference_members: int = 50
    """Members up to which ``poll_interval`` does not grow."""

    fast_poll_interval: float = 0.04
    """Between two reads of the state while a shard is about to be transferred to this member."""

    transfer_delay: float = 0.8
    """How long a draining member keeps its shards, so that its successors poll fast by then."""

    rejoin_spread: float = 1.0
    """Joins after an outage are spread at random over this time."""

    claims_per_renewal: int = 32
    """Claims between two renewals at most."""
