"""Fronts: each maps one wire to the core's requests, and the core's answers back to that wire."""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Any, Protocol

from lapishaven.connection_end import ConnectionEnd
from lapishaven.core.broker import Broker
from lapishaven.counters import Counters
from lapishaven.net.connection import Connection
from lapishaven.net.loop import Loop, Wait

CLOCKS = 60.0  # s that a stated time may be off this clock, far past any deadline; beyond that it is no time


def age(now: float, stated: float | None) -> float | None:
    """How old a request is by its own word; ``None`` if that is out of range.

    Guards the module's picture of how late it reads: one request said to have come in 1970 would tell it that
    everything waits past its aim, and take the server off the list. A clock a little ahead gives a negative
    age, which the core clamps.
    """
    span = now - stated if stated is not None else 0.0
    return span if abs(span) <= CLOCKS else None


class Session(Protocol):
    """One connection of a front."""

    conn: Connection
    since: float | None  # since when the rest of a message is awaited, the first from the start; else None

    @property
    def busy(self) -> bool:
        """Whether something that was read is still to be taken up or answered."""

    def run(self) -> Generator[Wait, Any, None]:
        """Read and serve until the input ends."""

    def drain(self) -> None:
        """Tell the peer that nothing new is to be sent here, where its protocol has words for that."""

    def leave(self, end: ConnectionEnd) -> None:
        """Take up nothing more, and close once all that is open is answered."""


class Host(Protocol):
    """What a front needs of the server round it."""

    loop: Loop
    counters: Counters
    broker: Broker | None
    classes: dict[str, int]
    tenants: dict[str, int]  # by name, their places in the settings

    @property
    def draining(self) -> bool:
        """Whether the notice to leave has come."""

    def check(self, deep: bool, told: Callable[[bool], None]) -> None: ...
    def ended(self, session: Session, end: ConnectionEnd) -> None: ...
