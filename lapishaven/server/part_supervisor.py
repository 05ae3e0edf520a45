"""Restarts the coroutines of the server's parts after a fault of this program."""

from __future__ import annotations

from collections.abc import Generator
from typing import Any, Protocol

from lapishaven.counters import Counters
from lapishaven.net.loop import Loop, Wait

RESTART_DELAY_S = 1.0  # from the fault to the restart, so that a lasting fault does not spin


class SupervisedPart(Protocol):
    """A part of the server with a coroutine of its own."""

    def run(self) -> Generator[Wait, Any, None]:
        """Work until the part is closed."""

    def failed(self) -> None:
        """``run`` has ended by an exception: release what it held, as ``run`` is started again."""


class PartSupervisor:
    """Keeps parts running: without its link to the interpreter or the registry, a server would serve nobody."""

    def __init__(self, loop: Loop, counters: Counters) -> None:
        self._loop = loop
        self._counters = counters

    def keep_running(self, name: str, part: SupervisedPart) -> None:
        """Run a part's coroutine, and run it again some time after it has failed; faults are counted by ``name``."""

        def failed(error: Exception) -> None:
            self._counters.add("faults", name)
            part.failed()
            self._loop.at(self._loop.now + RESTART_DELAY_S, lambda: self.keep_running(name, part))

        self._loop.spawn(part.run(), failed)
