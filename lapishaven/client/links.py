"""The servers that a client follows and its connections to them: the list, dials, losses, idle and silent ones.

What the calls are is the policy's business (``policy``), which this knows by the hooks below only.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable
from random import Random
from typing import Any

from lapishaven.client import connections
from lapishaven.client.actions import Ask, Close, Dial, Probe
from lapishaven.client.attempts import RetryBudget
from lapishaven.client.connections import DialBudget
from lapishaven.client.engine import Engine, Hook
from lapishaven.client.fleet.aperture import ticket
from lapishaven.client.fleet.connection_manager import ConnectionManager
from lapishaven.client.health import Outliers, Standing
from lapishaven.client.membership import Membership, subset
from lapishaven.client.model import Attempt, Connection, Peer, Phase
from lapishaven.client.outcomes import Ending, Reply
from lapishaven.client.routing import strategy
from lapishaven.client.settings import Settings
from lapishaven.load_balancing.failure_detector import FailureDetector
from lapishaven.load_balancing.rules import BalancingRules
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
        self.peers: dict[str, Peer] = {}
        self.outliers = Outliers(settings.health)
        usual = sum(rule.estimate_s for rule in settings.classes.values()) / len(settings.classes)
        self.routing = strategy(settings.routing, random, usual)
        self.repeats = RetryBudget(settings.retry, now)  # its rate is that of the first tries
        self.dials = DialBudget(settings.connections, now)
        self.aperture = settings.routing.subsetting == "aperture"
        number = ticket(settings.caller, settings.callers, self.identity)
        self.keeping = ConnectionManager(
            settings.connections, self.membership, self.peers, number, random, bool(settings.catalog), shared
        )
        rules = BalancingRules(watch_interval_s=settings.health.watch_s, probe_timeout_s=settings.health.silent_s)
        self.silence: FailureDetector[Peer] = FailureDetector(rules, random)
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
    def _ended(self, now: float, attempt: Attempt, reply: Reply) -> None:
        """A try came to its end."""

    @abstractmethod
    def _fault(self, now: float, peer: Peer) -> None:
        """A server lost what was sent to it."""

    @abstractmethod
    def _opened(self, now: float) -> None:
        """A server is newly connected, so calls that wait may go."""

    @abstractmethod
    def _pump(self, now: float) -> None:
        """There may be room for calls that wait."""

    @abstractmethod
    def _waits_on(self, now: float, peer: Peer) -> None:
        """It says nothing: see to what waits there."""

    # ---- Silence
    def _ask(self, now: float, peer: Peer) -> None:
        """Ask on the connection that has been quiet longest; where there is none it is no silence."""
        ready = [c for c in peer.connections if c.phase in (Phase.READY, Phase.DRAINING)]
        if not ready:
            peer.asked = None
            return
        self.silence.asked(now, peer)
        self._tell(now, "ask", server=peer.name)
        self._actions.append(Ask(min(ready, key=lambda connection: connection.heard)))

    def _word(self, now: float, connection: Connection) -> None:
        """Anything that came from a server."""
        peer = connection.peer
        connection.heard = peer.heard = now
        if connection.resumes:
            connection.resumes = False
            self.dials.refund()
        if self.asks and self.silence.heard(peer):
            self._tell(now, "speaks again", server=peer.name)

    def well(self, now: float, connection: Connection) -> None:
        """The answer to a question on a connection, whatever it says: the server is there."""
        self._word(now, connection)
        for each in list(connection.peer.connections):
            if each.phase is Phase.READY:
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
            change = self.membership.offer_delta(now, listing)
        else:
            change = self.membership.offer(now, listing)
        self._tell(now, f"list {change.verdict}", joined=change.joined, left=change.left)
        if change.doubted:
            self._at(now + self.settings.catalog_rules.confirm_s, self._sweep)
        if change.verdict in ("taken", "held back"):
            for name in change.left:
                self._drop(now, name)
            if self.aperture:
                self._news(now, change.joined, change.left, change.altered)
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
        for name in self.keeping.news(now, joined, left, altered):
            peer = self.peers.get(name)
            if peer is not None and peer.lost_at is not None and peer.lost_at < now:
                peer.lost_at = None  # back: dialled in the client's turn

    def _sweep(self, now: float, _: Any) -> None:
        gone = self.membership.sweep(now)
        for name in gone:
            self._drop(now, name)
        if self.aperture and gone:
            self._news(now, (), gone, ())
        self._resubset(now)
        if self.membership.doubting:
            self._at(now + self.settings.catalog_rules.confirm_s / 4, self._sweep)

    def _resubset(self, now: float) -> None:
        if self.aperture:
            self._follow(now)
            self._ensure(now)
            return self._pump(now)
        names = subset(list(self.membership.names), self.settings.routing.subset, self.identity)
        for name in [name for name in self.peers if name not in names]:
            self._drop(now, name)
        for name in names:
            self._peer(name)
        passing = sum(peer.member.listed.passing for peer in self.peers.values())
        self._panic = passing * 2 < len(self.peers)
        self._ensure(now)
        self.routing.members(names)
        self._pump(now)

    def _drop(self, now: float, name: str) -> None:
        """A server left: what is open there is finished, nothing new goes there."""
        peer = self.peers.pop(name, None)
        self.membership.unfollow(name)
        if peer is None:
            return
        self.outliers.forget(name)
        self.silence.forget(peer)
        for connection in list(peer.connections):
            if connection.open:
                connection.phase = Phase.DRAINING if connection.phase is Phase.READY else connection.phase
            else:
                self._close(connection)

    # ---- Servers that are followed
    def _new(self, now: float, peer: Peer, why: str) -> Connection:
        self._numbers += 1
        connection = Connection(self._numbers, peer, now, heard=now, emptied=now)
        connection.resumes, peer.rested = peer.rested and why == "urgent", False
        peer.connections.append(connection)
        self._tell(now, "dial", server=peer.name, why=why)
        self._actions.append(Dial(connection))
        return connection

    @property
    def panic(self) -> bool:
        """Most of the list does not pass, so the list is not gone by."""
        return self.keeping.panic if self.aperture else self._panic

    @property
    def _connected(self) -> bool:
        """Whether any server is connected that is not known to say nothing."""
        there = (peer for peer in self.peers.values() if peer.suspected is None)
        return any(c.phase is Phase.READY for peer in there for c in peer.connections)

    def _follow(self, now: float) -> None:
        """A peer for each server of the window, and none for those that are not gone by any more; routing is told."""
        before = set(self.peers)
        self.keeping.follow(now, self.repeats.rate.at(now))
        for name in [name for name in self.peers if not self.keeping.follows(now, name)]:
            self._drop(now, name)
        for name in self.keeping.window:
            self._peer(name)
        if self.peers.keys() != before:
            self.routing.members(tuple(self.peers))

    def _peer(self, name: str) -> Peer | None:
        """The peer of that name, made now if it is on the list."""
        if name not in self.peers and (member := self.membership.member(name)) is not None:
            self.peers[name] = Peer(name, member, None if member.warm else member.since)
        return self.peers.get(name)

    # ---- Dials
    def _ensure_window(self, now: float) -> None:
        """Dial what the aperture keeps and is not connected: in the client's turn and one at a time, at once only where
        a call waits and nothing is connected."""
        if self.single or self._closed or now - self._active > self._keep_span:
            return
        self._follow(now)
        for name in self.keeping.spare():
            self._drop(now, name)
        rate = self.repeats.rate.at(now)
        in_flight = any(peer.dialing for peer in self.peers.values())
        urgent = self._waiting_live > 0 and not self._connected
        wish = self.keeping.wish(now, rate, urgent)
        if wish is None:
            if self._starting and all(self.peers[n].usable for n in self.keeping.window if n in self.peers):
                self._started(now, None)
            return
        if in_flight and not urgent:
            return  # one at a time: its end looks again
        if wish.at > now:
            return self._plan_dials(wish.at)
        saved = float(len(self.keeping.window))
        if not self.dials.take(now, rate, urgent, saved):
            return self._plan_dials(self.dials.at(now, rate, urgent, saved))
        peer = self._peer(wish.name)
        if peer is not None:
            self._new(now, peer, wish.why)
            self.keeping.took(now, wish)
            if wish.name not in self.keeping.window:
                self.routing.members(tuple(self.peers))

    def _ensure(self, now: float) -> None:
        """Keep as many servers connected as the traffic wants, as fast as the budget of dials allows."""
        if self.aperture:
            return self._ensure_window(now)
        rules, rate = self.settings.connections, self.repeats.rate.at(now)
        if self.single or self._closed or now - self._active > rules.idle_s:
            return
        there = [p for p in self.peers.values() if p.member.listed.passing or self.panic]
        usable = sum(p.usable > 0 and p.health.standing is not Standing.OUT for p in there)
        missing = connections.wanted(rules, rate, len(there)) - usable
        if missing <= 0:
            return  # else the list, or a further look, will say when one is wanted
        # One that is back from a restart has the fewest connections of all, and will not leave again soon; but it
        # is cold, so no more than half are taken from these.
        cold = sum(p.usable > 0 and p.cold_since is not None for p in there)
        fresh = cold * 2 < usable
        lacking = sorted(
            (max(p.dial_at, now), (p.cold_since is not None) != fresh, self.random.random(), p)
            for p in there
            if not p.usable
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
            if not self.dials.take(now, rate, urgent):
                return self._plan_dials(self.dials.at(now, rate, urgent))
            self._new(now, peer, "urgent" if urgent else "start" if self._starting else "wanted")

    def _started(self, now: float, _: Any) -> None:
        """The first connections are made; from now on they are made anew, and that is budgeted."""
        self._starting = self.keeping.starting = False
        self.dials.started()

    def _plan_dials(self, when: float) -> None:
        if when < self._dials_at:
            self._dials_at = when
            self._at(when, self._dials_due)

    def _dials_due(self, now: float, _: Any) -> None:
        if self._dials_at <= now:
            self._dials_at = float("inf")
            self._ensure(now)

    def _further(self, now: float, peer: Peer) -> None:
        if peer.usable < self.settings.connections.each and self.dials.take(now, self.repeats.rate.at(now)):
            self._new(now, peer, "further")

    # ---- What becomes of a connection
    def connected(self, now: float, connection: Connection) -> None:
        peer = connection.peer
        if connection.phase is not Phase.DIALING:
            return
        connection.phase, connection.heard, connection.emptied = Phase.READY, now, now
        peer.lost_at = None
        if self.asks:
            # That the kernel took it says nothing of the process. And servers close a connection on which nothing whole
            # was said for 2 s: one that is kept for calls to come would be dialled in vain.
            self.silence.asked(now, peer)
            self._tell(now, "ask", server=peer.name)
            self._actions.append(Ask(connection))
            self._plan_silence()
        else:
            peer.heard = now
        self.membership.vouch(now, peer.name)
        if peer.dial_failures:
            peer.cold_since = now  # it was away, so it is another process, and cold
            peer.latency = 0.0
            peer.dial_failures = 0
        if self.peers.get(peer.name) is not peer and not connection.open:
            return self._close(connection)
        self._reached(now, connection)
        self._settle(now, connection)
        if self.aperture:
            self._ensure(now)  # the next one, one at a time
        self._opened(now)

    def dial_failed(self, now: float, connection: Connection) -> None:
        """No connection came about, so nothing was sent on it."""
        if connection.phase is not Phase.DIALING:
            return
        peer = connection.peer
        self._tell(now, "dial failed", server=peer.name)
        self._away(now, peer)
        peer.lost_at = now  # our own evidence, against a list that may be stale
        if self.membership.gone(peer.name):
            self._drop(now, peer.name)
            self._resubset(now)
        self._lost(now, connection, clean=True)

    def _away(self, now: float, peer: Peer) -> None:
        peer.dial_at = now + self._redial(now, peer.dial_failures)
        peer.dial_failures += 1

    def _redial(self, now: float, failures: int) -> float:
        rate = self.dials.rate(self.repeats.rate.at(now), not self._connected)
        return connections.redial(self.settings.connections, failures, rate, self.random)

    def draining(self, now: float, connection: Connection) -> None:
        """The server leaves: nothing new goes there, what is open is finished."""
        self._word(now, connection)
        if connection.phase is not Phase.READY:
            return
        self._tell(now, "draining", server=connection.peer.name)
        connection.phase = Phase.DRAINING
        peer = connection.peer
        if self.aperture:
            # Not dialled before the news that it is back, drawn over the pace: no backoff of its own on top.
            peer.lost_at = now if peer.lost_at is None else peer.lost_at
            peer.dial_at = now + self.settings.connections.drain_s
            peer.dial_failures += 1  # so that it is taken for cold when it is there again
        else:
            self._away(now, peer)
            peer.dial_at += self.settings.connections.drain_s
        if self.membership.gone(connection.peer.name):
            self._drop(now, connection.peer.name)
        self._settle(now, connection)
        self._ensure(now)

    def closed(self, now: float, connection: Connection, clean: bool) -> None:
        """The connection ended by the other side; ``clean`` unless it was reset or could not be read."""
        if connection.phase is not Phase.CLOSED:
            self._lost(now, connection, clean)

    def _lost(self, now: float, connection: Connection, clean: bool) -> None:
        peer, open_tries = connection.peer, list(connection.open.values())
        if self.asks and len(peer.connections) <= 1:
            self.silence.forget(peer)  # what is known of it ends with its connection
        quiet = self.settings.connections.crossing_quiet_s
        crossed = {attempt.id for attempt in open_tries if connection.crossed(now, attempt, clean, quiet)}
        quickly = now - connection.emptied <= REST
        peer.rested = clean and quickly and not open_tries and connection.phase is Phase.READY
        connection.phase = Phase.CLOSED
        self._started(now, None)
        if connection in peer.connections:
            peer.connections.remove(connection)
        if self.aperture and peer.lost_at is None:
            # Also a clean close with nothing open: a killed process's sockets close just so, and a server's idle
            # close is made good after away_s, if the client still has calls.
            peer.lost_at = now
            if not self.settings.catalog and peer.dial_at <= now:
                # No news will come: dial again after a pause drawn as the first of a backoff, sooner only for a
                # call that waits with nothing connected.
                rules = self.settings.connections
                peer.dial_at = now + self.random.uniform(0.0, max(rules.redial_s, self.keeping.pace.window(now)))
        if self.aperture and self.membership.gone(peer.name):
            self._drop(now, peer.name)  # the list left it out, and now its connection is gone too
        if any(attempt.sent is not None and attempt.id not in crossed for attempt in open_tries):
            self._fault(now, peer)
        for attempt in open_tries:
            if attempt.sent is None:
                reply = Reply(Ending.UNREACHED, text="the server could not be reached")
            elif attempt.id in crossed:
                reply = Reply(Ending.CROSSED, text="it met the connection's close")
            else:
                reply = Reply(Ending.LOST, text="the connection ended before the answer")
            self._ended(now, attempt, reply)
        self._ensure(now)
        self._pump(now)

    def _close(self, connection: Connection) -> None:
        if connection.phase is not Phase.CLOSED:
            connection.phase = Phase.CLOSED
            self._actions.append(Close(connection))
        if connection in connection.peer.connections:
            connection.peer.connections.remove(connection)

    def _settle(self, now: float, connection: Connection) -> None:
        """What an empty connection is for: a draining one is closed, another waits to be idle."""
        if connection.open or connection.phase in (Phase.CLOSED, Phase.DIALING):
            return
        if connection.phase is Phase.DRAINING:
            self._close(connection)
        elif not connection.idle_planned and not self.single:
            connection.idle_planned = True
            self._at(now + self.settings.connections.idle_s, self._idle, connection)

    def _idle(self, now: float, connection: Connection) -> None:
        connection.idle_planned = False
        if connection.phase is not Phase.READY or connection.open:
            return
        if self.aperture:
            kept = self.keeping.keeps(connection.peer.name) and connection.peer.usable == 1
            due = max(connection.emptied + self.settings.connections.idle_s, self._active + self._keep_span)
            if not kept:
                due = connection.emptied + self.settings.connections.idle_s
            if due > now:
                connection.idle_planned = True
                return self._at(due, self._idle, connection)
            self._tell(now, "idle close", server=connection.peer.name)
            return self._close(connection)
        # While there are calls, as many stay as the traffic wants: to close them would be to dial again soon.
        rules, there = self.settings.connections, len(self.peers)
        usable = sum(peer.usable > 0 for peer in self.peers.values())
        spare = usable > connections.wanted(rules, self.repeats.rate.at(now), there)
        kept = connection.peer.usable == 1 and not spare and self.peers.get(connection.peer.name) is connection.peer
        due = max(connection.emptied, self._active if kept else 0.0) + rules.idle_s
        if due > now:
            connection.idle_planned = True
            self._at(due, self._idle, connection)
        else:
            self._tell(now, "idle close", server=connection.peer.name)
            self._close(connection)

    def _listen(self, now: float, connection: Connection) -> None:
        """Look whether a connection with something open has gone silent."""
        connection.watched = False
        span = self.settings.connections.silence_s
        oldest = min((a.sent for a in connection.open.values() if a.sent is not None), default=None)
        if connection.phase is Phase.CLOSED or oldest is None:
            return
        connection.watched = True
        quiet_since = max(oldest, connection.heard)
        if quiet_since + span > now:
            return self._at(quiet_since + span, self._listen, connection)
        self._at(now + span, self._listen, connection)
        peer = connection.peer
        if not peer.probing:
            peer.probing = True
            self._tell(now, "silent", server=peer.name)
            self._actions.append(Probe(peer))

    def open_connections(self) -> Iterable[Connection]:
        return (connection for peer in self.peers.values() for connection in peer.connections)
