"""What runs requests: each backend carries out the core's commands on one protocol."""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Any, Protocol

from cometdrum.interface import Outcome
from lapishaven.core.model import Backend
from lapishaven.net.loop import Wait


class Listener(Protocol):
    """Who is told what a backend says."""

    def up(self, cold: bool, up_for: float) -> None: ...
    def finished(self, handle: str, outcome: Outcome, spent: float, result: bytes) -> None: ...
    def gauges(self, values: dict[str, float]) -> None: ...


class Driver(Backend, Protocol):
    """A backend as the server holds it."""

    def run(self) -> Generator[Wait, Any, None]: ...
    def move(self, address: tuple[str, int]) -> None: ...
    def smoke(self, told: Callable[[bool], None]) -> None: ...
    def failed(self) -> None: ...
    def close(self) -> None: ...
