"""Feeds the decision module and carries out what it decides.

Fronts submit requests and backends report how attempts ended; both only queue events. ``turn`` hands all of
them to the module as one batch and turns its actions into calls on the ports. Time is passed in.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import replace
from heapq import heappop, heappush

from lapishaven.admission import (
    Action,
    AdmissionPools,
    AwaitOriginal,
    CallDependency,
    CancelRun,
    Controller,
    DrainRequested,
    Event,
    Fail,
    Idempotency,
    LoadSample,
    Log,
    Outcome,
    PublishLoad,
    Reject,
    ReleaseKey,
    RequestArrived,
    RequestCancelled,
    ReserveKey,
    RunFinished,
    ScheduleTimer,
    SetHealth,
    SetIdleTimeout,
    Settings,
    SkipDependency,
    StartRun,
)
from lapishaven.core import outcome_metrics
from lapishaven.core.contracts import Contracts, Denied
from lapishaven.core.execution_guard import ExecutionGuard
from lapishaven.core.idempotency_keys import IdempotencyKeyTable
from lapishaven.core.ports import AttemptRecorder, Backend, KnownEffect, ModuleListener, Reply, ResultStore
from lapishaven.core.requests import Answer, AnswerKind, Request, RequestState, Submission
from lapishaven.counters import Counters

IDS = 1 << 32
GAUGE_WAIT = 0.25  # s; a poll goes to the module without gauges after this, so its timers never stand still
LEAVE_ROOM = 0.2  # s before the kill at which all that is left is answered: time for its way out, however slow the box
NEVER_RAN = (Outcome.OVERLOADED, Outcome.UNREACHABLE)  # outcomes that prove it
BACKEND_WAIT = 1.0  # s to keep away after the backend could not be reached or turned an attempt away
ORPHAN = 60.0  # s past its due time after which an attempt whose end was never told is let go

# Actions that this platform's protocol has no message for, by the name under which they are counted.
UNSUPPORTED_ACTION_LABELS: dict[type, str] = {PublishLoad: "say", CallDependency: "call", SkipDependency: "skip"}


class Broker:
    """The request table and its rules, round one Controller."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        backend: Backend,
        signals: ModuleListener,
        counters: Counters,
        contracts: Contracts | None = None,
        routes: Mapping[str, Backend] | None = None,
        record: AttemptRecorder = lambda event, sub, detail: None,
        memory: int = 64 * 1024 * 1024,
        pools: AdmissionPools | None = None,
        keeper: ResultStore | None = None,
    ) -> None:
        self.settings, self.backend, self.signals, self.counters = settings, backend, signals, counters
        self.contracts, self.routes, self._record = contracts, routes or {}, record
        self.keeper = keeper
        self.controller = Controller(settings, seed, pools)
        self.classes = {spec.name: n for n, spec in enumerate(settings.classes)}
        self.requests: dict[int, Request] = {}
        self.by_handle: dict[str, Request] = {}
        # Each of the guard's two halves takes up to a tenth of the memory; a sixteenth is for results.
        self.keys = IdempotencyKeyTable(memory // 16)
        self.guard = ExecutionGuard(memory)
        self.draining: float | None = None
        self._kill_at = float("inf")
        self._last_id = random.Random(seed).randrange(IDS)
        self._events: list[Event] = []
        self._timers: list[tuple[float, int]] = []  # when, mark
        self._polls: list[tuple[float, int]] = []  # marks that wait for gauges, and until when
        self._dues: list[tuple[float, int]] = []
        self._orphans: list[tuple[float, int]] = []
        self._started = self._closed = False

    # ---- From the fronts
    def submit(self, now: float, sub: Submission, reply: Reply) -> Request | None:
        """Take a request into the table; ``None`` if it was answered at once."""
        self.counters.add("requests", "read")
        if self._closed:
            self._send(sub, reply, Answer(AnswerKind.REJECTED, reason="the server leaves", retry_after=BACKEND_WAIT))
            return None
        if sub.attempt_id in self.by_handle or self.guard.tries.claimed(sub.attempt_id):
            # The backend knows runs by this name, so a second request under it could meet the first one's
            # result. It may have run, so this is no refusal.
            self._send(sub, reply, Answer(AnswerKind.FAILED, reason="this try is known already"))
            return None
        spec = self.settings.classes[sub.class_index]
        guarded = sub.idempotency_key is not None and spec.idempotency is not Idempotency.IDEMPOTENT
        known = (
            self.keys.find((sub.class_index, sub.idempotency_key), now)
            if guarded and sub.idempotency_key is not None
            else None
        )
        if known is not None and known.digest != sub.body_digest:
            # Not a further try of it: it would be given the result of what somebody else has asked.
            self.counters.add("requests", "key of another request")
            self._send(sub, reply, Answer(AnswerKind.FAILED, reason="this key stands for another request"))
            return None
        span, backend = spec.deadline, self.backend
        if self.contracts is not None and sub.team is not None:
            terms = self.contracts.admit(now, (sub.team, sub.service, sub.class_index))
            if isinstance(terms, Denied):
                kind = AnswerKind.FORBIDDEN if terms.wait is None else AnswerKind.REJECTED
                self.counters.add("reasons", terms.reason)
                self._send(sub, reply, Answer(kind, b"", terms.reason, terms.wait))
                return None
            span, backend = min(span, terms.deadline), self.routes[terms.route]
        if self._kept(sub):
            kept = self.keeper.find(spec.name, sub.idempotency_key or "") if self.keeper is not None else None
            if kept is not None and kept.state.value == "done":
                # Whichever life of this server ran it, the first answer is the answer.
                self.counters.add("requests", "answered from its kept result")
                self._send(sub, reply, Answer(AnswerKind.SERVED, kept.result))
                return None
        told = span < spec.deadline
        if self.settings.propagates_deadline and sub.time_left is not None:
            # Never longer than the class's deadline: that much is booked for it, whatever its caller says.
            span, told = min(span, sub.time_left), True
        arrived = now - min(max(sub.age, 0.0), span)
        r = Request(self._new_id(), sub, reply, arrived, arrived + span, backend)
        self.requests[r.request_id] = self.by_handle[sub.attempt_id] = r
        heappush(self._dues, (min(max(r.deadline, now), self._kill_at - LEAVE_ROOM), r.request_id))
        if known is not None:
            r.duplicate_of = known.id
        elif guarded and sub.idempotency_key is not None:
            self.keys.open((sub.class_index, sub.idempotency_key), r.request_id, sub.body_digest)
        self._events.append(
            RequestArrived(
                r.request_id,
                sub.memory_kb,
                sub.tenant_index,
                r.deadline if told else None,
                sub.caller_id,
                now - arrived,
                sub.is_retry,
                sub.is_write,
                sub.class_index,
                sub.rank,
                sub.subject,
                None,
                r.duplicate_of,
            )
        )
        return r

    def gone(self, r: Request) -> None:
        """Nobody waits for this request any more."""
        if r.reply is None:
            return
        r.reply = None
        self.counters.add("requests", "gone")
        self._events.append(RequestCancelled(r.request_id))
        if r.state in (RequestState.HELD, RequestState.ATTACHED, RequestState.PAUSED):
            self._close(r)

    def remember(self, now: float, cls: str, key: str, age: float) -> None:
        """A keyed run that an earlier life of this server started, so that it is not started again."""
        self.guard.remember(now - age, self.classes[cls], key)

    # ---- From the backend
    def finished(self, handle: str, outcome: Outcome, spent: float, result: bytes = b"") -> None:
        """An attempt ended."""
        r = self.by_handle.get(handle)
        if r is None or r.state not in (RequestState.RUNNING, RequestState.PAUSED):
            self.counters.add("attempts", "unknown end")
            return
        self.counters.add("attempts", outcome_metrics.OUTCOME_LABELS[outcome])
        if (
            outcome is Outcome.CANCELLED
            and r.reply is None
            and self.settings.cancellation == "pause"
            and self._awaited(r)
        ):
            # A further try came while it was being stopped.
            r.backend.resume(r.submission.attempt_id)
            return
        self._events.append(RunFinished(r.request_id, spent, outcome))
        if outcome is Outcome.CANCELLED and r.reply is not None:
            r.state = RequestState.PAUSED  # the module says what becomes of it
            return
        spec, key = self.settings.classes[r.submission.class_index], r.submission.idempotency_key or ""
        if outcome is Outcome.OK and self.keeper is not None and self._kept(r.submission):
            r.state = RequestState.RECORDING
            self.keeper.record_result(spec.name, key, result, lambda good: self._recorded(r, result, good))
            return
        if outcome is Outcome.OK:
            self._answer(r, Answer(AnswerKind.SERVED, result))
        elif outcome in NEVER_RAN:
            if self.keeper is not None and self._kept(r.submission):
                self.keeper.cancel_intent(spec.name, key)
            self.guard.release(r.submission)
            r.ran = False
            self._record("unrun", r.submission, outcome_metrics.OUTCOME_LABELS[outcome])
            self._answer(r, Answer(AnswerKind.REJECTED, reason="the backend did not take it", retry_after=BACKEND_WAIT))
        else:
            if self.keeper is not None and self._kept(r.submission):
                self.keeper.record_failure(spec.name, key)
            self._answer(
                r, Answer(AnswerKind.FAILED, reason=f"the run ended: {outcome_metrics.OUTCOME_LABELS[outcome]}")
            )
        self._close(r, result if outcome is Outcome.OK else None)

    def _awaited(self, r: Request) -> bool:
        """Whether a further try of it waits for its result."""
        followers = (self.requests.get(id) for id in r.followers)
        return any(f is not None and f.reply is not None for f in followers)

    def _kept(self, sub: Submission) -> bool:
        """Whether its result is kept beyond this life."""
        safe = self.settings.classes[sub.class_index].idempotency is Idempotency.IDEMPOTENT
        return self.keeper is not None and sub.idempotency_key is not None and not safe

    def _recorded(self, r: Request, result: bytes, good: bool) -> None:
        """Its result is durable, or cannot be: that it ran is sure either way."""
        if r.state is not RequestState.RECORDING:
            return
        if good:
            self._answer(r, Answer(AnswerKind.SERVED, result))
        else:
            self.counters.add("requests", "result not kept")
            self._answer(r, Answer(AnswerKind.FAILED, reason="it ran, and its result could not be kept"))
        self._close(r, result if good else None)

    def _intended(self, r: Request, known: bool | KnownEffect) -> None:
        """Its intent is durable, or is not: only then may it run. Or something else is known of its effect: another
        server of the record has run it, or may have."""
        if r.state is not RequestState.INTENDING:
            return
        if known is True and r.reply is not None:
            self._launch(r)
            return
        if not isinstance(known, bool):
            done = known.state.value == "done"
            self.counters.add("requests", "done elsewhere" if done else "uncertain elsewhere")
            # It did not run here, and the record knows of it: a repeat is held against that, not against this.
            self.guard.release(r.submission)
            reason = "another server is at it, or was"
            self._answer(
                r, Answer(AnswerKind.SERVED, known.result) if done else Answer(AnswerKind.FAILED, reason=reason)
            )
            self._events.append(RunFinished(r.request_id, 0.0, Outcome.OBSOLETE))
            self._close(r, known.result if done else None)
            return
        # Nobody waits for it any more, or nothing could be recorded: either way it never ran.
        self.guard.release(r.submission)
        if self.keeper is not None:
            self.keeper.cancel_intent(
                self.settings.classes[r.submission.class_index].name, r.submission.idempotency_key or ""
            )
        self._answer(r, Answer(AnswerKind.REJECTED, reason="its run could not be recorded", retry_after=BACKEND_WAIT))
        self._events.append(RunFinished(r.request_id, 0.0, Outcome.OBSOLETE))
        self._close(r)

    def gauges(self, values: dict[str, float]) -> None:
        """The backend's gauges, for all polls that wait."""
        told = [values.get(name) for name in ("core_use", "on_cores", "heap_share", "links")]
        for _, mark in self._polls:
            self._events.append(LoadSample(mark, *told))
        self._polls.clear()

    def renew(self, contracts: Contracts | None) -> None:
        """A reload's contracts; budgets go on where the party is the same."""
        if self.contracts is not None and contracts is not None:
            contracts.inherit(self.contracts)
            self.contracts = contracts

    def retune(self, settings: Settings) -> None:
        """A reload's settings, classes numbered as before (see ``Controller.retune``); raises ``ValueError``."""
        settings = replace(settings, slow_start=self.settings.slow_start)
        self.controller.retune(settings)
        self.settings = settings
        self.classes = {spec.name: n for n, spec in enumerate(settings.classes)}

    # ---- Drain
    def drain(self, now: float, kill_at: float) -> None:
        if self.draining is not None:
            return
        self.draining, self._kill_at = now, kill_at
        self._events.append(DrainRequested(kill_at))
        for r in self.requests.values():
            heappush(self._dues, (kill_at - LEAVE_ROOM, r.request_id))

    def hurry(self, kill_at: float) -> None:
        """The kill comes sooner than it was said."""
        self._kill_at = min(self._kill_at, kill_at)
        for r in self.requests.values():
            heappush(self._dues, (self._kill_at - LEAVE_ROOM, r.request_id))

    def answer_all(self, now: float) -> None:
        """The last moment has come: every open request is answered as it stands, and what still comes is refused."""
        self._closed = True
        for r in [r for r in self.requests.values() if r.reply is not None]:
            never_ran = not r.ran and r.state is RequestState.HELD
            kind = AnswerKind.REJECTED if never_ran else AnswerKind.FAILED
            self._events.append(RequestCancelled(r.request_id))
            self._answer(r, Answer(kind, reason="the server leaves", retry_after=BACKEND_WAIT if never_ran else None))
            if r.state in (RequestState.HELD, RequestState.ATTACHED, RequestState.PAUSED):
                self._close(r)

    @property
    def open_requests(self) -> int:
        """How many are owed an answer."""
        return sum(r.reply is not None for r in self.requests.values())

    # ---- One turn
    def turn(self, now: float) -> None:
        """Hand what came in to the module as one batch, carry out its actions, answer what is due."""
        while self._timers and self._timers[0][0] <= now:
            if not self._polls:
                self.backend.gauges()
            self._polls.append((now + GAUGE_WAIT, heappop(self._timers)[1]))
        while self._polls and self._polls[0][0] <= now:
            self.counters.add("module", "polls without gauges")
            self._events.append(LoadSample(self._polls.pop(0)[1], None, None, None, None))
        while self._events or not self._started:
            events, self._events, self._started = self._events, [], True
            self.counters.add("module", "batches")
            for action in self.controller.handle(now, events):
                self._carry_out(now, action)
        while self._dues and self._dues[0][0] <= now:
            r = self.requests.get(heappop(self._dues)[1])
            if r is not None and r.reply is not None:
                self.counters.add("requests", "net at due")
                self._events.append(RequestCancelled(r.request_id))
                self._answer(r, Answer(AnswerKind.DEADLINE_EXCEEDED, reason="its due time came"))
                if r.state in (RequestState.HELD, RequestState.ATTACHED, RequestState.PAUSED):
                    self._close(r)
        while self._orphans and self._orphans[0][0] <= now:
            r = self.requests.get(heappop(self._orphans)[1])
            if r is not None:
                self.finished(r.submission.attempt_id, Outcome.OBSOLETE, 0.0)

    def next_at(self) -> float | None:
        """When ``turn`` has something to do with no further input; 0 for at once."""
        if self._events or not self._started:
            return 0.0
        heads = [heap[0][0] for heap in (self._timers, self._polls, self._dues, self._orphans) if heap]
        return min(heads, default=None)

    # ---- Actions
    def _carry_out(self, now: float, action: Action) -> None:
        if isinstance(action, ScheduleTimer):
            heappush(self._timers, (now + action.delay, action.timer_id))
        elif isinstance(action, SetHealth):
            self.signals.set_health(action.healthy)
        elif isinstance(action, SetIdleTimeout):
            self.signals.set_idle_timeout(action.timeout)
        elif isinstance(action, Log):
            self.signals.log_remark(action.text)
        elif isinstance(action, PublishLoad | CallDependency | SkipDependency):
            # Not part of this platform's protocol: there is no free value and nothing below.
            self.counters.add("module", f"unused {UNSUPPORTED_ACTION_LABELS[type(action)]}")
        elif (r := self.requests.get(action.request_id)) is not None:
            self._on_request(now, r, action)

    def _on_request(self, now: float, r: Request, action: Action) -> None:
        if isinstance(action, StartRun):
            self._start(now, r)
        elif isinstance(action, Reject | Fail):
            self.counters.add("reasons", action.reason)
            if isinstance(action, Reject) and not r.ran:
                self._answer(
                    r, Answer(AnswerKind.REJECTED, b"", action.reason, action.retry_after, action.no_retry_elsewhere)
                )
            else:
                kind = AnswerKind.DEADLINE_EXCEEDED if action.reason == "due" else AnswerKind.FAILED
                self._answer(r, Answer(kind, reason=action.reason))
            if r.state not in (RequestState.RUNNING, RequestState.INTENDING, RequestState.RECORDING):
                self._close(r)
        elif isinstance(action, CancelRun):
            # Its further tries wait for what it makes, though its own caller has gone.
            if r.state is RequestState.RUNNING and not self._awaited(r):
                r.backend.pause(r.submission.attempt_id)
        elif isinstance(action, ReserveKey):
            if r.submission.idempotency_key is not None:
                self.keys.keep(
                    (r.submission.class_index, r.submission.idempotency_key),
                    r.request_id,
                    now + action.ttl,
                    r.submission.body_digest,
                )
        elif isinstance(action, ReleaseKey):
            if r.submission.idempotency_key is not None:
                self.keys.drop((r.submission.class_index, r.submission.idempotency_key), r.request_id)
        elif isinstance(action, AwaitOriginal):
            self._attach(now, r)

    def _start(self, now: float, r: Request) -> None:
        if r.state is RequestState.PAUSED:
            r.state = RequestState.RUNNING
            r.backend.resume(r.submission.attempt_id)
            return
        if r.state is not RequestState.HELD:
            return
        spec, sub = self.settings.classes[r.submission.class_index], r.submission
        bar = self._bar(now, r)
        if bar is not None:
            self.counters.add("requests", "start barred")
            self._answer(r, bar)
            self._events.append(RunFinished(r.request_id, 0.0, Outcome.OBSOLETE))
            self._close(r)
            return
        if self.keeper is not None and self._kept(sub):
            r.state = RequestState.INTENDING
            wait = self.keeper.record_intent(
                spec.name, sub.idempotency_key or "", sub, lambda known: self._intended(r, known)
            )
            if wait is None:
                return
            r.state = RequestState.HELD
            self.guard.release(sub)
            self.counters.add("requests", "no room to record its run")
            self._answer(r, Answer(AnswerKind.REJECTED, reason="no room to record its run", retry_after=wait))
            self._events.append(RunFinished(r.request_id, 0.0, Outcome.OBSOLETE))
            self._close(r)
            return
        self._launch(r)

    def _launch(self, r: Request) -> None:
        sub, spec = r.submission, self.settings.classes[r.submission.class_index]
        r.state, r.ran = RequestState.RUNNING, True
        heappush(self._orphans, (r.deadline + ORPHAN, r.request_id))
        self.counters.add("attempts", "started")
        self.counters.add(outcome_metrics.RELAYED, spec.name)
        self._record("started", sub, "")
        r.backend.start(sub.attempt_id, spec.name, sub.body, spec.idempotency is not Idempotency.IDEMPOTENT)

    def _bar(self, now: float, r: Request) -> Answer | None:
        """What keeps a request from its run; else its try is claimed, and its effect where it has a key."""
        if self.draining is not None and r.arrived_at > self.draining + self.settings.drain_grace:
            return Answer(AnswerKind.REJECTED, reason="it came after the leave")
        bar = self.guard.refuse_duplicate(now, r.submission, self.settings)
        if bar is not None and bar.kind is AnswerKind.REJECTED:
            self.counters.add("requests", "guard full")
        return bar

    def _attach(self, now: float, r: Request) -> None:
        assert r.duplicate_of is not None and r.submission.idempotency_key is not None
        r.state = RequestState.ATTACHED
        first, entry = (
            self.requests.get(r.duplicate_of),
            self.keys.find((r.submission.class_index, r.submission.idempotency_key), now),
        )
        if first is not None and first.state is not RequestState.OVER:
            first.followers.append(r.request_id)
        else:
            self._follow(r, entry.result if entry is not None and entry.id == r.duplicate_of else None)

    def _follow(self, r: Request, result: bytes | None, ran: bool = True) -> None:
        """Answer a repeat as its forerunner ended. Only where that provably never ``ran`` is it refused."""
        if r.state is not RequestState.ATTACHED:
            return
        outcome = Outcome.ERROR if result is None else Outcome.OK
        self._events.append(RunFinished(r.request_id, 0.0, outcome))
        if not ran:
            self._answer(
                r, Answer(AnswerKind.REJECTED, reason="the first try of it never ran", retry_after=BACKEND_WAIT)
            )
        elif result is None:
            self._answer(r, Answer(AnswerKind.FAILED, reason="the first try of it gave no result"))
        else:
            self._answer(r, Answer(AnswerKind.SERVED, result))
        self._close(r)

    # ---- The one place where a request is answered, and the one where it leaves the table
    def _answer(self, r: Request, answer: Answer) -> None:
        reply, r.reply = r.reply, None
        if reply is not None:
            self._send(r.submission, reply, answer)

    def _send(self, sub: Submission, reply: Reply, answer: Answer) -> None:
        self.counters.add("answers", answer.kind.value)
        self.counters.add(outcome_metrics.GROUP[answer.kind], self.settings.classes[sub.class_index].name)
        self._record("answered", sub, answer.kind.value)
        reply(answer)

    def _close(self, r: Request, result: bytes | None = None) -> None:
        if r.state is RequestState.OVER:
            return
        r.state = RequestState.OVER
        del self.requests[r.request_id], self.by_handle[r.submission.attempt_id]
        if r.submission.idempotency_key is not None:
            # What never ran leaves its key free; the module says so only after the request left the table.
            if r.ran:
                self.keys.close((r.submission.class_index, r.submission.idempotency_key), r.request_id, result)
            else:
                self.keys.drop((r.submission.class_index, r.submission.idempotency_key), r.request_id)
        for follower in r.followers:
            if (f := self.requests.get(follower)) is not None:
                self._follow(f, result, r.ran)

    def _new_id(self) -> int:
        self._last_id = (self._last_id + 1) % IDS
        while self._last_id in self.requests or self._last_id == 0:
            self._last_id = (self._last_id + 1) % IDS
        return self._last_id
