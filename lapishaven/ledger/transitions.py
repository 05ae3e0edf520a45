"""The states of an effect in the ledger, and what each event makes of them: one table, also for the model checker.

An ``INTENDED`` row is durable before the run starts; ``COMPLETED``, with result and charge, before the reply leaves. So
an ``INTENDED`` row whose server died may have run: it is never run again and never reported as rejected. The values of
``EffectState`` are stored in the file. Pure.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EffectState(Enum):
    """How far an effect is, by the word that the file has for it."""

    ABSENT = "none"  # there is no row: it never ran
    INTENDED = "intended"  # an incarnation of a server runs it, or died while it did
    COMPLETED = "done"
    WITHOUT_RESULT = "spent"  # it ran, or may have, and there is no result


class EffectEvent(Enum):
    """What a server asks the ledger to record."""

    INTEND = "intend"  # it is about to run
    COMPLETE = "finish"  # it ran and has a result
    FAIL = "fail"  # it ran and has no result
    CANCEL = "void"  # it provably never ran


class Decision(Enum):
    """What becomes of an event."""

    APPLY = "do"  # the state changes
    ALREADY_COMPLETED = "kept"  # nothing changes; the first result is the answer
    UNCERTAIN = "uncertain"  # nothing changes; it runs or may have run elsewhere, so it is neither run nor rejected
    IGNORE = "nothing"  # nothing changes: the row is not this incarnation's, or the event does not fit its state


# The decision and the next state, by the present state, the event, and whether this incarnation intended the row. What
# is not listed is ignored.
TRANSITIONS: dict[tuple[EffectState, EffectEvent, bool], tuple[Decision, EffectState]] = {
    (EffectState.ABSENT, EffectEvent.INTEND, False): (Decision.APPLY, EffectState.INTENDED),
    (EffectState.INTENDED, EffectEvent.INTEND, False): (Decision.UNCERTAIN, EffectState.INTENDED),
    (EffectState.INTENDED, EffectEvent.INTEND, True): (Decision.UNCERTAIN, EffectState.INTENDED),
    (EffectState.COMPLETED, EffectEvent.INTEND, False): (Decision.ALREADY_COMPLETED, EffectState.COMPLETED),
    (EffectState.COMPLETED, EffectEvent.INTEND, True): (Decision.ALREADY_COMPLETED, EffectState.COMPLETED),
    (EffectState.WITHOUT_RESULT, EffectEvent.INTEND, False): (Decision.UNCERTAIN, EffectState.WITHOUT_RESULT),
    (EffectState.WITHOUT_RESULT, EffectEvent.INTEND, True): (Decision.UNCERTAIN, EffectState.WITHOUT_RESULT),
    (EffectState.INTENDED, EffectEvent.COMPLETE, True): (Decision.APPLY, EffectState.COMPLETED),
    # The answer to the first commit was lost and it is written again.
    (EffectState.COMPLETED, EffectEvent.COMPLETE, True): (Decision.ALREADY_COMPLETED, EffectState.COMPLETED),
    (EffectState.INTENDED, EffectEvent.FAIL, True): (Decision.APPLY, EffectState.WITHOUT_RESULT),
    (EffectState.INTENDED, EffectEvent.CANCEL, True): (Decision.APPLY, EffectState.ABSENT),
}


@dataclass(frozen=True, slots=True)
class EffectRow:
    """What the file holds of an effect. ``incarnation`` names the start of the server that intended it."""

    state: EffectState = EffectState.ABSENT
    incarnation: str = ""
    result: bytes = b""


def decide(row: EffectRow, event: EffectEvent, incarnation: str) -> tuple[Decision, EffectState]:
    """The decision on an event that ``incarnation`` reports, and the next state of the row."""
    is_own = row.incarnation == incarnation
    return TRANSITIONS.get((row.state, event, is_own), (Decision.IGNORE, row.state))
