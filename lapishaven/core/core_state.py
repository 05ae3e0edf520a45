"""What the parts of one core share."""

from __future__ import annotations

from dataclasses import dataclass

from lapishaven.admission import Event
from lapishaven.core.active_settings import ActiveSettings
from lapishaven.core.drain_state import DrainState
from lapishaven.core.execution_guard import ExecutionGuard
from lapishaven.core.idempotency_keys import IdempotencyKeyTable
from lapishaven.core.ports import AttemptRecorder
from lapishaven.core.request_table import RequestTable
from lapishaven.counters import Counters


@dataclass(frozen=True, slots=True)
class CoreState:
    """The state of one core; each part keeps references to what it needs of it."""

    settings: ActiveSettings
    table: RequestTable
    keys: IdempotencyKeyTable
    guard: ExecutionGuard
    drain_state: DrainState
    recorder: AttemptRecorder
    counters: Counters
    events: list[Event]  # what the controller is to be told in the next batch, in its order
