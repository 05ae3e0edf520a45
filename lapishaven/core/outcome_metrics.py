"""Counter and log names of answers and attempts; operators' scripts depend on them."""

from __future__ import annotations

from lapishaven.admission import Outcome
from lapishaven.core.requests import AnswerKind

# Counter groups; each has one counter per request class.
FULFILLED = "fulfilled"  # served requests
THROTTLED = "throttled"  # rejected requests, which never ran
FAULTED = "faulted"  # failed requests
RELAYED = "relayed"  # runs that were passed to the backend

COUNTER_GROUPS = {
    AnswerKind.SERVED: FULFILLED,
    AnswerKind.REJECTED: THROTTLED,
    AnswerKind.FORBIDDEN: THROTTLED,
    AnswerKind.FAILED: FAULTED,
    AnswerKind.DEADLINE_EXCEEDED: FAULTED,
}
"""The counter group of each kind of answer."""

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
"""The label of each attempt outcome in counters, logs and reasons."""
