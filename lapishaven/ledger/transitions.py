"""What a key's row may become, and what who asks is told: one table, for the code and its checker. Pure.

``intended`` is durable before the run starts, ``done`` with its result and its charge before the reply leaves. So an
``intended`` row whose server died may have run: it is never run again and never said to be refused.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Standing(Enum):
    NONE = "none"  # no row: it never ran
    INTENDED = "intended"  # some start of some server is at it, or died at it
    DONE = "done"
    SPENT = "spent"  # it ran, or may have, and there is no result


class Event(Enum):
    INTEND = "intend"
    FINISH = "finish"
    FAIL = "fail"
    VOID = "void"  # it provably never ran


class Verdict(Enum):
    DO = "do"  # it is so from now on
    KEPT = "kept"  # done already: the first result is the answer
    UNCERTAIN = "uncertain"  # another start is at it, or was: it may run or have run, so it is neither run nor refused
    NOTHING = "nothing"  # the row is not this start's any more: nothing is changed


# By standing, event, and whether the row is of the start that asks.
TABLE: dict[tuple[Standing, Event, bool], tuple[Verdict, Standing]] = {
    (Standing.NONE, Event.INTEND, False): (Verdict.DO, Standing.INTENDED),
    (Standing.INTENDED, Event.INTEND, False): (Verdict.UNCERTAIN, Standing.INTENDED),
    (Standing.INTENDED, Event.INTEND, True): (Verdict.UNCERTAIN, Standing.INTENDED),
    (Standing.DONE, Event.INTEND, False): (Verdict.KEPT, Standing.DONE),
    (Standing.DONE, Event.INTEND, True): (Verdict.KEPT, Standing.DONE),
    (Standing.SPENT, Event.INTEND, False): (Verdict.UNCERTAIN, Standing.SPENT),
    (Standing.SPENT, Event.INTEND, True): (Verdict.UNCERTAIN, Standing.SPENT),
    (Standing.INTENDED, Event.FINISH, True): (Verdict.DO, Standing.DONE),
    (Standing.DONE, Event.FINISH, True): (Verdict.KEPT, Standing.DONE),  # the answer to the first commit was lost
    (Standing.INTENDED, Event.FAIL, True): (Verdict.DO, Standing.SPENT),
    (Standing.INTENDED, Event.VOID, True): (Verdict.DO, Standing.NONE),
}


@dataclass(frozen=True, slots=True)
class Row:
    """What the file holds of a key. ``start`` names the start of the server that intended it."""

    standing: Standing = Standing.NONE
    start: str = ""
    result: bytes = b""


def judge(row: Row, event: Event, start: str) -> tuple[Verdict, Standing]:
    """What becomes of a row, and what its asker is told. What the table does not have changes nothing."""
    return TABLE.get((row.standing, event, row.start == start), (Verdict.NOTHING, row.standing))
