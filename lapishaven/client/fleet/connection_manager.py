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
from lapishaven.client.fleet.dial_schedule import DeployInterval, DialSlots
from lapishaven.client.fleet.ring import Ring, ring_with_removed
from lapishaven.client.membership import Membership
from lapishaven.client.settings import Connections

REMOVED_ENDPOINT_TTL_S = 120.0  # s for which a server that left the list keeps its place on the ring
SHRINK_FACTOR = 1.5  # times the traffic that a window fits before it is made narrower
START_DIAL_SHARE = 0.3  # dials at the start, as a share of first tries
FEW_ENDPOINTS = (
    1  # servers that take its calls at which a client's turns come twice as often, unless one was just replaced
)


class KnownEndpoint(Protocol):
    """What keeping goes by of a server that the client follows."""

    next_dial_at: float  # not dialled before this
    dial_failures: int
    lost_at: float | None  # when it was found away
    suspected: float | None  # since when it says nothing
    closed_idle_connection: bool  # it closed its last connection in good order, soon after the last answer on it

    @property
    def usable_connections(self) -> int:
        """Connections that are there or on their way."""

    def recently_rejected(self, now: float) -> bool:
        """Whether it turned something away lately."""

    @property
    def ejected(self) -> bool:
        """Whether it is out as an outlier."""


@dataclass(frozen=True, slots=True)
class PlannedDial:
    """The next dial: which server, when, and why (``start``, ``window``, ``stand-in``, ``urgent``)."""

    name: str
    at: float
    reason: str


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
        self.rules, self.membership, self.endpoints, self.random = rules, membership, peers, random
        self.client_number, self.has_catalog = number, catalog
        self.deploy_interval = DeployInterval(rules.spread_s, rules.spread_least_s, rules.spread_most_s)
        self.dial_slots = DialSlots(number, rules.turn_share, shared)
        self.window: tuple[str, ...] = ()
        self.stand_ins: set[str] = set()
        self.starting = True
        self.panic = False  # most of the list does not pass, so the list is not gone by
        self._subset = aperture.Subset(Ring(()), 0, 1)
        self._removed: dict[str, float] = {}  # names that left the list lately, kept on the ring
        self._ring: Ring | None = None  # of the names known now, made anew when they change
        self._start_began_at: float | None = None  # when the start began
        self._start_offsets: dict[str, float] = {}  # at the start: each server's place, 0 to under 1, in its span

    # ---- What the list says
    def endpoints_changed(
        self, now: float, joined: Iterable[str], left: Iterable[str], changed: Iterable[str]
    ) -> list[str]:
        """Servers leaving and coming back; gives those that are back."""
        for name in left:
            self._removed[name] = now
            self.deploy_interval.record_departure(now, name)
        self._ring = None
        # Of those that joined only the ones known before need a look: the first list of all costs nothing here.
        known = [
            name
            for name in joined
            if name in self._removed or name in self.endpoints or self.deploy_interval.is_away(name)
        ]
        back = []
        for name in [*known, *changed]:
            self._removed.pop(name, None)
            row = self.membership.row(name)
            if row is not None and not row.passing:
                self.deploy_interval.record_departure(
                    now, name
                )  # the list's own health is gone by where most are bad (panic)
            else:
                self.deploy_interval.record_return(name)
                back.append(name)
        return back

    # ---- The window
    def update_window(self, now: float, rate: float) -> None:
        """Bring the window up to date with the list and the traffic (first tries a second)."""
        for name, since in list(self._removed.items()):
            if now - since > REMOVED_ENDPOINT_TTL_S or name in self.membership:
                del self._removed[name]
                self._ring = None
        if self._ring is None:
            self._ring = ring_with_removed(self.membership.names, frozenset(self._removed))
            self.panic = self.membership.passing * 2 < len(self.membership)
            self._subset = aperture.Subset(self._ring, self.client_number, self.rules.least)
        if self.starting:  # the traffic is not known yet
            rate = max(rate, self.rules.least / aperture.SERVER_IDLE_TIMEOUT_S)
        wide = aperture.window_size(self.rules.least, rate, len(self._ring))
        if wide < len(self.window):  # made narrower only when the traffic is well below
            wide = min(len(self.window), aperture.window_size(self.rules.least, rate * SHRINK_FACTOR, len(self._ring)))
        self.window = self._subset.window(wide)
        self.stand_ins = {
            name
            for name in self.stand_ins
            if name not in self.window
            and name in self.membership
            and name in self.endpoints
            and self.endpoints[name].usable_connections
        }

    def is_tracked(self, now: float, name: str) -> bool:
        """Whether the client still goes by it: its own, what stands in, and what it is not to dial again yet."""
        if name not in self.membership:
            return False
        peer = self.endpoints[name]
        return name in self.window or name in self.stand_ins or peer.next_dial_at > now or not self.may_dial(now, name)

    def keep_connected(self, name: str) -> bool:
        """Whether its connection is to stay though nothing is open on it."""
        return name in self.window or name in self.stand_ins

    def may_dial(self, now: float, name: str, urgent: bool = False) -> bool:
        """Whether it may be dialled as far as is known. ``urgent``: a call waits, so one that closed what rested is
        tried before the news that it is there: a server with many callers closes resting connections at once."""
        row = self.membership.row(name)
        if row is None or not (row.passing or self.panic):
            return False
        peer = self.endpoints.get(name)
        if peer is None:
            return True
        if peer.ejected or peer.suspected is not None or self.deploy_interval.is_flapping(now, name):
            return False
        if peer.lost_at is None or not self.has_catalog or urgent and peer.closed_idle_connection:
            return True  # with a fixed list no news will come: the dial's own backoff says when
        # Without news the list may be stale: each failed dial doubles the wait, up to eight times away_s.
        away: float = self.rules.away_s * 2 ** min(peer.dial_failures, 3)
        return now - peer.lost_at >= away

    def surplus_stand_ins(self) -> list[str]:
        """What stood in and need not any more."""
        whole = all((peer := self.endpoints.get(name)) is not None and peer.usable_connections for name in self.window)
        return sorted(self.stand_ins) if whole and self.window else []

    # ---- Dials
    def next_dial(self, now: float, rate: float, urgent: bool) -> PlannedDial | None:
        """The next dial, if any is wanted. ``urgent``: a call waits and nothing is connected."""
        if urgent:
            return self.next_urgent_dial(now)
        live = [name for name in (*self.window, *self.stand_ins) if self._is_usable(name)]
        lacking = self._unconnected(now)
        if self.starting:
            return self._next_start_dial(now, rate, lacking)
        missing = len(self.window) - len(live)
        if not live and not lacking:
            lacking = list(islice(self._stand_in_candidates(now), 1))  # none of its own is there: any other stands in
        if not lacking:
            self.dial_slots.clear()
            return None
        easy = [name for name in live if not self.endpoints[name].recently_rejected(now)]
        safe = any(self.deploy_interval.recently_replaced(now, name) for name in easy)
        few = len(easy) <= FEW_ENDPOINTS
        need = 1 if not missing or safe and not few else -1 if few and not safe else 0
        turn = self.dial_slots.next_at(now, rate, max(1, missing), self.deploy_interval.spread_s(now), need)
        return self._soonest(turn, lacking)

    def next_urgent_dial(self, now: float) -> PlannedDial | None:
        """The dial for a call that waits with nothing connected: its own servers first, else any that is there."""
        names = self._unconnected(now, urgent=True)
        if any((peer := self.endpoints.get(name)) is not None and peer.closed_idle_connection for name in names):
            self.random.shuffle(names)  # else a client with a dial for each call would always turn to the same server
        return self._soonest(now, names, urgent=True)

    def record_dial(self, now: float, wish: PlannedDial) -> None:
        """The dial was made."""
        self._start_offsets.pop(wish.name, None)
        self.dial_slots.record_dial(now)
        if wish.name not in self.window:
            self.stand_ins.add(wish.name)

    def _unconnected(self, now: float, urgent: bool = False) -> list[str]:
        """The servers of the window that are there and not connected."""
        return [name for name in self.window if not self._is_usable(name) and self.may_dial(now, name, urgent)]

    def _is_usable(self, name: str) -> bool:
        peer = self.endpoints.get(name)
        return peer is not None and peer.usable_connections > 0 and peer.suspected is None

    def _stand_in_candidates(self, now: float) -> Iterator[str]:
        for name in self._subset.stand_ins(len(self.window)):
            if not self._is_usable(name) and self.may_dial(now, name):
                yield name

    def _earliest_dial_at(self, now: float, name: str, urgent: bool = False) -> float:
        peer = self.endpoints.get(name)
        if peer is None or urgent and not peer.dial_failures:
            return now  # the pause after a lost connection gives way to a call that waits
        return max(now, peer.next_dial_at)

    def _soonest(self, at: float, names: list[str], urgent: bool = False) -> PlannedDial | None:
        """The one of ``names`` that may be dialled first, from ``at`` on; where it is urgent and none may be then, any
        other server that may."""
        times = {name: self._earliest_dial_at(at, name, urgent) for name in names}
        best = min(times, key=times.__getitem__, default=None)
        if urgent and (best is None or times[best] > at):
            other = next(
                (n for n in self._stand_in_candidates(at) if self._earliest_dial_at(at, n, urgent) <= at), None
            )
            if other is not None:
                return PlannedDial(other, at, "urgent")
        if best is None:
            return None
        return PlannedDial(best, times[best], "urgent" if urgent else "window" if best in self.window else "stand-in")

    def _next_start_dial(self, now: float, rate: float, lacking: list[str]) -> PlannedDial | None:
        """The first server is dialled for the first call; the rest of the window over the spread, so that a fleet
        of clients that start in the same second does not dial all its windows in it, or as fast as the traffic
        bears where that is sooner."""
        if self._start_began_at is None:
            self._start_began_at = now
        spread = min(self.deploy_interval.spread_s(now), len(self.window) / max(START_DIAL_SHARE * rate, 1e-3))
        for name in lacking:
            if name not in self._start_offsets:
                self._start_offsets[name] = self.random.random()
        drawn = {name: max(now, self._start_began_at + spread * self._start_offsets[name]) for name in lacking}
        wishes = [(self._earliest_dial_at(at, name), name) for name, at in drawn.items()]
        if not wishes:
            return None
        at, name = min(wishes)
        return PlannedDial(name, at, "start")
