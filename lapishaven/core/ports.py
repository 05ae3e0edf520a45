"""Ports through which the core reaches backends, stores, the fleet and the server."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from lapishaven.core.contracts import Contract
from lapishaven.core.requests import Answer, Submission


class Reply(Protocol):
    """Where one request's answer goes."""

    def __call__(self, answer: Answer) -> None: ...


class Backend(Protocol):
    """What runs requests."""

    def start(self, handle: str, cls: str, body: bytes, once: bool) -> None: ...
    def pause(self, handle: str) -> None: ...
    def resume(self, handle: str) -> None: ...
    def gauges(self) -> None: ...


class AttemptRecorder(Protocol):
    """What keeps a record of starts and answers."""

    def __call__(self, event: str, sub: Submission, detail: str) -> None: ...


class KnownEffect(Protocol):
    """What is known of an effect."""

    @property
    def result(self) -> bytes: ...
    @property
    def state(self) -> Enum: ...


class ResultStore(Protocol):
    """What keeps keyed results beyond this process's life."""

    def find(self, cls: str, key: str) -> KnownEffect: ...
    def record_intent(
        self, cls: str, key: str, sub: Submission, then: Callable[[bool | KnownEffect], None]
    ) -> float | None: ...
    def record_result(self, cls: str, key: str, result: bytes, then: Callable[[bool], None]) -> None: ...
    def record_failure(self, cls: str, key: str) -> None: ...
    def cancel_intent(self, cls: str, key: str) -> None: ...


class DurableResultStore(ResultStore, Protocol):
    """One that works off the event path: ``told`` is to be called there when ``ready`` has something to read.
    ``label`` heads its gauges."""

    label: str

    @property
    def ready(self) -> int: ...
    def process_completions(self) -> None: ...
    def uncertain_effects(self) -> list[tuple[str, str, float]]: ...
    def state(self) -> dict[str, int]: ...
    def close(self) -> None: ...


class FleetMember(Protocol):
    """This process's part in work that belongs to the whole fleet."""

    def request_served(self, team: str | None, cls: str, worth: float, key: str | None) -> None:
        """A request was answered as served; ``key`` names its effect, where it has one. Never waits."""

    def take_budget(self, now: float, contract: Contract) -> float: ...
    def request_not_served(self, refused: bool) -> None:
        """A request was answered otherwise. Never waits."""

    def set_overloaded(self, so: bool) -> None:
        """The module says that it reads too late for every aim, or that it does not any more. Never waits."""

    def state(self) -> dict[str, int]: ...
    def drain(self) -> None:
        """The notice to leave came: hand over what is owned. Never waits."""

    def close(self) -> None: ...


class ModuleListener(Protocol):
    """What the module tells the outside apart from answers."""

    def set_health(self, good: bool) -> None: ...
    def set_idle_timeout(self, span: float) -> None: ...
    def log_remark(self, text: str) -> None: ...
