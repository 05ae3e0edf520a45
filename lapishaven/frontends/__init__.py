"""Frontends: each maps one protocol to the core's requests, and the core's answers back to that protocol."""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Any, Protocol

from lapishaven.connection_end import ConnectionEnd
from lapishaven.core.broker import Broker
from lapishaven.counters import Counters
from lapishaven.net.connection import Connection
from lapishaven.net.loop import Loop, Wait

MAX_CLOCK_DIFFERENCE_S = 60.0  # of a stated time from this host's clock, far beyond any deadline; beyond it, malformed


def age(now: float, stated: float | None) -> float | None:
    """Seconds since the time that a request states; 0 if it states none, ``None`` if that time is out of range.

    The bound protects the controller's measure of how late requests are read: a request that stated a time in 1970
    would make it look as if everything waited past its latency objective, and the server would be taken off the
    endpoint list. A clock that is a little ahead gives a negative age, which the core counts as 0.
    """
    span = now - stated if stated is not None else 0.0
    return span if abs(span) <= MAX_CLOCK_DIFFERENCE_S else None


class Session(Protocol):
    """One connection of a frontend."""

    conn: Connection
    awaiting_since: float | None
    """When the wait for the rest of a message began, on the loop's clock; ``None`` while no message is incomplete.

    For the first message the wait begins with the connection.
    """

    @property
    def busy(self) -> bool:
        """Whether something that was read is still to be processed or answered."""

    def run(self) -> Generator[Wait, Any, None]:
        """Read and serve until the input ends."""

    def drain(self) -> None:
        """Tell the peer that nothing new is to be sent here, where its protocol has a message for that."""

    def close_gracefully(self, end: ConnectionEnd) -> None:
        """Process nothing more, and close once all that is open is answered."""


class Host(Protocol):
    """What a frontend needs of the server around it."""

    loop: Loop
    counters: Counters

    @property
    def broker(self) -> Broker | None:
        """The core; ``None`` until the backend is up."""

    @property
    def classes(self) -> dict[str, int]:
        """The classes that callers may name, by name their places in the settings."""

    @property
    def tenants(self) -> dict[str, int]:
        """The tenants, by name their places in the settings."""

    @property
    def draining(self) -> bool:
        """Whether the notice to shut down has come."""

    def health_check(self, deep: bool, callback: Callable[[bool], None]) -> None:
        """Answer a health check through ``callback``, at once or later; a deep one asks the backend too."""

    def connection_ended(self, session: Session, end: ConnectionEnd) -> None:
        """The session's connection has ended and its descriptor is free."""
