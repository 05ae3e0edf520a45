"""Types that pass between a host and the controller: settings, events, actions, outcomes.

Nothing in here decides: absent values are ``None`` and the controller gives them meaning. Times are
seconds of the host's clock, memory is kilobytes, ids are the host's and carry no meaning.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Protocol


class Effect(Enum):
    """What running a request twice would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Outcome(IntEnum):
    """How a run or a call ended."""

    OK = 1
    ERROR = 2
    FULL = 3
    TIMEOUT = 4
    UNREACHED = 5
    RESET = 6
    CANCELLED = 7
    MOOT = 8


@dataclass(frozen=True, slots=True)
class ClassSpec:
    """A request class."""

    name: str
    aim: float
    deadline: float
    worth: float
    effect: Effect
    late_worth: float
    window: float | None
    calls: bool
    skip_worth: float
    aim_stretch: float | None = None


@dataclass(frozen=True, slots=True)
class TenantSpec:
    """A tenant and the rate, over the whole fleet, that is inside its share."""

    name: str
    allowance: float


@dataclass(frozen=True, slots=True)
class Settings:
    """All that an instance is told at its start."""

    classes: tuple[ClassSpec, ...]
    tenants: tuple[TenantSpec, ...]
    cores: int
    memory_kb: float
    run_factor: float
    key_kb: float
    peers: int
    callers: int
    cold: bool
    cold_span: float
    cold_from: float
    fall_multiple: float
    fall_span: float
    drain_grace: float
    answer_slack: float
    over_share_worth: float
    worth_by_work: bool
    advice_max: float | None  # longest stay-away advice that is followed; None: advice is not passed on
    say: str | None  # "level", "window", "weight" or None
    said_for: float
    halt: str | None  # "abort", "pause" or None
    fresh: float
    fair_calls: float | None
    call_window: float
    linger: float
    passes_deadline: bool
    tells_gone: bool
    marks_retry: bool
    deep_checks: bool
    listed_by_health: bool
    idle: float | None


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request was read and is now held; it is owed one final answer."""

    id: int
    kb: float
    tenant: int
    due: float | None
    caller: int
    age: float
    retry: bool
    write: bool
    cls: int
    rank: float
    subject: int | None
    cost: float | None
    repeats: int | None


@dataclass(frozen=True, slots=True)
class Finished:
    """A run, or an attached repeat, ended."""

    id: int
    spent: float
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class NeedsCall:
    """A running request stands at a call below."""

    id: int


@dataclass(frozen=True, slots=True)
class CallEnded:
    """A call below ended."""

    id: int
    outcome: Outcome
    spent: float


@dataclass(frozen=True, slots=True)
class Drain:
    """The instance is to leave and is killed at the given time."""

    kill_at: float


@dataclass(frozen=True, slots=True)
class Gone:
    """Nobody waits for this request any more."""

    id: int


@dataclass(frozen=True, slots=True)
class Poll:
    """A timer came due; it brings the instance's gauges."""

    mark: int
    cpu: float | None
    on_cores: float | None
    memory: float | None
    connections: float | None


class Pools(Protocol):
    """Pools by class, which the Controller asks where there are any. Times as in ``handle``; all pure."""

    def guards(self, cls: int) -> bool:
        """Whether the class is within what is guaranteed to it, so that it is not refused by chance."""

    def full(self, now: float, cls: int, aim_at: float, due: float) -> tuple[str, float] | None:
        """Why there is no room, and in how many seconds there will be; ``None`` where there is."""

    def run_time(self, cls: int) -> float:
        """Seconds that a run of the class takes now."""

    def hold(self, now: float, id: int, cls: int, kb: float, aim_at: float, due: float) -> None:
        """It was admitted."""

    def order(self, now: float) -> Iterator[int]:
        """What may start, in its order."""

    def started(self, now: float, id: int) -> None: ...

    def dropped(self, id: int) -> None:
        """It waits no longer, and does not run."""

    def ended(self, now: float, id: int, whole: bool) -> None:
        """It runs no longer."""

    def suspended(self, now: float, id: int) -> bool:
        """It was stopped: whether by the pools, to go on later."""

    def poll(self, now: float, poll: Poll) -> list[int]:
        """The gauges; gives the runs to be paused."""


Event = Arrival | Finished | NeedsCall | CallEnded | Drain | Gone | Poll


@dataclass(frozen=True, slots=True)
class Run:
    """Start, or take up again, a request."""

    id: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Turn away a request that never ran; ``reason`` is for people, not for callers."""

    id: int
    reason: str
    advice: float | None = None
    last: bool = False


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer with an error, with no promise."""

    id: int
    reason: str


@dataclass(frozen=True, slots=True)
class Halt:
    """Stop running work."""

    id: int


@dataclass(frozen=True, slots=True)
class Call:
    """Make the call that a request stands at."""

    id: int
    patience: float


@dataclass(frozen=True, slots=True)
class Skip:
    """Leave the call out and finish with a poorer answer."""

    id: int


@dataclass(frozen=True, slots=True)
class Keep:
    """Put a request in the table of keys."""

    id: int
    life: float


@dataclass(frozen=True, slots=True)
class Forget:
    """Drop a request's entry in the table of keys."""

    id: int


@dataclass(frozen=True, slots=True)
class Attach:
    """Serve a repeat from its forerunner's result."""

    id: int


@dataclass(frozen=True, slots=True)
class Health:
    """How health checks are answered from now on."""

    good: bool


@dataclass(frozen=True, slots=True)
class Say:
    """The level, window or weight told to callers from now on."""

    value: float


@dataclass(frozen=True, slots=True)
class KeepIdle:
    """How long an unused connection may stay open."""

    span: float


@dataclass(frozen=True, slots=True)
class Timer:
    """Ask for a ``Poll`` after a span."""

    span: float
    mark: int


@dataclass(frozen=True, slots=True)
class Remark:
    """A line for on-call staff."""

    text: str


Action = Run | Refuse | Fail | Halt | Call | Skip | Keep | Forget | Attach | Health | Say | KeepIdle | Timer | Remark
