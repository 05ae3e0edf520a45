"""Fronts: each maps one wire to the core's requests, and the core's answers back to that wire."""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Any, Protocol

from lapishaven.core.broker import Broker
from lapishaven.counters import Counters
from lapishaven.ends import End
from lapishaven.net.conn import Conn
from lapishaven.net.loop import Loop, Wait


class Session(Protocol):
    """One connection of a front."""

    conn: Conn

    @property
    def busy(self) -> bool:
        """Whether something that was read is still to be answered."""

    def run(self) -> Generator[Wait, Any, None]: ...
    def drain(self) -> None: ...


class Host(Protocol):
    """What a front needs of the server round it."""

    loop: Loop
    counters: Counters
    broker: Broker | None
    classes: dict[str, int]
    draining: bool

    def check(self, deep: bool, told: Callable[[bool], None]) -> None: ...
    def ended(self, session: Session, end: End) -> None: ...
