"""The servers that a client follows and its connections to them: the list, dials, losses, idle and silent ones.

What the calls are is the policy's business (``policy``), which this knows by the hooks below only.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable
from random import Random
from typing import Any

from lapishaven.client import connections
from lapishaven.client.actions import CheckHealth, CloseConnection, OpenConnection, SendProbe
from lapishaven.client.attempts import RetryBudget
from lapishaven.client.connections import DialBudget
from lapishaven.client.engine import Engine, Hook
from lapishaven.client.fleet.aperture import placement_number
from lapishaven.client.fleet.connection_manager import ConnectionManager
from lapishaven.client.health import EjectionState, OutlierDetector
from lapishaven.client.membership import Membership, rendezvous_subset
from lapishaven.client.model import Attempt, Connection, ConnectionState, Endpoint
from lapishaven.client.outcomes import AttemptEnd, AttemptResult
from lapishaven.client.routing import make_strategy
from lapishaven.client.settings import Settings
from lapishaven.load_balancing.failure_detector import FailureDetector
from lapishaven.load_balancing.model import Rules
from lapishaven.proto.catalog import Delta, Listing

# s after its last answer within which a server with many callers closes a connection. The close that a killed one
# leaves comes at any time, so of thin clients', which lose the most by dialling the dead, few look like it.
REST = 0.3


class Links(Engine, ABC):
    """``peers``: the servers followed, by name; ``keeping`` says which are kept connected and when they are dialled."""

    def __init__(self, settings: Settings, random: Random, now: float, hook: Hook | None, shared: float) -> None:
        super().__init__(settings, random, hook)
        self.single = settings.wire == "uwsgi"  # a connection carries one request
        self.identity = random.getrandbits(64)
        self.membership = Membership(settings.catalog_rules)
        self.peers: dict[str, Endpoint] = {}
        self.outliers = OutlierDetector(settings.health)
        usual = sum(rule.estimate_s for rule in settings.classes.values()) / len(settings.classes)
        self.routing = make_strategy(settings.routing, random, usual)
        self.repeats = RetryBudget(settings.retry, now)  # its rate is that of the first tries
        self.dials = DialBudget(settings.connections, now)
        self.aperture = settings.routing.subsetting == "aperture"
        number = placement_number(settings.caller, settings.callers, self.identity)
        self.keeping = ConnectionManager(
            settings.connections, self.membership, self.peers, number, random, bool(settings.catalog), shared
        )
        rules = Rules(watch=settings.health.watch_s, silent=settings.health.silent_s)
        self.silence: FailureDetector[Endpoint] = FailureDetector(rules, random)
        self.asks = settings.health.watch_s > 0 and not self.single  # that wire has no question
        self._silence_at = float("inf")
        self._waiting_live = 0  # calls that wait for a server
        self._dials_at = float("inf")
        self._held = float("inf")  # when the next dial may be made that is not urgent; infinite before it is drawn
        self._starting = True
        self._active = float("-inf")  # when the last call came
        self._keep_span = settings.connections.idle_s  # s for which a quiet client keeps its window connected
        self._panic = False  # rendezvous: most of the list does not pass, so the list is not gone by
        self._closed = False

    # ---- What the calls are told
    @abstractmethod
    def _reached(self, now: float, connection: Connection) -> None:
        """It is connected: send what waited on it."""

    @abstractmethod
    def _ended(self, now: float, attempt: Attempt, reply: AttemptResult) -> None:
        """A try came to its end."""

    @abstractmethod
    def _fault(self, now: float, peer: Endpoint) -> None:
        """A server lost what was sent to it."""

    @abstractmethod
    def _opened(self, now: float) -> None:
        """A server is newly connected, so calls that wait may go."""

    @abstractmethod
    def _pump(self, now: float) -> None:
        """There may be room for calls that wait."""

    @abstractmethod
    def _waits_on(self, now: float, peer: Endpoint) -> None:
        """It says nothing: see to what waits there."""

    # ---- Silence
    def _ask(self, now: float, peer: Endpoint) -> None:
        """Ask on the connection that has been quiet longest; where there is none it is no silence."""
        ready = [c for c in peer.connections if c.state in (ConnectionState.READY, ConnectionState.DRAINING)]
        if not ready:
            peer.asked = None
            return
        self.silence.asked(now, peer)
        self._tell(now, "ask", server=peer.name)
        self._actions.append(SendProbe(min(ready, key=lambda connection: connection.last_received_at)))

    def _word(self, now: float, connection: Connection) -> None:
        """Anything that came from a server."""
        peer = connection.endpoint
        connection.last_received_at = peer.heard = now
        if connection.replaces_idle_close:
            connection.replaces_idle_close = False
            self.dials.refund()
        if self.asks and self.silence.heard(peer):
            self._tell(now, "speaks again", server=peer.name)

    def well(self, now: float, connection: Connection) -> None:
        """The answer to a question on a connection, whatever it says: the server is there."""
        self._word(now, connection)
        for each in list(connection.endpoint.connections):
            if each.state is ConnectionState.READY:
                self._reached(now, each)
        self._pump(now)

    def _plan_silence(self) -> None:
        when = self.silence.next_at()
        if self.asks and when < self._silence_at:
            self._silence_at = when
            self._at(when, self._look_silence)

    def _look_silence(self, now: float, _: Any) -> None:
        if now < self._silence_at:
            return
        self._silence_at = float("inf")
        ask, fell = self.silence.due(now, lambda peer: self.peers.get(peer.name) is peer)
        for peer in ask:
            self._ask(now, peer)
        for peer in fell:
            self._tell(now, "fell silent", server=peer.name)
        for peer in sorted(self.silence.suspects, key=lambda peer: peer.name):
            self._waits_on(now, peer)
        self._plan_silence()

    # ---- Membership
    def listed(self, now: float, listing: Listing | Delta) -> str:
        """The catalog's list, or what changed in it; says what became of it."""
        if isinstance(listing, Delta):
            change = self.membership.apply_delta(now, listing)
        else:
            change = self.membership.apply_list(now, listing)
        self._tell(now, f"list {change.verdict}", joined=change.joined, left=change.left)
        if change.doubted:
            self._at(now + self.settings.catalog_rules.confirm_s, self._sweep)
        if change.verdict in ("taken", "held back"):
            for name in change.left:
                self._drop(now, name)
            if self.aperture:
                self._news(now, change.joined, change.left, change.changed)
            self._resubset(now)
        return change.verdict

    def listed_before(self, now: float, data: bytes) -> str:
        """A list that an earlier process kept (``Membership.saved``), at the start; ``ProtocolError`` where it is
        not one."""
        change = self.membership.restore(now, data)
        self._tell(now, f"list {change.verdict}", joined=change.joined, left=change.left, restored=True)
        if change.verdict == "taken":
            self._resubset(now)
        return change.verdict

    def _news(self, now: float, joined: Iterable[str], left: Iterable[str], altered: Iterable[str]) -> None:
        """Aperture: what a list says of servers leaving and coming back."""
        for name in self.keeping.endpoints_changed(now, joined, left, altered):
            peer = self.peers.get(name)
            if peer is not None and peer.lost_at is not None and peer.lost_at < now:
                peer.lost_at = None  # back: dialled in the client's turn

    def _sweep(self, now: float, _: Any) -> None:
        gone = self.membership.remove_expired(now)
        for name in gone:
            self._drop(now, name)
        if self.aperture and gone:
            self._news(now, (), gone, ())
        self._resubset(now)
        if self.membership.has_doubted:
            self._at(now + self.settings.catalog_rules.confirm_s / 4, self._sweep)

    def _resubset(self, now: float) -> None:
        if self.aperture:
            self._follow(now)
            self._ensure(now)
            return self._pump(now)
        names = rendezvous_subset(list(self.membership.names), self.settings.routing.subset, self.identity)
        for name in [name for name in self.peers if name not in names]:
            self._drop(now, name)
        for name in names:
            self._peer(name)
        passing = sum(peer.member.listed.passing for peer in self.peers.values())
        self._panic = passing * 2 < len(self.peers)
        self._ensure(now)
        self.routing.endpoints_changed(names)
        self._pump(now)

    def _drop(self, now: float, name: str) -> None:
        """A server left: what is open there is finished, nothing new goes there."""
        peer = self.peers.pop(name, None)
        self.membership.untrack(name)
        if peer is None:
            return
        self.outliers.forget(name)
        self.silence.forget(peer)
        for connection in list(peer.connections):
            if connection.in_flight:
                connection.state = (
                    ConnectionState.DRAINING if connection.state is ConnectionState.READY else connection.state
                )
            else:
                self._close(connection)

    # ---- Servers that are followed
    def _new(self, now: float, peer: Endpoint, why: str) -> Connection:
        self._numbers += 1
        connection = Connection(self._numbers, peer, now, last_received_at=now, idle_since=now)
        connection.replaces_idle_close, peer.closed_idle_connection = (
            peer.closed_idle_connection and why == "urgent",
            False,
        )
        peer.connections.append(connection)
        self._tell(now, "dial", server=peer.name, why=why)
        self._actions.append(OpenConnection(connection))
        return connection

    @property
    def panic(self) -> bool:
        """Most of the list does not pass, so the list is not gone by."""
        return self.keeping.panic if self.aperture else self._panic

    @property
    def _connected(self) -> bool:
        """Whether any server is connected that is not known to say nothing."""
        there = (peer for peer in self.peers.values() if peer.suspected is None)
        return any(c.state is ConnectionState.READY for peer in there for c in peer.connections)

    def _follow(self, now: float) -> None:
        """A peer for each server of the window, and none for those that are not gone by any more; routing is told."""
        before = set(self.peers)
        self.keeping.update_window(now, self.repeats.first_attempt_rate.per_second(now))
        for name in [name for name in self.peers if not self.keeping.is_tracked(now, name)]:
            self._drop(now, name)
        for name in self.keeping.window:
            self._peer(name)
        if self.peers.keys() != before:
            self.routing.endpoints_changed(tuple(self.peers))

    def _peer(self, name: str) -> Endpoint | None:
        """The peer of that name, made now if it is on the list."""
        if name not in self.peers and (member := self.membership.track(name)) is not None:
            self.peers[name] = Endpoint(name, member, None if member.warmed_up else member.listed_since)
        return self.peers.get(name)

    # ---- Dials
    def _ensure_window(self, now: float) -> None:
        """Dial what the aperture keeps and is not connected: in the client's turn and one at a time, at once only where
        a call waits and nothing is connected."""
        if self.single or self._closed or now - self._active > self._keep_span:
            return
        self._follow(now)
        for name in self.keeping.surplus_stand_ins():
            self._drop(now, name)
        rate = self.repeats.first_attempt_rate.per_second(now)
        in_flight = any(peer.is_dialing for peer in self.peers.values())
        urgent = self._waiting_live > 0 and not self._connected
        wish = self.keeping.next_dial(now, rate, urgent)
        if wish is None:
            if self._starting and all(self.peers[n].usable_connections for n in self.keeping.window if n in self.peers):
                self._started(now, None)
            return
        if in_flight and not urgent:
            return  # one at a time: its end looks again
        if wish.at > now:
            return self._plan_dials(wish.at)
        saved = float(len(self.keeping.window))
        if not self.dials.try_acquire(now, rate, urgent, saved):
            return self._plan_dials(self.dials.available_at(now, rate, urgent, saved))
        peer = self._peer(wish.name)
        if peer is not None:
            self._new(now, peer, wish.reason)
            self.keeping.record_dial(now, wish)
            if wish.name not in self.keeping.window:
                self.routing.endpoints_changed(tuple(self.peers))

    def _ensure(self, now: float) -> None:
        """Keep as many servers connected as the traffic wants, as fast as the budget of dials allows."""
        if self.aperture:
            return self._ensure_window(now)
        rules, rate = self.settings.connections, self.repeats.first_attempt_rate.per_second(now)
        if self.single or self._closed or now - self._active > rules.idle_s:
            return
        there = [p for p in self.peers.values() if p.member.listed.passing or self.panic]
        usable = sum(p.usable_connections > 0 and p.health.state is not EjectionState.EJECTED for p in there)
        missing = connections.connections_wanted(rules, rate, len(there)) - usable
        if missing <= 0:
            return  # else the list, or a further look, will say when one is wanted
        # One that is back from a restart has the fewest connections of all, and will not leave again soon; but it
        # is cold, so no more than half are taken from these.
        cold = sum(p.usable_connections > 0 and p.slow_start_since is not None for p in there)
        fresh = cold * 2 < usable
        lacking = sorted(
            (max(p.next_dial_at, now), (p.slow_start_since is not None) != fresh, self.random.random(), p)
            for p in there
            if not p.usable_connections
        )
        urgent = self._waiting_live > 0 and not self._connected
        for dial_at, _, _, peer in lacking[:missing]:
            if dial_at > now:
                return self._plan_dials(dial_at)
            if not urgent and not self._starting:
                # What made it wanting may have struck every client at this moment, so each draws its own time.
                if self._held == float("inf"):
                    # The fewer there are left, the sooner.
                    self._held = now + self._redial(now, 0) * (usable + 1) / (usable + missing)
                if self._held > now:
                    return self._plan_dials(self._held)
                self._held = float("inf")
            if not self.dials.try_acquire(now, rate, urgent):
                return self._plan_dials(self.dials.available_at(now, rate, urgent))
            self._new(now, peer, "urgent" if urgent else "start" if self._starting else "wanted")

    def _started(self, now: float, _: Any) -> None:
        """The first connections are made; from now on they are made anew, and that is budgeted."""
        self._starting = self.keeping.starting = False
        self.dials.end_start_burst()

    def _plan_dials(self, when: float) -> None:
        if when < self._dials_at:
            self._dials_at = when
            self._at(when, self._dials_due)

    def _dials_due(self, now: float, _: Any) -> None:
        if self._dials_at <= now:
            self._dials_at = float("inf")
            self._ensure(now)

    def _further(self, now: float, peer: Endpoint) -> None:
        if peer.usable_connections < self.settings.connections.each and self.dials.try_acquire(
            now, self.repeats.first_attempt_rate.per_second(now)
        ):
            self._new(now, peer, "further")

    # ---- What becomes of a connection
    def connected(self, now: float, connection: Connection) -> None:
        peer = connection.endpoint
        if connection.state is not ConnectionState.DIALING:
            return
        connection.state, connection.last_received_at, connection.idle_since = ConnectionState.READY, now, now
        peer.lost_at = None
        if self.asks:
            # That the kernel took it says nothing of the process. And servers close a connection on which nothing whole
            # was said for 2 s: one that is kept for calls to come would be dialled in vain.
            self.silence.asked(now, peer)
            self._tell(now, "ask", server=peer.name)
            self._actions.append(SendProbe(connection))
            self._plan_silence()
        else:
            peer.heard = now
        self.membership.record_seen(now, peer.name)
        if peer.dial_failures:
            peer.slow_start_since = now  # it was away, so it is another process, and cold
            peer.smoothed_latency = 0.0
            peer.dial_failures = 0
        if self.peers.get(peer.name) is not peer and not connection.in_flight:
            return self._close(connection)
        self._reached(now, connection)
        self._settle(now, connection)
        if self.aperture:
            self._ensure(now)  # the next one, one at a time
        self._opened(now)

    def dial_failed(self, now: float, connection: Connection) -> None:
        """No connection came about, so nothing was sent on it."""
        if connection.state is not ConnectionState.DIALING:
            return
        peer = connection.endpoint
        self._tell(now, "dial failed", server=peer.name)
        self._away(now, peer)
        peer.lost_at = now  # our own evidence, against a list that may be stale
        if self.membership.remove_doubted(peer.name):
            self._drop(now, peer.name)
            self._resubset(now)
        self._lost(now, connection, clean=True)

    def _away(self, now: float, peer: Endpoint) -> None:
        peer.next_dial_at = now + self._redial(now, peer.dial_failures)
        peer.dial_failures += 1

    def _redial(self, now: float, failures: int) -> float:
        rate = self.dials.refill_rate(self.repeats.first_attempt_rate.per_second(now), not self._connected)
        return connections.redial_delay(self.settings.connections, failures, rate, self.random)

    def draining(self, now: float, connection: Connection) -> None:
        """The server leaves: nothing new goes there, what is open is finished."""
        self._word(now, connection)
        if connection.state is not ConnectionState.READY:
            return
        self._tell(now, "draining", server=connection.endpoint.name)
        connection.state = ConnectionState.DRAINING
        peer = connection.endpoint
        if self.aperture:
            # Not dialled before the news that it is back, drawn over the pace: no backoff of its own on top.
            peer.lost_at = now if peer.lost_at is None else peer.lost_at
            peer.next_dial_at = now + self.settings.connections.drain_s
            peer.dial_failures += 1  # so that it is taken for cold when it is there again
        else:
            self._away(now, peer)
            peer.next_dial_at += self.settings.connections.drain_s
        if self.membership.remove_doubted(connection.endpoint.name):
            self._drop(now, connection.endpoint.name)
        self._settle(now, connection)
        self._ensure(now)

    def closed(self, now: float, connection: Connection, clean: bool) -> None:
        """The connection ended by the other side; ``clean`` unless it was reset or could not be read."""
        if connection.state is not ConnectionState.CLOSED:
            self._lost(now, connection, clean)

    def _lost(self, now: float, connection: Connection, clean: bool) -> None:
        peer, open_tries = connection.endpoint, list(connection.in_flight.values())
        if self.asks and len(peer.connections) <= 1:
            self.silence.forget(peer)  # what is known of it ends with its connection
        quiet = self.settings.connections.crossing_quiet_s
        crossed = {attempt.id for attempt in open_tries if connection.close_proves_unread(now, attempt, clean, quiet)}
        quickly = now - connection.idle_since <= REST
        peer.closed_idle_connection = clean and quickly and not open_tries and connection.state is ConnectionState.READY
        connection.state = ConnectionState.CLOSED
        self._started(now, None)
        if connection in peer.connections:
            peer.connections.remove(connection)
        if self.aperture and peer.lost_at is None:
            # Also a clean close with nothing open: a killed process's sockets close just so, and a server's idle
            # close is made good after away_s, if the client still has calls.
            peer.lost_at = now
            if not self.settings.catalog and peer.next_dial_at <= now:
                # No news will come: dial again after a pause drawn as the first of a backoff, sooner only for a
                # call that waits with nothing connected.
                rules = self.settings.connections
                peer.next_dial_at = now + self.random.uniform(
                    0.0, max(rules.redial_s, self.keeping.deploy_interval.spread_s(now))
                )
        if self.aperture and self.membership.remove_doubted(peer.name):
            self._drop(now, peer.name)  # the list left it out, and now its connection is gone too
        if any(attempt.sent_at is not None and attempt.id not in crossed for attempt in open_tries):
            self._fault(now, peer)
        for attempt in open_tries:
            if attempt.sent_at is None:
                reply = AttemptResult(AttemptEnd.UNREACHABLE, text="the server could not be reached")
            elif attempt.id in crossed:
                reply = AttemptResult(AttemptEnd.CLOSE_RACE, text="it met the connection's close")
            else:
                reply = AttemptResult(AttemptEnd.LOST, text="the connection ended before the answer")
            self._ended(now, attempt, reply)
        self._ensure(now)
        self._pump(now)

    def _close(self, connection: Connection) -> None:
        if connection.state is not ConnectionState.CLOSED:
            connection.state = ConnectionState.CLOSED
            self._actions.append(CloseConnection(connection))
        if connection in connection.endpoint.connections:
            connection.endpoint.connections.remove(connection)

    def _settle(self, now: float, connection: Connection) -> None:
        """What an empty connection is for: a draining one is closed, another waits to be idle."""
        if connection.in_flight or connection.state in (ConnectionState.CLOSED, ConnectionState.DIALING):
            return
        if connection.state is ConnectionState.DRAINING:
            self._close(connection)
        elif not connection.idle_timer_set and not self.single:
            connection.idle_timer_set = True
            self._at(now + self.settings.connections.idle_s, self._idle, connection)

    def _idle(self, now: float, connection: Connection) -> None:
        connection.idle_timer_set = False
        if connection.state is not ConnectionState.READY or connection.in_flight:
            return
        if self.aperture:
            kept = self.keeping.keep_connected(connection.endpoint.name) and connection.endpoint.usable_connections == 1
            due = max(connection.idle_since + self.settings.connections.idle_s, self._active + self._keep_span)
            if not kept:
                due = connection.idle_since + self.settings.connections.idle_s
            if due > now:
                connection.idle_timer_set = True
                return self._at(due, self._idle, connection)
            self._tell(now, "idle close", server=connection.endpoint.name)
            return self._close(connection)
        # While there are calls, as many stay as the traffic wants: to close them would be to dial again soon.
        rules, there = self.settings.connections, len(self.peers)
        usable = sum(peer.usable_connections > 0 for peer in self.peers.values())
        spare = usable > connections.connections_wanted(rules, self.repeats.first_attempt_rate.per_second(now), there)
        kept = (
            connection.endpoint.usable_connections == 1
            and not spare
            and self.peers.get(connection.endpoint.name) is connection.endpoint
        )
        due = max(connection.idle_since, self._active if kept else 0.0) + rules.idle_s
        if due > now:
            connection.idle_timer_set = True
            self._at(due, self._idle, connection)
        else:
            self._tell(now, "idle close", server=connection.endpoint.name)
            self._close(connection)

    def _listen(self, now: float, connection: Connection) -> None:
        """Look whether a connection with something open has gone silent."""
        connection.response_timer_set = False
        span = self.settings.connections.silence_s
        oldest = min((a.sent_at for a in connection.in_flight.values() if a.sent_at is not None), default=None)
        if connection.state is ConnectionState.CLOSED or oldest is None:
            return
        connection.response_timer_set = True
        quiet_since = max(oldest, connection.last_received_at)
        if quiet_since + span > now:
            return self._at(quiet_since + span, self._listen, connection)
        self._at(now + span, self._listen, connection)
        peer = connection.endpoint
        if not peer.health_check_pending:
            peer.health_check_pending = True
            self._tell(now, "silent", server=peer.name)
            self._actions.append(CheckHealth(peer))

    def open_connections(self) -> Iterable[Connection]:
        return (connection for peer in self.peers.values() for connection in peer.connections)
