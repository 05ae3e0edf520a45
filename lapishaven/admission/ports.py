"""Ports through which the controller asks optional, pure components."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol

from lapishaven.admission.events import LoadSample


class AdmissionPools(Protocol):
    """Pools by class, which the Controller asks where there are any. Times as in ``handle``; all pure."""

    def guards(self, cls: int) -> bool:
        """Whether the class is within what is guaranteed to it, so that it is not refused by chance."""

    def full(self, now: float, cls: int, aim_at: float, due: float) -> tuple[str, float] | None:
        """Why there is no room, and in how many seconds there will be; ``None`` where there is."""

    def run_time(self, cls: int) -> float:
        """Seconds that a run of the class takes now."""

    def hold(self, now: float, id: int, cls: int, kb: float, aim_at: float, due: float) -> None:
        """It was admitted."""

    def order(self, now: float) -> Iterator[int]:
        """What may start, in its order."""

    def started(self, now: float, id: int) -> None: ...

    def dropped(self, id: int) -> None:
        """It waits no longer, and does not run."""

    def ended(self, now: float, id: int, whole: bool) -> None:
        """It runs no longer."""

    def suspended(self, now: float, id: int) -> bool:
        """It was stopped: whether by the pools, to go on later."""

    def poll(self, now: float, poll: LoadSample) -> list[int]:
        """The gauges; gives the runs to be paused."""
