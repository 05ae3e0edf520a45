"""What runs requests: each backend carries out the core's commands on one protocol."""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Any, Protocol

from lapishaven.admission import Outcome
from lapishaven.core.ports import Backend
from lapishaven.net.loop import Wait


class BackendListener(Protocol):
    """Who is told what a backend says."""

    def up(self, cold: bool, up_for: float) -> None: ...
    def finished(self, handle: str, outcome: Outcome, spent: float, result: bytes) -> None: ...
    def gauges(self, values: dict[str, float]) -> None: ...


class BackendDriver(Backend, Protocol):
    """A backend as the server holds it."""

    def run(self) -> Generator[Wait, Any, None]: ...
    def change_address(self, address: tuple[str, int]) -> None: ...
    def health_check(self, told: Callable[[bool], None]) -> None: ...
    def failed(self) -> None: ...
    def close(self) -> None: ...
