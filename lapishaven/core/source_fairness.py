"""Fairness between the sources of requests: one that floods the server does not crowd out the others.

A source is one client connection: the names in requests (caller, tenant, subject, key) are the client's own choice and
may be new each time. Connections that were just opened share one record besides, so that a flood over many short
connections counts as one source.

A source is limited while it alone sends several times what the server can run, and others send too. Its requests are
then run only while half of the backend's cores are idle, so they neither queue before those of the others nor raise the
load to where the admission controller rejects. Nobody else is limited: what ordinary callers get in an overload is for
the controller to decide. Times are passed in, in seconds on the host's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lapishaven.core.requests import Request

WINDOW_S = 0.5  # arrivals are counted over this time
UPDATE_INTERVAL_S = 0.05  # between two looks at who floods
NEW_CONNECTION_S = 1.0  # age up to which a connection shares one record with the others of its frontend
FLOOD_PER_CORE = 32.0  # requests a second that a source may send for each core of the backend, whatever is served
FLOOD_PER_SERVED = 4.0  # the same for each request that is served in a second, for fast backends
MAX_CORES_SHARE = 0.5  # of the backend's cores that may be in use when a limited source opens a request
MAX_CALLERS = 8  # that one connection may speak for; a caller's requests bear its one number
RETRY_AFTER_S = 2 * WINDOW_S  # after which a source that has stopped flooding is not limited any more


class SlidingCount:
    """A count of events over the last ``WINDOW_S``, approximated from two fixed windows."""

    __slots__ = ("_current", "_previous", "_window")

    def __init__(self) -> None:
        self._window = 0  # number of the window that ``_current`` counts
        self._current = self._previous = 0

    def add(self, now: float) -> None:
        """Count one event."""
        self._advance(now)
        self._current += 1

    def remove(self, now: float, other: SlidingCount) -> None:
        """Take away the events of another count, which were counted here too."""
        self._advance(now)
        other._advance(now)
        self._current -= other._current
        self._previous -= other._previous

    def value(self, now: float) -> float:
        """The events of the last ``WINDOW_S``, if those of the window before came evenly."""
        self._advance(now)
        elapsed = now / WINDOW_S - self._window
        return self._current + self._previous * max(0.0, 1.0 - elapsed)

    def _advance(self, now: float) -> None:
        window = int(now / WINDOW_S)
        if window != self._window:
            self._previous = self._current if window == self._window + 1 else 0
            self._current = 0
            self._window = window


@dataclass(slots=True, eq=False)
class RequestSource:
    """The record of one client connection, or the one that the new connections of a frontend share.

    ``opened_at`` is when the connection was opened. ``new_connections`` is the shared record; ``None`` for that record
    itself, and for a connection that has flooded, which is told from the others.
    """

    opened_at: float
    new_connections: RequestSource | None
    arrivals: SlidingCount = field(default_factory=SlidingCount)
    open_requests: dict[int, Request] = field(default_factory=dict)  # by request id, oldest first
    is_limited: bool = False
    is_shared: bool = False
    callers: set[int] = field(default_factory=set)  # numbers of callers that it has named, ``MAX_CALLERS`` at most
    first_caller: int | None = None

    @classmethod
    def shared(cls) -> RequestSource:
        """The record that the new connections of one frontend share."""
        return cls(0.0, None, is_shared=True)

    def bounded_caller(self, caller_id: int) -> int:
        """The caller that a request counts for: the one it names, or the first one if the connection names too many.

        The controller keeps an entry for each caller and takes many callers for a crowd, in which it has all idle
        connections closed early. One connection must not bring that about by names that are new each time.
        """
        if self.first_caller is None:
            self.first_caller = caller_id
        if len(self.callers) < MAX_CALLERS:
            self.callers.add(caller_id)
        return caller_id if caller_id in self.callers else self.first_caller

    def records(self, now: float) -> tuple[RequestSource, ...]:
        """The records to which a request that arrives now belongs."""
        if self.new_connections is None or now - self.opened_at >= NEW_CONNECTION_S:
            return (self,)
        return (self, self.new_connections)


class SourceFairness:
    """Decides whether a source may open another request."""

    def __init__(self) -> None:
        self._total = SlidingCount()
        self._served = SlidingCount()
        self._active: dict[RequestSource, None] = {}  # with arrivals in the last window, in the order of their first
        self._limited: list[RequestSource] = []
        self._now = 0.0  # of the last arrival
        self._updated_at = float("-inf")

    # ---- Events
    def record_arrival(self, now: float, source: RequestSource, cores: int) -> list[Request]:
        """Count a request that was read. ``cores`` is the number of the backend's cores.

        Now and then it is looked who floods; returns the open requests of limited sources then, which must not queue.
        """
        self._now = now
        self._total.add(now)
        for record in source.records(now):
            record.arrivals.add(now)
            self._active[record] = None
        if self._updated_at + UPDATE_INTERVAL_S > now:
            return []
        self._update(now, cores)
        return [request for record in self._limited for request in record.open_requests.values()]

    def record_served(self) -> None:
        """Count a request whose run gave a result, as of the last arrival."""
        self._served.add(self._now)

    # ---- Decisions
    def may_open(self, now: float, source: RequestSource, open_requests: int, cores: int) -> bool:
        """Whether ``source`` may open another request, beside the ``open_requests`` of all sources."""
        if not self._limited or open_requests < MAX_CORES_SHARE * cores:
            return True
        return not any(record.is_limited for record in source.records(now))

    def _update(self, now: float, cores: int) -> None:
        """Look who floods: each connection for itself first, then what is left of the shared records."""
        self._updated_at = now
        limit = max(FLOOD_PER_CORE * cores * WINDOW_S, FLOOD_PER_SERVED * self._served.value(now))
        for record in self._limited:
            record.is_limited = False
        self._limited = []
        if self._total.value(now) <= limit:
            self._active.clear()  # whoever sends from now on is added again, and counts from its own window
            return
        self._active = {record: None for record in self._active if record.arrivals.value(now) > 0}
        for record in sorted(self._active, key=lambda record: record.is_shared):
            if limit < record.arrivals.value(now) < self._total.value(now):
                self._limit(now, record)

    def _limit(self, now: float, record: RequestSource) -> None:
        record.is_limited = True
        self._limited.append(record)
        if len(record.records(now)) > 1 and record.new_connections is not None:
            record.new_connections.arrivals.remove(now, record.arrivals)
        record.new_connections = None
