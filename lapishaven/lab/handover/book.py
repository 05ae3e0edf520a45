"""The book of a hand-over: every request a caller sent, how it ended, and what the rules say of it.

Pure: times are passed in (seconds on one monotonic clock), nothing is read or written. The caller tells it what
it sent and what came back or broke; the stand-in interpreters tell it what ran, through which process; the
platform tells it when it gave the notice to leave. ``Book.verdict`` then counts, as a caller sees them:

- ``refused``: a connection that could not be made (``ECONNREFUSED``), one count for each request that it was for;
- ``reset``: requests open on a connection that was reset (``ECONNRESET``, ``EPIPE``);
- ``cut``: requests open on a connection that the server closed without answering them;
- ``unanswered``: requests with no answer by their due time and the protocol's slack, on a connection still open;
- ``late``: answers that came after the request's due time and the slack;
- ``doubled``: a second answer to one request;
- ``late_runs``: runs begun through a process of requests that reached it more than the grace after its notice;
- ``refused_after_run``: an answer "refused" to a request of which a run was begun;
- ``twice``: requests of a class that must run once, of which two runs were begun.

The first five are what DAYS.md prices for an upgrade; all eight must be 0 for a hand-over to be clean.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

SLACK = 0.05  # s that the protocol adds to every time limit on sockets
GRACE = 2.0  # s after the notice to leave in which what arrives is still read and may run


class Ended(Enum):
    """How a request ended, as its caller saw it."""

    SERVED = "served"
    REFUSED = "refused"  # an answer with -32066: it never ran
    FAILED = "failed"
    DIAL_REFUSED = "dial refused"
    RESET = "reset"
    CUT = "cut"
    UNANSWERED = "unanswered"


BROKEN = (Ended.DIAL_REFUSED, Ended.RESET, Ended.CUT, Ended.UNANSWERED)


@dataclass(slots=True)
class Sent:
    """One request as its caller sent it."""

    body: bytes  # unique in a book: the stand-in interpreter's ledger is keyed by it
    cls: str
    once: bool  # of a class that must not run twice
    at: float
    due: float
    conn: int | None  # None: no connection could be made for it
    ended: Ended | None = None
    ended_at: float = 0.0
    reason: str = ""
    answers: int = 0
    late: bool = False


@dataclass(frozen=True, slots=True)
class Run:
    """A run begun through one process's interpreter."""

    body: bytes
    at: float
    process: str


@dataclass(frozen=True, slots=True)
class Verdict:
    """The counts of a book; ``clean`` when nothing that the rules or DAYS.md price happened."""

    sent: int
    served: int
    refused_answers: int
    failed: int
    refused: int
    reset: int
    cut: int
    unanswered: int
    late: int
    doubled: int
    late_runs: int
    refused_after_run: int
    twice: int
    reasons: dict[str, int]

    @property
    def broken(self) -> int:
        """Requests that met a refused, reset or unread connection, or no answer."""
        return self.refused + self.reset + self.cut + self.unanswered

    @property
    def clean(self) -> bool:
        return not (self.broken or self.late or self.doubled or self.late_runs or self.refused_after_run or self.twice)


@dataclass(slots=True)
class Book:
    """``sent`` and the rest are called as things happen; ``verdict(now)`` counts what is still open as unanswered
    where its due time and the slack have passed."""

    requests: dict[bytes, Sent] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    notices: dict[str, float] = field(default_factory=dict)  # process: when it was told to leave
    _open: dict[int, dict[bytes, Sent]] = field(default_factory=dict)  # by connection

    def sent(self, at: float, body: bytes, cls: str, once: bool, deadline: float, conn: int) -> None:
        """A request's last byte went to the kernel on connection ``conn`` (any number the caller chooses)."""
        if body in self.requests:
            raise ValueError(f"body {body!r} was sent before: a book needs each once")
        request = Sent(body, cls, once, at, at + deadline, conn)
        self.requests[body] = request
        self._open.setdefault(conn, {})[body] = request

    def not_sent(self, at: float, body: bytes, cls: str, once: bool, deadline: float) -> None:
        """No connection could be made for it: the door was refused."""
        request = Sent(body, cls, once, at, at + deadline, None)
        self.requests[body] = request
        self._end(request, at, Ended.DIAL_REFUSED)

    def answered(self, at: float, body: bytes, ended: Ended, reason: str = "") -> None:
        """An answer to the request came: ``SERVED``, ``REFUSED`` or ``FAILED``. A second one is counted."""
        request = self.requests[body]
        request.answers += 1
        if request.answers > 1:
            return
        if request.ended is None:
            request.reason, request.late = reason, at > request.due + SLACK
            self._end(request, at, ended)

    def broke(self, at: float, conn: int, ended: Ended) -> None:
        """Connection ``conn`` ended: ``RESET`` or ``CUT`` for each request on it without an answer."""
        for request in list(self._open.get(conn, {}).values()):
            self._end(request, at, ended)
        self._open.pop(conn, None)

    def ran(self, at: float, body: bytes, process: str) -> None:
        """The interpreter of ``process`` began a run of ``body``."""
        self.runs.append(Run(body, at, process))

    def told_to_leave(self, at: float, process: str) -> None:
        self.notices.setdefault(process, at)

    def open(self) -> int:
        """Requests sent and not ended."""
        return sum(len(on) for on in self._open.values())

    def verdict(self, now: float) -> Verdict:
        for request in self.requests.values():
            if request.ended is None and now > request.due + SLACK:
                self._end(request, now, Ended.UNANSWERED)
        ends = Counter(r.ended for r in self.requests.values() if r.ended is not None)
        late = 0
        for run in self.runs:
            notice, asked = self.notices.get(run.process), self.requests.get(run.body)
            if notice is not None and asked is not None and asked.at > notice + GRACE + SLACK:
                late += 1
        begun = Counter(run.body for run in self.runs)
        refused_after = sum(1 for body in begun if body in self.requests and self.requests[body].ended is Ended.REFUSED)
        twice = sum(1 for body, n in begun.items() if n > 1 and body in self.requests and self.requests[body].once)
        reasons = Counter(r.reason for r in self.requests.values() if r.ended is Ended.REFUSED)
        return Verdict(
            len(self.requests),
            ends[Ended.SERVED],
            ends[Ended.REFUSED],
            ends[Ended.FAILED],
            ends[Ended.DIAL_REFUSED],
            ends[Ended.RESET],
            ends[Ended.CUT],
            ends[Ended.UNANSWERED],
            sum(r.late for r in self.requests.values()),
            sum(max(0, r.answers - 1) for r in self.requests.values()),
            late,
            refused_after,
            twice,
            dict(sorted(reasons.items())),
        )

    def _end(self, request: Sent, at: float, ended: Ended) -> None:
        request.ended, request.ended_at = ended, at
        if request.conn is not None:
            self._open.get(request.conn, {}).pop(request.body, None)
