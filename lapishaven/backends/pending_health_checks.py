"""Deep health checks that wait for the interpreter's answer."""

from __future__ import annotations

from collections.abc import Callable


class PendingHealthChecks:
    """Callbacks by the tag of the question that they wait for.

    Checks that come while one is outstanding share its answer, so that a flood of checks is no flood of work.
    """

    def __init__(self) -> None:
        self._callbacks: dict[str, list[Callable[[bool], None]]] = {}

    @property
    def tags(self) -> list[str]:
        """The tags of the outstanding questions."""
        return list(self._callbacks)

    def join(self, callback: Callable[[bool], None]) -> bool:
        """Have ``callback`` wait for the outstanding question; returns false if there is none."""
        for callbacks in self._callbacks.values():
            callbacks.append(callback)
            return True
        return False

    def add(self, tag: str, callback: Callable[[bool], None]) -> None:
        """Have ``callback`` wait for a new question."""
        self._callbacks[tag] = [callback]

    def settle(self, tag: str, healthy: bool) -> None:
        """Call all that wait for a question; does nothing the second time."""
        for callback in self._callbacks.pop(tag, ()):
            callback(healthy)
