"""One process's part in the fleet's work: a member with its driver, and a worker thread for the duties it owns."""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from lapishaven.ownership.driver import Driver, FaultPoint, ignore_fault_point
from lapishaven.ownership.fence import EffectRequest, Verdict
from lapishaven.ownership.fenced_store import Admission, FencedStoreError
from lapishaven.ownership.member import Member
from lapishaven.ownership.model import Clock, Coordinator, CoordinatorError, Shard
from lapishaven.ownership.notices import Notice, NoticeKind

IDLE_INTERVAL_S = 0.5  # between two steps of a duty that did not say when
RETRY_INTERVAL_S = 0.25  # until an effect without answer is sent again, or a step that failed is run again
MAX_ATTEMPTS = 3  # of one effect within one step
EFFECT_COUNT_INTERVAL = 64  # effects after which their count is recorded at the coordinator, at the latest
WORKER_WAKING_KINDS = frozenset(
    {NoticeKind.SHARD_GAINED, NoticeKind.SHARD_LOST, NoticeKind.SHARD_TRANSFERRED, NoticeKind.SESSION_ENDED}
)

Facts = Mapping[str, Any]
EventListener = Callable[[str, Facts], None]
ApplyEffect = Callable[[str, Any], Any]
"""``apply_effect(effect, detail)``: has the receiver apply one effect, and gives its answer."""


class Receiver(Protocol):
    """Where effects are sent to."""

    def admit(self, request: EffectRequest, effect: str, detail: Any) -> Admission:
        """Judge an effect and apply it. ``FencedStoreError``: it failed or got no answer; the same request may be
        sent again."""


class NotOwnerError(Exception):
    """The shard is not this member's (any more); the duty's step ends here."""


class ReceiverBehindError(Exception):
    """The receiver has lost effects that it acknowledged: an older copy was put back. Nothing more is sent for the
    shard under this token."""


class Duty(Protocol):
    """Work of the fleet, in shards. A step has to be safe to run again from any point."""

    name: str
    shards: int

    def step(self, shard_number: int, apply_effect: ApplyEffect, now: float) -> float:
        """Do what is due for one shard; gives the seconds until the next step. Lets ``NotOwnerError`` through."""


@dataclass(slots=True)
class PendingEffect:
    """An effect that was sent and may have been applied."""

    number: int
    effect: str
    detail: Any

    def is_same(self, effect: str, detail: Any) -> bool:
        """Whether sending ``effect`` again would be a repeat of this one."""
        return self.effect == effect and bool(self.detail == detail)


@dataclass(slots=True)
class ShardProgress:
    """What the worker keeps of a shard that this member owns."""

    token: int
    number: int = 0
    """Of the last effect under this token."""
    effect_count: int = 0
    """Effects that the receiver has acknowledged."""
    recorded_effect_count: int = 0
    """The count that the coordinator was last given."""
    due: float = 0.0
    pending: PendingEffect | None = None


@dataclass(slots=True)
class OwnershipCounters:
    """Counts for the gauges, since the start of the process."""

    effects_acknowledged: int = 0
    repeats: int = 0
    effects_stale: int = 0
    receiver_behind: int = 0
    failed: int = 0
    shards_gained: int = 0
    shards_lost: int = 0
    shards_transferred: int = 0
    outcomes_uncertain: int = 0
    joins: int = 0
    sessions_ended: int = 0

    def count_notice(self, kind: NoticeKind) -> None:
        """Count one notice of the member."""
        if kind is NoticeKind.SHARD_GAINED:
            self.shards_gained += 1
        elif kind is NoticeKind.SHARD_LOST:
            self.shards_lost += 1
        elif kind is NoticeKind.SHARD_TRANSFERRED:
            self.shards_transferred += 1
        elif kind is NoticeKind.OUTCOME_UNCERTAIN:
            self.outcomes_uncertain += 1
        elif kind is NoticeKind.JOINED:
            self.joins += 1
        elif kind is NoticeKind.SESSION_ENDED:
            self.sessions_ended += 1


def _ignore_event(kind: str, facts: Facts) -> None:
    pass


class Agent:
    """``start`` it, ask it to ``drain`` and wait with ``join``.

    ``on_event`` gets the words of ``NoticeKind`` with the facts, from two threads. ``progress_coordinator`` is the
    worker's own connection to the coordinator, on which it records effect counts; without one it records none.
    """

    def __init__(
        self,
        member: Member,
        coordinator: Coordinator,
        receiver: Receiver,
        duties: Sequence[Duty],
        clock: Clock,
        on_event: EventListener = _ignore_event,
        fault_point: FaultPoint = ignore_fault_point,
        progress_coordinator: Coordinator | None = None,
    ) -> None:
        self.member = member
        self.receiver = receiver
        self.clock = clock
        self.duties = {duty.name: duty for duty in duties}
        self.driver = Driver(member, coordinator, clock, self._on_notice, fault_point)
        self.counters = OwnershipCounters()
        self._on_event = on_event
        self._fault_point = fault_point
        self._progress_coordinator = progress_coordinator
        self._progress: dict[Shard, ShardProgress] = {}
        self._worker = threading.Thread(target=self._work, name="duties", daemon=True)
        self._wake = threading.Event()
        self._stopped = False

    def start(self) -> None:
        """Start both threads."""
        self.driver.start()
        self._worker.start()

    def drain(self) -> None:
        """Transfer everything, then end. Never blocks."""
        self.driver.drain()

    def join(self, timeout: float | None = None) -> bool:
        """Wait for the end after ``drain``, each thread for ``timeout`` seconds; whether the member has left."""
        self.driver.join(timeout)
        self._stopped = True
        self._wake.set()
        self._worker.join(timeout)
        return not self.driver.is_alive()

    def stop(self) -> None:
        """End at once: leases run out by themselves."""
        self._stopped = True
        self.driver.stop()
        self._wake.set()

    # ---- Notices of the member
    def _on_notice(self, notice: Notice) -> None:
        self.counters.count_notice(notice.kind)
        facts: dict[str, Any] = {}
        if notice.shard is not None:
            facts = _shard_facts(notice.shard, notice.token)
        if notice.reason:
            facts["why"] = notice.reason
        self._emit(notice.kind, facts)
        if notice.kind in WORKER_WAKING_KINDS:
            self._wake.set()

    def _emit(self, kind: NoticeKind, facts: Facts) -> None:
        self._on_event(kind.value, facts)

    # ---- The worker
    def _work(self) -> None:
        while not self._stopped:
            self._wake.clear()
            now = self.clock.now()
            self._update_progress(now)
            next_due = now + IDLE_INTERVAL_S
            for shard, progress in sorted(self._progress.items(), key=lambda item: item[0]):
                if self._stopped:
                    return
                if progress.due <= self.clock.now():
                    self._run_step(shard, progress)
                next_due = min(next_due, progress.due)
            self._wake.wait(max(0.0, next_due - self.clock.now()))

    def _update_progress(self, now: float) -> None:
        """Take over which shards the member owns, and what their receiver is known to hold."""
        with self.driver.lock:
            self.member.expire_lease(now)
            tokens = dict(self.member.assignment.tokens)
            effect_counts = self.member.view.effect_counts if self.member.view is not None else {}
        lost = [shard for shard, progress in self._progress.items() if tokens.get(shard) != progress.token]
        for shard in lost:
            del self._progress[shard]
        for shard, token in tokens.items():
            if shard not in self._progress:
                self._progress[shard] = ShardProgress(token)
        for shard, progress in self._progress.items():
            progress.effect_count = max(progress.effect_count, effect_counts.get(shard, 0))

    def _run_step(self, shard: Shard, progress: ShardProgress) -> None:
        duty_name, number = shard
        duty = self.duties.get(duty_name)
        if duty is None:
            progress.due = float("inf")
            return

        def apply_effect(effect: str, detail: Any) -> Any:
            """Apply one effect on this shard."""
            return self._apply_effect(shard, progress, effect, detail)

        try:
            delay = duty.step(number, apply_effect, self.clock.now())
        except NotOwnerError:
            delay = IDLE_INTERVAL_S
        except ReceiverBehindError:
            delay = float("inf")  # for as long as this token is in force; operators have been notified
        except Exception as error:
            # Whatever a step raises, the worker goes on: nobody else works on its other shards meanwhile.
            self.counters.failed += 1
            reason = str(error) if isinstance(error, FencedStoreError) else f"{type(error).__name__}: {error}"
            self._emit(NoticeKind.FAILED, {**_shard_facts(shard, progress.token), "why": reason})
            delay = RETRY_INTERVAL_S
        progress.due = self.clock.now() + delay

    # ---- Effects
    def _apply_effect(self, shard: Shard, progress: ShardProgress, effect: str, detail: Any) -> Any:
        """Send one effect until it is answered or the shard is another member's.

        The same effect as one that got no answer is sent as a repeat of it. Another one takes the next number: under
        the same one it would get the first one's answer without being applied.
        """
        number = self._effect_number(progress, effect, detail)
        progress.pending = PendingEffect(number, effect, detail)
        failures = 0
        while True:
            request = EffectRequest(shard, progress.token, number, progress.effect_count)
            try:
                admission = self._send(request, effect, detail)
            except FencedStoreError:
                failures += 1
                if failures >= MAX_ATTEMPTS:
                    raise
                self._wake.wait(RETRY_INTERVAL_S)
                continue
            return self._record_admission(shard, progress, number, effect, admission)

    @staticmethod
    def _effect_number(progress: ShardProgress, effect: str, detail: Any) -> int:
        pending = progress.pending
        if pending is None:
            return progress.number + 1
        return pending.number if pending.is_same(effect, detail) else pending.number + 1

    def _send(self, request: EffectRequest, effect: str, detail: Any) -> Admission:
        """Send a request once, while the member may act; the shard is not transferred before it is answered."""
        with self.driver.lock:
            if self._stopped or self.member.token(self.clock.now(), request.shard) != request.token:
                raise NotOwnerError
            self.member.assignment.begin_effect(request.shard)
        try:
            self._fault_point("before-act")
            try:
                admission = self.receiver.admit(request, effect, detail)
            except FencedStoreError:
                self._fault_point("after-act")
                raise
            self._fault_point("after-act")
        finally:
            with self.driver.lock:
                self.member.assignment.end_effect(request.shard)
            self.driver.wake()
        return admission

    def _record_admission(
        self, shard: Shard, progress: ShardProgress, number: int, effect: str, admission: Admission
    ) -> Any:
        facts = {**_shard_facts(shard, progress.token), "number": number, "effect": effect}
        if admission.verdict in (Verdict.ADMIT, Verdict.REPEAT):
            self.counters.effects_acknowledged += 1
            self.counters.repeats += admission.verdict is Verdict.REPEAT
            progress.number = number
            progress.effect_count = admission.effect_count
            progress.pending = None
            self._emit(NoticeKind.EFFECT_ACKNOWLEDGED, {**facts, "held": admission.effect_count})
            self._record_effect_count(shard, progress)
            return admission.answer
        if admission.verdict is Verdict.STALE:
            self.counters.effects_stale += 1
            self._emit(NoticeKind.EFFECT_STALE, {**facts, "in_force": admission.token})
            with self.driver.lock:
                self.member.effect_rejected(self.clock.now(), shard, progress.token, admission.token)
            self.driver.wake()
            raise NotOwnerError
        self.counters.receiver_behind += 1
        self._emit(
            NoticeKind.RECEIVER_BEHIND, {**facts, "known": progress.effect_count, "held": admission.effect_count}
        )
        raise ReceiverBehindError

    def _record_effect_count(self, shard: Shard, progress: ShardProgress) -> None:
        """Record at the coordinator how many effects the receiver holds: each time that the count has doubled, and
        every ``EFFECT_COUNT_INTERVAL``."""
        session = self.member.session.id
        if self._progress_coordinator is None or session is None:
            return
        count = progress.effect_count
        recorded = progress.recorded_effect_count
        if count <= recorded or count < min(2 * recorded, recorded + EFFECT_COUNT_INTERVAL):
            return
        try:
            self._progress_coordinator.record_effect_count(session, shard, progress.token, count)
        except CoordinatorError:
            return  # tried again after the next effect
        progress.recorded_effect_count = count


def _shard_facts(shard: Shard, token: int) -> dict[str, Any]:
    duty, number = shard
    return {"duty": duty, "shard": number, "token": token}
