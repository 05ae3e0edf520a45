"""The state of one run over all its attempts at endpoints."""

from __future__ import annotations

from dataclasses import dataclass

from lapishaven.net.connection import Connection


@dataclass(slots=True, eq=False)
class BalancedRun:
    """A run that the core has started. Times are seconds on the event loop's clock.

    Attributes:
        attempt_id: the core's attempt id.
        class_name: class of the request.
        body: body of the request.
        at_most_once: whether the request is not idempotent, so that it is not retried once it may have run.
        started_at: when the core started the run.
        deadline: when the run fails if no endpoint has answered.
        connection: the connection of the current attempt; None before it is established.
        endpoint: the endpoint of the latest attempt; empty before the first.
        sent_at: when the latest attempt began.
        attempt_number: increased by each attempt and at the end, to recognize late events of earlier attempts.
        excluded: endpoints of earlier attempts, which are not tried again.
        cancelled: whether the core has cancelled the run.
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
