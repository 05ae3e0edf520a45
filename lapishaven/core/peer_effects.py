"""Keeps several processes of one server from running an effect twice, by the log that they share.

In an upgrade the old and the new process accept on one socket, and either may get a repeat of what the other runs. A
process claims an effect in the log before it runs it, and the first claim in the log is the valid one. See
``docs/design/shared-effects.md``.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from heapq import heappop, heappush

from lapishaven.core.deduplication import ClaimRegistry
from lapishaven.core.effect_records import ClaimRecord, ClaimWithdrawn, EffectAwaited, EffectClaim, EffectEnded
from lapishaven.core.ports import EffectLog
from lapishaven.core.requests import Submission
from lapishaven.counters import Counters

EffectName = tuple[str, str]
"""The name of a class and an idempotency key; processes may number their classes differently."""

COUNTERS = "shared effects"
POLL_INTERVAL_S = 0.01  # between two looks at the log while a duplicate waits for another process
# A claim of another process counts this much longer than there, so that the two clocks' readings need not agree.
EXPIRY_MARGIN_S = 1.0
MAX_SHARED_RESULT_BYTES = 32 * 1024  # duplicates of a larger result fail in the other processes


class PeerRunState(Enum):
    """What is known of a run in another process."""

    RUNNING = "running"
    ENDED = "ended"  # with or without a result
    WITHDRAWN = "withdrawn"  # it provably had no effect


@dataclass(slots=True, eq=False)
class PeerEffect:
    """An effect that another process of this server has claimed."""

    name: EffectName
    owner: str  # id of that process
    attempt_id: str
    body_digest: bytes | None  # of the body that its key stands for; None if bodies are not compared
    expires_at: float  # seconds on the host's clock
    state: PeerRunState = PeerRunState.RUNNING
    result: bytes | None = None  # of a run that has ended; None if it gave none, or it was evicted
    waiting: list[int] = field(default_factory=list)  # request ids of the duplicates that wait for its end


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


class PeerEffects:
    """What the other processes of this server have run, and what they are to know of this one's runs.

    ``advance`` passes in the time, in seconds on the host's clock, which all other methods go by.
    """

    def __init__(self, log: EffectLog, memory_bytes: int, attempt_limit: int, counters: Counters) -> None:
        """``memory_bytes`` bounds the results kept, ``attempt_limit`` the number of attempts remembered."""
        self._log = log
        self._counters = counters
        self._result_limit_bytes = memory_bytes
        self._result_bytes = 0
        self._attempts = ClaimRegistry(0.0, attempt_limit)  # of others
        self._effects: dict[EffectName, PeerEffect] = {}
        self._expiries: list[tuple[float, EffectName]] = []  # heap
        self._with_result: deque[PeerEffect] = deque()  # oldest first
        self._own_runs: dict[str, OwnRun] = {}  # by attempt id
        self._own_attempts: dict[EffectName, str] = {}  # attempt ids of the keyed ones among them
        self._awaited: set[EffectName] = set()  # of these, for which a duplicate waits in another process
        self._waited_for: dict[EffectName, PeerEffect] = {}
        self._settled: list[PeerEffect] = []  # ended while duplicates waited here, and not taken yet
        self._pending: EffectName | None = None  # of the own claim that is being made; it precedes no record yet
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
        self._apply_claims(self._log.read_claims())
        for end in ends:
            self._apply_end(end)

    def find(self, name: EffectName) -> PeerEffect | None:
        """The effect if another process has claimed it; what was appended since ``refresh`` is not known."""
        self._expire()
        return self._effects.get(name)

    def is_known_attempt(self, attempt_id: str) -> bool:
        """Whether another process has claimed the attempt."""
        return self._attempts.is_claimed(attempt_id)

    # ---- Own runs
    def claim(
        self, submission: Submission, class_name: str, attempt_retention_s: float, effect_retention_s: float
    ) -> ClaimRefusal | PeerEffect | None:
        """Claim a run that this process is about to start.

        Returns ``None`` if it may start, or why it must not: the effect if another process has claimed it before.
        """
        name = self._name_of(submission, class_name)
        self._pending = name
        try:
            return self._claim(submission, class_name, name, attempt_retention_s, effect_retention_s)
        finally:
            self._pending = None

    def _claim(
        self,
        submission: Submission,
        class_name: str,
        name: EffectName | None,
        attempt_retention_s: float,
        effect_retention_s: float,
    ) -> ClaimRefusal | PeerEffect | None:
        self.refresh()
        known = self._known(submission, name)
        if known is not None:
            return known
        unix_time = self._log.unix_time()
        record = EffectClaim(
            self._log.owner,
            submission.attempt_id,
            class_name,
            submission.idempotency_key,
            submission.body_digest,
            unix_time + attempt_retention_s,
            unix_time + (effect_retention_s if name is not None else attempt_retention_s),
        )
        is_recorded = self._log.append_claim(record)
        self._apply_claims(self._log.take_claims())
        known = self._known(submission, name)
        if known is not None:
            return known
        if not is_recorded:
            self._counters.add(COUNTERS, "not recorded")
            return ClaimRefusal.NOT_RECORDED
        self._own_runs[submission.attempt_id] = OwnRun(submission, class_name, record.effect_expires_at)
        if name is not None:
            self._own_attempts[name] = submission.attempt_id
        return None

    def _known(self, submission: Submission, name: EffectName | None) -> ClaimRefusal | PeerEffect | None:
        """Why a run must not start for what another process has claimed; ``None`` if nothing is known."""
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
        if run is None or run.submission.idempotency_key is None:
            return
        if result is not None and len(result) > MAX_SHARED_RESULT_BYTES:
            self._counters.add(COUNTERS, "result too large")
            result = None
        key = run.submission.idempotency_key
        self._log.append_end(EffectEnded(self._log.owner, run.class_name, key, result, run.expires_at))

    def is_awaited(self, attempt_id: str) -> bool:
        """Whether a duplicate of an own run waits in another process."""
        run = self._own_runs.get(attempt_id)
        name = self._name_of(run.submission, run.class_name) if run is not None else None
        if name is None:
            return False
        self.refresh()
        return name in self._awaited

    def _remove_own(self, attempt_id: str) -> OwnRun | None:
        run = self._own_runs.pop(attempt_id, None)
        name = self._name_of(run.submission, run.class_name) if run is not None else None
        if name is not None:
            self._own_attempts.pop(name, None)
            self._awaited.discard(name)
        return run

    @staticmethod
    def _name_of(submission: Submission, class_name: str) -> EffectName | None:
        return None if submission.idempotency_key is None else (class_name, submission.idempotency_key)

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
                self._settle(effect, PeerRunState.ENDED)

    def _forget_ended_waits(self, is_open: Callable[[int], bool]) -> None:
        for effect in list(self._waited_for.values()):
            effect.waiting = [request_id for request_id in effect.waiting if is_open(request_id)]
            if not effect.waiting:
                del self._waited_for[effect.name]

    def take_settled(self) -> list[PeerEffect]:
        """The effects that have ended while requests waited; ``waiting`` has their ids."""
        settled, self._settled = self._settled, []
        return settled

    def _settle(self, effect: PeerEffect, state: PeerRunState) -> None:
        if effect.state is not PeerRunState.RUNNING:
            return
        effect.state = state
        self._waited_for.pop(effect.name, None)
        if effect.waiting:
            self._settled.append(effect)

    # ---- Records of others
    def _apply_claims(self, records: Iterable[ClaimRecord]) -> None:
        """Apply records in the order of the log."""
        for record in records:
            if isinstance(record, EffectClaim):
                self._apply_claim(record)
            elif isinstance(record, ClaimWithdrawn):
                self._apply_withdrawal(record)
            elif (record.class_name, record.key) in self._own_attempts:
                self._awaited.add((record.class_name, record.key))

    def _apply_claim(self, claim: EffectClaim) -> None:
        unix_time = self._log.unix_time()
        attempt_time_left = claim.attempt_expires_at + EXPIRY_MARGIN_S - unix_time
        if attempt_time_left > 0 and claim.attempt_id not in self._own_runs:
            self._attempts.expire(self._now)
            self._attempts.claim(self._now, claim.attempt_id, attempt_time_left)
        time_left = claim.effect_expires_at + EXPIRY_MARGIN_S - unix_time
        if claim.key is None or time_left <= 0:
            return
        name = (claim.class_name, claim.key)
        is_own = name != self._pending and self._is_claimed_here(name)
        if is_own or self.find(name) is not None:
            return  # a claim of the same effect precedes it
        effect = PeerEffect(name, claim.owner, claim.attempt_id, claim.body_digest, self._now + time_left)
        self._effects[name] = effect
        heappush(self._expiries, (effect.expires_at, name))

    def _apply_withdrawal(self, record: ClaimWithdrawn) -> None:
        if record.attempt_id not in self._own_runs:
            self._attempts.release(record.attempt_id)
        effect = self._effects.get((record.class_name, record.key)) if record.key is not None else None
        if effect is not None and (effect.owner, effect.attempt_id) == (record.owner, record.attempt_id):
            del self._effects[effect.name]
            self._settle(effect, PeerRunState.WITHDRAWN)

    def _apply_end(self, record: EffectEnded) -> None:
        effect = self._effects.get((record.class_name, record.key))
        if effect is None or effect.owner != record.owner or effect.state is not PeerRunState.RUNNING:
            return
        effect.result = record.result
        self._settle(effect, PeerRunState.ENDED)
        if record.result is not None:
            self._result_bytes += len(record.result)
            self._with_result.append(effect)
            self._evict_results()

    def _evict_results(self) -> None:
        while self._with_result and self._result_bytes > self._result_limit_bytes:
            self._drop_result(self._with_result.popleft())

    def _drop_result(self, effect: PeerEffect) -> None:
        self._result_bytes -= len(effect.result or b"")
        effect.result = None

    def _expire(self) -> None:
        while self._expiries and self._expiries[0][0] <= self._now:
            expires_at, name = heappop(self._expiries)
            effect = self._effects.get(name)
            if effect is not None and effect.expires_at == expires_at:
                del self._effects[name]
                self._settle(effect, PeerRunState.ENDED)
        while self._with_result and self._with_result[0].expires_at <= self._now:
            self._drop_result(self._with_result.popleft())
