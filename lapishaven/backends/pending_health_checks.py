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

    def join(self, told: Callable[[bool], None]) -> bool:
        """Have ``told`` wait for the outstanding question; returns false if there is none."""
        for callbacks in self._callbacks.values():
            callbacks.append(told)
            return True
        return False

    def add(self, tag: str, told: Callable[[bool], None]) -> None:
        """Have ``told`` wait for a new question."""
        self._callbacks[tag] = [told]

    def settle(self, tag: str, healthy: bool) -> None:
        """Call all that wait for a question; does nothing the second time."""
        for told in self._callbacks.pop(tag, ()):
            told(healthy)
