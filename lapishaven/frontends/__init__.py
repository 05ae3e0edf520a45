"""Frontends: each maps one protocol to the core's requests, and the core's answers back to the protocol."""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Any, Protocol

from lapishaven.connection_end import ConnectionEnd
from lapishaven.core.broker import Broker
from lapishaven.counters import Counters
from lapishaven.net.connection import Connection
from lapishaven.net.loop import Loop, Wait

MAX_CLOCK_DIFFERENCE_S = 60.0  # a stated time further from this host's clock is malformed; far above any deadline


def age(now: float, stated_at: float | None) -> float | None:
    """Seconds since the time stated in a request; 0 if it states none, ``None`` if the time is out of range.

    The bound protects the controller's measurement of how late requests are read: a request that states a time in 1970
    would make all requests appear to have waited past their latency objective, and the server would be removed from
    the endpoint list. A peer's clock that is slightly ahead gives a negative age, which the core counts as 0.
    """
    span = now - stated_at if stated_at is not None else 0.0
    return span if abs(span) <= MAX_CLOCK_DIFFERENCE_S else None


class Session(Protocol):
    """One connection of a frontend."""

    conn: Connection
    awaiting_since: float | None
    """Loop time since which an incomplete message is awaited; ``None`` while no message is incomplete.

    For the first message this is the time of the accept.
    """

    @property
    def busy(self) -> bool:
        """Whether input that was read is still to be processed or answered."""

    @property
    def unfinished_bytes(self) -> int:
        """Bytes held of a message that is not complete; 0 once ``close_gracefully`` was called."""

    def run(self) -> Generator[Wait, Any, None]:
        """Read and serve until the input ends."""

    def drain(self) -> None:
        """Tell the peer to send no new requests here, if the protocol has a message for that."""

    def close_gracefully(self, end: ConnectionEnd) -> None:
        """Process no further input, and close once all open requests are answered."""


class Host(Protocol):
    """The server as a frontend uses it."""

    loop: Loop
    counters: Counters

    @property
    def broker(self) -> Broker | None:
        """The broker; ``None`` until the backend is up."""

    @property
    def classes(self) -> dict[str, int]:
        """Indexes of the classes that callers may use in the settings, by class name."""

    @property
    def tenants(self) -> dict[str, int]:
        """Indexes of the tenants in the settings, by tenant name."""

    @property
    def draining(self) -> bool:
        """Whether the shutdown notice has been received."""

    def may_have_run(self, class_name: str, idempotency_key: str) -> bool:
        """Whether another or an earlier process may have run an effect; asked while there is no broker."""

    def health_check(self, deep: bool, callback: Callable[[bool], None]) -> None:
        """Answer a health check through ``callback``, now or later; a deep one also checks the backend."""

    def connection_ended(self, session: Session, end: ConnectionEnd) -> None:
        """Handle the end of a session's connection, whose descriptor is released."""
