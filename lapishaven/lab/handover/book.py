"""Records every request of a handover trial, how it ended, and which of the protocol's rules were broken.

Pure: times are passed in (seconds on one monotonic clock), and nothing is read or written. The caller records what
it sent, what was answered and which connections failed; the stand-in interpreters record which runs began, through
which process; the platform records when it sent SIGTERM. ``RequestLog.verdict`` then counts, as a caller sees them:

- ``refused``: a connection that could not be made (``ECONNREFUSED``), counted once per request that needed it;
- ``reset``: requests open on a connection that was reset (``ECONNRESET``, ``EPIPE``);
- ``cut``: requests open on a connection that the server closed without answering them;
- ``unanswered``: requests with no answer by their due time plus ``SLACK_S``, on a connection that is still open;
- ``late``: answers that came after the request's due time plus ``SLACK_S``;
- ``doubled``: a second answer to one request;
- ``late_runs``: runs that a process began for requests sent more than ``GRACE_S + SLACK_S`` after its SIGTERM;
- ``refused_after_run``: requests answered as refused although a run of them had begun;
- ``twice``: requests of a class that must run at most once, for which several runs began.

The platform penalizes an upgrade for each of the first five; all nine must be 0 for a handover to be clean.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

SLACK_S = 0.05  # the protocol adds this to every time limit on sockets
GRACE_S = 2.0  # after SIGTERM; requests that arrive within it are still read and may run


class RequestOutcome(Enum):
    """The outcome of a request, as its caller saw it."""

    SERVED = "served"
    REFUSED = "refused"  # an error response with code -32066: it never ran
    FAILED = "failed"
    DIAL_REFUSED = "dial refused"
    RESET = "reset"
    CUT = "cut"
    UNANSWERED = "unanswered"


LOST_OUTCOMES = (RequestOutcome.DIAL_REFUSED, RequestOutcome.RESET, RequestOutcome.CUT, RequestOutcome.UNANSWERED)


@dataclass(slots=True)
class SentRequest:
    """One request that a caller sent or could not send."""

    body: bytes  # identifies the effect in the interpreter's records; the same for all attempts at it
    class_name: str
    run_once: bool  # of a class that must run at most once
    sent_at: float
    due_at: float
    connection: int | None  # None if no connection could be made
    name: bytes = b""  # of the attempt, unique within a log; the body unless an effect is attempted several times
    outcome: RequestOutcome | None = None
    ended_at: float = 0.0
    reason: str = ""
    answers: int = 0
    late: bool = False


@dataclass(frozen=True, slots=True)
class Run:
    """A run that the interpreter of one server process began."""

    body: bytes
    at: float
    process: str


@dataclass(frozen=True, slots=True)
class Verdict:
    """The counts of a request log."""

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
        """Requests whose connection was refused, reset or closed, or that got no answer."""
        return self.refused + self.reset + self.cut + self.unanswered

    @property
    def clean(self) -> bool:
        """Whether no rule was broken and no request was lost or answered late."""
        return not (self.broken or self.late or self.doubled or self.late_runs or self.refused_after_run or self.twice)


@dataclass(slots=True)
class RequestLog:
    """The ``record_`` methods are called as events happen. ``verdict(now)`` counts an open request as unanswered once
    its due time plus ``SLACK_S`` has passed."""

    requests: dict[bytes, SentRequest] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    terminations: dict[str, float] = field(default_factory=dict)  # process name to the time of SIGTERM
    _open_by_connection: dict[int, dict[bytes, SentRequest]] = field(default_factory=dict)
    _attempts_by_body: dict[bytes, list[SentRequest]] = field(default_factory=dict)

    def record_sent(
        self,
        at: float,
        body: bytes,
        class_name: str,
        run_once: bool,
        deadline: float,
        connection: int,
        name: bytes = b"",
    ) -> None:
        """The request was written to the connection with this number, which the caller chooses.

        A further attempt at an effect has the body of the first one and a ``name`` of its own, which stands for the
        body elsewhere. Raises ``ValueError`` if the log already has a request with this name or, without one, body.
        """
        name = name or body
        if name in self.requests:
            raise ValueError(f"request body {name[:64]!r} was sent before; each body in a request log must be unique")
        request = SentRequest(body, class_name, run_once, at, at + deadline, connection, name)
        self.requests[name] = request
        self._open_by_connection.setdefault(connection, {})[name] = request
        self._attempts_by_body.setdefault(body, []).append(request)

    def record_dial_failure(self, at: float, body: bytes, class_name: str, run_once: bool, deadline: float) -> None:
        """No connection could be made for the request."""
        request = SentRequest(body, class_name, run_once, at, at + deadline, None, body)
        self.requests[body] = request
        self._attempts_by_body.setdefault(body, []).append(request)
        self._set_outcome(request, at, RequestOutcome.DIAL_REFUSED)

    def record_answer(self, at: float, name: bytes, outcome: RequestOutcome, reason: str = "") -> None:
        """An answer came: ``SERVED``, ``REFUSED`` or ``FAILED``. Further answers to the request are only counted."""
        request = self.requests[name]
        request.answers += 1
        if request.answers > 1:
            return
        if request.outcome is None:
            request.reason, request.late = reason, at > request.due_at + SLACK_S
            self._set_outcome(request, at, outcome)

    def record_connection_end(self, at: float, connection: int, outcome: RequestOutcome) -> None:
        """The connection with this number ended, which gives each unanswered request on it ``RESET`` or ``CUT``."""
        for request in list(self._open_by_connection.get(connection, {}).values()):
            self._set_outcome(request, at, outcome)
        self._open_by_connection.pop(connection, None)

    def record_run(self, at: float, body: bytes, process: str) -> None:
        """The interpreter of ``process`` began a run of ``body``."""
        self.runs.append(Run(body, at, process))

    def record_termination(self, at: float, process: str) -> None:
        """The platform sent SIGTERM to ``process``; only the first time counts."""
        self.terminations.setdefault(process, at)

    def open_count(self) -> int:
        """How many requests were sent and have no outcome yet."""
        return sum(len(on) for on in self._open_by_connection.values())

    def verdict(self, now: float) -> Verdict:
        """Count the outcomes and the broken rules as of ``now``."""
        for request in self.requests.values():
            if request.outcome is None and now > request.due_at + SLACK_S:
                self._set_outcome(request, now, RequestOutcome.UNANSWERED)
        outcomes = Counter(request.outcome for request in self.requests.values() if request.outcome is not None)
        reasons = Counter(
            request.reason for request in self.requests.values() if request.outcome is RequestOutcome.REFUSED
        )
        return Verdict(
            len(self.requests),
            outcomes[RequestOutcome.SERVED],
            outcomes[RequestOutcome.REFUSED],
            outcomes[RequestOutcome.FAILED],
            outcomes[RequestOutcome.DIAL_REFUSED],
            outcomes[RequestOutcome.RESET],
            outcomes[RequestOutcome.CUT],
            outcomes[RequestOutcome.UNANSWERED],
            sum(request.late for request in self.requests.values()),
            sum(max(0, request.answers - 1) for request in self.requests.values()),
            len(self.late_runs()),
            len(self.refused_after_run()),
            len(self.run_twice()),
            dict(sorted(reasons.items())),
        )

    # ---- Rules that only the interpreters' runs can show
    def late_runs(self) -> list[Run]:
        """Runs that a process began for requests all sent more than ``GRACE_S + SLACK_S`` after its SIGTERM."""
        return [run for run in self.runs if self._is_late(run)]

    def _is_late(self, run: Run) -> bool:
        terminated_at, attempts = self.terminations.get(run.process), self._attempts_by_body.get(run.body)
        if terminated_at is None or not attempts:
            return False
        return min(attempt.sent_at for attempt in attempts) > terminated_at + GRACE_S + SLACK_S

    def refused_after_run(self) -> list[SentRequest]:
        """Requests that were refused although a run of their effect had begun, or began without another attempt."""
        runs = self._runs_by_body()
        refused = [request for request in self.requests.values() if request.outcome is RequestOutcome.REFUSED]
        return [request for request in refused if self._may_have_run(request, runs.get(request.body, []))]

    def _may_have_run(self, request: SentRequest, runs: list[Run]) -> bool:
        """Whether one of ``runs``, those of its body, began before the request's answer or for no other attempt."""
        others = [other for other in self._attempts_by_body[request.body] if other is not request]
        return any(run.at <= request.ended_at or not any(other.sent_at <= run.at for other in others) for run in runs)

    def run_twice(self) -> list[bytes]:
        """Bodies of a class that must run at most once, for which several runs began."""
        return [
            body
            for body, runs in self._runs_by_body().items()
            if len(runs) > 1 and any(attempt.run_once for attempt in self._attempts_by_body.get(body, []))
        ]

    def _runs_by_body(self) -> dict[bytes, list[Run]]:
        runs: dict[bytes, list[Run]] = {}
        for run in self.runs:
            runs.setdefault(run.body, []).append(run)
        return runs

    def _set_outcome(self, request: SentRequest, at: float, outcome: RequestOutcome) -> None:
        request.outcome, request.ended_at = outcome, at
        if request.connection is not None:
            self._open_by_connection.get(request.connection, {}).pop(request.name, None)
