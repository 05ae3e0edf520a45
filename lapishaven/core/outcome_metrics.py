"""Names under which answers and attempts are counted and logged; operators' scripts rely on them."""

from __future__ import annotations

from lapishaven.admission import Outcome
from lapishaven.core.requests import AnswerKind

# Groups of counters by request class.
FULFILLED = "fulfilled"  # requests that were served
THROTTLED = "throttled"  # requests that were rejected, and never ran
FAULTED = "faulted"  # requests that failed
RELAYED = "relayed"  # runs that were handed to the backend

GROUP = {
    AnswerKind.SERVED: FULFILLED,
    AnswerKind.REJECTED: THROTTLED,
    AnswerKind.FORBIDDEN: THROTTLED,
    AnswerKind.FAILED: FAULTED,
    AnswerKind.DEADLINE_EXCEEDED: FAULTED,
}
"""The group that counts an answer of each kind."""

OUTCOME_LABELS = {
    Outcome.OK: "ok",
    Outcome.ERROR: "error",
    Outcome.OVERLOADED: "full",
    Outcome.TIMEOUT: "timeout",
    Outcome.UNREACHABLE: "unreached",
    Outcome.RESET: "reset",
    Outcome.CANCELLED: "cancelled",
    Outcome.OBSOLETE: "moot",
}
"""The word for each outcome of an attempt in counters, logs and reasons."""
