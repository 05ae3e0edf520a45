"""Runs one process's membership: a driver thread for the member, and a worker thread for the shards that it owns."""

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

IDLE_INTERVAL_S = 0.5  # longest wait of the worker between two passes over its shards
RETRY_INTERVAL_S = 0.25  # before an unanswered effect is sent again or a failed step is run again
MAX_ATTEMPTS = 3  # to send one effect within one step
EFFECT_COUNT_INTERVAL = 64  # most effects between two records of their count at the coordinator
WORKER_WAKING_KINDS = frozenset(
    {NoticeKind.SHARD_GAINED, NoticeKind.SHARD_LOST, NoticeKind.SHARD_TRANSFERRED, NoticeKind.SESSION_ENDED}
)

EventFields = Mapping[str, Any]
EventListener = Callable[[str, EventFields], None]
ApplyEffect = Callable[[str, Any], Any]
"""``apply_effect(effect, detail)``: send one effect to the receiver and return its answer."""


class Receiver(Protocol):
    """Accepts effects and applies those that pass the fence."""

    def admit(self, request: EffectRequest, effect: str, detail: Any) -> Admission:
        """Judge an effect and apply it if admitted. Raises ``FencedStoreError`` if that failed or got no answer; the
        same request may then be sent again."""


class NotOwnerError(Exception):
    """This member does not own the shard, or may no longer act on it; the duty's step ends."""


class ReceiverBehindError(Exception):
    """The receiver lacks effects that it had acknowledged, as after a restore from an older copy. Nothing more is sent
    for the shard under this token."""


class Duty(Protocol):
    """Work of the fleet, divided into shards. A step must be safe to run again from any point."""

    name: str
    shards: int

    def step(self, shard_number: int, apply_effect: ApplyEffect, now: float) -> float:
        """Do what is due for one shard; returns the seconds until the next step. Must not catch ``NotOwnerError``."""


@dataclass(slots=True)
class PendingEffect:
    """An effect that was sent and not answered: it may have been applied."""

    number: int
    effect: str
    detail: Any
    begun_at: float = 0.0
    """When the lease was last checked for it, just before it was sent, in seconds of the agent's clock."""

    def is_same(self, effect: str, detail: Any) -> bool:
        """Whether sending ``effect`` with ``detail`` would repeat this one."""
        return self.effect == effect and bool(self.detail == detail)


@dataclass(slots=True)
class ShardProgress:
    """The worker's state of one shard that this member owns."""

    token: int
    number: int = 0
    """Number of the last acknowledged effect under this token."""
    effect_count: int = 0
    """How many effects of the shard the receiver is known to hold."""
    recorded_effect_count: int = 0
    """The count that was last recorded at the coordinator."""
    next_step_at: float = 0.0
    pending: PendingEffect | None = None


@dataclass(slots=True)
class OwnershipCounters:
    """Totals since the start of the process, shown as gauges."""

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
        """Increment the counter of a notice's kind, if it has one."""
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


def _ignore_event(kind: str, fields: EventFields) -> None:
    pass


class Agent:
    """Runs the driver and the worker of one member. Call ``start``, then ``drain`` and ``join`` to shut down.

    ``on_event`` is called from both threads, with a value of ``NoticeKind`` and the fields of the event.
    ``progress_coordinator`` is the worker's own connection to the coordinator, on which it records effect counts;
    without one it records none.
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
        """Transfer all shards, deregister and end, in the background. Never blocks."""
        self.driver.drain()

    def join(self, timeout_s: float | None = None) -> bool:
        """Wait for both threads to end after ``drain``, each for at most ``timeout_s``; returns whether the driver has
        ended."""
        self.driver.join(timeout_s)
        self._stopped = True
        self._wake.set()
        self._worker.join(timeout_s)
        return not self.driver.is_alive()

    def stop(self) -> None:
        """End both threads without transferring anything; the lease expires by itself."""
        self._stopped = True
        self.driver.stop()
        self._wake.set()

    # ---- Notices
    def _on_notice(self, notice: Notice) -> None:
        self.counters.count_notice(notice.kind)
        fields: dict[str, Any] = {}
        if notice.shard is not None:
            fields = _shard_fields(notice.shard, notice.token)
        if notice.reason:
            fields["why"] = notice.reason
        self._emit(notice.kind, fields)
        if notice.kind in WORKER_WAKING_KINDS:
            self._wake.set()

    def _emit(self, kind: NoticeKind, fields: EventFields) -> None:
        self._on_event(kind.value, fields)

    # ---- Worker thread
    def _work(self) -> None:
        while not self._stopped:
            self._wake.clear()
            now = self.clock.now()
            self._update_progress(now)
            next_pass_at = now + IDLE_INTERVAL_S
            for shard, progress in sorted(self._progress.items(), key=lambda item: item[0]):
                if self._stopped:
                    return
                if progress.next_step_at <= self.clock.now():
                    self._run_step(shard, progress)
                next_pass_at = min(next_pass_at, progress.next_step_at)
            self._wake.wait(max(0.0, next_pass_at - self.clock.now()))

    def _update_progress(self, now: float) -> None:
        """Refresh which shards the member owns, and how many effects their receiver is known to hold."""
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
            progress.next_step_at = float("inf")
            return

        def apply_effect(effect: str, detail: Any) -> Any:
            """Apply one effect on this shard."""
            return self._apply_effect(shard, progress, effect, detail)

        try:
            delay = duty.step(number, apply_effect, self.clock.now())
        except NotOwnerError:
            delay = IDLE_INTERVAL_S
        except ReceiverBehindError:
            delay = float("inf")  # not retried under this token; operators were notified by RECEIVER_BEHIND
        except Exception as error:
            # A fault in one step must not end the worker: the other shards of this member have no other worker.
            self.counters.failed += 1
            reason = str(error) if isinstance(error, FencedStoreError) else f"{type(error).__name__}: {error}"
            self._emit(NoticeKind.FAILED, {**_shard_fields(shard, progress.token), "why": reason})
            delay = RETRY_INTERVAL_S
        progress.next_step_at = self.clock.now() + delay

    # ---- Effects
    def _apply_effect(self, shard: Shard, progress: ShardProgress, effect: str, detail: Any) -> Any:
        """Send one effect, up to ``MAX_ATTEMPTS`` times while it is not answered.

        An effect equal to the unanswered one is sent under the same number, as a repeat. A different effect takes the
        next number: under the same number the receiver would return the first one's answer without applying it.
        """
        number = self._effect_number(progress, effect, detail)
        progress.pending = pending = PendingEffect(number, effect, detail)
        failures = 0
        while True:
            request = EffectRequest(shard, progress.token, number, progress.effect_count)
            try:
                admission = self._send(request, pending)
            except FencedStoreError:
                failures += 1
                if failures >= MAX_ATTEMPTS:
                    raise
                self._wake.wait(RETRY_INTERVAL_S)
                continue
            return self._record_admission(shard, progress, pending, admission)

    @staticmethod
    def _effect_number(progress: ShardProgress, effect: str, detail: Any) -> int:
        pending = progress.pending
        if pending is None:
            return progress.number + 1
        return pending.number if pending.is_same(effect, detail) else pending.number + 1

    def _send(self, request: EffectRequest, pending: PendingEffect) -> Admission:
        """Send a request once if the member may act on the shard, which is not transferred until the call returns."""
        with self.driver.lock:
            pending.begun_at = self.clock.now()
            if self._stopped or self.member.token(pending.begun_at, request.shard) != request.token:
                raise NotOwnerError
            self.member.assignment.begin_effect(request.shard)
        try:
            self._fault_point("before-act")
            try:
                admission = self.receiver.admit(request, pending.effect, pending.detail)
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
        self, shard: Shard, progress: ShardProgress, pending: PendingEffect, admission: Admission
    ) -> Any:
        fields = {**_shard_fields(shard, progress.token), "number": pending.number, "effect": pending.effect}
        if admission.verdict in (Verdict.ADMIT, Verdict.REPEAT):
            self.counters.effects_acknowledged += 1
            self.counters.repeats += admission.verdict is Verdict.REPEAT
            progress.number = pending.number
            progress.effect_count = admission.effect_count
            progress.pending = None
            acknowledgement = {"held": admission.effect_count, "begun": pending.begun_at}
            self._emit(NoticeKind.EFFECT_ACKNOWLEDGED, {**fields, **acknowledgement})
            self._record_effect_count(shard, progress)
            return admission.answer
        if admission.verdict is Verdict.STALE:
            self.counters.effects_stale += 1
            self._emit(NoticeKind.EFFECT_STALE, {**fields, "in_force": admission.token})
            with self.driver.lock:
                self.member.effect_rejected(self.clock.now(), shard, progress.token, admission.token)
            self.driver.wake()
            raise NotOwnerError
        self.counters.receiver_behind += 1
        self._emit(
            NoticeKind.RECEIVER_BEHIND, {**fields, "known": progress.effect_count, "held": admission.effect_count}
        )
        raise ReceiverBehindError

    def _record_effect_count(self, shard: Shard, progress: ShardProgress) -> None:
        """Record at the coordinator how many effects the receiver holds, whenever the count has doubled or grown by
        ``EFFECT_COUNT_INTERVAL``."""
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
            return  # retried after the next effect
        progress.recorded_effect_count = count


def _shard_fields(shard: Shard, token: int) -> dict[str, Any]:
    duty, number = shard
    return {"duty": duty, "shard": number, "token": token}
