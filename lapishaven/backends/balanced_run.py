"""The state of one run over all its attempts at endpoints."""

from __future__ import annotations

from dataclasses import dataclass

from lapishaven.net.connection import Connection


@dataclass(slots=True, eq=False)
class BalancedRun:
    """A run that the core has asked for. Times are seconds of the event loop's clock.

    Attributes:
        attempt_id: its attempt id in the core.
        class_name: class of the request.
        body: of the request.
        at_most_once: whether the request is not idempotent, so that it must not be sent where it may have run before.
        started_at: when the core asked for it.
        deadline: when it fails if no endpoint has answered.
        connection: to its endpoint, once there is one.
        endpoint: the endpoint that it was last sent to; empty before.
        sent_at: when that was.
        attempt_number: grows with each attempt and at the end, so that late events of earlier attempts are recognized.
        excluded: endpoints that it was sent to and is not sent to again.
        cancelled: whether the core no longer wants it.
    """

    attempt_id: str
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
