"""A run that the core asked for, whichever endpoint has it."""

from __future__ import annotations

from dataclasses import dataclass

from lapishaven.net.connection import Connection


@dataclass(slots=True, eq=False)
class BalancedRun:
    """Times are in s of the event loop's clock.

    Attributes:
        handle: the core's name for it.
        class_name: class of the request.
        body: of the request.
        at_most_once: whether the request is not idempotent, so that it must not be sent where it may have run before.
        started_at: when the core asked for it.
        deadline: when it fails if no endpoint has answered.
        connection: to its endpoint, once there is one.
        endpoint: that it was last sent to.
        sent_at: when that was.
        attempt_number: grows with each attempt and at the end, which tells the events of earlier attempts apart.
        excluded: endpoints that had it.
        cancelled: whether the core no longer wants it.
    """

    handle: str
    class_name: str
    body: bytes
    at_most_once: bool
    started_at: float
    deadline: float
    connection: Connection | None = None
    endpoint: str = ""
    sent_at: float = 0.0
    attempt_number: int = 0
    excluded: frozenset[str] = frozenset()
    cancelled: bool = False
