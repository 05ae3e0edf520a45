"""Keeps several processes of one server from running an effect twice, by the log that they share.

In an upgrade the old and the new process accept on one socket, and either may get a repeat of what the other runs. A
process claims an effect in the log before it runs it, and the first claim in the log is the valid one. See
``docs/design/shared-effects.md``.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

from lapishaven.core.effect_records import ClaimRecord, ClaimWithdrawn, EffectAwaited, EffectClaim, EffectEnded
from lapishaven.core.peer_effect_table import EffectName, PeerEffect, PeerEffectTable, PeerRunState
from lapishaven.core.ports import EffectLog
from lapishaven.core.requests import Submission
from lapishaven.counters import Counters

COUNTERS = "shared effects"
POLL_INTERVAL_S = 0.01  # between two looks at the log while a duplicate waits for another process
MAX_SHARED_RESULT_BYTES = 32 * 1024  # duplicates of a larger result fail in the other processes


class ClaimRefusal(Enum):
    """Why an attempt must not run, although no other process is known to run its effect."""

    KNOWN_ATTEMPT = "known attempt"
    NOT_RECORDED = "not recorded"  # the claim could not be written, so that others would not know of the run


@dataclass(frozen=True, slots=True)
class OwnRun:
    """A run that this process has claimed and that has not ended."""

    submission: Submission
    class_name: str
    expires_at: float  # of its claim, Unix seconds

    @property
    def name(self) -> EffectName | None:
        """The effect; ``None`` without a key."""
        return effect_name(self.submission, self.class_name)


def effect_name(submission: Submission, class_name: str) -> EffectName | None:
    """The name of a submission's effect; ``None`` without a key."""
    return None if submission.idempotency_key is None else (class_name, submission.idempotency_key)


class PeerEffects:
    """What the other processes of this server have run, and what they are to know of this one's runs.

    Claims expire by the clock of the log. ``advance`` passes in the time on the host's clock, by which ``poll`` is due.
    """

    def __init__(self, log: EffectLog, result_limit_bytes: int, attempt_limit: int, counters: Counters) -> None:
        """``result_limit_bytes`` bounds the results kept, ``attempt_limit`` the number of attempts remembered."""
        self._log = log
        self._counters = counters
        self._table = PeerEffectTable(result_limit_bytes, attempt_limit, self._ended)
        self._own_runs: dict[str, OwnRun] = {}  # by attempt id
        self._own_attempts: dict[EffectName, str] = {}  # attempt ids of the keyed ones among them
        self._awaited: set[EffectName] = set()  # of these, for which a duplicate waits in another process
        self._pending: EffectName | None = None  # of the own claim that is being made; it precedes no record yet
        self._waited_for: dict[EffectName, PeerEffect] = {}
        self._settled: list[PeerEffect] = []  # ended while duplicates waited here, and not taken yet
        self._now = 0.0
        self._next_poll_at = 0.0
        self._is_claimed_here: Callable[[EffectName], bool] = lambda name: False

    def set_own_claims(self, is_claimed_here: Callable[[EffectName], bool]) -> None:
        """Set how to tell whether this process has claimed an effect itself, once it has a core."""
        self._is_claimed_here = is_claimed_here

    def advance(self, now: float) -> None:
        """Set the time."""
        self._now = now

    # ---- What others have run
    def refresh(self) -> None:
        """Learn what the other processes have appended."""
        # Ends first: the claim of each was appended before it, so it is found by then.
        ends = self._log.read_ends()
        self._apply(self._log.read_claims())
        for end in ends:
            self._table.apply_end(end)

    def find(self, name: EffectName) -> PeerEffect | None:
        """The effect if another process has claimed it; what was appended since ``refresh`` is not known."""
        return self._table.find(self._log.unix_time(), name)

    def is_known_attempt(self, attempt_id: str) -> bool:
        """Whether another process has claimed the attempt."""
        return self._table.is_known_attempt(self._log.unix_time(), attempt_id)

    def _apply(self, records: Iterable[ClaimRecord]) -> None:
        """Apply records of others in the order of the log."""
        for record in records:
            if isinstance(record, EffectClaim):
                name = (record.class_name, record.key) if record.key is not None else None
                is_claimed_here = name is not None and name != self._pending and self._is_claimed_here(name)
                self._table.apply_claim(self._log.unix_time(), record, is_claimed_here)
            elif isinstance(record, ClaimWithdrawn):
                self._table.apply_withdrawal(record)
            elif (record.class_name, record.key) in self._own_attempts:
                self._awaited.add((record.class_name, record.key))

    # ---- Own runs
    def claim(
        self, submission: Submission, class_name: str, attempt_retention_s: float, effect_retention_s: float
    ) -> ClaimRefusal | PeerEffect | None:
        """Claim a run that this process is about to start.

        Returns ``None`` if it may start, or why it must not: the effect if another process has claimed it before.
        """
        self._pending = effect_name(submission, class_name)
        try:
            self.refresh()
            known = self._known(submission, class_name)
            if known is not None:
                return known
            record = self._claim_record(submission, class_name, attempt_retention_s, effect_retention_s)
            is_recorded = self._log.append_claim(record)
            self._apply(self._log.take_claims())
        finally:
            self._pending = None
        known = self._known(submission, class_name)
        if known is not None:
            return known
        if not is_recorded:
            self._counters.add(COUNTERS, "not recorded")
            return ClaimRefusal.NOT_RECORDED
        run = self._own_runs[submission.attempt_id] = OwnRun(submission, class_name, record.effect_expires_at)
        if run.name is not None:
            self._own_attempts[run.name] = submission.attempt_id
        return None

    def _claim_record(
        self, submission: Submission, class_name: str, attempt_retention_s: float, effect_retention_s: float
    ) -> EffectClaim:
        unix_time = self._log.unix_time()
        has_key = submission.idempotency_key is not None
        return EffectClaim(
            self._log.owner,
            submission.attempt_id,
            class_name,
            submission.idempotency_key,
            submission.body_digest,
            unix_time,
            unix_time + attempt_retention_s,
            unix_time + (effect_retention_s if has_key else attempt_retention_s),
        )

    def _known(self, submission: Submission, class_name: str) -> ClaimRefusal | PeerEffect | None:
        """Why a run must not start for what another process has claimed; ``None`` if nothing is known."""
        name = effect_name(submission, class_name)
        effect = self.find(name) if name is not None else None
        if effect is not None:
            self._counters.add(COUNTERS, "claimed elsewhere")
            return effect
        return ClaimRefusal.KNOWN_ATTEMPT if self.is_known_attempt(submission.attempt_id) else None

    def withdraw(self, attempt_id: str) -> None:
        """Withdraw the claim of a run that provably had no effect; ignored if there is none."""
        run = self._remove_own(attempt_id)
        if run is not None:
            key = run.submission.idempotency_key
            self._log.append_claim(ClaimWithdrawn(self._log.owner, attempt_id, run.class_name, key))

    def run_ended(self, attempt_id: str, result: bytes | None) -> None:
        """Let the others know the end of a run; ignored if this process has not claimed it."""
        run = self._remove_own(attempt_id)
        if run is None or run.name is None:
            return
        if result is not None and len(result) > MAX_SHARED_RESULT_BYTES:
            self._counters.add(COUNTERS, "result too large")
            result = None
        self._log.append_end(EffectEnded(self._log.owner, attempt_id, *run.name, result, run.expires_at))

    def is_awaited(self, attempt_id: str) -> bool:
        """Whether a duplicate of an own run waits in another process."""
        run = self._own_runs.get(attempt_id)
        if run is None or run.name is None:
            return False
        self.refresh()
        return run.name in self._awaited

    def _remove_own(self, attempt_id: str) -> OwnRun | None:
        run = self._own_runs.pop(attempt_id, None)
        if run is not None and run.name is not None and self._own_attempts.get(run.name) == attempt_id:
            del self._own_attempts[run.name]
            self._awaited.discard(run.name)
        return run

    # ---- Duplicates that wait here
    def wait_for(self, effect: PeerEffect, request_id: int) -> None:
        """Have the request wait for the end of a run in another process; see ``take_settled``."""
        effect.waiting.append(request_id)
        if effect.name not in self._waited_for:
            self._waited_for[effect.name] = effect
            self._next_poll_at = self._now  # so that an owner that has died is noticed at once
            self._log.append_claim(EffectAwaited(self._log.owner, *effect.name))
            self._counters.add(COUNTERS, "waited for")

    def next_poll_at(self) -> float:
        """When ``poll`` next has something to do; infinite if no duplicate waits here."""
        if self._settled:
            return 0.0
        return self._next_poll_at if self._waited_for else float("inf")

    def poll(self, is_open: Callable[[int], bool]) -> None:
        """Look for the ends of the runs that are waited for, and for owners that have died.

        ``is_open`` tells whether the request with an id is still open.
        """
        if not self._waited_for or self._now < self._next_poll_at:
            return
        self._next_poll_at = self._now + POLL_INTERVAL_S
        self._forget_ended_waits(is_open)
        owners = {effect.owner for effect in self._waited_for.values()}
        dead = {owner for owner in owners if not self._log.is_alive(owner)}
        self.refresh()  # after the look at the owners, so that all that a dead one has appended is known
        for effect in list(self._waited_for.values()):
            if effect.owner in dead:
                self._counters.add(COUNTERS, "lost with its process")
                self._table.end(effect, PeerRunState.ENDED)

    def _forget_ended_waits(self, is_open: Callable[[int], bool]) -> None:
        for effect in list(self._waited_for.values()):
            effect.waiting = [request_id for request_id in effect.waiting if is_open(request_id)]
            if not effect.waiting:
                del self._waited_for[effect.name]

    def take_settled(self) -> list[PeerEffect]:
        """The effects that have ended while requests waited; ``waiting`` has their ids."""
        settled, self._settled = self._settled, []
        return settled

    def _ended(self, effect: PeerEffect) -> None:
        self._waited_for.pop(effect.name, None)
        if effect.waiting:
            self._settled.append(effect)
