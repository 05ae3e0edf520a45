"""How long after SIGTERM the platform kills a process. Pure. All times in seconds."""

from __future__ import annotations

from collections.abc import Iterable

MAX_COUNTED_DEADLINE_S = 3.0  # in an upgrade a longer deadline counts as this much
UPGRADE_KILL_MARGIN_S = 0.7  # in an upgrade, from the longest counted deadline to SIGKILL


def seconds_to_kill(stop_timeout_s: float, socket_is_inherited: bool, deadlines: Iterable[float]) -> float:
    """Seconds from SIGTERM to SIGKILL.

    ``stop_timeout_s`` is the configured time. In an upgrade the platform counts from the classes' longest deadline
    instead. SIGTERM does not say whether it belongs to an upgrade, so the earlier time holds on an inherited socket.
    """
    if not socket_is_inherited:
        return stop_timeout_s
    longest_deadline_s = min(max(deadlines, default=0.0), MAX_COUNTED_DEADLINE_S)
    return min(stop_timeout_s, longest_deadline_s + UPGRADE_KILL_MARGIN_S)
