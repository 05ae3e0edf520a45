"""Feeds the decision module and carries out what it decides.

Fronts submit requests and backends report how attempts ended; both only queue events. ``turn`` hands all of
them to the module as one batch and turns its actions into calls on the ports. Time is passed in.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import replace
from heapq import heappop, heappush

from cometdrum import interface as i
from cometdrum.controller import Controller
from lapishaven.core import tally
from lapishaven.core.contracts import Contracts, Denied
from lapishaven.core.guard import RunGuard
from lapishaven.core.keys import KeyTable
from lapishaven.core.model import (
    Answer,
    Backend,
    Keeper,
    Kind,
    Known,
    Record,
    Reply,
    Request,
    Signals,
    State,
    Submission,
)
from lapishaven.counters import Counters

IDS = 1 << 32
GAUGE_WAIT = 0.25  # s; a poll goes to the module without gauges after this, so its timers never stand still
LEAVE_ROOM = 0.2  # s before the kill at which all that is left is answered: time for its way out, however slow the box
NEVER_RAN = (i.Outcome.FULL, i.Outcome.UNREACHED)  # outcomes that prove it
BACKEND_WAIT = 1.0  # s to keep away after the backend could not be reached or turned an attempt away
ORPHAN = 60.0  # s past its due time after which an attempt whose end was never told is let go


class Broker:
    """The request table and its rules, round one Controller."""

    def __init__(
        self,
        settings: i.Settings,
        seed: int,
        backend: Backend,
        signals: Signals,
        counters: Counters,
        contracts: Contracts | None = None,
        routes: Mapping[str, Backend] | None = None,
        record: Record = lambda event, sub, detail: None,
        memory: int = 64 * 1024 * 1024,
        pools: i.Pools | None = None,
        keeper: Keeper | None = None,
    ) -> None:
        self.settings, self.backend, self.signals, self.counters = settings, backend, signals, counters
        self.contracts, self.routes, self._record = contracts, routes or {}, record
        self.keeper = keeper
        self.controller = Controller(settings, seed, pools)
        self.classes = {spec.name: n for n, spec in enumerate(settings.classes)}
        self.requests: dict[int, Request] = {}
        self.by_handle: dict[str, Request] = {}
        # Each of the guard's two halves takes up to a tenth of the memory; a sixteenth is for results.
        self.keys = KeyTable(memory // 16)
        self.guard = RunGuard(memory)
        self.draining: float | None = None
        self._kill_at = float("inf")
        self._last_id = random.Random(seed).randrange(IDS)
        self._events: list[i.Event] = []
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
            self._send(sub, reply, Answer(Kind.REFUSED, reason="the server leaves", pushback=BACKEND_WAIT))
            return None
        if sub.handle in self.by_handle or self.guard.tries.claimed(sub.handle):
            # The backend knows runs by this name, so a second request under it could meet the first one's
            # result. It may have run, so this is no refusal.
            self._send(sub, reply, Answer(Kind.FAILED, reason="this try is known already"))
            return None
        spec = self.settings.classes[sub.cls]
        guarded = sub.key is not None and spec.effect is not i.Effect.SAFE
        known = self.keys.find((sub.cls, sub.key), now) if guarded and sub.key is not None else None
        if known is not None and known.digest != sub.digest:
            # Not a further try of it: it would be given the result of what somebody else has asked.
            self.counters.add("requests", "key of another request")
            self._send(sub, reply, Answer(Kind.FAILED, reason="this key stands for another request"))
            return None
        span, backend = spec.deadline, self.backend
        if self.contracts is not None and sub.team is not None:
            terms = self.contracts.admit(now, (sub.team, sub.service, sub.cls))
            if isinstance(terms, Denied):
                kind = Kind.DENIED if terms.wait is None else Kind.REFUSED
                self.counters.add("reasons", terms.reason)
                self._send(sub, reply, Answer(kind, b"", terms.reason, terms.wait))
                return None
            span, backend = min(span, terms.deadline), self.routes[terms.route]
        if self._kept(sub):
            kept = self.keeper.find(spec.name, sub.key or "") if self.keeper is not None else None
            if kept is not None and kept.standing.value == "done":
                # Whichever life of this server ran it, the first answer is the answer.
                self.counters.add("requests", "answered from its kept result")
                self._send(sub, reply, Answer(Kind.SERVED, kept.result))
                return None
        told = span < spec.deadline
        if self.settings.passes_deadline and sub.left is not None:
            # Never longer than the class's deadline: that much is booked for it, whatever its caller says.
            span, told = min(span, sub.left), True
        arrived = now - min(max(sub.age, 0.0), span)
        r = Request(self._new_id(), sub, reply, arrived, arrived + span, backend)
        self.requests[r.id] = self.by_handle[sub.handle] = r
        heappush(self._dues, (min(max(r.due, now), self._kill_at - LEAVE_ROOM), r.id))
        if known is not None:
            r.repeats = known.id
        elif guarded and sub.key is not None:
            self.keys.open((sub.cls, sub.key), r.id, sub.digest)
        self._events.append(
            i.Arrival(
                r.id,
                sub.kb,
                sub.tenant,
                r.due if told else None,
                sub.caller,
                now - arrived,
                sub.retry,
                sub.write,
                sub.cls,
                sub.rank,
                sub.subject,
                None,
                r.repeats,
            )
        )
        return r

    def gone(self, r: Request) -> None:
        """Nobody waits for this request any more."""
        if r.reply is None:
            return
        r.reply = None
        self.counters.add("requests", "gone")
        self._events.append(i.Gone(r.id))
        if r.state in (State.HELD, State.ATTACHED, State.PAUSED):
            self._close(r)

    def remember(self, now: float, cls: str, key: str, age: float) -> None:
        """A keyed run that an earlier life of this server started, so that it is not started again."""
        self.guard.remember(now - age, self.classes[cls], key)

    # ---- From the backend
    def finished(self, handle: str, outcome: i.Outcome, spent: float, result: bytes = b"") -> None:
        """An attempt ended."""
        r = self.by_handle.get(handle)
        if r is None or r.state not in (State.RUNNING, State.PAUSED):
            self.counters.add("attempts", "unknown end")
            return
        self.counters.add("attempts", outcome.name.lower())
        if outcome is i.Outcome.CANCELLED and r.reply is None and self.settings.halt == "pause" and self._awaited(r):
            # A further try came while it was being stopped.
            r.backend.resume(r.sub.handle)
            return
        self._events.append(i.Finished(r.id, spent, outcome))
        if outcome is i.Outcome.CANCELLED and r.reply is not None:
            r.state = State.PAUSED  # the module says what becomes of it
            return
        spec, key = self.settings.classes[r.sub.cls], r.sub.key or ""
        if outcome is i.Outcome.OK and self.keeper is not None and self._kept(r.sub):
            r.state = State.RECORDING
            self.keeper.done(spec.name, key, result, lambda good: self._recorded(r, result, good))
            return
        if outcome is i.Outcome.OK:
            self._answer(r, Answer(Kind.SERVED, result))
        elif outcome in NEVER_RAN:
            if self.keeper is not None and self._kept(r.sub):
                self.keeper.void(spec.name, key)
            self.guard.release(r.sub)
            r.ran = False
            self._record("unrun", r.sub, outcome.name.lower())
            self._answer(r, Answer(Kind.REFUSED, reason="the backend did not take it", pushback=BACKEND_WAIT))
        else:
            if self.keeper is not None and self._kept(r.sub):
                self.keeper.failed(spec.name, key)
            self._answer(r, Answer(Kind.FAILED, reason=f"the run ended: {outcome.name.lower()}"))
        self._close(r, result if outcome is i.Outcome.OK else None)

    def _awaited(self, r: Request) -> bool:
        """Whether a further try of it waits for its result."""
        followers = (self.requests.get(id) for id in r.followers)
        return any(f is not None and f.reply is not None for f in followers)

    def _kept(self, sub: Submission) -> bool:
        """Whether its result is kept beyond this life."""
        safe = self.settings.classes[sub.cls].effect is i.Effect.SAFE
        return self.keeper is not None and sub.key is not None and not safe

    def _recorded(self, r: Request, result: bytes, good: bool) -> None:
        """Its result is durable, or cannot be: that it ran is sure either way."""
        if r.state is not State.RECORDING:
            return
        if good:
            self._answer(r, Answer(Kind.SERVED, result))
        else:
            self.counters.add("requests", "result not kept")
            self._answer(r, Answer(Kind.FAILED, reason="it ran, and its result could not be kept"))
        self._close(r, result if good else None)

    def _intended(self, r: Request, known: bool | Known) -> None:
        """Its intent is durable, or is not: only then may it run. Or something else is known of its effect: another
        server of the record has run it, or may have."""
        if r.state is not State.INTENDING:
            return
        if known is True and r.reply is not None:
            self._launch(r)
            return
        if not isinstance(known, bool):
            done = known.standing.value == "done"
            self.counters.add("requests", "done elsewhere" if done else "uncertain elsewhere")
            # It did not run here, and the record knows of it: a repeat is held against that, not against this.
            self.guard.release(r.sub)
            reason = "another server is at it, or was"
            self._answer(r, Answer(Kind.SERVED, known.result) if done else Answer(Kind.FAILED, reason=reason))
            self._events.append(i.Finished(r.id, 0.0, i.Outcome.MOOT))
            self._close(r, known.result if done else None)
            return
        # Nobody waits for it any more, or nothing could be recorded: either way it never ran.
        self.guard.release(r.sub)
        if self.keeper is not None:
            self.keeper.void(self.settings.classes[r.sub.cls].name, r.sub.key or "")
        self._answer(r, Answer(Kind.REFUSED, reason="its run could not be recorded", pushback=BACKEND_WAIT))
        self._events.append(i.Finished(r.id, 0.0, i.Outcome.MOOT))
        self._close(r)

    def gauges(self, values: dict[str, float]) -> None:
        """The backend's gauges, for all polls that wait."""
        told = [values.get(name) for name in ("core_use", "on_cores", "heap_share", "links")]
        for _, mark in self._polls:
            self._events.append(i.Poll(mark, *told))
        self._polls.clear()

    def renew(self, contracts: Contracts | None) -> None:
        """A reload's contracts; budgets go on where the party is the same."""
        if self.contracts is not None and contracts is not None:
            contracts.inherit(self.contracts)
            self.contracts = contracts

    def retune(self, settings: i.Settings) -> None:
        """A reload's settings, classes numbered as before (see ``Controller.retune``); raises ``ValueError``."""
        settings = replace(settings, cold=self.settings.cold)
        self.controller.retune(settings)
        self.settings = settings
        self.classes = {spec.name: n for n, spec in enumerate(settings.classes)}

    # ---- Drain
    def drain(self, now: float, kill_at: float) -> None:
        if self.draining is not None:
            return
        self.draining, self._kill_at = now, kill_at
        self._events.append(i.Drain(kill_at))
        for r in self.requests.values():
            heappush(self._dues, (kill_at - LEAVE_ROOM, r.id))

    def hurry(self, kill_at: float) -> None:
        """The kill comes sooner than it was said."""
        self._kill_at = min(self._kill_at, kill_at)
        for r in self.requests.values():
            heappush(self._dues, (self._kill_at - LEAVE_ROOM, r.id))

    def answer_all(self, now: float) -> None:
        """The last moment has come: every open request is answered as it stands, and what still comes is refused."""
        self._closed = True
        for r in [r for r in self.requests.values() if r.reply is not None]:
            never_ran = not r.ran and r.state is State.HELD
            kind = Kind.REFUSED if never_ran else Kind.FAILED
            self._events.append(i.Gone(r.id))
            self._answer(r, Answer(kind, reason="the server leaves", pushback=BACKEND_WAIT if never_ran else None))
            if r.state in (State.HELD, State.ATTACHED, State.PAUSED):
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
            self._events.append(i.Poll(self._polls.pop(0)[1], None, None, None, None))
        while self._events or not self._started:
            events, self._events, self._started = self._events, [], True
            self.counters.add("module", "batches")
            for action in self.controller.handle(now, events):
                self._carry_out(now, action)
        while self._dues and self._dues[0][0] <= now:
            r = self.requests.get(heappop(self._dues)[1])
            if r is not None and r.reply is not None:
                self.counters.add("requests", "net at due")
                self._events.append(i.Gone(r.id))
                self._answer(r, Answer(Kind.DUE, reason="its due time came"))
                if r.state in (State.HELD, State.ATTACHED, State.PAUSED):
                    self._close(r)
        while self._orphans and self._orphans[0][0] <= now:
            r = self.requests.get(heappop(self._orphans)[1])
            if r is not None:
                self.finished(r.sub.handle, i.Outcome.MOOT, 0.0)

    def next_at(self) -> float | None:
        """When ``turn`` has something to do with no further input; 0 for at once."""
        if self._events or not self._started:
            return 0.0
        heads = [heap[0][0] for heap in (self._timers, self._polls, self._dues, self._orphans) if heap]
        return min(heads, default=None)

    # ---- Actions
    def _carry_out(self, now: float, action: i.Action) -> None:
        if isinstance(action, i.Timer):
            heappush(self._timers, (now + action.span, action.mark))
        elif isinstance(action, i.Health):
            self.signals.health(action.good)
        elif isinstance(action, i.KeepIdle):
            self.signals.idle(action.span)
        elif isinstance(action, i.Remark):
            self.signals.remark(action.text)
        elif isinstance(action, i.Say | i.Call | i.Skip):
            # Not part of this platform's protocol: there is no free value and nothing below.
            self.counters.add("module", f"unused {type(action).__name__.lower()}")
        elif (r := self.requests.get(action.id)) is not None:
            self._on_request(now, r, action)

    def _on_request(self, now: float, r: Request, action: i.Action) -> None:
        if isinstance(action, i.Run):
            self._start(now, r)
        elif isinstance(action, i.Refuse | i.Fail):
            self.counters.add("reasons", action.reason)
            if isinstance(action, i.Refuse) and not r.ran:
                self._answer(r, Answer(Kind.REFUSED, b"", action.reason, action.advice, action.last))
            else:
                kind = Kind.DUE if action.reason == "due" else Kind.FAILED
                self._answer(r, Answer(kind, reason=action.reason))
            if r.state not in (State.RUNNING, State.INTENDING, State.RECORDING):
                self._close(r)
        elif isinstance(action, i.Halt):
            # Its further tries wait for what it makes, though its own caller has gone.
            if r.state is State.RUNNING and not self._awaited(r):
                r.backend.halt(r.sub.handle)
        elif isinstance(action, i.Keep):
            if r.sub.key is not None:
                self.keys.keep((r.sub.cls, r.sub.key), r.id, now + action.life, r.sub.digest)
        elif isinstance(action, i.Forget):
            if r.sub.key is not None:
                self.keys.drop((r.sub.cls, r.sub.key), r.id)
        elif isinstance(action, i.Attach):
            self._attach(now, r)

    def _start(self, now: float, r: Request) -> None:
        if r.state is State.PAUSED:
            r.state = State.RUNNING
            r.backend.resume(r.sub.handle)
            return
        if r.state is not State.HELD:
            return
        spec, sub = self.settings.classes[r.sub.cls], r.sub
        bar = self._bar(now, r)
        if bar is not None:
            self.counters.add("requests", "start barred")
            self._answer(r, bar)
            self._events.append(i.Finished(r.id, 0.0, i.Outcome.MOOT))
            self._close(r)
            return
        if self.keeper is not None and self._kept(sub):
            r.state = State.INTENDING
            wait = self.keeper.intend(spec.name, sub.key or "", sub, lambda known: self._intended(r, known))
            if wait is None:
                return
            r.state = State.HELD
            self.guard.release(sub)
            self.counters.add("requests", "no room to record its run")
            self._answer(r, Answer(Kind.REFUSED, reason="no room to record its run", pushback=wait))
            self._events.append(i.Finished(r.id, 0.0, i.Outcome.MOOT))
            self._close(r)
            return
        self._launch(r)

    def _launch(self, r: Request) -> None:
        sub, spec = r.sub, self.settings.classes[r.sub.cls]
        r.state, r.ran = State.RUNNING, True
        heappush(self._orphans, (r.due + ORPHAN, r.id))
        self.counters.add("attempts", "started")
        self.counters.add(tally.RELAYED, spec.name)
        self._record("started", sub, "")
        r.backend.start(sub.handle, spec.name, sub.body, spec.effect is not i.Effect.SAFE)

    def _bar(self, now: float, r: Request) -> Answer | None:
        """What keeps a request from its run; else its try is claimed, and its effect where it has a key."""
        if self.draining is not None and r.arrived > self.draining + self.settings.drain_grace:
            return Answer(Kind.REFUSED, reason="it came after the leave")
        bar = self.guard.bar(now, r.sub, self.settings)
        if bar is not None and bar.kind is Kind.REFUSED:
            self.counters.add("requests", "guard full")
        return bar

    def _attach(self, now: float, r: Request) -> None:
        assert r.repeats is not None and r.sub.key is not None
        r.state = State.ATTACHED
        first, entry = self.requests.get(r.repeats), self.keys.find((r.sub.cls, r.sub.key), now)
        if first is not None and first.state is not State.OVER:
            first.followers.append(r.id)
        else:
            self._follow(r, entry.result if entry is not None and entry.id == r.repeats else None)

    def _follow(self, r: Request, result: bytes | None, ran: bool = True) -> None:
        """Answer a repeat as its forerunner ended. Only where that provably never ``ran`` is it refused."""
        if r.state is not State.ATTACHED:
            return
        outcome = i.Outcome.ERROR if result is None else i.Outcome.OK
        self._events.append(i.Finished(r.id, 0.0, outcome))
        if not ran:
            self._answer(r, Answer(Kind.REFUSED, reason="the first try of it never ran", pushback=BACKEND_WAIT))
        elif result is None:
            self._answer(r, Answer(Kind.FAILED, reason="the first try of it gave no result"))
        else:
            self._answer(r, Answer(Kind.SERVED, result))
        self._close(r)

    # ---- The one place where a request is answered, and the one where it leaves the table
    def _answer(self, r: Request, answer: Answer) -> None:
        reply, r.reply = r.reply, None
        if reply is not None:
            self._send(r.sub, reply, answer)

    def _send(self, sub: Submission, reply: Reply, answer: Answer) -> None:
        self.counters.add("answers", answer.kind.value)
        self.counters.add(tally.GROUP[answer.kind], self.settings.classes[sub.cls].name)
        self._record("answered", sub, answer.kind.value)
        reply(answer)

    def _close(self, r: Request, result: bytes | None = None) -> None:
        if r.state is State.OVER:
            return
        r.state = State.OVER
        del self.requests[r.id], self.by_handle[r.sub.handle]
        if r.sub.key is not None:
            # What never ran leaves its key free; the module says so only after the request left the table.
            if r.ran:
                self.keys.close((r.sub.cls, r.sub.key), r.id, result)
            else:
                self.keys.drop((r.sub.cls, r.sub.key), r.id)
        for follower in r.followers:
            if (f := self.requests.get(follower)) is not None:
                self._follow(f, result, r.ran)

    def _new_id(self) -> int:
        self._last_id = (self._last_id + 1) % IDS
        while self._last_id in self.requests or self._last_id == 0:
            self._last_id = (self._last_id + 1) % IDS
        return self._last_id
