"""Backends: each runs requests by carrying out the core's commands on one protocol."""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Any, Protocol

from lapishaven.admission import Outcome
from lapishaven.core.ports import Backend
from lapishaven.net.loop import Wait


class BackendListener(Protocol):
    """Receives a backend's reports, on the loop's thread."""

    def backend_up(self, cold: bool, up_for: float) -> None:
        """The backend has been able to run requests for ``up_for`` seconds; it is slow at first if it is ``cold``."""

    def run_finished(self, attempt_id: str, outcome: Outcome, elapsed: float, result: bytes) -> None:
        """The run of an attempt ended after ``elapsed`` seconds; ``result`` is empty unless the outcome is ``OK``."""

    def load_sampled(self, gauges: dict[str, float]) -> None:
        """The load sample that was requested: gauges by name."""


class BackendDriver(Backend, Protocol):
    """A backend as the server drives it."""

    def run(self) -> Generator[Wait, Any, None]:
        """Hold the connection to the backend until ``close``; a coroutine of the loop."""

    def change_address(self, address: tuple[str, int]) -> None:
        """Use this address from now on."""

    def health_check(self, callback: Callable[[bool], None]) -> None:
        """Check whether the backend can run requests; ``callback`` is called once, later."""

    def failed(self) -> None:
        """``run`` has ended by a fault of this program: release its connection, as it is started again."""

    def close(self) -> None:
        """Release the connection and start no further one."""
