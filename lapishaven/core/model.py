"""What the core deals in, and the ports through which it reaches the outside."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from lapishaven.core.contracts import Contract


class Kind(Enum):
    """How a request was answered."""

    SERVED = "served"
    REFUSED = "refused"  # this try never ran and never will
    FAILED = "failed"
    DUE = "due"  # failed as its due time came
    DENIED = "denied"  # no contract covers it; it never ran, and trying again does not help


@dataclass(frozen=True, slots=True)
class Answer:
    """The one final answer to a request."""

    kind: Kind
    body: bytes = b""
    reason: str = ""
    pushback: float | None = None  # seconds to keep away
    stop: bool = False  # no other server should be tried


@dataclass(frozen=True, slots=True)
class Submission:
    """A request as a front read it."""

    handle: str  # the name under which the backend runs it
    cls: int
    body: bytes
    kb: float
    rank: float = 0.0
    age: float = 0.0
    caller: int = 0
    retry: bool = False
    write: bool = False
    subject: int | None = None
    key: str | None = None  # names the effect, where the front's protocol has such a key
    team: str | None = None  # whose contract it comes under; None where the front's protocol names no team
    service: str = ""
    left: float | None = None  # seconds from its arrival for which its caller waits; None: its class's deadline
    digest: bytes | None = None  # of what is asked, where a key must always stand for the same
    tenant: int = 0  # its place in the settings' tenants


class Reply(Protocol):
    """Where one request's answer goes."""

    def __call__(self, answer: Answer) -> None: ...


class Backend(Protocol):
    """What runs requests."""

    def start(self, handle: str, cls: str, body: bytes, once: bool) -> None: ...
    def halt(self, handle: str) -> None: ...
    def resume(self, handle: str) -> None: ...
    def gauges(self) -> None: ...


class Record(Protocol):
    """What keeps a record of starts and answers."""

    def __call__(self, event: str, sub: Submission, detail: str) -> None: ...


class Known(Protocol):
    """What is known of an effect."""

    @property
    def result(self) -> bytes: ...
    @property
    def standing(self) -> Enum: ...


class Keeper(Protocol):
    """What keeps keyed results beyond this process's life."""

    def find(self, cls: str, key: str) -> Known: ...
    def intend(self, cls: str, key: str, sub: Submission, then: Callable[[bool | Known], None]) -> float | None: ...
    def done(self, cls: str, key: str, result: bytes, then: Callable[[bool], None]) -> None: ...
    def failed(self, cls: str, key: str) -> None: ...
    def void(self, cls: str, key: str) -> None: ...


class LastingKeeper(Keeper, Protocol):
    """One that works off the event path: ``told`` is to be called there when ``ready`` has something to read.
    ``label`` heads its gauges."""

    label: str

    @property
    def ready(self) -> int: ...
    def told(self) -> None: ...
    def doubts(self) -> list[tuple[str, str, float]]: ...
    def state(self) -> dict[str, int]: ...
    def close(self) -> None: ...


class FleetPart(Protocol):
    """This process's part in work that belongs to the whole fleet."""

    def served(self, team: str | None, cls: str, worth: float, key: str | None) -> None:
        """A request was answered as served; ``key`` names its effect, where it has one. Never waits."""

    def take(self, now: float, contract: Contract) -> float: ...
    def unserved(self, refused: bool) -> None:
        """A request was answered otherwise. Never waits."""

    def late(self, so: bool) -> None:
        """The module says that it reads too late for every aim, or that it does not any more. Never waits."""

    def state(self) -> dict[str, int]: ...
    def leave(self) -> None:
        """The notice to leave came: hand over what is owned. Never waits."""

    def close(self) -> None: ...


class Signals(Protocol):
    """What the module tells the outside apart from answers."""

    def health(self, good: bool) -> None: ...
    def idle(self, span: float) -> None: ...
    def remark(self, text: str) -> None: ...


class State(Enum):
    HELD = "held"
    ATTACHED = "attached"
    INTENDING = "intending"  # to be run once its intent is durable
    RUNNING = "running"
    RECORDING = "recording"  # it ran; to be answered once its result is durable
    PAUSED = "paused"
    OVER = "over"


@dataclass(slots=True)
class Request:
    """An entry of the request table. ``reply`` is there until the request is answered or gone."""

    id: int
    sub: Submission
    reply: Reply | None
    arrived: float
    due: float
    backend: Backend
    state: State = State.HELD
    ran: bool = False
    repeats: int | None = None
    followers: list[int] = field(default_factory=list)
