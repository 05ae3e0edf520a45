"""The callers that were seen recently, and the time that each gives a request."""

from __future__ import annotations

from lapishaven.admission.settings import Settings


class _Caller:
    """One caller."""

    __slots__ = ("last_seen", "time_allowed")

    def __init__(self, class_count: int) -> None:
        self.last_seen = 0.0
        self.time_allowed = [0.0] * class_count  # s by class: the longest time from arrival to deadline


class CallerTable:
    """Callers by id. A caller is forgotten once it was not seen for the idle timeout of connections."""

    __slots__ = ("_callers", "_class_count")

    def __init__(self, settings: Settings) -> None:
        self._callers: dict[int, _Caller] = {}  # the one not seen for longest comes first
        self._class_count = len(settings.classes)

    def __len__(self) -> int:
        return len(self._callers)

    def apply_settings(self, settings: Settings) -> None:
        """Make room for further classes."""
        added = len(settings.classes) - self._class_count
        self._class_count = len(settings.classes)
        for caller in self._callers.values():
            caller.time_allowed += [0.0] * added

    def record(self, now: float, caller_id: int) -> None:
        """Note that a caller was seen."""
        caller = self._callers.pop(caller_id, None) or _Caller(self._class_count)
        caller.last_seen = now
        self._callers[caller_id] = caller  # comes last

    def time_used(self, caller_id: int, class_index: int, time_left: float) -> float:
        """Seconds by which ``time_left`` until the deadline is under the most that the caller gives the class.

        A request that is marked as a retry began that much earlier than its own arrival.
        """
        time_allowed = self._callers[caller_id].time_allowed
        longest = max(time_allowed[class_index], time_left)
        time_allowed[class_index] = longest
        return longest - time_left

    def forget_before(self, last_seen: float) -> None:
        """Forget the callers that were not seen since a time."""
        callers = self._callers
        while callers:
            caller_id, caller = next(iter(callers.items()))
            if caller.last_seen >= last_seen:
                return
            del callers[caller_id]
