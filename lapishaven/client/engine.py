"""The base of all parts of the policy: timers, the queue of actions for the driver, and event reports."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any

from lapishaven.client.actions import Action
from lapishaven.client.settings import Settings

Hook = Callable[[float, str, dict[str, Any]], None]
"""Receives each event as (time in seconds, name, fields)."""

TimerCallback = Callable[[float, Any], None]
"""Called as ``callback(now, argument)`` when a timer is due."""


class Engine:
    """Timers, actions and event counts of one policy. Times are in seconds on a monotonic clock."""

    def __init__(self, settings: Settings, random: Random, hook: Hook | None) -> None:
        self.settings = settings
        self.random = random
        self.hook = hook
        self.counts: Counter[str] = Counter()
        self._actions: list[Action] = []
        self._timers: list[tuple[float, int, TimerCallback, Any]] = []
        self._last_id = 0

    def next_id(self) -> int:
        """Return an id that is unique among the calls, attempts, connections and timers of this client."""
        self._last_id += 1
        return self._last_id

    def emit(self, action: Action) -> None:
        """Queue an action for the driver."""
        self._actions.append(action)

    def take_actions(self) -> list[Action]:
        """Return the actions queued since the last call, in order."""
        actions = self._actions
        self._actions = []
        return actions

    def schedule(self, when: float, callback: TimerCallback, argument: Any = None) -> None:
        """Call ``callback(now, argument)`` at ``when``. Timers with equal times run in the order they were set."""
        self._last_id += 1
        heappush(self._timers, (when, self._last_id, callback, argument))

    def next_timer_at(self) -> float | None:
        """Return the time of the earliest timer, or None if no timer is set."""
        return self._timers[0][0] if self._timers else None

    def run_timers(self, now: float) -> None:
        """Run every timer that is due."""
        while self._timers and self._timers[0][0] <= now:
            _, _, callback, argument = heappop(self._timers)
            callback(now, argument)

    def timer_arguments(self) -> list[Any]:
        """Return the arguments of all timers that are set."""
        return [argument for _, _, _, argument in self._timers]

    def clear_timers(self) -> None:
        """Cancel every timer."""
        self._timers.clear()

    def report(self, now: float, event: str, **fields: Any) -> None:
        """Count an event and pass it to the hook."""
        self.counts[event] += 1
        if self.hook is not None:
            self.hook(now, event, fields)
