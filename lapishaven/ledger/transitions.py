"""The state machine of an effect in the ledger, as one transition table that the model checker uses too.

An ``INTENDED`` row is durable before the run starts; a ``COMPLETED`` row, with result and charge, before the reply is
sent. So the effect of an ``INTENDED`` row whose server died may have run: it is never run again and never reported as
rejected. Does no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EffectState(Enum):
    """State of an effect's row; the values are stored in the file. The core is told a ``core.ports.EffectState``."""

    ABSENT = "none"  # no row: it never ran
    INTENDED = "intended"  # a server incarnation runs it, or died while running it
    COMPLETED = "done"
    WITHOUT_RESULT = "spent"  # it ran or may have run, and there is no result


class EffectEvent(Enum):
    """An event that a server asks the ledger to record."""

    INTEND = "intend"  # it is about to run
    COMPLETE = "finish"  # it ran and has a result
    FAIL = "fail"  # it ran and has no result
    CANCEL = "void"  # it provably never ran


class Decision(Enum):
    """How the ledger responds to an event."""

    APPLY = "do"  # the state changes
    ALREADY_COMPLETED = "kept"  # nothing changes; the stored result is the answer
    UNCERTAIN = "uncertain"  # nothing changes; it runs or may have run, so it is neither run again nor rejected
    IGNORE = "nothing"  # nothing changes: the row is not this incarnation's, or the event does not fit its state


# Decision and next state, by current state, event, and whether the reporting incarnation intended the row. An absent
# row belongs to no incarnation. Combinations that are not listed are ignored.
TRANSITIONS: dict[tuple[EffectState, EffectEvent, bool], tuple[Decision, EffectState]] = {
    (EffectState.ABSENT, EffectEvent.INTEND, False): (Decision.APPLY, EffectState.INTENDED),
    (EffectState.INTENDED, EffectEvent.INTEND, False): (Decision.UNCERTAIN, EffectState.INTENDED),
    (EffectState.INTENDED, EffectEvent.INTEND, True): (Decision.UNCERTAIN, EffectState.INTENDED),
    (EffectState.COMPLETED, EffectEvent.INTEND, False): (Decision.ALREADY_COMPLETED, EffectState.COMPLETED),
    (EffectState.COMPLETED, EffectEvent.INTEND, True): (Decision.ALREADY_COMPLETED, EffectState.COMPLETED),
    (EffectState.WITHOUT_RESULT, EffectEvent.INTEND, False): (Decision.UNCERTAIN, EffectState.WITHOUT_RESULT),
    (EffectState.WITHOUT_RESULT, EffectEvent.INTEND, True): (Decision.UNCERTAIN, EffectState.WITHOUT_RESULT),
    (EffectState.INTENDED, EffectEvent.COMPLETE, True): (Decision.APPLY, EffectState.COMPLETED),
    # The confirmation of the first commit was lost and the event is written again.
    (EffectState.COMPLETED, EffectEvent.COMPLETE, True): (Decision.ALREADY_COMPLETED, EffectState.COMPLETED),
    (EffectState.INTENDED, EffectEvent.FAIL, True): (Decision.APPLY, EffectState.WITHOUT_RESULT),
    (EffectState.INTENDED, EffectEvent.CANCEL, True): (Decision.APPLY, EffectState.ABSENT),
}


@dataclass(frozen=True, slots=True)
class EffectRow:
    """An effect as stored.

    ``incarnation`` identifies the start of the server that intended it, ``body_digest`` the body that its key stands
    for; that is ``None`` if a version stored it that kept no digests.
    """

    state: EffectState = EffectState.ABSENT
    incarnation: str = ""
    result: bytes = b""
    body_digest: bytes | None = None


def decide(row: EffectRow, event: EffectEvent, incarnation: str) -> tuple[Decision, EffectState]:
    """The decision on an event reported by ``incarnation``, and the next state of the row."""
    is_own = row.incarnation == incarnation
    return TRANSITIONS.get((row.state, event, is_own), (Decision.IGNORE, row.state))
