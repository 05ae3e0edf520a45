"""The recently seen callers, and how much time each allows for a request."""

from __future__ import annotations

from lapishaven.admission.settings import Settings


class _Caller:
    """One caller."""

    __slots__ = ("last_seen", "time_allowed_s")

    def __init__(self, class_count: int) -> None:
        self.last_seen = 0.0
        self.time_allowed_s = [0.0] * class_count  # by class: the longest time seen from arrival to deadline


class CallerTable:
    """Callers by id. A caller is forgotten when it has not been seen for the idle timeout of connections."""

    __slots__ = ("_callers", "_class_count")

    def __init__(self, settings: Settings) -> None:
        self._callers: dict[int, _Caller] = {}  # least recently seen first
        self._class_count = len(settings.classes)

    def __len__(self) -> int:
        return len(self._callers)

    def apply_settings(self, settings: Settings) -> None:
        """Extend the entries for added classes."""
        added = len(settings.classes) - self._class_count
        self._class_count = len(settings.classes)
        for caller in self._callers.values():
            caller.time_allowed_s += [0.0] * added

    def record(self, now: float, caller_id: int) -> None:
        """Record that a caller was seen at ``now``."""
        caller = self._callers.pop(caller_id, None) or _Caller(self._class_count)
        caller.last_seen = now
        self._callers[caller_id] = caller  # most recently seen last

    def time_used(self, caller_id: int, class_index: int, time_left: float) -> float:
        """Seconds of the caller's time limit that an arriving request has already used.

        The limit is the longest time to the deadline that was seen from this caller for the class; ``time_left`` is
        that of the request. A retry's first attempt began this much earlier than the retry arrived.
        """
        time_allowed_s = self._callers[caller_id].time_allowed_s
        longest = max(time_allowed_s[class_index], time_left)
        time_allowed_s[class_index] = longest
        return longest - time_left

    def forget_before(self, last_seen: float) -> None:
        """Forget the callers that have not been seen since ``last_seen``."""
        callers = self._callers
        while callers:
            caller_id, caller = next(iter(callers.items()))
            if caller.last_seen >= last_seen:
                return
            del callers[caller_id]
