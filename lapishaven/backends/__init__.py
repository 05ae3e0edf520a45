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
        """The backend can run requests, since ``up_for`` seconds; it is slow at first if it is ``cold``."""

    def run_finished(self, handle: str, outcome: Outcome, spent: float, result: bytes) -> None:
        """The run of attempt ``handle`` ended after ``spent`` seconds; the result is empty unless that was well."""

    def load_sampled(self, values: dict[str, float]) -> None:
        """The gauges by name that were requested."""


class BackendDriver(Backend, Protocol):
    """A backend as the server drives it."""

    def run(self) -> Generator[Wait, Any, None]:
        """Hold the connection to the backend until ``close``; a coroutine of the loop."""

    def change_address(self, address: tuple[str, int]) -> None:
        """Use this address from now on."""

    def health_check(self, told: Callable[[bool], None]) -> None:
        """Check whether the backend can run requests; ``told`` is called once, later."""

    def failed(self) -> None:
        """``run`` has ended by a fault of this program: release its connection, as it is started again."""

    def close(self) -> None:
        """End for good."""
