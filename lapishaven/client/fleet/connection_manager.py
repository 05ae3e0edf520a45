"""Chooses the endpoints that a client keeps connected, and the next dial (deterministic subsetting). Pure.

The window is the client's subset of the endpoints (``aperture``). An endpoint of the window that is away is not
replaced. When the endpoint list shows it again, it is dialled in the client's own time slot
(``dial_schedule.DialSlots``), so that the dials of a whole fleet are evenly spread, however many endpoints were lost
at once. The fewer usable endpoints a client has, the sooner its slots come. Endpoints outside the window (stand-ins)
are dialled in two cases: at once for a call that waits while no endpoint is connected, and in the client's slot if no
endpoint of the window is available. They are dropped when the whole window is connected again.
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

REMOVED_ENDPOINT_TTL_S = 120.0  # an endpoint that left the list keeps its position on the ring for this long
SHRINK_FACTOR = 1.5  # hysteresis: a window shrinks only to a size that fits this many times the traffic
START_DIAL_SHARE = 0.3  # planned dials per first attempt in the start phase
FEW_ENDPOINTS = 1  # with at most this many endpoints that accept its calls, a client's slots come twice as often


class DialReason(StrEnum):
    """Why an endpoint is dialled. The values are reported in the event ``dial``."""

    START = "start"  # the client makes its first connections
    WINDOW = "window"  # an endpoint of the window is available again
    STAND_IN = "stand-in"  # no endpoint of the window is available
    URGENT = "urgent"  # a call waits and no endpoint is connected


@dataclass(frozen=True, slots=True)
class PlannedDial:
    """The next dial: the endpoint's name, the time, and the reason."""

    name: str
    at: float
    reason: DialReason


class ConnectionManager:
    """The connection decisions of one client. ``calls_per_s`` counts first attempts.

    ``endpoints``: the tracked endpoints (``EndpointTable.endpoints``); read only.
    ``window``: the endpoints to keep connected; ``stand_ins``: others, while the window is not fully connected.
    ``starting``: the start phase, in which the first connections are made.
    ``panic``: most listed endpoints fail their health checks, so that the list's health is ignored.
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
        """``client_number``: see ``aperture.placement_number``; ``clock_offset_s``: see ``DialSlots``.

        ``has_catalog``: the endpoint list comes from the service registry and is polled, instead of being fixed.
        """
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
        self._ring: Ring | None = None  # None: to be rebuilt, as the names on it changed
        self._subset = aperture.Subset(Ring(()), 0, 1)
        self._removed: dict[str, float] = {}  # by name: when it left the list; it keeps its position on the ring
        self._reachability = Reachability(rules, membership, endpoints, self.deploy_interval, has_catalog)
        self._start = StartSchedule(random)

    # ---- Endpoint lists
    def endpoints_changed(
        self, now: float, joined: Iterable[str], left: Iterable[str], changed: Iterable[str]
    ) -> list[str]:
        """Record the changes made by a list; return the names of endpoints that are back."""
        for name in left:
            self._removed[name] = now
            self.deploy_interval.record_departure(now, name)
        self._ring = None
        # Only a joined endpoint that was known before can be back. On a first list none was, so it costs little here.
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
    def update_window(self, now: float, calls_per_s: float) -> None:
        """Recompute the window for the current list and traffic, and drop stand-ins that no longer count as such."""
        self._update_ring(now)
        self.window = self._subset.window(self._window_size(calls_per_s))
        self.stand_ins = {name for name in self.stand_ins if self._is_still_stand_in(name)}

    def _update_ring(self, now: float) -> None:
        for name, removed_at in list(self._removed.items()):
            if now - removed_at > REMOVED_ENDPOINT_TTL_S or name in self.membership:
                del self._removed[name]
                self._ring = None
        if self._ring is None:
            self._ring = ring_with_removed(self.membership.names, frozenset(self._removed))
            self.panic = self.membership.passing * 2 < len(self.membership)
            self._subset = aperture.Subset(self._ring, self.client_number, self.rules.least)

    def _window_size(self, calls_per_s: float) -> int:
        """Return the window size: grows with the traffic at once, shrinks only if the traffic is well below."""
        least, known_count = self.rules.least, len(self._subset.ring)
        if self.starting:  # the traffic is not known yet: assume enough to keep ``least`` connections from idling out
            calls_per_s = max(calls_per_s, least / aperture.SERVER_IDLE_TIMEOUT_S)
        size = aperture.window_size(least, calls_per_s, known_count)
        if size < len(self.window):
            return min(len(self.window), aperture.window_size(least, calls_per_s * SHRINK_FACTOR, known_count))
        return size

    def _is_still_stand_in(self, name: str) -> bool:
        if name in self.window or name not in self.membership:
            return False
        return self._reachability.has_connection(name)

    def keep_tracked(self, now: float, name: str) -> bool:
        """Whether to keep tracking a tracked endpoint.

        It is kept if it is to stay connected, or if it may not be dialled yet: its state holds the delay.
        """
        if name not in self.membership:
            return False
        if self.keep_connected(name) or self.endpoints[name].next_dial_at > now:
            return True
        return not self._reachability.may_dial(now, name, False, self.panic)

    def keep_connected(self, name: str) -> bool:
        """Whether an idle connection to the endpoint stays open."""
        return name in self.window or name in self.stand_ins

    def surplus_stand_ins(self) -> list[str]:
        """Return the stand-ins that are no longer needed, as the whole window is connected."""
        if not self.window or not all(self._reachability.has_connection(name) for name in self.window):
            return []
        return sorted(self.stand_ins)

    # ---- Candidates
    def _window_candidates(self, now: float, urgent: bool = False) -> list[str]:
        """Return the endpoints of the window that may be dialled and have no usable connection."""
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
    def next_dial(self, now: float, calls_per_s: float, urgent: bool) -> PlannedDial | None:
        """Return the next dial, or None if none is needed. ``urgent``: a call waits and no endpoint is connected."""
        if urgent:
            return self.next_urgent_dial(now)
        connected = [name for name in (*self.window, *self.stand_ins) if self._reachability.is_usable(name)]
        candidates = self._window_candidates(now)
        if self.starting:
            return self._next_start_dial(now, calls_per_s, candidates)
        if not connected and not candidates:
            stand_in = next(self._stand_in_candidates(now), None)
            candidates = [stand_in] if stand_in is not None else []
        if not candidates:
            self.dial_slots.clear()
            return None
        missing = len(self.window) - len(connected)  # stand-ins count as connected, so it may be negative
        spread_s = self.deploy_interval.spread_s(now)
        doublings = self._cycle_doublings(now, connected, missing)
        slot_at = self.dial_slots.next_at(now, calls_per_s, max(1, missing), spread_s, doublings)
        return self._soonest(slot_at, candidates)

    def _cycle_doublings(self, now: float, connected: list[str], missing: int) -> int:
        """Return how often to double the cycle of dial slots: -1 (halve it), 0 or 1.

        ``connected``: the endpoints with a usable connection; ``missing``: the size of the window less their number.

        A client with at most ``FEW_ENDPOINTS`` that accept its calls dials twice as often, unless one of them was
        restarted in the current deploy and is therefore unlikely to leave again. A client that has more of them,
        including such a restarted one, or that has its whole window connected, dials half as often.
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
        """Return the dial for a call that waits with no endpoint connected: in the window first, then any other."""
        names = self._window_candidates(now, urgent=True)
        if any(self._reachability.closed_idle_connection(name) for name in names):
            # A client that dials for each call must not always choose the same endpoint.
            self.random.shuffle(names)
        return self._soonest(now, names, urgent=True)

    def _soonest(self, at: float, names: list[str], urgent: bool = False) -> PlannedDial | None:
        """Return the dial to the endpoint that may be dialled first from ``at`` on.

        If the dial is urgent and none of ``names`` may be dialled at ``at``, a stand-in is dialled.
        """
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

    def _next_start_dial(self, now: float, calls_per_s: float, candidates: list[str]) -> PlannedDial | None:
        """Return the next dial of the start phase.

        The dials of the window are spread over the time in which they are ``START_DIAL_SHARE`` of the first attempts,
        or over the spread of a deploy if that is shorter.
        """
        traffic_spread_s = len(self.window) / max(START_DIAL_SHARE * calls_per_s, MIN_DIALS_PER_S)
        spread_s = min(self.deploy_interval.spread_s(now), traffic_spread_s)
        dials = []
        for name, at in self._start.times(now, spread_s, candidates):
            dials.append((self._reachability.earliest_dial_at(at, name), name))
        if not dials:
            return None
        dial_at, name = min(dials)
        return PlannedDial(name, dial_at, DialReason.START)

    def record_dial(self, now: float, dial: PlannedDial) -> None:
        """Record that a planned dial was made."""
        self._start.record_dial(dial.name)
        self.dial_slots.record_dial(now)
        if dial.name not in self.window:
            self.stand_ins.add(dial.name)
