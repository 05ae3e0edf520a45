"""What an answer counts as, by class: the names that the control address reports."""

from __future__ import annotations

from lapishaven.core.model import Kind

FULFILLED, THROTTLED, FAULTED, RELAYED = "fulfilled", "throttled", "faulted", "relayed"

GROUP = {
    Kind.SERVED: FULFILLED,
    Kind.REFUSED: THROTTLED,
    Kind.DENIED: THROTTLED,
    Kind.FAILED: FAULTED,
    Kind.DUE: FAULTED,
}
