"""Records of the log that the processes of one server share, from which each learns what the others have run.

Times are Unix seconds. ``owner`` is the id of the process that appended the record.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EffectClaim:
    """A process is about to run an attempt.

    Of the claims of one effect that are made before the first of them expires, that first one in the log is valid.
    """

    owner: str
    attempt_id: str
    class_name: str
    key: str | None  # idempotency key; None if the attempt has none
    body_digest: bytes | None  # of the request's body; None if the key is, or if an earlier version made the claim
    claimed_at: float
    attempt_expires_at: float  # until then another request with this attempt id must not run
    effect_expires_at: float  # until then another attempt with this class and key must not run


@dataclass(frozen=True, slots=True)
class ClaimWithdrawn:
    """The claimed run provably had no effect, so the effect may be claimed anew."""

    owner: str
    attempt_id: str
    class_name: str
    key: str | None


@dataclass(frozen=True, slots=True)
class EffectAwaited:
    """A duplicate of an effect that another process runs waits in this one, so the run must not be stopped."""

    owner: str
    class_name: str
    key: str


@dataclass(frozen=True, slots=True)
class EffectEnded:
    """The run of a keyed effect has ended."""

    owner: str
    attempt_id: str
    class_name: str
    key: str
    result: bytes | None  # None if it gave no result, or one that is too large to share
    expires_at: float  # the expiry of the effect's claim


ClaimRecord = EffectClaim | ClaimWithdrawn | EffectAwaited
"""A record whose order decides; ``EffectEnded`` is kept apart, as its order does not matter."""
EffectRecord = ClaimRecord | EffectEnded
