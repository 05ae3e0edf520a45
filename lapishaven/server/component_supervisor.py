"""Restarts the coroutines of the server's components after an unexpected exception."""

from __future__ import annotations

from collections.abc import Generator
from typing import Any, Protocol

from lapishaven.counters import Counters
from lapishaven.net.loop import Loop, Wait

RESTART_DELAY_S = 1.0  # from the exception to the restart, so that a persistent fault does not cause a busy loop


class SupervisedComponent(Protocol):
    """A component of the server with a coroutine of its own."""

    def run(self) -> Generator[Wait, Any, None]:
        """Run until the component is closed."""

    def failed(self) -> None:
        """``run`` has ended by an exception: release what it held, as ``run`` is started again."""


class ComponentSupervisor:
    """Keeps components running: without its link to the interpreter or the registry, a server serves no requests."""

    def __init__(self, loop: Loop, counters: Counters) -> None:
        self._loop = loop
        self._counters = counters

    def keep_running(self, name: str, component: SupervisedComponent) -> None:
        """Run a component's coroutine and restart it after a failure; failures are counted by ``name``."""

        def failed(error: Exception) -> None:
            self._counters.add("faults", name)
            component.failed()
            self._loop.at(self._loop.now + RESTART_DELAY_S, lambda: self.keep_running(name, component))

        self._loop.spawn(component.run(), failed)
