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
from lapishaven.client.actions import (
    Action,
    CancelRequest,
    CheckHealth,
    CloseConnection,
    CompleteCall,
    OpenConnection,
    SendProbe,
    SendRequest,
)
from lapishaven.client.attempts import GiveUp, RetryContext
from lapishaven.client.deadlines import AttemptTimeEstimates
from lapishaven.client.engine import Hook
from lapishaven.client.health import EjectionState
from lapishaven.client.links import Links
from lapishaven.client.model import Attempt, Call, CallState, Connection, ConnectionState, Endpoint
from lapishaven.client.outcomes import (
    INVALID_REQUEST,
    NEVER_RAN,
    AttemptEnd,
    AttemptResult,
    Cancelled,
    Expired,
    Failed,
    Outcome,
    Refused,
    Served,
    Uncertain,
)
from lapishaven.client.settings import Settings, split_address
from lapishaven.proto.catalog import Listed, Listing

__all__ = [
    "Action",
    "SendProbe",
    "CloseConnection",
    "OpenConnection",
    "CompleteCall",
    "Hook",
    "Policy",
    "CheckHealth",
    "SendRequest",
    "CancelRequest",
]

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
        self.estimates = AttemptTimeEstimates(
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
        rate = self.repeats.first_attempt_rate.per_second(now)
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
        if call.state is not CallState.OVER:
            uncertain = not call.idempotent and call.possibly_run > 0
            self._finish(now, call, Cancelled(call.attempts_sent, now - call.started_at, "cancelled", uncertain))

    def _due(self, now: float, call: Call) -> None:
        if call.state is CallState.OVER:
            return
        rule = self.settings.classes[call.class_name]
        for attempt in call.attempts:
            if attempt.sent_at is not None and now - attempt.sent_at >= LATE * rule.deadline_s:
                self._fault(now, attempt.endpoint)
        if not call.idempotent and call.possibly_run:
            reason = "the deadline came while a try was out"
            self._finish(now, call, Uncertain(call.attempts_sent, now - call.started_at, reason))
        else:
            self._finish(now, call, Expired(call.attempts_sent, now - call.started_at, "the deadline came"))

    def _finish(self, now: float, call: Call, outcome: Outcome) -> None:
        if call.state is CallState.WAITING:
            self._waiting_live -= 1
        call.state = CallState.OVER
        self.open_calls -= 1
        for attempt in list(call.attempts):
            connection = attempt.connection
            self._release(now, attempt)
            if attempt.sent_at is not None and connection.state is not ConnectionState.CLOSED:
                self._actions.append(CancelRequest(connection, attempt))
                self._tell(now, "forget", number=call.number, server=attempt.endpoint.name)
            if self.single:
                self._close(connection)
            self._settle(now, connection)
        self._tell(
            now,
            f"end {type(outcome).__name__.lower()}",
            number=call.number,
            cls=call.class_name,
            tries=call.attempts_sent,
            span=now - call.started_at,
            reason=outcome.reason,
        )
        self._actions.append(CompleteCall(call, outcome))

    # ---- Placing
    def _selectable(self, now: float, peer: Endpoint) -> bool:
        if not (peer.member.listed.passing or self.panic) or not peer.health.accepts_requests(now):
            return False
        if peer in self.silence.suspects:
            return False
        limit = self.settings.connections.open_limit
        if self.single:
            return peer.next_dial_at <= now and peer.open < limit
        return peer.least_loaded_connection(limit) is not None

    def _place(self, now: float, call: Call, but: str | None = None) -> bool:
        """Start a try, or end the call where no try fits any more; false if no server has room."""
        if not self.estimates.fits_in(call.class_name, call.deadline - now):
            if but is None:
                self._end_early(now, call, "too little time is left for a try")
            return True
        there = [p for p in self.peers.values() if p.name != but and self._selectable(now, p)]
        fresh = [p for p in there if p.name not in call.excluded_endpoints]
        if not fresh and (but is not None or not there):
            return False
        self._start(now, call, self.routing.pick(now, fresh or there, call), second=but is not None)
        return True

    def _start(self, now: float, call: Call, peer: Endpoint, second: bool) -> None:
        limit = self.settings.connections.open_limit
        connection = None if self.single else peer.least_loaded_connection(limit)
        if connection is None:
            connection = self._new(now, peer, "call")
        self._numbers += 1
        attempt = Attempt(
            self._numbers,
            f"{self.random.getrandbits(64):016x}",
            call,
            peer,
            connection,
            is_retry=call.attempts_sent > 0,
            is_hedge=second,
        )
        if call.attempts_sent == 0 and call.retries == 0 and not second:
            self.repeats.record_first_attempt(now)
        call.state = CallState.OPEN
        call.attempts.append(attempt)
        peer.open += 1
        if peer.health.state is EjectionState.TRIAL:
            peer.health.trial_in_flight = True
        attempt.connection_idle_s = 0.0 if connection.in_flight else now - connection.idle_since
        connection.in_flight[attempt.id] = attempt
        if connection.state is ConnectionState.READY:
            if self.asks and now - peer.heard > self.settings.health.fresh_s:
                if peer.asked is None:
                    self._ask(now, peer)  # sent once it answers (``_reached``)
                self._plan_silence()
            else:
                self._send(now, attempt)
            if len(connection.in_flight) >= limit - FULL_SOON and not peer.is_dialing:
                self._further(now, peer)

    def _send(self, now: float, attempt: Attempt) -> None:
        call, connection = attempt.call, attempt.connection
        attempt.sent_at = now
        attempt.is_retry = call.attempts_sent > 0
        call.attempts_sent += 1
        call.possibly_run += 1
        self._actions.append(SendRequest(connection, attempt))
        self._tell(now, "try", number=call.number, server=attempt.endpoint.name, rep=attempt.is_retry)
        if self.asks:
            self.silence.sent(now, attempt.endpoint)
            self._plan_silence()
        if not connection.response_timer_set and not self.single:
            connection.response_timer_set = True
            self._at(now + self.settings.connections.silence_s, self._listen, connection)
        if self.settings.retry.second_copies and call.idempotent and not attempt.is_hedge:
            self._at(now + self.estimates.hedge_delay(call.class_name), self._slow, attempt)

    def _reached(self, now: float, connection: Connection) -> None:
        if self.asks and now - connection.endpoint.heard > self.settings.health.fresh_s:
            if connection.in_flight and connection.endpoint.asked is None:
                self._ask(now, connection.endpoint)
                self._plan_silence()
            return
        for attempt in [each for each in connection.in_flight.values() if each.sent_at is None]:
            if self.estimates.fits_in(attempt.call.class_name, attempt.call.deadline - now):
                self._send(now, attempt)
            else:
                self._ended(now, attempt, AttemptResult(AttemptEnd.UNREACHABLE, text="no time was left after the dial"))
                self._close(connection)

    def _slow(self, now: float, attempt: Attempt) -> None:
        """A second copy, if the first is still out and the budget has one."""
        call = attempt.call
        if call.state is not CallState.OPEN or call.attempts != [attempt]:
            return
        others = any(p is not attempt.endpoint and self._selectable(now, p) for p in self.peers.values())
        if others and self.repeats.try_acquire(now):
            self._tell(now, "second copy", number=call.number)
            self._place(now, call, but=attempt.endpoint.name)

    def _waits_on(self, now: float, peer: Endpoint) -> None:
        """A server that says nothing: what was not sent yet goes elsewhere, and safe calls are tried elsewhere out of
        the budget; commits are told uncertain once it has been silent for long enough."""
        if len(self.silence.suspects) > 1:
            self.repeats.grant_at_least(now, float(peer.open))
        for connection in list(peer.connections):
            for attempt in list(connection.in_flight.values()):
                call = attempt.call
                if call.state is not CallState.OPEN or call.attempts != [attempt]:
                    continue
                fits = call.attempts_sent < self.settings.retry.tries and self.estimates.fits_in(
                    call.class_name, call.deadline - now
                )
                if attempt.sent_at is None or call.idempotent and fits and self.repeats.try_acquire(now):
                    if attempt.sent_at is not None:
                        self._tell(now, "given up", number=call.number, server=peer.name)
                        self._actions.append(CancelRequest(connection, attempt))
                    self._release(now, attempt)
                    call.excluded_endpoints.add(peer.name)
                    call.state = CallState.PAUSED
                    self._resume(now, call)
                elif call.idempotent:
                    continue  # until the budget has a repeat
                elif peer.suspected is not None and now - peer.suspected >= self.settings.health.uncertain_s:
                    self._finish(
                        now, call, Uncertain(call.attempts_sent, now - call.started_at, "its server says nothing")
                    )

    # ---- Waiting
    def _opens(self, now: float) -> float:
        """When some server may take a request, as far as is known; with none known, at the next poll."""
        dial = self.dials.available_at(now, self.repeats.first_attempt_rate.per_second(now), not self._connected)

        times = [
            max(peer.health.available_at(now), now if peer.usable_connections else max(peer.next_dial_at, dial))
            for peer in self.peers.values()
            if (peer.member.listed.passing or self.panic) and peer.suspected is None
        ]
        if self.aperture and not self.single and not self._connected:
            # Any server will do for a call that waits with nothing connected, also one that is not followed yet.
            wish = self.keeping.next_urgent_dial(now)
            times += [max(wish.at, dial)] if wish is not None else []
        return max(now, min(times, default=now + self.settings.catalog_rules.poll_s))

    def _wait(self, now: float, call: Call) -> None:
        opens = self._opens(now)
        room = min(self.settings.wait_s, call.deadline - now - self.estimates.typical(call.class_name))
        if opens - now > room:
            return self._end_early(now, call, "no server takes it in time")
        call.state = CallState.WAITING
        self._waiting.append(call)
        self._waiting_live += 1
        self._at(now + room, self._waited, call)
        self._ensure(now)
        self._plan_pump(opens)

    def _waited(self, now: float, call: Call) -> None:
        if call.state is CallState.WAITING:
            self._end_early(now, call, "no server took it in time")

    def _end_early(self, now: float, call: Call, reason: str) -> None:
        """Nothing is out and no try will start: say so now, with the time to come back."""
        span = now - call.started_at
        if call.possibly_run:
            self._finish(now, call, Failed(call.attempts_sent, span, reason))
        else:
            wait = self._opens(now) - now
            self._finish(now, call, Refused(call.attempts_sent, span, reason, wait or self.settings.retry.backoff_s))

    def _plan_pump(self, when: float) -> None:
        if when < self._pump_at:
            self._pump_at = when
            self._at(when, self._pump_due)

    def _pump_due(self, now: float, _: Any) -> None:
        if self._pump_at <= now:
            self._pump_at = float("inf")
            self._pump(now)

    def _opened(self, now: float) -> None:
        if self._waiting_live and any(c.state is ConnectionState.DIALING for c in self.open_connections()):
            # The first server to be connected is not to get all that wait for the others too.
            self._plan_pump(now + SPREAD)
        else:
            self._pump(now)

    def _pump(self, now: float) -> None:
        """Give those that wait to servers that have room, in their order."""
        while self._waiting:
            call = self._waiting[0]
            if call.state is CallState.WAITING:
                if not self._place(now, call):
                    opens = self._opens(now)
                    if opens > now:
                        self._plan_pump(opens)
                    return
                self._waiting_live -= call.attempts != []  # one that was ended instead has been taken off there
            self._waiting.popleft()

    # ---- Ends of tries
    def replied(self, now: float, connection: Connection, attempt_id: int, reply: AttemptResult) -> None:
        """A server's answer. One to a try that nobody waits for any more changes nothing."""
        self._word(now, connection)
        attempt = connection.in_flight.get(attempt_id)
        if attempt is None:
            self._tell(now, "late answer", server=connection.endpoint.name)
            return
        self.membership.record_seen(now, connection.endpoint.name)
        if self.single and connection in connection.endpoint.connections:
            connection.state = ConnectionState.CLOSED
            connection.endpoint.connections.remove(connection)
        self._ended(now, attempt, reply)
        self._settle(now, connection)
        self._pump(now)

    def _release(self, now: float, attempt: Attempt) -> None:
        connection, peer = attempt.connection, attempt.endpoint
        connection.in_flight.pop(attempt.id, None)
        if attempt in attempt.call.attempts:
            attempt.call.attempts.remove(attempt)
            peer.open -= 1
            peer.health.trial_in_flight = False
        if not connection.in_flight:
            connection.idle_since = now

    def _ended(self, now: float, attempt: Attempt, reply: AttemptResult) -> None:
        call, peer = attempt.call, attempt.endpoint
        self._release(now, attempt)
        self._tell(now, f"try {reply.end.value}", number=call.number, server=peer.name)
        if reply.end in NEVER_RAN or reply.end in INVALID_REQUEST:
            call.possibly_run -= attempt.sent_at is not None
        self._learn(now, attempt, reply)
        if call.state is CallState.OVER:
            return
        if reply.end is AttemptEnd.SERVED:
            span = now - call.started_at
            return self._finish(now, call, Served(call.attempts_sent, span, "", reply.body, peer.name))
        call.excluded_endpoints.add(peer.name)
        if call.attempts:
            return  # another copy is still out
        left, usual = call.deadline - now, self.estimates.typical(call.class_name)
        question = RetryContext(call.idempotent, call.possibly_run > 0, call.retries, left, usual)
        verdict = attempts.decide_retry(now, question, reply, self.settings.retry, self.repeats, self.random)
        if isinstance(verdict, GiveUp):
            return self._finish(now, call, self._outcome(now, call, verdict, reply))
        call.retries += 1
        call.state = CallState.PAUSED
        self._tell(now, "again", number=call.number, wait=verdict.delay_s)
        self._at(now + verdict.delay_s, self._resume, call)

    def _outcome(self, now: float, call: Call, verdict: GiveUp, reply: AttemptResult) -> Outcome:
        span = now - call.started_at
        if verdict.uncertain:
            return Uncertain(call.attempts_sent, span, verdict.reason)
        if reply.end in NEVER_RAN and not call.possibly_run:
            # Where others are open the call would have been tried there, had the budget allowed it.
            wait = self._opens(now) - now or reply.retry_after_s or self.settings.retry.backoff_max_s
            return Refused(call.attempts_sent, span, verdict.reason, wait, reply.no_retry_elsewhere)
        return Failed(call.attempts_sent, span, verdict.reason, reply.code)

    def _resume(self, now: float, call: Call) -> None:
        if call.state is CallState.PAUSED and not self._place(now, call):
            self._wait(now, call)

    # ---- What the ends say of the servers
    def _learn(self, now: float, attempt: Attempt, reply: AttemptResult) -> None:
        """What the end of a try says of its server."""
        peer, cls = attempt.endpoint, attempt.call.class_name
        if reply.end is AttemptEnd.SERVED:
            span = now - (attempt.sent_at if attempt.sent_at is not None else now)
            peer.record_latency(now, span / max(self.estimates.typical(cls), 1e-3))
            self.estimates.add(cls, span)
            if self.outliers.record_success(peer.name, peer.health):
                peer.slow_start_since = now
                self._tell(now, "back in", server=peer.name)
        elif reply.end is AttemptEnd.REJECTED:
            peer.record_rejection(now, self.settings.routing)
            if reply.retry_after_s:
                peer.health.retry_after_until = max(peer.health.retry_after_until, now + reply.retry_after_s)
            self.outliers.record_rejection(peer.health)
        elif reply.end in (AttemptEnd.FAILED, AttemptEnd.MALFORMED_RESPONSE):
            self._fault(now, peer)
        else:
            self.outliers.record_rejection(peer.health)  # a lost connection counts once, where it is lost

    def _fault(self, now: float, peer: Endpoint) -> None:
        known = self.peers.get(peer.name) is peer
        if known and self.outliers.record_failure(now, peer.name, peer.health, len(self.peers)):
            self._left_out(now, peer)

    def _left_out(self, now: float, peer: Endpoint) -> None:
        self._tell(now, "left out", server=peer.name, span=peer.health.ejected_until - now)
        self._at(peer.health.ejected_until, self._back, peer)

    def _back(self, now: float, peer: Endpoint) -> None:
        if self.peers.get(peer.name) is not peer or not self.outliers.end_ejection(now, peer.health):
            return
        if peer.health.state is not EjectionState.PROBING:
            self._pump(now)
        elif not peer.health_check_pending:  # one that is under way for its silence serves for this too
            peer.health_check_pending = True
            self._actions.append(CheckHealth(peer))

    def probed(self, now: float, peer: Endpoint, good: bool) -> None:
        """The answer to a probe; none in time is a bad one."""
        peer.health_check_pending = False
        self._tell(now, "probe good" if good else "probe bad", server=peer.name)
        if self.peers.get(peer.name) is not peer:
            return
        if peer.health.state is EjectionState.PROBING:
            self.outliers.record_probe(now, peer.name, peer.health, good)
            if good:
                self._pump(now)
            else:
                self._left_out(now, peer)
        elif not good:
            if self.outliers.record_unresponsive(now, peer.name, peer.health, len(self.peers)):
                self._left_out(now, peer)
            for connection in list(peer.connections):
                if connection.in_flight and now - connection.last_received_at >= self.settings.connections.silence_s:
                    for attempt in connection.in_flight.values():
                        if attempt.sent_at is not None:  # else one that wakes begins it before it reads the close
                            self._actions.append(CancelRequest(connection, attempt))
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
