"""Deep health checks that await the interpreter's answer."""

from __future__ import annotations

from collections.abc import Callable


class PendingHealthChecks:
    """Callbacks by the tag of the query whose answer they await.

    Checks that arrive while a query is outstanding share its answer, so that many checks cause one query.
    """

    def __init__(self) -> None:
        self._callbacks: dict[str, list[Callable[[bool], None]]] = {}

    @property
    def tags(self) -> list[str]:
        """The tags of the outstanding queries."""
        return list(self._callbacks)

    def join(self, callback: Callable[[bool], None]) -> bool:
        """Add ``callback`` to the outstanding query; returns false if there is none."""
        for callbacks in self._callbacks.values():
            callbacks.append(callback)
            return True
        return False

    def add(self, tag: str, callback: Callable[[bool], None]) -> None:
        """Register ``callback`` for a new query."""
        self._callbacks[tag] = [callback]

    def settle(self, tag: str, healthy: bool) -> None:
        """Pass the result to all callbacks of a query; later calls for the same tag do nothing."""
        for callback in self._callbacks.pop(tag, ()):
            callback(healthy)
