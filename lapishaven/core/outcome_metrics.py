"""Names under which answers and attempts are counted and logged; operators' scripts rely on them."""

from __future__ import annotations

from lapishaven.admission import Outcome
from lapishaven.core.requests import AnswerKind

FULFILLED, THROTTLED, FAULTED, RELAYED = "fulfilled", "throttled", "faulted", "relayed"

GROUP = {
    AnswerKind.SERVED: FULFILLED,
    AnswerKind.REJECTED: THROTTLED,
    AnswerKind.FORBIDDEN: THROTTLED,
    AnswerKind.FAILED: FAULTED,
    AnswerKind.DEADLINE_EXCEEDED: FAULTED,
}

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
