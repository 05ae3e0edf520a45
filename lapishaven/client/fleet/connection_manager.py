"""Which servers a client keeps connected and when it dials them: the aperture's decisions over time. Pure.

The window is the client's own few servers (``aperture``). A server of it that is away is waited for, not replaced,
and when it is back it is dialled in the client's own turn (``pace.Turns``), so that the dials of a whole fleet come
evenly, whatever happened to how many servers at once. Turns come the sooner the more the client stands to lose: twice
as often while at most one server is left that takes its calls and may go next, half as often once it has two or more,
one of them replaced in the deploy under way, which will hardly go again. A call that waits with nothing connected
dials at once, and then any server that is there; so does a client's turn where none of its own servers is there. What
so stands in is let go when the window is whole again.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from itertools import islice
from random import Random
from typing import Protocol

from lapishaven.client.fleet import aperture
from lapishaven.client.fleet.dial_schedule import Pace, Turns
from lapishaven.client.fleet.ring import Ring, ring_for
from lapishaven.client.membership import Membership
from lapishaven.client.settings import Connections

FORGET = 120.0  # s for which a server that left the list keeps its place on the ring
SLACK = 1.5  # times the traffic that a window fits before it is made narrower
START_SHARE = 0.3  # dials at the start, as a share of first tries
FEW = 1  # servers that take its calls at which a client's turns come twice as often, unless one was just replaced


class KnownEndpoint(Protocol):
    """What keeping goes by of a server that the client follows."""

    dial_at: float  # not dialled before this
    dial_failures: int
    lost_at: float | None  # when it was found away
    suspected: float | None  # since when it says nothing
    rested: bool  # it closed its last connection in good order, soon after the last answer on it

    @property
    def usable(self) -> int:
        """Connections that are there or on their way."""

    def strained(self, now: float) -> bool:
        """Whether it turned something away lately."""

    @property
    def left_out(self) -> bool:
        """Whether it is out as an outlier."""


@dataclass(frozen=True, slots=True)
class Wish:
    """The next dial: which server, when, and why (``start``, ``window``, ``stand-in``, ``urgent``)."""

    name: str
    at: float
    why: str


class ConnectionManager:
    """One client's. ``peers`` is the policy's own table of servers followed; nothing here changes it."""

    def __init__(
        self,
        rules: Connections,
        membership: Membership,
        peers: Mapping[str, KnownEndpoint],
        number: int,
        random: Random,
        catalog: bool,
        shared: float = 0.0,
    ) -> None:
        self.rules, self.membership, self.peers, self.random = rules, membership, peers, random
        self.number, self.catalog = number, catalog
        self.pace = Pace(rules.spread_s, rules.spread_least_s, rules.spread_most_s)
        self.turns = Turns(number, rules.turn_share, shared)
        self.window: tuple[str, ...] = ()
        self.stand_ins: set[str] = set()
        self.starting = True
        self.panic = False  # most of the list does not pass, so the list is not gone by
        self._dealt = aperture.Dealt(Ring(()), 0, 1)
        self._gone: dict[str, float] = {}  # names that left the list lately, kept on the ring
        self._ring: Ring | None = None  # of the names known now, made anew when they change
        self._began: float | None = None  # when the start began
        self._draws: dict[str, float] = {}  # at the start: each server's place, 0 to under 1, in its span

    # ---- What the list says
    def news(self, now: float, joined: Iterable[str], left: Iterable[str], altered: Iterable[str]) -> list[str]:
        """Servers leaving and coming back; gives those that are back."""
        for name in left:
            self._gone[name] = now
            self.pace.left(now, name)
        self._ring = None
        # Of those that joined only the ones known before need a look: the first list of all costs nothing here.
        known = [name for name in joined if name in self._gone or name in self.peers or self.pace.away(name)]
        back = []
        for name in [*known, *altered]:
            self._gone.pop(name, None)
            row = self.membership.row(name)
            if row is not None and not row.passing:
                self.pace.left(now, name)  # the list's own health is gone by where most are bad (panic)
            else:
                self.pace.back(name)
                back.append(name)
        return back

    # ---- The window
    def follow(self, now: float, rate: float) -> None:
        """Bring the window up to date with the list and the traffic (first tries a second)."""
        for name, since in list(self._gone.items()):
            if now - since > FORGET or name in self.membership:
                del self._gone[name]
                self._ring = None
        if self._ring is None:
            self._ring = ring_for(self.membership.names, frozenset(self._gone))
            self.panic = self.membership.passing * 2 < len(self.membership)
            self._dealt = aperture.Dealt(self._ring, self.number, self.rules.least)
        if self.starting:  # the traffic is not known yet
            rate = max(rate, self.rules.least / aperture.QUIET)
        wide = aperture.width(self.rules.least, rate, len(self._ring))
        if wide < len(self.window):  # made narrower only when the traffic is well below
            wide = min(len(self.window), aperture.width(self.rules.least, rate * SLACK, len(self._ring)))
        self.window = self._dealt.window(wide)
        self.stand_ins = {
            name
            for name in self.stand_ins
            if name not in self.window and name in self.membership and name in self.peers and self.peers[name].usable
        }

    def follows(self, now: float, name: str) -> bool:
        """Whether the client still goes by it: its own, what stands in, and what it is not to dial again yet."""
        if name not in self.membership:
            return False
        peer = self.peers[name]
        return name in self.window or name in self.stand_ins or peer.dial_at > now or not self.available(now, name)

    def keeps(self, name: str) -> bool:
        """Whether its connection is to stay though nothing is open on it."""
        return name in self.window or name in self.stand_ins

    def available(self, now: float, name: str, urgent: bool = False) -> bool:
        """Whether it may be dialled as far as is known. ``urgent``: a call waits, so one that closed what rested is
        tried before the news that it is there: a server with many callers closes resting connections at once."""
        row = self.membership.row(name)
        if row is None or not (row.passing or self.panic):
            return False
        peer = self.peers.get(name)
        if peer is None:
            return True
        if peer.left_out or peer.suspected is not None or self.pace.flapping(now, name):
            return False
        if peer.lost_at is None or not self.catalog or urgent and peer.rested:
            return True  # with a fixed list no news will come: the dial's own backoff says when
        # Without news the list may be stale: each failed dial doubles the wait, up to eight times away_s.
        away: float = self.rules.away_s * 2 ** min(peer.dial_failures, 3)
        return now - peer.lost_at >= away

    def spare(self) -> list[str]:
        """What stood in and need not any more."""
        whole = all((peer := self.peers.get(name)) is not None and peer.usable for name in self.window)
        return sorted(self.stand_ins) if whole and self.window else []

    # ---- Dials
    def wish(self, now: float, rate: float, urgent: bool) -> Wish | None:
        """The next dial, if any is wanted. ``urgent``: a call waits and nothing is connected."""
        if urgent:
            return self.urgent(now)
        live = [name for name in (*self.window, *self.stand_ins) if self._usable(name)]
        lacking = self._lacking(now)
        if self.starting:
            return self._start(now, rate, lacking)
        missing = len(self.window) - len(live)
        if not live and not lacking:
            lacking = list(islice(self._others(now), 1))  # none of its own is there: any other stands in
        if not lacking:
            self.turns.none()
            return None
        easy = [name for name in live if not self.peers[name].strained(now)]
        safe = any(self.pace.replaced(now, name) for name in easy)
        few = len(easy) <= FEW
        need = 1 if not missing or safe and not few else -1 if few and not safe else 0
        turn = self.turns.at(now, rate, max(1, missing), self.pace.window(now), need)
        return self._soonest(turn, lacking)

    def urgent(self, now: float) -> Wish | None:
        """The dial for a call that waits with nothing connected: its own servers first, else any that is there."""
        names = self._lacking(now, urgent=True)
        if any((peer := self.peers.get(name)) is not None and peer.rested for name in names):
            self.random.shuffle(names)  # else a client with a dial for each call would always turn to the same server
        return self._soonest(now, names, urgent=True)

    def took(self, now: float, wish: Wish) -> None:
        """The dial was made."""
        self._draws.pop(wish.name, None)
        self.turns.took(now)
        if wish.name not in self.window:
            self.stand_ins.add(wish.name)

    def _lacking(self, now: float, urgent: bool = False) -> list[str]:
        """The servers of the window that are there and not connected."""
        return [name for name in self.window if not self._usable(name) and self.available(now, name, urgent)]

    def _usable(self, name: str) -> bool:
        peer = self.peers.get(name)
        return peer is not None and peer.usable > 0 and peer.suspected is None

    def _others(self, now: float) -> Iterator[str]:
        for name in self._dealt.others(len(self.window)):
            if not self._usable(name) and self.available(now, name):
                yield name

    def _dial_at(self, now: float, name: str, urgent: bool = False) -> float:
        peer = self.peers.get(name)
        if peer is None or urgent and not peer.dial_failures:
            return now  # the pause after a lost connection gives way to a call that waits
        return max(now, peer.dial_at)

    def _soonest(self, at: float, names: list[str], urgent: bool = False) -> Wish | None:
        """The one of ``names`` that may be dialled first, from ``at`` on; where it is urgent and none may be then, any
        other server that may."""
        times = {name: self._dial_at(at, name, urgent) for name in names}
        best = min(times, key=times.__getitem__, default=None)
        if urgent and (best is None or times[best] > at):
            other = next((n for n in self._others(at) if self._dial_at(at, n, urgent) <= at), None)
            if other is not None:
                return Wish(other, at, "urgent")
        if best is None:
            return None
        return Wish(best, times[best], "urgent" if urgent else "window" if best in self.window else "stand-in")

    def _start(self, now: float, rate: float, lacking: list[str]) -> Wish | None:
        """The first server is dialled for the first call; the rest of the window over the spread, so that a fleet
        of clients that start in the same second does not dial all its windows in it, or as fast as the traffic
        bears where that is sooner."""
        if self._began is None:
            self._began = now
        spread = min(self.pace.window(now), len(self.window) / max(START_SHARE * rate, 1e-3))
        for name in lacking:
            if name not in self._draws:
                self._draws[name] = self.random.random()
        drawn = {name: max(now, self._began + spread * self._draws[name]) for name in lacking}
        wishes = [(self._dial_at(at, name), name) for name, at in drawn.items()]
        if not wishes:
            return None
        at, name = min(wishes)
        return Wish(name, at, "start")
