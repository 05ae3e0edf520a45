"""Backends: each carries out the core's commands over one protocol."""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Any, Protocol

from lapishaven.admission import Outcome
from lapishaven.core.ports import Backend
from lapishaven.net.loop import Wait


class BackendListener(Protocol):
    """Receives a backend's reports, on the loop's thread."""

    def backend_up(self, cold: bool, up_for: float) -> None:
        """The backend has been up for ``up_for`` seconds; it runs requests slowly at first if it is ``cold``."""

    def run_finished(self, attempt_id: str, outcome: Outcome, elapsed: float, result: bytes) -> None:
        """The run of an attempt ended after ``elapsed`` seconds; ``result`` is empty unless the outcome is ``OK``."""

    def load_sampled(self, gauges: dict[str, float]) -> None:
        """A requested load sample has arrived: gauge values by name."""


class BackendDriver(Backend, Protocol):
    """A backend as the server controls it."""

    def run(self) -> Generator[Wait, Any, None]:
        """Coroutine that maintains the connection to the backend until ``close``."""

    def change_address(self, address: tuple[str, int]) -> None:
        """Switch to a new address."""

    def health_check(self, callback: Callable[[bool], None]) -> None:
        """Check whether the backend can run requests; ``callback`` is called once, later."""

    def failed(self) -> None:
        """``run`` has ended by an unexpected exception: release its connection before ``run`` is restarted."""

    def close(self) -> None:
        """Release the connection and open no further one."""
