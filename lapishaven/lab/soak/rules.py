"""Finds the rules that a run of the soak broke, from the log of its requests and what was seen of its processes. Pure.

Times are seconds on one monotonic clock. A request that was open when its server was killed without notice, or whose
connection was opened while no server was ready, may be lost; all other requests may not. A request that crossed the end
of its connection, within the protocol's slack, was never read.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from lapishaven.lab.handover.book import SLACK_S, RequestLog, RequestOutcome, SentRequest

KILL_NOTICED_WITHIN_S = 0.3  # from SIGKILL until a caller has seen the end of its connections
LAG_WINDOW_S = 1.0  # lateness of the harness this long around an event is allowed for


class Rule(Enum):
    """A rule that a run may break."""

    ONE_ANSWER = "a request got two answers"
    ANSWERED = "a request got no answer"
    IN_TIME = "an answer came after its due time"
    ACCEPTED = "a connection to the held socket was refused"
    RUN_ONCE = "an effect that must run at most once ran twice"
    REFUSED_NEVER_RAN = "a request that ran was answered as refused"
    GRACE = "a request that came over 2 s after SIGTERM ran"
    ALIVE = "a process ended by itself, or was not ready in time"
    OVERLOAD = "an interpreter fell over"
    MEMORY = "a process exceeded its memory limit"
    DESCRIPTORS = "a process exceeded its descriptors, or did not release them"


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken rule, and what shows it."""

    rule: Rule
    detail: str


@dataclass(frozen=True, slots=True)
class Outage:
    """A time in which no server was ready; ``killed`` if it began with a SIGKILL without notice."""

    began_at: float
    ended_at: float
    killed: bool


@dataclass(slots=True)
class Lag:
    """How late the harness itself handled its events."""

    samples: list[tuple[float, float]] = field(default_factory=list)  # times and lateness in seconds

    def record(self, at: float, late_s: float) -> None:
        """The harness was ``late_s`` late at the time ``at``."""
        self.samples.append((at, late_s))

    def around(self, at: float) -> float:
        """The greatest lateness within ``LAG_WINDOW_S`` of ``at``."""
        return max((late_s for sampled_at, late_s in self.samples if abs(sampled_at - at) <= LAG_WINDOW_S), default=0.0)

    @property
    def greatest(self) -> float:
        """The greatest lateness in the run."""
        return max((late_s for _, late_s in self.samples), default=0.0)


@dataclass(frozen=True, slots=True)
class ProcessUse:
    """What one process used.

    Attributes:
        name: of the process.
        max_memory_kb: its greatest resident size.
        max_descriptors: the most descriptors that it had open.
        idle_descriptors: descriptors open once it was ready, and at its end without any caller; ``None`` if it was not
            looked at then.
    """

    name: str
    max_memory_kb: int
    max_descriptors: int
    idle_descriptors: tuple[int, int] | None = None


@dataclass(frozen=True, slots=True)
class Observations:
    """All that a run recorded.

    Attributes:
        log: requests, answers, runs and SIGTERMs.
        now: time of the judgement.
        inherited: whether the platform held the callers' socket, so that no connection may be refused.
        outages: times without a ready server.
        opened_at: when each of the callers' connections was opened, by its number.
        lag: the harness's own lateness.
        crashes: processes that ended by themselves or were not ready in time, in words.
        overloads: interpreters that fell over, in words.
        uses: what each process used.
        memory_limit_kb: limit of a process's memory.
        descriptor_limit: limit of a process's descriptors.
    """

    log: RequestLog
    now: float
    inherited: bool
    outages: Sequence[Outage]
    opened_at: Mapping[int, float]
    lag: Lag
    crashes: Sequence[str]
    overloads: Sequence[str]
    uses: Sequence[ProcessUse]
    memory_limit_kb: int
    descriptor_limit: int


def find_violations(seen: Observations) -> list[Violation]:
    """All rules that the run broke; empty if it kept them."""
    seen.log.verdict(seen.now)  # settles which open requests are unanswered
    violations = [violation for request in seen.log.requests.values() for violation in _judge_request(request, seen)]
    violations += [Violation(Rule.RUN_ONCE, body.decode()) for body in seen.log.run_twice()]
    violations += [Violation(Rule.REFUSED_NEVER_RAN, _describe(request)) for request in seen.log.refused_after_run()]
    violations += [Violation(Rule.GRACE, f"{run.body.decode()} on {run.process}") for run in seen.log.late_runs()]
    violations += [Violation(Rule.ALIVE, crash) for crash in seen.crashes]
    violations += [Violation(Rule.OVERLOAD, overload) for overload in seen.overloads]
    for use in seen.uses:
        violations += _judge_use(use, seen)
    return violations


def count_crossings(log: RequestLog, lag: Lag) -> int:
    """Requests that crossed the end of their connection, which is no violation."""
    return sum(_crossed_the_end(request, lag) for request in log.requests.values())


def _judge_request(request: SentRequest, seen: Observations) -> list[Violation]:
    if request.answers > 1:
        return [Violation(Rule.ONE_ANSWER, _describe(request))]
    outcome = request.outcome
    if outcome is RequestOutcome.DIAL_REFUSED:
        return [Violation(Rule.ACCEPTED, _describe(request))] if seen.inherited else []
    if outcome in (RequestOutcome.RESET, RequestOutcome.CUT):
        lost = not _crossed_the_end(request, seen.lag) and not _was_killed(request, seen.outages)
        return [Violation(Rule.ANSWERED, _describe(request))] if lost else []
    if _is_on_connection_of_an_outage(request, seen):
        return []
    if outcome is RequestOutcome.UNANSWERED:
        return [Violation(Rule.ANSWERED, _describe(request))]
    if request.ended_at > request.due_at + SLACK_S + seen.lag.around(request.ended_at):
        return [Violation(Rule.IN_TIME, _describe(request))]
    return []


def _crossed_the_end(request: SentRequest, lag: Lag) -> bool:
    if request.outcome not in (RequestOutcome.RESET, RequestOutcome.CUT):
        return False
    return request.ended_at - request.sent_at <= SLACK_S + lag.around(request.ended_at)


def _was_killed(request: SentRequest, outages: Sequence[Outage]) -> bool:
    return any(
        outage.killed and outage.began_at <= request.ended_at <= outage.began_at + KILL_NOTICED_WITHIN_S
        for outage in outages
    )


def _is_on_connection_of_an_outage(request: SentRequest, seen: Observations) -> bool:
    """Whether the request's connection was opened on the held socket while no server was ready to accept it."""
    if request.connection is None or not seen.inherited:
        return False
    opened_at = seen.opened_at[request.connection]
    return any(
        outage.began_at - SLACK_S <= opened_at <= outage.ended_at + seen.lag.around(outage.ended_at)
        for outage in seen.outages
    )


def _judge_use(use: ProcessUse, seen: Observations) -> list[Violation]:
    violations = []
    if use.max_memory_kb > seen.memory_limit_kb:
        violations.append(Violation(Rule.MEMORY, f"{use.name}: {use.max_memory_kb} kB of {seen.memory_limit_kb} kB"))
    if use.max_descriptors > seen.descriptor_limit:
        violations.append(Violation(Rule.DESCRIPTORS, f"{use.name}: {use.max_descriptors} of {seen.descriptor_limit}"))
    if use.idle_descriptors is not None and use.idle_descriptors[1] > use.idle_descriptors[0]:
        before, after = use.idle_descriptors
        violations.append(Violation(Rule.DESCRIPTORS, f"{use.name}: {before} once ready, {after} without callers"))
    return violations


def _describe(request: SentRequest) -> str:
    outcome = request.outcome.value if request.outcome is not None else "open"
    return (
        f"{request.name.decode()} ({request.class_name}), sent {request.sent_at:.3f}, due {request.due_at:.3f},"
        f" {outcome} {request.ended_at:.3f}{' ' + request.reason if request.reason else ''}, connection"
        f" {request.connection}, answers {request.answers}"
    )
