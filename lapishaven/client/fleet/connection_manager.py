"""Chooses which endpoints a client keeps connected, and the next dial (deterministic subsetting). Pure.

The window is the client's own few endpoints (``aperture``). An endpoint of the window that is away is waited for,
not replaced; when the endpoint list shows it again, it is dialled in the client's own time slot
(``dial_schedule.DialSlots``), so that the dials of a whole fleet come evenly, however many endpoints were lost at once.
The slots come the sooner, the more the client would lose with its next connection. A call that waits with nothing
connected dials at once, any endpoint that is there; so does the client's slot where no endpoint of its window is there.
Such a stand-in is dropped when the whole window is connected again.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from lapishaven.client.fleet import aperture
from lapishaven.client.fleet.dial_schedule import MIN_DIALS_PER_S, DeployInterval, DialSlots, StartSchedule
from lapishaven.client.fleet.reachability import KnownEndpoint, Reachability
from lapishaven.client.fleet.ring import Ring, ring_with_removed
from lapishaven.client.membership import Membership
from lapishaven.client.settings import Connections

REMOVED_ENDPOINT_TTL_S = 120.0  # for which an endpoint that left the list keeps its place on the ring
SHRINK_FACTOR = 1.5  # times the traffic that a smaller window must fit: hysteresis
START_DIAL_SHARE = 0.3  # dials at the start, as a share of first attempts
FEW_ENDPOINTS = 1  # usable endpoints at which a client's slots come twice as often


class DialReason(StrEnum):
    """Why an endpoint is dialled. The values are words in the event ``dial``."""

    START = "start"  # the client makes its first connections
    WINDOW = "window"  # an endpoint of the window is back
    STAND_IN = "stand-in"  # no endpoint of the window is there
    URGENT = "urgent"  # a call waits and nothing is connected


@dataclass(frozen=True, slots=True)
class PlannedDial:
    """The next dial: the endpoint's name, the time, and why."""

    name: str
    at: float
    reason: DialReason


class ConnectionManager:
    """The decisions of one client. Rates are in first attempts per second.

    ``endpoints``: the tracked endpoints (``EndpointTable.endpoints``); nothing here changes them.
    ``window``: the endpoints to keep connected; ``stand_ins``: others, while the window is not whole.
    ``starting``: the first connections are still being made.
    ``panic``: most of the endpoint list fails its health checks, so that the list's health is ignored.
    """

    def __init__(
        self,
        rules: Connections,
        membership: Membership,
        endpoints: Mapping[str, KnownEndpoint],
        client_number: int,
        random: Random,
        has_catalog: bool,
        clock_offset_s: float = 0.0,
    ) -> None:
        """``has_catalog``: the endpoint list is watched, not fixed. ``clock_offset_s``: see ``DialSlots``."""
        self.rules = rules
        self.membership = membership
        self.endpoints = endpoints
        self.client_number = client_number
        self.random = random
        self.has_catalog = has_catalog
        self.deploy_interval = DeployInterval(rules.spread_s, rules.spread_least_s, rules.spread_most_s)
        self.dial_slots = DialSlots(client_number, rules.turn_share, clock_offset_s)
        self.window: tuple[str, ...] = ()
        self.stand_ins: set[str] = set()
        self.starting = True
        self.panic = False
        self._ring: Ring | None = None  # of the known names; None after they changed
        self._subset = aperture.Subset(Ring(()), 0, 1)
        self._removed: dict[str, float] = {}  # when each left the list, for those that keep their place on the ring
        self._reachability = Reachability(rules, membership, endpoints, self.deploy_interval, has_catalog)
        self._start = StartSchedule(random)

    # ---- Endpoint lists
    def endpoints_changed(
        self, now: float, joined: Iterable[str], left: Iterable[str], changed: Iterable[str]
    ) -> list[str]:
        """Note what a list changed; returns the names of endpoints that are back."""
        for name in left:
            self._removed[name] = now
            self.deploy_interval.record_departure(now, name)
        self._ring = None
        # Of those that joined only endpoints that were known before matter: a first list costs nothing here.
        rejoined = [name for name in joined if self._was_known(name)]
        back = []
        for name in [*rejoined, *changed]:
            self._removed.pop(name, None)
            row = self.membership.row(name)
            if row is not None and not row.passing:
                self.deploy_interval.record_departure(now, name)
            else:
                self.deploy_interval.record_return(name)
                back.append(name)
        return back

    def _was_known(self, name: str) -> bool:
        return name in self._removed or name in self.endpoints or self.deploy_interval.is_away(name)

    # ---- The window
    def update_window(self, now: float, rate: float) -> None:
        """Bring the window up to date with the list and the traffic."""
        self._update_ring(now)
        self.window = self._subset.window(self._window_size(rate))
        self.stand_ins = {name for name in self.stand_ins if self._still_stands_in(name)}

    def _update_ring(self, now: float) -> None:
        for name, removed_at in list(self._removed.items()):
            if now - removed_at > REMOVED_ENDPOINT_TTL_S or name in self.membership:
                del self._removed[name]
                self._ring = None
        if self._ring is None:
            self._ring = ring_with_removed(self.membership.names, frozenset(self._removed))
            self.panic = self.membership.passing * 2 < len(self.membership)
            self._subset = aperture.Subset(self._ring, self.client_number, self.rules.least)

    def _window_size(self, rate: float) -> int:
        """Grows with the traffic at once; shrinks only when the traffic is well below the window's."""
        least, known = self.rules.least, len(self._subset.ring)
        if self.starting:  # the traffic is not known yet
            rate = max(rate, least / aperture.SERVER_IDLE_TIMEOUT_S)
        size = aperture.window_size(least, rate, known)
        if size < len(self.window):
            return min(len(self.window), aperture.window_size(least, rate * SHRINK_FACTOR, known))
        return size

    def _still_stands_in(self, name: str) -> bool:
        if name in self.window or name not in self.membership:
            return False
        return self._reachability.has_connection(name)

    def is_tracked(self, now: float, name: str) -> bool:
        """Whether to go on tracking an endpoint: one to keep connected, or one that must not be dialled yet."""
        if name not in self.membership:
            return False
        if self.keep_connected(name) or self.endpoints[name].next_dial_at > now:
            return True
        return not self._reachability.may_dial(now, name, False, self.panic)

    def keep_connected(self, name: str) -> bool:
        """Whether an idle connection to the endpoint stays open."""
        return name in self.window or name in self.stand_ins

    def surplus_stand_ins(self) -> list[str]:
        """The stand-ins that are not needed any more, as the whole window is connected."""
        if not self.window or not all(self._reachability.has_connection(name) for name in self.window):
            return []
        return sorted(self.stand_ins)

    # ---- Candidates
    def _unconnected(self, now: float, urgent: bool = False) -> list[str]:
        """The endpoints of the window that are there and not connected."""
        return [
            name
            for name in self.window
            if not self._reachability.is_usable(name) and self._reachability.may_dial(now, name, urgent, self.panic)
        ]

    def _stand_in_candidates(self, now: float) -> Iterator[str]:
        for name in self._subset.stand_ins(len(self.window)):
            if not self._reachability.is_usable(name) and self._reachability.may_dial(now, name, False, self.panic):
                yield name

    # ---- Dials
    def next_dial(self, now: float, rate: float, urgent: bool) -> PlannedDial | None:
        """The next dial, if any is wanted. ``urgent``: a call waits and nothing is connected."""
        if urgent:
            return self.next_urgent_dial(now)
        connected = [name for name in (*self.window, *self.stand_ins) if self._reachability.is_usable(name)]
        unconnected = self._unconnected(now)
        if self.starting:
            return self._next_start_dial(now, rate, unconnected)
        if not connected and not unconnected:
            stand_in = next(self._stand_in_candidates(now), None)
            unconnected = [stand_in] if stand_in is not None else []
        if not unconnected:
            self.dial_slots.clear()
            return None
        missing = len(self.window) - len(connected)
        spread_s = self.deploy_interval.spread_s(now)
        urgency = self._cycle_doublings(now, connected, missing)
        slot_at = self.dial_slots.next_at(now, rate, max(1, missing), spread_s, urgency)
        return self._soonest(slot_at, unconnected)

    def _cycle_doublings(self, now: float, connected: list[str], missing: int) -> int:
        """How often to double the cycle of dial slots: -1, 0 or 1, by what the client stands to lose.

        A client with few endpoints that accept its calls dials twice as often, unless one of them was restarted in
        the deploy under way, which will hardly leave again. One with more than few, such an endpoint among them, or
        with its whole window connected, dials half as often.
        """
        accepting = [name for name in connected if not self.endpoints[name].recently_rejected(now)]
        few = len(accepting) <= FEW_ENDPOINTS
        has_restarted = any(self.deploy_interval.recently_replaced(now, name) for name in accepting)
        if not missing or (has_restarted and not few):
            return 1
        if few and not has_restarted:
            return -1
        return 0

    def next_urgent_dial(self, now: float) -> PlannedDial | None:
        """The dial for a call that waits with nothing connected: the window first, then any other endpoint."""
        names = self._unconnected(now, urgent=True)
        if any(self._reachability.closed_idle_connection(name) for name in names):
            self.random.shuffle(names)  # a client that dials for each call must not always choose the same endpoint
        return self._soonest(now, names, urgent=True)

    def _soonest(self, at: float, names: list[str], urgent: bool = False) -> PlannedDial | None:
        """The endpoint that may be dialled first, from ``at`` on; any other if it is urgent and none may be then."""
        times = {name: self._reachability.earliest_dial_at(at, name, urgent) for name in names}
        best = min(times, key=times.__getitem__, default=None)
        if urgent and (best is None or times[best] > at):
            for name in self._stand_in_candidates(at):
                if self._reachability.earliest_dial_at(at, name, urgent) <= at:
                    return PlannedDial(name, at, DialReason.URGENT)
        if best is None:
            return None
        if urgent:
            return PlannedDial(best, times[best], DialReason.URGENT)
        return PlannedDial(best, times[best], DialReason.WINDOW if best in self.window else DialReason.STAND_IN)

    def _next_start_dial(self, now: float, rate: float, unconnected: list[str]) -> PlannedDial | None:
        fastest_s = len(self.window) / max(START_DIAL_SHARE * rate, MIN_DIALS_PER_S)
        spread_s = min(self.deploy_interval.spread_s(now), fastest_s)
        dials = []
        for name, at in self._start.times(now, spread_s, unconnected):
            dials.append((self._reachability.earliest_dial_at(at, name), name))
        if not dials:
            return None
        dial_at, name = min(dials)
        return PlannedDial(name, dial_at, DialReason.START)

    def record_dial(self, now: float, dial: PlannedDial) -> None:
        """A planned dial was made."""
        self._start.record_dial(dial.name)
        self.dial_slots.record_dial(now)
        if dial.name not in self.window:
            self.stand_ins.add(dial.name)
