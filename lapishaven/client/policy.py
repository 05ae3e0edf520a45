"""The policy core: everything the client decides, over any wire, in real or simulated time.

No I/O: a driver tells what happened and carries out the actions; time and randomness are passed in. Each concern is
an object of its own (membership, fleet, routing, health, deadlines, attempts); ``engine`` has timers and actions,
``links`` the servers and connections, and this one the calls.
"""

from __future__ import annotations

from collections import deque
from random import Random
from typing import Any

from lapishaven.client import attempts
from lapishaven.client.actions import Action, Ask, Close, Dial, Finish, Probe, Send, Withdraw
from lapishaven.client.attempts import Over, Question
from lapishaven.client.deadlines import Estimates
from lapishaven.client.engine import Hook
from lapishaven.client.health import Standing
from lapishaven.client.links import Links
from lapishaven.client.model import Attempt, Call, Connection, Peer, Phase, State
from lapishaven.client.outcomes import (
    NEVER_RAN,
    NOT_TAKEN,
    Cancelled,
    Ending,
    Expired,
    Failed,
    Outcome,
    Refused,
    Reply,
    Served,
    Uncertain,
)
from lapishaven.client.settings import Settings, split_address
from lapishaven.proto.catalog import Listed, Listing

__all__ = ["Action", "Ask", "Close", "Dial", "Finish", "Hook", "Policy", "Probe", "Send", "Withdraw"]

FULL_SOON = 4  # requests short of the limit at which a further connection is dialled
LOOK = 0.5  # s between two looks whether the traffic wants more connections
START = 2.0  # s from the first call, in which the first connections are made
START_MOST = 10.0  # s: the aperture's start ends at the latest then
SPREAD = 0.01  # s for which calls wait for more servers once the first is there
LATE = 0.9  # of its class's deadline: a try that got so long and no answer counts against its server
KEEP_MOST = 14.0  # s for which a quiet client keeps its window connected at the most; servers close after 15


class Policy(Links):
    """One client's decisions. Every method takes the time in seconds of a clock that never steps back."""

    def __init__(
        self, settings: Settings, random: Random, now: float, hook: Hook | None = None, shared: float = 0.0
    ) -> None:
        """``shared``: seconds to add to the policy's clock for one that all clients share (Unix time), in whose
        slots they take turns to dial; a clock that is off costs evenness and nothing else."""
        super().__init__(settings, random, now, hook, shared)
        self.estimates = Estimates(
            {name: (rule.estimate_s, rule.deadline_s) for name, rule in settings.classes.items()},
            settings.retry.second_after,
        )
        self.open_calls = 0
        self._waiting: deque[Call] = deque()
        self._pump_at = float("inf")
        self._look_at = float("-inf")
        if settings.servers:
            rows = (Listed(text, *split_address(text, "servers")) for text in settings.servers)
            self.listed(now, Listing("fixed", 0, tuple(rows)))

    # ---- Calls
    def submit(
        self,
        now: float,
        cls: str,
        body: bytes,
        *,
        deadline: float | None = None,
        row: int | None = None,
        key: str = "",
    ) -> Call:
        """Begin a call. ``deadline`` is a time on the policy's clock; at the latest the class's own counts."""
        rule = self.settings.classes[cls]
        own = now + rule.deadline_s
        due = own if deadline is None else min(deadline, own)
        self._numbers += 1
        call = Call(
            self._numbers,
            cls,
            body,
            rule.effect == "safe",
            now,
            due,
            row,
            rule.heap_kb,
            min(rule.rank + self.random.random() * rule.rank_span, 0.9999),
            key or f"{self.random.getrandbits(128):032x}",
        )
        self.open_calls += 1
        self._tell(now, "call", number=call.number, cls=cls, deadline=due - now)
        if self._active == float("-inf"):
            # The aperture's start ends once the window is whole, or at the latest after START_MOST.
            self._at(now + (START_MOST if self.aperture else START), self._started)
        idle, self._active = now - self._active > self.settings.connections.idle_s, now
        rate = self.repeats.rate.at(now)
        gaps = 3.0 / rate if rate > 0 else 0.0
        self._keep_span = min(max(self.settings.connections.idle_s, gaps), KEEP_MOST)
        if idle or now >= self._look_at:
            self._look_at = now + LOOK
            self._ensure(now)
        if self._closed:
            self._finish(now, call, Refused(0, 0.0, "the client is closed"))
        elif self._waiting_live >= self.settings.waiting_limit:
            self._finish(now, call, Refused(0, 0.0, "too many calls wait already", self._opens(now) - now))
        else:
            self._at(due, self._due, call)
            if self._waiting_live or not self._place(now, call):
                self._wait(now, call)
        return call

    def cancel(self, now: float, call: Call) -> None:
        """The application no longer waits."""
        if call.state is not State.OVER:
            uncertain = not call.safe and call.unproven > 0
            self._finish(now, call, Cancelled(call.sent, now - call.started, "cancelled", uncertain))

    def _due(self, now: float, call: Call) -> None:
        if call.state is State.OVER:
            return
        rule = self.settings.classes[call.cls]
        for attempt in call.open:
            if attempt.sent is not None and now - attempt.sent >= LATE * rule.deadline_s:
                self._fault(now, attempt.peer)
        if not call.safe and call.unproven:
            reason = "the deadline came while a try was out"
            self._finish(now, call, Uncertain(call.sent, now - call.started, reason))
        else:
            self._finish(now, call, Expired(call.sent, now - call.started, "the deadline came"))

    def _finish(self, now: float, call: Call, outcome: Outcome) -> None:
        if call.state is State.WAITING:
            self._waiting_live -= 1
        call.state = State.OVER
        self.open_calls -= 1
        for attempt in list(call.open):
            connection = attempt.connection
            self._release(now, attempt)
            if attempt.sent is not None and connection.phase is not Phase.CLOSED:
                self._actions.append(Withdraw(connection, attempt))
                self._tell(now, "forget", number=call.number, server=attempt.peer.name)
            if self.single:
                self._close(connection)
            self._settle(now, connection)
        self._tell(
            now,
            f"end {type(outcome).__name__.lower()}",
            number=call.number,
            cls=call.cls,
            tries=call.sent,
            span=now - call.started,
            reason=outcome.reason,
        )
        self._actions.append(Finish(call, outcome))

    # ---- Placing
    def _selectable(self, now: float, peer: Peer) -> bool:
        if not (peer.member.listed.passing or self.panic) or not peer.health.takes(now):
            return False
        if peer in self.silence.suspects:
            return False
        limit = self.settings.connections.open_limit
        if self.single:
            return peer.dial_at <= now and peer.open < limit
        return peer.ready(limit) is not None

    def _place(self, now: float, call: Call, but: str | None = None) -> bool:
        """Start a try, or end the call where no try fits any more; false if no server has room."""
        if not self.estimates.fits(call.cls, call.deadline - now):
            if but is None:
                self._end_early(now, call, "too little time is left for a try")
            return True
        there = [p for p in self.peers.values() if p.name != but and self._selectable(now, p)]
        fresh = [p for p in there if p.name not in call.avoid]
        if not fresh and (but is not None or not there):
            return False
        self._start(now, call, self.routing.pick(now, fresh or there, call), second=but is not None)
        return True

    def _start(self, now: float, call: Call, peer: Peer, second: bool) -> None:
        limit = self.settings.connections.open_limit
        connection = None if self.single else peer.ready(limit)
        if connection is None:
            connection = self._new(now, peer, "call")
        self._numbers += 1
        attempt = Attempt(
            self._numbers,
            f"{self.random.getrandbits(64):016x}",
            call,
            peer,
            connection,
            rep=call.sent > 0,
            second=second,
        )
        if call.sent == 0 and call.further == 0 and not second:
            self.repeats.first(now)
        call.state = State.OPEN
        call.open.append(attempt)
        peer.open += 1
        if peer.health.standing is Standing.TRIAL:
            peer.health.trial_open = True
        attempt.quiet = 0.0 if connection.open else now - connection.emptied
        connection.open[attempt.id] = attempt
        if connection.phase is Phase.READY:
            if self.asks and now - peer.heard > self.settings.health.fresh_s:
                if peer.asked is None:
                    self._ask(now, peer)  # sent once it answers (``_reached``)
                self._plan_silence()
            else:
                self._send(now, attempt)
            if len(connection.open) >= limit - FULL_SOON and not peer.dialing:
                self._further(now, peer)

    def _send(self, now: float, attempt: Attempt) -> None:
        call, connection = attempt.call, attempt.connection
        attempt.sent = now
        attempt.rep = call.sent > 0
        call.sent += 1
        call.unproven += 1
        self._actions.append(Send(connection, attempt))
        self._tell(now, "try", number=call.number, server=attempt.peer.name, rep=attempt.rep)
        if self.asks:
            self.silence.sent(now, attempt.peer)
            self._plan_silence()
        if not connection.watched and not self.single:
            connection.watched = True
            self._at(now + self.settings.connections.silence_s, self._listen, connection)
        if self.settings.retry.second_copies and call.safe and not attempt.second:
            self._at(now + self.estimates.slow(call.cls), self._slow, attempt)

    def _reached(self, now: float, connection: Connection) -> None:
        if self.asks and now - connection.peer.heard > self.settings.health.fresh_s:
            if connection.open and connection.peer.asked is None:
                self._ask(now, connection.peer)
                self._plan_silence()
            return
        for attempt in [each for each in connection.open.values() if each.sent is None]:
            if self.estimates.fits(attempt.call.cls, attempt.call.deadline - now):
                self._send(now, attempt)
            else:
                self._ended(now, attempt, Reply(Ending.UNREACHED, text="no time was left after the dial"))
                self._close(connection)

    def _slow(self, now: float, attempt: Attempt) -> None:
        """A second copy, if the first is still out and the budget has one."""
        call = attempt.call
        if call.state is not State.OPEN or call.open != [attempt]:
            return
        others = any(p is not attempt.peer and self._selectable(now, p) for p in self.peers.values())
        if others and self.repeats.take(now):
            self._tell(now, "second copy", number=call.number)
            self._place(now, call, but=attempt.peer.name)

    def _waits_on(self, now: float, peer: Peer) -> None:
        """A server that says nothing: what was not sent yet goes elsewhere, and safe calls are tried elsewhere out of
        the budget; commits are told uncertain once it has been silent for long enough."""
        if len(self.silence.suspects) > 1:
            self.repeats.raised(now, float(peer.open))
        for connection in list(peer.connections):
            for attempt in list(connection.open.values()):
                call = attempt.call
                if call.state is not State.OPEN or call.open != [attempt]:
                    continue
                fits = call.sent < self.settings.retry.tries and self.estimates.fits(call.cls, call.deadline - now)
                if attempt.sent is None or call.safe and fits and self.repeats.take(now):
                    if attempt.sent is not None:
                        self._tell(now, "given up", number=call.number, server=peer.name)
                        self._actions.append(Withdraw(connection, attempt))
                    self._release(now, attempt)
                    call.avoid.add(peer.name)
                    call.state = State.PAUSED
                    self._resume(now, call)
                elif call.safe:
                    continue  # until the budget has a repeat
                elif peer.suspected is not None and now - peer.suspected >= self.settings.health.uncertain_s:
                    self._finish(now, call, Uncertain(call.sent, now - call.started, "its server says nothing"))

    # ---- Waiting
    def _opens(self, now: float) -> float:
        """When some server may take a request, as far as is known; with none known, at the next poll."""
        dial = self.dials.at(now, self.repeats.rate.at(now), not self._connected)

        times = [
            max(peer.health.opens(now), now if peer.usable else max(peer.dial_at, dial))
            for peer in self.peers.values()
            if (peer.member.listed.passing or self.panic) and peer.suspected is None
        ]
        if self.aperture and not self.single and not self._connected:
            # Any server will do for a call that waits with nothing connected, also one that is not followed yet.
            wish = self.keeping.urgent(now)
            times += [max(wish.at, dial)] if wish is not None else []
        return max(now, min(times, default=now + self.settings.catalog_rules.poll_s))

    def _wait(self, now: float, call: Call) -> None:
        opens = self._opens(now)
        room = min(self.settings.wait_s, call.deadline - now - self.estimates.usual(call.cls))
        if opens - now > room:
            return self._end_early(now, call, "no server takes it in time")
        call.state = State.WAITING
        self._waiting.append(call)
        self._waiting_live += 1
        self._at(now + room, self._waited, call)
        self._ensure(now)
        self._plan_pump(opens)

    def _waited(self, now: float, call: Call) -> None:
        if call.state is State.WAITING:
            self._end_early(now, call, "no server took it in time")

    def _end_early(self, now: float, call: Call, reason: str) -> None:
        """Nothing is out and no try will start: say so now, with the time to come back."""
        span = now - call.started
        if call.unproven:
            self._finish(now, call, Failed(call.sent, span, reason))
        else:
            wait = self._opens(now) - now
            self._finish(now, call, Refused(call.sent, span, reason, wait or self.settings.retry.backoff_s))

    def _plan_pump(self, when: float) -> None:
        if when < self._pump_at:
            self._pump_at = when
            self._at(when, self._pump_due)

    def _pump_due(self, now: float, _: Any) -> None:
        if self._pump_at <= now:
            self._pump_at = float("inf")
            self._pump(now)

    def _opened(self, now: float) -> None:
        if self._waiting_live and any(c.phase is Phase.DIALING for c in self.open_connections()):
            # The first server to be connected is not to get all that wait for the others too.
            self._plan_pump(now + SPREAD)
        else:
            self._pump(now)

    def _pump(self, now: float) -> None:
        """Give those that wait to servers that have room, in their order."""
        while self._waiting:
            call = self._waiting[0]
            if call.state is State.WAITING:
                if not self._place(now, call):
                    opens = self._opens(now)
                    if opens > now:
                        self._plan_pump(opens)
                    return
                self._waiting_live -= call.open != []  # one that was ended instead has been taken off there
            self._waiting.popleft()

    # ---- Ends of tries
    def replied(self, now: float, connection: Connection, attempt_id: int, reply: Reply) -> None:
        """A server's answer. One to a try that nobody waits for any more changes nothing."""
        self._word(now, connection)
        attempt = connection.open.get(attempt_id)
        if attempt is None:
            self._tell(now, "late answer", server=connection.peer.name)
            return
        self.membership.vouch(now, connection.peer.name)
        if self.single and connection in connection.peer.connections:
            connection.phase = Phase.CLOSED
            connection.peer.connections.remove(connection)
        self._ended(now, attempt, reply)
        self._settle(now, connection)
        self._pump(now)

    def _release(self, now: float, attempt: Attempt) -> None:
        connection, peer = attempt.connection, attempt.peer
        connection.open.pop(attempt.id, None)
        if attempt in attempt.call.open:
            attempt.call.open.remove(attempt)
            peer.open -= 1
            peer.health.trial_open = False
        if not connection.open:
            connection.emptied = now

    def _ended(self, now: float, attempt: Attempt, reply: Reply) -> None:
        call, peer = attempt.call, attempt.peer
        self._release(now, attempt)
        self._tell(now, f"try {reply.ending.value}", number=call.number, server=peer.name)
        if reply.ending in NEVER_RAN or reply.ending in NOT_TAKEN:
            call.unproven -= attempt.sent is not None
        self._learn(now, attempt, reply)
        if call.state is State.OVER:
            return
        if reply.ending is Ending.SERVED:
            span = now - call.started
            return self._finish(now, call, Served(call.sent, span, "", reply.body, peer.name))
        call.avoid.add(peer.name)
        if call.open:
            return  # another copy is still out
        left, usual = call.deadline - now, self.estimates.usual(call.cls)
        question = Question(call.safe, call.unproven > 0, call.further, left, usual)
        verdict = attempts.decide(now, question, reply, self.settings.retry, self.repeats, self.random)
        if isinstance(verdict, Over):
            return self._finish(now, call, self._outcome(now, call, verdict, reply))
        call.further += 1
        call.state = State.PAUSED
        self._tell(now, "again", number=call.number, wait=verdict.wait)
        self._at(now + verdict.wait, self._resume, call)

    def _outcome(self, now: float, call: Call, verdict: Over, reply: Reply) -> Outcome:
        span = now - call.started
        if verdict.uncertain:
            return Uncertain(call.sent, span, verdict.reason)
        if reply.ending in NEVER_RAN and not call.unproven:
            # Where others are open the call would have been tried there, had the budget allowed it.
            wait = self._opens(now) - now or reply.pushback or self.settings.retry.backoff_max_s
            return Refused(call.sent, span, verdict.reason, wait, reply.stop)
        return Failed(call.sent, span, verdict.reason, reply.code)

    def _resume(self, now: float, call: Call) -> None:
        if call.state is State.PAUSED and not self._place(now, call):
            self._wait(now, call)

    # ---- What the ends say of the servers
    def _learn(self, now: float, attempt: Attempt, reply: Reply) -> None:
        """What the end of a try says of its server."""
        peer, cls = attempt.peer, attempt.call.cls
        if reply.ending is Ending.SERVED:
            span = now - (attempt.sent if attempt.sent is not None else now)
            peer.took(now, span / max(self.estimates.usual(cls), 1e-3))
            self.estimates.add(cls, span)
            if self.outliers.succeeded(peer.name, peer.health):
                peer.cold_since = now
                self._tell(now, "back in", server=peer.name)
        elif reply.ending is Ending.REFUSED:
            peer.refused(now, self.settings.routing)
            if reply.pushback:
                peer.health.away = max(peer.health.away, now + reply.pushback)
            self.outliers.answered(peer.health)
        elif reply.ending in (Ending.FAILED, Ending.GARBLED):
            self._fault(now, peer)
        else:
            self.outliers.answered(peer.health)  # a lost connection counts once, where it is lost

    def _fault(self, now: float, peer: Peer) -> None:
        known = self.peers.get(peer.name) is peer
        if known and self.outliers.failed(now, peer.name, peer.health, len(self.peers)):
            self._left_out(now, peer)

    def _left_out(self, now: float, peer: Peer) -> None:
        self._tell(now, "left out", server=peer.name, span=peer.health.until - now)
        self._at(peer.health.until, self._back, peer)

    def _back(self, now: float, peer: Peer) -> None:
        if self.peers.get(peer.name) is not peer or not self.outliers.due(now, peer.health):
            return
        if peer.health.standing is not Standing.PROBING:
            self._pump(now)
        elif not peer.probing:  # one that is under way for its silence serves for this too
            peer.probing = True
            self._actions.append(Probe(peer))

    def probed(self, now: float, peer: Peer, good: bool) -> None:
        """The answer to a probe; none in time is a bad one."""
        peer.probing = False
        self._tell(now, "probe good" if good else "probe bad", server=peer.name)
        if self.peers.get(peer.name) is not peer:
            return
        if peer.health.standing is Standing.PROBING:
            self.outliers.probed(now, peer.name, peer.health, good)
            if good:
                self._pump(now)
            else:
                self._left_out(now, peer)
        elif not good:
            if self.outliers.silent(now, peer.name, peer.health, len(self.peers)):
                self._left_out(now, peer)
            for connection in list(peer.connections):
                if connection.open and now - connection.heard >= self.settings.connections.silence_s:
                    for attempt in connection.open.values():
                        if attempt.sent is not None:  # else one that wakes begins it before it reads the close
                            self._actions.append(Withdraw(connection, attempt))
                    self._close(connection)
                    self._lost(now, connection, clean=False)

    # ---- The end
    def close(self, now: float) -> None:
        """End every call and every connection."""
        self._closed = True
        # Every call has a timer for its deadline, whatever state it is in.
        for call in {id(what): what for _, _, _, what in self._timers if isinstance(what, Call)}.values():
            self.cancel(now, call)
        for peer in self.peers.values():
            for connection in list(peer.connections):
                self._close(connection)
        self._timers.clear()
        self._waiting.clear()
