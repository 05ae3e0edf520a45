"""A member's shards: which it owns, which to claim, and which to transfer to which successor. Pure.

Claims and transfers follow from the view by ``placement``, which is deterministic: every member with the same view
computes the same plan.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from random import Random

from lapishaven.ownership.model import MemberState, Shard, View
from lapishaven.ownership.notices import NoticeKind, NoticeQueue
from lapishaven.ownership.operations import Claim, Completed, Outcome, Transfer, Unknown
from lapishaven.ownership.placement import Candidate, cached_placement
from lapishaven.ownership.rules import MembershipRules

SHEDDING_WEIGHT_FACTOR = 0.5  # applied to a member's weight while it sheds load


class ShardAssignment:
    """Tokens of the owned shards, and the claims and transfers that are due."""

    def __init__(
        self,
        name: str,
        weight: float,
        shards: Sequence[Shard],
        rules: MembershipRules,
        random: Random,
        notices: NoticeQueue,
    ) -> None:
        self.shards = tuple(shards)
        self.tokens: dict[Shard, int] = {}
        """The fencing token of each shard that this member owns."""
        self.transfer_expected = False
        """Whether another member is about to transfer a shard to this one."""
        self._name = name
        self._full_weight = weight
        self._rules = rules
        self._random = random
        self._notices = notices
        self._effects_in_flight: set[Shard] = set()  # not transferred before their effect ends
        self._shed_until: dict[Shard, float] = {}  # shards shed for overload, not claimed before this instant
        self._shedding_until = 0.0
        self._claims: list[Shard] = []
        self._transfers: list[tuple[Shard, int | None]] = []  # with the successor's session, None for nobody
        self._transfer_expected_since: float | None = None
        self._claims_left = rules.claims_per_renewal

    # ---- Effects
    def begin_effect(self, shard: Shard) -> None:
        """Prevent the shard's transfer until ``end_effect``."""
        self._effects_in_flight.add(shard)

    def end_effect(self, shard: Shard) -> None:
        """Allow the shard's transfer again: the effect was answered or has failed."""
        self._effects_in_flight.discard(shard)

    # ---- Shedding load
    def shed(self, now: float, shard: Shard, duration: float, view: View | None) -> None:
        """Queue the transfer of a shard, and announce a reduced weight for ``duration`` seconds."""
        if shard in self.tokens:
            self._shedding_until = now + duration
            self._shed_until[shard] = self._shedding_until
            self._transfers.append((shard, self._successors(view).get(shard)))

    def extend_shedding(self, now: float, duration: float) -> None:
        """If the member is shedding, announce the reduced weight for ``duration`` seconds from now."""
        if now < self._shedding_until:
            self._shedding_until = now + duration
            self._shed_until = {shard: self._shedding_until for shard in self._shed_until}

    def weight(self, now: float) -> float:
        """The weight that the member should announce now."""
        return self._full_weight * SHEDDING_WEIGHT_FACTOR if now < self._shedding_until else self._full_weight

    # ---- Operations
    @property
    def transfers_pending(self) -> bool:
        """Whether any shard is queued for transfer."""
        return bool(self._transfers)

    def reset_claim_allowance(self) -> None:
        """Restore the number of claims allowed between two renewals."""
        self._claims_left = self._rules.claims_per_renewal

    def next_transfer(self, session: int) -> Transfer | None:
        """The next queued transfer; None without one, or while an effect is in flight on its shard."""
        while self._transfers:
            shard, successor = self._transfers[0]
            if shard in self._effects_in_flight:
                return None
            self._transfers.pop(0)
            if shard in self.tokens:
                return self._transfer(session, shard, successor)
        return None

    def next_claim(self, now: float, session: int) -> Claim | None:
        """The next planned claim; None without one, or if no more are allowed before the next renewal."""
        while self._claims and self._claims_left > 0:
            shard = self._claims.pop(0)
            if shard not in self.tokens and self._shed_until.get(shard, now) <= now:
                self._claims_left -= 1
                return Claim(session, shard)
        return None

    def next_draining_transfer(self, session: int, view: View | None) -> Transfer | None:
        """The next transfer of a draining member, which gives up all its shards."""
        successors = self._successors(view)
        for shard in sorted(self.tokens):
            if shard not in self._effects_in_flight:
                return self._transfer(session, shard, successors.get(shard))
        return None

    def _transfer(self, session: int, shard: Shard, successor: int | None) -> Transfer:
        # Dropped before the transfer is sent: no effect may use a token that the coordinator may already have replaced.
        token = self.tokens.pop(shard)
        self._notices.add(NoticeKind.SHARD_TRANSFERRED, shard, token)
        return Transfer(session, shard, token, successor)

    # ---- Outcomes
    def record_claim(self, claim: Claim, outcome: Outcome) -> bool:
        """Take the outcome of a claim; returns False if the state has to be read again."""
        if isinstance(outcome, Completed):
            assert isinstance(outcome.value, int)
            self.tokens[claim.shard] = outcome.value
            self._notices.add(NoticeKind.SHARD_GAINED, claim.shard, outcome.value)
            return True
        if isinstance(outcome, Unknown):
            self._notices.add(
                NoticeKind.OUTCOME_UNCERTAIN, claim.shard, reason="no answer to a claim, the state is read back"
            )
        return False

    def lose_all(self, reason: str) -> None:
        """Give up all shards: the session has ended."""
        for shard, token in self.tokens.items():
            self._notices.add(NoticeKind.SHARD_LOST, shard, token, reason)
        self.tokens.clear()
        self._claims.clear()
        self._transfers.clear()

    def update(self, now: float, session: int, view: View, draining: bool) -> None:
        """Adopt the owners in the view, and plan claims and transfers from it."""
        self._reconcile(session, view)
        self._shed_until = {shard: ends_at for shard, ends_at in self._shed_until.items() if ends_at > now}
        placement = cached_placement(self.shards, _candidates(view), _owner_names(view))
        self._plan_claims(view, placement)
        self._plan_transfers(view, placement, draining)
        self._expect_transfers(now, session, view, placement)

    def _reconcile(self, session: int, view: View) -> None:
        listed = {shard: owner.token for shard, owner in view.owners.items() if owner.session == session}
        for shard in list(self.tokens):
            if listed.get(shard) != self.tokens[shard]:
                token = self.tokens.pop(shard)
                self._notices.add(
                    NoticeKind.SHARD_LOST,
                    shard,
                    token,
                    "the coordinator no longer lists this member as the owner under this token",
                )
        for shard, token in listed.items():
            if shard not in self.tokens:
                self.tokens[shard] = token
                self._notices.add(NoticeKind.SHARD_GAINED, shard, token)

    def _plan_claims(self, view: View, placement: Mapping[Shard, str]) -> None:
        self._claims = [
            shard
            for shard, name in placement.items()
            if name == self._name and shard not in view.owners and shard not in self._shed_until
        ]
        self._random.shuffle(self._claims)

    def _plan_transfers(self, view: View, placement: Mapping[Shard, str], draining: bool) -> None:
        sessions = _sessions_by_name(view)
        transfers = [
            (shard, sessions.get(placement[shard]))
            for shard in sorted(self.tokens)
            if placement.get(shard, self._name) != self._name and not draining
        ]
        shed = [shard for shard in self._shed_until if shard in self.tokens]
        if shed:
            successors = self._successors(view)
            transfers = [(shard, successors.get(shard)) for shard in shed] + transfers
        self._transfers = transfers

    def _expect_transfers(self, now: float, session: int, view: View, placement: Mapping[Shard, str]) -> None:
        """Decide whether another member is about to transfer a shard here. That is expected for at most one lease time:
        an operator may hold a shard for hours, and a dead owner transfers nothing."""
        planned = any(
            name == self._name and shard in view.owners and view.owners[shard].session != session
            for shard, name in placement.items()
        )
        if not planned:
            self._transfer_expected_since = None
        elif self._transfer_expected_since is None:
            self._transfer_expected_since = now
        self.transfer_expected = (
            self._transfer_expected_since is not None and now - self._transfer_expected_since < self._rules.ttl
        )

    def _successors(self, view: View | None) -> dict[Shard, int]:
        """The session that would own each shard without this member."""
        if view is None:
            return {}
        sessions = _sessions_by_name(view)
        others = [candidate for candidate in _candidates(view) if candidate.name != self._name]
        placement = cached_placement(self.shards, others, _owner_names(view))
        return {shard: sessions[name] for shard, name in placement.items()}


def _candidates(view: View) -> list[Candidate]:
    return [
        Candidate(member.record.name, member.record.weight)
        for member in view.members
        if member.record.state is MemberState.SERVING
    ]


def _sessions_by_name(view: View) -> dict[str, int]:
    return {member.record.name: member.session for member in view.members}


def _owner_names(view: View) -> dict[Shard, str]:
    """The name of each shard's owner; empty if its session is no longer listed."""
    names = {member.session: member.record.name for member in view.members}
    return {shard: names.get(owner.session, "") for shard, owner in view.owners.items()}
