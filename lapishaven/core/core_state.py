"""The state that the components of one core share."""

from __future__ import annotations

from dataclasses import dataclass

from lapishaven.admission import Event
from lapishaven.core.active_settings import ActiveSettings
from lapishaven.core.drain_state import DrainState
from lapishaven.core.execution_guard import ExecutionGuard
from lapishaven.core.idempotency_keys import IdempotencyKeyTable
from lapishaven.core.ports import AttemptRecorder
from lapishaven.core.request_table import RequestTable
from lapishaven.core.source_fairness import SourceFairness
from lapishaven.counters import Counters


@dataclass(frozen=True, slots=True)
class CoreState:
    """The shared state of one core; each component keeps references to the parts that it uses."""

    settings: ActiveSettings
    table: RequestTable
    keys: IdempotencyKeyTable
    guard: ExecutionGuard
    drain_state: DrainState
    fairness: SourceFairness
    recorder: AttemptRecorder
    counters: Counters
    events: list[Event]  # events for the controller's next batch, in order
